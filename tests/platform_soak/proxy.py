"""A loopback proxy that delays, cuts, silences or resets the connections that lead through it."""

import select
import socket
import struct
import threading
import time


class Proxy:
    """Faults: `cut` drops bytes both ways, `cut_back` only those of the server, `delay_s`."""

    def __init__(self, port, target):
        self.cut = False
        self.cut_back = False
        self.delay_s = 0.0
        self.address = f"127.0.0.1:{port}"
        self._target = target
        self._open = set()
        self._silent = set()
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

    def silence(self):
        """Open connections go silent for good; new ones work."""
        with self._lock:
            self._silent |= self._open

    def reset(self):
        with self._lock:
            pairs = list(self._open)
        for pair in pairs:
            for end in pair:
                try:
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # Has ended by itself.

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
            threading.Thread(target=self._pump, args=(pair,), daemon=True).start()

    def _pump(self, pair):
        client, server = pair
        try:
            while not self._closed:
                for end in select.select(pair, [], [], 0.1)[0]:
                    data = end.recv(65536)
                    if not data:
                        return
                    lost = self.cut or pair in self._silent or (self.cut_back and end is server)
                    if self.delay_s:
                        time.sleep(self.delay_s)
                    if not lost:
                        (server if end is client else client).sendall(data)
        except OSError:
            pass  # Reset by either end, or by a fault.
        finally:
            with self._lock:
                self._open.discard(pair)
                self._silent.discard(pair)
            client.close()
            server.close()
