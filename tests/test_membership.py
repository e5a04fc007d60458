"""Probes, suspicion and gossip between memberships over real streams."""

from __future__ import annotations

import time
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import asdict

import gevent
import pytest

from filbertyard import membership as membership_module
from filbertyard.membership import SUSPECT
from filbertyard.membership import GossipEntry
from filbertyard.membership import Member
from filbertyard.membership import Membership
from filbertyard.peers import PeerNetwork

LIMIT_S = 60.0


def wait_for(condition: Callable[[], bool], what: str) -> None:
    deadline = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < deadline, f"not within {LIMIT_S:g} s: {what}"
        gevent.sleep(0.02)


class Group:
    """Memberships that know only the first host at the start."""

    def __init__(self, regions: dict[str, str]) -> None:
        self.members: dict[str, Membership] = {}
        for name, region in regions.items():
            self.add(name, region, f"{name}-1", 1)

    def add(self, name: str, region: str, instance: str, incarnation: int) -> None:
        own = Member(name, instance, f"{name}:80", "127.0.0.1:0", region, "z")
        membership = Membership(own)
        network = PeerNetwork(
            name, instance, own.peers, "group-key", membership.find_peer_address
        )
        membership.attach(network)
        network.start()
        own.peers = network.address
        membership.start(incarnation << 20)
        if self.members:
            seed = next(iter(self.members.values())).local_member
            membership.merge_entry(
                GossipEntry(
                    "host", seed.name, seed.name, 1 << 20, SUSPECT, asdict(seed)
                )
            )
            membership.sync_with(seed)
        self.members[name] = membership

    def network(self, name: str) -> PeerNetwork:
        network = self.members[name].peers
        assert network is not None
        return network

    def kill(self, name: str) -> None:
        self.members[name].stop()
        self.network(name).stop()
        del self.members[name]

    def knows(self, name: str) -> set[str]:
        return {m.name for m in self.members[name].reachable_members()}

    def all_know(self, names: set[str]) -> bool:
        return all(self.knows(name) == names for name in names)

    def cut(self, some: set[str], others: set[str]) -> None:
        for name in some:
            self.network(name).faults.cut |= others

    def heal(self) -> None:
        for name in self.members:
            self.network(name).faults.cut.clear()

    def stop(self) -> None:
        for name in list(self.members):
            self.kill(name)


@pytest.fixture
def group(monkeypatch: pytest.MonkeyPatch) -> Iterator[Group]:
    monkeypatch.setattr(membership_module, "SUSPICION_TIMEOUT_S", 1.0)
    monkeypatch.setattr(membership_module, "DIGEST_INTERVAL_S", 0.5)
    regions = {"a": "east", "b": "east", "c": "east", "d": "west", "e": "west"}
    group = Group(regions)
    wait_for(lambda: group.all_know(set(regions)), "all know each other")
    yield group
    group.stop()


def test_dead_host_is_declared_and_its_next_instance_known(group: Group) -> None:
    """Guard against dead hosts that stay listed and restarted ones that stay dead."""
    group.kill("e")
    rest = {"a", "b", "c", "d"}
    wait_for(lambda: all(group.members[n].is_dead("e") for n in rest), "e is dead")
    group.add("e", "west", "e-2", 2)
    wait_for(lambda: group.all_know({*rest, "e"}), "e is back")
    assert group.members["b"].members["e"].instance == "e-2"


def test_host_that_one_other_cannot_reach_stays(group: Group) -> None:
    """Guard against a host declared dead because one other host can't reach it."""
    group.cut({"a"}, {"b"})
    deadline = time.monotonic() + 4.0
    while time.monotonic() < deadline:
        assert not any(m.is_dead("b") for m in group.members.values())
        gevent.sleep(0.05)


def test_suspected_host_refutes(group: Group) -> None:
    """Guard against a paused host that is declared dead after it resumed."""
    before = group.members["c"].incarnation
    group.members["a"].mark_status("c", SUSPECT)
    wait_for(lambda: group.members["c"].incarnation > before, "c refutes")
    wait_for(lambda: group.all_know({"a", "b", "c", "d", "e"}), "c is present")


def test_regions_reconnect_after_a_partition(group: Group) -> None:
    """Guard against regions that never probe each other again after a cut."""
    east, west = {"a", "b", "c"}, {"d", "e"}
    group.cut(east, west)
    group.cut(west, east)
    wait_for(lambda: group.all_know(east) and group.all_know(west), "regions apart")
    group.heal()
    wait_for(lambda: group.all_know(east | west), "regions together")


def test_replica_entries_stay_in_their_region(group: Group) -> None:
    """Guard against gossip whose volume grows with all regions."""
    group.members["a"].publish_replica("r", 7, [["x"], {}, False])
    group.members["a"].publish("owner", "r", 7, 0, ["a", "l", 0, 7])
    wait_for(lambda: group.members["c"].value("replica", "r") is not None, "in region")
    wait_for(lambda: group.members["e"].value("owner", "r") is not None, "everywhere")
    assert group.members["e"].value("replica", "r") is None


def test_changes_are_sent_a_limited_number_of_times(group: Group) -> None:
    """Guard against entries that are sent forever."""
    group.members["b"].publish("settings", "b", 5, 0, 5)
    for membership in group.members.values():
        wait_for(lambda m=membership: m.value("settings", "b") == 5, "spread")  # type: ignore[misc]
    for membership in group.members.values():
        wait_for(lambda m=membership: not m.remaining_sends, "nothing left to send")  # type: ignore[misc]


def test_digest_repairs_what_gossip_missed(group: Group) -> None:
    """Guard against entries that are lost with the messages that carried them."""
    group.members["b"].publish("settings", "b", 9, 0, 9)
    for membership in group.members.values():
        membership.remaining_sends.clear()
    for membership in group.members.values():
        wait_for(lambda m=membership: m.value("settings", "b") == 9, "repaired")  # type: ignore[misc]


def test_older_versions_never_replace_newer_ones(group: Group) -> None:
    """Guard against a late message that reverts an entry."""
    membership = group.members["a"]
    membership.merge_entry(GossipEntry("owner", "r", "b", 9, 0, ["b", "l", 0, 9]))
    assert not membership.merge_entry(
        GossipEntry("owner", "r", "c", 8, 5, ["c", "l", 0, 8])
    )
    assert membership.value("owner", "r")[0] == "b"
