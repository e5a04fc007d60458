"""Paths into the settings tree, and changes that are applied to snapshots."""

from __future__ import annotations

import json
import re
import sys
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any
from typing import TypeVar

from pydantic import BaseModel
from pydantic import TypeAdapter
from pydantic import ValidationError

from .exceptions import DocumentError
from .exceptions import InvalidChangeError
from .exceptions import SettingsError
from .hostsettings import NAME_PATTERN
from .hostsettings import describe_fault
from .jsonvalues import parse_json
from .teamsettings import CHUNKS
from .teamsettings import DEFAULT_PATIENCE_FACTOR
from .teamsettings import AdapterRow
from .teamsettings import AdapterSettings
from .teamsettings import Chunk
from .teamsettings import FleetSettings
from .teamsettings import RankOverride
from .teamsettings import ServiceSettings
from .teamsettings import Snapshot
from .teamsettings import Team
from .teamsettings import TeamSettings
from .teamsettings import chunk_number

FLEET = "fleet"
TEAMS = "teams"

MAX_REPORTED_FAULTS = 20

# Shares of one fleet or team add up to at most 1, apart from rounding.
MAX_SHARE_SUM = 1.0 + 1e-9

# Equal rows are interned. The table is cleared above this size, because it also keeps
# rows that are no longer in force.
MAX_INTERNED_ROWS = 8192

S = TypeVar("S", bound=BaseModel)

Tree = dict[str, Any]

_interned_rows: dict[AdapterRow, AdapterRow] = {}
_adapters_validator = TypeAdapter(dict[str, AdapterSettings])


@dataclass(frozen=True, slots=True)
class Change:
    """One accepted change; a value of None deletes its path.

    `base` and `base_id` are revision and id of the change before this one; `before`
    holds the values that this change replaced; `time` is in Unix seconds.
    """

    revision: int
    id: str
    base_id: str
    base: int
    author: str
    time: float
    reason: str
    changes: dict[str, Any]
    before: dict[str, Any] = field(default_factory=dict)
    reverts: int = 0

    def encode(self) -> bytes:
        """Return the JSON form that the log holds."""
        return json.dumps(asdict(self), separators=(",", ":")).encode()


_change_validator = TypeAdapter(Change)


def decode_change(data: bytes) -> Change:
    """Parse a log entry; raise SettingsError."""
    try:
        return _change_validator.validate_json(data)
    except ValidationError as error:
        fault = error.errors()[0]
        raise SettingsError(
            "/".join(str(part) for part in fault["loc"]),
            f"a malformed log entry of {len(data)} bytes",
            fault["msg"],
        ) from error


def split_path(path: str) -> list[str]:
    """Return the parts of a path of `fleet` or of one team; raise SettingsError."""
    parts = path.strip("/").split("/")
    if all(parts) and (parts[0] == FLEET or (parts[0] == TEAMS and len(parts) > 1)):
        return parts
    raise SettingsError(path, "no path of the settings tree", "fleet/... or teams/TEAM")


def subtree_of(parts: list[str]) -> str:
    """Return the subtree of a path: `fleet` or `teams/TEAM`."""
    return FLEET if parts[0] == FLEET else "/".join(parts[:2])


def paths_overlap(first: str, second: str) -> bool:
    """Return whether one path contains the other."""
    return f"{first}/".startswith(f"{second}/") or f"{second}/".startswith(f"{first}/")


def find_overlaps(paths: Iterable[str], others: Iterable[str]) -> list[str]:
    """Return those of `others` that overlap with one of `paths`."""
    known = list(paths)
    return [other for other in others if any(paths_overlap(other, p) for p in known)]


def validate_at(path: str, data: Any, model: type[S]) -> S:
    """Validate the value at a path; raise SettingsError naming the path."""
    try:
        return model.model_validate(data)
    except ValidationError as error:
        raise validation_fault(path, error, model) from error


def validation_fault(path: str, error: ValidationError, model: Any) -> SettingsError:
    """Return the first error of a failed validation under its full path."""
    loc, found, expected = describe_fault(error, model)
    return SettingsError("/".join([path, *loc]), found, expected)


def intern_row(adapter: AdapterSettings) -> AdapterRow:
    """Return the compact form of an adapter's settings, shared by equal ones."""
    if len(_interned_rows) > MAX_INTERNED_ROWS:
        _interned_rows.clear()
    rank = sys.intern(adapter.rank) if adapter.rank else None
    row = AdapterRow(
        sys.intern(adapter.version),
        sys.intern(adapter.upstream),
        rank,
        tuple(sys.intern(version) for version in adapter.keep),
    )
    return _interned_rows.setdefault(row, row)


