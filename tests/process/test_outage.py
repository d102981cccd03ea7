"""Guards against tasks that are not started, or run twice, while the log is down or loses answers."""

import unittest

from cell import NOT_RUN, RAN, UNKNOWN, Cell
from programs import wait_until


class Outage(unittest.TestCase):
    def setUp(self):
        self.cell = Cell({"a": 1, "b": 1})
        self.cell.__enter__()
        self.addCleanup(self.cell.__exit__, None, None, None)
        self.cell.add_team("maps")

    def test_only_jobs_with_tickets_are_accepted_while_the_log_is_down(self):
        cell = self.cell
        cell.log_faults(down=True)
        request = wait_until(self.submit_ticket, "a job is accepted during the outage")
        cell.wait_for_states("maps", request, "succeeded")
        cell.ctl("submit", "--id", "plain", "--timeout", 30, "run=10ms", key="maps",
                 expect=UNKNOWN)
        self.assertEqual(cell.starts("plain"), {})
        cell.ctl("team", "set", "late", key="operator", expect=(NOT_RUN, UNKNOWN))
        cell.log_faults(down=False)
        cell.ctl_until(RAN, "submit", "--id", "plain", "run=10ms", key="maps")
        cell.wait_for_states("maps", "plain", "succeeded")
        self.assertEqual(cell.starts("plain"), {0: 1})
        self.assertEqual(cell.violations(), {})

    def submit_ticket(self):
        result = self.cell.ctl("submit", "run=10ms", key="maps", expect=None)
        return isinstance(result, dict) and result.get("job", {}).get("request")

    def test_no_task_starts_twice_when_append_answers_are_lost(self):
        cell = self.cell
        cell.log_faults(lose_append_answers=0.5)
        for number in range(6):
            cell.ctl_until(RAN, "submit", "--id", f"lossy-{number}", "--non-idempotent", "run=10ms",
                           key="maps")
        cell.ctl_until(RAN, "team", "set", "lossy", "--operation-id", "op-lossy", key="operator")
        cell.log_faults()
        for number in range(6):
            cell.wait_for_states("maps", f"lossy-{number}", "succeeded")
            self.assertEqual(cell.starts(f"lossy-{number}"), {0: 1})
        self.assertEqual(cell.violations(), {})


if __name__ == "__main__":
    import main

    main.run_tests()
