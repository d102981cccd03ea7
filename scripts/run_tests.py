"""Runs every test program registered with ctest and counts the single tests.

Prints each failure, the entries of KNOWN-RED.txt that failed as recorded, and as its last line
`N passed, N failed`. Exits with 1 if a test outside KNOWN-RED.txt failed or if none ran.
"""

import json
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
PROGRAM_TIMEOUT_S = 900
SUMMARY = re.compile(r"(?:OK|Errors) \((?:(\d+) failures?, )?(\d+) tests, (\d+) ran")
FAILURE = re.compile(r"error: Failure in (?:TEST|IGNORE_TEST)\((\w+), (\w+)\)")


def known_red():
    """Returns the names of the tests listed in KNOWN-RED.txt, from its lines `test: NAME`."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    return {
        line.split(":", 1)[1].strip()
        for line in path.read_text().splitlines()
        if line.startswith("test:")
    }


def test_programs():
    listing = subprocess.run(
        ["ctest", "--show-only=json-v1"], cwd=BUILD, check=True, capture_output=True, text=True
    )
    return [(test["name"], test["command"]) for test in json.loads(listing.stdout)["tests"]]


def run(name, command):
    """Returns (passed, names of failed tests, output)."""
    try:
        result = subprocess.run(
            command, cwd=BUILD, capture_output=True, text=True, errors="replace",
            timeout=PROGRAM_TIMEOUT_S, check=False,
        )
        output, code = result.stdout + result.stderr, result.returncode
    except subprocess.TimeoutExpired as timeout:
        output, code = str(timeout.stdout), -1
    summary = SUMMARY.search(output)
    if summary is None:
        # Without a CppUTest summary the program counts as one test, decided by its exit code.
        return (1, [], output) if code == 0 else (0, [name], output)
    failed = sorted({f"{group}.{test}" for group, test in FAILURE.findall(output)})
    if code != 0 and not failed:
        failed = [name]
    return int(summary.group(3)) - len(failed), failed, output


def main():
    red = known_red()
    passed, unexpected, expected = 0, [], []
    for name, command in test_programs():
        program_passed, failed, output = run(name, command)
        passed += program_passed
        new = [test for test in failed if test not in red]
        expected += [test for test in failed if test in red]
        unexpected += new
        print(f"{name}: {program_passed} passed, {len(failed)} failed", flush=True)
        if new:
            print(output[-8000:], flush=True)
    for test in expected:
        print(f"known red: {test}")
    for test in unexpected:
        print(f"failed: {test}")
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