def row_tree(row: AdapterRow) -> Tree:
    """Return an adapter's settings as JSON values, without those that are unset."""
    tree: Tree = {"version": row.version, "upstream": row.upstream}
    if row.rank is not None:
        tree["rank"] = row.rank
    if row.keep:
        tree["keep"] = list(row.keep)
    return tree


def parse_rows(path: str, data: Any) -> dict[str, AdapterRow]:
    """Validate adapters by name; raise SettingsError."""
    try:
        adapters = _adapters_validator.validate_python(data)
    except ValidationError as error:
        raise validation_fault(path, error, AdapterSettings) from error
    for name in adapters:
        check_name(f"{path}/{name}", name)
    return {sys.intern(name): intern_row(row) for name, row in adapters.items()}


def check_name(path: str, name: str) -> None:
    """Raise SettingsError unless `name` can be part of a path."""
    if re.match(NAME_PATTERN, name) is None:
        raise SettingsError(
            path, repr(name), "a name of letters, digits, '.', '_', '-'"
        )


def base_tree(team: Team) -> Tree:
    """Return a team's settings without adapters as JSON values."""
    return team.base.model_dump(
        mode="json", exclude={"adapters"}, exclude_unset=True, exclude_none=True
    )


def fleet_tree(snapshot: Snapshot) -> Tree | None:
    """Return the fleet's settings as JSON values."""
    if snapshot.fleet is None:
        return None
    return snapshot.fleet.model_dump(mode="json", exclude_unset=True, exclude_none=True)


def team_tree(team: Team) -> Tree:
    """Return a team's whole subtree as JSON values."""
    adapters = {name: row_tree(row) for name, row in sorted(team.adapters.items())}
    return {**base_tree(team), "adapters": adapters}


def read_path(snapshot: Snapshot, path: str) -> Any:
    """Return the value at a path, None if there is none; raise SettingsError."""
    if path.strip("/") in ("", TEAMS):
        teams = {name: team_tree(team) for name, team in sorted(snapshot.teams.items())}
        return teams if path.strip("/") else {FLEET: fleet_tree(snapshot), TEAMS: teams}
    parts = split_path(path)
    if parts[0] == FLEET:
        return read_nested(fleet_tree(snapshot), parts[1:])
    team = snapshot.teams.get(parts[1])
    if team is None:
        return None
    if parts[2:3] == ["adapters"] and len(parts) > 3:
        row = team.adapters.get(parts[3])
        return read_nested(row_tree(row), parts[4:]) if row is not None else None
    return read_nested(team_tree(team), parts[2:])


def read_nested(value: Any, parts: list[str]) -> Any:
    """Return the value below nested objects, None if there is none."""
    for part in parts:
        if not isinstance(value, dict):
            return None
        value = value.get(part)
    return value


def set_nested(path: str, tree: Tree, parts: list[str], value: Any) -> None:
    """Set or delete one value below nested objects; raise SettingsError."""
    node = tree
    for part in parts[:-1]:
        node = node.setdefault(part, {})
        if not isinstance(node, dict):
            raise SettingsError(path, f"a value at {part!r}", "an object there")
    if value is not None:
        node[parts[-1]] = value
    elif node.pop(parts[-1], None) is None:
        raise SettingsError(path, "nothing to delete", "a path that exists")


