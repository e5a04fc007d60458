"""HTTP server for callers with limits on connections, heads, bodies and time."""

from __future__ import annotations

import errno
import logging
import re
import socket
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import gevent
from gevent.pywsgi import WSGIHandler
from gevent.pywsgi import WSGIServer

from .exceptions import BufferLimitError
from .exceptions import CallerDisconnectedError
from .httpcalls import BODILESS_STATUSES
from .logs import log_event
from .metrics import Metrics
from .problems import ProblemDetails
from .readlimits import PIPELINED_REQUEST_S
from .readlimits import PIPELINES
from .readlimits import REQUEST_BODIES
from .readlimits import REQUEST_HEADS
from .readlimits import UNREAD_RESPONSES
from .readlimits import ReadTurn
from .readlimits import Reservation
from .sockets import end_when_closed
from .sockets import reset_when_closed

logger = logging.getLogger(__name__)

HANDLER_KEY = "filbertyard.handler"

# Header lines of a request together. The standard library's header parser would accept
# 100 lines of 64 KB.
MAX_HEAD_BYTES = 32 * 1024

# gevent.pywsgi rejects a request line of this size.
MAX_REQUEST_LINE_BYTES = 8192

# Memory that a parsed header line takes beyond its bytes: as a line, as a name and a
# value, and in the WSGI environment.
HEADER_LINE_BYTES = 512

# Empty lines that are skipped before a request. RFC 9112 asks for at least one.
MAX_EMPTY_LINES = 4

# A caller may pipeline so many requests before its connection gives way. The next
# request of a fast caller may also be there when the response has just been sent.
MAX_READY_REQUESTS = 4

END_OF_LINE = re.compile(rb"\n")

# The line before the header lines ends with the first line break.
END_OF_HEAD = re.compile(rb"\n\r?\n")

# Retry-After of a request whose head this process has no memory for.
NO_MEMORY_RETRY_AFTER_S = 1.0

# Interval of the `connections_ended` log line.
ENDED_LOG_INTERVAL_S = 1.0

# Limits of a lingering close: what a rejected caller still sends is read and dropped,
# so that the kernel does not reset the connection before the caller has read the
# response.
MAX_LINGER_BYTES = 256 * 1024
LINGER_S = 0.5

HEADER_PATTERN = re.compile(r"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([^\x00\r\n]*)\r?\n")

# Two servers would parse the same stream differently if these had two values, which
# allows request smuggling.
SINGLE_HEADERS = ("content-length", "transfer-encoding", "host")

# A larger first part of a body is not sent in one write with the head.
MAX_COALESCED_BYTES = 64 * 1024

# Bytes of a body that are read before other greenlets may run.
READ_BLOCK_BYTES = 64 * 1024

# With the default of 100, a flood of connections delays the running calls.
MAX_ACCEPTS_PER_LOOP = 8


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers.

    `max_unused_connections` limits connections that have not sent a request yet, so
    that a flood of them leaves room for callers that have.
    """

    max_connections: int = 4096
    max_unused_connections: int = 1024
    first_request_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    head_timeout_s: float = 10.0
    body_timeout_s: float = 20.0
    write_timeout_s: float = 20.0
    max_head_bytes: int = MAX_HEAD_BYTES
    max_body_bytes: int = 512 * 1024


class HeadTooLargeError(ValueError):
    """Header lines above the limit on their size."""


class RequestHead:
    """The header lines of a request, with the interface that the WSGI handler expects.

    The standard library's parser takes a third of the time of a small call.
    """

    status = ""

    def __init__(self, data: bytes) -> None:
        self.headers: list[str] = []
        self.fields: dict[str, str] = {}
        for line in data.decode("latin-1").split("\n")[:-2]:
            self.add(f"{line}\n")
        if self.fields.get("transfer-encoding", "chunked").lower() != "chunked":
            raise ValueError("unknown transfer encoding")

    def add(self, line: str) -> None:
        """Add one header line; raise ValueError if it is malformed."""
        match = HEADER_PATTERN.fullmatch(line)
        if match is None:
            raise ValueError("malformed header line")
        name, value = match[1].lower(), match[2].strip()
        if name in SINGLE_HEADERS and self.fields.get(name, value) != value:
            raise ValueError(f"two different {name} headers")
        if name == "transfer-encoding" and name in self.fields:
            # gevent joins both to an encoding that it does not know, and reads no body.
            raise ValueError("two transfer-encoding headers")
        if name == "content-length" and not (value.isascii() and value.isdigit()):
            raise ValueError("malformed content-length")
        self.fields.setdefault(name, value)
        self.headers.append(line)

    @property
    def typeheader(self) -> str | None:
        """Return the content type."""
        return self.fields.get("content-type")

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first header `name`."""
        return self.fields.get(name.lower(), default)

    def getheader(self, name: str, default: str | None = None) -> str | None:
        """Return the first header `name`."""
        return self.get(name, default)

    def __delitem__(self, name: str) -> None:
        del self.fields[name]


