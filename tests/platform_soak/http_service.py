"""HTTP server for the stand-ins: one thread per connection, with keep-alive."""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qsl, urlsplit


class NoAnswer(Exception):
    """Raised by a handler to close the connection without an answer."""


class HttpService:
    """Serves handler(method, path, query, body) -> (status, body bytes) on a loopback port."""

    def __init__(self, port, handler):
        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def _serve(self):
                url = urlsplit(self.path)
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                try:
                    status, answer = handler(
                        self.command, url.path, dict(parse_qsl(url.query)), body
                    )
                except NoAnswer:
                    self.close_connection = True
                    return
                try:
                    self.send_response(status)
                    self.send_header("Content-Length", str(len(answer)))
                    self.end_headers()
                    self.wfile.write(answer)
                except OSError:
                    self.close_connection = True

            do_GET = do_POST = do_DELETE = _serve

            def log_message(self, *_):
                pass

            def handle(self):
                try:
                    super().handle()
                except OSError:
                    pass  # The peer was killed.

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128
            allow_reuse_address = True

        self._server = Server(("127.0.0.1", port), Handler)
        self._thread = threading.Thread(target=self._server.serve_forever, args=(0.05,))
        self._thread.start()

    def close(self):
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()


def json_answer(status, **fields):
    return status, json.dumps(fields).encode()
