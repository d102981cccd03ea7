"""Stand-in of a target: runs tasks under leases for the time that their payload names."""

import json
import threading
import time

from http_service import HttpService, NoAnswer, to_json

MAX_LEASE_MS = 6000
HEARTBEAT_S = 0.5


class Run:
    def __init__(self, number, until, needs, gang):
        self.number = number
        self.until = until
        self.needs = needs
        self.gang = gang


class Target:
    """Guards nothing by itself: starts over its capacity are carried out and reported."""

    def __init__(self, name, port, zone, cpu, store, checker):
        self.name, self.zone, self.cpu = name, zone, cpu
        self.address = f"127.0.0.1:{port}"
        self.advertised = self.address  # Of a proxy in front of it.
        self.draining = False
        self.lose_share = 0.0  # Orders that are carried out and not answered.
        self.fails = False
        self._store, self._checker = store, checker
        self._lock = threading.Condition()
        self._stop = threading.Event()
        self._dark = False
        self._begin()
        self._service = HttpService(port, self._serve)
        self._threads = [threading.Thread(target=work) for work in (self._beat, self._work)]
        for thread in self._threads:
            thread.start()

    def close(self):
        self._stop.set()
        for thread in self._threads:
            thread.join()
        self._service.close()

    def crash(self):
        """Loses all that it runs; silent until restart()."""
        with self._lock:
            self._dark = True
            for task, run in self._runs.items():
                self._checker.run_gone(self.name, task, run.number)
            self._runs.clear()
            self._lock.notify_all()

    def restart(self):
        with self._lock:
            self._begin()
            self._dark = False

    def _begin(self):
        self.born = int(time.time() * 1000)
        self._started = time.monotonic()
        self._fence = 0
        self._lease = 0
        self._runs = {}
        self._over = {}  # Task to the highest run that ended or was stopped here.
        self._ends = []
        self._last_end = 0
        self._lapsed = 0  # The last end that was listed when the lease lapsed.
        self._beats = 0

    def _clock(self):
        return int((time.monotonic() - self._started) * 1000)

    def _beat(self):
        while not self._stop.wait(HEARTBEAT_S):
            if self._dark or self._store.down:
                continue
            self._beats += 1
            entry = {
                "service": "pool", "addr": self.advertised, "zone": self.zone, "version": "1",
                "slots": 8, "state": "draining" if self.draining else "ready",
                "sequence": self._beats, "born": self.born, "labels": ["a", self.zone],
                "capacity": {"cpu": self.cpu, "mem_mb": 100000, "gpu": 0},
            }
            self._store.put("keyed.servers", self.name, json.dumps(entry).encode())

    def _work(self):
        while not self._stop.wait(0.01):
            with self._lock:
                now = self._clock()
                if self._lease <= now and self._ends:
                    # Whoever gave the runs up after the lease owes nothing to these ends.
                    self._lapsed = self._ends[-1][0]
                for task, run in list(self._runs.items()):
                    if self._lease <= now:
                        self._end(task, "lapsed")
                    elif run.until <= time.monotonic():
                        # Members of a gang end together, and targets do not know each other here.
                        failed = self.fails and not run.gang
                        self._end(task, "failed" if failed else "done")

    def _end(self, task, how):
        run = self._runs.pop(task)
        self._over[task] = run.number
        self._last_end += 1
        self._ends.append([self._last_end, task, run.number, how, ""])
        self._checker.run_ended(self.name, task, run.number, how)
        self._lock.notify_all()

    def _serve(self, method, path, query, body):
        if self._dark:
            raise NoAnswer()
        fields = json.loads(body or b"{}")
        with self._lock:
            if fields.get("fence", 0) < self._fence:
                return self._answer(409, reason="fence")
            self._fence = fields.get("fence", 0)
            if path == "/run-start":
                answer = self._start(fields)
            elif path == "/run-stop":
                answer = self._stop_run(fields)
            else:
                return self._hold(fields)
        if self._checker.chance(self.lose_share):
            raise NoAnswer()
        return answer

    def _answer(self, status, **fields):
        return to_json(status, wall_clock_ms=self._clock(), born=self.born, **fields)

    def _extend(self, fields):
        until = min(fields.get("deadline_ms", 0), self._clock() + MAX_LEASE_MS)
        self._lease = max(self._lease, until)

    def _start(self, fields):
        task, number = fields["task"], fields["run"]
        if fields["deadline_ms"] <= self._clock():
            return self._answer(409, reason="late")
        self._extend(fields)
        running = self._runs.get(task)
        if running is not None and running.number == number:
            return self._answer(200)
        if running is not None or number <= self._over.get(task, 0):
            return self._answer(409, reason="old")
        work_ms, cpu, gang = (int(part) for part in fields["spec"].split(":"))
        self._runs[task] = Run(number, time.monotonic() + work_ms / 1000, cpu, bool(gang))
        used = sum(run.needs for run in self._runs.values())
        self._checker.run_started(self.name, task, number, used, self.cpu)
        return self._answer(200)

    def _stop_run(self, fields):
        task, number = fields["task"], fields["run"]
        self._over[task] = max(self._over.get(task, 0), number)
        if task in self._runs and self._runs[task].number <= number:
            self._end(task, "stopped")
        return self._answer(200)

    def _hold(self, fields):
        if "deadline_ms" in fields:
            self._extend(fields)
        acked = fields["acked_upto"]
        for end in self._ends:
            if self._lapsed < end[0] <= acked:
                self._checker.end_noted(end[1], end[3])
        self._ends = [end for end in self._ends if end[0] > acked]
        until = time.monotonic() + fields.get("wait_ms", 0) / 1000
        while not self._ends and time.monotonic() < until and not self._dark:
            self._lock.wait(until - time.monotonic())
        if self._dark:
            raise NoAnswer()
        running = [[task, run.number, "", 100, 0] for task, run in self._runs.items()]
        return self._answer(200, running=running, ended=self._ends[:500])
