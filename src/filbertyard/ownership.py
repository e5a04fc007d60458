"""Ownership of resources: claims, takeovers, hand-overs, fencing tokens."""

from __future__ import annotations

import json
import logging
import math
import time
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any
from typing import Protocol

import gevent
from gevent.event import Event
from result import Ok

from .events import EventLog
from .events import HandoverEvent
from .events import TakeoverEvent
from .exceptions import DocumentError
from .exceptions import KeyValueUnavailableError
from .keyvalue import Compare
from .keyvalue import Delete
from .keyvalue import Item
from .keyvalue import KeyValue
from .keyvalue import Put
from .keyvalue import decode_items
from .keyvalue import parse_object
from .leases import CollectedGrants
from .leases import Grant
from .leases import GrantRelease
from .leases import GrantRequest
from .leases import LeaseInfo
from .leases import Witness
from .logs import log_event
from .membership import HOSTS_PREFIX
from .membership import GossipEntry
from .membership import Membership
from .messages import Message
from .messages import message
from .peers import PeerNetwork
from .peers import control_message
from .registration import Registration
from .registration import find_lease
from .registration import read_pages
from .routing import rendezvous_weight

logger = logging.getLogger(__name__)

OWNERS_PREFIX = "/filbertyard/owners/"

# A fencing token is the revision of the owner record, shifted left by this, plus a
# minor number that each provisional takeover increments.
FENCE_SHIFT_BITS = 16

CHECK_INTERVAL_S = 0.2

# A resource counts as orphaned after this delay, because gossip about a host and about
# its resources can arrive in either order.
ORPHAN_DELAY_S = 0.4

# The next candidate attempts a takeover if the one before it didn't for this long.
TAKEOVER_STAGGER_S = 1.5

MAX_TAKEOVER_STAGGER_STEPS = 4

CLAIM_STAGGER_S = 2.0

# Hosts that start together must know each other before the first one claims.
INITIAL_CLAIM_DELAY_S = 1.0

GRANT_TIMEOUT_S = 1.0

MAX_GRANT_WAIT_S = 1.0

HANDOVER_INTERVAL_S = 1.0

# Hosts that start together claim resources first; a host that has run for this long
# also hands resources over to balance the load.
INITIAL_BALANCE_DELAY_S = 3.0

DECLARATION_TIMEOUT_S = 3.0

PREPARE_TIMEOUT_S = 3.0

COMMIT_TIMEOUT_S = 3.0

MIN_RETRY_DELAY_S = 0.2

MAX_RETRY_DELAY_S = 2.0


@dataclass(frozen=True, slots=True)
class OwnerRecord:
    """Owner of a resource; `revision` is that of its record in the service."""

    resource: str
    host: str
    lease: str
    revision: int
    minor: int = 0

    @property
    def fence(self) -> int:
        """Return the fencing token."""
        return (self.revision << FENCE_SHIFT_BITS) | self.minor


@control_message
@message("prepare_hand_over")
@dataclass(slots=True)
class PrepareHandOver(Message):
    """Send the state of a resource to its next owner before a hand-over."""

    resource: str
    state: dict[str, Any]


@control_message
@message("prepared")
@dataclass(slots=True)
class Prepared(Message):
    """Accept a resource under a lease; an empty lease rejects it."""

    lease: str


@control_message
@message("hand_over")
@dataclass(slots=True)
class HandOver(Message):
    """Make the receiver the owner; with `minor` set, its record may not be written."""

    resource: str
    lease: str
    revision: int
    minor: int = 0


@control_message
@message("handed_over")
@dataclass(slots=True)
class HandedOver(Message):
    """Confirm a hand-over."""

    resource: str


class Resources(Protocol):
    """Component that serves the resources that this host owns."""

    def zones_by_resource(self) -> dict[str, str]:
        """Return the availability zone of each resource that needs an owner."""

    def prepare(self, resource: str, state: dict[str, Any]) -> None:
        """Prepare to serve a resource that this host doesn't own yet."""

    def refresh_state(self, resource: str) -> None:
        """Read the state of a prepared resource before its first order."""

    def start_serving(self, resource: str, fence: int) -> None:
        """Start serving a resource, or use its new fence if it is served already."""

    def stop_serving(self, resource: str) -> None:
        """Stop serving a resource; running calls finish."""

    def export_state(self, resource: str) -> dict[str, Any]:
        """Return the state of a resource for its next owner."""


