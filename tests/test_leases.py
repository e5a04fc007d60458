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


class Scene:
    """A holder and three witnesses on one clock."""

    def __init__(self, *witnesses: Witness) -> None:
        self.now = 100.0
        self.lease = HostLease("i", self.clock)
        self.tables = {w: WitnessTable(w.instance, self.clock) for w in (A, B, C)}
        self.now += 10
        self.change(*witnesses)

    def clock(self) -> float:
        return self.now

    def change(self, *witnesses: Witness, gone: tuple[Witness, ...] = ()) -> None:
        info = self.lease.begin_witness_change(witnesses)
        self.lease.finish_witness_change(info, set(gone))

    def renew(self, *witnesses: Witness) -> None:
        for witness in witnesses:
            renewal = self.lease.renewal(witness)
            reply = self.tables[witness].renew(renewal)
            self.lease.confirm(witness, renewal, reply, self.now)

    def grant(self, witness: Witness, successor: str = "s") -> bool:
        request = GrantRequest(self.lease.lease, witness.instance, successor)
        return self.tables[witness].grant(request).granted


def test_lease_lasts_from_the_sending_of_the_renewal() -> None:
    """Guard against a lease counted from the arrival of a late confirmation."""
    scene = Scene(A, B)
    assert not scene.lease.is_valid()
    renewal = scene.lease.renewal(A)
    sent_at = scene.now
    scene.now += 1.5
    scene.lease.confirm(A, renewal, scene.tables[A].renew(renewal), sent_at)
    assert scene.lease.is_valid()
    scene.now = sent_at + HOST_LEASE_S - ORDER_GUARD_S
    assert not scene.lease.is_valid()


def test_grant_only_after_the_lease_and_once() -> None:
    """Guard against grants that overlap the lease or go to two successors."""
    scene = Scene(A, B)
    scene.renew(A, B)
    scene.now += WITNESS_WAIT_S - 0.01
    assert not scene.grant(A)
    scene.now += 0.02
    assert scene.grant(A)
    assert not scene.grant(A, "other")
    scene.renew(A)
    assert scene.lease.rejections[A] == "granted"
    assert not scene.lease.is_valid()


def test_released_grant_can_move_but_the_lease_stays_ended() -> None:
    """Guard against a grant that nobody can use for ever."""
    scene = Scene(A, B)
    scene.renew(A, B)
    scene.now += WITNESS_WAIT_S
    assert scene.grant(A)
    scene.tables[A].release(GrantRelease(scene.lease.lease, "a1", "s"))
    assert scene.grant(A, "other")
    scene.renew(A)
    assert not scene.lease.is_valid()


def test_restarted_witness_waits_and_never_confirms() -> None:
    """Guard against a restarted witness that forgot a confirmation."""
    scene = Scene(A, B)
    scene.renew(A, B)
    scene.tables[A] = WitnessTable("a2", scene.clock)
    scene.renew(A)
    assert scene.lease.rejections[A] == "other_instance"
    scene.now += WITNESS_WAIT_S - 0.01
    assert not scene.grant(A)
    scene.now += 0.02
    assert scene.grant(A)


@pytest.mark.parametrize(
    ("restarted", "owner_gone", "expected"),
    [
        ((), False, True),
        ((A,), False, True),
        ((A, B), False, False),
        ((A, B), True, True),
    ],
)
def test_at_most_one_grant_of_a_restarted_witness(
    restarted: tuple[Witness, ...], owner_gone: bool, expected: bool
) -> None:
    """Guard against takeovers that no witness remembers."""
    scene = Scene(A, B)
    scene.lease.declare({"r": 7})
    scene.renew(A, B)
    for witness in restarted:
        scene.tables[witness] = WitnessTable("new", scene.clock)
    scene.now += WITNESS_WAIT_S
    collected = CollectedGrants(scene.lease.info)
    for witness in (A, B):
        request = GrantRequest(scene.lease.lease, witness.instance, "s")
        collected.add(witness, scene.tables[witness].grant(request))
    assert collected.is_sufficient(owner_gone) == expected
    assert collected.provisional_fences() == ({} if restarted else {"r": 7})


