"""Stand-in for a plain service: idempotent reads and non-idempotent commands."""

from __future__ import annotations

import time
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass

import gevent

from .web import Environ
from .web import Faults
from .web import Standin
from .web import StartResponse
from .web import break_connection
from .web import read_body
from .web import send_json


@dataclass(slots=True)
class Execution:
    """One execution of a call."""

    at: float
    request_id: str
    method: str
    path: str
    body: bytes


class ServiceStandin(Standin):
    """A service that records the calls that it executed."""

    def __init__(
        self, name: str, *, service_time_s: float = 0.01, max_running: int = 16
    ) -> None:
        self.name = name
        self.service_time_s = service_time_s
        self.max_running = max_running
        self.running = 0
        self.leaving = False
        self.faults = Faults()
        self.executions: list[Execution] = []
        self.instance = name
        super().__init__()

    def application(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Execute a call or report the state."""
        path = environ["PATH_INFO"]
        if path in ("/state", "/load"):
            state = {
                "instance": self.instance,
                "max_batch": self.max_running,
                "running": self.running,
                "leaving": self.leaving,
            }
            return send_json(start_response, state)
        body = read_body(environ)
        request_id = environ.get("HTTP_FILBERTYARD_REQUEST", "")
        faults = self.faults
        if faults.consume("reset_before"):
            return break_connection(environ)
        method = environ["REQUEST_METHOD"]
        self.executions.append(
            Execution(time.monotonic(), request_id, method, path, body)
        )
        self.running += 1
        try:
            gevent.sleep(self.service_time_s)
            if faults.consume("slow"):
                gevent.sleep(faults.slow_s)
        finally:
            self.running -= 1
        number = len(self.executions)
        if faults.consume("reset_after"):
            return break_connection(environ)
        if faults.consume("crossed"):
            request_id = "another-request"
        response = {"service": self.name, "executed": number, "request": request_id}
        if faults.consume("cut"):
            return self.send_truncated(environ, start_response)
        if faults.consume("unframed"):
            return self.send_unframed(environ, request_id)
        return send_json(
            start_response, response, headers=[("Filbertyard-Request", request_id)]
        )

    def send_unframed(self, environ: Environ, request_id: str) -> list[bytes]:
        """Send the start of a response that has neither a length nor chunks."""
        head = f"HTTP/1.1 200 OK\r\nFilbertyard-Request: {request_id}\r\n\r\n"
        environ["standin.handler"].socket.sendall(head.encode() + b"{")
        return break_connection(environ)

    def send_truncated(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterator[bytes]:
        """Yield the start of a response and break the connection."""
        start_response("200 OK", [("Content-Length", "1000")])
        yield b"{"
        break_connection(environ)
