"""Guards against endiveusherctl commands that fail against a running cell."""

import signal
import unittest

from cell import NOT_RUN, RAN, REFUSED, UNKNOWN, Cell
from programs import wait_until


class Calls(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cell = Cell({"a": 1, "b": 1})
        cls.cell.__enter__()
        cls.addClassCleanup(cls.cell.__exit__, None, None, None)
        cls.cell.add_team("maps", "--share", 2, "--limit-tasks", 12)

    def tearDown(self):
        self.assertEqual(self.cell.violations(), {})

    def test_batch_job_runs_to_completion(self):
        request = self.cell.submit("maps", "--tasks", 4, "run=50ms")
        job = self.cell.ctl("wait", request, key="maps")["job"]
        self.assertTrue(job["ended"])
        self.assertEqual([task["state"] for task in job["tasks"]], ["succeeded"] * 4)
        self.assertEqual(self.cell.starts(request), {0: 1, 1: 1, 2: 1, 3: 1})

    def test_gang_runs_to_completion(self):
        request = self.cell.submit("maps", "--kind", "gang", "--tasks", 3, "run=50ms")
        self.cell.ctl("wait", request, key="maps")

    def test_service_runs_until_it_is_cancelled(self):
        request = self.cell.submit("maps", "--kind", "service", "serve")
        self.cell.wait_for_states("maps", request, "running")
        self.cell.ctl("cancel", request, key="maps")
        self.cell.ctl("wait", request, key="maps", expect=REFUSED)
        self.cell.wait_for_states("maps", request, "cancelled")

    def test_failing_job_is_reported_as_failed(self):
        request = self.cell.submit("maps", "--non-idempotent", "run=10ms exit=3")
        job = self.cell.ctl("wait", request, key="maps", expect=REFUSED)["job"]
        self.assertEqual((job["tasks"][0]["state"], job["tasks"][0]["exitCode"]), ("failed", 3))

    def test_job_with_plain_id_sent_to_all_daemons_runs_once(self):
        for name in self.cell.http:
            self.cell.submit("maps", "--id", "tour-17", "run=10ms", daemons=[name])
        # The id belongs to an accepted job, so the answer class of the refusal is `unknown`.
        answer = self.cell.ctl("submit", "--id", "tour-17", "run=11ms", key="maps", expect=UNKNOWN)
        self.assertEqual(answer["error"]["code"], "id_conflict")
        self.cell.ctl("wait", "tour-17", key="maps")
        self.assertEqual(self.cell.starts("tour-17"), {0: 1})

    def test_tickets_are_distinct(self):
        tickets = self.cell.ctl("ticket", "--count", 5)["tickets"]["tickets"]
        self.assertEqual(len(set(tickets)), 5)

    def test_job_larger_than_every_target_is_refused(self):
        answer = self.cell.ctl(
            "submit", "--cpu-milli", 10**9, "x", key="maps", expect=(REFUSED, NOT_RUN)
        )
        self.assertEqual(answer["error"]["code"], "never_fits")

    def test_withdrawn_key_is_refused_by_every_daemon(self):
        self.cell.add_team("prints")
        self.cell.submit("prints", "run=10ms")
        self.cell.publish("key", "withdraw", "--team-key-file", self.cell.folder / "prints.key")
        for name in self.cell.http:
            self.cell.ctl_until(REFUSED, "submit", "x", key="prints", daemons=[name])
        self.cell.publish("team", "remove", "prints")

    def test_missing_or_unauthorized_keys_are_refused(self):
        self.cell.ctl("submit", "x", expect=REFUSED)
        self.cell.ctl("show", key="maps", expect=REFUSED)
        self.cell.ctl("dump", key="maps", expect=REFUSED)
        self.cell.ctl("team", "set", "maps", "--share", 9, key="maps", expect=REFUSED)

    def test_zone_out_excludes_zone_from_placement_until_zone_in(self):
        self.cell.publish("zone", "out", "a")
        zones = self.cell.ctl("show", key="operator")["config"]["zones"]
        self.assertIn(("a", "out"), [(z["zone"]["zone"], z["zone"]["state"]) for z in zones])
        wait_until(lambda: self.runs_in("b"), "work runs in zone b")
        self.cell.publish("zone", "in", "a")
        wait_until(lambda: self.runs_in("a", "--zone", "a"), "work runs in zone a again")

    def runs_in(self, zone, *options):
        request = self.cell.submit("maps", *options, "run=10ms")
        job = self.cell.ctl("wait", request, key="maps")["job"]
        return self.cell.zone_of(job["tasks"][0]["target"]) == zone

    def test_published_file_with_two_changes_is_applied(self):
        path = self.cell.folder / "change.yaml"
        path.write_text(
            "changes:\n- setTeam: {team: open, share: 1, open: true}\n"
            "- setZoneState: {zone: c, state: out}\n"
        )
        self.cell.publish("publish", path)
        self.cell.ctl_until(RAN, "submit", "--team", "open", "run=1ms")

    def test_repeated_operation_is_applied_once(self):
        first = self.cell.publish("team", "set", "once", "--operation-id", "op-1")
        again = self.cell.publish("team", "set", "once", "--operation-id", "op-1")
        self.assertEqual(first, again)

    def test_dump_and_metrics_can_be_read(self):
        self.assertTrue(self.cell.ctl("dump", key="operator"))
        page = self.cell.ctl_process("metrics").stdout
        for name in ("endiveusher_decision_seconds_count", "endiveusher_append_seconds_count",
                     'endiveusher_sent_bytes_total{channel="peers"}'):
            self.assertIn(name, page)

    def test_sigusr1_writes_the_state_to_the_log(self):
        daemon = self.cell.daemons["b0"]
        daemon.send(signal.SIGUSR1)
        wait_until(lambda: "info state: {" in daemon.output(), "the state is written")
        self.assertTrue(daemon.running())

    def test_status_of_unknown_request_is_an_error(self):
        self.cell.ctl("status", "never-sent", key="maps", expect=(REFUSED, NOT_RUN, UNKNOWN))


if __name__ == "__main__":
    import main

    main.run_tests()
