"""HTTP server and helpers shared by the stand-ins."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from collections.abc import Iterable
from contextlib import suppress
from typing import Any

from gevent.pywsgi import WSGIHandler
from gevent.pywsgi import WSGIServer

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Environ = dict[str, Any]
WsgiApp = Callable[[Environ, StartResponse], Iterable[bytes]]

STATUS_LINES = {
    200: "200 OK",
    202: "202 Accepted",
    304: "304 Not Modified",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    412: "412 Precondition Failed",
    429: "429 Too Many Requests",
    500: "500 Internal Server Error",
    502: "502 Bad Gateway",
    503: "503 Service Unavailable",
}


def read_body(environ: Environ) -> bytes:
    """Return the request body."""
    return bytes(environ["wsgi.input"].read())


def read_json(environ: Environ) -> Any:
    """Return the parsed request body."""
    body = read_body(environ)
    return json.loads(body) if body else {}


def send_json(
    start_response: StartResponse,
    value: Any,
    status: int = 200,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Answer with a JSON body."""
    body = json.dumps(value).encode()
    start_response(
        STATUS_LINES[status],
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *headers,
        ],
    )
    return [body]


class Faults:
    """Failures that a test switches on, each for a number of calls."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self.slow_s = 0.0

    def switch_on(self, kind: str, calls: int = 1) -> None:
        """Make the next `calls` calls fail with the failure `kind`."""
        self.counts[kind] = calls

    def consume(self, kind: str) -> bool:
        """Tell if the current call fails with `kind`, and count it."""
        left = self.counts.get(kind, 0)
        if left <= 0:
            return False
        self.counts[kind] = left - 1
        return True


def break_connection(environ: Environ) -> list[bytes]:
    """Close the connection before the response or in the middle of it."""
    handler = environ["standin.handler"]
    handler.close_connection = True
    with suppress(OSError):
        handler.socket.shutdown(socket.SHUT_RDWR)
    return []


class Handler(WSGIHandler):
    """One connection to a stand-in."""

    def handle(self) -> None:
        """Serve the connection, registered so that the server can close it."""
        handlers: set[Any] = self.server.environ["standin.handlers"]
        handlers.add(self)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            super().handle()
        finally:
            handlers.discard(self)

    def get_environ(self) -> Environ:
        """Return the WSGI environment with this handler in it."""
        environ: Environ = super().get_environ()
        environ["standin.handler"] = self
        return environ


class Server:
    """A stand-in's HTTP server, on loopback by default; port 0 picks a free one."""

    def __init__(self, app: WsgiApp, port: int = 0, ip: str = "127.0.0.1") -> None:
        self.app = app
        self.ip = ip
        self.port = port
        self.server: WSGIServer | None = None
        self.handlers: set[Handler] = set()

    @property
    def address(self) -> str:
        """Return `IP:PORT`."""
        return f"{self.ip}:{self.port}"

    def start(self) -> None:
        """Listen and serve in the background."""
        self.handlers = set()
        self.server = WSGIServer(
            (self.ip, self.port),
            self.app,
            log=None,
            error_log=None,
            handler_class=Handler,
            environ={"standin.handlers": self.handlers},
        )
        self.server.start()
        self.port = int(self.server.server_port or 0)

    def stop(self) -> None:
        """Stop listening and close the open connections."""
        if self.server is not None:
            self.server.stop(timeout=0)
            self.server = None
            for handler in list(self.handlers):
                try:
                    handler.socket.shutdown(socket.SHUT_RDWR)
                except OSError:
                    continue


class Standin:
    """A stand-in with an HTTP server; subclasses answer in `application`."""

    def __init__(self, port: int = 0) -> None:
        self.server = Server(self.application, port)

    @property
    def address(self) -> str:
        """Return `IP:PORT`."""
        return self.server.address

    def application(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        raise NotImplementedError

    def start(self) -> None:
        """Start serving."""
        self.server.start()

    def stop(self) -> None:
        """Stop serving."""
        self.server.stop()