class CallerHandler(WSGIHandler):
    """Handler of one connection of a caller."""

    def __init__(self, sock: Any, address: Any, server: CallerServer) -> None:
        super().__init__(sock, address, server)
        self.limits = server.limits
        self.caller_server = server
        self.request_count = 0
        self.should_linger = False
        self.should_frame = True
        self.is_aborted = False
        self.greenlet: Any = None
        self.head_reservation: Reservation | None = None
        self.body_reservation: Reservation | None = None
        self.is_input_ended = False
        # Requests in a row that were there before the last response was sent.
        self.ready_requests = 0
        # Size of a response that the application holds as a whole.
        self.held_bytes = 0
        self.write_buffer: bytearray | None = None

    def handle(self) -> None:
        """Serve the requests of the connection in turn."""
        self.greenlet = gevent.getcurrent()
        self.caller_server.add_connection(self)
        try:
            super().handle()
        finally:
            self.caller_server.remove_connection(self)

    def read_requestline(self) -> str:
        """Wait for the next request line; raise TimeoutError on an idle connection."""
        self.give_way()
        line = b""
        for _ in range(MAX_EMPTY_LINES + 1):
            self.await_request()
            if self.head_reservation is None:
                self.head_reservation = REQUEST_HEADS.reserve(self.end_input)
            with gevent.Timeout(self.limits.head_timeout_s, TimeoutError("head")):
                line = self.read_until(END_OF_LINE, b"", MAX_REQUEST_LINE_BYTES)
            if line not in (b"\r\n", b"\n"):
                break
        return line.decode("latin-1")

    def await_request(self) -> None:
        """Wait for the first byte of a request, which leaves it in the buffer."""
        limits = self.limits
        limit_s = (
            limits.idle_timeout_s
            if self.request_count
            else limits.first_request_timeout_s
        )
        self.caller_server.record_idle(self)
        with gevent.Timeout(limit_s, TimeoutError("idle")):
            self.rfile.peek(1)
        self.caller_server.record_reading(self)

    def give_way(self) -> None:
        """Let other connections go first if the next request is there already."""
        if not self.request_count or not self.has_next_request():
            self.ready_requests = 0
            return
        self.ready_requests += 1
        if self.ready_requests <= MAX_READY_REQUESTS:
            return
        self.caller_server.record_pipelining(self)
        PIPELINES.pause(PIPELINED_REQUEST_S, self.limits.idle_timeout_s)

    def has_next_request(self) -> bool:
        """Tell if bytes of another request have been received."""
        sock: Any = self.socket
        timeout_s = sock.gettimeout()
        sock.settimeout(0.0)
        try:
            return bool(self.rfile.peek(1))
        except OSError:
            return False
        finally:
            sock.settimeout(timeout_s)

    def read_until(self, end: re.Pattern[bytes], start: bytes, max_bytes: int) -> bytes:
        """Read until `end`, the end of the input or a little more than `max_bytes`.

        The result begins with `start`, bytes read before that `end` may begin with.
        What is read is kept as bytes, and its memory is counted: as lines, short ones
        would take many times their size.
        """
        data = bytearray(start)
        searched = 0
        while len(data) <= max_bytes:
            part = self.rfile.peek(1)
            if not part:
                break
            data += part
            found = end.search(data, searched)
            if found is not None:
                surplus = len(data) - found.end()
                self.rfile.read(len(part) - surplus)
                del data[found.end() :]
                break
            self.rfile.read(len(part))
            searched = max(0, len(data) - 2)
            self.count_head(len(data))
        return bytes(data)

    def count_head(self, size: int) -> None:
        """Count the memory of the head; raise BufferLimitError if there is none."""
        if self.head_reservation is not None:
            self.head_reservation.resize(size)

    def read_request(self, raw_requestline: str) -> Any:
        """Read the head within the limits on its size and time."""
        with gevent.Timeout(self.limits.head_timeout_s, TimeoutError("head")):
            read: Any = super().read_request(raw_requestline)
        headers: Any = self.headers
        is_body_expected = read and (
            headers.get("transfer-encoding") is not None or self.content_length
        )
        if self.head_reservation is not None and not is_body_expected:
            self.head_reservation.keep()
        self.caller_server.record_busy(self)
        return read

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Read and parse the header lines with a limit on their size."""
        max_bytes = self.limits.max_head_bytes
        data = self.read_until(END_OF_HEAD, b"\n", max_bytes + 1)[1:]
        if len(data) > max_bytes:
            raise HeadTooLargeError
        size = len(self.requestline or "") + len(data)
        self.count_head(size + HEADER_LINE_BYTES * data.count(b"\n"))
        if not (b"\n" + data).endswith((b"\n\n", b"\n\r\n")):
            raise ValueError("incomplete head")
        return RequestHead(data)

    def log_request(self) -> None:
        """Log nothing: the host logs its calls."""

    def handle_one_request(self) -> Any:
        """Serve one request; turn malformed heads into problem details."""
        try:
            result = super().handle_one_request()
        except BufferLimitError as error:
            # Raised while the request line was read.
            result = self._handle_client_error(error)
        finally:
            if self.head_reservation is not None:
                self.head_reservation.release()
                self.head_reservation = None
            # An idle connection keeps nothing of its last request.
            own: Any = self
            own.headers = own.environ = own.wsgi_input = None
            own.requestline = own.path = ""
        self.request_count += 1
        if isinstance(result, tuple) and result[0] == "414":
            result = head_problem(414, "request_line_too_long", "request line too long")
        if isinstance(result, tuple):
            self.caller_server.record_ended(f"status_{result[0]}")
            self.should_linger = True
            try:
                self.send_all(result[1])
            except OSError:
                return None
            self.linger()
            return None
        if self.should_linger:
            self.linger()
            return None
        return result

    def _handle_client_error(self, ex: BaseException) -> tuple[str, bytes]:
        """Return the response to a malformed head."""
        if isinstance(ex, CallerDisconnectedError):
            # Raised by CallerServer.stop().
            return head_problem(503, "host_stopping", "this host stops", 0.05)
        if isinstance(ex, TimeoutError):
            return head_problem(408, "head_timeout", "the request head took too long")
        if isinstance(ex, HeadTooLargeError):
            detail = f"request head exceeds {self.limits.max_head_bytes} bytes"
            return head_problem(431, "head_too_large", detail)
        reservation = self.head_reservation
        if isinstance(ex, BufferLimitError) or (
            reservation is not None and reservation.is_given_up
        ):
            detail = "request heads of this process take too much memory"
            return head_problem(503, "host_busy", detail, NO_MEMORY_RETRY_AFTER_S)
        return head_problem(400, "malformed_head", "malformed request head")

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with this handler in it."""
        environ: dict[str, Any] = super().get_environ()
        environ[HANDLER_KEY] = self
        return environ

    def read_body(self, max_bytes: int) -> bytes:
        """Read the body, or a little more than `max_bytes` of a larger one.

        Raise OSError if it ends early, BufferLimitError if the process has no memory
        for it. Its memory is counted until the response is sent.
        """
        body_input: Any = self.wsgi_input
        if not (body_input.chunked_input or body_input.content_length):
            return b""
        turn = ReadTurn()
        body = bytearray()
        reservation = self.body_reservation = REQUEST_BODIES.reserve(self.end_input)
        self.caller_server.record_reading(self)
        # Sends an interim response to a caller that waits for one.
        body_input.read(0)
        while len(body) <= max_bytes and not self.is_body_complete:
            turn.check()
            try:
                with gevent.Timeout(self.limits.idle_timeout_s, TimeoutError("body")):
                    part = body_input.read(self.await_body())
            except OSError:
                # The transfer may have been ended to free its memory.
                self.check_memory(len(body))
                raise
            if not part:
                break
            body += part
            self.check_memory(len(body))
        self.check_memory(len(body))
        reservation.keep()
        if self.head_reservation is not None:
            self.head_reservation.keep()
        self.caller_server.record_busy(self)
        return bytes(body)

    def check_memory(self, body_bytes: int) -> None:
        """Count the body; raise BufferLimitError if it or its head was given up."""
        if self.body_reservation is not None:
            self.body_reservation.resize(body_bytes)
        if self.head_reservation is not None:
            self.head_reservation.resize(self.head_reservation.size)

    @property
    def is_body_complete(self) -> bool:
        """Tell if the request's body has been read to its end."""
        body_input: Any = self.wsgi_input
        if body_input.chunked_input:
            return bool(body_input.chunk_length == 0)
        return bool(body_input.position >= (body_input.content_length or 0))

    def await_body(self) -> int:
        """Wait for more of the body; return how much can be read without waiting."""
        body_input: Any = self.wsgi_input
        available = len(self.rfile.peek(1))
        if not body_input.chunked_input:
            return max(1, available)
        # Only what is left of the present chunk is there for certain.
        left = int(body_input.chunk_length - body_input.position)
        return min(available, left) if available and left > 0 else 1

    def end_input(self) -> None:
        """Have the greenlet that reads the request find it at an end."""
        self.is_input_ended = True
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_RD)

    def end_output(self) -> None:
        """Have the greenlet that sends the response find the connection at an end."""
        if not self.headers_sent or self.is_framed:
            shut_down(self)
        elif self.greenlet is not gevent.getcurrent():
            # A shutdown is the proper end of such a response; closing it resets.
            error = CallerDisconnectedError(errno.EPIPE, "the caller does not read")
            self.greenlet.kill(error, block=False)
        self.caller_server.record_ended("unread_response")

    def handle_one_response(self) -> None:
        """Produce one response; return the memory of the request's body."""
        self.held_bytes = 0
        try:
            super().handle_one_response()
        finally:
            if self.body_reservation is not None:
                self.body_reservation.release()
                self.body_reservation = None

    def close_after_response(self) -> None:
        """Close the connection after the response; leave the body's rest unread."""
        self.close_connection = True
        self.should_linger = True
        self.skip_body()

    def skip_body(self) -> None:
        """Have gevent leave the body's rest unread, for which it has no time limit."""
        body: Any = self.wsgi_input
        body.chunked_input = False
        body.content_length = body.position

    def omit_framing(self) -> None:
        """Send the response without a length and chunks; its connection ends it."""
        self.should_frame = False
        self.close_connection = True

    def finalize_headers(self) -> None:
        """Add the framing of the response unless it has none."""
        if not self.should_frame:
            # With a length from the application, gevent adds no framing of its own.
            self.provided_content_length = "none"
        super().finalize_headers()
        if not self.is_framed:
            # Its end is that of the connection, which the kernel closes in order also
            # for a process that is killed.
            self.close_connection = True
            reset_when_closed(self.socket)

    @property
    def is_framed(self) -> bool:
        """Tell if the response to be sent shows its end by a length or chunks."""
        headers: Any = self.response_headers
        return (
            self.response_use_chunked
            or self.code in BODILESS_STATUSES
            or any(name.lower() == b"content-length" for name, _ in headers)
        )

    @property
    def has_unread_body(self) -> bool:
        """Tell if an unknown or large part of the request's body is not read."""
        body: Any = self.wsgi_input
        if body.chunked_input:
            return bool(body.chunk_length != 0)
        return bool((body.content_length or 0) - body.position > READ_BLOCK_BYTES)

    @property
    def is_continue_due(self) -> bool:
        """Tell if the caller still waits for the interim response before its body."""
        body: Any = self.wsgi_input
        return not self.is_body_complete and body.socket is not None

    def run_application(self) -> None:
        """Run the application and send its result."""
        try:
            super().run_application()
        except BaseException:
            self.close_connection = True
            self.skip_body()
            raise

    def process_result(self) -> None:
        """Send the result; only a whole response without framing ends in order."""
        if self.has_unread_body or self.is_continue_due:
            # gevent would read the rest before the next request, also one without end.
            self.close_after_response()
        super().process_result()
        if self.is_aborted:
            self.skip_body()
        self.discard_body()
        if self.is_aborted or self.is_framed:
            return
        end_when_closed(self.socket)
        # Closing with unread data of the caller would reset the connection.
        self.should_linger = True

    def discard_body(self) -> None:
        """Read and drop the small rest of a body; give up one that does not come."""
        body_input: Any = self.wsgi_input
        if self.is_body_complete:
            return
        self.caller_server.record_reading(self)
        try:
            with gevent.Timeout(self.limits.idle_timeout_s, TimeoutError("body")):
                while not self.is_body_complete:
                    body_input.read(READ_BLOCK_BYTES)
        except OSError:
            self.close_after_response()

    def abort(self) -> None:
        """Close the connection at once, so that its response cannot look complete."""
        self.close_connection = True
        self.is_aborted = True
        self.status = None
        if self.headers_sent and not self.is_framed:
            # An orderly shutdown is the proper end of such a response.
            return
        # Otherwise gevent sends the last chunk, and the body looks complete.
        self.response_use_chunked = False
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def linger(self) -> None:
        """Read and drop a limited amount of what the caller still sends."""
        remaining_bytes = MAX_LINGER_BYTES
        try:
            with gevent.Timeout(LINGER_S, TimeoutError("linger")):
                self.socket.shutdown(socket.SHUT_WR)
                while remaining_bytes > 0:
                    if self.is_input_ended:
                        gevent.sleep(LINGER_S)
                    data = self.socket.recv(min(remaining_bytes, 65536))
                    if not data:
                        return
                    remaining_bytes -= len(data)
        except OSError:
            return

    def _write_with_headers(self, data: bytes) -> None:
        """Send the head and the first part of the body in one write."""
        self.write_buffer = write_buffer = bytearray()
        try:
            super()._write_with_headers(data)  # type: ignore[misc]
        finally:
            self.write_buffer = None
        if write_buffer:
            self.send_all(write_buffer)

    def _sendall(self, data: bytes) -> None:
        """Send to the caller, or buffer the data for the next write."""
        self.response_length += len(data)
        if self.write_buffer is not None and len(data) < MAX_COALESCED_BYTES:
            self.write_buffer += data
            return
        if self.write_buffer:
            self.send_all(bytes(self.write_buffer))
            self.write_buffer.clear()
        self.send_all(data)

    def send_all(self, data: bytes | bytearray) -> None:
        """Send to the caller; raise CallerDisconnectedError if it stops reading."""
        sock: Any = self.socket
        try:
            # Most writes fit into the send buffer and need no timer.
            sent = sock._sock.send(data)
        except BlockingIOError:
            sent = 0
        if sent < len(data):
            self.send_waiting(memoryview(data)[sent:])

    def send_waiting(self, data: memoryview) -> None:
        """Send what the caller has no room for yet, as long as memory lasts."""
        with UNREAD_RESPONSES.reserve(self.end_output) as reservation:
            try:
                reservation.resize(max(len(data), self.held_bytes))
                with gevent.Timeout(self.limits.write_timeout_s, TimeoutError("write")):
                    self.socket.sendall(data)
            except (BufferLimitError, TimeoutError, BrokenPipeError):
                # Without the cause, whose traceback would hold the data in a cycle.
                raise CallerDisconnectedError(
                    errno.EPIPE, "the caller does not read its response"
                ) from None

    @contextmanager
    def watch_disconnect(self) -> Iterator[None]:
        """Raise CallerDisconnectedError in this greenlet when the caller disconnects.

        A caller that closes only its sending side counts as disconnected, because
        both look the same to the server.
        """
        sock: Any = self.socket
        greenlet = gevent.getcurrent()
        watcher = gevent.get_hub().loop.io(sock.fileno(), 1)

        def check() -> None:
            try:
                data = sock._sock.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                return
            except OSError:
                data = b""
            watcher.stop()
            if not data:
                error = CallerDisconnectedError(errno.EPIPE, "the caller disconnected")
                gevent.kill(greenlet, error)

        watcher.start(check)
        try:
            yield
        finally:
            watcher.stop()
            watcher.close()


