"""Guards against answers and tasks that are lost in a graceful shutdown of a daemon."""

import http.client
import signal
import threading
import unittest

from cell import Cell, request
from programs import wait_until

# Number of threads that submit jobs, and of threads that wait for a service.
CALLERS = 6


class Shutdown(unittest.TestCase):
    def setUp(self):
        self.cell = Cell({"a": 2})
        self.cell.__enter__()
        self.addCleanup(self.cell.__exit__, None, None, None)
        self.cell.add_team("maps")

    def test_sigterm_under_load_loses_no_answer_and_no_work(self):
        cell, address = self.cell, self.cell.http["a0"]
        service = cell.submit("maps", "--kind", "service", "serve", daemons=["a0"])
        wait_answers, sent, accepted, faults = [], [], [], []

        def wait_for_service():
            body = {"request": service, "timeoutMs": 50_000}
            wait_answers.append(request(address, "POST", "/v1/wait", body, key="key-of-maps"))

        def submit(ticket):
            job = {"request": ticket, "taskCount": 1, "command": "run=20ms"}
            sent.append(ticket)
            status, answer = request(address, "POST", "/v1/submit", {"job": job}, "key-of-maps")
            if answer["class"] == "ran":
                accepted.append(ticket)
            elif status == 200:
                faults.append(answer)

        def submit_until_the_end():
            while True:
                try:
                    _, answer = request(address, "POST", "/v1/tickets")
                    if answer["class"] == "ran":
                        submit(answer["tickets"]["tickets"][0])
                except (ConnectionError, http.client.RemoteDisconnected):
                    if stopping.is_set():
                        # Closed without any byte of an answer; the starts of the job are checked below.
                        return
                    faults.append("a connection was closed before the shutdown")
                except (OSError, http.client.HTTPException, ValueError, KeyError) as error:
                    faults.append(f"an incomplete answer: {error!r}")
                    return

        stopping = threading.Event()
        waiters = [threading.Thread(target=wait_for_service) for _ in range(CALLERS)]
        callers = [threading.Thread(target=submit_until_the_end) for _ in range(CALLERS)]
        for thread in waiters + callers:
            thread.start()
        wait_until(lambda: len(accepted) >= 50, "50 jobs are accepted")
        wait_until(lambda: (cell.metric("a0", "endiveusher_open_calls") or 0) >= CALLERS,
                   f"{CALLERS} wait calls are open")
        stopping.set()
        code = cell.daemons["a0"].terminate()
        for thread in waiters + callers:
            thread.join()
        self.assertEqual(code, 0, cell.daemons["a0"].output()[-2000:])
        self.assertEqual(faults, [])
        # Wait calls that were open at the shutdown have complete answers.
        self.assertEqual(len(wait_answers), CALLERS)
        for _, answer in wait_answers:
            self.assertIn(answer["class"], ("ran", "not_run", "unknown"))
        for ticket in accepted:
            cell.wait_for_states("maps", ticket, "succeeded", daemons=["a1"])
        starts = {ticket: cell.starts(ticket) for ticket in sent}
        self.assertEqual({t: s for t, s in starts.items() if set(s.values()) - {1}}, {})
        self.assertEqual(cell.violations(), {})

    def test_running_service_survives_shutdown_of_its_daemon(self):
        service = self.cell.submit("maps", "--kind", "service", "--tasks", 2, "serve",
                                   daemons=["a0"])
        self.cell.wait_for_states("maps", service, "running")
        self.assertEqual(self.cell.daemons["a0"].terminate(), 0)
        self.cell.wait_for_states("maps", service, "running", daemons=["a1"])
        self.assertEqual(self.cell.violations(), {})

    def test_second_signal_aborts_the_shutdown_with_an_error(self):
        daemon = self.cell.daemons["a0"]
        self.cell.submit("maps", "--kind", "service", "serve", daemons=["a0"])
        # A slow log delays the append of the leave record and thus the shutdown.
        self.cell.log_faults(delay_ms=1500)
        daemon.send(signal.SIGTERM)
        wait_until(lambda: "info main: shuts down" in daemon.output(), "the shutdown begins")
        daemon.send(signal.SIGTERM)
        code = daemon.wait()
        if code != 0:  # The shutdown may have completed before the second signal.
            self.assertIn("second signal during the shutdown", daemon.output())
        else:
            self.assertIn("stopped incarnation", daemon.output())


if __name__ == "__main__":
    import main

    main.run_tests()
