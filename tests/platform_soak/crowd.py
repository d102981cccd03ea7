"""Callers that send what they should not."""

import select
import socket
import time

# Time without progress after which a crowd has sent all that the daemon takes.
QUIET_S = 0.5
LONGEST_SEND_S = 20.0


def post(length=None, key=None, headers="", verb="POST"):
    lines = f"{verb} /b/00000000000000aa HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"
    lines += "" if length is None else f"Content-Length: {length}\r\n"
    lines += "" if key is None else f"Credential: {key}\r\n"
    return (lines + headers + "\r\n").encode()


class Crowd:
    """Connections that send the same bytes and read nothing."""

    def __init__(self, address, count):
        host, port = address.rsplit(":", 1)
        self.sockets = []
        for _ in range(count):
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex((host, int(port)))
            self.sockets.append(one)

    def send(self, data):
        """Sends until all has been sent, every connection has ended or the daemon takes no more."""
        left = {one: memoryview(data) for one in self.sockets}
        end = time.monotonic() + LONGEST_SEND_S
        quiet_since = time.monotonic()
        while left and time.monotonic() < end and time.monotonic() - quiet_since < QUIET_S:
            poll = select.poll()
            by_number = {one.fileno(): one for one in left}
            for number in by_number:
                poll.register(number, select.POLLOUT)
            for number, _ in poll.poll(100):
                one = by_number[number]
                try:
                    sent = one.send(left[one][:65536])
                    left[one] = left[one][sent:]
                    quiet_since = time.monotonic() if sent else quiet_since
                except BlockingIOError:
                    continue
                except OSError:
                    left[one] = left[one][:0]
                if not left[one]:
                    del left[one]

    def close(self):
        for one in self.sockets:
            one.close()