class TeamDraft:
    """One team's subtree while a change is applied to it."""

    def __init__(self, name: str, team: Team | None) -> None:
        self.path = f"{TEAMS}/{name}"
        self.exists = team is not None
        self.base: Tree = base_tree(team) if team is not None else {}
        self.chunks: list[Chunk] = (
            list(team.chunks) if team is not None else [{} for _ in range(CHUNKS)]
        )
        self.revisions = list(team.revisions) if team is not None else [0] * CHUNKS
        self.changed_chunks: set[int] = set()
        self.base_changed = False

    def put(self, path: str, parts: list[str], value: Any) -> None:
        """Set or delete the value at the parts below the team."""
        if not parts:
            self.put_team(path, value)
        elif parts[0] != "adapters":
            set_nested(path, self.base, parts, value)
            self.base_changed = self.exists = True
        elif len(parts) == 1:
            self.put_adapters({} if value is None else value)
        else:
            self.put_adapter(path, parts[1], parts[2:], value)

    def put_team(self, path: str, value: Any) -> None:
        """Replace or delete the whole subtree."""
        if value is None and not self.exists:
            raise SettingsError(path, "nothing to delete", "a path that exists")
        if value is not None and not isinstance(value, dict):
            raise SettingsError(path, repr(value)[:80], "an object")
        self.exists = value is not None
        self.base_changed = True
        self.base = {k: v for k, v in (value or {}).items() if k != "adapters"}
        self.put_adapters((value or {}).get("adapters", {}))

    def put_adapters(self, value: Any) -> None:
        """Replace all adapters."""
        rows = parse_rows(f"{self.path}/adapters", value)
        chunks: list[Chunk] = [{} for _ in range(CHUNKS)]
        for name, row in rows.items():
            chunks[chunk_number(name)][name] = row
        for number, chunk in enumerate(chunks):
            if chunk != self.chunks[number]:
                self.chunks[number] = chunk
                self.changed_chunks.add(number)

    def put_adapter(self, path: str, name: str, parts: list[str], value: Any) -> None:
        """Set or delete one adapter or one value of it."""
        chunk = self.copy_chunk(chunk_number(name))
        row = chunk.get(name)
        if not parts and value is None:
            if chunk.pop(name, None) is None:
                raise SettingsError(path, "nothing to delete", "a path that exists")
            return
        if parts:
            tree = row_tree(row) if row is not None else {}
            set_nested(path, tree, parts, value)
            value = tree
        chunk.update(parse_rows(f"{self.path}/adapters", {name: value}))

    def copy_chunk(self, number: int) -> Chunk:
        """Return a chunk that can be modified, copied from the team on first use."""
        if number not in self.changed_chunks:
            self.chunks[number] = dict(self.chunks[number])
            self.changed_chunks.add(number)
        return self.chunks[number]

    def finish(self, revision: int) -> Team | None:
        """Return the validated team, None if it was deleted."""
        if not self.exists:
            return None
        base = validate_at(self.path, self.base, TeamSettings)
        for number in self.changed_chunks | ({0} if self.base_changed else set()):
            self.revisions[number] = revision
        return Team(base, tuple(self.chunks), tuple(self.revisions))


def find_subtree(changes: Mapping[str, Any]) -> str:
    """Return the one subtree that a change modifies; raise SettingsError."""
    subtrees = {path: subtree_of(split_path(path)) for path in changes}
    if not subtrees:
        raise SettingsError("", "no change", "at least one path")
    first = next(iter(subtrees.values()))
    for path, subtree in subtrees.items():
        if subtree != first:
            raise SettingsError(
                path,
                f"a path of {subtree} beside {first}",
                "one subtree in each change",
            )
    paths = sorted(f"{path}/" for path in subtrees)
    for shorter, longer in zip(paths, paths[1:], strict=False):
        if longer.startswith(shorter):
            raise SettingsError(
                longer[:-1], f"{shorter[:-1]} in the same change", "separate paths"
            )
    return first


def apply_changes(
    snapshot: Snapshot, changes: Mapping[str, Any], revision: int, change_id: str
) -> Snapshot:
    """Return the snapshot after a change of one subtree; raise SettingsError."""
    subtree = find_subtree(changes)
    if subtree == FLEET:
        tree: Tree = {FLEET: fleet_tree(snapshot) or {}}
        for path, value in changes.items():
            set_nested(path, tree, split_path(path), value)
        if FLEET not in tree:
            raise SettingsError(FLEET, "a deletion", "settings of the fleet")
        fleet = validate_at(FLEET, tree[FLEET], FleetSettings)
        return replace(
            snapshot,
            revision=revision,
            change_id=change_id,
            fleet=fleet,
            fleet_revision=revision,
        )
    name = subtree.partition("/")[2]
    check_name(subtree, name)
    draft = TeamDraft(name, snapshot.teams.get(name))
    for path, value in changes.items():
        draft.put(path, split_path(path)[2:], value)
    team = draft.finish(revision)
    teams = dict(snapshot.teams)
    if team is None:
        teams.pop(name, None)
    else:
        teams[name] = team
    return replace(snapshot, revision=revision, change_id=change_id, teams=teams)


