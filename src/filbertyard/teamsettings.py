"""Settings of the fleet and its teams, and the resolution of calls against them."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Literal
from typing import NamedTuple

import xxhash
from pydantic import Field

from .calls import AdapterVersion
from .calls import Rank
from .exceptions import RequestError
from .exceptions import UnknownNameError
from .hostsettings import NAME_PATTERN
from .hostsettings import StrictModel

# Adapters of a team are kept in this many chunks, so that a change copies and writes
# one chunk instead of the whole subtree.
CHUNKS = 16

# A rank without `patience_s` lets a call wait this many times its target.
DEFAULT_PATIENCE_FACTOR = 4.0


class RankSettings(StrictModel):
    """A rank of work; urgency 1 is served first."""

    urgency: int = Field(ge=1, le=100)
    share: float = Field(ge=0, le=1)
    target_s: float = Field(gt=0)
    patience_s: float | None = Field(default=None, gt=0)
    worth: float = Field(default=1.0, gt=0)


class RankOverride(StrictModel):
    """A team's own values for a rank of the fleet."""

    share: float | None = Field(default=None, ge=0, le=1)
    target_s: float | None = Field(default=None, gt=0)
    patience_s: float | None = Field(default=None, gt=0)


class UpstreamSettings(StrictModel):
    """A group of replicas; the platform's host list names its members."""

    kind: Literal["engine", "service"]
    base_model: str = ""
    checks_fence: bool = True
    leaving: list[str] = Field(default_factory=list)


class StoreSettings(StrictModel):
    """Limits of the adapter store; rates are in loads per second."""

    min_rate_per_s: float = Field(gt=0)
    max_rate_per_s: float = Field(gt=0)
    max_in_flight: int = Field(default=8, ge=1)


class FleetSettings(StrictModel):
    """Settings that hold for all teams."""

    ranks: dict[str, RankSettings]
    upstreams: dict[str, UpstreamSettings]
    store: StoreSettings


class AdapterSettings(StrictModel):
    """One adapter: the version in force and where it runs."""

    version: str = Field(pattern=NAME_PATTERN)
    upstream: str = Field(pattern=NAME_PATTERN)
    rank: str | None = None
    keep: list[str] = Field(default_factory=list)


class ServiceSettings(StrictModel):
    """A plain service; `idempotent` lists `METHOD /path-prefix` entries."""

    upstream: str
    rank: str | None = None
    idempotent: list[str] = Field(default_factory=list)


class TeamSettings(StrictModel):
    """Settings of one team."""

    default_rank: str
    allow_rank_header: bool = False
    ranks: dict[str, RankOverride] = Field(default_factory=dict)
    adapters: dict[str, AdapterSettings] = Field(default_factory=dict)
    services: dict[str, ServiceSettings] = Field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ResolvedTarget:
    """What a call resolves to under one snapshot."""

    team: str
    upstream: str
    rank: Rank
    idempotent: bool
    adapter: AdapterVersion | None = None


class AdapterRow(NamedTuple):
    """One adapter in force; equal rows are shared between adapters."""

    version: str
    upstream: str
    rank: str | None = None
    keep: tuple[str, ...] = ()


Chunk = dict[str, AdapterRow]


def chunk_number(adapter: str) -> int:
    """Return the number of the chunk that holds an adapter."""
    return xxhash.xxh32_intdigest(adapter) % CHUNKS


class AdapterTable(Mapping[str, AdapterRow]):
    """A team's adapters by name, over its chunks."""

    __slots__ = ("chunks",)

    def __init__(self, chunks: tuple[Chunk, ...]) -> None:
        self.chunks = chunks

    def __getitem__(self, name: str) -> AdapterRow:
        return self.chunks[chunk_number(name)][name]

    def __iter__(self) -> Iterator[str]:
        for chunk in self.chunks:
            yield from chunk

    def __len__(self) -> int:
        return sum(len(chunk) for chunk in self.chunks)


