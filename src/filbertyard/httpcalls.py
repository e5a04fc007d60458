"""HTTP client that never resends a request and reports where it failed."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from contextlib import contextmanager
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any
from weakref import WeakKeyDictionary

import gevent
import gevent.socket
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
from geventhttpclient.response import HTTPSocketPoolResponse

from .exceptions import BufferLimitError
from .exceptions import CallerDisconnectedError
from .exceptions import UpstreamError
from .readlimits import RESPONSE_BODIES
from .readlimits import ReadTurn
from .sockets import configure_socket

CONNECT_TIMEOUT_S = 1.0

# Code of the error for a request that `may_send` held back.
WITHDRAWN = "withdrawn"

READ_BLOCK_BYTES = 65536

# A connection that was idle for longer is not reused: servers may drop idle
# connections without notice, and a request sent on one has an unknown outcome.
MAX_IDLE_S = 60.0

# A larger body is not sent in one write with its head.
MAX_COALESCED_BYTES = 64 * 1024

# Statuses of interim and of final responses. Other bytes are no response.
MIN_INTERIM_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_FINAL_STATUS = 599

# The connection speaks another protocol afterwards, for which no request of this client
# asks.
SWITCHING_PROTOCOLS = 101

# Interim responses before a final one.
MAX_INTERIM_RESPONSES = 16

# Responses with these statuses end with their head.
BODILESS_STATUSES = (204, 304)

# Heads, chunk sizes and trailers of a response may add up to this many bytes, and for
# each byte of its body to this many more. The parser itself sets no limit.
MAX_FRAMING_BYTES = 64 * 1024
MAX_FRAMING_PER_BODY_BYTE = 16

# Largest body that is kept in memory as a whole.
MAX_BODY_BYTES = 16 * 1024 * 1024

# Limits for the rest of a response that nobody needs: within them it is read, so that
# its connection can carry another request.
MAX_DRAIN_BYTES = 64 * 1024
MAX_DRAIN_S = 0.25


class SingleResponse(HTTPSocketPoolResponse):
    """A response that ignores whatever follows it on its connection.

    The library's parser would treat a second response in the same segment as a
    continuation and append its body.
    """

    final_status = 0
    received_bytes = 0
    body_bytes = 0
    interim_responses = 0

    @property
    def status_code(self) -> int:
        """Return the status of this response, also after bytes that follow it."""
        return self.final_status or int(self.get_code())

    def _on_headers_complete(self) -> int | bool | None:
        code = int(self.get_code())
        is_in_range = MIN_INTERIM_STATUS <= code <= MAX_FINAL_STATUS
        if not is_in_range or code == SWITCHING_PROTOCOLS:
            raise HTTPParseError(f"status {code:03} is not a response to a request")
        if code >= MIN_FINAL_STATUS:
            self.final_status = code
        else:
            self.interim_responses += 1
            if self.interim_responses > MAX_INTERIM_RESPONSES:
                raise HTTPParseError("too many interim responses")
        return super()._on_headers_complete()

    def _on_body(self, buf: bytearray) -> None:
        self.body_bytes += len(buf)
        super()._on_body(buf)

    def _on_message_begin(self) -> None:
        if self.message_complete and self.final_status:
            raise HTTPParseError("bytes follow the response")
        super()._on_message_begin()

    def feed(self, data: Any) -> None:
        """Parse received bytes; drop those that follow the complete response."""
        self.received_bytes += len(data)
        was_complete = self.message_complete
        try:
            super().feed(data)
        except HTTPParseError:
            if not (self.final_status and (was_complete or self.message_complete)):
                raise
            self.headers_complete = self.message_complete = True
            self._trailing_data_dropped = True
        max_framing_bytes = (
            MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * self.body_bytes
        )
        if (
            self.received_bytes - self.body_bytes > max_framing_bytes
            and not self.message_complete
        ):
            raise HTTPParseError("response head or framing is too large")


@dataclass(slots=True)
class HttpResponse:
    """A response whose body is read from `parts`.

    `deadline` on the monotonic clock bounds the reading of the whole body. `sock` is
    its connection, which is in the pool again once the body is complete;
    `is_first` tells that it carried no response before. Each byte of the body that
    arrives moves the deadline by `seconds_per_byte`.
    """

    status: int
    headers: list[tuple[str, str]]
    raw: Any = field(repr=False)
    peer: str = ""
    deadline: float | None = None
    sock: Any = field(default=None, repr=False)
    is_first: bool = True
    seconds_per_byte: float = 0.0

    def header(self, name: str, default: str = "") -> str:
        """Return the first header `name`."""
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return default

    @property
    def is_framed(self) -> bool:
        """Tell if the body has a length or chunks; else it ends with the connection."""
        if self.status in BODILESS_STATUSES or self.raw.method == "HEAD":
            return True
        encoding = self.header("Transfer-Encoding").lower()
        if encoding:
            return encoding.rpartition(",")[2].strip() == "chunked"
        return bool(self.header("Content-Length"))

    def read(self) -> bytes:
        """Return the whole body; raise UpstreamError if it is cut short or endless."""
        with self.whole_body() as body:
            return bytes(body)

    @contextmanager
    def whole_body(self) -> Iterator[bytearray]:
        """Receive the whole body, whose memory is counted until the context ends.

        Raise UpstreamError if it is cut short or too large.
        """
        body = bytearray()

        def give_up() -> bool:
            body.clear()
            self.interrupt()
            return True

        with RESPONSE_BODIES.reserve(give_up) as reservation:
            try:
                for part in self.parts():
                    body += part
                    if len(body) > MAX_BODY_BYTES:
                        raise BufferLimitError(
                            f"body exceeds {MAX_BODY_BYTES} bytes", step="", peer=""
                        )
                    reservation.resize(len(body))
                # It may have been given up since its last part, and is empty then.
                reservation.resize(len(body))
            except BufferLimitError as error:
                self.close()
                raise UpstreamError(
                    error.message,
                    step="read response",
                    peer=self.peer,
                    sent=True,
                    code="body_too_large",
                ) from error
            reservation.keep()
            yield body

    def interrupt(self) -> None:
        """Have the greenlet that reads the body find its connection at an end."""
        sock = self.raw._sock
        if sock is not None:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def parts(self) -> Iterator[bytes]:
        """Yield the body as it arrives; raise UpstreamError if it is cut short."""
        raw = self.raw
        turn = ReadTurn()
        while True:
            try:
                data = raw._body_buffer
                if data:
                    part = bytes(data)
                    data.clear()
                    yield part
                    continue
                if raw.message_complete:
                    return
                sock = raw._sock
                if sock is None:
                    raise UpstreamError(
                        "connection closed before the end of the response",
                        step="read response",
                        peer=self.peer,
                        sent=True,
                    )
                turn.check(self.deadline)
                if self.deadline is not None:
                    remaining_s = self.deadline - time.monotonic()
                    if remaining_s <= 0:
                        raise TimeoutError("the deadline passed")
                    sock.settimeout(remaining_s)
                received = sock.recv(READ_BLOCK_BYTES)
                known_bytes = raw.body_bytes
                raw.feed(received)
                if self.deadline is not None:
                    new_bytes = raw.body_bytes - known_bytes
                    self.deadline += new_bytes * self.seconds_per_byte
                if not received and not raw.message_complete:
                    raise UpstreamError(
                        "connection closed before the end of the response",
                        step="read response",
                        peer=self.peer,
                        sent=True,
                    )
            except CallerDisconnectedError:
                # Raised in this greenlet by CallerHandler.watch_disconnect().
                self.close()
                raise
            except (OSError, HTTPParseError) as error:
                self.close()
                raise UpstreamError(
                    f"reading the response failed: {error}",
                    step="read response",
                    peer=self.peer,
                    sent=True,
                    code=timeout_code(error),
                ) from error

    def drain(self, on_failure: Callable[[UpstreamError], None]) -> None:
        """Drop the body, in a greenlet of its own where it has not arrived yet.

        `on_failure` is called if it exceeds the limits on its time or size.
        """
        if self.raw.message_complete:
            return
        # The copy has the connection: closing this response leaves it alone.
        rest = replace(self, deadline=time.monotonic() + MAX_DRAIN_S)
        self.raw = None
        gevent.spawn(rest.read_and_drop, on_failure)

    def read_and_drop(self, on_failure: Callable[[UpstreamError], None]) -> None:
        """Read the body up to MAX_DRAIN_BYTES and drop it; close what is longer."""
        size = 0
        try:
            for part in self.parts():
                size += len(part)
                if size > MAX_DRAIN_BYTES:
                    raise UpstreamError(
                        f"body that nobody needs exceeds {MAX_DRAIN_BYTES} bytes",
                        step="drain response",
                        peer=self.peer,
                        sent=True,
                    )
        except UpstreamError as error:
            on_failure(error)
        finally:
            self.close()

    def close(self) -> None:
        """Close the connection if the response was not read to its end."""
        raw = self.raw
        if raw is None or raw.message_complete:
            return
        # `raw.release()` can return the connection to the pool with the rest of
        # this response unread, where the next request would read it as its own.
        sock, pool = raw._sock, raw._pool
        raw._sock = raw._pool = None
        if sock is not None and pool is not None:
            pool.release_socket(sock)

    def discard(self) -> None:
        """Close the connection, also if the response was read to its end."""
        self.close()
        if self.sock is not None:
            # A kept connection that is closed is not reused.
            self.sock.close()


class HttpPeer:
    """Connections to one HTTP server at `IP:PORT`."""

    def __init__(
        self,
        address: str,
        *,
        timeout_s: float = 30.0,
        concurrency: int = 64,
        step: str = "call upstream",
        max_idle_s: float = MAX_IDLE_S,
    ) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self.step = step
        self.host = host
        self.port = int(port)
        self.timeout_s = timeout_s
        self.max_idle_s = max_idle_s
        # Connections that carried a response, and when the last one ended.
        self.idle_since: WeakKeyDictionary[Any, float] = WeakKeyDictionary()
        self.client = self.create_client(concurrency)

    def create_client(self, concurrency: int) -> HTTPClient:
        """Return a client that never resends a request by itself."""
        client = HTTPClient(
            self.host,
            self.port,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=self.timeout_s,
            concurrency=concurrency,
            block_size=READ_BLOCK_BYTES,
        )
        # The client resends some requests `pool.size + 1` times when a reused
        # connection breaks; -1 leaves the decision about retries to the caller.
        pool = client._connection_pool
        pool.size = -1
        address = (self.host, self.port)
        resolved = [
            (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", address)
        ]
        setattr(pool, "_resolve", lambda: resolved)  # noqa: B010
        setattr(pool, "after_connect", configure_socket)  # noqa: B010
        setattr(pool, "_is_socket_alive", self.is_reusable)  # noqa: B010
        setattr(pool, "return_socket", self.recording_return(pool.return_socket))  # noqa: B010
        return client

    def recording_return(
        self, return_socket: Callable[[Any], None]
    ) -> Callable[[Any], None]:
        """Wrap `return_socket` to record when a connection becomes idle."""

        def record(sock: Any) -> None:
            self.idle_since[sock] = time.monotonic()
            return_socket(sock)

        return record

    def is_reusable(self, sock: Any) -> bool:
        """Return whether a kept connection may be used for another request."""
        since = self.idle_since.get(sock, 0.0)
        return time.monotonic() - since <= self.max_idle_s and is_idle(sock)

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        *,
        new_connection: bool = False,
        timeout_s: float | None = None,
        may_send: Callable[[], bool] = lambda: True,
    ) -> HttpResponse:
        """Send one request; raise UpstreamError with `sent` set by what was written.

        `new_connection` avoids reuse: a kept connection can break after the request
        was written without telling whether the server received it. `may_send` is asked
        once more after connecting, which can take up to `CONNECT_TIMEOUT_S`.
        """
        sent_headers = dict(headers or {})
        host = sent_headers.pop("Host", self.address)
        try:
            head = encode_head(method, path, host, sent_headers, body)
        except ValueError as error:
            raise UpstreamError(
                f"request cannot be encoded: {error}",
                step=self.step,
                peer=self.address,
                sent=False,
            ) from error
        client = self.create_client(1) if new_connection else self.client
        pool = client._connection_pool
        try:
            sock = pool.get_socket()
        except CallerDisconnectedError:
            raise
        except (OSError, RuntimeError) as error:
            raise UpstreamError(
                f"cannot connect: {error}",
                step=self.step,
                peer=self.address,
                sent=False,
            ) from error
        if not may_send():
            pool.return_socket(sock)
            raise UpstreamError(
                "request withdrawn while connecting",
                step=self.step,
                peer=self.address,
                sent=False,
                code=WITHDRAWN,
            )
        is_first = sock not in self.idle_since
        limit_s = timeout_s if timeout_s is not None else self.timeout_s
        sock.settimeout(limit_s)
        try:
            # The timeout of the socket restarts with each part of the head.
            with gevent.Timeout(limit_s, TimeoutError("no response in time")):
                try:
                    if len(body) > MAX_COALESCED_BYTES:
                        # Adding the head would copy the body.
                        sock.sendall(head)
                        sock.sendall(body)
                    else:
                        sock.sendall(head + body)
                except BaseException:
                    pool.release_socket(sock)
                    raise
                raw = SingleResponse(
                    sock, pool, block_size=READ_BLOCK_BYTES, method=method
                )
        except CallerDisconnectedError:
            raise
        except (OSError, HTTPParseError) as error:
            raise UpstreamError(
                f"request failed: {type(error).__name__}: {error}",
                step=self.step,
                peer=self.address,
                sent=True,
                code=timeout_code(error),
            ) from error
        response_headers = [(str(key), str(value)) for key, value in raw.headers]
        return HttpResponse(
            raw.status_code,
            response_headers,
            raw,
            self.address,
            sock=sock,
            is_first=is_first,
        )

    def json(
        self,
        method: str,
        path: str,
        value: Any = None,
        headers: Mapping[str, str] | None = None,
        *,
        timeout_s: float | None = None,
    ) -> tuple[int, Any]:
        """Send one JSON request and return status and parsed body."""
        body = b"" if value is None else json.dumps(value).encode()
        sent_headers = {"Content-Type": "application/json", **(headers or {})}
        response, data = self.exchange(
            method, path, body, sent_headers, timeout_s=timeout_s
        )
        return response.status, self.parse_json(response, data)

    def exchange(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        *,
        timeout_s: float | None = None,
        min_bytes_per_s: float | None = None,
    ) -> tuple[HttpResponse, bytes]:
        """Send one request and return the response and its whole body.

        With `min_bytes_per_s`, a body that arrives at this rate at least may take
        longer than the timeout.
        """
        limit = timeout_s if timeout_s is not None else self.timeout_s
        started = time.monotonic()
        timeout = gevent.Timeout(
            limit,
            UpstreamError(
                f"no response within {limit:g} s",
                step=self.step,
                peer=self.address,
                sent=True,
            ),
        )
        with timeout:
            response = self.request(method, path, body, headers, timeout_s=limit)
            if min_bytes_per_s is None:
                return response, read_or_close(response)
        response.deadline = started + limit
        response.seconds_per_byte = 1 / min_bytes_per_s
        return response, read_or_close(response)

    def parse_json(
        self, response: HttpResponse, data: bytes, *, is_secret: bool = False
    ) -> Any:
        """Return the parsed body; raise UpstreamError if it is not JSON.

        The error shows nothing of a secret body.
        """
        try:
            return json.loads(data) if data else None
        except (ValueError, RecursionError) as error:
            shown = f"{len(data)} bytes" if is_secret else repr(data[:80])
            raise UpstreamError(
                f"response is not JSON: {shown}",
                step=self.step,
                peer=self.address,
                sent=True,
                status=response.status,
            ) from error

    def close(self) -> None:
        """Close idle connections."""
        self.client.close()


def read_or_close(response: HttpResponse) -> bytes:
    """Return the whole body of a response; close its connection on failure."""
    try:
        return response.read()
    except BaseException:
        response.close()
        raise


def encode_head(
    method: str, path: str, host: str, headers: Mapping[str, str], body: bytes
) -> bytes:
    """Encode a request's head; raise ValueError if a part would alter its structure."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines.extend(f"{name}: {value}" for name, value in headers.items())
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(lines)
    expected_breaks = len(lines) - 1
    if (
        head.count("\n") != expected_breaks
        or head.count("\r") != expected_breaks
        or " " in path
    ):
        raise ValueError("line break or space in the path or a header")
    return head.encode("latin-1") + b"\r\n\r\n"


def is_idle(sock: Any) -> bool:
    """Return whether a kept connection is open and has nothing left to read."""
    try:
        sock._sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def timeout_code(error: BaseException) -> str:
    """Return the code of a timeout, or an empty string for other errors."""
    return "deadline" if isinstance(error, TimeoutError) else ""


def create_http_peer(address: str, **options: Any) -> HttpPeer:
    """Return connections to `IP:PORT` or `http://IP:PORT`."""
    return HttpPeer(address.removeprefix("http://").rstrip("/"), **options)
