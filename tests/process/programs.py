"""Starts, signals and stops the processes of a test, each by its process id."""

import os
import pathlib
import signal
import socket
import subprocess
import time

# Longer than every deadline of the tested programs.
TIMEOUT_S = 60.0
# Below the ephemeral port range of the system.
FIRST_PORT, LAST_PORT = 20000, 30000


class Ports:
    """Allocates loopback ports that no process listens on."""

    def __init__(self, start):
        self._next = FIRST_PORT + start % (LAST_PORT - FIRST_PORT)

    def take(self, count=1):
        """Returns the first of count consecutive free ports."""
        for _ in range(LAST_PORT - FIRST_PORT):
            first = self._next
            if first + count > LAST_PORT:
                first = FIRST_PORT
            self._next = first + 1
            if all(self._free(port) for port in range(first, first + count)):
                self._next = first + count
                return first
        raise RuntimeError(f"no {count} consecutive free ports in {FIRST_PORT} to {LAST_PORT - 1}")

    @staticmethod
    def _free(port):
        with socket.socket() as probe:
            # The servers set it too, so a port with connections in TIME_WAIT counts as free.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
                return True
            except OSError:
                return False


def wait_until(condition, what, timeout_s=TIMEOUT_S):
    """Polls condition() and returns its first true value; fails after timeout_s."""
    end = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError(f"timed out after {timeout_s} s: {what}")
        time.sleep(0.05)


class Program:
    """One process whose output goes to a file."""

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

    def wait(self, timeout_s=TIMEOUT_S):
        """Waits for the end of the process; returns its exit code."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            raise AssertionError(
                f"{self.name} did not exit within {timeout_s} s:\n{self.output()[-3000:]}"
            ) from None

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
        """Returns the resident memory in MB."""
        return self._status_mb("VmRSS:")

    def peak_mb(self):
        """Returns the largest resident memory since the start in MB."""
        return self._status_mb("VmHWM:")

    def _status_mb(self, field):
        for line in pathlib.Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith(field):
                return int(line.split()[1]) / 1024
        raise AssertionError(f"{self.name} is not running")

    def cpu_seconds(self):
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / 100.0
