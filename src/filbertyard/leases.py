"""Host leases: renewals with witnesses, the witness side, and grants."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from .messages import Message
from .messages import message
from .peers import control_message

HOST_LEASE_S = 2.0

# The holder stops this long before its lease ends, and a witness waits this much
# longer, so that an order in flight arrives before a successor sends its first one.
ORDER_GUARD_S = 0.3

RENEW_INTERVAL_S = 0.4

WITNESS_WAIT_S = HOST_LEASE_S + ORDER_GUARD_S

MAX_WITNESSES = 2

# A witness removes a lease that was not renewed for this long, with its grant. A host
# whose lease was invalid for half of this time must start a new one, or else it could
# renew a lease that was granted to a successor.
LEASE_RETENTION_S = 3600.0

Clock = Callable[[], float]


@dataclass(frozen=True, slots=True)
class Witness:
    """Host that confirms leases of other hosts, named by host and instance."""

    host: str
    instance: str


@dataclass(frozen=True, slots=True)
class LeaseInfo:
    """Witnesses of one host lease; `generation` grows with each replacement."""

    lease: str
    witnesses: tuple[Witness, ...]
    generation: int


@control_message
@message("renew")
@dataclass(slots=True)
class Renew(Message):
    """Renew a lease; the declaration is left out once the witness confirmed it."""

    lease: str
    instance: str
    version: int
    generation: int = 0
    witnesses: list[list[str]] | None = None
    owned: dict[str, int] | None = None


@control_message
@message("renewed")
@dataclass(slots=True)
class Renewed(Message):
    """Confirm a renewal, or tell why it was rejected."""

    status: str
    instance: str


@control_message
@message("retire")
@dataclass(slots=True)
class Retire(Message):
    """End a lease for good and name its only successor."""

    lease: str
    instance: str
    successor: str


@control_message
@message("grant_request")
@dataclass(slots=True)
class GrantRequest(Message):
    """Request a grant; the successor holds the grants for `granted_leases`."""

    lease: str
    instance: str
    successor: str
    granted_leases: list[str] = field(default_factory=list)


@control_message
@message("grant_release")
@dataclass(slots=True)
class GrantRelease(Message):
    """Release a grant that the successor did not use and never will."""

    lease: str
    instance: str
    successor: str


@control_message
@message("grant")
@dataclass(slots=True)
class Grant(Message):
    """Answer a grant request; `owned` is None if the witness has no declaration."""

    granted: bool
    restarted: bool
    instance: str
    generation: int = 0
    witnesses: list[list[str]] | None = None
    owned: dict[str, int] | None = None
    successor: str = ""
    wait_s: float = 0.0


@dataclass(slots=True)
class WitnessEntry:
    """State of one lease at a witness."""

    confirmed_at: float
    version: int = -1
    generation: int = 0
    witnesses: list[list[str]] | None = None
    owned: dict[str, int] | None = None
    successor: str = ""
    closed: bool = False


class WitnessTable:
    """Leases of other hosts that this host confirms."""

    def __init__(self, instance: str, clock: Clock = time.monotonic) -> None:
        self.instance = instance
        self.clock = clock
        self.started_at = clock()
        self.entries: dict[str, WitnessEntry] = {}

    def renew(self, renewal: Renew) -> Renewed:
        """Confirm a renewal unless a successor holds a grant."""
        if renewal.instance != self.instance:
            return Renewed("other_instance", self.instance)
        entry = self.entries.get(renewal.lease)
        if entry is None:
            self.remove_expired()
            entry = WitnessEntry(self.clock())
            self.entries[renewal.lease] = entry
        if entry.closed:
            return Renewed("granted", self.instance)
        if renewal.owned is not None and renewal.version > entry.version:
            entry.version = renewal.version
            entry.generation = renewal.generation
            entry.witnesses = renewal.witnesses
            entry.owned = dict(renewal.owned)
        entry.confirmed_at = self.clock()
        return Renewed("ok", self.instance)

    def retire(self, retirement: Retire) -> Renewed:
        """Record the successor that the holder itself names."""
        if retirement.instance != self.instance:
            return Renewed("other_instance", self.instance)
        entry = self.entries.setdefault(retirement.lease, WitnessEntry(self.clock()))
        if entry.successor not in ("", retirement.successor):
            return Renewed("granted", self.instance)
        entry.successor = retirement.successor
        entry.closed = True
        return Renewed("ok", self.instance)

    def grant(self, request: GrantRequest) -> Grant:
        """Grant the takeover of a lease, to one successor only."""
        now = self.clock()
        restarted = request.instance != self.instance
        entry = self.entries.get(request.lease)
        if entry is None:
            wait = self.started_at + WITNESS_WAIT_S - now
        elif entry.closed:
            wait = 0.0
        else:
            wait = entry.confirmed_at + WITNESS_WAIT_S - now
        if wait > 0:
            return Grant(False, restarted, self.instance, wait_s=wait)
        if entry is None:
            entry = WitnessEntry(self.started_at)
            self.entries[request.lease] = entry
        if entry.successor in ("", *request.granted_leases):
            entry.successor = request.successor
            entry.closed = True
        return Grant(
            entry.successor == request.successor,
            restarted,
            self.instance,
            entry.generation,
            entry.witnesses,
            entry.owned,
            entry.successor,
        )

    def release(self, release: GrantRelease) -> None:
        """Release a grant; the lease itself stays ended."""
        entry = self.entries.get(release.lease)
        if entry is not None and entry.successor == release.successor:
            entry.successor = ""

    def remove_expired(self) -> None:
        """Remove leases that were not renewed for LEASE_RETENTION_S."""
        limit = self.clock() - LEASE_RETENTION_S
        old = [name for name, e in self.entries.items() if e.confirmed_at < limit]
        for name in old:
            del self.entries[name]


@dataclass(slots=True)
class Confirmation:
    """Latest confirmation by one witness."""

    sent_at: float
    version: int
    generation: int


class HostLease:
    """The lease of this host: valid while one of its witnesses confirms."""

    def __init__(self, instance: str, clock: Clock = time.monotonic) -> None:
        self.instance = instance
        self.clock = clock
        self.epoch = 1
        self.last_generation = 0
        self.info = LeaseInfo(f"{instance}.1", (), 0)
        # Witnesses whose confirmation counts; a replaced or unregistered one doesn't.
        self.active_witnesses: tuple[Witness, ...] = ()
        self.needs_no_witness = False
        self.confirmations: dict[Witness, Confirmation] = {}
        self.rejections: dict[Witness, str] = {}
        self.version = 0
        self.owned: dict[str, int] = {}
        self.ended = False
        # Retained witness that must confirm the replacement before new ones count.
        self.pending_witness: Witness | None = None

    @property
    def lease(self) -> str:
        """Return the id of the lease."""
        return self.info.lease

    def valid_until(self) -> float:
        """Return the time until which orders may be sent, without the guard."""
        sent = [
            self.confirmations[w].sent_at
            for w in self.active_witnesses
            if w in self.confirmations
        ]
        return max(sent) + HOST_LEASE_S if sent else float("-inf")

    def is_valid(self) -> bool:
        """Tell if an order may be sent now."""
        if self.ended:
            return False
        if self.needs_no_witness:
            return True
        return self.clock() < self.valid_until() - ORDER_GUARD_S

    def is_lost(self) -> bool:
        """Tell if no witness will ever confirm this lease again."""
        return bool(self.info.witnesses) and all(
            self.rejections.get(witness) == "granted" for witness in self.info.witnesses
        )

    def begin_witness_change(self, witnesses: tuple[Witness, ...]) -> LeaseInfo:
        """Begin a change of witnesses; until it ends only the retained ones count.

        The write of the host record may take effect late, so that both sets must be
        respected.
        """
        self.active_witnesses = tuple(
            w for w in self.active_witnesses if w in witnesses
        )
        self.needs_no_witness = False
        self.last_generation += 1
        return LeaseInfo(self.lease, witnesses, self.last_generation)

    def can_change_witnesses(
        self, witnesses: tuple[Witness, ...], ended_witnesses: set[Witness]
    ) -> bool:
        """Tell if a change is safe while a successor may know only the old witnesses.

        Either a retained witness will name the new set in its grant, or the instance of
        a replaced one has ended, so that it can't grant with its old state any more.
        """
        if not self.info.witnesses:
            return True
        if self.pending_witness is not None:
            return (
                self.pending_witness in witnesses
                or self.pending_witness in ended_witnesses
            )
        if any(witness in witnesses for witness in self.active_witnesses):
            return True
        return bool((set(self.info.witnesses) - set(witnesses)) & ended_witnesses)

    def finish_witness_change(
        self, info: LeaseInfo, ended_witnesses: set[Witness]
    ) -> None:
        """Use the registered witnesses, new ones once no older set can grant."""
        before = self.info.witnesses
        retained = [w for w in before if w in info.witnesses]
        if self.pending_witness is None:
            no_old_grants = not before or bool(
                (set(before) - set(info.witnesses)) & ended_witnesses
            )
        else:
            no_old_grants = self.pending_witness in ended_witnesses
        self.info = info
        self.version += 1
        self.needs_no_witness = not info.witnesses
        if no_old_grants:
            self.active_witnesses = info.witnesses
            self.pending_witness = None
        elif self.pending_witness is None:
            self.pending_witness = retained[0] if retained else None
        for witness in [w for w in self.confirmations if w not in info.witnesses]:
            del self.confirmations[witness]
        for witness in [w for w in self.rejections if w not in info.witnesses]:
            del self.rejections[witness]

    def declare(self, owned: dict[str, int]) -> int:
        """Declare the owned resources with their fences; return the version."""
        if owned != self.owned:
            self.owned = dict(owned)
            self.version += 1
        return self.version

    def is_declared(self, version: int) -> bool:
        """Tell if every witness knows of a declaration."""
        return all(
            witness in self.confirmations
            and self.confirmations[witness].version >= version
            for witness in self.info.witnesses
        )

    def renewal(self, witness: Witness) -> Renew:
        """Return the renewal for one witness."""
        known = self.confirmations.get(witness)
        if known is not None and known.version >= self.version:
            return Renew(self.lease, witness.instance, self.version)
        return Renew(
            self.lease,
            witness.instance,
            self.version,
            self.info.generation,
            [[w.host, w.instance] for w in self.info.witnesses],
            dict(self.owned),
        )

    def record_reply(
        self, witness: Witness, renewal: Renew, reply: Renewed, sent_at: float
    ) -> None:
        """Record the reply to a renewal that was sent at `sent_at`."""
        if renewal.lease != self.lease or witness not in self.info.witnesses:
            return
        if reply.status != "ok":
            self.rejections[witness] = reply.status
            return
        self.rejections.pop(witness, None)
        known = self.confirmations.get(witness)
        generation = renewal.generation if renewal.owned is not None else 0
        if known is not None:
            sent_at = max(sent_at, known.sent_at)
            generation = max(generation, known.generation)
        version = max(renewal.version, known.version if known is not None else -1)
        self.confirmations[witness] = Confirmation(sent_at, version, generation)
        if self.pending_witness == witness and generation >= self.info.generation:
            self.pending_witness = None
            self.active_witnesses = self.info.witnesses

    def restart(self) -> None:
        """Start a new lease without witnesses after the old one was lost."""
        self.epoch += 1
        self.info = LeaseInfo(f"{self.instance}.{self.epoch}", (), 0)
        self.active_witnesses = ()
        self.needs_no_witness = False
        self.confirmations.clear()
        self.rejections.clear()
        self.owned = {}
        self.version += 1
        self.pending_witness = None
        self.ended = False


@dataclass(slots=True)
class CollectedGrants:
    """Grants collected for one lease."""

    info: LeaseInfo
    grants: dict[Witness, Grant] = field(default_factory=dict)
    delisted: set[Witness] = field(default_factory=set)
    asked: list[Witness] = field(default_factory=list)
    wait_s: float = 0.0

    def is_sufficient(self, owner_ended: bool) -> bool:
        """Tell if the grants allow a takeover by compare-and-swap in the service.

        `owner_ended` tells that the host list dropped the owner or that this process
        listens at its address; without that, only one of two grants may come from a
        restarted witness.
        """
        if not self.info.witnesses:
            return owner_ended
        restarted = 0
        for witness in self.info.witnesses:
            grant = self.grants.get(witness)
            if grant is None:
                if not (owner_ended and witness in self.delisted):
                    return False
            elif grant.restarted:
                restarted += 1
        return restarted < len(self.info.witnesses) or owner_ended

    def provisional_fences(self) -> dict[str, int]:
        """Return the resources, with fences, to take over without the service.

        Only witnesses that remember the lease know of every hand-over, so that each
        of them must have granted the lease and list the resource.
        """
        if not self.info.witnesses:
            return {}
        tables = []
        for witness in self.info.witnesses:
            grant = self.grants.get(witness)
            if grant is None or grant.restarted or grant.owned is None:
                return {}
            tables.append(grant.owned)
        shared = set(tables[0]).intersection(*tables[1:])
        return {name: max(table[name] for table in tables) for name in shared}

    def add(self, witness: Witness, grant: Grant) -> None:
        """Add one grant; a newer generation replaces the set of witnesses."""
        self.grants[witness] = grant
        if grant.generation > self.info.generation and grant.witnesses is not None:
            witnesses = tuple(Witness(*pair) for pair in grant.witnesses)
            self.info = LeaseInfo(self.info.lease, witnesses, grant.generation)