@dataclass(slots=True)
class OwnershipCounters:
    """Numbers of ownership changes on this host."""

    claims: int = 0
    takeovers: int = 0
    provisional: int = 0
    handed_over: int = 0
    received: int = 0
    lost: int = 0


@dataclass(slots=True)
class IncomingHandover:
    """A resource that another host is about to hand over."""

    deadline: float


class OwnerTable:
    """Owners of all resources, and the ones that this host owns."""

    def __init__(
        self,
        membership: Membership,
        registration: Registration,
        peers: PeerNetwork,
        key_value: KeyValue,
        resources: Resources,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], object] = gevent.sleep,
    ) -> None:
        self.sleep = sleep
        self.membership = membership
        self.registration = registration
        self.lease = registration.lease
        self.host_list_history = registration.host_list_history
        self.peers = peers
        self.key_value = key_value
        self.resources = resources
        self.clock = clock
        self.host = membership.local_member.name
        self.records: dict[str, OwnerRecord] = {}
        self.handing_over: set[str] = set()
        self.suspended: dict[str, Event] = {}
        self.unconfirmed_writes: set[str] = set()
        self.unrecorded_takeovers: set[str] = set()
        self.incoming_handovers: dict[str, IncomingHandover] = {}
        self.granted_leases: list[str] = []
        self.orphaned_at: dict[str, float] = {}
        self.unowned_at: dict[str, float] = {}
        self.initial_claims: set[str] = set()
        self.takeover_tasks: dict[str, gevent.Greenlet[..., None]] = {}
        self.counters = OwnershipCounters()
        self.events = EventLog()
        self.started_at = clock()
        self.next_handover_at = 0.0
        self.retry_at = 0.0
        self.retry_delay_s = MIN_RETRY_DELAY_S
        self.settled_for = 0.0
        self.task: gevent.Greenlet[..., None] | None = None
        membership.add_listener("owner", self.apply_gossip_entry)
        registration.lease_lost_listeners.append(self.drop_all_resources)
        peers.handle(PrepareHandOver, self.handle_prepare)
        peers.handle(HandOver, self.handle_hand_over)

    def load(self) -> None:
        """Read all records once; raise KeyValueUnavailableError."""
        items = read_pages(self.key_value, OWNERS_PREFIX)
        for _, record in decode_items(items, parse_owner):
            self.apply_record(record)

    def start(self) -> None:
        """Start claiming and taking over."""
        self.started_at = self.clock()
        self.task = gevent.spawn(self.run)

    def stop(self) -> None:
        """Stop claiming and taking over."""
        if self.task is not None:
            self.task.kill(block=False)
        for takeover_task in self.takeover_tasks.values():
            takeover_task.kill(block=False)

    def run(self) -> None:
        """Claim, take over and hand over until stopped."""
        while True:
            self.check()
            gevent.sleep(CHECK_INTERVAL_S)

    def check(self) -> None:
        """Carry out the claims, takeovers and hand-overs that are due."""
        self.declare()
        is_valid = self.lease.is_valid()
        self.events.set_condition("host lease", not is_valid, "no witness confirms it")
        if not is_valid:
            return
        if self.clock() >= self.retry_at:
            try:
                self.resolve_pending_writes()
                self.expire_incoming()
                self.claim_unowned()
                self.retry_delay_s = MIN_RETRY_DELAY_S
            except KeyValueUnavailableError as error:
                self.back_off(error)
        self.start_due_takeovers()
        self.balance()

    def back_off(self, error: KeyValueUnavailableError) -> None:
        """Back off from the key-value service after a failure."""
        self.retry_at = self.clock() + self.retry_delay_s
        self.retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * self.retry_delay_s)
        log_event(logger, "owner_record_failed", error=error)

    def is_own(self, resource: str) -> bool:
        """Tell if the record of a resource names this host's lease."""
        record = self.records.get(resource)
        return record is not None and record.lease == self.lease.lease

    def is_active_owner(self, resource: str) -> bool:
        """Tell if this host may send an order or a call to a resource now."""
        return (
            resource not in self.suspended
            and self.is_own(resource)
            and self.lease.is_valid()
        )

    def owned_resources(self) -> list[str]:
        """Return the resources that this host owns."""
        lease = self.lease.lease
        return [name for name, record in self.records.items() if record.lease == lease]

    def wait_for_handover(self, resource: str, timeout_s: float) -> None:
        """Wait until a hand-over in progress has ended."""
        event = self.suspended.get(resource)
        if event is not None:
            event.wait(timeout_s)

    def declare(self) -> int:
        """Declare the owned resources to the witnesses; return the declared version."""
        before = self.lease.version
        owned = {
            name: self.records[name].fence
            for name in self.owned_resources()
            if name not in self.handing_over
        }
        version = self.lease.declare(owned)
        if version != before:
            self.registration.renew_now()
        return version

    def apply_record(self, record: OwnerRecord) -> bool:
        """Apply a record if it is newer; start or stop serving its resource."""
        known = self.records.get(record.resource)
        if known is not None and known.fence >= record.fence:
            return False
        was_owner = known is not None and known.lease == self.lease.lease
        self.records[record.resource] = record
        self.orphaned_at.pop(record.resource, None)
        self.unowned_at.pop(record.resource, None)
        if record.lease == self.lease.lease:
            if not was_owner:
                self.record_takeover_event(record, known)
            self.incoming_handovers.pop(record.resource, None)
            self.declare()
            self.resources.start_serving(record.resource, record.fence)
        elif was_owner:
            self.unrecorded_takeovers.discard(record.resource)
            self.resources.stop_serving(record.resource)
            self.record_handover_event(record)
            if record.resource in self.handing_over:
                return True
            self.counters.lost += 1
            log_event(
                logger,
                "resource_lost",
                resource=record.resource,
                peer=record.host,
                fence=record.fence,
            )
        return True

    def record_takeover_event(
        self, record: OwnerRecord, known: OwnerRecord | None
    ) -> None:
        """Record that this host became the owner of a resource."""
        cause = "no owner" if known is None else "owner lost"
        if record.resource in self.incoming_handovers:
            cause = "handed over"
        elif record.minor:
            cause = "owner lost, key-value service away"
        self.events.record(
            TakeoverEvent(
                cause=cause,
                upstream=record.resource,
                peer=known.host if known is not None else "",
                resource=record.resource,
                fence=record.fence,
            )
        )

    def record_handover_event(self, record: OwnerRecord) -> None:
        """Record that a resource of this host has another owner."""
        is_planned = record.resource in self.handing_over
        self.events.record(
            HandoverEvent(
                cause="handed over" if is_planned else "taken by another host",
                upstream=record.resource,
                peer=record.host,
                resource=record.resource,
                fence=record.fence,
            )
        )

    def publish(self, record: OwnerRecord) -> None:
        """Apply a record and announce it by gossip."""
        self.apply_record(record)
        value = [record.host, record.lease, record.revision, record.minor]
        self.membership.publish("owner", record.resource, record.fence, 0, value)

    def apply_gossip_entry(self, entry: GossipEntry) -> None:
        """Apply the owner record of a gossip entry."""
        host, lease, revision, minor = entry.value[:4]
        self.apply_record(OwnerRecord(entry.key, host, lease, revision, minor))

    def drop_all_resources(self) -> None:
        """Drop all resources after the lease was lost."""
        for resource in self.owned_resources():
            self.counters.lost += 1
            self.resources.stop_serving(resource)
        self.granted_leases.clear()
        self.unrecorded_takeovers.clear()

    def encode_own_record(self) -> bytes:
        """Return the content of an owner record that names this host."""
        return encode_owner(self.host, self.lease.lease)

    def write_own(self, resource: str, compares: list[Compare]) -> bool:
        """Write this host as the owner; apply the present record if rejected."""
        key = OWNERS_PREFIX + resource
        lease = self.lease.lease
        try:
            result = self.key_value.txn(compares, [Put(key, self.encode_own_record())])
        except KeyValueUnavailableError:
            self.unconfirmed_writes.add(resource)
            raise
        if result.succeeded:
            self.publish(OwnerRecord(resource, self.host, lease, result.revision))
            return True
        for item in result.items:
            if item.key == key:
                self.apply_found_record(item)
        return self.is_own(resource)

    def apply_found_record(self, item: Item) -> None:
        """Apply a record read from the service; announce it if it names this host."""
        for _, record in decode_items([item], parse_owner):
            self.unconfirmed_writes.discard(record.resource)
            if record.lease == self.lease.lease:
                self.publish(record)
            else:
                self.apply_record(record)

    def resolve_pending_writes(self) -> None:
        """Read back writes without a response and record provisional takeovers."""
        for resource in list(self.unconfirmed_writes):
            items = self.key_value.range(OWNERS_PREFIX + resource).items
            self.unconfirmed_writes.discard(resource)
            for item in items:
                self.apply_found_record(item)
        for resource in list(self.unrecorded_takeovers):
            record = self.records[resource]
            if record.minor == 0 or not self.is_own(resource):
                self.unrecorded_takeovers.discard(resource)
                continue
            compare = Compare(OWNERS_PREFIX + resource, record.revision)
            if self.write_own(resource, [compare]):
                self.unrecorded_takeovers.discard(resource)

    def region_of(self, zone: str) -> str:
        """Return the region of an availability zone, empty if it is unknown."""
        for member in self.membership.members.values():
            if zone and member.availability_zone == zone:
                return member.region
        return ""

    def resources_by_region(self) -> dict[str, list[str]]:
        """Return the resources by region."""
        groups: dict[str, list[str]] = {}
        for resource, zone in self.resources.zones_by_resource().items():
            groups.setdefault(self.region_of(zone), []).append(resource)
        return groups

    def eligible_hosts(self, region: str) -> list[str]:
        """Return the hosts that can own resources of a region."""
        live = self.membership.live_members()
        inside = [member.name for member in live if member.region == region]
        return inside or [member.name for member in live]

    def count_owned(self, resources: Iterable[str], hosts: list[str]) -> dict[str, int]:
        """Return how many of the resources each host owns."""
        owned_counts = dict.fromkeys(hosts, 0)
        for resource in resources:
            record = self.records.get(resource)
            if record is not None and record.host in owned_counts:
                owned_counts[record.host] += 1
        return owned_counts

    def claim_unowned(self) -> None:
        """Claim the resources without a record that this host should own."""
        now = self.clock()
        if self.membership.local_member.state != "live":
            return
        if now - self.started_at < INITIAL_CLAIM_DELAY_S:
            return
        for region, resources in self.resources_by_region().items():
            hosts = self.eligible_hosts(region)
            if self.host not in hosts:
                continue
            for resource in resources:
                if resource in self.records:
                    continue
                since = self.unowned_at.setdefault(resource, now)
                owned_counts = self.count_owned(resources, hosts)
                ranked_hosts = preferred_owners(resource, owned_counts, len(resources))
                position = (
                    ranked_hosts.index(self.host)
                    if self.host in ranked_hosts
                    else len(hosts)
                )
                if now - since < position * CLAIM_STAGGER_S:
                    continue
                self.initial_claims.add(resource)
                if self.write_own(resource, [Compare(OWNERS_PREFIX + resource, 0)]):
                    self.counters.claims += 1
                else:
                    self.initial_claims.discard(resource)

    def is_orphan(self, record: OwnerRecord) -> bool:
        """Tell if the owner that a record names seems to have ended."""
        if record.lease == self.lease.lease:
            return False
        member = self.membership.members.get(record.host)
        if member is None or not self.membership.is_reachable(record.host):
            return True
        return member.lease != record.lease

    def start_due_takeovers(self) -> None:
        """Start takeovers of resources whose owners seem to have ended."""
        for lease, host in self.due_takeovers().items():
            running = self.takeover_tasks.get(lease)
            if running is None or running.dead:
                self.takeover_tasks[lease] = gevent.spawn(
                    self.take_over_lease, lease, host
                )

    def due_takeovers(self) -> dict[str, str]:
        """Return the leases to take over now, with the hosts that held them."""
        if self.membership.local_member.state not in ("live", "leaving"):
            return {}
        now = self.clock()
        wanted = self.resources.zones_by_resource()
        leases: dict[str, str] = {}
        for resource, record in self.records.items():
            if resource not in wanted or not self.is_orphan(record):
                self.orphaned_at.pop(resource, None)
                continue
            since = self.orphaned_at.setdefault(resource, now)
            if now - since >= ORPHAN_DELAY_S + self.takeover_delay(resource, record):
                leases[record.lease] = record.host
        for lease in [k for k, task in self.takeover_tasks.items() if task.dead]:
            if lease not in leases:
                del self.takeover_tasks[lease]
        return leases

    def takeover_delay(self, resource: str, record: OwnerRecord) -> float:
        """Return how long this host leaves a takeover to other candidates."""
        region = self.region_of(self.resources.zones_by_resource().get(resource, ""))
        hosts = self.eligible_hosts(region)
        ranked_hosts = sorted(hosts, key=lambda h: -rendezvous_weight(record.lease, h))
        if record.host == self.host:
            return 0.0
        if self.host not in ranked_hosts:
            return MAX_TAKEOVER_STAGGER_STEPS * TAKEOVER_STAGGER_S
        if self.membership.is_reachable(record.host):
            # A new instance on the owner's host is the first candidate.
            ranked_hosts.insert(0, record.host)
        return (
            min(ranked_hosts.index(self.host), MAX_TAKEOVER_STAGGER_STEPS)
            * TAKEOVER_STAGGER_S
        )

    def take_over_lease(self, lease: str, host: str) -> None:
        """Take over the resources of a lease if its witnesses grant it."""
        revision: int | None = None
        found: tuple[LeaseInfo, str] | None = None
        try:
            items = self.key_value.range(HOSTS_PREFIX + host).items
            revision = items[0].mod_revision if items else 0
            found = next(
                (find_lease(v, lease) for _, v in decode_items(items, parse_object)),
                None,
            )
        except KeyValueUnavailableError:
            member = self.membership.members.get(host)
            if member is None or member.lease != lease:
                return
            found = member.lease_info(), ""
        if revision is not None and lease in self.granted_leases:
            # The last write of the previous owner can take effect after the takeover,
            # when the host record no longer names the witnesses of its lease.
            try:
                self.take_over_records(lease, host, revision)
            except KeyValueUnavailableError as error:
                self.back_off(error)
            return
        info = found[0] if found is not None else LeaseInfo(lease, (), 0)
        address = found[1] if found is not None else ""
        collected = CollectedGrants(info)
        if not self.collect_grants(collected):
            self.release_grants(collected)
            return
        owner_ended = self.has_owner_ended(host, lease, address)
        if revision is not None and collected.is_sufficient(owner_ended):
            self.add_granted_lease(lease)
            try:
                self.take_over_records(lease, host, revision)
                return
            except KeyValueUnavailableError as error:
                self.back_off(error)
        if (
            not self.take_over_provisionally(lease, collected)
            and lease not in self.granted_leases
        ):
            self.release_grants(collected)

    def release_grants(self, collected: CollectedGrants) -> None:
        """Release grants that don't suffice, because another host may need them."""
        lease = collected.info.lease
        if lease in self.granted_leases:
            return
        for witness in collected.asked:
            release = GrantRelease(lease, witness.instance, self.lease.lease)
            if witness.host == self.host:
                self.registration.witness_table.release(release)
            else:
                self.peers.call(witness.host, release, GRANT_TIMEOUT_S)
        self.sleep(collected.wait_s)

    def add_granted_lease(self, lease: str) -> None:
        """Record that this host holds the grants for a lease."""
        if lease not in self.granted_leases:
            self.granted_leases.append(lease)

    def has_owner_ended(self, host: str, lease: str, address: str) -> bool:
        """Tell if the process that held a lease has certainly ended."""
        local_member = self.membership.local_member
        if host == local_member.name:
            # Listening at the predecessor's address proves that it has ended.
            earlier_epoch = lease.rpartition(".")[0] == local_member.instance
            return earlier_epoch or address == local_member.peers
        return self.is_delisted(host)

    def is_delisted(self, host: str) -> bool:
        """Tell if the host list no longer names a host."""
        if self.membership.is_reachable(host):
            return False
        if self.host_list_history.was_delisted(host):
            return True
        return not self.membership.has_announced_itself(
            host
        ) and self.host_list_history.is_long_unlisted(host)

    def collect_grants(self, collected: CollectedGrants) -> bool:
        """Request grants in a fixed order, so that two successors can't deadlock."""
        while True:
            missing = [w for w in collected.info.witnesses if w not in collected.asked]
            if not missing:
                return True
            witness = min(missing, key=lambda w: (w.host, w.instance))
            collected.asked.append(witness)
            grant = self.request_grant(collected.info.lease, witness)
            if grant is None:
                if self.is_delisted(witness.host):
                    collected.delisted.add(witness)
                    continue
                return False
            if not grant.granted:
                collected.wait_s = min(grant.wait_s, MAX_GRANT_WAIT_S)
                self.take_over_from_successor(grant.successor)
                return False
            collected.add(witness, grant)

    def request_grant(self, lease: str, witness: Witness) -> Grant | None:
        """Ask one witness for a grant."""
        request = GrantRequest(
            lease, witness.instance, self.lease.lease, list(self.granted_leases)
        )
        if witness.host == self.host:
            return self.registration.witness_table.grant(request)
        match self.peers.call(witness.host, request, GRANT_TIMEOUT_S):
            case Ok(Grant() as grant):
                return grant
            case _:
                return None

    def take_over_from_successor(self, lease: str) -> None:
        """Take over the lease of a successor that ended while it held a grant."""
        if not lease or lease == self.lease.lease or lease in self.granted_leases:
            return
        for member in list(self.membership.members.values()):
            if member.lease == lease and not self.membership.is_reachable(member.name):
                self.take_over_lease(lease, member.name)
                return

    def records_of_lease(self, lease: str) -> list[OwnerRecord]:
        """Return the records that name a lease."""
        return [r for r in self.records.values() if r.lease == lease]

    def take_over_records(self, lease: str, host: str, host_revision: int) -> None:
        """Take over the recorded resources of a lease by compare-and-swap.

        The host record is compared too: the owner may have replaced a witness.
        """
        self.take_over_known_records(lease, host, host_revision)
        if self.records_of_lease(lease):
            return
        # The owner may have written a record without announcing it.
        self.load()
        self.take_over_known_records(lease, host, host_revision)
        if not self.records_of_lease(lease):
            self.remove_host_record(lease, host)

    def take_over_known_records(
        self, lease: str, host: str, host_revision: int
    ) -> None:
        """Write this host as the owner into the known records of a lease."""
        for record in self.records_of_lease(lease):
            compares = [
                Compare(OWNERS_PREFIX + record.resource, record.revision),
                Compare(HOSTS_PREFIX + host, host_revision),
            ]
            if not self.lease.is_valid():
                return
            if self.write_own(record.resource, compares):
                self.counters.takeovers += 1
                log_event(
                    logger,
                    "resource_taken_over",
                    resource=record.resource,
                    peer=host,
                    fence=self.records[record.resource].fence,
                )

    def remove_host_record(self, lease: str, host: str) -> None:
        """Remove the record of a host whose last resources were taken over."""
        key = HOSTS_PREFIX + host
        found = self.key_value.range(key).items
        for item, value in decode_items(found, parse_object):
            if value.get("lease") == lease and not value.get("previous"):
                self.key_value.txn([Compare(key, item.mod_revision)], [Delete(key)])

    def take_over_provisionally(self, lease: str, collected: CollectedGrants) -> bool:
        """Take over without the key-value service; record it once that is back."""
        fences = collected.provisional_fences()
        if not fences or not self.lease.is_valid():
            return False
        self.add_granted_lease(lease)
        for resource, fence in fences.items():
            known = self.records.get(resource)
            if known is not None and known.lease != lease and known.fence > fence:
                continue
            revision = fence >> FENCE_SHIFT_BITS
            minor = (fence & ((1 << FENCE_SHIFT_BITS) - 1)) + 1
            record = OwnerRecord(resource, self.host, self.lease.lease, revision, minor)
            self.unrecorded_takeovers.add(resource)
            self.counters.provisional += 1
            self.publish(record)
            log_event(
                logger,
                "resource_taken_provisionally",
                resource=resource,
                fence=record.fence,
            )
        return True

    def balance(self) -> None:
        """Hand over one resource to a host that owns too few, at a limited rate."""
        now = self.clock()
        if self.membership.local_member.state != "live" or now < self.next_handover_at:
            return
        if now - self.started_at < INITIAL_BALANCE_DELAY_S or now < self.retry_at:
            return
        for region, resources in self.resources_by_region().items():
            if any(resource not in self.records for resource in resources):
                continue
            hosts = self.eligible_hosts(region)
            owned_counts = self.count_owned(resources, hosts)
            max_owned = max_owned_per_host(len(resources), len(hosts))
            owned = [
                r for r in resources if self.is_own(r) and r not in self.handing_over
            ]
            candidates = [host for host in hosts if owned_counts[host] < max_owned]
            if len(owned) <= max_owned or not candidates:
                continue
            target = min(candidates, key=lambda h: (owned_counts[h], h))
            resource = max(owned, key=lambda r: rendezvous_weight(r, target))
            self.next_handover_at = now + HANDOVER_INTERVAL_S
            gevent.spawn(self.hand_over, resource, target)
            return

    def hand_over(self, resource: str, target: str) -> bool:
        """Hand over an owned resource to another host, never leaving it unowned."""
        if resource in self.handing_over or not self.is_active_owner(resource):
            return False
        self.handing_over.add(resource)
        try:
            return self.run_handover(resource, target)
        finally:
            self.handing_over.discard(resource)
            event = self.suspended.pop(resource, None)
            if event is not None:
                event.set()

    def run_handover(self, resource: str, target: str) -> bool:
        """Prepare the target, write the owner record, and let the target start."""
        prepare = PrepareHandOver(resource, self.resources.export_state(resource))
        match self.peers.call(target, prepare, PREPARE_TIMEOUT_S):
            case Ok(Prepared(lease=lease)) if lease:
                pass
            case _:
                return False
        # A witness that still lists the resource could allow a provisional takeover
        # by a host that missed the hand-over.
        version = self.declare()
        deadline = self.clock() + DECLARATION_TIMEOUT_S
        while not self.lease.is_declared(version):
            if self.clock() > deadline:
                return False
            self.sleep(0.01)
        record = self.records[resource]
        if record.minor or not self.is_active_owner(resource):
            return False
        self.suspended[resource] = Event()
        successor = self.write_successor(record, target, lease)
        if successor is None:
            return False
        handover = HandOver(resource, lease, successor.revision, successor.minor)
        self.peers.call(target, handover, COMMIT_TIMEOUT_S)
        self.publish(successor)
        self.counters.handed_over += 1
        log_event(logger, "resource_handed_over", resource=resource, peer=target)
        return True

    def write_successor(
        self, record: OwnerRecord, target: str, lease: str
    ) -> OwnerRecord | None:
        """Write a record that names the target, or return None if it was rejected.

        A write whose response was lost may still take effect, so that this host can't
        keep the resource: the target starts provisionally and reads its record later.
        """
        resource = record.resource
        key = OWNERS_PREFIX + resource
        put = Put(key, encode_owner(target, lease))
        try:
            result = self.key_value.txn([Compare(key, record.revision)], [put])
        except KeyValueUnavailableError as error:
            log_event(logger, "hand_over_unrecorded", resource=resource, error=error)
            return OwnerRecord(resource, target, lease, record.revision, 1)
        if result.succeeded:
            return OwnerRecord(resource, target, lease, result.revision)
        for item in result.items:
            self.apply_found_record(item)
        return None

    def handle_prepare(self, host: str, prepare: PrepareHandOver) -> Message:
        """Prepare for a resource that another host is about to hand over."""
        if not self.lease.is_valid() or self.membership.local_member.state != "live":
            return Prepared("")
        deadline = self.clock() + DECLARATION_TIMEOUT_S + 2 * COMMIT_TIMEOUT_S
        self.incoming_handovers[prepare.resource] = IncomingHandover(deadline)
        self.resources.prepare(prepare.resource, prepare.state)
        return Prepared(self.lease.lease)

    def handle_hand_over(self, host: str, handover: HandOver) -> Message:
        """Start serving a resource that another host has handed over."""
        if handover.lease == self.lease.lease:
            self.counters.received += 1
            self.resources.refresh_state(handover.resource)
            record = OwnerRecord(
                handover.resource,
                self.host,
                handover.lease,
                handover.revision,
                handover.minor,
            )
            if handover.minor:
                self.unrecorded_takeovers.add(handover.resource)
            self.publish(record)
        return HandedOver(handover.resource)

    def expire_incoming(self) -> None:
        """Read the record of a resource whose hand-over did not end in time."""
        now = self.clock()
        for resource, incoming in list(self.incoming_handovers.items()):
            if incoming.deadline > now:
                continue
            for item in self.key_value.range(OWNERS_PREFIX + resource).items:
                self.apply_found_record(item)
            self.incoming_handovers.pop(resource, None)
            if not self.is_own(resource):
                self.resources.stop_serving(resource)

    def hand_over_all(self, timeout_s: float) -> None:
        """Hand over all owned resources before this host leaves."""
        deadline = self.clock() + timeout_s
        while self.owned_resources() and self.clock() < deadline:
            zones = self.resources.zones_by_resource()
            moved = False
            for resource in self.owned_resources():
                region = self.region_of(zones.get(resource, ""))
                hosts = [h for h in self.eligible_hosts(region) if h != self.host]
                if not hosts:
                    return
                owned_counts = self.count_owned(self.records, hosts)
                target = min(
                    hosts,
                    key=lambda h: (owned_counts[h], -rendezvous_weight(resource, h)),
                )
                moved |= self.hand_over(resource, target)
            if not moved:
                if not self.is_service_available():
                    self.retire()
                    return
                self.sleep(MIN_RETRY_DELAY_S)

    def is_service_available(self) -> bool:
        """Tell if the key-value service answers."""
        try:
            self.key_value.range(HOSTS_PREFIX + self.host)
        except KeyValueUnavailableError:
            return False
        return True

    def retire(self) -> None:
        """Name one successor for all resources while the service is unavailable."""
        hosts = [m.name for m in self.membership.live_members() if m.name != self.host]
        if not hosts:
            return
        lease = self.lease.lease
        target = max(hosts, key=lambda h: rendezvous_weight(lease, h))
        successor = self.membership.members[target].lease
        confirmed = self.registration.retire(successor)
        log_event(logger, "lease_retired", peer=target, confirmed=confirmed)


def encode_owner(host: str, lease: str) -> bytes:
    """Return the content of an owner record."""
    return json.dumps({"host": host, "lease": lease}).encode()


def parse_owner(item: Item) -> OwnerRecord:
    """Parse an owner record; raise DocumentError."""
    value = parse_object(item)
    resource = item.key.removeprefix(OWNERS_PREFIX)
    match value:
        case {"host": str(host), "lease": str(lease)}:
            return OwnerRecord(resource, host, lease, item.mod_revision)
        case _:
            raise DocumentError(item.key, "expected the names of a host and a lease")


def max_owned_per_host(resources: int, hosts: int) -> int:
    """Return how many resources one host should own at most."""
    return math.ceil(resources / max(1, hosts))


def preferred_owners(
    resource: str, owned_counts: dict[str, int], resources: int
) -> list[str]:
    """Return the hosts that should own a resource, the best first.

    Hosts below their maximum come first; the rendezvous weights alone would spread the
    resources unevenly.
    """
    max_owned = max_owned_per_host(resources, len(owned_counts))
    return sorted(
        owned_counts,
        key=lambda host: (
            owned_counts[host] >= max_owned,
            -rendezvous_weight(resource, host),
        ),
    )
