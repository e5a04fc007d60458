"""Messages between entry hosts and the codecs that carry them."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Protocol
from typing import TypeVar

import msgpack

from .exceptions import FrameError

PROTOCOL_VERSION = 1

# A frame larger than this is rejected before it is read.
MAX_FRAME_BYTES = 1 << 20


class Message:
    """Base class of the messages; subclasses are data classes with plain fields."""

    __slots__ = ()


M = TypeVar("M", bound=type[Message])

MESSAGE_TYPES: dict[str, type[Message]] = {}
MESSAGE_NAMES: dict[type[Message], str] = {}
_FIELD_COUNTS: dict[type[Message], int] = {}
_FIELD_NAMES: dict[type[Message], tuple[str, ...]] = {}


def message(name: str) -> Callable[[M], M]:
    """Register a data class as the message type `name`."""

    def register(cls: M) -> M:
        if name in MESSAGE_TYPES:
            raise ValueError(f"message name {name!r} is registered twice")
        fields = tuple(f.name for f in dataclasses.fields(cls))  # type: ignore[arg-type]
        MESSAGE_TYPES[name] = cls
        MESSAGE_NAMES[cls] = name
        _FIELD_NAMES[cls] = fields
        _FIELD_COUNTS[cls] = len(fields)
        return cls

    return register


@message("forward")
@dataclass(slots=True)
class Forward(Message):
    """Ask the owner of a replica to run one resolved call.

    `origin` is the entry host that numbers the attempts. With `resume_after` from 0
    on, the upstream's running stream is continued after that many events.
    """

    request_id: str
    attempt: int
    replica: str
    kind: str
    team: str
    upstream: str
    adapter: str
    rank: str
    urgency: int
    share: float
    target_s: float
    patience_s: float
    worth: float
    idempotent: bool
    revision: int
    remaining_s: float
    method: str
    path: str
    headers: list[list[str]]
    body: bytes
    stream: bool
    traceparent: str = ""
    max_tokens: int = 0
    origin: str = ""
    resume_after: int = -1


@message("accepted")
@dataclass(slots=True)
class Accepted(Message):
    """Tell that the call is queued; it has not been sent to the upstream yet."""

    request_id: str
    attempt: int
    wait_s: float = 0.0


@message("started")
@dataclass(slots=True)
class Started(Message):
    """Carry the upstream's status and headers; the upstream is running the call.

    Without a length and chunks (`is_framed`) only the end of its connection ended it.
    """

    request_id: str
    attempt: int
    status: int
    headers: list[list[str]]
    served_by: str = ""
    replica: str = ""
    is_framed: bool = True


@message("chunk")
@dataclass(slots=True)
class Chunk(Message):
    """Carry one part of the response body, numbered from 0."""

    request_id: str
    attempt: int
    number: int
    data: bytes


@message("end")
@dataclass(slots=True)
class End(Message):
    """Mark the complete end of a response after `chunks` chunks."""

    request_id: str
    attempt: int
    chunks: int
    waits: dict[str, float] = field(default_factory=dict)


@message("not_run")
@dataclass(slots=True)
class NotRun(Message):
    """Tell that no part of the call reached an upstream, and why."""

    request_id: str
    attempt: int
    cause: str
    detail: str = ""
    retry_after_s: float = 0.0
    step: str = ""
    peer: str = ""
    hint: str = ""
    status: int = 503


@message("failed")
@dataclass(slots=True)
class Failed(Message):
    """Tell that an attempt failed after it may have reached the upstream."""

    request_id: str
    attempt: int
    sent: bool
    cause: str
    detail: str = ""
    step: str = ""
    peer: str = ""
    status: int = 502


@message("problem")
@dataclass(slots=True)
class Problem(Message):
    """Answer a request between hosts that could not be handled."""

    detail: str
    step: str = ""


Reply = Accepted | Started | Chunk | End | NotRun | Failed


class Codec(Protocol):
    """Turn a frame's content into bytes and back."""

    def encode(self, kind: int, call_id: int, body: Message | None) -> bytes:
        """Return the body of one frame."""

    def decode(self, data: bytes) -> tuple[int, int, Message | None]:
        """Return kind, call id and message; raise FrameError on bad data."""


CODECS: dict[str, Callable[[], Codec]] = {}


def codec(name: str) -> Callable[[Callable[[], Codec]], Callable[[], Codec]]:
    """Register a codec factory under `name`."""

    def register(factory: Callable[[], Codec]) -> Callable[[], Codec]:
        CODECS[name] = factory
        return factory

    return register


@codec("msgpack")
class MsgpackCodec:
    """Encode messages as positional msgpack arrays.

    A newer peer appends fields; an older one ignores those that it does not know.
    """

    def encode(self, kind: int, call_id: int, body: Message | None) -> bytes:
        """Return `[kind, call_id, type, field, ...]` as msgpack."""
        parts: list[Any] = [kind, call_id]
        if body is not None:
            cls = type(body)
            parts.append(MESSAGE_NAMES[cls])
            parts.extend([getattr(body, name) for name in _FIELD_NAMES[cls]])
        return bytes(msgpack.packb(parts, use_bin_type=True))

    def decode(self, data: bytes) -> tuple[int, int, Message | None]:
        """Return kind, call id and message; raise FrameError on bad data."""
        try:
            parts = msgpack.unpackb(data, raw=False, strict_map_key=False)
            kind, call_id, *rest = parts
            if not rest:
                return int(kind), int(call_id), None
            name, *values = rest
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise FrameError(f"malformed frame: {error}", step="decode") from error
        cls = MESSAGE_TYPES.get(name) if isinstance(name, str) else None
        if cls is None:
            problem = Problem(f"unknown message type {name!r}", step="decode")
            return int(kind), int(call_id), problem
        try:
            return int(kind), int(call_id), cls(*values[: _FIELD_COUNTS[cls]])
        except (TypeError, ValueError) as error:
            raise FrameError(f"malformed {name!r}: {error}", step="decode") from error