def check_snapshot(snapshot: Snapshot, subtree: str = FLEET) -> None:
    """Check a subtree against the others; raise InvalidChangeError with its faults."""
    fleet = snapshot.fleet
    if fleet is None:
        raise InvalidChangeError(
            [SettingsError(FLEET, "nothing", "settings of the fleet first")]
        )
    faults: list[SettingsError] = []
    total = sum(rank.share for rank in fleet.ranks.values())
    if total > MAX_SHARE_SUM:
        found = f"shares that add up to {total:g}"
        faults.append(SettingsError(f"{FLEET}/ranks", found, "at most 1"))
    for name, team in snapshot.teams.items():
        if subtree in (FLEET, f"{TEAMS}/{name}"):
            check_team(f"{TEAMS}/{name}", team, fleet, faults)
    if faults:
        raise InvalidChangeError(faults[:MAX_REPORTED_FAULTS])


def check_team(
    path: str, team: Team, fleet: FleetSettings, faults: list[SettingsError]
) -> None:
    """Append the faults of one team's subtree."""
    ranks = ", ".join(fleet.ranks)

    def check_rank(value_path: str, rank: str | None) -> None:
        if rank is not None and rank not in fleet.ranks:
            faults.append(SettingsError(value_path, repr(rank), f"a rank of: {ranks}"))

    def check_upstream(value_path: str, upstream: str, kind: str) -> None:
        found = fleet.upstreams.get(upstream)
        if found is None or found.kind != kind:
            known = [n for n, u in fleet.upstreams.items() if u.kind == kind]
            expected = f"an upstream of kind {kind}: {', '.join(known) or 'none'}"
            faults.append(SettingsError(value_path, repr(upstream), expected))

    check_rank(f"{path}/default_rank", team.default_rank)
    for name in team.ranks:
        check_rank(f"{path}/ranks/{name}", name)
    total = sum(
        fleet_rank.share if override.share is None else override.share
        for name, fleet_rank in fleet.ranks.items()
        for override in [team.ranks.get(name, RankOverride())]
    )
    if total > MAX_SHARE_SUM:
        faults.append(
            SettingsError(
                f"{path}/ranks",
                f"shares that add up to {total:g} with the fleet's",
                "at most 1",
            )
        )
    for name, service in team.services.items():
        check_rank(f"{path}/services/{name}/rank", service.rank)
        check_upstream(f"{path}/services/{name}/upstream", service.upstream, "service")
    valid_rows: set[AdapterRow] = set()
    for name, row in team.adapters.items():
        if row in valid_rows:
            continue
        before = len(faults)
        check_rank(f"{path}/adapters/{name}/rank", row.rank)
        check_upstream(f"{path}/adapters/{name}/upstream", row.upstream, "engine")
        if len(faults) == before:
            valid_rows.add(row)


def diff_trees(path: str, old: Any, new: Any) -> dict[str, Any]:
    """Return the smallest changes that turn the value at `path` into another."""
    if old == new:
        return {}
    if not isinstance(old, dict) or not isinstance(new, dict):
        return {path: new}
    changes: dict[str, Any] = {}
    for key in [*old, *(key for key in new if key not in old)]:
        changes.update(diff_trees(f"{path}/{key}", old.get(key), new.get(key)))
    return changes


def encode_fleet(snapshot: Snapshot) -> bytes:
    """Return the value of the fleet's key."""
    tree = {"revision": snapshot.fleet_revision, "settings": fleet_tree(snapshot)}
    return json.dumps(tree, separators=(",", ":")).encode()


def encode_chunk(team: Team, number: int) -> bytes:
    """Return the value of one chunk's key, empty for a chunk without content."""
    if number and not team.chunks[number]:
        return b""
    tree: Tree = {"revision": team.revisions[number]}
    if number == 0:
        tree["base"] = base_tree(team)
    tree["adapters"] = {
        name: row_tree(row) for name, row in team.chunks[number].items()
    }
    return json.dumps(tree, separators=(",", ":")).encode()


def decode_fleet(data: bytes) -> tuple[int, FleetSettings]:
    """Parse the value of the fleet's key; raise SettingsError."""
    tree = parse_object(FLEET, data)
    fleet = validate_at(FLEET, tree.get("settings"), FleetSettings)
    return int(tree.get("revision", 0)), fleet


def decode_chunk(path: str, data: bytes) -> tuple[int, TeamSettings | None, Chunk]:
    """Parse the value of one chunk's key; raise SettingsError."""
    tree = parse_object(path, data)
    base = tree.get("base")
    team = validate_at(path, base, TeamSettings) if base is not None else None
    return int(tree["revision"]), team, parse_rows(path, tree.get("adapters", {}))


