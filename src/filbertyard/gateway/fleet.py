"""The other hosts of the fleet: which live, and how messages for all of them travel."""

from __future__ import annotations

import logging
import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from typing import Any

import gevent

from ..logs import log_event
from ..messages import Message
from ..peers import PeerNetwork
from .messages import Digest
from .messages import FeedPush
from .messages import Roster
from .relays import MESH_HOSTS
from .relays import all_speakers
from .relays import follows_store
from .relays import speaks_for
from .state import GatewayState

logger = logging.getLogger(__name__)

# Pause between the digests that a host sends.
DIGEST_PAUSE_S = 0.5

# Messages of one kind that a host sends to others, a second.
MESSAGES_PER_S = 200

# A host that sent nothing for this long is left out of the answers where to connect.
SILENT_S = 1.6

# A host to which no speaker spoke for this long tells all others itself: two rosters
# were missed, with half a pause for delays.
SPEAKER_SILENT_S = 1.25

# Hosts that the store lists give a sign of life to a new host within this time.
SETTLE_S = 2.0

# The speakers of a zone pass on the whole list of hosts this often, and at each change.
ROSTER_PAUSE_S = 2.0

# Unit of the ages in a roster; its last value stands for hosts silent for longer.
AGE_UNIT_S = 0.1
MAX_AGE = 255


@dataclass(slots=True)
class PeerHost:
    """Another host; `at` is its last sign of life, `told_at` the last one sent here.

    Both are on the monotonic clock.
    """

    digest: Digest
    at: float
    told_at: float


