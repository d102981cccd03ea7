"""Starts the daemons of a small cell with the command of the deploy file, and calls them."""

import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import uuid

from store import Store
from worker import Gangs, Record, Worker

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


FIRST_PORT, LAST_PORT = 20000, 30000  # Below the ephemeral ports of the system.


def free_ports(count, start=[os.getpid() * 41]):
    """Returns free loopback ports."""
    ports = []
    while len(ports) < count:
        start[0] += 1
        port = FIRST_PORT + start[0] % (LAST_PORT - FIRST_PORT)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
                ports.append(port)
            except OSError:
                pass
    return ports


class Daemon:
    def __init__(self, name, zone, folder, store, ports, options):
        self.name, self._folder = name, folder
        front, readiness, peer = ports
        self.front, self.peer = ("127.0.0.1", front), f"127.0.0.1:{peer}"
        self.store = store.port()
        settings = {
            "node": name, "role": "scheduler", "machine_class": "front", "serves": "front",
            "ip": "127.0.0.1", "zone": zone, "region": "r", "zones.z1": "r", "zones.z2": "r",
            "listen.front": f"127.0.0.1:{front}", "listen.readiness": f"127.0.0.1:{readiness}",
            "port_range": f"{peer},{peer}", "bootstrap": "true", "tolerated": "false",
            "limits.cpu_share": "0.25", "limits.cores": "1", "limits.memory_mb": "260",
            "limits.max_fds": "4100", "limits.link_mbps": "1000.0", "limits.disk_mb": "0",
            "discovery": "platform", "entry": "vip", "heartbeat_ms": "1500",
            "bounds.contact_ms": "3000", "bounds.ack_ms": "4000", "bounds.grace_s": "6",
            "bounds.config_ms": "2000", "bounds.strict_revoke": "true", "bounds.revoke_ms": "5000",
            "bounds.evac_ms": "5000", "bounds.hold_max_ms": "10000", "bounds.stop_ms": "400",
            "bounds.gang_ms": "3000", "bounds.cancel_ms": "3000", "bounds.visible_ms": "3000",
            "bounds.finish_s": "14", "bounds.status_s": "120", "control_mode": "invocation",
            "platform.addr": self.store.address, "platform.form": "log",
            "platform.writes_per_s": "600", "platform.reads_per_s": "2000", "platform.parts": "32",
            "platform.append_ms": "2.0", "platform.record_bytes": "262144",
            "platform.call_bytes": "2097152", "platform.keep_s": "300", "platform.part_mb": "200",
            "platform.ttl_min_ms": "1000", **options}
        path = folder / f"{name}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in settings.items()))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = deploy["roles"]["scheduler"]["run"].split()
        self._environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                             if name in os.environ}
        self._environment["ENDIVEUSHER_BOOT"] = str(path)
        self.process = None
        self.start()

    def start(self):
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
                stderr=subprocess.STDOUT, env=self._environment)

    def send(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def log(self):
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    def call(self, method, path, body=None, key="k1", host="h", timeout_s=4.0):
        """Returns status and body; None if there is no complete answer."""
        connection = http.client.HTTPConnection(*self.front, timeout=timeout_s)
        try:
            headers = {"Host": host, "Deadline-Ms": str(int(timeout_s * 1000) - 500)}
            if key:
                headers["Credential"] = key
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()


class Cell:
    def __init__(self, folder, daemons=3, options=None, routes=None, tenants=None):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(int((options or {}).get("platform.keep_s", 300)))
        self.gangs, self.workers, self.daemons = Gangs(), [], []
        self.version = 0
        self.routes = routes or [self.route("q", "/q/")]
        self.tenants = tenants or [{"name": "t1", "api_keys": ["k1"], "weight": 1,
                                    "upper_limit": {"cpu": 0, "mem_mb": 0, "gpu": 0}}]
        self.configure()
        self._options, self._count = options or {}, daemons

    @staticmethod
    def route(name, prefix, **fields):
        return {"name": name, "host": "h", "path_prefix": prefix, "service": "pool",
                "kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": 1000, "stretch": 2.0,
                "max_attempts": 4, "priority": 1, **fields}

    def configure(self):
        self.version += 7
        self.store.put("keyed.op", "config", {
            "version": self.version, "routes": self.routes, "services": [{"name": "pool"}],
            "tenants": self.tenants, "limits": {"max_body_bytes": 262144}})
        self.record.add("config", version=self.version)

    def add_worker(self, name, **options):
        self.workers.append(Worker(name, self.store, self.record, self.gangs, **options))
        return self.workers[-1]

    def start_daemons(self):
        binary = ROOT / tomllib.loads((ROOT / "deploy/system.toml").read_text())[
            "roles"]["scheduler"]["run"].split()[0]
        if not binary.exists():
            raise RuntimeError(f"{binary.name} is not built")
        ports = free_ports(3 * self._count)
        # In the order of their peer addresses as text.
        peers = sorted(ports[: self._count], key=str)
        for number in range(self._count):
            rest = ports[self._count + 2 * number: self._count + 2 * number + 2]
            self.daemons.append(Daemon(f"d{number + 1}", f"z{number % 2 + 1}", self.folder,
                                       self.store, (*rest, peers[number]), self._options))
        self.wait(self.ready, "the daemons answer", 20)
        self.wait(self.owner, "a daemon is the owner", 20)

    def ready(self):
        probe = f"/q/{uuid.uuid4().hex[:16]}"
        answers = [one.call("GET", probe) for one in self.daemons]
        return all(one is not None and one[0] == 410 for one in answers)

    def owner(self):
        """Returns the daemon that last started to act as the owner, by its log."""
        latest, owner = "", None
        for one in self.daemons:
            if one.process.poll() is not None:
                continue
            lines = [line for line in one.log().splitlines()
                     if " owner_started " in line or " owner_stopped " in line]
            if lines and " owner_started " in lines[-1] and lines[-1] > latest:
                latest, owner = lines[-1], one
        return owner

    def wait(self, condition, what, timeout_s):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if (value := condition()):
                return value
            time.sleep(0.05)
        raise RuntimeError(f"not within {timeout_s} s: {what}")

    def submit(self, steps, spec, daemon=None, prefix="/q/", key="k1", name=None, tries=8,
               **fields):
        """Hands a job in until it is accepted; returns its id, or None."""
        job = name or uuid.uuid4().hex[:16]
        body = json.dumps({"spec": json.dumps(spec), "steps": steps, **fields})
        for attempt in range(tries):
            target = daemon or self.daemons[(hash(job) + attempt) % len(self.daemons)]
            reply = target.call("POST", prefix + job, body, key)
            self.record.add("submit", job=job, daemon=target.name,
                            status=reply[0] if reply else None)
            if reply and reply[0] == 200:
                return job
            time.sleep(0.3)
        return None

    def state(self, job, daemon=None, prefix="/q/", key="k1"):
        """Returns the state that a daemon shows, its status if it is not 200, or None."""
        target = daemon or self.daemons[0]
        reply = target.call("GET", prefix + job, key=key)
        shown = None if reply is None else (
            json.loads(reply[1])["state"] if reply[0] == 200 else reply[0])
        self.record.add("state", job=job, daemon=target.name, shown=shown)
        return shown

    def cancel(self, job, daemon=None, prefix="/q/", key="k1"):
        target = daemon or self.daemons[0]
        reply = target.call("DELETE", prefix + job, key=key)
        self.record.add("cancel", job=job, daemon=target.name, status=reply[0] if reply else None)
        return reply[0] if reply else None

    def close(self):
        for one in self.daemons:
            if one.process.poll() is None:
                one.send(signal.SIGCONT)
                one.kill()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs of the daemons: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(check, file, limit_s=110, **options):
    """Runs check(cell) -> whether the rule held, and exits as the cases require."""
    folder = pathlib.Path(file).resolve().parent
    timer = threading.Timer(limit_s, lambda: os.kill(os.getpid(), signal.SIGALRM))
    timer.daemon = True

    def expire(*_):
        raise RuntimeError(f"the case took longer than {limit_s} s")

    signal.signal(signal.SIGALRM, expire)
    timer.start()
    cell, result = None, CANNOT_RUN
    try:
        cell = Cell(folder, **options)
        result = HELD if check(cell) else BROKEN
    except Exception as error:  # pylint: disable=broad-except
        print(f"cannot run: {error!r}")
        if cell is not None:
            cell.record.add("cannot_run", error=repr(error))
    finally:
        if cell is not None:
            cell.record.add("result", code=result)
            cell.close()
    print({HELD: "held", BROKEN: "BROKEN", CANNOT_RUN: "cannot run"}[result])
    sys.stdout.flush()
    os._exit(result)  # The threads of the stand-ins do not end by themselves.
