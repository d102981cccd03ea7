"""A small HTTP/1.1 server for the stand-ins: one thread for each connection, with keep-alive.

The handler may raise Silence (no answer, the connection stays open) or Reset (connection reset)."""

import socket
import struct
import threading
from urllib.parse import parse_qsl, urlsplit


class Silence(Exception):
    """The request gets no answer and the connection stays open until the caller closes it."""


class Reset(Exception):
    """The connection is reset without an answer."""


class Request:
    def __init__(self, method, target, headers, body, connection):
        url = urlsplit(target)
        self.method, self.path = method, url.path
        self.query = dict(parse_qsl(url.query))
        self.headers, self.body, self.connection = headers, body, connection


class Connection:
    """An accepted connection. `tag` is set by the owner of the server when it is accepted."""

    def __init__(self, sock, tag):
        self.sock, self.tag = sock, tag

    def reset(self):
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.sock.close()
        except OSError:
            pass


class HttpServer:
    def __init__(self, handler, address=("127.0.0.1", 0), tag=lambda: None):
        self._handler, self._tag = handler, tag
        self._listener = socket.create_server(address, backlog=512)
        self.port = self._listener.getsockname()[1]
        self.address = f"{address[0]}:{self.port}"
        self._closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._closed = True
        self._listener.close()

    def _accept(self):
        while not self._closed:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(sock, self._tag())
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        reader = connection.sock.makefile("rb")
        try:
            while True:
                line = reader.readline()
                if not line:
                    return
                method, target, _ = line.decode("latin-1").split(" ", 2)
                headers = {}
                while (line := reader.readline().strip()):
                    name, _, value = line.decode("latin-1").partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = reader.read(int(headers.get("content-length", 0)))
                request = Request(method, target, headers, body, connection)
                try:
                    status, answer = self._handler(request)
                except Silence:
                    while connection.sock.recv(65536):
                        pass
                    return
                except Reset:
                    connection.reset()
                    return
                head = (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                        f"Content-Length: {len(answer)}\r\n\r\n")
                connection.sock.sendall(head.encode() + answer)
        except (OSError, ValueError):
            pass  # The peer has ended or was reset.
        finally:
            try:
                reader.close()
                connection.sock.close()
            except OSError:
                pass
