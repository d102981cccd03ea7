"""Callers that send more than the limits, against real daemons: no process ends, grows beyond its memory or runs
out of descriptors, and an ordinary request is answered afterwards."""

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
from crowd import Crowd, post  # noqa: E402
from main import run_tests  # noqa: E402
from programs import wait_until  # noqa: E402

# Limits of the daemons' settings, and the bounds that are checked.
MEMORY_MB, DESCRIPTORS = 48, 400
SETTINGS = f"limits.memory_mb={MEMORY_MB}\nlimits.max_fds={DESCRIPTORS}\n"
# Fewer connections than a daemon accepts, and more.
CROWD, LARGE_CROWD = 150, 600
# Of the operator's configuration.
MAX_BODY_BYTES = 262144
# Descriptors left when the limit is lowered, and jobs that run one after another while it is reached.
SPARE, JOBS, WORK_MS = 20, 8, 50
# Far more than the daemon's ordinary lines meanwhile.
MAX_LOG_BYTES = 1 << 20


class HostileCallers(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(1, daemons=1, targets=1, settings=SETTINGS)
        self.addCleanup(self.cell.close)
        self.cell.wait_until_ready()
        self.daemon = self.cell.daemons[0]

    def check(self, context):
        process = self.daemon.process
        self.assertTrue(process.running(), f"{context}: {process.output()[-2000:]}")
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
        peak_kb = int(status.split("VmHWM:")[1].split()[0])
        self.assertLess(peak_kb / 1024, MEMORY_MB, context)
        open_files = len(list(pathlib.Path(f"/proc/{process.pid}/fd").iterdir()))
        self.assertLessEqual(open_files, DESCRIPTORS, context)

    def answered(self):
        answer = self.cell.call(self.daemon, "GET", "/b/", "kred")
        return answer is not None and answer[0] == 200

    def attack(self, make, count=CROWD, pieces=1, ordinary_beside=True):
        """Has a crowd send make(key) to each address of the daemon, with and without a valid key."""
        daemon = self.daemon
        for address in (daemon.address, daemon.readiness_address, daemon.peer_address):
            for key in (None, "kred"):
                context = f"{address} key={key}"
                crowd = Crowd(address, count)
                try:
                    data = make(key)
                    size = max(1, -(-len(data) // pieces))
                    for at in range(0, len(data), size):
                        crowd.send(data[at:at + size])
                    self.check(context)
                    if ordinary_beside:
                        wait_until(self.answered, f"{context}: an ordinary request is answered")
                finally:
                    crowd.close()
                wait_until(self.answered, f"{context}: an ordinary request is answered")
                self.check(context)

    # Guards against memory that is set aside by what a header announces.
    def test_announced_bodies_that_are_not_sent(self):
        self.attack(lambda key: post(1 << 30, key))

    # Guards against bodies over the limit that are kept until they are complete.
    def test_announced_bodies_far_over_the_limit(self):
        self.attack(lambda key: post(1 << 20, key) + b"x" * 1_000_000)

    # Guards against many bodies within the limit that never become complete.
    def test_incomplete_bodies_within_the_limit(self):
        self.attack(lambda key: post(MAX_BODY_BYTES, key) + b"x" * (MAX_BODY_BYTES - 1))

    # Guards against bytes that are kept after the end of a request.
    def test_endless_bodies_behind_a_small_length(self):
        self.attack(lambda key: post(10, key) + b"x" * 1_000_000)

    def test_bodies_without_a_length(self):
        self.attack(lambda key: post(None, key) + b"x" * 1_000_000)

    def test_chunked_bodies(self):
        chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
        self.attack(lambda key: post(None, key, "Transfer-Encoding: chunked\r\n") + chunk * 16)

    def test_slow_bodies(self):
        self.attack(lambda key: post(MAX_BODY_BYTES, key) + b"x" * 200_000, pieces=8)

    # Guards against headers that are kept without an end.
    def test_endless_headers(self):
        self.attack(lambda key: post(None, key)[:-2] + b"X-Filler: " + b"y" * 1_000_000)

    def test_slow_headers(self):
        self.attack(lambda key: post(None, key)[:-2] + b"X-Filler: " + b"y" * 12_000, pieces=8)

    # Guards against descriptors that connections use up which say nothing.
    def test_many_silent_connections(self):
        self.attack(lambda key: b"", count=LARGE_CROWD, ordinary_beside=False)

    def test_requests_without_waiting_for_answers(self):
        self.attack(lambda key: post(None, key, verb="GET") * 2000)

    # Guards against answers that are kept for callers that never read them.
    def test_answers_that_are_never_read(self):
        state = b"GET /state HTTP/1.1\r\nHost: h\r\n\r\n"
        self.attack(lambda key: state if key is None else post(None, key, verb="GET"), pieces=1)

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

    # Guards against a daemon that ends, fills the log or gives up its calls when it can accept no connection.
    def test_no_descriptor_left(self):
        process = self.daemon.process
        files = pathlib.Path(f"/proc/{process.pid}/fd")
        for address in (self.daemon.address, self.daemon.readiness_address, self.daemon.peer_address):
            connection = http.client.HTTPConnection(self.daemon.address, timeout=CALL_TIMEOUT_S)
            self.addCleanup(connection.close)
            self.run_job(connection)
            written = len(process.output())
            former = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
            limit = len(list(files.iterdir())) + SPARE
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (limit, former[1]))
            crowd = Crowd(address, CROWD)
            try:
                wait_until(lambda: len(list(files.iterdir())) >= limit, "the limit is reached")
                for _ in range(JOBS):
                    self.run_job(connection)
                self.check(address)
            finally:
                crowd.close()
            wait_until(self.answered, f"{address}: an ordinary request is answered")
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, former)
            self.run_job(connection)
            self.check(address)
            self.assertLess(len(process.output()) - written, MAX_LOG_BYTES)


if __name__ == "__main__":
    run_tests()