def parse_object(path: str, data: bytes) -> Tree:
    """Parse a JSON object with a revision; raise SettingsError."""
    try:
        tree = parse_json(data, path)
    except DocumentError as error:
        raise SettingsError(path, error.detail, "a JSON object") from error
    if not isinstance(tree, dict) or not isinstance(tree.get("revision"), int):
        raise SettingsError(path, repr(data[:40]), "an object with a revision")
    return tree


@dataclass(frozen=True, slots=True)
class EffectiveValue:
    """One value in force and the level that sets it."""

    path: str
    value: Any
    source: str


def effective_values(snapshot: Snapshot, path: str) -> list[EffectiveValue]:
    """Return the values in force below a team, an adapter, a service or the fleet."""
    parts = split_path(path)
    if parts[0] == FLEET:
        if snapshot.fleet is None:
            return []
        return explain_model(FLEET, snapshot.fleet, FLEET, "/".join(parts))
    team = snapshot.teams.get(parts[1])
    if team is None or snapshot.fleet is None:
        return []
    team_path = f"{TEAMS}/{parts[1]}"
    values = explain_model(
        team_path, team.base, "team", team_path, skip=("adapters", "ranks")
    )
    for name in snapshot.fleet.ranks:
        values += explain_rank(f"{team_path}/ranks/{name}", snapshot.fleet, team, name)
    wanted = "/".join(parts)
    if len(parts) > 3 and parts[2] in ("adapters", "services"):
        entry_path = f"{team_path}/{parts[2]}/{parts[3]}"
        values = explain_adapter_or_service(
            entry_path, snapshot.fleet, team, parts[2], parts[3]
        )
    elif len(parts) == 2 or parts[2] == "adapters":
        for name in sorted(team.adapters):
            entry_path = f"{team_path}/adapters/{name}"
            values += explain_adapter_or_service(
                entry_path, snapshot.fleet, team, "adapters", name
            )
    return [value for value in values if f"{value.path}/".startswith(f"{wanted}/")]


def explain_adapter_or_service(
    path: str, fleet: FleetSettings, team: Team, kind: str, name: str
) -> list[EffectiveValue]:
    """Return the values in force of one adapter or service, with those of its rank."""
    found: AdapterRow | ServiceSettings | None = (
        team.adapters.get(name) if kind == "adapters" else team.services.get(name)
    )
    if found is None:
        return []
    source = "adapter" if kind == "adapters" else "service"
    tree = (
        row_tree(found)
        if isinstance(found, AdapterRow)
        else found.model_dump(mode="json", exclude_unset=True, exclude_none=True)
    )
    values = [EffectiveValue(f"{path}/{k}", v, source) for k, v in tree.items()]
    rank = found.rank
    if rank is None:
        rank = team.default_rank
        values.append(EffectiveValue(f"{path}/rank", rank, "team"))
    optional = "keep" if kind == "adapters" else "idempotent"
    if optional not in tree:
        values.append(EffectiveValue(f"{path}/{optional}", [], "default"))
    return values + explain_rank(f"{path}/rank/{rank}", fleet, team, rank)


def explain_rank(
    path: str, fleet: FleetSettings, team: Team, name: str
) -> list[EffectiveValue]:
    """Return the values in force of one rank for a team."""
    base = fleet.ranks.get(name)
    if base is None:
        return []
    override = team.ranks.get(name, RankOverride())
    values = []
    for key in ("urgency", "share", "target_s", "patience_s", "worth"):
        value, source = getattr(override, key, None), "team"
        if value is None:
            value = getattr(base, key)
            source = FLEET if key in base.model_fields_set else "default"
        if value is None:
            target_s = override.target_s or base.target_s
            value, source = target_s * DEFAULT_PATIENCE_FACTOR, "default"
        values.append(EffectiveValue(f"{path}/{key}", value, source))
    return values


def explain_model(
    path: str, model: BaseModel, source: str, wanted: str, skip: tuple[str, ...] = ()
) -> list[EffectiveValue]:
    """Return each value of a model and whether it was set or is a default."""
    values: list[EffectiveValue] = []
    for key in type(model).model_fields:
        value = getattr(model, key)
        if key in skip:
            continue
        children = value if isinstance(value, dict) else {}
        if isinstance(value, BaseModel):
            values += explain_model(f"{path}/{key}", value, source, wanted)
        elif children:
            for name, child in children.items():
                values += explain_model(f"{path}/{key}/{name}", child, source, wanted)
        else:
            origin = source if key in model.model_fields_set else "default"
            values.append(EffectiveValue(f"{path}/{key}", value, origin))
    return [v for v in values if paths_overlap(v.path, wanted)]
