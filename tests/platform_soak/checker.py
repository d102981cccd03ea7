"""Checks the cell's promises from what targets and callers see."""

import random
import threading
import time

# A team may pass its limit by this share and one task.
LIMIT_SLACK = 0.1


class Job:
    def __init__(self, name, team, steps, cpu):
        self.name, self.team, self.steps, self.cpu = name, team, steps, cpu
        self.accepted_at = None
        self.cancelled = False
        self.refused = False  # Every attempt to hand it in was rejected.
        self.started = False

    def tasks(self):
        for number, step in enumerate(self.steps):
            names = [f"{self.name}.0.{number}.{index}" for index in range(step["count"])]
            # One end of a gang stands for all of its members.
            yield names, step.get("gang", False)


class Checker:
    def __init__(self, seed, team_limit_cpu):
        self.violations = []
        self.starts = 0
        self._limit = team_limit_cpu
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._jobs = {}
        self._running = {}  # Task to the targets that run it.
        self._done = set()
        self._noted = set()

    def chance(self, share):
        with self._lock:
            return self._random.random() < share

    def violate(self, what):
        with self._lock:
            self._violate(what)

    def _violate(self, what):
        self.violations.append(f"{time.time():.3f} {what}")

    def submitted(self, job):
        with self._lock:
            self._jobs[job.name] = job

    def jobs(self):
        with self._lock:
            return list(self._jobs.values())

    def _job_of(self, task):
        return self._jobs.get(task.split(".")[0])

    def run_started(self, target, task, number, used, capacity):
        with self._lock:
            self.starts += 1
            job = self._job_of(task)
            if job is None:
                self._violate(f"unasked: {task} run {number} on {target}")
                return
            job.started = True
            if used > capacity:
                self._violate(f"over capacity: {target} {used} of {capacity} with {task}")
            others = self._running.setdefault(task, set())
            if others:
                self._violate(f"twice at once: {task} run {number} on {target} and {others}")
            if task in self._noted:
                self._violate(f"started after its end was noted: {task} run {number} on {target}")
            others.add(target)
            held = sum(
                self._job_of(one).cpu * len(places)
                for one, places in self._running.items()
                if self._job_of(one).team == job.team
            )
            if held > self._limit * (1 + LIMIT_SLACK) + job.cpu:
                self._violate(f"team limit: {job.team} holds {held} of {self._limit} with {task}")

    def run_ended(self, target, task, _number, how):
        with self._lock:
            self._running.get(task, set()).discard(target)
            if how == "done":
                self._done.add(task)

    def run_gone(self, target, task, _number):
        with self._lock:
            self._running.get(task, set()).discard(target)

    def end_noted(self, task, how):
        with self._lock:
            if how == "done":
                self._noted.add(task)

    def shown_completed(self, job):
        with self._lock:
            for names, gang in job.tasks():
                count = sum(name in self._done for name in names)
                if count < (1 if gang else len(names)):
                    self._violate(f"shown as completed: {job.name} with {count} of {len(names)}")

    def finish(self):
        """After all faults have ended and all work had the time to end."""
        with self._lock:
            for job in self._jobs.values():
                if job.refused and job.started:
                    self._violate(f"refused, and has run: {job.name}")
            for task, places in self._running.items():
                if places and self._job_of(task).cancelled:
                    self._violate(f"runs on after its cancellation: {task} on {places}")
