"""Guards against a paused daemon that acts on stale state after it resumes."""

import signal
import unittest

from cell import Cell
from programs import wait_until


class Pause(unittest.TestCase):
    def setUp(self):
        self.cell = Cell({"a": 2})
        self.cell.__enter__()
        self.addCleanup(self.cell.__exit__, None, None, None)
        self.cell.add_team("maps")

    def test_daemon_paused_until_failover_rejoins_as_new_incarnation(self):
        cell = self.cell
        service = cell.submit("maps", "--kind", "service", "--tasks", 2, "serve", daemons=["a0"])
        cell.wait_for_states("maps", service, "running")
        cell.submit("maps", "--id", "once", "--non-idempotent", "run=15s", daemons=["a0"])
        cell.wait_for_states("maps", "once", "running")
        cell.daemons["a0"].send(signal.SIGSTOP)
        wait_until(lambda: cell.metric("a1", "endiveusher_members") == 1, "a1 becomes the only member")
        cell.wait_for_states("maps", service, "running", daemons=["a1"])
        cell.daemons["a0"].send(signal.SIGCONT)
        wait_until(lambda: cell.metric("a0", "endiveusher_rejoins_total") == 1, "a0 rejoins")
        cell.wait_fresh("a0")
        cell.wait_for_states("maps", "once", "succeeded")
        self.assertEqual(cell.starts("once"), {0: 1})
        request = cell.submit("maps", "run=10ms", daemons=["a0"])
        cell.wait_for_states("maps", request, "succeeded")
        self.assertEqual(cell.violations(), {})


if __name__ == "__main__":
    import main

    main.run_tests()
