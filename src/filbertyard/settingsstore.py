"""Settings in force on a host, synchronized with the key-value service and peers."""

from __future__ import annotations

import itertools
import logging
import random
import time
from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Protocol

import gevent
import xxhash
from gevent.lock import BoundedSemaphore
from result import Err
from result import Ok
from result import Result

from .exceptions import InvalidChangeError
from .exceptions import KeyValueError
from .exceptions import PeerError
from .exceptions import SettingsError
from .keyvalue import Compare
from .keyvalue import Delete
from .keyvalue import Item
from .keyvalue import KeyValue
from .keyvalue import Put
from .keyvalue import Write
from .logs import log_event
from .membership import Member
from .messages import Message
from .messages import Problem
from .messages import message
from .settingscommits import COMMIT_TIMEOUT_S
from .settingscommits import RETRY_INTERVAL_S
from .settingscommits import AcceptedChange
from .settingscommits import ChangeRequest
from .settingscommits import CommitError
from .settingscommits import CommitOperation
from .settingslayout import FLEET_KEY
from .settingslayout import HEAD_KEY
from .settingslayout import LOG_PREFIX
from .settingslayout import TEAMS_PREFIX
from .settingslayout import Head
from .settingslayout import build_snapshot
from .settingslayout import encode_head
from .settingslayout import is_same_json
from .settingslayout import log_key
from .settingslayout import log_revision
from .settingslayout import parse_head
from .settingslayout import parse_log_item
from .settingslayout import state_items
from .settingslayout import state_values
from .settingstree import FLEET
from .settingstree import Change
from .settingstree import apply_changes
from .settingstree import check_snapshot
from .settingstree import decode_change
from .settingstree import find_subtree
from .teamsettings import FleetSettings
from .teamsettings import Snapshot
from .teamsettings import TeamSettings

logger = logging.getLogger(__name__)

# Limit on the encoded log entries that a host keeps for its peers.
MAX_RECENT_LOG_BYTES = 256 << 10

KEYS_PER_PAGE = 32

# The key-value service limits the operations of a transaction (etcd: 128).
MAX_TXN_WRITES = 100
MAX_TXN_BYTES = 900 << 10

WATCHERS_PER_ZONE = 2
WATCH_IDLE_TIMEOUT_S = 10.0

# Interval at which a host that is no watcher checks whether it has become one.
WATCHER_CHECK_INTERVAL_S = 1.0

SYNC_INTERVAL_S = 5.0
INITIAL_SYNC_INTERVAL_S = 0.2
AUDIT_INTERVAL_S = 300.0

PEER_TIMEOUT_S = 1.0

# Random peers that a host polls before it commits a change or uses a damaged state.
POLLED_PEERS = 3

# A paused peer must not delay changes that other peers can send.
FETCH_CHANGES_TIMEOUT_S = 1.5
FETCH_STATE_TIMEOUT_S = 10.0
MAX_PART_BYTES = 256 << 10


@message("settings_announce")
@dataclass(slots=True)
class SettingsAnnounce(Message):
    """Announce the revision in force on the sender; the reply holds the receiver's.

    `confirmed_age_s` is the time since the revision was last confirmed as the newest,
    -1 if it never was; `complete` is false while a part of the state is unreadable.
    """

    revision: int
    change_id: str
    in_force_at: float = 0.0
    confirmed_age_s: float = -1.0
    complete: bool = True
    problems: list[str] = field(default_factory=list)


@message("fetch_settings")
@dataclass(slots=True)
class FetchSettings(Message):
    """Request the changes after a revision, or all settings if `after` is -1."""

    after: int
    change_id: str = ""


@message("settings_part")
@dataclass(slots=True)
class SettingsPart(Message):
    """Carry log entries (`changes`) or keys and values of the whole state (`state`)."""

    kind: str
    revision: int
    change_id: str
    complete: bool
    values: list[list[Any]] = field(default_factory=list)