class Fleet:
    """What this host knows of the others, and whom it tells what."""

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        state: GatewayState,
        zone: str,
        seeds: tuple[str, ...],
        describe: Callable[[], Digest],
        note_revisions: Callable[[str, dict[str, int], float], None],
        note_restarted: Callable[[str], None],
    ) -> None:
        self.peers = peers
        self.id = peers.host
        self.state = state
        self.zone = zone
        self.seeds = seeds
        self.describe = describe
        self.note_revisions = note_revisions
        self.note_restarted = note_restarted
        self.known: dict[str, PeerHost] = {}
        self.rosters: dict[str, Roster] = {}
        self.roster_rows: list[list[Any]] = []
        self.roster_followers: set[str] = set()
        self.roster_number = 0
        self.roster_at = -math.inf
        self.started_at = time.monotonic()
        peers.handle(Digest, self.take_digest)
        peers.handle(Roster, self.take_roster)

    # Who lives.

    def ids(self) -> set[str]:
        """Return the other hosts that this one knows or is told to try."""
        ids = set(self.state.hosts) | set(self.known)
        if not self.state.hosts:
            ids |= set(self.seeds)
        return ids - {self.id}

    def reachable(self) -> set[str]:
        """Return the hosts that gave a sign of life a moment ago."""
        now = time.monotonic()
        return {key for key, peer in self.known.items() if now - peer.at < SILENT_S}

    def staying(self) -> dict[str, str]:
        """Return the availability zones of the live hosts that do not stop."""
        now = time.monotonic()
        return {
            key: peer.digest.zone
            for key, peer in self.known.items()
            if now - peer.at < SILENT_S and not peer.digest.is_leaving
        }

    def zone_peers(self) -> dict[str, bool]:
        """Return the live hosts of this zone and whether the store answers them."""
        return {
            key: self.known[key].digest.is_connected
            for key, zone in self.staying().items()
            if zone == self.zone
        }

    def follows_store(self) -> bool:
        """Tell if this host follows the store itself."""
        return self.describe().is_leaving or follows_store(self.id, self.zone_peers())

    # Whom to tell.

    def expected(self) -> dict[str, str]:
        """Return the availability zones of the hosts that live as far as known here.

        A new host takes those that the store lists for alive until they should have
        given a sign of life: with fewer, it would take other hosts for speakers.
        """
        found = {**self.staying(), self.id: self.zone}
        if time.monotonic() - self.started_at < SETTLE_S:
            for key, host in self.state.hosts.items():
                if key not in self.known and not host.is_leaving:
                    found.setdefault(key, host.availability_zone)
        return found

    def speakers(self) -> dict[str, str]:
        """Return the speakers of a large fleet and their availability zones."""
        zones = self.expected()
        return {key: zones[key] for key in all_speakers(zones)}

    def is_speaker(self) -> bool:
        """Tell if this host passes messages on to the others of its zone."""
        return self.is_large() and self.id in self.speakers()

    def followers(self) -> set[str]:
        """Return the hosts to which this one passes messages on."""
        if not self.is_speaker():
            return set()
        speakers = self.speakers()
        own = {key for key, zone in speakers.items() if zone == self.zone}
        return {
            key
            for key in self.reachable() - set(speakers)
            if self.known[key].digest.zone == self.zone
            and speaks_for(self.id, key, own)
        }

    def is_large(self) -> bool:
        """Tell if the fleet is too large for every host to tell every other one."""
        return len(self.ids()) >= MESH_HOSTS

    def audience(self) -> set[str]:
        """Return the hosts that this one tells itself what all should know."""
        if not self.is_large():
            return self.ids()
        speakers = self.speakers()
        told_at = [
            self.known[key].told_at
            for key, zone in speakers.items()
            if zone == self.zone and key in self.known
        ]
        silent_s = time.monotonic() - max([self.started_at, *told_at])
        if self.id in speakers or silent_s < SPEAKER_SILENT_S:
            return set(speakers) - {self.id}
        return self.ids()

    def pause_s(self, least_s: float) -> float:
        """Return a pause between messages to all hosts that bounds their rate."""
        return max(least_s, len(self.audience()) / MESSAGES_PER_S)

    def tell_all(self, message: Message) -> None:
        """Send a message that all hosts should know."""
        self.tell(self.audience(), message)

    def pass_on(self, message: Message) -> None:
        """Send a message to the hosts that this one speaks for."""
        self.tell(self.followers(), message)

    def push_feed(self, push: FeedPush) -> None:
        """Pass changes of a feed on to the other hosts of the zone."""
        self.tell(self.zone_peers(), push)

    def tell(self, hosts: set[str] | dict[str, bool], message: Message) -> None:
        """Send a message without a reply; a failure shows in the peer's silence."""
        for host in hosts:
            gevent.spawn(self.peers.send_one_way, host, message)

    # Signs of life.

    def run(self) -> None:
        """Tell the other hosts that this one lives, for ever."""
        while True:
            self.tell_all(self.describe())
            followers = self.followers()
            if followers:
                self.tell(followers, self.roster(followers))
            self.forget()
            self.state.expire_lapsed(time.monotonic())
            gevent.sleep(self.pause_s(DIGEST_PAUSE_S) * random.uniform(0.9, 1.1))

    def forget(self) -> None:
        """Drop hosts that neither the store nor their digests name any more."""
        now = time.monotonic()
        for key, peer in list(self.known.items()):
            if now - peer.at > 10 * SILENT_S and key not in self.state.hosts:
                del self.known[key]
                self.rosters.pop(key, None)
                self.note_restarted(key)
            elif now - peer.at > 2 * SILENT_S:
                # The stream may have fallen silent while a new one would work.
                self.peers.disconnect(key)

    def roster(self, followers: set[str]) -> Roster:
        """Return the hosts that this one knows and the ages of their signs of life.

        The list itself is left out while it and the followers are unchanged.
        """
        now = time.monotonic()
        own = self.describe()
        rows = [identity(own)]
        rows += [identity(self.known[key].digest) for key in sorted(self.known)]
        is_new = rows != self.roster_rows
        is_due = now - self.roster_at >= ROSTER_PAUSE_S
        if is_new or is_due or followers - self.roster_followers:
            self.roster_number += is_new
            self.roster_rows = rows
            self.roster_at = now
        self.roster_followers = followers
        ages = [0] + [
            min(MAX_AGE, math.ceil((now - self.known[key].at) / AGE_UNIT_S))
            for key in sorted(self.known)
        ]
        is_whole = self.roster_at == now
        return Roster(
            self.roster_number, rows if is_whole else [], bytes(ages), own.revisions
        )

    def take_digest(self, peer: str, digest: Digest) -> None:
        """Take over what another host tells of itself."""
        now = time.monotonic()
        self.note_alive(digest, now)
        self.known[peer].told_at = now
        self.note_revisions(peer, digest.revisions, now)

    def take_roster(self, peer: str, roster: Roster) -> None:
        """Take over what a speaker tells of all hosts."""
        now = time.monotonic()
        if roster.rows:
            self.rosters[peer] = roster
        whole = self.rosters.get(peer)
        if whole is None or whole.number != roster.number:
            # The speaker sends the whole list again within its pause.
            return
        for row, age in zip(whole.rows, roster.ages, strict=True):
            host, instance, callers, zone, is_leaving, is_connected = row
            if host != self.id and age < MAX_AGE:
                digest = Digest(
                    host, instance, callers, zone, is_leaving, is_connected, {}
                )
                self.note_alive(digest, now - age * AGE_UNIT_S)
        if peer in self.known:
            self.known[peer].told_at = now
        self.note_revisions(peer, roster.revisions, now)

    def note_alive(self, digest: Digest, at: float) -> None:
        """Take over a sign of life as of `at`, unless a newer one is known."""
        known = self.known.get(digest.host)
        if known is None:
            log_event(logger, "peer_heard", peer=digest.host, instance=digest.instance)
            self.known[digest.host] = PeerHost(digest, at, -math.inf)
            return
        if at < known.at:
            return
        if known.digest.instance != digest.instance:
            log_event(logger, "peer_heard", peer=digest.host, instance=digest.instance)
            self.note_restarted(digest.host)
        elif at - known.at > SILENT_S:
            log_event(logger, "peer_back", peer=digest.host, silent_s=at - known.at)
        elif known.digest.is_leaving and not digest.is_leaving:
            # A speaker has not heard yet that the host stops.
            digest = replace(digest, is_leaving=True)
        known.digest = digest
        known.at = at

    def caller_addresses(self) -> list[str]:
        """Return where callers can connect to other hosts."""
        return [self.known[key].digest.callers for key in self.staying()]


def identity(digest: Digest) -> list[Any]:
    """Return the fields of a digest that do not change from one to the next."""
    return [
        digest.host,
        digest.instance,
        digest.callers,
        digest.zone,
        digest.is_leaving,
        digest.is_connected,
    ]
