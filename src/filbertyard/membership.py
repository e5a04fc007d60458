"""The entry hosts that this host knows: probes, gossip entries, liveness."""

from __future__ import annotations

import itertools
import logging
import math
import random
import time
from collections.abc import Callable
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Literal

import gevent
import xxhash
from gevent.event import Event
from result import Ok

from .exceptions import DocumentError
from .keyvalue import Item
from .keyvalue import parse_object
from .leases import LeaseInfo
from .leases import Witness
from .logs import log_event
from .messages import Message
from .messages import message
from .peers import PeerNetwork
from .peers import control_message

logger = logging.getLogger(__name__)

HOSTS_PREFIX = "/filbertyard/hosts/"

PROBE_INTERVAL_S = 0.5

PROBE_TIMEOUT_S = 0.5

INDIRECT_PROBES = 3

SUSPICION_TIMEOUT_S = 2.0

PUSH_INTERVAL_S = 0.1

# Each push goes to this many random peers.
PUSH_FANOUT = 2

DIGEST_INTERVAL_S = 10.0

# A started host sends its first digests at shorter intervals to learn the fleet.
INITIAL_DIGESTS = 5

DIGEST_BUCKETS = 64

TARGET_JOIN_REPLIES = 3

MAX_JOIN_ATTEMPTS = 12

# Keeps a message with piggybacked entries within a few packets.
MAX_PIGGYBACK_ENTRIES = 24

# A host that has left or died is removed after this time.
HOST_RETENTION_S = 600.0

HostState = Literal["joining", "live", "leaving", "left"]

# Incarnations start at the revision of the host record, shifted left by this.
INCARNATION_SHIFT_BITS = 20

# Minor versions of host entries; of one incarnation, the highest status wins.
ALIVE = 0
SUSPECT = 1
DEAD = 2

EntryKey = tuple[str, str]


@dataclass(slots=True)
class Member:
    """One entry host; `callers` and `peers` are its addresses, `IP:PORT`."""

    name: str
    instance: str
    callers: str
    peers: str
    region: str
    availability_zone: str
    state: HostState = "live"
    lease: str = ""
    witnesses: list[list[str]] = field(default_factory=list)
    generation: int = 0

    def lease_info(self) -> LeaseInfo:
        """Return the witnesses of this host's lease."""
        pairs = tuple(Witness(host, instance) for host, instance in self.witnesses)
        return LeaseInfo(self.lease, pairs, self.generation)


@dataclass(slots=True)
class GossipEntry:
    """One gossip entry; only `writer` changes its value, with a higher version."""

    kind: str
    key: str
    writer: str
    major: int
    minor: int
    value: Any

    @property
    def version(self) -> tuple[int, int]:
        """Return the version by which entries are ordered."""
        return self.major, self.minor

    def pack(self) -> list[Any]:
        """Return the entry as message content."""
        return [
            self.kind,
            self.key,
            self.writer,
            self.major,
            self.minor,
            self.value,
        ]

    def digest(self) -> int:
        """Return the hash of key and version."""
        text = f"{self.kind}|{self.key}|{self.major}|{self.minor}"
        return xxhash.xxh64_intdigest(text)


@control_message
@message("probe")
@dataclass(slots=True)
class Probe(Message):
    """Ask a host if it is alive; carries gossip entries."""

    entries: list[list[Any]]


@control_message
@message("probe_for")
@dataclass(slots=True)
class ProbeFor(Message):
    """Ask a host to probe another one."""

    host: str


@control_message
@message("probe_result")
@dataclass(slots=True)
class ProbeResult(Message):
    """Tell if a probe was answered; carries gossip entries."""

    reached: bool
    entries: list[list[Any]]


@control_message
@message("gossip")
@dataclass(slots=True)
class Gossip(Message):
    """Carry gossip entries."""

    entries: list[list[Any]]


@control_message
@message("digest")
@dataclass(slots=True)
class Digest(Message):
    """Carry the XOR of the entry hashes in each bucket."""

    region: str
    bucket_hashes: list[int]