@dataclass(frozen=True, slots=True)
class Team:
    """One team's subtree in force; `base` holds all but the adapters.

    `revisions` holds the revision that last changed each chunk; `base` belongs to
    chunk 0.
    """

    base: TeamSettings
    chunks: tuple[Chunk, ...]
    revisions: tuple[int, ...]

    @property
    def default_rank(self) -> str:
        """Return the rank of calls that name none."""
        return self.base.default_rank

    @property
    def allow_rank_header(self) -> bool:
        """Return whether callers may choose the rank."""
        return self.base.allow_rank_header

    @property
    def ranks(self) -> dict[str, RankOverride]:
        """Return the team's own values for ranks."""
        return self.base.ranks

    @property
    def services(self) -> dict[str, ServiceSettings]:
        """Return the plain services."""
        return self.base.services

    @property
    def adapters(self) -> AdapterTable:
        """Return the adapters by name."""
        return AdapterTable(self.chunks)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """An immutable state of all settings at one revision.

    `change_id` names the change that made this revision; `fleet_revision` is the
    revision that last changed the fleet's settings.
    """

    revision: int
    fleet: FleetSettings | None = None
    teams: dict[str, Team] = field(default_factory=dict)
    change_id: str = ""
    fleet_revision: int = 0

    def resolve_model(self, model: str, rank_name: str = "") -> ResolvedTarget:
        """Resolve `TEAM/ADAPTER[@VERSION]`; raise UnknownNameError or RequestError."""
        name, _, version = model.partition("@")
        team_name, slash, adapter_name = name.partition("/")
        if not slash:
            raise RequestError(
                "model", repr(model), "TEAM/ADAPTER or TEAM/ADAPTER@VERSION"
            )
        team = self.find_team(team_name)
        adapter = team.adapters.get(adapter_name)
        if adapter is None:
            raise UnknownNameError(
                "adapter", name, f"team {team_name!r} has no such adapter in force"
            )
        version = version or adapter.version
        if version != adapter.version and version not in adapter.keep:
            known = ", ".join([adapter.version, *adapter.keep])
            raise UnknownNameError("version", model, f"in force: {known}")
        rank = self.resolve_rank(team_name, team, adapter.rank, rank_name)
        return ResolvedTarget(
            team_name,
            adapter.upstream,
            rank,
            True,
            AdapterVersion(team_name, adapter_name, version),
        )

    def resolve_service(
        self, team_name: str, service_name: str, method: str, path: str, rank_name: str
    ) -> ResolvedTarget:
        """Resolve a call to a plain service; raise UnknownNameError."""
        team = self.find_team(team_name)
        service = team.services.get(service_name)
        if service is None:
            raise UnknownNameError(
                "service", service_name, f"team {team_name!r} has no such service"
            )
        rank = self.resolve_rank(team_name, team, service.rank, rank_name)
        idempotent = is_idempotent(service.idempotent, method, path)
        return ResolvedTarget(team_name, service.upstream, rank, idempotent)

    def find_team(self, name: str) -> Team:
        """Return a team's settings; raise UnknownNameError."""
        team = self.teams.get(name)
        if team is None:
            raise UnknownNameError(
                "team", name, "use a team that has settings in force"
            )
        return team

    def find_replacement(
        self, adapter: AdapterVersion, before: Snapshot, upstream: str
    ) -> AdapterVersion | None:
        """Return the version that replaced one in force in `before`, if any."""
        rows = [
            snapshot.teams[adapter.team].adapters.get(adapter.adapter)
            for snapshot in (before, self)
            if adapter.team in snapshot.teams
        ]
        if len(rows) < 2 or rows[0] is None or rows[1] is None:
            return None
        old, new = rows[0], rows[1]
        if old.version != adapter.version or new.version == old.version:
            return None
        if new.upstream != upstream:
            return None
        return AdapterVersion(adapter.team, adapter.adapter, new.version)

    def resolve_rank(
        self, team_name: str, team: Team, configured: str | None, requested: str
    ) -> Rank:
        """Return the rank of a call; raise UnknownNameError or RequestError."""
        if requested and not team.allow_rank_header:
            raise RequestError(
                "Filbertyard-Rank",
                repr(requested),
                f"no such header: team {team_name!r} does not allow it",
            )
        name = requested or configured or team.default_rank
        base = self.fleet.ranks.get(name) if self.fleet is not None else None
        if base is None:
            ranks = ", ".join(self.fleet.ranks) if self.fleet is not None else "none"
            raise UnknownNameError("rank", name, f"ranks in force: {ranks}")
        override = team.ranks.get(name, RankOverride())
        target_s = override.target_s or base.target_s
        patience_s = override.patience_s or base.patience_s
        return Rank(
            name=name,
            urgency=base.urgency,
            share=base.share if override.share is None else override.share,
            target_s=target_s,
            patience_s=patience_s or target_s * DEFAULT_PATIENCE_FACTOR,
            worth=base.worth,
        )


def is_idempotent(rules: list[str], method: str, path: str) -> bool:
    """Return whether a rule `METHOD /path-prefix` covers the call."""
    for rule in rules:
        rule_method, _, prefix = rule.partition(" ")
        if rule_method not in ("*", method):
            continue
        if path == prefix or path.startswith(prefix.rstrip("/") + "/"):
            return True
    return False
