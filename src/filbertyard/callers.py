"""The HTTP interface for callers."""

from __future__ import annotations

import json
import logging
import re
import time
import uuid
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from http import HTTPStatus
from typing import Any
from typing import Protocol
from urllib.parse import quote

import gevent

from .callerserver import HANDLER_KEY
from .callerserver import MAX_COALESCED_BYTES
from .calls import Call
from .events import EventLog
from .exceptions import BodyTimeoutError
from .exceptions import BodyTooLargeError
from .exceptions import BufferLimitError
from .exceptions import CallerDisconnectedError
from .exceptions import RequestError
from .exceptions import UnknownNameError
from .messages import Chunk
from .messages import End
from .messages import Failed
from .messages import NotRun
from .messages import Reply
from .messages import Started
from .problems import ProblemDetails
from .readlimits import RESPONSE_BODIES
from .teamsettings import ResolvedTarget
from .teamsettings import Snapshot

# Deadline of calls that set none.
DEFAULT_DEADLINE_S = 60.0

# Bounds on the deadline that a caller may set.
MIN_DEADLINE_MS = 1
MAX_DEADLINE_MS = 600_000

MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
MAX_TOKENS = 1 << 20

# Calls in progress on one host; a tenth is reserved for the most urgent rank.
MAX_OPEN_CALLS = 2000
URGENT_RESERVE_FRACTION = 0.1

SAFE_IN_PATH = "/:@!$&'()*+,;=~-._"
SAFE_IN_QUERY = SAFE_IN_PATH + "?%"

SERVICE_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")

REQUEST_ID_PATTERN = re.compile(r"^[A-Za-z0-9._-]{1,64}$")

# The default of the OpenAI API for completions without a token limit.
DEFAULT_MAX_TOKENS = 16

# A caller rejected by a stopping host can connect to another one at once.
STOPPING_RETRY_AFTER_S = 0.05

REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}

COMPLETION_PATHS = ("/v1/completions", "/v1/chat/completions")

logger = logging.getLogger(__name__)

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class CallHost(Protocol):
    """The part of an entry host that CallerApplication uses."""

    max_age_s: float
    accepts_calls: bool

    def snapshot(self) -> Snapshot:
        """Return the settings in force."""

    def caller_addresses(self, zone: str) -> list[str]:
        """Return the addresses for new callers, those of `zone` first."""

    def peer_members(self) -> list[dict[str, Any]]:
        """Return the entry hosts that this host knows."""

    def is_ready(self) -> bool:
        """Return whether the host accepts new callers."""

    def run(self, call: Call, idempotency_key: str) -> Iterator[Reply]:
        """Run one resolved call and yield its replies."""

    def metrics_text(self) -> str:
        """Return the metrics in Prometheus format."""


