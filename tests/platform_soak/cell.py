"""A cell of real daemons on loopback with stand-ins for the store, targets and operator."""

import http.client
import json
import os
import pathlib
import random
import re
import signal
import sys
import tempfile
import threading
import time
import urllib.request
import uuid

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests/process"))

from checker import READ_LIMIT_S, Checker, Job  # noqa: E402
from journal_model import STATUS_RETENTION_S  # noqa: E402
from programs import Ports, Program, wait_until  # noqa: E402
from proxy import Proxy  # noqa: E402
from store import Store  # noqa: E402
from target import ALONE, GANG, LONG_RUNNING, GangRuns, Target  # noqa: E402

ZONES = ["a", "b"]
TARGET_CPU_MILLI = 8000
# Time on the clocks of the first incarnations. Those of later ones begin at 0, so that orders to a
# former one state a time that is far ahead.
TARGET_UP_S = 3600
TEAM_LIMIT_CPU_MILLI = 24000
# Time within which a revoked key must stop being accepted.
REVOCATION_LIMIT_S = 5.0
# Time within which every daemon must know an acknowledged job, also under overlapping faults:
# bounds.visible_ms.
VISIBILITY_LIMIT_S = 3.0
CALL_TIMEOUT_S = 4.0
# A connection that ends later after a request than this, without an answer, counts as unanswered.
END_SLACK_S = 0.2
SUBMIT_ATTEMPTS = 6
CANCEL_ATTEMPTS = 8
# Jobs of long tasks are always cancelled, and need few processors, so that the cell isn't full of
# them. The longest tasks end only if they are stopped before RUN_LIMIT_S of the checker; the others
# release their job's next step more than CANCEL_LIMIT_S after the cancellation.
LONGEST_WORK_MS, RELEASING_WORK_MS = 15000, 4500
LONG_CPU_MILLI, LONG_SHARE = 500, 0.35
# Share of the jobs that recur, and are cancelled meanwhile.
RECURRING_SHARE = 0.15
# Time from the submission to the cancellation.
CANCEL_DELAYS_S = [0, 0.05, 0.3, 1, 2]
CHECK_INTERVAL_S = 0.1
# The daemons write a snapshot every quarter of it. The store's stand-in deletes nothing by age.
RECORD_RETENTION_S = 16


class Daemon:
    def __init__(self, name, zone, folder, ports, store_port, hold_max_ms, settings="",
                 rewrites=None, arguments=()):
        """arguments: further ones of the command line. rewrites: addresses of daemons and of the
        proxies through which others reach them; without it, they reach each other directly."""
        self.name = name
        self.address = f"127.0.0.1:{ports.take()}"
        self.store = Proxy(ports.take(), ("127.0.0.1", store_port))
        self.readiness_address = f"127.0.0.1:{ports.take()}"
        peer_port = ports.take()
        self.peer_address = f"127.0.0.1:{peer_port}"
        self.peers = None
        if rewrites is not None:
            self.peers = Proxy(ports.take(), ("127.0.0.1", peer_port))
            rewrites[self.peer_address.encode()] = self.peers.address.encode()
            self.peers.rewrites = self.store.rewrites = rewrites
        self._settings = folder / f"{name}.conf"
        self._settings.write_text(
            f"node={name}\nzone={zone}\nip=127.0.0.1\nlisten.front={self.address}\n"
            f"listen.readiness={self.readiness_address}\nport_range={peer_port},0\n"
            f"platform.addr={self.store.address}\nbounds.hold_max_ms={hold_max_ms}\n"
            f"bounds.revoke_ms={int(REVOCATION_LIMIT_S * 1000)}\n"
            f"bounds.grace_s=6\nbounds.status_s={STATUS_RETENTION_S}\n"
            f"platform.keep_s={RECORD_RETENTION_S}\n{settings}"
        )
        binary = pathlib.Path(os.environ.get("ENDIVEUSHER_BUILD", ROOT / "build"))
        self._command = [str(binary / "daemon/endiveusherd"), "--platform", *arguments]
        self._folder = folder
        self._environment = {"ENDIVEUSHER_BOOT": str(self._settings)}
        self._paused = False
        self._disturbed_at = 0.0
        self.silenced = []  # Parts of request lines to which the store's answers are lost.
        self.store.swallows = lambda line: any(part in line for part in self.silenced)
        self.start()

    def pause(self):
        self._paused = True
        self.process.send(signal.SIGSTOP)

    def resume(self):
        if self._paused:
            self._disturbed_at = time.monotonic()
        self._paused = False
        self.process.send(signal.SIGCONT)

    def restart(self, signal_number):
        # A process that a pause has stopped receives SIGTERM only when it continues.
        self.resume()
        if signal_number == signal.SIGKILL:
            self._disturbed_at = time.monotonic()
        self.process.send(signal_number)
        self.process.wait()
        self.process.close()
        self.start()

    def disturbed(self, since):
        """Whether the process has been killed or paused since a time."""
        return self._paused or self._disturbed_at >= since

    def start(self):
        self.process = Program(self.name, self._command, self._folder, self._environment)

    def reload(self):
        """Changes the settings file and tells the daemon so."""
        with self._settings.open("a") as settings:
            settings.write(f"bounds.status_s={STATUS_RETENTION_S}\n")
        self.process.send(signal.SIGHUP)

    def team_use(self):
        """Returns the past use of each team that the daemon counts as the owner."""
        try:
            with urllib.request.urlopen(f"http://{self.peer_address}/state", timeout=1) as answer:
                state = answer.read()
        except OSError:
            return []
        found = re.findall(rb"(?m)^team (\S+) .*use_s=(\S+)", state)
        return [[team, float(use)] for team, use in found]

    def close(self):
        self.process.close()
        self.store.close()
        if self.peers is not None:
            self.peers.close()


