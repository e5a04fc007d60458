"""Layout of the settings in the key-value service."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass

from .exceptions import SettingsError
from .keyvalue import MAX_VALUE_BYTES
from .keyvalue import Delete
from .keyvalue import Item
from .keyvalue import Put
from .keyvalue import Write
from .settingstree import FLEET
from .settingstree import Change
from .settingstree import decode_change
from .settingstree import decode_chunk
from .settingstree import decode_fleet
from .settingstree import encode_chunk
from .settingstree import encode_fleet
from .settingstree import find_subtree
from .settingstree import parse_object
from .teamsettings import CHUNKS
from .teamsettings import Chunk
from .teamsettings import Snapshot
from .teamsettings import Team
from .teamsettings import TeamSettings

PREFIX = "/filbertyard/settings/"

HEAD_KEY = PREFIX + "head"

FLEET_KEY = PREFIX + "fleet"

LOG_PREFIX = PREFIX + "log/"

TEAMS_PREFIX = PREFIX + "teams/"

# A value must also fit into one frame between hosts, beside the frame's own fields.
MAX_SETTINGS_VALUE_BYTES = MAX_VALUE_BYTES - (64 << 10)

# Each change deletes the log entry that is this many revisions older.
MAX_LOG_ENTRIES = 512


@dataclass(frozen=True, slots=True)
class Head:
    """Newest revision of the settings in the key-value service.

    `mod_revision` is the service's own revision of the head's key; `writing_back` is a
    newer revision that a host is writing back, 0 without one.
    """

    revision: int = 0
    id: str = ""
    mod_revision: int = 0
    writing_back: int = 0


def log_key(revision: int) -> str:
    """Return the key of a log entry; keys sort by revision."""
    return f"{LOG_PREFIX}{revision:012d}"


def log_revision(key: str) -> int:
    """Return the revision of a log entry's key, 0 for an unknown key."""
    number = key.removeprefix(LOG_PREFIX)
    return int(number) if number.isdecimal() else 0


def chunk_key(team: str, number: int) -> str:
    """Return the key of one chunk of a team."""
    return f"{TEAMS_PREFIX}{team}/{number:02d}"


def encode_head(revision: int, change_id: str, writing_back: int = 0) -> bytes:
    """Return the value of the head's key."""
    head = {"revision": revision, "id": change_id}
    if writing_back:
        head["writing_back"] = writing_back
    return json.dumps(head).encode()


def parse_head(item: Item) -> Head:
    """Parse the value of the head's key; raise SettingsError."""
    tree = parse_object(HEAD_KEY, item.value[:4096])
    revision = tree["revision"]
    if revision < 0 or not isinstance(tree.get("id"), str):
        raise SettingsError(HEAD_KEY, repr(item.value[:40]), "a revision and its id")
    return Head(revision, tree["id"], item.mod_revision, tree.get("writing_back", 0))


def parse_log_item(item: Item) -> Change:
    """Parse a log entry; raise SettingsError."""
    if len(item.value) > MAX_SETTINGS_VALUE_BYTES:
        raise SettingsError(
            item.key,
            f"{len(item.value)} bytes",
            f"at most {MAX_SETTINGS_VALUE_BYTES}",
        )
    change = decode_change(item.value)
    if log_key(change.revision) != item.key:
        raise SettingsError(
            item.key, f"revision {change.revision}", "the revision of its key"
        )
    return change


def state_items(snapshot: Snapshot) -> Iterator[tuple[str, int, bytes]]:
    """Yield key, revision and value of the fleet and of each chunk with content."""
    if snapshot.fleet is not None:
        yield FLEET_KEY, snapshot.fleet_revision, encode_fleet(snapshot)
    for name, team in snapshot.teams.items():
        for number in range(CHUNKS):
            value = encode_chunk(team, number)
            if value:
                yield chunk_key(name, number), team.revisions[number], value