class Members(Protocol):
    """Part of the membership that the settings store uses."""

    local_member: Member

    def live_members(self) -> list[Member]:
        """Return the hosts that can take work."""


class Peers(Protocol):
    """Part of the connections between hosts that the settings store uses."""

    def handle(self, cls: type[Message], handler: Callable[[str, Any], Any]) -> None:
        """Register `handler(host, message)` for messages of type `cls`."""

    def call(
        self, host: str, body: Message, timeout_s: float
    ) -> Result[Message | None, PeerError]:
        """Send one request and return its reply."""

    def stream(self, host: str, body: Message, timeout_s: float) -> Iterator[Message]:
        """Send one request and yield its replies; raise PeerError."""


@dataclass(frozen=True, slots=True)
class KeyValueFault:
    """Why the settings in the key-value service cannot be used.

    `kind` is `older` (than those of the hosts, until they are written back),
    `damaged` (until a change with `replace_damaged`) or `diverged` (another history).
    """

    kind: str
    detail: str


class SettingsStore:
    """Hold the snapshot in force, follow newer revisions and commit changes."""

    def __init__(
        self,
        key_value: KeyValue,
        *,
        commit_timeout_s: float = COMMIT_TIMEOUT_S,
        seed: int | None = None,
    ) -> None:
        self.key_value = key_value
        self.commit_timeout_s = commit_timeout_s
        self.snapshot = Snapshot(0)
        self.listeners: list[Callable[[Snapshot], None]] = []
        self.in_force_at = 0.0
        self.confirmed_at: float | None = None
        self.complete = True
        self.head = Head()
        self.fault: KeyValueFault | None = None
        self.problems: dict[str, str] = {}
        self.recent_log: OrderedDict[int, bytes] = OrderedDict()
        self.recent_revisions: dict[str, int] = {}
        self.recent_log_bytes = 0
        self.newest_peer_revision = 0
        self.newest_peer = ""
        self.counters = {"commits": 0, "races": 0, "fetches": 0, "write_backs": 0}
        self.random = random.Random(seed)
        self.commit_lock = BoundedSemaphore(1)
        self.fetch_lock = BoundedSemaphore(1)
        self.members: Members | None = None
        self.peers: Peers | None = None

    def join(self, members: Members, peers: Peers) -> None:
        """Synchronize with the other hosts."""
        self.members = members
        self.peers = peers
        peers.handle(SettingsAnnounce, self.handle_announce)
        peers.handle(FetchSettings, self.handle_fetch)

    def run(self) -> None:
        """Follow the key-value service and the peers until killed."""
        tasks = [gevent.spawn(self.run_sync), gevent.spawn(self.run_audit)]
        try:
            self.follow_key_value()
        finally:
            gevent.killall(tasks, block=False)

    def follow_key_value(self) -> None:
        """Read the settings at start, and watch them while this host is a watcher."""
        while True:
            if self.snapshot.revision and not self.is_watcher():
                gevent.sleep(WATCHER_CHECK_INTERVAL_S)
                continue
            try:
                self.refresh()
                if self.fault is not None and self.fault.kind == "older":
                    self.write_back_if_coordinator()
            except KeyValueError as error:
                self.record_problem("service", str(error))
            else:
                self.watch_if_watcher()
            gevent.sleep(
                RETRY_INTERVAL_S + self.random.random() * WATCHER_CHECK_INTERVAL_S
            )

    def watch_if_watcher(self) -> None:
        """Watch the head if this host is a watcher."""
        try:
            if self.is_watcher():
                self.watch()
        except KeyValueError as error:
            log_event(logger, "settings_watch_ended", level=logging.DEBUG, error=error)

    def watch(self) -> None:
        """Watch the head until the watch ends, a fault occurs or the role is lost."""
        for events in self.key_value.watch(
            HEAD_KEY, self.head.mod_revision + 1, WATCH_IDLE_TIMEOUT_S
        ):
            if events:
                last = events[-1]
                self.refresh(last.item if last.kind == "put" else None)
            elif self.fault is None:
                self.confirmed_at = time.monotonic()
            if self.fault is not None or not self.is_watcher():
                return

    def is_watcher(self) -> bool:
        """Return whether this host is one of its zone's watchers."""
        if self.members is None:
            return True
        own = self.members.local_member
        names = [
            member.name
            for member in self.members.live_members()
            if member.availability_zone == own.availability_zone
        ]
        return own.name in order_hosts({*names, own.name})[:WATCHERS_PER_ZONE]

    def is_coordinator(self) -> bool:
        """Return whether this host audits and writes back for the whole fleet."""
        if self.members is None:
            return True
        names = {member.name for member in self.members.live_members()}
        own = self.members.local_member.name
        return order_hosts({*names, own})[0] == own

    def refresh(self, head: Item | None = None) -> None:
        """Load the service's settings if they are newer.

        `head` is the head's item if a watch delivered it. A state that cannot be used
        sets `fault` and changes nothing. Raises KeyValueUnavailableError.
        """
        self.fault = self.read_head(head)
        if self.fault is None and self.head.revision > self.snapshot.revision:
            self.catch_up()
        elif self.fault is None and not self.complete:
            self.read_state()
        elif self.fault is not None and self.fault.kind == "damaged":
            self.apply_log_without_head()
        if self.fault is None:
            self.problems.clear()
            self.confirmed_at = time.monotonic()
        else:
            self.record_problem(self.fault.kind, self.fault.detail)

    def read_head(self, item: Item | None = None) -> KeyValueFault | None:
        """Read the head of the service; return why its state cannot be used, if so."""
        if item is None:
            item = next(iter(self.key_value.range(HEAD_KEY).items), None)
        mod_revision = item.mod_revision if item is not None else 0
        try:
            head = parse_head(item) if item is not None else Head()
        except SettingsError as error:
            self.head = Head(self.snapshot.revision, "", mod_revision)
            return KeyValueFault("damaged", error.message)
        self.head = head
        newest = self.newest_revision()
        if head.revision < newest:
            return KeyValueFault(
                "older",
                f"the key-value service holds revision {head.revision}, "
                f"hosts have {newest}",
            )
        if head.writing_back:
            return KeyValueFault(
                "older",
                f"a host is writing revision {head.writing_back} back to the "
                "key-value service",
            )
        if head.revision == self.snapshot.revision and (
            head.id != self.snapshot.change_id
        ):
            return KeyValueFault(
                "diverged",
                f"the key-value service holds change {head.id!r} as revision "
                f"{head.revision}, this host has {self.snapshot.change_id!r}",
            )
        return None

    def newest_revision(self) -> int:
        """Return the newest revision that this host or a live peer has in force."""
        if self.newest_peer in self.other_hosts():
            return max(self.snapshot.revision, self.newest_peer_revision)
        return self.snapshot.revision

    def catch_up(self) -> None:
        """Apply the missing log entries, or read the whole state if some are gone."""
        if self.snapshot.revision and self.apply_log():
            return
        if self.snapshot.revision < self.head.revision and self.fault is None:
            self.read_state()

    def apply_log(self) -> bool:
        """Apply the log entries up to the head; false if any is missing or invalid."""
        after = self.snapshot.revision
        while self.snapshot.revision < self.head.revision:
            page = self.key_value.range(
                LOG_PREFIX, prefix=True, after=log_key(after), limit=KEYS_PER_PAGE
            )
            changes = []
            damage = ""
            for item in page.items:
                try:
                    changes.append(parse_log_item(item))
                except SettingsError as error:
                    damage = damage or error.message
            before = self.snapshot.revision
            fault = self.apply_log_entries(changes)
            if fault is not None:
                self.fault = fault
                return False
            if page.items:
                after = max(after, log_revision(page.items[-1].key))
            if self.snapshot.revision > before:
                continue
            if damage and not page.more:
                self.fault = KeyValueFault("damaged", damage)
            is_truncated = bool(changes) and changes[0].base > before and not damage
            if is_truncated or not page.more:
                return False
        return True

    def apply_log_without_head(self) -> None:
        """Apply the log entries while the head cannot be read."""
        after = self.snapshot.revision
        while True:
            page = self.key_value.range(
                LOG_PREFIX, prefix=True, after=log_key(after), limit=KEYS_PER_PAGE
            )
            changes = []
            for item in page.items:
                try:
                    changes.append(parse_log_item(item))
                except SettingsError as error:
                    self.record_problem(item.key, error.message)
            self.apply_log_entries(changes)
            newest = max([after, *(log_revision(item.key) for item in page.items)])
            if not page.more or newest == after:
                break
            after = newest
        self.head = Head(
            max(newest, self.snapshot.revision), "", self.head.mod_revision
        )

    def apply_log_entries(
        self, changes: Iterable[Change], source: str = ""
    ) -> KeyValueFault | None:
        """Activate the changes that continue this host's revision, and skip others."""
        snapshot = self.snapshot
        applied: list[Change] = []
        fault: KeyValueFault | None = None
        for change in changes:
            if change.revision <= snapshot.revision or change.base > snapshot.revision:
                continue
            if (change.base, change.base_id) != (snapshot.revision, snapshot.change_id):
                fault = KeyValueFault(
                    "diverged",
                    f"revision {change.revision} follows change {change.base_id!r}, "
                    f"this host has {snapshot.change_id!r}",
                )
                break
            try:
                after = apply_changes(
                    snapshot, change.changes, change.revision, change.id
                )
                check_snapshot(after, find_subtree(change.changes))
            except (SettingsError, InvalidChangeError) as error:
                detail = f"log entry {change.revision}: {error.message}"
                fault = KeyValueFault("damaged", detail)
                continue
            snapshot, fault = after, None
            applied.append(change)
        if applied:
            self.activate(snapshot, applied, source)
        return fault

    def read_state(self) -> None:
        """Read the whole state in pages, at one revision of the head."""
        while True:
            head = self.head
            values: dict[str, bytes] = {}
            for item in self.read_state_items():
                if self.complete and self.snapshot.revision >= head.revision:
                    # A peer has sent the state in the meantime.
                    return
                values[item.key] = item.value
            self.fault = self.read_head()
            if self.fault is not None:
                return
            if self.head.mod_revision == head.mod_revision:
                break
        snapshot, damage = build_snapshot(head.revision, head.id, values)
        if not damage:
            self.activate(snapshot, [], log_tail=self.read_log_tail(head.revision))
            return
        for key, detail in damage.items():
            self.record_problem(key, detail)
        self.fault = KeyValueFault("damaged", "; ".join(damage.values()))
        self.poll_peers()
        if self.snapshot.revision == 0:
            # No peer could send a state: the readable part is better than no settings.
            self.activate(snapshot, [], complete=False)

    def read_log_tail(self, revision: int) -> list[Change]:
        """Return the last log entries, needed to detect peers with another history."""
        page = self.key_value.range(
            LOG_PREFIX,
            prefix=True,
            after=log_key(max(0, revision - KEYS_PER_PAGE)),
            limit=KEYS_PER_PAGE,
        )
        return parse_log_tail(page.items, revision)

    def read_state_items(self) -> Iterator[Item]:
        """Yield the items of the fleet and of all chunks."""
        yield from self.key_value.range(FLEET_KEY).items
        after = ""
        while True:
            page = self.key_value.range(
                TEAMS_PREFIX, prefix=True, limit=KEYS_PER_PAGE, after=after
            )
            yield from page.items
            if not page.more:
                return
            after = page.items[-1].key

    def activate(
        self,
        snapshot: Snapshot,
        changes: list[Change],
        source: str = "",
        *,
        complete: bool | None = None,
        log_tail: Iterable[Change] = (),
    ) -> None:
        """Put a newer snapshot in force, and notify listeners and peers.

        `changes` lead from the old snapshot to this one; a whole state has none, and
        comes with the log entries in `log_tail`. A snapshot of the same revision
        replaces only an incomplete one.
        """
        complete = self.complete if complete is None and changes else complete
        complete = True if complete is None else complete
        repaired = complete and not self.complete
        if snapshot.revision <= self.snapshot.revision and not (
            repaired and snapshot.revision == self.snapshot.revision
        ):
            return
        self.snapshot = snapshot
        self.complete = complete
        self.in_force_at = time.time()
        if not changes:
            self.recent_log.clear()
            self.recent_revisions.clear()
            self.recent_log_bytes = 0
        for change in [*log_tail, *changes]:
            self.keep_log_entry(change)
        for listener in self.listeners:
            listener(snapshot)
        log_event(
            logger,
            "settings_in_force",
            revision=snapshot.revision,
            teams=len(snapshot.teams),
            source=source or "service",
        )
        self.announce(source)

    def keep_log_entry(self, change: Change) -> None:
        """Keep a log entry for peers, and drop the oldest ones above the size limit."""
        data = change.encode()
        self.recent_log[change.revision] = data
        self.recent_revisions[change.id] = change.revision
        self.recent_log_bytes += len(data)
        while self.recent_log_bytes > MAX_RECENT_LOG_BYTES and len(self.recent_log) > 1:
            revision, dropped = self.recent_log.popitem(last=False)
            self.recent_log_bytes -= len(dropped)
            known = [
                id_ for id_, rev in self.recent_revisions.items() if rev == revision
            ]
            for change_id in known:
                del self.recent_revisions[change_id]

    def record_problem(self, subject: str, detail: str) -> None:
        """Record a problem; it is cleared once the service can be followed again."""
        if self.problems.get(subject) != detail:
            log_event(
                logger,
                "settings_problem",
                level=logging.WARNING,
                subject=subject,
                detail=detail,
            )
        self.problems[subject] = detail

    def run_sync(self) -> None:
        """Synchronize with random peers, more often until there are settings."""
        while True:
            self.sync_with_random_peer()
            wait_s = (
                SYNC_INTERVAL_S if self.snapshot.revision else INITIAL_SYNC_INTERVAL_S
            )
            gevent.sleep(wait_s * (0.5 + self.random.random()))

    def sync_with_random_peer(self) -> None:
        """Synchronize with one random peer."""
        others = self.other_hosts()
        if others:
            self.sync_with(self.random.choice(others))

    def sync_with(self, host: str) -> SettingsAnnounce | None:
        """Announce this host's revision to a peer and fetch its settings if newer."""
        if self.peers is None:
            return None
        match self.peers.call(host, self.create_announcement(), PEER_TIMEOUT_S):
            case Ok(SettingsAnnounce() as announced):
                if self.is_outdated_by(announced):
                    self.fetch(host, announced)
                self.record_peer_revision(host, announced)
                return announced
            case _:
                return None

    def create_announcement(self) -> SettingsAnnounce:
        """Return the announcement of this host's settings."""
        age_s = -1.0
        if self.confirmed_at is not None:
            age_s = time.monotonic() - self.confirmed_at
        return SettingsAnnounce(
            self.snapshot.revision,
            self.snapshot.change_id,
            self.in_force_at,
            age_s,
            self.complete,
            sorted(self.problems),
        )

    def announce(self, source: str) -> None:
        """Announce the revision in force to some peers other than `source`."""
        for name in self.announcement_peers():
            if name != source:
                gevent.spawn(self.sync_with, name)

    def announcement_peers(self) -> list[str]:
        """Return the peers to which this host announces a new revision.

        They change only with the membership, so that few streams are opened. With
        log2(n) + 2 of them on each host, about 1 host in e**(log2(n) + 2) gets no
        announcement; it learns of the revision by periodic synchronization.
        """
        others = self.other_hosts()
        if self.members is None or not others:
            return []
        own = self.members.local_member.name
        others.sort(key=lambda name: xxhash.xxh64_intdigest(f"{own} {name}"))
        return others[: len(others).bit_length() + 2]

    def handle_announce(self, host: str, announced: SettingsAnnounce) -> Message:
        """Reply with this host's revision and fetch a newer one in the background."""
        if self.is_outdated_by(announced):
            gevent.spawn(self.fetch, host, announced)
        self.record_peer_revision(host, announced)
        return self.create_announcement()

    def is_outdated_by(self, announced: SettingsAnnounce) -> bool:
        """Return whether a peer has a newer or more complete revision."""
        repairs = announced.complete and not self.complete
        return announced.revision > self.snapshot.revision or (
            repairs and announced.revision == self.snapshot.revision
        )

    def record_peer_revision(self, host: str, announced: SettingsAnnounce) -> None:
        """Record a peer's revision, and when it was last confirmed as the newest."""
        if announced.revision > self.newest_peer_revision:
            self.newest_peer_revision, self.newest_peer = announced.revision, host
        if announced.revision != self.snapshot.revision:
            return
        if announced.change_id != self.snapshot.change_id:
            self.record_problem(
                "diverged",
                f"{host} has change {announced.change_id!r} as revision "
                f"{announced.revision}, this host has {self.snapshot.change_id!r}",
            )
        elif announced.confirmed_age_s >= 0:
            confirmed_at = time.monotonic() - announced.confirmed_age_s
            self.confirmed_at = max(self.confirmed_at or confirmed_at, confirmed_at)

    def fetch(self, host: str, announced: SettingsAnnounce) -> None:
        """Fetch the changes or the whole state from a peer."""
        with self.fetch_lock:
            if self.peers is None or not self.is_outdated_by(announced):
                return
            self.counters["fetches"] += 1
            after = self.snapshot.revision if self.complete else -1
            try:
                self.fetch_after(host, after)
            except (PeerError, SettingsError) as error:
                log_event(logger, "settings_fetch_failed", peer=host, error=error)

    def fetch_after(self, host: str, after: int) -> None:
        """Fetch and apply what a peer sends; raise PeerError or SettingsError."""
        if self.peers is None:
            return
        body = FetchSettings(after or -1, self.snapshot.change_id)
        timeout_s = FETCH_CHANGES_TIMEOUT_S if after > 0 else FETCH_STATE_TIMEOUT_S
        parts = [
            part
            for part in self.peers.stream(host, body, timeout_s)
            if isinstance(part, SettingsPart)
        ]
        if not parts:
            return
        first = parts[0]
        if first.kind == "changes":
            changes = [decode_change(v[1]) for part in parts for v in part.values]
            fault = self.apply_log_entries(changes, host)
            if fault is not None:
                self.record_problem(fault.kind, f"{host}: {fault.detail}")
            return
        values: dict[str, bytes] = {}
        log_items: list[Item] = []
        for key, value in (pair for part in parts for pair in part.values):
            if str(key).startswith(LOG_PREFIX):
                log_items.append(Item(str(key), bytes(value), 0, 0))
            else:
                values[str(key)] = bytes(value)
        snapshot, damage = build_snapshot(first.revision, first.change_id, values)
        if damage:
            key, detail = next(iter(damage.items()))
            raise SettingsError(
                key, f"a damaged state at {host} ({detail})", "an undamaged state"
            )
        log_tail = parse_log_tail(log_items, first.revision)
        self.activate(snapshot, [], host, complete=first.complete, log_tail=log_tail)

    def poll_peers(self) -> bool:
        """Synchronize with a few random peers; false if none of them answers."""
        others = self.other_hosts()
        polled = self.random.sample(others, min(POLLED_PEERS, len(others)))
        tasks = [gevent.spawn(self.sync_with, name) for name in polled]
        gevent.joinall(tasks, timeout=PEER_TIMEOUT_S + FETCH_CHANGES_TIMEOUT_S)
        return not tasks or any(task.value is not None for task in tasks)

    def handle_fetch(self, host: str, request: FetchSettings) -> Iterator[Message]:
        """Send the changes after a revision if they are kept, else the whole state."""
        snapshot = self.snapshot
        known = self.recent_log.get(request.after)
        if known is not None and decode_change(known).id != request.change_id:
            return iter([Problem(f"revision {request.after} is another change here")])
        changes = self.changes_after(request.after) if request.after > 0 else None
        if changes and decode_change(changes[0][1]).base_id == request.change_id:
            return self.split_into_parts("changes", snapshot, changes)
        tail = [(log_key(r), data) for r, data in self.recent_log.items()][
            -KEYS_PER_PAGE:
        ]
        values = itertools.chain(state_values(snapshot), tail)
        return self.split_into_parts("state", snapshot, values)

    def changes_after(self, revision: int) -> list[tuple[str, bytes]] | None:
        """Return the kept log entries after a revision, None if entries are missing."""
        kept = [
            (log_key(r), data) for r, data in self.recent_log.items() if r > revision
        ]
        if not kept or decode_change(kept[0][1]).base != revision:
            return None
        return kept

    def split_into_parts(
        self, kind: str, snapshot: Snapshot, values: Iterable[tuple[str, bytes]]
    ) -> Iterator[Message]:
        """Yield values in messages of a bounded size."""
        part = SettingsPart(kind, snapshot.revision, snapshot.change_id, self.complete)
        size = 0
        for key, value in values:
            if part.values and size + len(value) > MAX_PART_BYTES:
                yield part
                part = SettingsPart(
                    kind, snapshot.revision, snapshot.change_id, part.complete
                )
                size = 0
            part.values.append([key, value])
            size += len(value)
        yield part

    def other_hosts(self) -> list[str]:
        """Return the names of the other live hosts."""
        if self.members is None:
            return []
        own = self.members.local_member.name
        return sorted(m.name for m in self.members.live_members() if m.name != own)

    def commit(self, request: ChangeRequest) -> Result[AcceptedChange, CommitError]:
        """Write a change as one transaction and put it in force on this host."""
        with self.commit_lock:
            return CommitOperation(self, request).run()

    def commit_tree(
        self,
        fleet: FleetSettings | None,
        teams: dict[str, TeamSettings],
        *,
        author: str = "filbertyard",
        reason: str = "initial settings",
    ) -> int:
        """Commit one change for each subtree; raise FilbertyardError.

        Returns the last revision.
        """
        trees: dict[str, Any] = {}
        if fleet is not None:
            trees[FLEET] = fleet.model_dump(mode="json", exclude_unset=True)
        for name, team in teams.items():
            trees[f"teams/{name}"] = team.model_dump(mode="json", exclude_unset=True)
        revision = 0
        for path, tree in trees.items():
            request = ChangeRequest({path: tree}, author, reason)
            match self.commit(request):
                case Ok(accepted):
                    revision = accepted.revision
                case Err(error):
                    raise error
        return revision

    def find_change(self, revision: int) -> Change | None:
        """Return a log entry from memory or from the service.

        Raises KeyValueUnavailableError or SettingsError.
        """
        data = self.recent_log.get(revision)
        if data is not None:
            return decode_change(data)
        items = self.key_value.range(log_key(revision)).items
        return parse_log_item(items[0]) if items else None

    def history(self, before: int, limit: int) -> list[Change]:
        """Return log entries below a revision, newest first, as far as they are kept.

        Raises KeyValueUnavailableError.
        """
        newest = min(before - 1, self.snapshot.revision)
        found: list[Change] = []
        for revision in range(newest, max(0, newest - limit), -1):
            change = self.find_change(revision)
            if change is not None:
                found.append(change)
        return found

    def write_back_if_coordinator(self) -> None:
        """Write newer settings back if this host is the coordinator and has them."""
        if self.is_coordinator() and self.snapshot.revision >= self.newest_revision():
            self.write_back()

    def write_back(self) -> bool:
        """Write this host's newer settings over an older state of the service.

        Raises KeyValueUnavailableError. Returns false if the service is not older or
        another writer came first.
        """
        self.fault = self.read_head()
        snapshot, head = self.snapshot, self.head
        if not self.complete or snapshot.revision < self.newest_revision():
            return False
        if self.fault is None or self.fault.kind != "older":
            return False
        known = self.recent_log.get(head.revision)
        is_same_history = known is not None and decode_change(known).id == head.id
        threshold = head.revision if is_same_history and not head.writing_back else 0
        current_keys = set()
        writes: list[Write] = []
        for key, revision, value in state_items(snapshot):
            current_keys.add(key)
            if revision > threshold:
                writes.append(Put(key, value))
        for item in self.read_state_items():
            if item.key not in current_keys:
                writes.append(Delete(item.key))
        for revision, data in self.recent_log.items():
            if revision > threshold:
                writes.append(Put(log_key(revision), data))
        if not self.write_batches(writes, snapshot, head):
            return False
        self.counters["write_backs"] += 1
        log_event(
            logger,
            "settings_written_back",
            revision=snapshot.revision,
            service_revision=head.revision,
        )
        self.refresh()
        return True

    def write_batches(
        self, writes: list[Write], snapshot: Snapshot, head: Head
    ) -> bool:
        """Write in transactions that each compare the head; false if one failed."""
        batches: list[list[Write]] = [[]]
        size = 0
        for write in writes:
            length = len(write.value) if isinstance(write, Put) else 0
            if batches[-1] and (
                len(batches[-1]) >= MAX_TXN_WRITES or size + length > MAX_TXN_BYTES
            ):
                batches.append([])
                size = 0
            batches[-1].append(write)
            size += length
        mod_revision = head.mod_revision
        for number, batch in enumerate(batches, 1):
            # Until the last batch the head marks the state as incomplete.
            value = (
                encode_head(snapshot.revision, snapshot.change_id)
                if number == len(batches)
                else encode_head(head.revision, head.id, snapshot.revision)
            )
            result = self.key_value.txn(
                [Compare(HEAD_KEY, mod_revision)], [Put(HEAD_KEY, value), *batch]
            )
            if not result.succeeded:
                return False
            mod_revision = result.revision
        return True

    def run_audit(self) -> None:
        """Audit the service's values periodically while this is the coordinator."""
        while True:
            gevent.sleep(AUDIT_INTERVAL_S * (0.5 + self.random.random()))
            if not self.is_coordinator():
                continue
            try:
                self.audit()
            except KeyValueError as error:
                log_event(logger, "settings_audit_failed", error=error)

    def audit(self) -> list[str]:
        """Report and repair values that no commit wrote, and return their keys.

        Raises KeyValueUnavailableError.
        """
        self.refresh()
        snapshot, head = self.snapshot, self.head
        if self.fault is not None or not self.complete or not snapshot.revision:
            return []
        stored = {item.key: item.value for item in self.read_state_items()}
        expected = dict(state_values(snapshot))
        writes: list[Write] = []
        for key in sorted({*stored, *expected}):
            value = expected.get(key)
            if is_same_json(stored.get(key), value):
                continue
            size = len(stored.get(key, b""))
            self.record_problem(key, f"{size} bytes that no commit wrote")
            writes.append(Delete(key) if value is None else Put(key, value))
        if writes and self.write_batches(writes, snapshot, head):
            log_event(logger, "settings_repaired", keys=len(writes))
        return [write.key for write in writes]


def parse_log_tail(items: list[Item], revision: int) -> list[Change]:
    """Return the log entries that lead to a revision without a gap, oldest first."""
    tail: list[Change] = []
    for item in reversed(items):
        try:
            change = parse_log_item(item)
        except SettingsError:
            break
        if change.revision > revision:
            continue
        if change.revision != (tail[-1].base if tail else revision):
            break
        tail.append(change)
    return tail[::-1]


def order_hosts(names: set[str]) -> list[str]:
    """Return host names in the order of their hashes, the same on each host."""
    return sorted(names, key=lambda name: (xxhash.xxh64_intdigest(name), name))
