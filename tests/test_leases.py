"""Host leases and grants on a fake clock."""

from __future__ import annotations

import pytest

from filbertyard.leases import HOST_LEASE_S
from filbertyard.leases import ORDER_GUARD_S
from filbertyard.leases import WITNESS_WAIT_S
from filbertyard.leases import CollectedGrants
from filbertyard.leases import GrantRelease
from filbertyard.leases import GrantRequest
from filbertyard.leases import HostLease
from filbertyard.leases import Retire
from filbertyard.leases import Witness
from filbertyard.leases import WitnessTable

A = Witness("a", "a1")
B = Witness("b", "b1")
C = Witness("c", "c1")


class LeaseSetup:
    """A host lease and three witnesses on one fake clock."""

    def __init__(self, *witnesses: Witness) -> None:
        self.now = 100.0
        self.lease = HostLease("i", self.clock)
        self.tables = {w: WitnessTable(w.instance, self.clock) for w in (A, B, C)}
        self.now += 10
        self.change(*witnesses)

    def clock(self) -> float:
        return self.now

    def change(
        self, *witnesses: Witness, ended_witnesses: tuple[Witness, ...] = ()
    ) -> None:
        info = self.lease.begin_witness_change(witnesses)
        self.lease.finish_witness_change(info, set(ended_witnesses))

    def renew(self, *witnesses: Witness) -> None:
        for witness in witnesses:
            renewal = self.lease.renewal(witness)
            reply = self.tables[witness].renew(renewal)
            self.lease.record_reply(witness, renewal, reply, self.now)

    def grant(self, witness: Witness, successor: str = "s") -> bool:
        request = GrantRequest(self.lease.lease, witness.instance, successor)
        return self.tables[witness].grant(request).granted


def test_lease_lasts_from_the_sending_of_the_renewal() -> None:
    """Guard against a lease counted from the arrival of a late confirmation."""
    setup = LeaseSetup(A, B)
    assert not setup.lease.is_valid()
    renewal = setup.lease.renewal(A)
    sent_at = setup.now
    setup.now += 1.5
    setup.lease.record_reply(A, renewal, setup.tables[A].renew(renewal), sent_at)
    assert setup.lease.is_valid()
    setup.now = sent_at + HOST_LEASE_S - ORDER_GUARD_S
    assert not setup.lease.is_valid()


def test_grant_only_after_the_lease_and_once() -> None:
    """Guard against grants that overlap the lease or go to two successors."""
    setup = LeaseSetup(A, B)
    setup.renew(A, B)
    setup.now += WITNESS_WAIT_S - 0.01
    assert not setup.grant(A)
    setup.now += 0.02
    assert setup.grant(A)
    assert not setup.grant(A, "other")
    setup.renew(A)
    assert setup.lease.rejections[A] == "granted"
    assert not setup.lease.is_valid()


def test_released_grant_can_move_but_the_lease_stays_ended() -> None:
    """Guard against a grant that stays with a successor that can't use it."""
    setup = LeaseSetup(A, B)
    setup.renew(A, B)
    setup.now += WITNESS_WAIT_S
    assert setup.grant(A)
    setup.tables[A].release(GrantRelease(setup.lease.lease, "a1", "s"))
    assert setup.grant(A, "other")
    setup.renew(A)
    assert not setup.lease.is_valid()


def test_restarted_witness_waits_and_never_confirms() -> None:
    """Guard against a restarted witness that forgot a confirmation."""
    setup = LeaseSetup(A, B)
    setup.renew(A, B)
    setup.tables[A] = WitnessTable("a2", setup.clock)
    setup.renew(A)
    assert setup.lease.rejections[A] == "other_instance"
    setup.now += WITNESS_WAIT_S - 0.01
    assert not setup.grant(A)
    setup.now += 0.02
    assert setup.grant(A)


@pytest.mark.parametrize(
    ("restarted", "owner_ended", "expected"),
    [
        ((), False, True),
        ((A,), False, True),
        ((A, B), False, False),
        ((A, B), True, True),
    ],
)
def test_at_most_one_grant_of_a_restarted_witness(
    restarted: tuple[Witness, ...], owner_ended: bool, expected: bool
) -> None:
    """Guard against takeovers of a lease that no witness remembers."""
    setup = LeaseSetup(A, B)
    setup.lease.declare({"r": 7})
    setup.renew(A, B)
    for witness in restarted:
        setup.tables[witness] = WitnessTable("new", setup.clock)
    setup.now += WITNESS_WAIT_S
    collected = CollectedGrants(setup.lease.info)
    for witness in (A, B):
        request = GrantRequest(setup.lease.lease, witness.instance, "s")
        collected.add(witness, setup.tables[witness].grant(request))
    assert collected.is_sufficient(owner_ended) == expected
    assert collected.provisional_fences() == ({} if restarted else {"r": 7})


