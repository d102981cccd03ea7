"""The system's limit of descriptors is reached in a real daemon: it stays alive, goes on with its calls to store and
targets, writes a bounded log and answers ordinary requests afterwards."""

import http.client
import json
import pathlib
import resource
import sys
import unittest
import uuid

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests/platform_soak"))

from cell import ALONE, CALL_TIMEOUT_S, Cell, Job  # noqa: E402
from main import run_tests  # noqa: E402
from programs import wait_until  # noqa: E402
from test_hostile_callers import MEMORY_MB, SETTINGS, Crowd  # noqa: E402

# Descriptors that are left when the limit is lowered, and connections of each crowd.
SPARE, CROWD = 20, 150
# Jobs that are submitted one after another while the limit is reached.
JOBS, WORK_MS = 8, 50
# What the daemon may write meanwhile: far more than its ordinary lines.
MAX_LOG_BYTES = 1 << 20


class DescriptorLimit(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(1, daemons=1, targets=1, settings=SETTINGS)
        self.addCleanup(self.cell.close)
        self.cell.wait_until_ready()
        self.daemon = self.cell.daemons[0]

    def open_files(self):
        return len(list(pathlib.Path(f"/proc/{self.daemon.process.pid}/fd").iterdir()))

    def check(self, limit):
        process = self.daemon.process
        self.assertTrue(process.running(), process.output()[-2000:])
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
        self.assertLess(int(status.split("VmHWM:")[1].split()[0]) / 1024, MEMORY_MB)
        self.assertLessEqual(self.open_files(), limit)

    def answered(self):
        answer = self.cell.call(self.daemon, "GET", "/b/", "kred")
        return answer is not None and answer[0] == 200

    def run_job(self, connection):
        """Runs a job to its end through an open connection."""
        steps = [{"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": WORK_MS}]
        job = Job(uuid.uuid4().hex[:16], "red", steps, steps[0]["cpu"])
        self.cell.checker.submitted(job)
        body = json.dumps({"spec": f"{WORK_MS}:{job.cpu_milli}:{ALONE}", "steps": steps})

        def call(method, data=None):
            connection.request(method, f"/b/{job.name}", data, {"Host": "h", "Credential": "kred"})
            response = connection.getresponse()
            return response.status, response.read()

        wait_until(lambda: call("POST", body)[0] == 200, "the job is accepted")
        wait_until(lambda: b"completed" in call("GET")[1], "the job ends")

    def attack(self, address):
        pid = self.daemon.process.pid
        former = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        connection = http.client.HTTPConnection(self.daemon.address, timeout=CALL_TIMEOUT_S)
        self.addCleanup(connection.close)
        self.run_job(connection)
        written = len(self.daemon.process.output())
        limit = self.open_files() + SPARE
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, former[1]))
        crowd = Crowd(address, CROWD)
        try:
            wait_until(lambda: self.open_files() >= limit, "the limit is reached")
            for _ in range(JOBS):
                self.run_job(connection)
            self.check(limit)
        finally:
            crowd.close()
        wait_until(self.answered, "an ordinary request is answered")
        self.check(limit)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, former)
        wait_until(self.answered, "an ordinary request is answered")
        self.run_job(connection)
        self.assertLess(len(self.daemon.process.output()) - written, MAX_LOG_BYTES)

    # Guards against a daemon that ends, fills the log or gives up its calls when it can accept no connection.
    def test_connections_of_callers(self):
        self.attack(self.daemon.address)

    def test_connections_of_other_daemons(self):
        self.attack(self.daemon.peer_address)

    def test_connections_of_readiness_checks(self):
        self.attack(self.daemon.readiness_address)


if __name__ == "__main__":
    run_tests()
