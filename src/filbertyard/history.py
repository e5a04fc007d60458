"""Recorded history of a run: responses to callers and executions on upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Literal

Outcome = Literal["answered", "not_run", "unknown", "cut"]


@dataclass(slots=True)
class CallRecord:
    """One request of a caller; times are in seconds on one monotonic clock.

    `logical` identifies the logical call: retries with the same `Idempotency-Key`
    share it. `model` is as the caller named it, with or without a version;
    `expected_text` is what the version that answered generates for the prompt.
    """

    request_id: str
    logical: str
    host: str
    kind: Literal["completion", "service"]
    rank: str
    idempotent: bool
    model: str = ""
    expected_text: str = ""
    sent_at: float = 0.0
    first_at: float = 0.0
    ended_at: float = 0.0
    outcome: Outcome = "cut"
    status: int = 0
    cause: str = ""
    served_by: str = ""
    text: str = ""
    replayed: bool = False


@dataclass(slots=True)
class ExecutionRecord:
    """One execution that an upstream started for a request."""

    request_id: str
    replica: str
    at: float
    model: str = ""


@dataclass(slots=True)
class LeavingRecord:
    """The first report that a replica leaves."""

    replica: str
    at: float


@dataclass(slots=True)
class AcceptedRecord:
    """A settings change that was accepted; `versions` maps TEAM/ADAPTER to version.

    `at` is the time before the change was sent: it can take effect from then on.
    """

    revision: int
    at: float
    versions: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class InForceRecord:
    """A revision that a host put in force."""

    host: str
    revision: int
    at: float


@dataclass(slots=True)
class ShutdownRecord:
    """One host's graceful shutdown; `address` is the one that callers use."""

    host: str
    address: str
    began_at: float
    ended_at: float


@dataclass(slots=True)
class StartRecord:
    """A host that was started; earlier revisions must be in force soon after."""

    host: str
    at: float


@dataclass(slots=True)
class KillRecord:
    """A host that was killed; it need not put later revisions in force."""

    host: str
    at: float


@dataclass(slots=True)
class History:
    """Everything that was recorded in one run."""

    calls: list[CallRecord] = field(default_factory=list)
    executions: list[ExecutionRecord] = field(default_factory=list)
    leaving: list[LeavingRecord] = field(default_factory=list)
    accepted: list[AcceptedRecord] = field(default_factory=list)
    in_force: list[InForceRecord] = field(default_factory=list)
    shutdowns: list[ShutdownRecord] = field(default_factory=list)
    starts: list[StartRecord] = field(default_factory=list)
    kills: list[KillRecord] = field(default_factory=list)
    evictions_in_use: int = 0
    ended_at: float = 0.0
