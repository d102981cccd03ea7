"""The soak of the daemon on the platform: its checker, and short runs with fixed seeds."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "platform_soak"))

from main import run_tests  # noqa: E402
import soak  # noqa: E402
from checker import Checker, Job  # noqa: E402

SECONDS = 10
# Seeds that ever failed join these, with a line on the cause.
SEEDS = [1]


class PlatformSoak(unittest.TestCase):
    def test_short_runs_break_no_promise(self):
        for seed in SEEDS:
            self.assertTrue(soak.run(seed, SECONDS, []), f"seed {seed}")


class SoakChecker(unittest.TestCase):
    """Guards against a soak that sees nothing: each broken promise has to be reported."""

    def setUp(self):
        self.checker = Checker(1, team_limit_cpu=4000)
        self.job = Job("j", "red", [{"count": 2, "cpu": 2000}], 2000)
        self.checker.submitted(self.job)

    def start(self, index=0, target="t1", used=2000, name="j"):
        self.checker.run_started(target, f"{name}.0.0.{index}", 1, used, 8000)

    def end(self, index, how="done"):
        self.checker.run_ended("t1", f"j.0.0.{index}", 1, how)

    def assert_reports(self, text):
        self.assertEqual(1, len(self.checker.violations), self.checker.violations)
        self.assertIn(text, self.checker.violations[0])

    def test_a_correct_run_is_clean(self):
        for index in (0, 1):
            self.start(index)
            self.end(index)
            self.checker.end_noted(f"j.0.0.{index}", "done")
        self.checker.shown_completed(self.job)
        self.checker.finish()
        self.assertEqual([], self.checker.violations)

    def test_two_runs_at_once(self):
        self.start(target="t1")
        self.start(target="t2")
        self.assert_reports("twice at once")

    def test_a_start_after_a_noted_end(self):
        self.start()
        self.end(0)
        self.checker.end_noted("j.0.0.0", "done")
        self.start(target="t2")
        self.assert_reports("after its end was noted")

    def test_an_overfull_target(self):
        self.start(used=9000)
        self.assert_reports("over capacity")

    def test_a_team_over_its_limit(self):
        other = Job("k", "red", [{"count": 2, "cpu": 2000}], 2000)
        self.checker.submitted(other)
        self.start(0)
        self.start(1)
        self.start(0, name="k")
        self.assertEqual([], self.checker.violations)
        self.start(1, name="k")
        self.assert_reports("team limit")

    def test_a_job_shown_as_completed_too_early(self):
        self.start(0)
        self.end(0)
        self.checker.shown_completed(self.job)
        self.assert_reports("shown as completed")

    def test_a_rejected_job_that_runs(self):
        self.job.refused = True
        self.start(0)
        self.checker.finish()
        self.assert_reports("refused, and has run")

    def test_what_runs_on_after_its_cancellation(self):
        self.job.cancelled = True
        self.start(0)
        self.checker.finish()
        self.assert_reports("runs on")

    def test_what_nobody_asked_for(self):
        self.start(0, name="unknown")
        self.assert_reports("unasked")


if __name__ == "__main__":
    run_tests()
