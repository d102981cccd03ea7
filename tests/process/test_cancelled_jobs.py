"""Owners that do not know what others have stored, with real daemons and sockets."""

import json
import pathlib
import sys
import threading
import time
import unittest
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "platform_soak"))

from main import run_tests  # noqa: E402
from cell import Cell, TARGET_CPU_MILLI  # noqa: E402
from checker import CANCEL_LIMIT_S, Job  # noqa: E402
from programs import wait_until  # noqa: E402

TARGETS = 2
TASK_CPU_MILLI = 2000
TASKS_IN_CELL = TARGETS * TARGET_CPU_MILLI // TASK_CPU_MILLI
JOURNAL_APPEND = b"/log-append?topic=journal"
JOURNAL_READ = b"/log-read?topic=journal"
OPERATOR_READ = b"topic=keyed.op&"
REGISTRY_READ = b"topic=keyed.servers&"
# An owner turns cancellations away while an append has been unanswered for 1.5 s.
APPEND_LIMIT_S = 2.0
# Time in which an owner that cannot read hands the cell over and the next one stops runs.
HAND_OVER_S = 2.0


def step(count):
    return [{"count": count, "cpu": TASK_CPU_MILLI, "mem_mb": 10, "estimate_ms": 500}]


class CancelledJobs(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(1, daemons=3, targets=TARGETS)
        self.addCleanup(self.cell.close)
        self.cell.wait_until_ready()
        self.cell.submit(step(1), work_ms=10)
        wait_until(lambda: not self.cell.unfinished(), "the first job has ended")
        self.owner = self.cell.owner()
        self.follower = next(one for one in self.cell.daemons if one is not self.owner)

    def silence(self, *requests, daemons=None):
        """The owner, or each of the daemons, gets no answer of the store to these requests."""
        for daemon in daemons or [self.owner]:
            daemon.store.swallows = lambda line: any(one in line for one in requests)

    def submit_in_background(self, work_ms):
        """Submits a job at the follower, without waiting for the answer."""
        job = Job(uuid.uuid4().hex[:16], "red", step(2), TASK_CPU_MILLI)
        self.cell.checker.submitted(job)
        body = json.dumps({"spec": f"{work_ms}:{TASK_CPU_MILLI}:0", "steps": job.steps})
        caller = threading.Thread(
            target=self.cell.call, args=(self.follower, "POST", f"/b/{job.name}", "kred", body)
        )
        caller.start()
        self.addCleanup(caller.join)
        return job

    def cancel(self, job):
        answer = self.cell.call(self.follower, "DELETE", f"/b/{job.name}", "kred")
        self.assertEqual(200, answer and answer[0])
        job.cancelled_at = time.monotonic()
        job.accepted_at = None
        wait_until(
            lambda: f"stored job={job.name} cancel=true by=itself" in self.follower.process.output(),
            "the follower has appended the cancellation",
        )

    def cancel_running_past_the_owner(self):
        """Cancels a running job while the owner neither reads the journal nor appends to it."""
        job = self.cell.submit(step(2), work_ms=30000)
        wait_until(lambda: len(self.cell.checker.running(job)) == 2, "both tasks run")
        self.silence(JOURNAL_APPEND, JOURNAL_READ)
        self.submit_in_background(work_ms=100)
        time.sleep(APPEND_LIMIT_S)
        self.cancel(job)
        return job

    def check_running(self, job, limit_s):
        """Checks that nothing of the job runs a time after its cancellation, nor starts then."""
        time.sleep(max(0, job.cancelled_at + limit_s - time.monotonic()))
        running = self.cell.checker.running(job)
        self.assertEqual([], running, f"running {limit_s} s after the cancellation")

    # Guards against a job that the next owner takes for active, because the journal holds its
    # cancellation in front of its submission.
    def test_a_job_that_was_cancelled_before_it_was_stored_is_not_started_by_the_next_owner(self):
        self.silence(JOURNAL_APPEND)
        job = self.submit_in_background(work_ms=12000)
        time.sleep(APPEND_LIMIT_S)
        self.cancel(job)
        self.silence()
        time.sleep(CANCEL_LIMIT_S)
        self.owner.process.kill()
        wait_until(lambda: self.cell.owner() is not self.owner, "another daemon is owner")
        time.sleep(2)
        self.check_running(job, CANCEL_LIMIT_S)
        self.assertEqual([], self.cell.checker.violations)

    # Guards against starts by an owner that does not learn of a cancellation: its reads of the
    # journal alone have no answer.
    def test_an_owner_that_does_not_read_the_journal_starts_nothing(self):
        self.cell.submit(step(TASKS_IN_CELL), work_ms=9000)
        wait_until(lambda: self.cell.checker.starts > TASKS_IN_CELL, "the cell is full")
        waiting = self.cell.submit(step(2), work_ms=100)
        self.silence(JOURNAL_APPEND, JOURNAL_READ)
        self.submit_in_background(work_ms=100)
        time.sleep(APPEND_LIMIT_S)
        self.cancel(waiting)
        self.silence(JOURNAL_READ)
        wait_until(lambda: not self.cell.unfinished(), "the other jobs have ended")
        self.assertEqual([], self.cell.checker.violations)

    # Guards against tasks that run on because the owner does not learn of the cancellation.
    def test_tasks_are_stopped_though_the_owner_does_not_read_the_journal(self):
        job = self.cancel_running_past_the_owner()
        self.silence(JOURNAL_READ)
        self.check_running(job, CANCEL_LIMIT_S + HAND_OVER_S)
        self.assertEqual([], self.cell.checker.violations)

    # The same, while its appends have no answer either.
    def test_tasks_are_stopped_though_the_owner_neither_reads_nor_appends(self):
        job = self.cancel_running_past_the_owner()
        self.check_running(job, CANCEL_LIMIT_S + HAND_OVER_S)
        self.assertEqual([], self.cell.checker.violations)

    # Guards against leases that nobody renews, because the owner hands over to daemons that know
    # no more than it does.
    def test_work_runs_on_while_no_daemon_reads_the_operators_records(self):
        self.check_work_runs_on(OPERATOR_READ, self.cell.daemons)

    def test_work_runs_on_while_no_daemon_reads_the_journal(self):
        self.check_work_runs_on(JOURNAL_READ, self.cell.daemons)

    def test_work_runs_on_while_no_daemon_reads_the_registry(self):
        self.check_work_runs_on(REGISTRY_READ, self.cell.daemons)

    def test_work_runs_on_while_the_owner_does_not_read_the_registry(self):
        self.check_work_runs_on(REGISTRY_READ, [self.owner])

    def check_work_runs_on(self, request, daemons):
        job = self.cell.submit(step(2), work_ms=9000)
        wait_until(lambda: len(self.cell.checker.running(job)) == 2, "both tasks run")
        starts = self.cell.checker.starts
        self.silence(request, daemons=daemons)
        time.sleep(9)
        self.silence(daemons=daemons)
        wait_until(lambda: not self.cell.unfinished(), "the job has ended")
        self.assertEqual(starts, self.cell.checker.starts)
        self.assertEqual([], self.cell.checker.violations)


if __name__ == "__main__":
    run_tests()
