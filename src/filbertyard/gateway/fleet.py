"""The other hosts of the fleet: which are alive, and how broadcasts reach them."""

from __future__ import annotations

import logging
import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace

import gevent

from ..logs import log_event
from ..messages import Message
from ..peers import PeerNetwork
from .hubs import MAX_MESH_HOSTS
from .hubs import all_hubs
from .hubs import is_hub_for
from .hubs import rendezvous_order
from .hubs import select_feed_hubs
from .hubs import watches_store
from .messages import Digest
from .messages import Roster
from .rosters import RosterReader
from .rosters import RosterWriter
from .state import GatewayState

logger = logging.getLogger(__name__)

# Interval between the digests that a host sends.
DIGEST_INTERVAL_S = 0.5

# Messages of one kind that a host sends to others per second.
MAX_MESSAGES_PER_S = 200

# A host without a heartbeat for this long is left out of the addresses for callers.
PEER_TIMEOUT_S = 1.6

# A host that got no message from a hub of its zone for this long sends to all others
# itself: two rosters were missed, with half an interval for delays.
HUB_TIMEOUT_S = 1.25

# A new host gets a heartbeat of each live host in the store within this time.
STARTUP_DISCOVERY_S = 2.0

# Heartbeats from other zones pass one more hub in a large fleet, so that they are older
# by an interval with its jitter and the rounding of ages.
RELAY_DELAY_S = 0.65

# Hubs send the full list of hosts to their spokes this often, and at each change.
FULL_ROSTER_INTERVAL_S = 2.0

# The same for the hosts of a zone to the hubs of the others.
FULL_ZONE_ROSTER_INTERVAL_S = 6.0


@dataclass(slots=True)
class PeerHost:
    """Another host; `last_seen_at` is its last heartbeat, direct or through a hub.

    `last_message_at` is the last digest or roster that it sent here. Both are on the
    monotonic clock.
    """

    digest: Digest
    last_seen_at: float
    last_message_at: float


