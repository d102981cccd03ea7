"""Runs the tests of the calling program and prints the summary line that scripts/run_tests.py parses."""

import sys
import unittest


def run_tests():
    suite = unittest.defaultTestLoader.loadTestsFromModule(sys.modules["__main__"])
    result = unittest.TextTestRunner(verbosity=2, stream=sys.stdout).run(suite)
    failed = result.failures + result.errors
    for case, _ in failed:
        name = case.id().split(".")
        print(f"error: Failure in TEST({name[-2]}, {name[-1]})")
    if failed:
        print(f"Errors ({len(failed)} failures, {result.testsRun} tests, {result.testsRun} ran)")
        sys.exit(1)
    print(f"OK ({result.testsRun} tests, {result.testsRun} ran)")
