"""A small cell for the cases of the second review: the daemons of the deploy file as separate
processes, and the project's stand-ins of the store and the targets, all on loopback.

Everything that was sent, answered and run is written to record.txt in the folder of the case."""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests/platform_soak"))
sys.path.insert(0, str(ROOT / "tests/process"))

from programs import Ports  # noqa: E402
from store import Store  # noqa: E402
from target import Target  # noqa: E402

# Exit codes of a case, which run.sh maps to 1, 0 and 2: an uncaught exception ends Python with 1.
BROKEN, HELD, COULD_NOT_RUN = 10, 0, 2
# Time after which a case is given up, below the 120 s that it may take.
LONGEST_S = 105
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
COMMAND = [str(ROOT / "target/daemon/endiveusherd"), "--platform"]
ZONES = ["a", "b"]
# Bounds of the site brot-nord, a shorter statement of the same sheet as in DEPLOY.md.
SETTINGS = """\
node={name}
role=scheduler
machine_class=front
serves=front
ip=127.0.0.1
zone={zone}
region=r
zones.a=r
zones.b=r
listen.front={front}
listen.readiness={readiness}
port_range={peer},{last}
seeds=
bootstrap=true
limits.cpu_share=0.25
limits.cores=1
limits.memory_mb=260
limits.max_fds=4200
discovery=platform
entry=vip
heartbeat_ms=1500
policies=base,drain,config,cost,recover,sched,tenants,quota,places,platform
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_ms=2000
bounds.downgrade_ms=250
bounds.stretch_max_ms=5000
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.quota_over=0.1
bounds.evac_ms=5000
bounds.recover_s=12
bounds.hold_max_ms=6000
bounds.stop_ms=200
bounds.gang_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remote_factor=3
bounds.save_s=2
bounds.restore_ms=100
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.pace_ms=100
control_mode=invocation
platform.addr={store}
platform.form=log
platform.writes_per_s=600
platform.reads_per_s=2000
platform.parts=32
platform.append_ms=2.0
platform.partition_mb_s=20.0
platform.read_mb_s=80.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.keep_s=300
platform.part_mb=200
platform.ttl_min_ms=1000
"""


PROCESSES = []  # Every daemon that was started.


def end_processes():
    for process in PROCESSES:
        if process.poll() is None:
            process.kill()
            process.wait()


class Record:
    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()
        self.lines = []

    def write(self, text):
        with self._lock:
            line = f"{time.monotonic() - self._start:8.3f} {text}"
            self.lines.append(line)
            self._file.write(line + "\n")
            self._file.flush()


class Observer:
    """What the targets report to: keeps who runs what, and every start and end."""

    def __init__(self, record):
        self._record = record
        self._random = random.Random(1)
        self._lock = threading.Lock()
        self.running = {}  # (task, run): target
        self.starts = []  # (time, task, run, target)
        self.ends = []  # (time, task, run, target, how)
        self.acknowledged = []  # (time, task, how)

    def note(self, text):
        self._record.write(f"target: {text}")

    def report_violation(self, text):
        self._record.write(f"stand-in: {text}")

    def chance(self, probability):
        return self._random.random() < probability

    def uniform(self, low, high):
        return self._random.uniform(low, high)

    def choice(self, values):
        return self._random.choice(values)

    def run_started(self, target, task, run, *_):
        with self._lock:
            self.running[(task, run)] = target
            self.starts.append((time.monotonic(), task, run, target))
        self._record.write(f"{target} started {task} run {run}")

    def run_ended(self, target, task, run, how):
        with self._lock:
            self.running.pop((task, run), None)
            self.ends.append((time.monotonic(), task, run, target, how))
        self._record.write(f"{target} ended {task} run {run}: {how}")

    def run_lost(self, target, task, run):
        with self._lock:
            self.running.pop((task, run), None)
        self._record.write(f"{target} crashed under {task} run {run}")

    def end_acknowledged(self, task, how):
        self.acknowledged.append((time.monotonic(), task, how))
        self._record.write(f"end taken note of: {task} {how}")

    def runs_of(self, job):
        with self._lock:
            return {key: at for key, at in self.running.items() if key[0].startswith(job)}

    def starts_of(self, job):
        with self._lock:
            return [one for one in self.starts if one[1].startswith(job)]


class Daemon:
    def __init__(self, cell, name, zone):
        ports = cell.ports
        self.name = name
        self.front = f"127.0.0.1:{ports.take()}"
        self.readiness = f"127.0.0.1:{ports.take()}"
        peer = ports.take(2)
        self._cell, self._settings = cell, cell.folder / f"{name}.conf"
        self._settings.write_text(
            SETTINGS.format(name=name, zone=zone, front=self.front, readiness=self.readiness,
                            peer=peer, last=peer + 1, store=cell.store_address(name))
            + cell.extra_settings
        )
        self.log = cell.folder / f"{name}.log"
        self.start()

    def start(self):
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=self._cell.folder, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={**os.environ, "ENDIVEUSHER_BOOT": str(self._settings)},
            )
        PROCESSES.append(self.process)
        self._cell.record.write(f"{self.name} started")

    def send(self, number):
        self._cell.record.write(f"{self.name} gets {signal.Signals(number).name}")
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    def restart(self):
        """Kills the process and starts it again."""
        self.send(signal.SIGKILL)
        self.process.wait()
        self.start()


