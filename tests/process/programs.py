"""Starts, signals and ends the programs of a test, each by its own process id."""

import os
import pathlib
import signal
import socket
import subprocess
import time

# Above every deadline of the programs; a test that needs longer has failed.
PATIENCE_S = 60.0
# Below the range from which the system takes ports of outgoing connections.
FIRST_PORT, LAST_PORT = 20000, 30000


class Ports:
    """Hands out loopback ports that nothing listens on."""

    def __init__(self, start):
        self._next = FIRST_PORT + start % (LAST_PORT - FIRST_PORT)

    def take(self, count=1):
        """First of count free ports in a row."""
        for _ in range(LAST_PORT - FIRST_PORT):
            first = self._next
            if first + count > LAST_PORT:
                first = FIRST_PORT
            self._next = first + 1
            if all(self._free(port) for port in range(first, first + count)):
                self._next = first + count
                return first
        raise RuntimeError("no free port")

    @staticmethod
    def _free(port):
        with socket.socket() as probe:
            # As the servers do; a port with closing connections can be listened on.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
                return True
            except OSError:
                return False


def wait_until(condition, what, patience_s=PATIENCE_S):
    """Returns the first true value of condition(); fails after patience_s."""
    end = time.monotonic() + patience_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError(f"not within {patience_s} s: {what}")
        time.sleep(0.05)


class Program:
    """One process with its output in a file."""

    def __init__(self, name, command, folder, environment=None):
        self.name = name
        self.path = pathlib.Path(folder) / f"{name}.log"
        self._file = open(self.path, "ab")
        self._process = subprocess.Popen(
            [str(part) for part in command], stdin=subprocess.DEVNULL, stdout=self._file,
            stderr=subprocess.STDOUT,
            env={**os.environ, **(environment or {})},
        )

    @property
    def pid(self):
        return self._process.pid

    def output(self):
        return self.path.read_text(errors="replace")

    def running(self):
        return self._process.poll() is None

    def send(self, number):
        if self.running():
            self._process.send_signal(number)

    def wait(self, patience_s=PATIENCE_S):
        """Returns the exit code."""
        try:
            return self._process.wait(patience_s)
        except subprocess.TimeoutExpired:
            raise AssertionError(f"{self.name} does not end:\n{self.output()[-3000:]}") from None

    def terminate(self):
        self.send(signal.SIGTERM)
        return self.wait()

    def kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        return self.wait()

    def close(self):
        if self.running():
            self.kill()
        self._file.close()

    def resident_mb(self):
        """Resident memory, MB."""
        for line in pathlib.Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        raise AssertionError(f"{self.name} is not running")

    def cpu_seconds(self):
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / 100.0
