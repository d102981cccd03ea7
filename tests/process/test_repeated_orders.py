"""Orders whose answer is lost, and ends that are not stored, with real daemons and sockets."""

import pathlib
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "platform_soak"))

from main import run_tests  # noqa: E402
from cell import Cell, TARGET_CPU_MILLI  # noqa: E402
from programs import wait_until  # noqa: E402

TARGETS = 2
TASK_CPU_MILLI = 2000


def step(count):
    return [{"count": count, "cpu": TASK_CPU_MILLI, "mem_mb": 10, "estimate_ms": 500}]


class RepeatedOrders(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(1, daemons=2, targets=TARGETS)
        self.addCleanup(self.cell.close)
        self.cell.wait_until_ready()

    def finish(self):
        """Waits until all jobs have ended, and checks that no guarantee was violated."""
        wait_until(lambda: not self.cell.unfinished(), "all accepted jobs are shown as completed")
        self.cell.checker.finish()
        self.assertEqual([], self.cell.checker.violations)

    def open_connections_to_targets(self):
        """Libcurl sends a request again only if it was sent on a reused connection."""
        self.cell.submit(step(TARGETS * TARGET_CPU_MILLI // TASK_CPU_MILLI), work_ms=100)
        wait_until(lambda: not self.cell.unfinished(), "the first job has ended")

    def lose_answer_to_next_start(self, on_lost):
        """Resets the connection of the next start when its target answers it; calls
        on_lost(target) before."""
        lost = []

        def hook(target):
            def resets_answer(request_line):
                if lost or b" /run-start " not in request_line:
                    return False
                lost.append(target)
                on_lost(target)
                return True

            return resets_answer

        for target, proxy in zip(self.cell.targets, self.cell.target_proxies):
            proxy.resets_answer = hook(target)
        return lost

    # Guards against a start that is taken for rejected because a second copy of it was.
    def test_a_start_whose_answer_was_lost_does_not_run_elsewhere_at_once(self):
        self.open_connections_to_targets()

        def become_unhealthy(target):
            target.unhealthy = True

        lost = self.lose_answer_to_next_start(become_unhealthy)
        self.cell.submit(step(1), work_ms=2000)
        wait_until(lambda: lost, "an answer is lost")
        time.sleep(1)
        # The order has left once, on a connection that ended before the answer.
        self.assertRegex(
            "".join(daemon.process.output() for daemon in self.cell.daemons),
            r"order_not_accepted kind=start \S+ run=1 .* outcome=unanswered status=0 sent_bytes=[1-9]"
        )
        for target in self.cell.targets:
            target.unhealthy = False
        self.finish()

    # Guards against a start that is taken for rejected because of a status that says nothing of it.
    def test_a_start_that_was_answered_with_an_undefined_status_does_not_run_elsewhere(self):
        for target in self.cell.targets:
            target.status_of_starts = 500
        self.cell.submit(step(1), work_ms=2000)
        wait_until(lambda: self.cell.checker.starts, "a task runs")
        time.sleep(1)
        for target in self.cell.targets:
            target.status_of_starts = 0
        self.finish()

    # Guards against a job that is shown as completed while its end waits behind an open append.
    def test_a_job_is_not_shown_as_completed_before_its_end_is_stored(self):
        cell = self.cell
        first = cell.submit(step(1), work_ms=1000)
        second = cell.submit(step(1), work_ms=1600)
        wait_until(lambda: cell.checker.starts == 2, "both tasks run")
        owner = cell.owner()
        # The end of the first job opens an append, and that of the second one waits for it.
        cell.store.journal_down = True
        wait_until(lambda: cell.checker.has_ended(first), "the first task has ended")
        wait_until(lambda: cell.checker.has_ended(second), "the second task has ended")
        shown = []
        for _ in range(10):
            shown += [cell.query_state(second, daemon) for daemon in cell.daemons]
            time.sleep(0.1)
        # The next owner has to start both again, as neither the journal nor a target holds an end.
        owner.process.kill()
        for target in cell.targets:
            target.crash()
        cell.store.journal_down = False
        for target in cell.targets:
            target.restart()
        owner.start()
        self.finish()
        self.assertNotIn("completed", shown)
        self.assertIn("running", shown)


if __name__ == "__main__":
    run_tests()