def test_delisted_witness_counts_only_with_the_owner() -> None:
    """Guard against a takeover from an owner that the list still names."""
    scene = Scene(A, B)
    scene.renew(A, B)
    scene.now += WITNESS_WAIT_S
    collected = CollectedGrants(scene.lease.info)
    request = GrantRequest(scene.lease.lease, "a1", "s")
    collected.add(A, scene.tables[A].grant(request))
    collected.delisted.add(B)
    assert not collected.is_sufficient(owner_gone=False)
    assert collected.is_sufficient(owner_gone=True)


def test_handed_over_resource_is_not_taken_provisionally() -> None:
    """Guard against a successor that missed a hand-over."""
    scene = Scene(A, B)
    scene.lease.declare({"r": 7, "q": 8})
    scene.renew(A, B)
    version = scene.lease.declare({"q": 8})
    scene.renew(B)
    assert not scene.lease.is_declared(version)
    scene.now += WITNESS_WAIT_S
    collected = CollectedGrants(scene.lease.info)
    for witness in (A, B):
        request = GrantRequest(scene.lease.lease, witness.instance, "s")
        collected.add(witness, scene.tables[witness].grant(request))
    assert collected.provisional_fences() == {"q": 8}


def test_new_witness_counts_after_the_retained_one_knows() -> None:
    """Guard against a successor that asks a replaced witness."""
    scene = Scene(A, B)
    scene.renew(A, B)
    assert scene.lease.can_change_witnesses((A, C), set())
    scene.change(A, C)
    scene.now += HOST_LEASE_S
    scene.renew(C)
    assert not scene.lease.is_valid()
    scene.renew(A)
    assert scene.lease.is_valid()
    scene.now += HOST_LEASE_S
    scene.renew(C)
    assert scene.lease.is_valid()
    scene.now += ORDER_GUARD_S
    collected = CollectedGrants(scene.lease.info)
    request = GrantRequest(scene.lease.lease, "a1", "s")
    collected.add(A, scene.tables[A].grant(request))
    assert collected.info.witnesses == (A, C)
    assert not scene.grant(C)


def test_replacing_both_witnesses_needs_one_to_be_gone() -> None:
    """Guard against two unreachable witnesses that still grant to a successor."""
    scene = Scene(A, B)
    assert not scene.lease.can_change_witnesses((C,), set())
    assert scene.lease.can_change_witnesses((C,), {A})


def test_fleet_of_one_and_two_hosts() -> None:
    """Guard against small fleets that can't hold a lease."""
    alone = Scene()
    assert alone.lease.is_valid()
    assert not CollectedGrants(alone.lease.info).is_sufficient(owner_gone=False)
    assert CollectedGrants(alone.lease.info).is_sufficient(owner_gone=True)
    alone.change(A)
    assert not alone.lease.is_valid()
    alone.renew(A)
    assert alone.lease.is_valid()
    alone.now += HOST_LEASE_S
    assert not alone.lease.is_valid()


def test_retired_lease_goes_to_the_named_successor() -> None:
    """Guard against a wait of the lease after a graceful shutdown."""
    scene = Scene(A, B)
    scene.renew(A, B)
    for witness in (A, B):
        retirement = Retire(scene.lease.lease, witness.instance, "s")
        scene.tables[witness].retire(retirement)
    assert not scene.grant(A, "other")
    assert scene.grant(A)
    assert scene.grant(B)


def test_successor_of_a_dead_successor() -> None:
    """Guard against a grant that stays with a host that died before using it."""
    scene = Scene(A, B)
    scene.renew(A, B)
    scene.now += WITNESS_WAIT_S
    assert scene.grant(A, "dead")
    request = GrantRequest(scene.lease.lease, "a1", "s", ["dead"])
    assert scene.tables[A].grant(request).granted