def state_values(snapshot: Snapshot) -> Iterator[tuple[str, bytes]]:
    """Yield key and value of the fleet and of each chunk with content."""
    for key, _, value in state_items(snapshot):
        yield key, value


def is_same_json(first: bytes | None, second: bytes | None) -> bool:
    """Return whether two values hold the same JSON."""
    if first is None or second is None or first == second:
        return first == second
    try:
        return bool(json.loads(first) == json.loads(second))
    except ValueError:
        return False


def build_snapshot(
    revision: int, change_id: str, values: dict[str, bytes]
) -> tuple[Snapshot, dict[str, str]]:
    """Return the snapshot of a whole state, and what is wrong with it by key."""
    damage: dict[str, str] = {}
    fleet_revision, fleet = 0, None
    bases: dict[str, TeamSettings] = {}
    chunks: dict[str, list[Chunk]] = {}
    revisions: dict[str, list[int]] = {}
    for key, value in values.items():
        try:
            check_value_size(key, value, MAX_VALUE_BYTES)
            if key == FLEET_KEY:
                fleet_revision, fleet = decode_fleet(value)
                continue
            name, number = parse_chunk_key(key)
            found, base, chunk = decode_chunk(key, value)
            if found > revision:
                raise SettingsError(key, f"revision {found}", f"at most {revision}")
        except (SettingsError, ValueError) as error:
            damage[key] = str(error)
            continue
        chunks.setdefault(name, [{} for _ in range(CHUNKS)])[number] = chunk
        revisions.setdefault(name, [0] * CHUNKS)[number] = found
        if base is not None:
            bases[name] = base
    teams = {}
    for name in chunks:
        if name in bases:
            teams[name] = Team(bases[name], tuple(chunks[name]), tuple(revisions[name]))
        elif chunk_key(name, 0) not in damage:
            damage[chunk_key(name, 0)] = "the team's own settings are missing"
    if fleet is None and FLEET_KEY not in damage:
        damage[FLEET_KEY] = "the fleet's settings are missing"
    return Snapshot(revision, fleet, teams, change_id, fleet_revision), damage


def parse_chunk_key(key: str) -> tuple[str, int]:
    """Return team and number of a chunk's key; raise SettingsError."""
    name, _, number = key.removeprefix(TEAMS_PREFIX).partition("/")
    if not number.isdecimal() or int(number) >= CHUNKS:
        raise SettingsError(key, "an unknown key", f"{TEAMS_PREFIX}TEAM/00 to 15")
    return name, int(number)


def check_value_size(key: str, value: bytes, limit: int) -> None:
    """Raise SettingsError for a value of more bytes than the limit."""
    if len(value) > limit:
        raise SettingsError(key, f"{len(value)} bytes", f"at most {limit}")


def check_write_sizes(writes: list[Write]) -> None:
    """Raise SettingsError for a change that is too large to write."""
    for write in writes:
        if isinstance(write, Put):
            check_value_size(write.key, write.value, MAX_SETTINGS_VALUE_BYTES)


def change_writes(new: Snapshot, change: Change) -> list[Write]:
    """Return the writes of one change: head, log entry and affected chunks."""
    writes: list[Write] = [
        Put(HEAD_KEY, encode_head(change.revision, change.id)),
        Put(log_key(change.revision), change.encode()),
    ]
    if change.revision > MAX_LOG_ENTRIES:
        writes.append(Delete(log_key(change.revision - MAX_LOG_ENTRIES)))
    subtree = find_subtree(change.changes)
    if subtree == FLEET:
        return [*writes, Put(FLEET_KEY, encode_fleet(new))]
    name = subtree.partition("/")[2]
    team = new.teams.get(name)
    for number in range(CHUNKS):
        key = chunk_key(name, number)
        if team is None:
            writes.append(Delete(key))
        elif team.revisions[number] == change.revision:
            value = encode_chunk(team, number)
            writes.append(Put(key, value) if value else Delete(key))
    return writes