class CallerApplication:
    """WSGI application for callers."""

    def __init__(self, host: CallHost, events: EventLog | None = None) -> None:
        self.host = host
        self.events = events or EventLog()
        self.max_open_calls = MAX_OPEN_CALLS
        self.open_calls = 0
        self.open_request_ids: set[str] = set()

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one HTTP request."""
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        if not REQUEST_ID_PATTERN.match(request_id):
            request_id = uuid.uuid4().hex
        extra_headers: list[tuple[str, str]] = []
        try:
            return self.route(environ, start_response, request_id)
        except CallerDisconnectedError:
            environ[HANDLER_KEY].abort()
            return []
        except BufferLimitError as error:
            environ[HANDLER_KEY].close_after_response()
            problem = ProblemDetails(
                503,
                "host_busy",
                error.message,
                "not_run",
                request_id,
                "read request",
                retry_after_s=1.0,
            )
        except (BodyTooLargeError, BodyTimeoutError) as error:
            too_large = isinstance(error, BodyTooLargeError)
            problem = ProblemDetails(
                413 if too_large else 408,
                "body_too_large" if too_large else "body_timeout",
                error.message,
                "not_run",
                request_id,
                error.step,
            )
            environ[HANDLER_KEY].close_after_response()
            extra_headers = [("Connection", "close")]
        except UnknownNameError as error:
            problem = ProblemDetails(
                404,
                f"unknown_{error.kind}",
                error.message,
                "not_run",
                request_id,
                error.step,
            )
        except RequestError as error:
            problem = ProblemDetails(
                400, "bad_request", error.message, "not_run", request_id, error.step
            )
        except Exception:
            logger.exception("event=call_failed request=%s", request_id)
            problem = ProblemDetails(
                500, "internal_error", "unexpected error", "unknown", request_id
            )
        self.events.record_step(request_id, "refused", cause=problem.code)
        return send_problem(start_response, problem, extra_headers)

    def route(
        self, environ: Environ, start_response: StartResponse, request_id: str
    ) -> Iterable[bytes]:
        """Dispatch a request by its path."""
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if path in COMPLETION_PATHS:
            if method != "POST":
                return self.reject_method(start_response, request_id, "POST")
            self.events.record_step(request_id, "received", path=path)
            call = self.completion_call(environ, request_id)
            return self.run_call(environ, start_response, call)
        if path.startswith("/services/"):
            if method not in SERVICE_METHODS:
                allowed = ", ".join(SERVICE_METHODS)
                return self.reject_method(start_response, request_id, allowed)
            self.events.record_step(request_id, "received", method=method)
            call = self.service_call(environ, request_id)
            return self.run_call(environ, start_response, call)
        if method != "GET":
            return self.reject_method(start_response, request_id, "GET")
        if path == "/v1/addresses":
            return self.addresses(environ, start_response)
        if path == "/v1/peers":
            members = json.dumps(self.host.peer_members())
            return send_text(start_response, "200 OK", members)
        if path == "/healthz":
            return send_text(start_response, "200 OK", "ok\n")
        if path == "/readyz":
            if self.host.is_ready():
                return send_text(start_response, "200 OK", "ready\n")
            return send_text(start_response, "503 Service Unavailable", "not ready\n")
        if path == "/metrics":
            return send_text(start_response, "200 OK", self.host.metrics_text())
        problem = ProblemDetails(
            404, "unknown_path", f"no resource at {path}", "not_run", request_id
        )
        return send_problem(start_response, problem)

    def reject_method(
        self, start_response: StartResponse, request_id: str, allowed: str
    ) -> Iterable[bytes]:
        """Respond with 405 and the methods that the path supports."""
        problem = ProblemDetails(
            405, "wrong_method", f"allowed: {allowed}", "not_run", request_id
        )
        return send_problem(start_response, problem, [("Allow", allowed)])

    def addresses(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Respond with the entry hosts that new callers should use."""
        query = environ.get("QUERY_STRING", "")
        match = re.search(r"(?:^|&)zone=([^&]+)", query)
        max_age_s = int(self.host.max_age_s)
        value = {
            "addresses": self.host.caller_addresses(match.group(1) if match else ""),
            "max_age_s": max_age_s,
        }
        body = json.dumps(value).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Cache-Control", f"max-age={max_age_s}"),
        ]
        start_response("200 OK", headers)
        return [body]

    def completion_call(self, environ: Environ, request_id: str) -> Call:
        """Resolve a completion; raise RequestError or UnknownNameError."""
        body = read_body(environ)
        value = parse_completion(body, chat="chat" in environ["PATH_INFO"])
        model = value["model"]
        snapshot = self.host.snapshot()
        target = snapshot.resolve_model(model, environ.get("HTTP_FILBERTYARD_RANK", ""))
        call = self.create_call(environ, target, snapshot.revision, request_id, body)
        call.stream = value.get("stream") is True
        call.max_tokens = token_limit(value)
        return call

    def service_call(self, environ: Environ, request_id: str) -> Call:
        """Resolve a call to a plain service; raise RequestError or UnknownNameError."""
        parts = environ["PATH_INFO"].split("/", 4)
        if len(parts) < 5:
            raise RequestError(
                "path", environ["PATH_INFO"], "/services/TEAM/SERVICE/..."
            )
        path = "/" + parts[4]
        if any(part in (".", "..") for part in path.split("/")) or "//" in path:
            # An upstream that normalizes such a path would serve another one than
            # the settings were checked for.
            raise RequestError("path", shorten(path), "no empty or dot segments")
        body = read_body(environ)
        snapshot = self.host.snapshot()
        target = snapshot.resolve_service(
            parts[2],
            parts[3],
            environ["REQUEST_METHOD"],
            path,
            environ.get("HTTP_FILBERTYARD_RANK", ""),
        )
        call = self.create_call(environ, target, snapshot.revision, request_id, body)
        query = environ.get("QUERY_STRING", "")
        call.path = quote(path.encode("latin-1"), safe=SAFE_IN_PATH)
        if query:
            call.path += "?" + quote(query.encode("latin-1"), safe=SAFE_IN_QUERY)
        return call

    def create_call(
        self,
        environ: Environ,
        target: ResolvedTarget,
        revision: int,
        request_id: str,
        body: bytes,
    ) -> Call:
        """Return the resolved call of a request."""
        return Call(
            request_id=request_id,
            kind="completion" if target.adapter is not None else "service",
            team=target.team,
            upstream=target.upstream,
            rank=target.rank,
            idempotent=target.idempotent,
            revision=revision,
            deadline=time.monotonic() + deadline_s(environ),
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            body=body,
            adapter=target.adapter,
            headers=[
                ("Content-Type", environ.get("CONTENT_TYPE") or "application/json")
            ],
            traceparent=environ.get("HTTP_TRACEPARENT", ""),
        )

    def run_call(
        self, environ: Environ, start_response: StartResponse, call: Call
    ) -> Iterable[bytes]:
        """Run a call and send its response."""
        problem = self.find_rejection(call)
        if problem is not None:
            close = [] if self.host.accepts_calls else [("Connection", "close")]
            return send_problem(start_response, problem, close)
        replies = self.host.run(call, idempotency_key(environ))
        self.open_calls += 1
        self.open_request_ids.add(call.request_id)
        handler = environ[HANDLER_KEY]
        streaming = False
        try:
            with handler.watch_disconnect():
                first = next(replies)
                if not isinstance(first, Started):
                    return self.send_failure(start_response, first, call)
                headers = response_headers(first, call)
                if not first.is_framed:
                    handler.omit_framing()
                phrase = REASON_PHRASES.get(first.status, "Unknown")
                status = f"{first.status} {phrase}"
                if not call.stream or first.status != HTTPStatus.OK:
                    parts = self.send_buffered(
                        replies, start_response, status, headers, call, first.is_framed
                    )
                    handler.held_bytes = sum(map(len, parts))
                    return parts
            start_response(status, headers)
            streaming = True
            return self.stream(replies, call, handler)
        finally:
            if not streaming:
                self.finish(replies, call)

    def find_rejection(self, call: Call) -> ProblemDetails | None:
        """Return the problem if this host cannot start a call now, else None."""
        if not self.host.accepts_calls:
            return ProblemDetails(
                503,
                "host_stopping",
                "this host stops; ask for addresses again",
                "not_run",
                call.request_id,
                "admit call",
                retry_after_s=STOPPING_RETRY_AFTER_S,
            )
        limit = self.max_open_calls
        if call.rank.urgency > 1:
            limit -= int(limit * URGENT_RESERVE_FRACTION)
        if self.open_calls >= limit:
            return ProblemDetails(
                503,
                "host_busy",
                f"this host has {self.open_calls} calls in progress",
                "not_run",
                call.request_id,
                "admit call",
                retry_after_s=1.0,
            )
        if call.request_id in self.open_request_ids:
            # Engines cancel and resume by request id: running calls must not share one.
            return ProblemDetails(
                409,
                "duplicate_request_id",
                "another call with this X-Request-Id is in progress",
                "not_run",
                call.request_id,
                "admit call",
            )
        return None

    def send_failure(
        self, start_response: StartResponse, reply: Reply, call: Call
    ) -> list[bytes]:
        """Send the problem details of a call that did not succeed."""
        return send_problem(start_response, problem_of(reply, call.request_id))

    def send_buffered(
        self,
        replies: Iterator[Reply],
        start_response: StartResponse,
        status: str,
        headers: list[tuple[str, str]],
        call: Call,
        is_framed: bool,
    ) -> list[bytes]:
        """Send a response once it is complete."""
        # Joining the parts would double the memory of a large body.
        parts: list[bytes] = []
        size = 0
        ended = False

        def give_up() -> bool:
            parts.clear()
            return True

        with RESPONSE_BODIES.reserve(give_up) as reservation:
            for reply in replies:
                if isinstance(reply, Chunk):
                    parts.append(reply.data)
                    size += len(reply.data)
                    try:
                        reservation.resize(size)
                    except BufferLimitError:
                        problem = response_too_large(call.request_id)
                        return send_problem(start_response, problem)
                elif isinstance(reply, End):
                    ended = True
                else:
                    return self.send_failure(start_response, reply, call)
            if reservation.is_given_up:
                problem = response_too_large(call.request_id)
                return send_problem(start_response, problem)
        if not ended:
            return send_problem(start_response, incomplete_response(call.request_id))
        if is_framed:
            headers.append(("Content-Length", str(size)))
        start_response(status, headers)
        return [b"".join(parts)] if size < MAX_COALESCED_BYTES else parts

    def stream(
        self, replies: Iterator[Reply], call: Call, handler: Any
    ) -> Iterator[bytes]:
        """Yield the chunks, or an error event if the stream fails."""
        ended = False
        try:
            with handler.watch_disconnect():
                for reply in replies:
                    if isinstance(reply, Chunk):
                        yield reply.data
                        continue
                    ended = True
                    if not isinstance(reply, End):
                        yield error_event(problem_of(reply, call.request_id))
                if not ended:
                    yield error_event(incomplete_response(call.request_id))
        except CallerDisconnectedError:
            # A caller that closed only its sending side still reads the response.
            handler.abort()
        finally:
            self.finish(replies, call)

    def finish(self, replies: Iterator[Reply], call: Call) -> None:
        """Release a call; cancel it if it is still running."""
        self.open_calls -= 1
        self.open_request_ids.discard(call.request_id)
        replies.close()  # type: ignore[attr-defined]


