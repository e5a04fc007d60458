"""Calls of callers, resolved against one settings snapshot."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Literal

from .exceptions import RequestError

CallKind = Literal["completion", "service"]


@dataclass(frozen=True, slots=True, order=True)
class AdapterVersion:
    """The identifier of one version of a team's adapter."""

    team: str
    adapter: str
    version: str

    def __str__(self) -> str:
        return f"{self.team}/{self.adapter}@{self.version}"


def parse_adapter_version(text: str) -> AdapterVersion:
    """Parse `TEAM/ADAPTER@VERSION`; raise RequestError on anything else."""
    name, at, version = text.rpartition("@")
    team, slash, adapter = name.partition("/")
    if not (at and slash and team and adapter and version):
        raise RequestError("model", repr(text), "TEAM/ADAPTER@VERSION")
    return AdapterVersion(team, adapter, version)


@dataclass(frozen=True, slots=True)
class Rank:
    """One priority rank; `urgency` 1 is served first, times are in seconds."""

    name: str
    urgency: int
    share: float
    target_s: float
    patience_s: float
    worth: float


@dataclass(slots=True)
class Call:
    """One resolved call; `deadline` is on this host's monotonic clock in seconds."""

    request_id: str
    kind: CallKind
    team: str
    upstream: str
    rank: Rank
    idempotent: bool
    revision: int
    deadline: float
    method: str
    path: str
    body: bytes
    stream: bool = False
    adapter: AdapterVersion | None = None
    headers: list[tuple[str, str]] = field(default_factory=list)
    traceparent: str = ""
    max_tokens: int = 0