class SmallCell:
    """tenants: keys by name of the tenant. routes: fields of the routes. store_proxies: whether each
    daemon reaches the store through a proxy of its own (self.proxies). up_s: time for which the
    workers have been up, by their clocks."""

    def __init__(self, case, daemons=3, targets=8, cpu_milli=32000, tenants=None, routes=None,
                 settings="", store_proxies=False, seed=1, target_class=Target, up_s=0):
        self.record = Record(case)
        self.observer = Observer(self.record)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.ports = Ports(os.getpid() * 37)
        self.extra_settings = settings
        self.proxies = {}
        self._store_proxies = store_proxies
        self._store_port = self.ports.take()
        self.targets, self.daemons = [], []
        self.store = Store(self._store_port, seed, self.observer.report_violation)
        self.version = 0
        self.tenants = tenants or {"red": ["kred"]}
        self.routes = routes or [{"name": "batch", "host": "h", "path_prefix": "/b/"}]
        self.configure()
        for number in range(targets):
            target = target_class(f"w{number}", self.ports.take(), ZONES[number % 2], cpu_milli,
                                  self.store, self.observer, up_s=up_s)
            self.targets.append(target)
        for number in range(daemons):
            self.daemons.append(Daemon(self, f"d{number}", ZONES[number % 2]))

    def store_address(self, name):
        if not self._store_proxies:
            return f"127.0.0.1:{self._store_port}"
        from proxy import Proxy

        self.proxies[name] = Proxy(self.ports.take(), ("127.0.0.1", self._store_port))
        return self.proxies[name].address

    def configure(self):
        self.version += 1
        config = {
            "version": self.version,
            "routes": [{"service": "pool", "priority": 1, "max_attempts": 3, "stretch": 2.2,
                        "slo_ms": 1000, **route} for route in self.routes],
            "services": [{"name": "pool"}],
            "tenants": [{"name": name, "api_keys": keys, "weight": 10,
                         "upper_limit": {"cpu": 0, "mem_mb": 0, "gpu": 0}}
                        for name, keys in self.tenants.items()],
            "limits": {"max_body_bytes": 262144},
        }
        self.record.write(f"configuration: {json.dumps(config)}")
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    def call(self, daemon, method, path, key="kred", body=None, timeout_s=4.0):
        """Returns status and body; None if there is no complete answer."""
        connection = http.client.HTTPConnection(daemon.front, timeout=timeout_s)
        headers = {"Host": "h", "Deadline-Ms": "3000"}
        if key is not None:
            headers["Credential"] = key
        if body is not None:
            body = json.dumps(body)
            headers["Content-Type"] = "application/json"
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            answer = (response.status, response.read())
        except (OSError, http.client.HTTPException) as error:
            answer = None
            self.record.write(f"{daemon.name}: {method} {path} ({key}): no answer ({error!r})")
        finally:
            connection.close()
        if answer is not None:
            sent = f" {body}" if body else ""
            self.record.write(f"{daemon.name}: {method} {path} ({key}){sent} -> {answer[0]} "
                              f"{answer[1].decode(errors='replace')}")
        return answer

    def state(self, daemon, path, key="kred"):
        """Returns the state of a job, the status if it isn't 200, or None."""
        answer = self.call(daemon, "GET", path, key)
        if answer is None:
            return None
        return json.loads(answer[1])["state"] if answer[0] == 200 else answer[0]

    def wait_until_ready(self, path="/b/0123456789abcdef", key="kred"):
        for daemon in self.daemons:
            wait_for(lambda: (self.call(daemon, "GET", path, key) or (0,))[0] == 410, 20,
                     f"{daemon.name} has read the store")

    def submit(self, path, body, key="kred", daemon=None):
        """Hands a job in until it is accepted."""
        def accepted():
            answer = self.call(daemon or self.daemons[0], "POST", path, key, body)
            return answer is not None and answer[0] == 200
        wait_for(accepted, 20, f"{path} is accepted")

    def close(self):
        for daemon in self.daemons:
            daemon.end()
        for target in self.targets:
            target.close()
        for proxy in self.proxies.values():
            proxy.close()
        self.store.close()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CouldNotRun(Exception):
    pass


def wait_for(condition, seconds, what):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if result := condition():
            return result
        time.sleep(0.05)
    raise CouldNotRun(f"not within {seconds} s: {what}")


def give_up():
    print(f"could not run: not over after {LONGEST_S} s", flush=True)
    end_processes()
    os._exit(COULD_NOT_RUN)


def run_case(case, body, **cell):
    """Runs body(cell), which returns what broke the rule, or None. Ends the process with its exit
    code, and all that it has started."""
    watchdog = threading.Timer(LONGEST_S, give_up)
    watchdog.daemon = True
    watchdog.start()
    code, made = COULD_NOT_RUN, None
    try:
        made = SmallCell(case, **cell)
        broken = body(made)
        code = BROKEN if broken else HELD
        outcome = f"BROKEN: {broken}" if broken else "held"
    except Exception as error:  # Whatever it is, it says nothing of the rule.
        outcome = f"could not run: {error!r}"
    try:
        if made is not None:
            made.record.write(outcome)
            made.close()
    finally:
        end_processes()
        print(outcome, flush=True)
        os._exit(code)