@control_message
@message("versions")
@dataclass(slots=True)
class Versions(Message):
    """Name the versions of the entries in the buckets that differ."""

    buckets: list[int]
    versions: list[list[Any]]


@control_message
@message("exchange")
@dataclass(slots=True)
class Exchange(Message):
    """Carry the entries that the other host lacks and ask for missing ones."""

    region: str
    entries: list[list[Any]]
    wanted: list[list[str]]


# Entries of these kinds stay within the writer's region.
REGIONAL_KINDS = {"replica"}

# A digest exchange moves at most this many entries; the next one moves more.
MAX_EXCHANGE_ENTRIES = 2000


class Membership:
    """Table of the gossip entries, among them the entry hosts."""

    def __init__(
        self, local_member: Member, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.local_member = local_member
        self.clock = clock
        self.incarnation = 0
        self.members: dict[str, Member] = {local_member.name: local_member}
        self.entries: dict[EntryKey, GossipEntry] = {}
        self.suspected_since: dict[str, float] = {}
        self.dead_since: dict[str, float] = {}
        self.remaining_sends: dict[EntryKey, int] = {}
        self.changed = Event()
        self.peers: PeerNetwork | None = None
        self.listeners: dict[str, list[Callable[[GossipEntry], None]]] = {}
        self.is_listed: Callable[[str], bool] = lambda host: False
        self.rng = random.Random(local_member.instance)
        self.replica_versions = itertools.count(1)
        self.tasks: list[gevent.Greenlet[..., None]] = []

    def attach(self, peers: PeerNetwork) -> None:
        """Answer membership messages over `peers`."""
        self.peers = peers
        peers.handle(Probe, self.handle_probe)
        peers.handle(ProbeFor, self.handle_probe_for)
        peers.handle(Gossip, self.handle_gossip)
        peers.handle(Digest, self.handle_digest)
        peers.handle(Exchange, self.handle_exchange)
        peers.stream_broken_listeners.append(self.check_soon)

    def add_listener(self, kind: str, listener: Callable[[GossipEntry], None]) -> None:
        """Call `listener` with each accepted entry of a kind."""
        self.listeners.setdefault(kind, []).append(listener)

    def start(self, incarnation: int) -> None:
        """Announce this host, with a higher incarnation if it probes already."""
        self.incarnation = max(self.incarnation, incarnation)
        self.publish_own()
        if self.tasks:
            return
        self.tasks = [
            gevent.spawn(self.run_probes),
            gevent.spawn(self.run_pushes),
            gevent.spawn(self.run_digests),
        ]

    def stop(self) -> None:
        """Stop probing."""
        for task in self.tasks:
            task.kill(block=False)

    def publish_own(self) -> None:
        """Announce the present state of this host."""
        self.incarnation += 1
        status = DEAD if self.local_member.state == "left" else ALIVE
        self.publish(
            "host",
            self.local_member.name,
            self.incarnation,
            status,
            asdict(self.local_member),
        )

    def publish(self, kind: str, key: str, major: int, minor: int, value: Any) -> None:
        """Write an entry of this host."""
        self.merge_entry(
            GossipEntry(kind, key, self.local_member.name, major, minor, value)
        )

    def publish_replica(self, replica: str, fence: int, value: Any) -> None:
        """Publish the state of a replica that this host owns."""
        entry = self.entries.get(("replica", replica))
        if entry is None or entry.value != value or entry.major != fence:
            self.publish("replica", replica, fence, next(self.replica_versions), value)

    def value(self, kind: str, key: str) -> Any:
        """Return the value of an entry, None if there is none."""
        entry = self.entries.get((kind, key))
        return entry.value if entry is not None else None

    def merge_entry(self, entry: GossipEntry) -> bool:
        """Store an entry if it is newer than the known one."""
        key = (entry.kind, entry.key)
        known = self.entries.get(key)
        if known is not None and known.version >= entry.version:
            return False
        if entry.kind == "host" and not self.merge_host_entry(entry):
            return False
        self.entries[key] = entry
        self.remaining_sends[key] = self.retransmissions()
        self.changed.set()
        for listener in self.listeners.get(entry.kind, []):
            listener(entry)
        return True

    def merge_host_entry(self, entry: GossipEntry) -> bool:
        """Update the member of a host entry; refute wrong entries about this host."""
        name = entry.key
        if name == self.local_member.name and entry.writer != self.local_member.name:
            return False
        if (
            name == self.local_member.name
            and entry.value["instance"] != self.local_member.instance
        ):
            return False
        if name == self.local_member.name:
            stale = entry.major < self.incarnation
            contradicted = entry.minor != ALIVE and self.local_member.state != "left"
            if stale or contradicted:
                self.incarnation = max(self.incarnation, entry.major)
                self.publish_own()
                return False
            return True
        if entry.minor == DEAD and name not in self.members:
            return False
        names = Member.__dataclass_fields__
        member = Member(**{k: v for k, v in entry.value.items() if k in names})
        before = self.members.get(name)
        self.members[name] = member
        self.suspected_since.pop(name, None)
        self.dead_since.pop(name, None)
        if entry.minor == SUSPECT:
            self.suspected_since[name] = self.clock()
        if entry.minor == DEAD:
            self.dead_since[name] = self.clock()
        if before is None or before.state != member.state or entry.minor != ALIVE:
            log_event(
                logger,
                ("host_alive", "host_suspected", "host_dead")[entry.minor],
                peer=name,
                instance=member.instance,
                state=member.state,
            )
        return True

    def add_unconfirmed(self, member: Member, incarnation: int) -> None:
        """Add a host known from a record; it is suspected until it announces itself."""
        key = ("host", member.name)
        if member.name == self.local_member.name or key in self.entries:
            return
        value = asdict(member)
        self.entries[key] = GossipEntry(*key, member.name, incarnation, SUSPECT, value)
        self.members[member.name] = member
        self.suspected_since[member.name] = self.clock()

    def join(self) -> None:
        """Synchronize all entries with a few of the recorded hosts."""
        others = self.other_members()
        self.rng.shuffle(others)
        answered = 0
        for member in others[:MAX_JOIN_ATTEMPTS]:
            answered += self.sync_with(member)
            if answered >= TARGET_JOIN_REPLIES:
                return

    def retransmissions(self) -> int:
        """Return how often a changed entry is sent."""
        return math.ceil(math.log2(len(self.members) + 1)) + 3

    def find_peer_address(self, host: str) -> str | None:
        """Return the address at which `host` listens for other hosts."""
        member = self.members.get(host)
        return member.peers if member is not None else None

    def is_dead(self, host: str) -> bool:
        """Tell if a host was declared dead or has left."""
        return host in self.dead_since

    def has_announced_itself(self, host: str) -> bool:
        """Tell if a host is known by its own announcement, not only by its record."""
        entry = self.entries.get(("host", host))
        return entry is not None and entry.major % (1 << INCARNATION_SHIFT_BITS) != 0

    def is_reachable(self, host: str) -> bool:
        """Tell if a host is known, not suspected and not dead."""
        return (
            host in self.members
            and host not in self.dead_since
            and host not in self.suspected_since
        )

    def reachable_members(self) -> list[Member]:
        """Return the hosts that are neither suspected nor dead."""
        return [m for m in self.members.values() if self.is_reachable(m.name)]

    def live_members(self) -> list[Member]:
        """Return the hosts that can take work."""
        return [m for m in self.reachable_members() if m.state == "live"]

    def other_members(self) -> list[Member]:
        """Return the other hosts that were not declared dead."""
        return [
            m
            for m in self.members.values()
            if m.name != self.local_member.name and m.name not in self.dead_since
        ]

    def take_entries_for_region(self, region: str) -> list[list[Any]]:
        """Return the entries to piggyback on a message to a host of `region`."""
        taken = []
        for key in sorted(self.remaining_sends, key=lambda k: -self.remaining_sends[k]):
            entry = self.entries.get(key)
            if entry is None or self.remaining_sends[key] <= 0:
                del self.remaining_sends[key]
                continue
            if entry.kind in REGIONAL_KINDS and region != self.local_member.region:
                continue
            self.remaining_sends[key] -= 1
            taken.append(entry.pack())
            if len(taken) >= MAX_PIGGYBACK_ENTRIES:
                break
        return taken

    def take_entries_for_host(self, host: str) -> list[list[Any]]:
        """Return the entries to piggyback on a message to `host`."""
        member = self.members.get(host)
        return self.take_entries_for_region(member.region if member is not None else "")

    def merge_entries(self, entries: list[list[Any]]) -> None:
        """Merge received entries."""
        for packed in entries:
            self.merge_entry(GossipEntry(*packed[:6]))

    def handle_probe(self, host: str, probe: Probe) -> Message:
        """Answer a probe."""
        self.merge_entries(probe.entries)
        return ProbeResult(True, self.take_entries_for_host(host))

    def handle_probe_for(self, host: str, request: ProbeFor) -> Message:
        """Probe a host for another one."""
        return ProbeResult(self.probe(request.host), [])

    def handle_gossip(self, host: str, gossip: Gossip) -> None:
        """Merge pushed entries."""
        self.merge_entries(gossip.entries)

    def probe(self, host: str) -> bool:
        """Tell if `host` answers a probe."""
        if self.peers is None:
            return False
        probe = Probe(self.take_entries_for_host(host))
        match self.peers.call(host, probe, PROBE_TIMEOUT_S):
            case Ok(ProbeResult() as result):
                self.merge_entries(result.entries)
                return True
            case _:
                return False

    def probe_indirectly(self, through: str, host: str) -> bool:
        """Tell if `host` answers a probe of the host `through`."""
        if self.peers is None:
            return False
        match self.peers.call(through, ProbeFor(host), 2 * PROBE_TIMEOUT_S):
            case Ok(ProbeResult() as result):
                return result.reached
            case _:
                return False

    def run_probes(self) -> None:
        """Probe one random host at each interval and expire suspicions."""
        while True:
            gevent.sleep(PROBE_INTERVAL_S * self.rng.uniform(0.9, 1.1))
            self.expire_suspicions()
            others = self.other_members()
            if others:
                gevent.spawn(self.check, self.rng.choice(others).name)

    def check_soon(self, host: str) -> None:
        """Probe a host whose stream broke."""
        if (
            host in self.members
            and host not in self.dead_since
            and host != self.local_member.name
        ):
            gevent.spawn(self.check, host)

    def check(self, host: str) -> None:
        """Probe a host; suspect it if indirect probes fail as well."""
        if self.probe(host) or self.local_member.state == "left":
            return
        helpers = [
            m.name
            for m in self.reachable_members()
            if m.name not in (host, self.local_member.name)
        ]
        chosen = self.rng.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        probes = [gevent.spawn(self.probe_indirectly, name, host) for name in chosen]
        for probe in gevent.iwait(probes):
            if probe.value:
                gevent.killall(probes, block=False)
                return
        self.mark_status(host, SUSPECT)

    def mark_status(self, host: str, status: int) -> None:
        """Publish that a host is suspected or dead."""
        entry = self.entries.get(("host", host))
        if entry is not None and entry.minor < status:
            self.merge_entry(
                GossipEntry(
                    "host", host, entry.writer, entry.major, status, entry.value
                )
            )

    def expire_suspicions(self) -> None:
        """Declare hosts dead that did not refute in time, and remove old ones."""
        now = self.clock()
        for host, since in list(self.suspected_since.items()):
            if now - since >= SUSPICION_TIMEOUT_S:
                self.mark_status(host, DEAD)
        for host, since in list(self.dead_since.items()):
            if now - since >= HOST_RETENTION_S and not self.is_listed(host):
                del self.dead_since[host]
                self.members.pop(host, None)
                self.entries.pop(("host", host), None)

    def run_pushes(self) -> None:
        """Push changed entries to a few random hosts."""
        while True:
            self.changed.wait()
            gevent.sleep(PUSH_INTERVAL_S)
            self.push()
            if not any(count > 0 for count in self.remaining_sends.values()):
                self.remaining_sends.clear()
                self.changed.clear()

    def push(self) -> None:
        """Push changed entries once."""
        others = self.other_members()
        if not others:
            self.remaining_sends.clear()
        for member in self.rng.sample(others, min(PUSH_FANOUT, len(others))):
            entries = self.take_entries_for_region(member.region)
            if entries and self.peers is not None:
                gevent.spawn(self.peers.call, member.name, Gossip(entries), 1.0)

    def run_digests(self) -> None:
        """Synchronize with one random host at each interval.

        A host declared dead is tried as well, so that regions reconnect after a
        network partition.
        """
        for number in itertools.count():
            others = self.other_members()
            if others:
                self.sync_with(self.rng.choice(others))
            lost = [
                name for name in self.dead_since if self.members[name].state != "left"
            ]
            if lost:
                self.sync_with(self.members[self.rng.choice(lost)])
            pause = 1.0 if number < INITIAL_DIGESTS else DIGEST_INTERVAL_S
            gevent.sleep(pause * self.rng.uniform(0.8, 1.2))

    def shared_entries(self, region: str) -> list[GossipEntry]:
        """Return the entries that a host of `region` holds as well."""
        return [
            entry
            for entry in self.entries.values()
            if entry.kind not in REGIONAL_KINDS or region == self.local_member.region
        ]

    def bucket_hashes(self, region: str) -> list[int]:
        """Return the XOR of the entry hashes in each bucket."""
        bucket_hashes = [0] * DIGEST_BUCKETS
        for entry in self.shared_entries(region):
            bucket_hashes[bucket_of(entry.kind, entry.key)] ^= entry.digest()
        return bucket_hashes

    def sync_with(self, member: Member) -> bool:
        """Synchronize all entries with one host; return False if it did not answer."""
        if self.peers is None:
            return False
        digest = Digest(self.local_member.region, self.bucket_hashes(member.region))
        match self.peers.call(member.name, digest, 2.0):
            case Ok(Versions() as theirs):
                pass
            case _:
                return False
        if not theirs.buckets:
            return True
        versions = {(kind, key): (a, b) for kind, key, a, b in theirs.versions}
        wanted = [
            list(key)
            for key, version in versions.items()
            if key not in self.entries or self.entries[key].version < version
        ]
        newer = [
            entry.pack()
            for entry in self.shared_entries(member.region)
            if bucket_of(entry.kind, entry.key) in theirs.buckets
            and versions.get((entry.kind, entry.key), (-1, -1)) < entry.version
        ]
        exchange = Exchange(
            self.local_member.region,
            newer[:MAX_EXCHANGE_ENTRIES],
            wanted[:MAX_EXCHANGE_ENTRIES],
        )
        match self.peers.call(member.name, exchange, 2.0):
            case Ok(Gossip() as gossip):
                self.merge_entries(gossip.entries)
            case _:
                return False
        return True

    def handle_digest(self, host: str, digest: Digest) -> Message:
        """Answer with the versions in the buckets that differ."""
        bucket_hashes = self.bucket_hashes(digest.region)
        differ = [
            number
            for number, (mine, theirs) in enumerate(
                zip(bucket_hashes, digest.bucket_hashes, strict=True)
            )
            if mine != theirs
        ]
        versions = [
            [entry.kind, entry.key, entry.major, entry.minor]
            for entry in self.shared_entries(digest.region)
            if bucket_of(entry.kind, entry.key) in differ
        ]
        return Versions(differ, versions)

    def handle_exchange(self, host: str, exchange: Exchange) -> Message:
        """Merge the received entries and answer with the wanted ones."""
        self.merge_entries(exchange.entries)
        found = [
            self.entries[kind, key].pack()
            for kind, key in exchange.wanted
            if (kind, key) in self.entries
        ]
        return Gossip(found)


def bucket_of(kind: str, key: str) -> int:
    """Return the digest bucket of an entry."""
    return xxhash.xxh64_intdigest(f"{kind}|{key}") % DIGEST_BUCKETS


def parse_member(item: Item) -> Member:
    """Parse the member in a host record; raise DocumentError."""
    value = parse_object(item)
    names = Member.__dataclass_fields__
    try:
        return Member(**{k: v for k, v in value.items() if k in names})
    except (TypeError, ValueError) as error:
        raise DocumentError(item.key, repr(error)) from error
