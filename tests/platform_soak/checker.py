"""Checks the guarantees of the cell on the events at its targets and callers."""

import random
import threading
import time

# A team may exceed its limit by this fraction plus one task.
LIMIT_SLACK = 0.1
# Time after a job was shown as completed from which none of its tasks may start.
SHOWN_SLACK_S = 1.0
# Time after a job's cancellation was confirmed from which none of its tasks may start.
CANCEL_LIMIT_S = 3.0
# Time after that in which its tasks are stopped: bounds.stop_ms, the longest of the sites.
STOP_LIMIT_S = 0.4
# Time after the end of a fault from which such bounds hold: bounds.contact_ms.
CONTACT_S = 3.0
# Time after a job's cancellation was confirmed from which none of its tasks runs, in any state of
# the cell, without the longest lease (bounds.hold_max_ms): an owner acts on a view of at most 5 s
# (kMaxLimit in node/src/owner_view.cpp) until it is lost (kLossPeriod, 0.5 s), and the last order
# that it then sends, which may renew a lease, is answered within 0.5 s.
LAST_ORDER_S = 6.0
# Time after which all daemons have read a record that one of them has shown the effect of.
READ_LIMIT_S = 5.0
ENDED_STATES = ("completed", "failed", "cancelled")
# Number of targets that have crashed under a task from which its job may be given up.
MIN_CRASHED_TARGETS = 2


class Job:
    def __init__(self, name, team, steps, cpu_milli):
        self.name, self.team, self.steps = name, team, steps
        self.cpu_milli = cpu_milli  # Of one task.
        self.accepted_at = None
        self.route = None  # Of the accepted submission.
        self.extra = {}  # Fields of the submission besides its steps.
        self.submitted_at = time.monotonic()
        self.cancel_sent = False
        self.cancelled = False
        self.cancelled_at = None  # When a caller was first told so.
        self.rejected = False  # Every submission was answered with a rejection.
        self.started = False
        self.shown_completed_at = None
        self.shown_end = None  # State, daemon and time of the first answer that named an end.

    def tasks(self):
        for number, step in enumerate(self.steps):
            names = [f"{self.name}.0.{number}.{index}" for index in range(step["count"])]
            # For a gang, one ended task counts as the end of all of its members.
            yield names, step.get("gang", False)