def test_delisted_witness_counts_only_with_the_owner() -> None:
    """Guard against a takeover from an owner that the list still names."""
    setup = LeaseSetup(A, B)
    setup.renew(A, B)
    setup.now += WITNESS_WAIT_S
    collected = CollectedGrants(setup.lease.info)
    request = GrantRequest(setup.lease.lease, "a1", "s")
    collected.add(A, setup.tables[A].grant(request))
    collected.delisted.add(B)
    assert not collected.is_sufficient(owner_ended=False)
    assert collected.is_sufficient(owner_ended=True)


def test_handed_over_resource_is_not_taken_provisionally() -> None:
    """Guard against a successor that missed a hand-over."""
    setup = LeaseSetup(A, B)
    setup.lease.declare({"r": 7, "q": 8})
    setup.renew(A, B)
    version = setup.lease.declare({"q": 8})
    setup.renew(B)
    assert not setup.lease.is_declared(version)
    setup.now += WITNESS_WAIT_S
    collected = CollectedGrants(setup.lease.info)
    for witness in (A, B):
        request = GrantRequest(setup.lease.lease, witness.instance, "s")
        collected.add(witness, setup.tables[witness].grant(request))
    assert collected.provisional_fences() == {"q": 8}


def test_new_witness_counts_after_the_retained_one_knows() -> None:
    """Guard against a successor that asks a replaced witness."""
    setup = LeaseSetup(A, B)
    setup.renew(A, B)
    assert setup.lease.can_change_witnesses((A, C), set())
    setup.change(A, C)
    setup.now += HOST_LEASE_S
    setup.renew(C)
    assert not setup.lease.is_valid()
    setup.renew(A)
    assert setup.lease.is_valid()
    setup.now += HOST_LEASE_S
    setup.renew(C)
    assert setup.lease.is_valid()
    setup.now += ORDER_GUARD_S
    collected = CollectedGrants(setup.lease.info)
    request = GrantRequest(setup.lease.lease, "a1", "s")
    collected.add(A, setup.tables[A].grant(request))
    assert collected.info.witnesses == (A, C)
    assert not setup.grant(C)


def test_replacing_both_witnesses_needs_one_to_have_ended() -> None:
    """Guard against two unreachable witnesses that still grant to a successor."""
    setup = LeaseSetup(A, B)
    assert not setup.lease.can_change_witnesses((C,), set())
    assert setup.lease.can_change_witnesses((C,), {A})


def test_fleet_of_one_and_two_hosts() -> None:
    """Guard against small fleets that can't hold a lease."""
    alone = LeaseSetup()
    assert alone.lease.is_valid()
    assert not CollectedGrants(alone.lease.info).is_sufficient(owner_ended=False)
    assert CollectedGrants(alone.lease.info).is_sufficient(owner_ended=True)
    alone.change(A)
    assert not alone.lease.is_valid()
    alone.renew(A)
    assert alone.lease.is_valid()
    alone.now += HOST_LEASE_S
    assert not alone.lease.is_valid()


def test_retired_lease_goes_to_the_named_successor() -> None:
    """Guard against waiting for the lease to end after a graceful shutdown."""
    setup = LeaseSetup(A, B)
    setup.renew(A, B)
    for witness in (A, B):
        retirement = Retire(setup.lease.lease, witness.instance, "s")
        setup.tables[witness].retire(retirement)
    assert not setup.grant(A, "other")
    assert setup.grant(A)
    assert setup.grant(B)


def test_successor_of_a_dead_successor() -> None:
    """Guard against a grant that stays with a host that died before it used it."""
    setup = LeaseSetup(A, B)
    setup.renew(A, B)
    setup.now += WITNESS_WAIT_S
    assert setup.grant(A, "dead")
    request = GrantRequest(setup.lease.lease, "a1", "s", ["dead"])
    assert setup.tables[A].grant(request).granted
