"""Register a host in the store and claim replicas for it."""

from __future__ import annotations

import json
import logging
import time
from collections.abc import Callable

import gevent
from gevent.event import Event

from ..backoff import Backoff
from ..exceptions import KeyValueError
from ..exceptions import KeyValueRejectedError
from ..exceptions import LeaseEndedError
from ..keyvalue import Compare
from ..keyvalue import Delete
from ..keyvalue import Item
from ..keyvalue import KeyValue
from ..keyvalue import Put
from ..keyvalue import local_revision
from ..logs import log_event
from .claimtable import HOST_LEASE_S
from .claimtable import HOST_LOSS_TIMEOUT_S
from .claimtable import Claim
from .claimtable import ClaimDecision
from .claimtable import ClaimTable
from .claimtable import claim_cause
from .claimtable import decide_claims
from .state import HOST_PREFIX
from .state import OWNER_PREFIX
from .state import GatewayState
from .types import HostRecord

logger = logging.getLogger(__name__)

# A third of the lease's time to live.
RENEW_INTERVAL_S = 1.0
RETRY_DELAY_S = 0.4
MAX_RETRY_DELAY_S = 1.6

# After this time without a renewal the owners' records are read again before orders
# go on: another host may have taken over meanwhile.
MAX_RENEWAL_GAP_S = 2.0

# Intervals between searches for replicas to claim; the second while the host is new, to
# take back soon what its previous process owned.
CLAIM_INTERVAL_S = 0.5
STARTUP_CLAIM_INTERVAL_S = 0.2

# A host that has just started waits this long before it claims replicas that it did not
# own before, so that hosts that start together share them.
STARTUP_CLAIM_DELAY_S = 2.5

# The store takes at most this many writes in one transaction.
MAX_TXN_WRITES = 30

# The record of a replica that is gone is removed after this time.
GONE_REPLICA_RETENTION_S = 20.0


