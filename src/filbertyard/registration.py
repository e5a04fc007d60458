"""The record of this host in the key-value service and the choice of witnesses."""

from __future__ import annotations

import json
import logging
import time
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import asdict
from typing import Any

import gevent
from gevent.event import Event
from result import Ok

from .exceptions import KeyValueUnavailableError
from .keyvalue import Compare
from .keyvalue import Delete
from .keyvalue import Item
from .keyvalue import KeyValue
from .keyvalue import Put
from .keyvalue import decode_items
from .keyvalue import parse_object
from .leases import MAX_WITNESSES
from .leases import RENEW_INTERVAL_S
from .leases import GrantRelease
from .leases import GrantRequest
from .leases import HostLease
from .leases import LeaseInfo
from .leases import Renew
from .leases import Renewed
from .leases import Retire
from .leases import Witness
from .leases import WitnessTable
from .logs import log_event
from .membership import HOSTS_PREFIX
from .membership import INCARNATION_SHIFT_BITS
from .membership import Member
from .membership import Membership
from .membership import parse_member
from .messages import Message
from .peers import PeerNetwork
from .routing import rendezvous_weight

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.2

RENEW_TIMEOUT_S = 1.0

# A witness that confirmed nothing for this long is replaced if another can serve.
WITNESS_TIMEOUT_S = 3.0

MIN_RETRY_DELAY_S = 0.2

MAX_RETRY_DELAY_S = 2.0

# Leases of earlier instances of this host that a successor may still look up.
MAX_PREVIOUS_LEASES = 4

PAGE_ITEMS = 500

# The host list lags; a host that it hasn't named for this long counts as unlisted.
UNLISTED_AFTER_S = 30.0


class HostListHistory:
    """Entry hosts that the platform's list names now and named earlier."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.first_read_at: float | None = None
        self.seen: set[str] = set()
        self.listed: set[str] = set()

    def update(self, names: set[str]) -> None:
        """Record one reading of the list."""
        if self.first_read_at is None:
            self.first_read_at = self.clock()
        self.listed = names
        self.seen |= names

    def is_listed(self, host: str) -> bool:
        """Tell if the list names a host now."""
        return host in self.listed

    def was_delisted(self, host: str) -> bool:
        """Tell if the list named a host earlier and does not any more."""
        return host in self.seen and host not in self.listed

    def is_long_unlisted(self, host: str) -> bool:
        """Tell if the list, read for longer than it can lag, doesn't name a host."""
        if self.first_read_at is None or host in self.listed:
            return False
        return self.clock() - self.first_read_at >= UNLISTED_AFTER_S


def read_pages(key_value: KeyValue, prefix: str) -> Iterator[Item]:
    """Read all items under a prefix page by page."""
    after = ""
    while True:
        page = key_value.range(prefix, prefix=True, limit=PAGE_ITEMS, after=after)
        yield from page.items
        if not page.more or not page.items:
            return
        after = page.items[-1].key