class Checker:
    def __init__(self, seed, team_limit_cpu_milli, max_attempts=50, hold_max_s=6.0):
        self.run_limit_s = LAST_ORDER_S + hold_max_s
        self.violations = []
        self.starts = 0
        self.events = []  # What targets and faults did, for the trace of a violation.
        self._limit = team_limit_cpu_milli
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._jobs = {}
        self._running = {}  # Targets that run a task, by task.
        self._done = set()
        self._acknowledged = set()
        self._max_attempts = max_attempts
        self._failed_runs = {}  # Numbers of the runs that ended as failed, by task.
        self._crashed_targets = {}  # Targets that crashed while they ran the task, by task.
        self._run_since = {}  # Time of the last start, by task.
        self._run_on = set()  # Tasks that were reported to run on after a cancellation.
        self._faults = 0
        self._calm_since = 0.0  # Time of the end of the last fault.

    def chance(self, probability):
        with self._lock:
            return self._random.random() < probability

    def uniform(self, least, most):
        with self._lock:
            return self._random.uniform(least, most)

    def choice(self, options):
        with self._lock:
            return self._random.choice(options)

    def note(self, what):
        self.events.append(f"{time.time():.3f} {what}\n")

    def report_violation(self, what):
        with self._lock:
            self._report_violation(what)

    def _report_violation(self, what):
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
        self.note(f"{target} started {task} run {number} used {used}")
        with self._lock:
            self.starts += 1
            job = self._job_of(task)
            if job is None:
                self._report_violation(f"run of an unknown job: {task} run {number} on {target}")
                return
            job.started = True
            if used > capacity:
                self._report_violation(f"over capacity: {target} {used} of {capacity} with {task}")
            others = self._running.setdefault(task, set())
            if others:
                self._report_violation(
                    f"concurrent runs: {task} run {number} on {target} and {others}"
                )
            if task in self._acknowledged:
                self._report_violation(
                    f"started after its end was acknowledged: {task} run {number} on {target}"
                )
            shown = job.shown_completed_at
            if shown is not None and time.monotonic() - shown > SHOWN_SLACK_S:
                self._report_violation(
                    f"started after its job was shown as completed: {task} run {number} on {target}"
                )
            if job.cancelled_at and time.monotonic() - job.cancelled_at > CANCEL_LIMIT_S:
                self._report_violation(
                    f"started {time.monotonic() - job.cancelled_at:.1f} s after its cancellation: "
                    f"{task} run {number} on {target}"
                )
            others.add(target)
            self._run_since[task] = time.monotonic()
            in_use = sum(
                self._job_of(running).cpu_milli * len(targets)
                for running, targets in self._running.items()
                if self._job_of(running).team == job.team
            )
            if in_use > self._limit * (1 + LIMIT_SLACK) + job.cpu_milli:
                self._report_violation(
                    f"team limit exceeded: {job.team} uses {in_use} of {self._limit} with {task}"
                )

    def run_ended(self, target, task, number, how):
        self.note(f"{target} ended {task} run {number} {how}")
        with self._lock:
            self._running.get(task, set()).discard(target)
            if how == "done":
                self._done.add(task)
            elif how == "failed":
                self._failed_runs.setdefault(task, set()).add(number)

    def run_lost(self, target, task, number):
        """The target has crashed and ran the task."""
        self.note(f"{target} lost {task} run {number}")
        with self._lock:
            self._running.get(task, set()).discard(target)
            self._crashed_targets.setdefault(task, set()).add(target)

    def end_acknowledged(self, task, how):
        with self._lock:
            if how == "done":
                self._acknowledged.add(task)

    def running(self, job):
        """Returns the tasks of the job that run."""
        with self._lock:
            return [task for names, _ in job.tasks() for task in names if self._running.get(task)]

    def fault_began(self, disturbs=True):
        with self._lock:
            self._faults += disturbs

    def fault_ended(self, disturbs=True):
        with self._lock:
            self._faults -= disturbs
            if disturbs:
                self._calm_since = time.monotonic()

    def confirmed_cancelled(self, job):
        """A caller has been told that the job is cancelled, or had ended."""
        with self._lock:
            job.cancelled_at = job.cancelled_at or time.monotonic()
            job.cancelled = True

    def runs_of_cancelled(self):
        """Returns the tasks of cancelled jobs that run."""
        with self._lock:
            return [task for task, targets in self._running.items()
                    if targets and self._job_of(task).cancelled]

    def check_cancelled(self):
        """Reports tasks that run too long after their jobs' cancellation. Called periodically."""
        for task in self.runs_of_cancelled():
            with self._lock:
                targets, now = self._running[task], time.monotonic()
                if not targets or task in self._run_on:
                    continue
                after = now - self._job_of(task).cancelled_at
                calm = now - max(
                    now - after, self._run_since[task], self._calm_since + CONTACT_S
                )
                in_touch = not self._faults and calm > CANCEL_LIMIT_S + STOP_LIMIT_S
                if in_touch or after > self.run_limit_s:
                    self._run_on.add(task)
                    self._report_violation(
                        f"runs on {after:.1f} s after its cancellation, in touch {in_touch}: "
                        f"{task} on {targets}"
                    )

    def state_shown(self, job, state, daemon, sent):
        """A daemon has answered a query that was sent at a time; an end that was shown is final."""
        with self._lock:
            if job.shown_end is None:
                if state in ENDED_STATES:
                    job.shown_end = (state, daemon, time.monotonic())
                return
            first, by, since = job.shown_end
            if state != first and sent - since > READ_LIMIT_S:
                self._report_violation(
                    f"shown as {state} by {daemon}, {sent - since:.1f} s after {first} by {by}: "
                    f"{job.name}"
                )

    def may_fail(self, job):
        """Whether a task or gang of the job has used up its attempts, or targets have crashed under
        one of its tasks."""
        with self._lock:
            return any(
                len(runs) >= self._max_attempts for runs in self._attempts(job)
            ) or any(
                task.startswith(f"{job.name}.") and len(targets) >= MIN_CRASHED_TARGETS
                for task, targets in self._crashed_targets.items()
            )

    def _attempts(self, job):
        """Yields the failed runs of each task, or gang, with a limit of attempts."""
        gangs = {}
        for task, runs in self._failed_runs.items():
            name, occurrence, number, _ = task.split(".")
            if name != job.name or job.steps[int(number)].get("long_running"):
                continue
            if job.steps[int(number)].get("gang"):
                # A run in which several members fail is one attempt.
                gangs.setdefault((occurrence, number), set()).update(runs)
            else:
                yield runs
        yield from gangs.values()

    def reported_failed(self, job, daemon):
        if not self.may_fail(job):
            with self._lock:
                failed = sorted(
                    (task, sorted(runs)) for task, runs in self._failed_runs.items()
                    if task.startswith(f"{job.name}.")
                )
                self._report_violation(
                    f"shown as failed with attempts left: {job.name} at {daemon}, failed {failed}"
                )

    def has_ended(self, job):
        """Whether a target has ended each task of the job as done."""
        with self._lock:
            return all(name in self._done for names, _ in job.tasks() for name in names)

    def reported_completed(self, job):
        with self._lock:
            job.shown_completed_at = job.shown_completed_at or time.monotonic()
            for names, gang in job.tasks():
                count = sum(name in self._done for name in names)
                if count < (1 if gang else len(names)):
                    self._report_violation(
                        f"reported as completed: {job.name} with {count} of {len(names)} tasks"
                    )

    def finish(self):
        """Final checks, to be called once all faults are healed and all work could end."""
        with self._lock:
            for job in self._jobs.values():
                if job.rejected and job.started:
                    self._report_violation(f"rejected but run: {job.name}")
            for task, targets in self._running.items():
                if targets and self._job_of(task).cancelled:
                    self._report_violation(f"running after its cancellation: {task} on {targets}")