class Fleet:
    """The other hosts as this one knows them, and the recipients of its messages."""

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        state: GatewayState,
        zone: str,
        seeds: tuple[str, ...],
        describe: Callable[[], Digest],
        compare_revisions: Callable[[str, dict[str, int], float, float], None],
        on_restart: Callable[[str], None],
    ) -> None:
        self.peers = peers
        self.id = peers.host
        self.state = state
        self.zone = zone
        self.seeds = seeds
        self.describe = describe
        self.compare_revisions = compare_revisions
        self.on_restart = on_restart
        self.members: dict[str, PeerHost] = {}
        self.rosters = RosterReader()
        self.spoke_rosters = RosterWriter("", FULL_ROSTER_INTERVAL_S)
        self.zone_rosters = RosterWriter(zone, FULL_ZONE_ROSTER_INTERVAL_S)
        self.hub_zones: dict[str, str] = {}
        self.known_hubs: dict[str, str] = {}
        self.started_at = time.monotonic()
        self.connected_since = math.inf
        peers.handle(Digest, self.handle_digest)
        peers.handle(Roster, self.handle_roster)

    # Live hosts.

    def peer_ids(self) -> set[str]:
        """Return the other known hosts, with the seeds while the store lists none."""
        ids = set(self.state.hosts) | set(self.members)
        if not self.state.hosts:
            ids |= set(self.seeds)
        return ids - {self.id}

    def reachable(self) -> set[str]:
        """Return the hosts with a recent heartbeat."""
        now = time.monotonic()
        is_large = self.is_large()
        return {
            key
            for key, peer in self.members.items()
            if now - peer.last_seen_at < self.timeout_s(peer, is_large)
        }

    def is_expected(self, host: str, instance: str) -> bool:
        """Tell if a process of another host is live, as far as this one can know.

        Until the first heartbeats are due, a new host presumes this of the processes
        that are registered in the store.
        """
        if host in self.members:
            return host in self.reachable()
        record = self.state.hosts.get(host)
        return (
            self.is_new()
            and record is not None
            and record.instance == instance
            and not record.is_leaving
        )

    def timeout_s(self, peer: PeerHost, is_large: bool) -> float:
        """Return after how long without a heartbeat a host is left out."""
        is_relayed = is_large and peer.digest.zone != self.zone
        return PEER_TIMEOUT_S + RELAY_DELAY_S * is_relayed

    def active_zones(self) -> dict[str, str]:
        """Return the availability zones of the live hosts that are not stopping."""
        return {
            key: self.members[key].digest.zone
            for key in self.reachable()
            if not self.members[key].digest.is_leaving
        }

    def zone_peers(self) -> dict[str, bool]:
        """Return the live hosts of this zone and whether the store answers them."""
        return {
            key: self.members[key].digest.is_connected
            for key, zone in self.active_zones().items()
            if zone == self.zone
        }

    def feed_hub(self) -> str:
        """Return the first feed hub of this zone, empty if it is this host."""
        peers = self.zone_peers()
        connected = [key for key, is_answered in peers.items() if is_answered]
        first = select_feed_hubs([*connected, self.id])[0]
        return first if first != self.id else ""

    def connected_hosts(self) -> list[str]:
        """Return the other live hosts that the store answers, those of the zone first.

        The order differs from host to host, which spreads what they are asked.
        """
        found = [
            key
            for key in rendezvous_order(self.id, self.active_zones())
            if self.members[key].digest.is_connected
        ]
        return sorted(found, key=lambda key: self.members[key].digest.zone != self.zone)

    def expected_zone_peers(self) -> dict[str, bool]:
        """Return the hosts of this zone presumed alive, as `zone_peers` does.

        Until their first heartbeats are due, a new host presumes that those in the
        store are alive and connected. Otherwise every new host would watch the store
        itself, and the calls at the start of a fleet grow with its size.
        """
        found = self.zone_peers()
        if self.is_new():
            for key, host in self.state.hosts.items():
                is_presumed = key not in self.members and not host.is_leaving
                if is_presumed and host.availability_zone == self.zone:
                    found.setdefault(key, True)
        found.pop(self.id, None)
        return found

    def watches_store(self) -> bool:
        """Tell if this host watches the store itself."""
        own = self.describe()
        # All hosts of the zone that connect again at the store's return would watch it
        # if each counted on itself before the others could know.
        connected_s = time.monotonic() - self.connected_since
        is_known_connected = own.is_connected and connected_s >= HUB_TIMEOUT_S
        return own.is_leaving or watches_store(
            self.id, self.expected_zone_peers(), self.is_new() or is_known_connected
        )

    def update_connection(self) -> None:
        """Record since when the store has been answering this host."""
        is_connected = self.describe().is_connected
        since = min(self.connected_since, time.monotonic())
        self.connected_since = since if is_connected else math.inf

    # Recipients.

    def is_new(self) -> bool:
        """Tell if the first heartbeats of other hosts may still be missing."""
        return time.monotonic() - self.started_at < STARTUP_DISCOVERY_S

    def expected_zones(self) -> dict[str, str]:
        """Return the availability zones of the hosts presumed alive, with this one.

        A new host presumes those in the store alive until their first heartbeats are
        due: with fewer hosts, it would select other hubs than the rest of the fleet.
        """
        found = {**self.active_zones(), self.id: self.zone}
        if self.is_new():
            for key, host in self.state.hosts.items():
                if key not in self.members and not host.is_leaving:
                    found.setdefault(key, host.availability_zone)
        return found

    def selected_hosts(self, key: str) -> list[str]:
        """Return the hosts in the order in which they decide what `key` names."""
        hosts = set(self.expected_zones())
        if len(hosts) > 1 and self.describe().is_leaving:
            hosts.discard(self.id)
        return rendezvous_order(key, hosts)

    def is_minority(self) -> bool:
        """Tell if this host does not hear most of the others: they may decide alone."""
        return 2 * len(self.expected_zones()) <= len(self.state.hosts)

    def hubs(self) -> dict[str, str]:
        """Return the hubs of a large fleet and their availability zones."""
        zones = self.expected_zones()
        if zones != self.hub_zones:
            self.hub_zones = zones
            self.known_hubs = {key: zones[key] for key in all_hubs(zones)}
        return self.known_hubs

    def is_hub(self) -> bool:
        """Tell if this host sends messages on to others of its zone."""
        return self.is_large() and self.id in self.hubs()

    def spokes(self) -> set[str]:
        """Return the hosts to which this one sends messages on."""
        if not self.is_hub():
            return set()
        hubs = self.hubs()
        zone_hubs = {key for key, zone in hubs.items() if zone == self.zone}
        return {
            key
            for key in self.reachable() - set(hubs)
            if self.members[key].digest.zone == self.zone
            and is_hub_for(self.id, key, zone_hubs)
        }

    def is_large(self) -> bool:
        """Tell if the fleet is too large for every host to message every other one."""
        if len(self.members) >= MAX_MESH_HOSTS:
            return True
        return len(self.peer_ids()) >= MAX_MESH_HOSTS

    def broadcast_targets(self) -> set[str]:
        """Return the hosts to which this one sends its broadcasts directly."""
        if not self.is_large():
            return self.peer_ids()
        hubs = self.hubs()
        last_messages = [
            self.members[key].last_message_at
            for key, zone in hubs.items()
            if zone == self.zone and key in self.members
        ]
        silent_s = time.monotonic() - max([self.started_at, *last_messages])
        if self.id in hubs or silent_s < HUB_TIMEOUT_S:
            return set(hubs) - {self.id}
        return self.peer_ids()

    def heartbeat_targets(self) -> set[str]:
        """Return the hosts to which this one sends its heartbeats directly.

        In a large fleet only the hubs of its zone get them, and pass them on.
        """
        found = self.broadcast_targets()
        if not self.is_large():
            return found
        hubs = self.hubs()
        if not found <= set(hubs):
            # The hubs of the zone are silent.
            return found
        return {key for key in found if hubs[key] == self.zone}

    def send_interval_s(self, min_interval_s: float) -> float:
        """Return an interval between broadcasts that bounds the rate of messages."""
        return max(min_interval_s, len(self.broadcast_targets()) / MAX_MESSAGES_PER_S)

    def broadcast(self, message: Message) -> None:
        """Send a message that all hosts should get."""
        self.send(self.broadcast_targets(), message)

    def send_to_spokes(self, message: Message) -> None:
        """Send a message to the spokes of this hub."""
        self.send(self.spokes(), message)

    def send(self, hosts: set[str] | dict[str, bool], message: Message) -> None:
        """Send a message without a reply; a failure shows as missing heartbeats."""
        for host in hosts:
            gevent.spawn(self.peers.send_one_way, host, message)

    # Heartbeats.

    def run(self) -> None:
        """Send heartbeats to the other hosts, forever."""
        while True:
            self.update_connection()
            self.send_heartbeats()
            self.drop_silent_hosts()
            self.state.drop_expired_replicas(time.monotonic())
            gevent.sleep(
                self.send_interval_s(DIGEST_INTERVAL_S) * random.uniform(0.9, 1.1)
            )

    def send_heartbeats(self) -> None:
        """Send this host's heartbeat and, as a hub, those that it knows."""
        self.send(self.heartbeat_targets(), self.describe())
        if not self.is_hub():
            return
        now = time.monotonic()
        own = self.describe()
        seen = {
            key: (peer.digest, peer.last_seen_at) for key, peer in self.members.items()
        }
        spokes = self.spokes()
        if spokes:
            self.send(spokes, self.spoke_rosters.create(own, seen, spokes, now))
        other_hubs = {key for key, zone in self.hubs().items() if zone != self.zone}
        if other_hubs:
            of_zone = {
                key: (digest, at)
                for key, (digest, at) in seen.items()
                if digest.zone == self.zone
            }
            roster = self.zone_rosters.create(own, of_zone, other_hubs, now)
            self.send(other_hubs, roster)

    def drop_silent_hosts(self) -> None:
        """Remove silent hosts that the store does not list; reconnect to others."""
        now = time.monotonic()
        for key, peer in list(self.members.items()):
            if (
                now - peer.last_seen_at > 10 * PEER_TIMEOUT_S
                and key not in self.state.hosts
            ):
                del self.members[key]
                self.rosters.forget(key)
                self.on_restart(key)
            elif now - peer.last_seen_at > 2 * PEER_TIMEOUT_S:
                # The stream may be stalled while a new one would work.
                self.peers.disconnect(key)

    def handle_digest(self, peer: str, digest: Digest) -> None:
        """Record the digest of another host."""
        now = time.monotonic()
        self.record_heartbeat(digest, now)
        self.members[peer].last_message_at = now
        self.compare_revisions(peer, digest.revisions, now, digest.confirmed_age_s)

    def handle_roster(self, peer: str, roster: Roster) -> None:
        """Record what a hub sends about all hosts."""
        now = time.monotonic()
        found = self.rosters.read(peer, roster)
        if not found:
            return
        for digest, age_s in found:
            if digest.host != self.id:
                self.record_heartbeat(digest, now - age_s)
        if peer in self.members:
            self.members[peer].last_message_at = now
        self.compare_revisions(peer, roster.revisions, now, roster.confirmed_age_s)

    def record_heartbeat(self, digest: Digest, at: float) -> None:
        """Record a heartbeat as of `at`, unless a newer one is known."""
        known = self.members.get(digest.host)
        if known is None:
            log_event(
                logger, "peer_discovered", peer=digest.host, instance=digest.instance
            )
            self.members[digest.host] = PeerHost(digest, at, -math.inf)
            return
        if at < known.last_seen_at:
            return
        if known.digest.instance != digest.instance:
            log_event(
                logger, "peer_discovered", peer=digest.host, instance=digest.instance
            )
            self.on_restart(digest.host)
        elif at - known.last_seen_at > PEER_TIMEOUT_S + RELAY_DELAY_S:
            log_event(
                logger,
                "peer_recovered",
                peer=digest.host,
                silent_s=at - known.last_seen_at,
            )
        elif known.digest.is_leaving and not digest.is_leaving:
            # The digest is from a hub that does not know yet that the host is stopping.
            digest = replace(digest, is_leaving=True)
        known.digest = digest
        known.last_seen_at = at

    def caller_addresses(self) -> list[str]:
        """Return the addresses where callers can connect to other hosts."""
        return [self.members[key].digest.callers for key in self.active_zones()]
