"""Guards against tasks that are lost or run twice when daemons are killed."""

import signal
import unittest

from cell import RAN, Cell


class Kill(unittest.TestCase):
    def setUp(self):
        self.cell = Cell({"a": 2, "b": 1})
        self.cell.__enter__()
        self.addCleanup(self.cell.__exit__, None, None, None)
        self.cell.add_team("maps")

    def test_work_goes_on_and_requests_are_answered_elsewhere(self):
        cell = self.cell
        service = cell.submit("maps", "--kind", "service", "--zone", "a", "serve", daemons=["a0"])
        cell.submit("maps", "--id", "once", "--non-idempotent", "run=20s", daemons=["a0"])
        cell.wait_for_states("maps", service, "running")
        cell.wait_for_states("maps", "once", "running")
        cell.daemons["a0"].kill()
        others = ["a1", "b0"]
        # Sending the same request to another daemon must not start a second run.
        cell.ctl_until(RAN, "submit", "--id", "once", "--non-idempotent", "run=20s", key="maps",
                       daemons=others)
        cell.wait_for_states("maps", "once", "succeeded", daemons=others)
        cell.wait_for_states("maps", service, "running", daemons=others)
        self.assertEqual(cell.starts("once"), {0: 1})
        request = cell.submit("maps", "--zone", "a", "run=10ms", daemons=others)
        cell.wait_for_states("maps", request, "succeeded", daemons=others)
        self.assertEqual(cell.violations(), {})

    def test_restarted_daemon_rejoins(self):
        self.cell.daemons["a0"].kill()
        self.cell.start_daemon("a0")
        self.cell.wait_fresh("a0")
        request = self.cell.submit("maps", "run=10ms", daemons=["a0"])
        self.cell.wait_for_states("maps", request, "succeeded")
        self.assertEqual(self.cell.violations(), {})

    def test_logged_job_survives_kill_of_all_daemons(self):
        self.cell.submit("maps", "--id", "kept", "--non-idempotent", "run=8s")
        self.cell.wait_for_states("maps", "kept", "running")
        for daemon in self.cell.daemons.values():
            daemon.send(signal.SIGKILL)
        for daemon in self.cell.daemons.values():
            daemon.wait()
        for name in self.cell.http:
            self.cell.start_daemon(name)
        for name in self.cell.http:
            self.cell.wait_fresh(name)
        self.cell.wait_for_states("maps", "kept", "succeeded")
        self.assertEqual(self.cell.starts("kept"), {0: 1})
        self.assertEqual(self.cell.violations(), {})


if __name__ == "__main__":
    import main

    main.run_tests()
