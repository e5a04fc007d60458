"""Claims of replicas: when this host may give load and unload orders to a replica.

An owner may freeze, be partitioned, be killed or fail to reach the store while another
host takes over. Two hosts must not give orders to one replica within the order gap,
even where the replica does not check fencing tokens. The owner stops by itself when it
could not renew for `CLAIM_VALIDITY_S`; a successor claims after that time and waits for
the order gap.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace

import xxhash

from .types import HostRecord
from .types import OwnerRecord

# An owner gives orders for this long after it sent its last renewal. Longer than usual
# outages of the store, during which no other host can take over either.
CLAIM_VALIDITY_S = 8.0

# Margin for timers that fire late and for orders in transit.
TIMING_MARGIN_S = 0.5

# Time to live of a host's lease in the store.
HOST_LEASE_S = 3

# A host counts as lost when its record has been missing for this long: from then on it
# gives no orders, and a host that was frozen for less keeps its replicas.
HOST_LOSS_TIMEOUT_S = CLAIM_VALIDITY_S + TIMING_MARGIN_S

# A stopping host releases its replicas last; its next process takes them back without a
# pause in orders if it starts within this time.
RESTART_GRACE_S = 2.5

# Delay between the hosts that may claim the same replica.
CLAIM_STAGGER_S = 1.5


@dataclass(frozen=True, slots=True)
class Claim:
    """One replica that this host owns; orders may begin at `not_before`.

    `wait_s` is the wait that the record in the store still holds.
    """

    fence: int
    not_before: float
    wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ClaimDecision:
    """A replica to claim; `revision` is that of the record replaced, 0 for none."""

    replica: str
    revision: int
    wait_s: float
    cause: str


class ClaimTable:
    """The claims of this host; times are on a clock that counts suspended time."""

    def __init__(self, order_gap_s: float) -> None:
        self.order_gap_s = order_gap_s
        self.renewed_at = float("-inf")
        self.claims: dict[str, Claim] = {}

    def renew(self, sent_at: float) -> None:
        """Record that the store confirmed a renewal sent at `sent_at`."""
        self.renewed_at = max(self.renewed_at, sent_at)

    def is_valid(self, now: float) -> bool:
        """Tell if no other host can have begun to give orders."""
        return now < self.renewed_at + CLAIM_VALIDITY_S - TIMING_MARGIN_S

    def may_order(self, replica: str, now: float) -> bool:
        """Tell if an order to a replica may be sent now."""
        claim = self.claims.get(replica)
        return claim is not None and now >= claim.not_before and self.is_valid(now)

    def add(self, replica: str, fence: int, now: float, wait_s: float) -> None:
        """Record a claim that the store accepted."""
        self.claims[replica] = Claim(fence, now + wait_s, wait_s)

    def confirm(self, replica: str, fence: int) -> None:
        """Record the fence under which the store still holds a claim after a loss."""
        self.claims[replica] = replace(self.claims[replica], fence=fence)

    def claims_past_wait(self, now: float) -> list[str]:
        """Return the replicas whose wait is over but still recorded in the store."""
        return [
            replica
            for replica, claim in self.claims.items()
            if claim.wait_s > 0 and now >= claim.not_before
        ]

    def drop_unconfirmed(
        self, records: Mapping[str, OwnerRecord], host: str, instance: str
    ) -> None:
        """Drop the claims whose records name another process or are gone."""
        for replica in list(self.claims):
            record = records.get(replica)
            if record is None or (record.host, record.instance) != (host, instance):
                del self.claims[replica]

    def takeover_wait_s(self) -> float:
        """Return how long a successor waits after its claim."""
        return self.order_gap_s + TIMING_MARGIN_S


def decide_claims(
    *,
    host: HostRecord,
    replicas: Iterable[str],
    owners: Mapping[str, OwnerRecord],
    hosts: Mapping[str, HostRecord],
    missing_since: Mapping[str, float],
    claimable_since: Mapping[str, float],
    reachable: set[str],
    claim_table: ClaimTable,
    now: float,
) -> list[ClaimDecision]:
    """Return the replicas that this host should claim now.

    Replicas without an owner go to the live hosts that own least, so that the loss of
    one host leaves few replicas without orders.
    """
    live = {key for key, record in hosts.items() if not record.is_leaving}
    if host.is_leaving or host.id not in live:
        return []
    owned = {key: 0 for key in live}
    for record in owners.values():
        if record.host in owned and not record.is_released:
            owned[record.host] += 1
    decisions = []
    for replica in sorted(replicas):
        known = owners.get(replica)
        cause = claim_cause(known, host, hosts, missing_since, reachable, now)
        if not cause and is_unclaimed(known, host, claim_table):
            cause = "unclaimed"
        if not cause:
            continue
        if cause not in ("restarted", "unclaimed"):
            claim_order = sorted(
                live,
                key=lambda key: (
                    owned[key],
                    -xxhash.xxh64_intdigest(f"{replica}|{key}"),
                ),
            )
            position = claim_order.index(host.id)
            since = claimable_since.get(replica, now)
            restart_grace_s = RESTART_GRACE_S if cause == "released" else 0.0
            if now < since + restart_grace_s + position * CLAIM_STAGGER_S:
                owned[claim_order[0]] += 1
                continue
        owned[host.id] += 1
        decisions.append(
            ClaimDecision(
                replica,
                known.fence if known is not None else 0,
                {
                    "new": 0.0,
                    # A wait that the previous process did not finish starts again.
                    "restarted": known.wait_s if known is not None else 0.0,
                    "released": claim_table.takeover_wait_s(),
                    "lost": claim_table.takeover_wait_s(),
                    "unclaimed": claim_table.takeover_wait_s(),
                }[cause],
                cause,
            )
        )
    return decisions


def is_unclaimed(
    record: OwnerRecord | None, host: HostRecord, claim_table: ClaimTable
) -> bool:
    """Tell if a record names this process although it holds no such claim.

    It lost the response to the claim, or the store came back with an earlier record.
    """
    return (
        record is not None
        and (record.host, record.instance) == (host.id, host.instance)
        and record.replica not in claim_table.claims
    )


def claim_cause(
    record: OwnerRecord | None,
    host: HostRecord,
    hosts: Mapping[str, HostRecord],
    missing_since: Mapping[str, float],
    reachable: set[str],
    now: float,
) -> str:
    """Return why a replica may be claimed, empty if it may not."""
    if record is None:
        return "new"
    if record.host == host.id:
        # Orders of an earlier process of this host count as the same owner's.
        return "" if record.instance == host.instance else "restarted"
    if record.host in hosts and not record.is_released:
        return ""
    if record.is_released:
        return "released"
    since = missing_since.get(record.host)
    if since is None or now - since < HOST_LOSS_TIMEOUT_S or record.host in reachable:
        return ""
    return "lost"