def parse_completion(body: bytes, *, chat: bool) -> dict[str, Any]:
    """Parse the body of a completion; raise RequestError naming the field."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise RequestError("body", "invalid JSON", "a JSON object") from error
    if not isinstance(value, dict):
        raise RequestError("body", type(value).__name__, "a JSON object")
    if not isinstance(value.get("model"), str):
        raise RequestError("model", shorten(value.get("model")), "TEAM/ADAPTER")
    if not isinstance(value.get("stream", False), bool | None):
        raise RequestError("stream", shorten(value["stream"]), "true or false")
    if chat:
        messages = value.get("messages")
        valid = isinstance(messages, list) and all(
            isinstance(message, dict) for message in messages
        )
        if not valid or not messages:
            raise RequestError("messages", shorten(messages), "a list of messages")
    elif not isinstance(value.get("prompt"), str | list):
        raise RequestError("prompt", shorten(value.get("prompt")), "a string or a list")
    return value


def shorten(value: Any) -> str:
    """Return a short form of a value for an error message."""
    return repr(value)[:80]


def token_limit(value: dict[str, Any]) -> int:
    """Return the maximum number of tokens to generate; raise RequestError."""
    for name in ("max_completion_tokens", "max_tokens"):
        tokens = value.get(name)
        if tokens is None:
            continue
        if type(tokens) is not int or not 1 <= tokens <= MAX_TOKENS:
            raise RequestError(
                name, shorten(tokens), f"a number from 1 to {MAX_TOKENS}"
            )
        return tokens
    return DEFAULT_MAX_TOKENS


def deadline_s(environ: Environ) -> float:
    """Return the time limit of a call in seconds; raise RequestError."""
    text = environ.get("HTTP_FILBERTYARD_DEADLINE_MS", "")
    if not text:
        return DEFAULT_DEADLINE_S
    valid = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_DEADLINE_MS))
    if not valid or not MIN_DEADLINE_MS <= int(text) <= MAX_DEADLINE_MS:
        raise RequestError(
            "Filbertyard-Deadline-Ms",
            shorten(text),
            f"milliseconds from {MIN_DEADLINE_MS} to {MAX_DEADLINE_MS}",
        )
    return int(text) / 1000


def idempotency_key(environ: Environ) -> str:
    """Return the idempotency key, empty without one; raise RequestError."""
    key = str(environ.get("HTTP_IDEMPOTENCY_KEY", ""))
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS:
        raise RequestError(
            "Idempotency-Key",
            f"{len(key)} characters",
            f"at most {MAX_IDEMPOTENCY_KEY_CHARACTERS}",
        )
    return key


def response_headers(first: Started, call: Call) -> list[tuple[str, str]]:
    """Return the headers of a response that started."""
    headers = [(name, value) for name, value in first.headers]
    headers.append(("X-Request-Id", call.request_id))
    if first.served_by:
        headers.append(("Filbertyard-Adapter", first.served_by))
    if not first.is_framed:
        headers.append(("Connection", "close"))
    return headers


def response_too_large(request_id: str) -> ProblemDetails:
    """Return the problem details of a response that this host has no memory for."""
    return ProblemDetails(
        502,
        "body_too_large",
        "the response is too large",
        "unknown",
        request_id,
        "relay",
    )


def incomplete_response(request_id: str) -> ProblemDetails:
    """Return the problem details of replies that stopped without End or Failed."""
    return ProblemDetails(
        502, "broken_off", "the response ended early", "unknown", request_id, "relay"
    )


def error_event(problem: ProblemDetails) -> bytes:
    """Return the event that ends a stream that failed after it started."""
    return b"event: error\ndata: " + problem.body() + b"\n\n"


def problem_of(reply: Reply, request_id: str) -> ProblemDetails:
    """Return the problem details for a call that did not succeed."""
    if isinstance(reply, NotRun):
        return ProblemDetails(
            reply.status,
            reply.cause,
            reply.detail or f"not run: {reply.cause}",
            "not_run",
            request_id,
            reply.step,
            reply.peer,
            reply.retry_after_s,
        )
    if isinstance(reply, Failed):
        return ProblemDetails(
            reply.status,
            reply.cause,
            reply.detail,
            "unknown",
            request_id,
            reply.step,
            reply.peer,
        )
    return ProblemDetails(
        500, "unexpected_reply", type(reply).__name__, "unknown", request_id
    )


def read_body(environ: Environ) -> bytes:
    """Return the request body; raise BodyTooLargeError or BodyTimeoutError."""
    handler = environ[HANDLER_KEY]
    limits = handler.limits
    length = environ.get("CONTENT_LENGTH") or "0"
    if length == "0" and "HTTP_TRANSFER_ENCODING" not in environ:
        return b""
    expected = f"at most {limits.max_body_bytes} bytes"
    if length.isdigit() and int(length) > limits.max_body_bytes:
        raise BodyTooLargeError("Content-Length", length, expected)
    timeout_error = BodyTimeoutError(
        "body", "an incomplete body", f"a body within {limits.body_timeout_s:g} s"
    )
    try:
        with gevent.Timeout(limits.body_timeout_s, timeout_error):
            body: bytes = handler.read_body(limits.max_body_bytes)
    except OSError as error:
        raise BodyTimeoutError(
            "body", "an incomplete body", "a complete body"
        ) from error
    if len(body) > limits.max_body_bytes:
        raise BodyTooLargeError(
            "body", f"more than {limits.max_body_bytes} bytes", expected
        )
    return body


def send_text(start_response: StartResponse, status: str, text: str) -> list[bytes]:
    """Send a plain text response."""
    body = text.encode()
    start_response(
        status,
        [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))],
    )
    return [body]


def send_problem(
    start_response: StartResponse,
    problem: ProblemDetails,
    extra_headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Send problem details."""
    body = problem.body()
    headers = [*problem.headers(), ("Content-Length", str(len(body))), *extra_headers]
    start_response(problem.status_line(), headers)
    return [body]