class Registration:
    """Maintain the host record and the witnesses of this host's lease."""

    def __init__(
        self,
        membership: Membership,
        peers: PeerNetwork,
        key_value: KeyValue,
        lease: HostLease,
        host_list_history: HostListHistory,
    ) -> None:
        self.membership = membership
        self.local_member = membership.local_member
        self.peers = peers
        self.key_value = key_value
        self.lease = lease
        self.host_list_history = host_list_history
        self.witness_table = WitnessTable(self.local_member.instance, lease.clock)
        self.revision = 0
        self.previous_leases: list[dict[str, Any]] = []
        self.pending: LeaseInfo | None = None
        self.retry_at = 0.0
        self.retry_delay_s = MIN_RETRY_DELAY_S
        self.registered = Event()
        self.lease_lost_listeners: list[Callable[[], None]] = []
        self.renewers: dict[Witness, gevent.Greenlet[..., None]] = {}
        self.wake_events: dict[Witness, Event] = {}
        self.witness_added_at: dict[Witness, float] = {}
        self.task: gevent.Greenlet[..., None] | None = None
        peers.handle(Renew, self.handle_renew)
        peers.handle(Retire, self.handle_retire)
        peers.handle(GrantRequest, self.handle_grant_request)
        peers.handle(GrantRelease, self.handle_grant_release)

    def handle_renew(self, host: str, renewal: Renew) -> Message:
        """Confirm the lease of another host."""
        return self.witness_table.renew(renewal)

    def handle_retire(self, host: str, retirement: Retire) -> Message:
        """End the lease of another host."""
        return self.witness_table.retire(retirement)

    def handle_grant_request(self, host: str, request: GrantRequest) -> Message:
        """Answer a successor's grant request."""
        return self.witness_table.grant(request)

    def handle_grant_release(self, host: str, release: GrantRelease) -> None:
        """Release a grant that a successor did not use."""
        self.witness_table.release(release)

    def read_own_record(self) -> None:
        """Read the record of an earlier instance of this host."""
        for item in self.key_value.range(HOSTS_PREFIX + self.local_member.name).items:
            self.revision = item.mod_revision
            self.add_previous_leases(item)

    def read_host_records(self) -> None:
        """Read the records of all hosts; raise KeyValueUnavailableError."""
        items = read_pages(self.key_value, HOSTS_PREFIX)
        for item, member in decode_items(items, parse_member):
            incarnation = item.mod_revision << INCARNATION_SHIFT_BITS
            self.membership.add_unconfirmed(member, incarnation)

    def add_previous_leases(self, item: Item) -> None:
        """Keep the leases of earlier instances for this host's record."""
        for _, value in decode_items([item], parse_object):
            self.add_previous_lease(value)

    def add_previous_lease(self, value: dict[str, Any]) -> None:
        """Keep the lease of an earlier instance for this host's record."""
        if str(value.get("lease", "")).startswith(self.local_member.instance):
            return
        earlier = {
            "lease": value.get("lease", ""),
            "witnesses": value.get("witnesses", []),
            "generation": value.get("generation", 0),
            "peers": value.get("peers", ""),
        }
        self.previous_leases = [earlier, *value.get("previous", [])][
            :MAX_PREVIOUS_LEASES
        ]

    def start(self) -> None:
        """Start renewing the lease and maintaining the witnesses."""
        self.task = gevent.spawn(self.run)

    def stop(self) -> None:
        """Stop renewing."""
        if self.task is not None:
            self.task.kill(block=False)
        for renewer in self.renewers.values():
            renewer.kill(block=False)

    def run(self) -> None:
        """Maintain the host record and the witnesses."""
        while True:
            try:
                self.check()
            except KeyValueUnavailableError as error:
                self.retry_at = self.lease.clock() + self.retry_delay_s
                self.retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * self.retry_delay_s)
                log_event(logger, "host_record_failed", error=error)
            gevent.sleep(CHECK_INTERVAL_S)

    def check(self) -> None:
        """Renew, replace witnesses, and start a new lease if this one was lost."""
        if self.lease.is_lost():
            log_event(logger, "lease_lost", lease=self.lease.lease)
            self.lease.ended = True
            for listener in self.lease_lost_listeners:
                listener()
            self.previous_leases = [
                {**lease_record(self.lease.info), "peers": self.local_member.peers},
                *self.previous_leases,
            ][:MAX_PREVIOUS_LEASES]
            self.lease.restart()
            self.pending = None
            self.registered.clear()
        self.update_renewers()
        if self.lease.clock() < self.retry_at or self.local_member.state == "left":
            return
        if self.pending is not None:
            self.read_back()
        wanted = self.choose_witnesses()
        current = self.lease.info.witnesses
        if self.registered.is_set() and set(wanted) == set(current):
            return
        if self.lease.can_change_witnesses(wanted, self.ended_witnesses(current)):
            self.change_witnesses(wanted)
        self.retry_delay_s = MIN_RETRY_DELAY_S

    def ended_witnesses(self, witnesses: tuple[Witness, ...]) -> set[Witness]:
        """Return the witnesses whose instance has certainly ended."""
        members = self.membership.members
        return {
            w
            for w in witnesses
            if (w.host in members and members[w.host].instance != w.instance)
            or self.host_list_history.was_delisted(w.host)
        }

    def is_usable(self, witness: Witness) -> bool:
        """Tell if a current witness can stay."""
        member = self.membership.members.get(witness.host)
        if member is None or member.instance != witness.instance:
            return False
        if witness in self.lease.rejections or member.state not in ("live", "joining"):
            return False
        if self.membership.is_dead(witness.host):
            return False
        confirmed = self.lease.confirmations.get(witness)
        last = self.witness_added_at.get(witness, 0.0)
        if confirmed is not None:
            last = max(last, confirmed.sent_at)
        return self.lease.clock() - last < WITNESS_TIMEOUT_S

    def choose_witnesses(self) -> tuple[Witness, ...]:
        """Return the wanted witnesses: the usable current ones, then others.

        An unusable one stays while no other host can replace it.
        """
        current = self.lease.info.witnesses
        kept = [w for w in current if self.is_usable(w)]
        lost = [w for w in current if w not in kept]
        names = {w.host for w in current}
        members = self.membership.members
        candidates = [
            m for m in self.membership.live_members() if self.can_witness(m, names)
        ]
        while len(kept) < MAX_WITNESSES and candidates:
            zones = {self.local_member.availability_zone}
            zones |= {members[w.host].availability_zone for w in kept}
            best = min(
                candidates,
                key=lambda m: (
                    m.region != self.local_member.region,
                    m.availability_zone in zones,
                    -rendezvous_weight(self.local_member.name, m.name),
                ),
            )
            candidates.remove(best)
            kept.append(Witness(best.name, best.instance))
        ended = self.ended_witnesses(current)
        lost = [w for w in lost if w not in ended]
        if kept:
            lost = [w for w in lost if not self.membership.is_dead(w.host)]
        taken = {w.host for w in kept}
        kept += [w for w in lost if w.host not in taken]
        return tuple(kept[:MAX_WITNESSES])

    def can_witness(self, member: Member, names: set[str]) -> bool:
        """Tell if a host could become a witness."""
        if member.name == self.local_member.name:
            return False
        current = self.lease.info.witnesses
        return Witness(member.name, member.instance) not in current

    def change_witnesses(self, witnesses: tuple[Witness, ...]) -> None:
        """Write the host record with other witnesses."""
        info = self.lease.begin_witness_change(witnesses)
        self.pending = info
        self.write_record(info)

    def write_record(self, info: LeaseInfo) -> None:
        """Write the host record by compare-and-swap."""
        key = HOSTS_PREFIX + self.local_member.name
        value = {
            **asdict(self.local_member),
            **lease_record(info),
            "previous": self.previous_leases,
        }
        result = self.key_value.txn(
            [Compare(key, self.revision)], [Put(key, json.dumps(value).encode())]
        )
        if result.succeeded:
            self.apply_written_record(info, result.revision)
            return
        self.apply_present_record(result.items)

    def apply_present_record(self, items: list[Item]) -> None:
        """Use the revision of the present record for the next write."""
        self.revision = items[0].mod_revision if items else 0
        for item, member in decode_items(items, parse_member):
            pending = self.pending
            if pending is not None and (member.lease, member.generation) == (
                pending.lease,
                pending.generation,
            ):
                self.apply_written_record(pending, item.mod_revision)
            elif member.instance != self.local_member.instance:
                self.add_previous_leases(item)

    def read_back(self) -> None:
        """Find out if a write whose response was lost took effect."""
        self.apply_present_record(
            self.key_value.range(HOSTS_PREFIX + self.local_member.name).items
        )

    def apply_written_record(self, info: LeaseInfo, revision: int) -> None:
        """Use the witnesses of a written record."""
        current = self.lease.info.witnesses
        self.lease.finish_witness_change(info, self.ended_witnesses(current))
        self.pending = None
        self.revision = revision
        self.local_member.lease = info.lease
        self.local_member.witnesses = [[w.host, w.instance] for w in info.witnesses]
        self.local_member.generation = info.generation
        now = self.lease.clock()
        for witness in info.witnesses:
            self.witness_added_at.setdefault(witness, now)
        log_event(
            logger,
            "witnesses_registered",
            lease=info.lease,
            generation=info.generation,
            witnesses=",".join(w.host for w in info.witnesses),
        )
        self.update_renewers()
        if self.registered.is_set():
            self.membership.publish_own()
        self.registered.set()

    def update_renewers(self) -> None:
        """Run one renewing greenlet for each witness."""
        witnesses = self.lease.info.witnesses
        for witness in [w for w in self.renewers if w not in witnesses]:
            self.renewers.pop(witness).kill(block=False)
            self.witness_added_at.pop(witness, None)
        for witness in witnesses:
            if witness not in self.renewers:
                self.wake_events[witness] = Event()
                self.renewers[witness] = gevent.spawn(self.renew, witness)

    def renew(self, witness: Witness) -> None:
        """Renew the lease with one witness at each interval."""
        wake = self.wake_events[witness]
        while True:
            wake.clear()
            self.renew_once(witness)
            wake.wait(RENEW_INTERVAL_S)

    def renew_once(self, witness: Witness) -> None:
        """Renew the lease with one witness."""
        renewal = self.lease.renewal(witness)
        sent_at = self.lease.clock()
        match self.peers.call(witness.host, renewal, RENEW_TIMEOUT_S):
            case Ok(Renewed() as reply):
                self.lease.record_reply(witness, renewal, reply, sent_at)
            case _:
                return

    def renew_now(self) -> None:
        """Renew at once, to send a declaration to the witnesses."""
        for waker in self.wake_events.values():
            waker.set()

    def retire(self, successor: str) -> bool:
        """End the lease for a successor; return True if every witness confirmed it."""
        self.lease.ended = True
        confirmed = True
        for witness in self.lease.info.witnesses:
            retirement = Retire(self.lease.lease, witness.instance, successor)
            match self.peers.call(witness.host, retirement, RENEW_TIMEOUT_S):
                case Ok(Renewed(status="ok")):
                    continue
                case _:
                    confirmed = False
        return confirmed

    def remove_record(self) -> None:
        """Remove the host record unless a successor may still need it."""
        if self.previous_leases:
            return
        key = HOSTS_PREFIX + self.local_member.name
        try:
            self.key_value.txn([Compare(key, self.revision)], [Delete(key)])
        except KeyValueUnavailableError as error:
            log_event(logger, "host_record_failed", error=error)


def lease_record(info: LeaseInfo) -> dict[str, Any]:
    """Return the fields of a lease in a host record."""
    return {
        "lease": info.lease,
        "witnesses": [[w.host, w.instance] for w in info.witnesses],
        "generation": info.generation,
    }


def find_lease(value: dict[str, Any], lease: str) -> tuple[LeaseInfo, str] | None:
    """Return a lease of a host record and the host's address at that time."""
    try:
        for found in [value, *value.get("previous", [])]:
            if found.get("lease") == lease:
                witnesses = tuple(Witness(*pair) for pair in found.get("witnesses", []))
                info = LeaseInfo(lease, witnesses, int(found.get("generation", 0)))
                return info, str(found.get("peers", ""))
    except (AttributeError, TypeError, ValueError) as error:
        log_event(logger, "host_record_malformed", lease=lease, error=repr(error))
    return None
