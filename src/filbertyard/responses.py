"""Checks of engine responses: whose they are and that they are whole."""

from __future__ import annotations

import json
import logging
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

from .exceptions import UpstreamError
from .logs import log_event

logger = logging.getLogger(__name__)

EVENT_END = b"\n\n"

DATA_FIELD = b"data: "
ID_FIELD = b"id: "

# The data of the event that ends a complete stream.
DONE = b"[DONE]"

# One message between hosts carries at most this much of a body.
MAX_CHUNK_BYTES = 512 * 1024

MAX_EVENT_BYTES = 1 << 20


def error_code(body: bytes) -> str:
    """Return the code of an engine's error response, empty without one."""
    try:
        value = json.loads(body)
    except ValueError:
        return ""
    if not isinstance(value, dict):
        return ""
    error = value.get("error")
    found = error.get("code") if isinstance(error, dict) else value.get("code")
    return found if isinstance(found, str) else ""


def check_response(body: bytes, model: str, request_id: str, peer: str) -> Any:
    """Return the parsed answer; raise UpstreamError if it is not the request's."""
    try:
        value = json.loads(body)
        found, answered = value["model"], value["id"]
    except (ValueError, TypeError, KeyError) as error:
        raise UpstreamError(
            f"malformed response: {error!r}", step="relay", peer=peer, sent=True
        ) from error
    if found != model:
        raise UpstreamError(
            f"response names model {found!r}, expected {model!r}",
            step="relay",
            peer=peer,
            sent=True,
            code="wrong_adapter",
        )
    if not str(answered).endswith(request_id):
        raise UpstreamError(
            f"response names request {answered!r}, expected {request_id!r}",
            step="relay",
            peer=peer,
            sent=True,
            code="crossed_answer",
        )
    return value


def checked_events(
    parts: Iterable[bytes], model: str, request_id: str, peer: str, first: int = 0
) -> Iterator[bytes]:
    """Yield the whole events of a stream, each once, from number `first` on.

    Doubled events are dropped; a gap, an event of another request or model, and a
    missing end mark raise UpstreamError. What follows the end mark is dropped.
    """
    buffer = b""
    expected = first
    ended = False
    try:
        for part in parts:
            if ended:
                log_event(logger, "data_after_end", request=request_id, peer=peer)
                break
            buffer += part
            *events, buffer = buffer.split(EVENT_END)
            if len(buffer) > MAX_EVENT_BYTES:
                break
            passed = []
            for event in events:
                number, data = split_event(event)
                if ended or (number is not None and number < expected):
                    log_event(logger, "doubled_event", request=request_id, peer=peer)
                    continue
                if number is not None and number > expected:
                    raise UpstreamError(
                        f"event {number} follows event {expected - 1}",
                        step="relay",
                        peer=peer,
                        sent=True,
                    )
                if data == DONE:
                    ended = True
                else:
                    check_response(data, model, request_id, peer)
                expected += 1
                passed.append(DATA_FIELD + data + EVENT_END)
            if passed:
                yield b"".join(passed)
    except UpstreamError:
        if not ended:
            raise
    if not ended:
        raise UpstreamError(
            "stream ended without its end mark", step="relay", peer=peer, sent=True
        )


def split_event(event: bytes) -> tuple[int | None, bytes]:
    """Return the number and the data of one server-sent event."""
    number = None
    data = b""
    for line in event.split(b"\n"):
        if line.startswith(DATA_FIELD):
            data = line[len(DATA_FIELD) :]
        elif line.startswith(ID_FIELD) and line[len(ID_FIELD) :].isdigit():
            number = int(line[len(ID_FIELD) :])
    return number, data


def split_chunks(parts: Iterable[bytes]) -> Iterator[bytes]:
    """Yield parts that fit into one message between hosts."""
    for part in parts:
        for start in range(0, len(part), MAX_CHUNK_BYTES):
            yield part[start : start + MAX_CHUNK_BYTES]
