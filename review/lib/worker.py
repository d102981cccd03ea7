"""Stand-in for a worker, as the users' PROTOCOL.md describes it, and the record of what ran.

The spec of a job is a JSON object: `ms` is the time that a task works, `end` how it ends (done)."""

import json
import threading
import time

from httpd import HttpServer, Reset, Silence
from store import answer

MAX_LEASE_MS = 10000  # bounds.hold_max_ms
REGISTRY_INTERVAL_S = 1.5  # heartbeat_ms
GANG_MS = 3000  # bounds.gang_ms


class Record:
    """Writes record.txt: one line for each event, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._lock = threading.Lock()
        self._start = time.monotonic()
        self.events = []  # (time, kind, fields)

    def now(self):
        return time.monotonic() - self._start

    def add(self, kind, **fields):
        with self._lock:
            now = self.now()
            self.events.append((now, kind, fields))
            text = " ".join(f"{name}={value}" for name, value in fields.items())
            self._file.write(f"{now:9.3f} {kind} {text}\n")
            self._file.flush()

    def of(self, kind):
        with self._lock:
            return [(at, fields) for at, one, fields in self.events if one == kind]


class Run:
    def __init__(self, number, spec, now):
        self.number, self.spec, self.started = number, spec, now
        self.works_from = None if spec.get("gang") else now


class Gangs:
    """Which members of a run of a gang are present; workers share it."""

    def __init__(self):
        self.lock = threading.Condition()
        self.present = {}  # (step, run) -> {task: worker}
        self.ended = {}  # (step, run) -> how its first member ended


class Worker:
    """`mode`: '' (serves) or 'dark' (without power: silent)."""

    def __init__(self, name, store, record, gangs, cpu=8000, labels=("a", "r1"), zone="z1",
                 machine=None, service="pool", decide_end=None):
        self.name, self.cpu, self.labels, self.zone = name, cpu, list(labels), zone
        self.machine, self.service = machine or f"m-{name}", service
        self._store, self._record, self._gangs = store, record, gangs
        self._decide_end = decide_end  # (worker, task, run) -> how a run ends now, or None.
        self._lock = threading.Condition()
        self.mode, self.life, self.draining = "", 0, False
        self._begin()
        self._server = HttpServer(self._serve, tag=lambda: (self.life, self.mode))
        self.address = self._server.address
        self.register()
        for loop in (self._register_loop, self._work_loop):
            threading.Thread(target=loop, daemon=True).start()

    def _begin(self):
        self.life += 1
        self.born = int(time.time() * 1000)
        self._clock_start = time.monotonic()
        self._fence = self._lease = self._sequence = self._ends_count = 0
        self.runs, self._last, self._ends = {}, {}, []

    def clock(self):
        return int((time.monotonic() - self._clock_start) * 1000)

    def lose_power(self):
        with self._lock:
            self.mode = "dark"
            for task, run in self.runs.items():
                self._record.add("lost", worker=self.name, life=self.life, task=task,
                                 run=run.number)
            self.runs = {}
            self._lock.notify_all()
        self._record.add("power_off", worker=self.name, life=self.life)

    def return_power(self, cpu=None, labels=None):
        """Starts a new life under the same id."""
        with self._lock:
            self.cpu, self.labels = cpu or self.cpu, list(labels or self.labels)
            self._begin()
            self.mode = ""
            self._lock.notify_all()
        self._record.add("power_on", worker=self.name, life=self.life, born=self.born,
                         cpu=self.cpu, labels="/".join(self.labels))
        self.register()

    def register(self):
        self._sequence += 1
        self._store.put("keyed.servers", self.name, {
            "service": self.service, "addr": self.address, "zone": self.zone, "version": "1",
            "slots": 8, "state": "draining" if self.draining else "ready", "warmup_left_ms": 0,
            "sequence": self._sequence, "born": self.born, "machine": self.machine,
            "labels": self.labels, "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0}})

    def _register_loop(self):
        while True:
            time.sleep(REGISTRY_INTERVAL_S)
            if not self.mode:
                self.register()

    def _serve(self, request):
        life, mode = request.connection.tag
        if self.mode == "dark":
            # The packets get no acknowledgement; after the return they are answered with a reset.
            while self.mode == "dark":
                time.sleep(0.01)
            raise Reset()
        if life != self.life or mode:
            raise Reset()  # A connection that the machine does not know any more.
        if request.headers.get("expect-instance", self.name) != self.name:
            return self._answer(421)
        fields = json.loads(request.body)
        with self._lock:
            if fields.get("fence", 0) < self._fence:
                return self._answer(409, reason="fence")
            self._fence = fields.get("fence", 0)
            if request.path == "/run-start":
                return self._start(fields)
            if request.path == "/run-stop":
                return self._stop(fields)
            if request.path == "/hold":
                return self._hold(fields, life)
            if request.path == "/pace":
                return self._answer(200)
            return self._answer(400)

    def _answer(self, status, **fields):
        return answer(status, wall_clock_ms=self.clock(), born=self.born, **fields)

    def _extend(self, fields):
        if "deadline_ms" in fields:
            self._lease = max(self._lease, min(fields["deadline_ms"], self.clock() + MAX_LEASE_MS))

    def _start(self, fields):
        task, number = fields["task"], fields["run"]
        if fields["deadline_ms"] <= self.clock():
            return self._answer(409, reason="late")
        self._extend(fields)
        if task in self.runs and self.runs[task].number == number:
            return self._answer(200)
        if task in self.runs or number <= self._last.get(task, 0):
            return self._answer(409, reason="old")
        run = Run(number, json.loads(fields["spec"] or "{}"), time.monotonic())
        self.runs[task] = run
        self._record.add("started", worker=self.name, life=self.life, task=task, run=number,
                         checkpoint=fields.get("checkpoint", ""), fence=fields["fence"])
        if run.spec.get("gang"):
            key = (task.rsplit(".", 1)[0], number)
            with self._gangs.lock:
                self._gangs.present.setdefault(key, {})[task] = self
        return self._answer(200)

    def _stop(self, fields):
        task, number = fields["task"], fields["run"]
        self._last[task] = max(self._last.get(task, 0), number)
        if task in self.runs and self.runs[task].number <= number:
            self._end(task, "stopped")
        return self._answer(200)

    def _end(self, task, how):
        run = self.runs.pop(task)
        self._last[task] = max(self._last.get(task, 0), run.number)
        self._ends_count += 1
        self._ends.append([self._ends_count, task, run.number, how, ""])
        self._record.add("ended", worker=self.name, life=self.life, task=task, run=run.number,
                         how=how, number=self._ends_count)
        if run.spec.get("gang"):
            with self._gangs.lock:
                self._gangs.ended.setdefault((task.rsplit(".", 1)[0], run.number), how)
        self._lock.notify_all()

    def _hold(self, fields, life):
        self._extend(fields)
        acked = fields.get("acked_upto", 0)
        for end in self._ends:
            if end[0] <= acked:
                self._record.add("noted", worker=self.name, life=self.life, task=end[1],
                                 run=end[2], how=end[3])
        self._ends = [end for end in self._ends if end[0] > acked]
        until = time.monotonic() + fields.get("wait_ms", 0) / 1000
        while not self._ends and time.monotonic() < until and self.life == life and not self.mode:
            self._lock.wait(until - time.monotonic())
        if self.life != life or self.mode:
            raise Silence()  # Lost with the power; nothing tells the caller.
        running = [[task, run.number, "", 100, 0] for task, run in self.runs.items()]
        return self._answer(200, running=running, ended=self._ends[:500])

    def _work_loop(self):
        while True:
            time.sleep(0.005)
            with self._lock:
                if not self.mode:
                    for task, run in list(self.runs.items()):
                        how = self._how(task, run)
                        if how:
                            self._end(task, how)

    def _how(self, task, run):
        """How the run ends now; None if it goes on."""
        now = time.monotonic()
        if self._lease <= self.clock():
            return "lapsed"
        if self._decide_end is not None and (how := self._decide_end(self, task, run, now)):
            return how
        if run.spec.get("gang"):
            key = (task.rsplit(".", 1)[0], run.number)
            with self._gangs.lock:
                ended = self._gangs.ended.get(key)
                if ended is not None:
                    return "done" if ended == "done" else "broken"
                complete = len(self._gangs.present[key]) == run.spec["gang"]
            if not complete:
                return "alone" if now - run.started > GANG_MS / 1000 else None
            run.works_from = run.works_from or now
        works_s = run.spec.get("ms", 0) / 1000
        return run.spec.get("end", "done") if now - run.works_from >= works_s else None
