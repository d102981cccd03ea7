"""Guards against daemons that start with invalid settings, and errors without a position."""

import subprocess
import unittest

from cell import BUILD, Cell
from programs import Program, wait_until

DAEMON = BUILD / "daemon/endiveusherd"


def run(*arguments):
    return subprocess.run(
        [str(DAEMON), *(str(a) for a in arguments)], capture_output=True, text=True, timeout=60,
        check=False,
    )


class Settings(unittest.TestCase):
    def setUp(self):
        self.cell = Cell({"a": 1})
        self.addCleanup(self.cell.close, keep=False)
        self.path = self.cell.write_settings("a0")

    def test_valid_settings_pass(self):
        self.assertEqual(run("--check", "--config", self.path).returncode, 0)

    def test_every_error_is_printed_with_its_position(self):
        self.path.write_text("vm: a.b\nzone: a\nzone: b\ncolour: 1\nlog_url: localhost\n")
        result = run("--check", "--config", self.path)
        self.assertNotEqual(result.returncode, 0)
        lines = result.stdout.splitlines()
        for start in (f"{self.path}:1: vm ", f"{self.path}:3: zone ", f"{self.path}:4: colour ",
                      f"{self.path}:5: log_url "):
            found = [line for line in lines if line.startswith(start)]
            self.assertEqual(len(found), 1, result.stdout)
            self.assertIn("; accepted: ", found[0])

    def test_daemon_does_not_start_with_invalid_settings(self):
        self.path.write_text(self.path.read_text().replace('"zone"', '"zoen"'))
        result = run("--config", self.path)
        self.assertNotEqual(result.returncode, 0)
        self.assertIn("zoen is not a known key", result.stderr)

    def test_missing_file_is_an_error(self):
        self.assertNotEqual(run("--check", "--config", "/nonexistent.yaml").returncode, 0)

    def test_daemon_exits_if_its_address_is_in_use(self):
        first = Program("first", [DAEMON, "--config", self.path], self.cell.folder)
        self.addCleanup(first.close)
        wait_until(lambda: "http: listens on" in first.output(), "the first daemon listens")
        second = run("--config", self.path)
        self.assertNotEqual(second.returncode, 0)
        self.assertIn("error main: listen on", second.stderr)

    def test_version_exits_with_0(self):
        self.assertEqual(run("--version").returncode, 0)


if __name__ == "__main__":
    import main

    main.run_tests()