class CallerServer(WSGIServer):
    """HTTP server that limits the number of connections."""

    max_accept = MAX_ACCEPTS_PER_LOOP

    def __init__(
        self,
        address: str,
        application: Any,
        limits: CallerLimits,
        metrics: Metrics | None = None,
    ) -> None:
        ip, _, port = address.rpartition(":")
        super().__init__(
            (ip, int(port)),
            application,
            log=None,
            error_log=None,
            handler_class=CallerHandler,
        )
        self.limits = limits
        self.handlers: set[CallerHandler] = set()
        self.metrics = metrics
        self.ended: Counter[str] = Counter()
        self.logged_at = 0.0
        self.unused_connections: dict[CallerHandler, None] = {}
        self.reading: dict[CallerHandler, None] = {}
        self.pipelining: dict[CallerHandler, None] = {}
        self.idle: dict[CallerHandler, None] = {}

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self.handlers)

    def stop(self, timeout: float | None = None) -> None:
        """Stop listening, abort the responses in progress, close all connections."""
        super().stop(timeout)
        error = CallerDisconnectedError(errno.ECONNABORTED, "the server stops")
        for handler in list(self.handlers):
            if handler in self.unused_connections or handler in self.idle:
                shut_down(handler)
            elif handler.greenlet is not None:
                handler.greenlet.kill(error, block=False)
        # The aborted requests are logged and their replicas released.
        gevent.sleep(0)

    def handle(self, sock: Any, address: Any) -> None:
        """Serve one connection, or reject it if there are too many."""
        limits = self.limits
        while len(self.unused_connections) >= limits.max_unused_connections:
            self.close_oldest("unused", self.unused_connections)
        while self.open_connections >= limits.max_connections:
            # Idle connections of ordinary callers go last.
            groups = {
                "unused": self.unused_connections,
                "reading": self.reading,
                "pipelining": self.pipelining,
                "idle": self.idle,
            }
            cause = next((name for name, group in groups.items() if group), "")
            if not cause:
                self.reject(sock)
                return
            self.close_oldest(cause, groups[cause])
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)

    def close_oldest(self, cause: str, group: dict[CallerHandler, None]) -> None:
        """Close the connection that has been in a group for longest."""
        handler = next(iter(group))
        self.remove_connection(handler)
        self.record_ended(cause)
        shut_down(handler)

    def record_ended(self, cause: str) -> None:
        """Count a connection that this server ended; log the counts at intervals."""
        self.ended[cause] += 1
        if self.metrics is not None:
            self.metrics.add("filbertyard_connections_ended_total", cause=cause)
        now = time.monotonic()
        if now - self.logged_at < ENDED_LOG_INTERVAL_S:
            return
        self.logged_at = now
        counts = ",".join(f"{name}:{count}" for name, count in self.ended.items())
        log_event(
            logger,
            "connections_ended",
            level=logging.WARNING,
            port=self.server_port,
            open=self.open_connections,
            causes=counts,
        )
        self.ended.clear()

    def reject(self, sock: Any) -> None:
        """Respond with 503 to a connection above the limit."""
        self.record_ended("too_many_connections")
        _, response = head_problem(
            503, "too_many_connections", "this host has too many connections", 1.0
        )
        try:
            with gevent.Timeout(LINGER_S, TimeoutError("reject")):
                sock.sendall(response)
        except OSError:
            return

    def add_connection(self, handler: CallerHandler) -> None:
        """Add a new connection."""
        self.handlers.add(handler)

    def remove_connection(self, handler: CallerHandler) -> None:
        """Remove a closed connection."""
        self.handlers.discard(handler)
        self.record_busy(handler)

    def record_idle(self, handler: CallerHandler) -> None:
        """Record that a connection waits for a request."""
        self.record_busy(handler)
        group = self.idle if handler.request_count else self.unused_connections
        group[handler] = None

    def record_reading(self, handler: CallerHandler) -> None:
        """Record that a connection has begun a request that is not complete."""
        self.record_busy(handler)
        self.reading[handler] = None

    def record_pipelining(self, handler: CallerHandler) -> None:
        """Record that a connection waits for its turn with its next request."""
        self.record_busy(handler)
        self.pipelining[handler] = None

    def record_busy(self, handler: CallerHandler) -> None:
        """Record that a connection sent a request or ended."""
        self.unused_connections.pop(handler, None)
        self.reading.pop(handler, None)
        self.pipelining.pop(handler, None)
        self.idle.pop(handler, None)


def shut_down(handler: CallerHandler) -> None:
    """Shut down a connection that another greenlet serves."""
    try:
        handler.socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def head_problem(
    status: int, code: str, detail: str, retry_after_s: float = 0.0
) -> tuple[str, bytes]:
    """Return status and complete response for a request that was not parsed."""
    problem = ProblemDetails(
        status, code, detail, "not_run", "", "read request", retry_after_s=retry_after_s
    )
    body = problem.body()
    lines = [f"HTTP/1.1 {problem.status_line()}", "Connection: close"]
    headers = [*problem.headers(), ("Content-Length", str(len(body)))]
    lines.extend(f"{name}: {value}" for name, value in headers)
    return str(status), "\r\n".join([*lines, "", ""]).encode() + body


def create_caller_server(
    address: str,
    application: Any,
    limits: CallerLimits | None = None,
    metrics: Metrics | None = None,
) -> CallerServer:
    """Return a server at `IP:PORT`, not started yet."""
    return CallerServer(address, application, limits or CallerLimits(), metrics)