def boot_clock() -> float:
    """Return the time of a clock that also runs while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Registrar:
    """Keep the host's record and its claims in the store."""

    def __init__(
        self,
        record: Callable[[], HostRecord],
        state: GatewayState,
        store: KeyValue,
        claim_table: ClaimTable,
        reachable: Callable[[], set[str]],
    ) -> None:
        self.record = record
        self.state = state
        self.store = store
        self.claim_table = claim_table
        self.reachable = reachable
        self.lease = 0
        # The generation of the store that the lease and the claims belong to.
        self.generation = 0
        self.is_registered = False
        self.written_record: HostRecord | None = None
        self.started_at = boot_clock()
        self.claimable_since: dict[str, float] = {}
        self.gone_since: dict[str, float] = {}
        self.record_changed = Event()
        self.backoff = Backoff(RETRY_DELAY_S, MAX_RETRY_DELAY_S)

    def run(self) -> None:
        """Renew the host's record, forever."""
        while True:
            try:
                self.renew()
                self.backoff.reset()
                delay_s = RENEW_INTERVAL_S
            except KeyValueError as error:
                if self.is_registered:
                    log_event(
                        logger,
                        "host_lease_unconfirmed",
                        level=logging.WARNING,
                        age_s=boot_clock() - self.claim_table.renewed_at,
                        error=str(error),
                    )
                self.is_registered = False
                # The record may be gone, with or without the lease.
                self.written_record = None
                delay_s = self.backoff.next_delay_s()
                if self.claim_table.claims:
                    # Orders of an owner stop if it cannot renew for long.
                    delay_s = min(delay_s, RETRY_DELAY_S)
                if isinstance(error, LeaseEndedError):
                    self.lease = 0
            self.record_changed.wait(timeout=delay_s)
            self.record_changed.clear()

    def renew(self) -> None:
        """Renew the lease and the record; raise KeyValueError."""
        sent_at = boot_clock()
        record = self.record()
        if self.lease and self.store.lease_keepalive(self.lease) <= 0:
            log_event(logger, "host_lease_ended", level=logging.WARNING)
            self.lease = 0
        if self.generation != self.store.generation:
            # The lease is gone, and its id may be that of another host's lease now.
            self.lease = 0
        if not self.lease:
            self.lease = self.store.lease_grant(HOST_LEASE_S)
            self.written_record = None
        generation = self.store.generation
        known = self.state.hosts.get(record.id)
        if self.written_record != record or known != record:
            self.write_record(record)
        if generation != self.generation:
            self.restore_claims()
        elif self.claim_table.claims and (
            not self.is_registered
            or sent_at - self.claim_table.renewed_at > MAX_RENEWAL_GAP_S
        ):
            self.verify_claims()
        self.generation = generation
        self.claim_table.renew(sent_at)
        if not self.is_registered:
            self.is_registered = True
            log_event(logger, "host_registered", lease=self.lease)

    def write_record(self, record: HostRecord) -> None:
        """Write the host's record under its lease; raise KeyValueError."""
        value = {
            "instance": record.instance,
            "callers": record.callers,
            "zone": record.availability_zone,
            "leaving": record.is_leaving,
        }
        put = Put(HOST_PREFIX + record.id, encode(value), self.lease)
        self.store.txn([], [put])
        self.written_record = record

    def verify_claims(self) -> None:
        """Read the owners again and drop claims of others; raise KeyValueError."""
        found = self.store.range(OWNER_PREFIX, prefix=True)
        now = time.monotonic()
        for item in found.items:
            self.state.apply_item(self.state.gateway_feed, item, now, "store")
        record = self.record()
        before = len(self.claim_table.claims)
        self.claim_table.drop_unconfirmed(self.state.owners, record.id, record.instance)
        log_event(
            logger,
            "claims_verified",
            kept=len(self.claim_table.claims),
            dropped=before - len(self.claim_table.claims) or None,
            revision=found.revision,
        )

    def restore_claims(self) -> None:
        """Write owner records again that the store has lost; raise KeyValueError."""
        found = self.store.range(OWNER_PREFIX, prefix=True)
        items = {item.key: item for item in found.items}
        record = self.record()
        now = boot_clock()
        before = len(self.claim_table.claims)
        may_have_successor = not self.claim_table.is_valid(now)
        for replica, claim in list(self.claim_table.claims.items()):
            item = items.get(OWNER_PREFIX + replica)
            wait_s = max(0.0, claim.not_before - now)
            if may_have_successor:
                # Another host may have taken over in writes that are lost.
                wait_s = HOST_LOSS_TIMEOUT_S + self.claim_table.takeover_wait_s()
            elif item is not None and is_record_of(item, claim, record):
                self.claim_table.confirm(replica, item.mod_revision)
                continue
            fence = self.write_owner(replica, item.mod_revision if item else 0, wait_s)
            if fence:
                self.claim_table.add(replica, fence, now, wait_s)
            else:
                del self.claim_table.claims[replica]
                log_event(logger, "claim_lost", replica=replica)
        log_event(
            logger,
            "claims_restored",
            kept=len(self.claim_table.claims),
            dropped=before - len(self.claim_table.claims) or None,
            revision=found.revision,
        )

    def is_contested(self, replica: str, now: float) -> bool:
        """Tell if a host may own a replica through a record that the store has lost."""
        if now - self.state.writes_lost_at >= HOST_LOSS_TIMEOUT_S:
            return False
        former = self.state.former_owners.get(replica)
        if former is None or former.host == self.record().id:
            return False
        owner = self.state.owners.get(replica)
        return owner is None or (owner.host, owner.instance) != (
            former.host,
            former.instance,
        )

    def run_claims(self) -> None:
        """Claim replicas without an owner, forever."""
        while True:
            is_new = boot_clock() - self.started_at < STARTUP_CLAIM_DELAY_S
            gevent.sleep(STARTUP_CLAIM_INTERVAL_S if is_new else CLAIM_INTERVAL_S)
            record = self.record()
            if self.generation != self.store.generation:
                # `restore_claims` decides which claims are still valid.
                continue
            self.claim_table.drop_unconfirmed(
                self.state.owners, record.id, record.instance
            )
            if not self.is_registered or record.is_leaving:
                continue
            try:
                self.claim_replicas()
                self.clear_elapsed_waits()
                self.delete_gone_records()
            except KeyValueError as error:
                log_event(
                    logger, "claim_failed", level=logging.WARNING, error=str(error)
                )

    def engine_replicas(self) -> set[str]:
        """Return the replicas of services with engines."""
        configuration = self.state.configuration
        if configuration is None:
            return set()
        services = {
            name
            for name, service in configuration.services.items()
            if service.engine is not None
        }
        return {
            replica.id
            for replica in self.state.replicas.values()
            if replica.service in services
        }

    def claim_replicas(self) -> None:
        """Claim the replicas that this host should own; raise KeyValueError."""
        now = time.monotonic()
        replicas = self.engine_replicas()
        may_claim_any = boot_clock() - self.started_at >= STARTUP_CLAIM_DELAY_S
        if may_claim_any:
            self.update_claimable(replicas, now)
        decisions = decide_claims(
            host=self.record(),
            replicas=replicas,
            owners=self.state.owners,
            hosts=self.state.hosts,
            missing_since=self.state.missing_since,
            claimable_since=self.claimable_since,
            reachable=self.reachable(),
            claim_table=self.claim_table,
            now=now,
        )
        for decision in decisions:
            if self.is_contested(decision.replica, now):
                continue
            if may_claim_any or decision.cause == "restarted":
                self.claim_one(decision)

    def update_claimable(self, replicas: set[str], now: float) -> None:
        """Record since when replicas have been claimable and hosts missing."""
        state, host = self.state, self.record()
        for record in state.owners.values():
            if record.host not in state.hosts:
                state.missing_since.setdefault(record.host, now)
        reachable = self.reachable()
        for replica in replicas:
            owner = state.owners.get(replica)
            cause = claim_cause(
                owner, host, state.hosts, state.missing_since, reachable, now
            )
            if cause:
                self.claimable_since.setdefault(replica, now)
            else:
                self.claimable_since.pop(replica, None)

    def claim_one(self, decision: ClaimDecision) -> None:
        """Claim one replica; raise KeyValueError."""
        fence = self.write_owner(decision.replica, decision.revision, decision.wait_s)
        if not fence:
            log_event(logger, "claim_lost", replica=decision.replica)
            return
        self.claim_table.add(decision.replica, fence, boot_clock(), decision.wait_s)
        log_event(
            logger,
            "claimed",
            replica=decision.replica,
            cause=decision.cause,
            fence=fence,
            orders_in_s=decision.wait_s,
        )

    def write_owner(self, replica: str, revision: int, wait_s: float) -> int:
        """Write an owner record over `revision`; return its fence, 0 on a conflict."""
        record = self.record()
        key = OWNER_PREFIX + replica
        value = encode(owner_value(record, released=False, wait_s=wait_s))
        fence = 0
        try:
            result = self.store.txn([Compare(key, revision)], [Put(key, value)])
            if result.succeeded:
                fence = result.revision
        except KeyValueRejectedError:
            raise
        except KeyValueError:
            # The write may have taken effect although its response was lost.
            found = self.store.range(key)
            for item in found.items:
                if item.value == value and item.mod_revision > revision:
                    fence = item.mod_revision
        if fence:
            now = time.monotonic()
            self.state.apply_item(
                self.state.gateway_feed, Item(key, value, 0, fence), now, "own write"
            )
        return fence

    def clear_elapsed_waits(self) -> None:
        """Clear elapsed waits in the owner records; raise KeyValueError."""
        for replica in self.claim_table.claims_past_wait(boot_clock()):
            claim = self.claim_table.claims[replica]
            fence = self.write_owner(replica, claim.fence, 0.0)
            if fence:
                self.claim_table.add(replica, fence, boot_clock(), 0.0)
            else:
                del self.claim_table.claims[replica]
                log_event(logger, "claim_lost", replica=replica)

    def release_all(self) -> None:
        """Release all claims before this host leaves."""
        record = self.record()
        claims = dict(self.claim_table.claims)
        self.claim_table.claims.clear()
        value = owner_value(record, released=True, wait_s=0.0)
        for replica, claim in claims.items():
            key = OWNER_PREFIX + replica
            try:
                result = self.store.txn(
                    [Compare(key, claim.fence)], [Put(key, encode(value))]
                )
                event = "claim_released" if result.succeeded else "claim_lost"
                log_event(logger, event, replica=replica)
            except KeyValueError as error:
                # The successor then waits as for a lost host.
                log_event(
                    logger, "release_failed", level=logging.WARNING, error=str(error)
                )
                return

    def gone_replicas(self, now: float) -> list[str]:
        """Return the owned replicas that have been gone for long."""
        replicas = self.engine_replicas()
        for replica in replicas:
            self.gone_since.pop(replica, None)
        return [
            replica
            for replica in self.claim_table.claims
            if replica not in replicas
            and now - self.gone_since.setdefault(replica, now)
            >= GONE_REPLICA_RETENTION_S
        ]

    def delete_gone_records(self) -> None:
        """Delete some records of replicas that are long gone; raise KeyValueError.

        Claims of records that another host changed are dropped, so that the next call
        deletes the others.
        """
        claims = self.claim_table.claims
        fences = {
            OWNER_PREFIX + replica: claims[replica].fence
            for replica in self.gone_replicas(time.monotonic())[:MAX_TXN_WRITES]
        }
        if not fences:
            return
        result = self.store.txn(
            [Compare(key, fence) for key, fence in fences.items()],
            [Delete(key) for key in fences],
        )
        found = {item.key: item.mod_revision for item in result.items}
        for key, fence in fences.items():
            if not result.succeeded and found.get(key) == fence:
                continue
            replica = key.removeprefix(OWNER_PREFIX)
            del claims[replica]
            del self.gone_since[replica]
            event = "owner_record_deleted" if result.succeeded else "claim_lost"
            log_event(logger, event, replica=replica)


def is_record_of(item: Item, claim: Claim, host: HostRecord) -> bool:
    """Tell if the store still holds the record of a claim from before a loss."""
    if local_revision(item.mod_revision) != local_revision(claim.fence):
        return False
    return item.value == encode(owner_value(host, released=False, wait_s=claim.wait_s))


def owner_value(
    record: HostRecord, *, released: bool, wait_s: float
) -> dict[str, object]:
    """Return the value of an owner record."""
    return {
        "host": record.id,
        "instance": record.instance,
        "released": released,
        "wait_s": wait_s,
    }


def encode(value: dict[str, object]) -> bytes:
    """Encode a record for the store."""
    return json.dumps(value, separators=(",", ":")).encode()