class Cell:
    def __init__(self, seed, daemons=4, targets=6, max_attempts=50, hold_max_ms=6000,
                 settings="", proxied_peers=False, arguments=()):
        """settings: further lines of the daemons' settings files. arguments: further ones of their
        command lines. proxied_peers: whether they reach each other through Daemon.peers."""
        self.random = random.Random(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
        ports = Ports(os.getpid() * 37)
        store_port = ports.take()
        self._max_attempts = max_attempts
        self.checker = Checker(seed, TEAM_LIMIT_CPU_MILLI, max_attempts, hold_max_ms / 1000)
        self.gangs = GangRuns(self.checker)
        self.recut = None  # The fault that cuts off the targets of a zone, while it lasts.
        self.store = Store(store_port, seed, self.checker.report_violation)
        self.version = 0
        self.spare_key_revoked_at = None
        self.limit_cpu_milli = TEAM_LIMIT_CPU_MILLI
        self.configure()
        self.targets, self.target_proxies = [], []
        for number in range(targets):
            port = ports.take()
            zone = ZONES[number % len(ZONES)]
            target = Target(
                f"t{number}", port, zone, TARGET_CPU_MILLI, self.store, self.checker, self.gangs,
                hold_max_ms, TARGET_UP_S,
            )
            proxy = Proxy(ports.take(), ("127.0.0.1", port), seed * targets + number)
            target.registry_address = proxy.address
            self.targets.append(target)
            self.target_proxies.append(proxy)
        rewrites = {} if proxied_peers else None
        self.daemons = [
            Daemon(f"d{number}", ZONES[number % len(ZONES)], self.folder, ports, store_port,
                   hold_max_ms, settings, rewrites, arguments)
            for number in range(daemons)
        ]
        self._stop = threading.Event()
        self._asker_seed = seed
        self._clients = []

    def configure(self):
        """Publishes the next version of the configuration."""
        self.version += 1
        keys = {"red": ["kred"], "blue": ["kblue"]}
        if self.spare_key_revoked_at is None:
            keys["red"].append("kspare")
        route = {"host": "h", "service": "pool", "max_attempts": self._max_attempts,
                 "stretch": 3.0, "slo_ms": 500}
        config = {
            "version": self.version,
            "routes": [
                {"name": "urgent", "path_prefix": "/u/", "priority": 0, **route},
                {"name": "batch", "path_prefix": "/b/", "priority": 2, **route},
            ],
            "services": [{"name": "pool"}],
            "tenants": [
                {"name": name, "api_keys": keys[name], "weight": 1,
                 "upper_limit": {"cpu": self.limit_cpu_milli, "mem_mb": 0, "gpu": 0}}
                for name in keys
            ],
            "limits": {"max_body_bytes": 262144},
        }
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    def evacuate(self, zone, out):
        self.store.put("keyed.op", f"evacuate/{zone}", b"{}" if out else None)

    def call(self, daemon, method, path, key, body=None):
        """Returns status and body; None if there is no complete answer."""
        connection = http.client.HTTPConnection(daemon.address, timeout=CALL_TIMEOUT_S)
        sent = None
        try:
            headers = {"Host": "h", "Credential": key, "Deadline-Ms": "3000"}
            connection.request(method, path, body, headers)
            sent = time.monotonic()
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException) as error:
            after = time.monotonic() - (sent or time.monotonic())
            if after > END_SLACK_S and not daemon.disturbed(sent):
                self.checker.report_violation(
                    f"not answered: {method} {path} at {daemon.name} after {after:.1f} s: {error!r}"
                )
            return None
        finally:
            connection.close()

    def wait_until_ready(self):
        probe = f"/b/{uuid.uuid4().hex[:16]}"

        def ready():
            answers = [self.call(daemon, "GET", probe, "kred") for daemon in self.daemons]
            return all(answer is not None and answer[0] == 410 for answer in answers)

        wait_until(ready, "daemons have read the store")

    def owners(self):
        """Returns the daemons that have become owners, by the time, in ms."""
        return {
            int(line.split(" ", 1)[0]): daemon for daemon in self.daemons
            for line in daemon.process.output().splitlines() if " owner_started " in line
        }

    def owner(self):
        """Returns the daemon that has become owner last; it may have ended since."""
        owners = self.owners()
        return owners[max(owners)] if owners else None

    def submit(self, steps, work_ms, team="red", route="b"):
        """Submits a job, whose tasks all need the same, and returns it once it is accepted."""
        job = Job(uuid.uuid4().hex[:16], team, steps, steps[0]["cpu"])
        self.checker.submitted(job)
        wait_until(
            lambda: self._submit(job, route, work_ms, self.random) or job.accepted_at,
            "the job is accepted",
        )
        return job

    def start_clients(self, count):
        for number in range(count):
            seed = self.random.random()
            self._clients.append(threading.Thread(target=self._client, args=(number, seed)))
        for loop in (self._revoked_client, self._asker, self._watch_cancelled):
            self._clients.append(threading.Thread(target=loop))
        for client in self._clients:
            client.start()

    def stop_clients(self):
        self._stop.set()
        for client in self._clients:
            client.join()

    def _client(self, number, seed):
        rng = random.Random(seed)
        team = ["red", "blue"][number % 2]
        while not self._stop.wait(rng.uniform(0.05, 0.6)):
            job, work_ms = self._draw_job(team, rng)
            self.checker.submitted(job)
            route = rng.choice(["u", "b"])
            self._submit(job, route, work_ms, rng)
            is_cancelled = work_ms >= RELEASING_WORK_MS or job.extra or rng.random() < 0.1
            if job.accepted_at and is_cancelled:
                self._cancel(job, route, rng)
            if job.accepted_at:
                self._query_state(job, route, rng.choice(self.daemons))

    def _draw_job(self, team, rng):
        """Returns a job and the time that each of its tasks takes."""
        cpu, work_ms, count = rng.choice([500, 1000, 2000]), rng.choice([100, 300, 800]), 4
        is_long = rng.random() < LONG_SHARE
        if is_long:
            cpu, work_ms = LONG_CPU_MILLI, rng.choice([LONGEST_WORK_MS, RELEASING_WORK_MS])
            count = 2
        steps = [{"count": rng.randint(1, count), "cpu": cpu, "mem_mb": 10,
                  "estimate_ms": work_ms}]
        kind = rng.random()
        if kind < 0.3:
            steps[0]["gang"] = True
        if work_ms == RELEASING_WORK_MS or rng.random() < 0.3:
            steps.append({**steps[0], "count": 2, "after": [0]})
        elif is_long and kind > 0.7:
            steps[0]["long_running"] = True
        job = Job(uuid.uuid4().hex[:16], team, steps, cpu)
        if not is_long and rng.random() < RECURRING_SHARE:
            self._make_recurring(job)
        return job, work_ms

    @staticmethod
    def _make_recurring(job):
        job.extra = {"first_ms": int(time.time() * 1000), "interval_ms": 500, "repeat_count": 40}

    def submit_recurring(self):
        """Submits a job of short tasks, one each half second; None if it is not accepted."""
        steps = [{"count": 1, "cpu": LONG_CPU_MILLI, "mem_mb": 10, "estimate_ms": 100}]
        job = Job(uuid.uuid4().hex[:16], "red", steps, LONG_CPU_MILLI)
        self._make_recurring(job)
        self.checker.submitted(job)
        self._submit(job, "b", 100, self.random)
        return job if job.accepted_at else None

    def submit_long(self, team, count, cpu_milli, work_ms, rng):
        """Submits an urgent job that nobody cancels."""
        steps = [{"count": count, "cpu": cpu_milli, "mem_mb": 10, "estimate_ms": work_ms}]
        job = Job(uuid.uuid4().hex[:16], team, steps, cpu_milli)
        self.checker.submitted(job)
        self._submit(job, "u", work_ms, rng)

    def _submit(self, job, route, work_ms, rng):
        step = job.steps[0]
        kind = (GANG if step.get("gang") else LONG_RUNNING if step.get("long_running") else ALONE)
        body = json.dumps({"spec": f"{work_ms}:{job.cpu_milli}:{kind}", "steps": job.steps,
                           **job.extra})
        rejections = 0
        for _ in range(SUBMIT_ATTEMPTS):
            answer = self.call(
                rng.choice(self.daemons), "POST", f"/{route}/{job.name}", f"k{job.team}", body
            )
            if answer is not None and answer[0] == 200:
                job.accepted_at = time.monotonic()
                job.route = route
                return
            rejections += answer is not None and answer[0] in (429, 503)
            time.sleep(0.3)
        job.rejected = rejections == SUBMIT_ATTEMPTS

    def _cancel(self, job, route, rng):
        """Cancels the job after a while, at up to three daemons at once, until one confirms it."""
        time.sleep(rng.choice(CANCEL_DELAYS_S))
        for _ in range(CANCEL_ATTEMPTS):
            chosen = rng.sample(self.daemons, rng.choice([1, 1, 2, 3]))
            callers = [
                threading.Thread(target=self.cancel_at, args=(job, route, one)) for one in chosen
            ]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join()
            if job.cancelled:
                return
            time.sleep(0.1)

    def cancel_at(self, job, route, daemon):
        """Sends one cancellation to the daemon."""
        # From now on the job may be cancelled or not, until a daemon confirms it.
        job.cancel_sent, job.accepted_at = True, None
        answer = self.call(daemon, "DELETE", f"/{route}/{job.name}", f"k{job.team}")
        self.checker.note(f"cancel {job.name} at {daemon.name}: {answer}")
        if answer is not None and answer[0] == 200:
            self.checker.confirmed_cancelled(job)

    def query_state(self, job, daemon):
        """As _query_state, for a job that was accepted."""
        return self._query_state(job, job.route, daemon)

    def _query_state(self, job, route, daemon):
        """Queries and checks the state of the job at the daemon; None if it reports none."""
        sent, accepted_at, shown = time.monotonic(), job.accepted_at, job.shown_end
        answer = self.call(daemon, "GET", f"/{route}/{job.name}", f"k{job.team}")
        if answer is None:
            return None
        # A job is kept for STATUS_RETENTION_S after its end, cancelled or not.
        known = accepted_at and sent - accepted_at > VISIBILITY_LIMIT_S
        kept = shown and sent - shown[2] > READ_LIMIT_S
        is_early = time.monotonic() - job.submitted_at < STATUS_RETENTION_S
        if answer[0] == 410 and (known or (kept and is_early)):
            self.checker.report_violation(f"accepted but unknown: {job.name} at {daemon.name}")
        if answer[0] != 200:
            return None
        state = json.loads(answer[1])["state"]
        self.checker.state_shown(job, state, daemon.name, sent)
        if state == "completed":
            self.checker.reported_completed(job)
        elif state == "failed":
            self.checker.reported_failed(job, daemon.name)
        elif state == "cancelled" and not job.cancel_sent:
            self.checker.report_violation(f"accepted but {state}: {job.name} at {daemon.name}")
        return state

    def _asker(self):
        """Asks for earlier jobs again, also for cancelled ones."""
        rng = random.Random(self._asker_seed)
        while not self._stop.wait(CHECK_INTERVAL_S):
            known = [job for job in self.checker.jobs() if job.route and not job.rejected]
            if known:
                job = rng.choice(known[-200:])
                self._query_state(job, job.route, rng.choice(self.daemons))

    def _watch_cancelled(self):
        while not self._stop.wait(CHECK_INTERVAL_S):
            self.checker.check_cancelled()

    def ask_for_cancelled(self):
        """Asks each daemon for the last cancelled jobs."""
        for job in [one for one in self.checker.jobs() if one.cancelled][-20:]:
            for daemon in self.daemons:
                self._query_state(job, job.route, daemon)

    def _revoked_client(self):
        """Submits jobs with the spare key and checks REVOCATION_LIMIT_S once it is revoked."""
        while not self._stop.wait(0.3):
            daemon = random.choice(self.daemons)
            job = Job(uuid.uuid4().hex[:16], "red", [{"count": 1, "cpu": 500}], 500)
            self.checker.submitted(job)
            sent = time.monotonic()
            body = json.dumps({"spec": "100:500:0", "steps": job.steps})
            answer = self.call(daemon, "POST", f"/b/{job.name}", "kspare", body)
            accepted = answer is not None and answer[0] == 200
            revoked = self.spare_key_revoked_at
            if accepted and revoked is not None and sent - revoked > REVOCATION_LIMIT_S:
                self.checker.report_violation(
                    f"accepted with a revoked key: {job.name} at {daemon.name}"
                )

    def unfinished(self):
        """Returns the accepted jobs that are not reported as completed, or as failed with cause."""
        left = []
        for job in self.checker.jobs():
            if job.accepted_at is None:
                continue
            state = self._query_state(job, job.route, self.random.choice(self.daemons))
            if state == "completed" or (state == "failed" and self.checker.may_fail(job)):
                job.accepted_at = None
            else:
                left.append(job.name)
        return left

    def close(self):
        for part in self.daemons + self.targets + self.target_proxies:
            part.close()
        self.store.close()
