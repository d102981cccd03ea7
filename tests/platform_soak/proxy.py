"""Loopback TCP proxy that delays, drops, stalls or resets the traffic of its connections."""

import random
import select
import socket
import struct
import threading
import time


class Proxy:
    """Faults: `drop_all` drops bytes in both directions, `drop_replies` only those of the server,
    `delay_s` delays every chunk, and `answer_reset_probability` is that of a connection being reset
    when the server answers a request, which has then been delivered and carried out. A connection
    falls silent with the first request that `swallows` chooses by its first line.

    `rewrites` maps bytes of clients to others of the same length, so that an address in a message
    can be replaced by that of a proxy."""

    def __init__(self, port, target, seed=0):
        self.answer_reset_probability = 0.0
        # Decides, from the first line of a request, whether its answer is lost by a reset.
        self.resets_answer = lambda _: self._random.random() < self.answer_reset_probability
        self.swallows = lambda _: False
        self._random = random.Random(seed)
        self.drop_all = False
        self.drop_replies = False
        self.delay_s = 0.0
        self.rewrites = {}
        self.address = f"127.0.0.1:{port}"
        self._target = target
        self._open = set()
        self._stalled = set()
        self._lock = threading.Lock()
        self._closed = False
        self._listener = socket.create_server(("127.0.0.1", port), backlog=128)
        self._thread = threading.Thread(target=self._accept)
        self._thread.start()

    def close(self):
        self._closed = True
        self._thread.join()
        self._listener.close()
        self.reset()

    def stall_open(self):
        """Drops all further bytes of the open connections; new ones are not affected."""
        with self._lock:
            self._stalled |= self._open

    def reset(self):
        with self._lock:
            pairs = list(self._open)
        for pair in pairs:
            for end in pair:
                try:
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # Already closed.

    def _accept(self):
        while not self._closed:
            if not select.select([self._listener], [], [], 0.1)[0]:
                continue
            client, _ = self._listener.accept()
            try:
                server = socket.create_connection(self._target, timeout=2)
            except OSError:
                client.close()
                continue
            pair = (client, server)
            for end in pair:
                end.settimeout(None)
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._open.add(pair)
            threading.Thread(target=self._relay, args=(pair,), daemon=True).start()

    def _relay(self, pair):
        client, server = pair
        request_line = b""
        try:
            while not self._closed:
                for end in select.select(pair, [], [], 0.1)[0]:
                    data = end.recv(65536)
                    if not data:
                        return
                    if end is client and data.startswith((b"GET ", b"POST ", b"DELETE ")):
                        request_line = data.split(b"\r\n", 1)[0]
                        if self.swallows(request_line):
                            with self._lock:
                                self._stalled.add(pair)
                    elif end is server and request_line:
                        if self.resets_answer(request_line):
                            client.setsockopt(
                                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                            )
                            return
                        request_line = b""
                    dropped = (
                        self.drop_all or pair in self._stalled
                        or (self.drop_replies and end is server)
                    )
                    if end is client:
                        for old, new in self.rewrites.items():
                            data = data.replace(old, new)
                    if self.delay_s:
                        time.sleep(self.delay_s)
                    if not dropped:
                        (server if end is client else client).sendall(data)
        except OSError:
            pass  # Reset by a peer or by a fault.
        finally:
            with self._lock:
                self._open.discard(pair)
                self._stalled.discard(pair)
            client.close()
            server.close()
