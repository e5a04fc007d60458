"""Checks that engine responses belong to their request and are complete."""

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

# Maximum part of a body in one message between hosts.
MAX_CHUNK_BYTES = 512 * 1024

MAX_EVENT_BYTES = 1 << 20


def error_code(body: bytes) -> str:
    """Return the code of an engine's error response, or an empty string."""
    try:
        value = json.loads(body)
    except ValueError:
        return ""
    if not isinstance(value, dict):
        return ""
    error = value.get("error")
    code = error.get("code") if isinstance(error, dict) else value.get("code")
    return code if isinstance(code, str) else ""


def check_response(body: bytes, model: str, request_id: str, peer: str) -> Any:
    """Return the parsed response; raise UpstreamError if model or id do not match."""
    try:
        value = json.loads(body)
        found_model, found_id = value["model"], value["id"]
    except (ValueError, TypeError, KeyError) as error:
        raise UpstreamError(
            f"malformed response: {error!r}", step="relay", peer=peer, sent=True
        ) from error
    if found_model != model:
        raise UpstreamError(
            f"response names model {found_model!r}, expected {model!r}",
            step="relay",
            peer=peer,
            sent=True,
            code="wrong_adapter",
        )
    if not str(found_id).endswith(request_id):
        raise UpstreamError(
            f"response names request {found_id!r}, expected {request_id!r}",
            step="relay",
            peer=peer,
            sent=True,
            code="crossed_answer",
        )
    return value


def checked_events(
    parts: Iterable[bytes], model: str, request_id: str, peer: str, first: int = 0
) -> Iterator[bytes]:
    """Yield the complete events of a stream, each once, from number `first` on.

    Duplicate events are dropped; a gap, an event of another request or model, and a
    missing [DONE] raise UpstreamError. Data after [DONE] is dropped.
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
            checked = []
            for event in events:
                number, data = split_event(event)
                if ended or (number is not None and number < expected):
                    log_event(logger, "duplicate_event", request=request_id, peer=peer)
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
                checked.append(DATA_FIELD + data + EVENT_END)
            if checked:
                yield b"".join(checked)
    except UpstreamError:
        if not ended:
            raise
    if not ended:
        raise UpstreamError(
            "stream ended without [DONE]", step="relay", peer=peer, sent=True
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
