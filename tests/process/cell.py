"""Runs a cell of real processes on loopback: daemons, and stand-ins of the platform and the targets."""

import hashlib
import http.client
import json
import os
import pathlib
import shutil
import subprocess
import tempfile

from programs import TIMEOUT_S, Ports, Program, wait_until

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BUILD = pathlib.Path(os.environ.get("ENDIVEUSHER_BUILD", ROOT / "build"))
OPERATOR_KEY = "operator-key"

# Exit codes of endiveusherctl.
RAN, USAGE, NOT_RUN, UNKNOWN, REFUSED = 0, 2, 3, 4, 5


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


def request(address, method, path, body=None, key=None, timeout_s=TIMEOUT_S):
    """Makes one HTTP call; returns (status, parsed JSON or text)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        headers = {"Content-Type": "application/json"}
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        connection.request(method, path, None if body is None else json.dumps(body), headers)
        response = connection.getresponse()
        text = response.read().decode()
    finally:
        connection.close()
    try:
        return response.status, json.loads(text)
    except ValueError:
        return response.status, text


class Cell:
    """Usage: `with Cell({"a": 2, "b": 1}) as cell: cell.ctl("show")`.

    zones maps each zone to its number of daemons; each zone has targets_per_zone targets.
    """

    def __init__(self, zones, targets_per_zone=2, timing=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="endiveusher-"))
        self._ports = Ports(os.getpid() * 61)
        self._timing = timing or {}
        self.log_address = self._address()
        self.vms_address = self._address()
        self.targets = {}
        self.daemons = {}
        self.http = {}
        self._peer = {}
        self._zone = {}
        self._programs = []
        self._target_port = self._ports.take(len(zones) * targets_per_zone)
        for zone, count in zones.items():
            for _ in range(targets_per_zone):
                name = f"t{len(self.targets) + 1}"
                self.targets[name] = f"127.0.0.1:{self._target_port + len(self.targets)}"
                self._zone[name] = zone
            for number in range(count):
                name = f"{zone}{number}"
                self.http[name] = self._address()
                self._peer[name] = self._address()
                self._zone[name] = zone
        self._key_file("operator", OPERATOR_KEY)

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.close(keep=True)
            raise
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None:
            for program in self._programs:
                print(f"--- last output of {program.name}\n{program.output()[-2500:]}")
        self.close(keep=False)

    def close(self, keep):
        for program in reversed(self._programs):
            program.close()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Programs

    def _start(self):
        standin = BUILD / "standins/endiveusher-standin"
        log_port, vms_port = (at.rsplit(":", 1)[1] for at in (self.log_address, self.vms_address))
        self._run("log", [standin, "log", "--port", log_port])
        self._run("vms", [standin, "vms", "--port", vms_port, "--file", self._vm_file()])
        self._run("targets", [standin, "targets", "--port", self._target_port, "--prefix", "t",
                              "--count", len(self.targets)])
        for address in (self.log_address, self.vms_address, *self.targets.values()):
            wait_until(lambda at=address: answers(at), f"the stand-in at {address} accepts requests")
        for name in self.http:
            self.start_daemon(name)
        for name in self.http:
            self.wait_fresh(name)
        wait_until(
            lambda: all(self.metric(name, "endiveusher_members") == len(self.http)
                        for name in self.http),
            "every daemon knows every other",
        )

    def _run(self, name, command):
        program = Program(name, command, self.folder)
        self._programs.append(program)
        return program

    def start_daemon(self, name):
        path = self.write_settings(name)
        self.daemons[name] = self._run(name, [BUILD / "daemon/endiveusherd", "--config", path])

    def write_settings(self, name):
        settings = {
            "vm": name,
            "zone": self._zone[name],
            "http_address": self.http[name],
            "peer_address": self._peer[name],
            "log_url": f"http://{self.log_address}",
            "vm_list_url": f"http://{self.vms_address}",
            "seeds": [peer for other, peer in self._peer.items() if other != name],
            "operator_key_digests": [digest(OPERATOR_KEY)],
            "timing": self._timing,
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(json.dumps(settings))  # JSON is YAML.
        return path

    def wait_fresh(self, name):
        wait_until(lambda: self.metric(name, "endiveusher_fresh") == 1, f"{name} is fresh")

    # Calls

    def metric(self, name, metric):
        """Returns the value of a metric without labels; None if the daemon does not answer."""
        try:
            _, text = request(self.http[name], "GET", "/v1/metrics", timeout_s=5)
        except (OSError, http.client.HTTPException):
            return None
        for line in str(text).splitlines():
            if line.startswith(metric + " "):
                return float(line.split()[1])
        return None

    def ctl(self, *arguments, key=None, daemons=None, expect=RAN):
        """Runs endiveusherctl with --json; returns the parsed output, or its text if it is not JSON.

        key names a key file; expect is the expected exit code, several of them, or None for any.
        """
        result = self.ctl_process(*arguments, key=key, daemons=daemons)
        expected = [expect] if isinstance(expect, int) else expect
        if expected is not None and result.returncode not in expected:
            raise AssertionError(
                f"endiveusherctl {arguments}: exit code {result.returncode}, expected {expect}\n"
                f"{result.stdout}{result.stderr}"
            )
        try:
            return json.loads(result.stdout)
        except ValueError:
            return result.stdout

    def ctl_until(self, expect, *arguments, **options):
        """Repeats a call of endiveusherctl until its exit code is expect."""
        last = []

        def called():
            last[:] = [self.ctl_process(*arguments, **options)]
            return last[0].returncode == expect

        try:
            wait_until(called, f"endiveusherctl {arguments} exits with {expect}")
        except AssertionError as error:
            raise AssertionError(
                f"{error}; last exit code {last[0].returncode}: {last[0].stdout}{last[0].stderr}"
            ) from None

    def ctl_process(self, *arguments, key=None, daemons=None):
        names = daemons or list(self.http)
        options = ["--json", "--daemons", ",".join(self.http[name] for name in names)]
        if key:
            options += ["--key-file", str(self.folder / f"{key}.key")]
        return subprocess.run(
            [str(BUILD / "ctl/endiveusherctl"), *(str(a) for a in arguments), *options],
            capture_output=True, text=True, timeout=120, check=False,
        )

    def _key_file(self, name, key):
        (self.folder / f"{name}.key").write_text(key + "\n")

    def add_team(self, team, *options):
        """Creates a team, and grants it the key in the key file named `team`."""
        self._key_file(team, f"key-of-{team}")
        self.publish("team", "set", team, *options)
        self.publish("key", "grant", team, "--team-key-file", self.folder / f"{team}.key")

    def publish(self, *arguments, **options):
        """Publishes a change; returns its offset in stream control."""
        return int(self.ctl(*arguments, key="operator", **options)["published"]["offset"])

    def submit(self, team, *arguments, **options):
        """Submits a job; returns its request id."""
        return self.ctl("submit", *arguments, key=team, **options)["job"]["request"]

    def job(self, team, request_id, **options):
        return self.ctl("status", request_id, key=team, **options)["job"]

    def wait_for_states(self, team, request_id, state, **options):
        """Waits until all tasks of the job are in the state; returns the job. Retries failed calls."""

        def reached():
            answer = self.ctl("status", request_id, key=team, expect=None, **options)
            job = answer.get("job") if isinstance(answer, dict) else None
            tasks = (job or {}).get("tasks", [])
            return bool(tasks) and all(task["state"] == state for task in tasks) and job

        return wait_until(reached, f"all tasks of {request_id} are {state}")

    # Stand-ins

    def log_faults(self, **faults):
        assert request(self.log_address, "POST", "/faults", faults)[0] == 200

    def zone_of(self, target):
        return self._zone[target]

    def target_faults(self, target, **faults):
        assert request(self.targets[target], "POST", "/faults", faults)[0] == 200

    def starts(self, request_id):
        """Returns the number of starts by task index; tasks that never started are left out."""
        _, starts = request(next(iter(self.targets.values())), "GET", "/starts")
        return {
            int(key.rsplit("/", 1)[1]): count
            for key, count in starts.items() if key.rsplit("/", 1)[0] == request_id
        }

    def violations(self):
        """Returns the nonzero counts of violations detected by the targets, by name."""
        _, counts = request(next(iter(self.targets.values())), "GET", "/violations")
        return {name: count for name, count in counts.items() if count}

    def remove_vm(self, name):
        assert request(self.vms_address, "DELETE", f"/v1/vms/{name}")[0] == 200

    def _vm_file(self):
        vms = [
            {"name": name, "zone": self._zone[name], "role": "target", "address": address}
            for name, address in self.targets.items()
        ] + [
            {"name": name, "zone": self._zone[name], "role": "entry", "address": address}
            for name, address in self._peer.items()
        ]
        path = self.folder / "vms.json"
        path.write_text(json.dumps({"vms": vms}))
        return path

    def _address(self):
        return f"127.0.0.1:{self._ports.take()}"


def answers(address):
    try:
        request(address, "GET", "/", timeout_s=5)
    except (OSError, http.client.HTTPException):
        return False
    return True
