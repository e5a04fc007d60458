"""Heartbeats and published loads reach every host of the fleet."""

import time
from dataclasses import replace

import pytest

from filbertyard.gateway import fleet as fleets
from filbertyard.gateway.fleet import PEER_TIMEOUT_S
from filbertyard.gateway.fleet import Fleet
from filbertyard.gateway.hubs import HUBS_PER_ZONE
from filbertyard.gateway.loads import LoadTable
from filbertyard.gateway.messages import Digest
from filbertyard.gateway.messages import LoadBatch
from filbertyard.gateway.messages import ReplicaLoad
from filbertyard.gateway.messages import Roster
from filbertyard.gateway.ratelimits import RateLimitTable
from filbertyard.gateway.state import create_gateway_state
from filbertyard.gateway.types import HostRecord
from filbertyard.messages import Message
from filbertyard.platform.wireformat import create_platform_wire_format

ZONES = ("a", "b", "c")


class Clock:
    """The monotonic clock of all hosts of a test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 1000.0
        monkeypatch.setattr(time, "monotonic", lambda: self.now)


class FakeNetwork:
    """Deliver messages between hosts at once, and count them."""

    def __init__(self) -> None:
        self.handlers: dict[str, dict[type, object]] = {}
        self.dead: set[str] = set()
        self.sent = 0

    def peers(self, host: str) -> "FakePeers":
        return FakePeers(self, host)


class FakePeers:
    """The peer network of one host."""

    def __init__(self, network: FakeNetwork, host: str) -> None:
        self.network = network
        self.host = host
        self.handlers = network.handlers.setdefault(host, {})

    def handle(self, cls: type, handler: object) -> None:
        self.handlers[cls] = handler

    def send_one_way(self, host: str, message: Message) -> None:
        self.network.sent += 1
        if {host, self.host} & self.network.dead or host not in self.network.handlers:
            return
        self.network.handlers[host][type(message)](self.host, message)

    def disconnect(self, host: str) -> None:
        pass


class SimulatedHost:
    """The membership and the load table of one host."""

    def __init__(self, network: FakeNetwork, number: int) -> None:
        self.id = f"h{number:02}"
        self.zone = ZONES[number % 3]
        self.instance = "1"
        self.is_leaving = False
        self.restarted: list[str] = []
        self.state = create_gateway_state(create_platform_wire_format())
        peers = network.peers(self.id)
        self.fleet = Fleet(
            peers=peers,
            state=self.state,
            zone=self.zone,
            seeds=(),
            describe=self.digest,
            compare_revisions=lambda *arguments: None,
            on_restart=self.restarted.append,
        )
        self.fleet.send = lambda hosts, message: [
            peers.send_one_way(host, message) for host in list(hosts)
        ]
        self.loads = LoadTable(self.fleet, peers, self.state, RateLimitTable())

    def digest(self) -> Digest:
        return Digest(
            self.id,
            self.instance,
            f"{self.id}:1",
            self.zone,
            self.is_leaving,
            True,
            {},
        )

    def step(self) -> None:
        """Send what the host's task sends in one interval."""
        self.fleet.send_heartbeats()


class FleetSimulation:
    """A fleet whose hosts all send their messages each half second."""

    def __init__(self, count: int, clock: Clock) -> None:
        self.clock = clock
        self.network = FakeNetwork()
        self.hosts = [SimulatedHost(self.network, number) for number in range(count)]
        for host in self.hosts:
            for other in self.hosts:
                host.state.hosts[other.id] = HostRecord(
                    other.id, other.instance, "", other.zone, False
                )

    def run(self, seconds: float) -> None:
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now += 0.5
            for host in self.hosts:
                if host.id not in self.network.dead:
                    host.step()

    def alive(self) -> list[SimulatedHost]:
        return [host for host in self.hosts if host.id not in self.network.dead]


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    return Clock(monkeypatch)


@pytest.mark.parametrize("count", [6, 79, 195])
def test_every_host_has_a_heartbeat_of_every_other(count: int, clock: Clock) -> None:
    simulation = FleetSimulation(count, clock)
    simulation.run(6.0)
    for host in simulation.hosts:
        assert len(host.fleet.reachable()) == count - 1


def test_messages_of_a_large_fleet_grow_with_its_size_only(clock: Clock) -> None:
    """Guards against 79 hosts that each message 78 others twice a second."""
    simulation = FleetSimulation(79, clock)
    simulation.run(6.0)
    simulation.network.sent = 0
    simulation.run(1.0)
    assert simulation.network.sent < 79 * 78 * 2 / 4


@pytest.mark.parametrize("count", [79, 195])
def test_messages_of_a_spoke_do_not_grow_with_the_fleet(
    count: int, clock: Clock
) -> None:
    """Guards against heartbeats of each host to the hubs of every zone."""
    simulation = FleetSimulation(count, clock)
    simulation.run(6.0)
    spokes = [host for host in simulation.hosts if not host.fleet.is_hub()]
    for host in spokes:
        targets = host.fleet.heartbeat_targets()
        assert len(targets) <= HUBS_PER_ZONE
        hubs = host.fleet.hubs()
        assert {hubs[key] for key in targets} == {host.zone}
    assert len(spokes) == count - len(ZONES) * HUBS_PER_ZONE


@pytest.mark.parametrize("count", [6, 79])
def test_a_dead_host_is_left_out_in_time(count: int, clock: Clock) -> None:
    simulation = FleetSimulation(count, clock)
    simulation.run(6.0)
    simulation.network.dead = {"h04"}
    simulation.run(PEER_TIMEOUT_S + 0.5)
    for host in simulation.alive():
        assert host.fleet.reachable() == {h.id for h in simulation.alive()} - {host.id}
        assert "h04:1" not in host.fleet.caller_addresses()


def test_hosts_stay_reachable_after_the_loss_of_all_hubs(clock: Clock) -> None:
    simulation = FleetSimulation(79, clock)
    simulation.run(6.0)
    simulation.network.dead = set(simulation.hosts[0].fleet.hubs())
    assert len(simulation.network.dead) == 9
    simulation.run(4.0)
    for host in simulation.alive():
        assert host.fleet.reachable() == {h.id for h in simulation.alive()} - {host.id}
    simulation.network.sent = 0
    simulation.run(1.0)
    assert simulation.network.sent < 70 * 69 * 2 / 4


def test_a_new_host_presumes_that_registered_processes_live(clock: Clock) -> None:
    """Guards against owners that a new host asks only a second after its start."""
    simulation = FleetSimulation(79, clock)
    fleet = simulation.hosts[0].fleet
    assert fleet.is_expected("h05", "1")
    assert not fleet.is_expected("h05", "2")
    assert not fleet.is_expected("unknown", "1")
    simulation.network.dead = {"h05"}
    simulation.run(3.0)
    assert not fleet.is_expected("h05", "1")
    assert fleet.is_expected("h06", "1")


def test_a_restart_is_detected_once_by_every_host(clock: Clock) -> None:
    simulation = FleetSimulation(79, clock)
    simulation.run(6.0)
    simulation.hosts[7].instance = "2"
    simulation.run(3.0)
    for host in simulation.hosts:
        assert host.restarted == ([] if host.id == "h07" else ["h07"])


def test_a_stopping_host_stays_excluded_when_hubs_learn_of_it_later(
    clock: Clock,
) -> None:
    simulation = FleetSimulation(79, clock)
    simulation.run(6.0)
    leaving = simulation.hosts[7]
    hub = next(h for h in simulation.hosts if h.zone == "a" and h.fleet.is_hub())
    spoke = next(iter(hub.fleet.spokes()))
    other = next(host for host in simulation.hosts if host.id == spoke)
    members = hub.fleet.members
    seen = {key: (peer.digest, peer.last_seen_at) for key, peer in members.items()}
    recipients = hub.fleet.spokes() | {"new"}
    rosters = hub.fleet.spoke_rosters
    before = rosters.create(hub.digest(), seen, recipients, clock.now)
    assert before.rows
    leaving.is_leaving = True
    other.fleet.handle_digest(leaving.id, leaving.digest())
    clock.now += 0.01
    other.fleet.handle_roster(hub.id, before)
    assert leaving.id in other.fleet.reachable()
    assert "h07:1" not in other.fleet.caller_addresses()


def test_a_roster_without_its_list_is_not_misread(clock: Clock) -> None:
    simulation = FleetSimulation(79, clock)
    simulation.run(6.0)
    host = simulation.hosts[0]
    known = dict(host.fleet.members)
    host.fleet.handle_roster("h50", Roster(99, [], bytes(79), {}))
    assert host.fleet.members == known


def load(number: int, wait_s: float, *adapters: str, fence: int = 1) -> ReplicaLoad:
    return ReplicaLoad(
        "r", fence, number, wait_s, 0.001, 1, 0.3, 0.0, {"m": ["", *adapters]}
    )


def test_loads_reach_every_host_of_a_large_fleet(clock: Clock) -> None:
    simulation = FleetSimulation(79, clock)
    simulation.run(6.0)
    for host in simulation.hosts:
        host.state.replicas["r"] = object()
    simulation.hosts[5].loads.publish(load(1, 0.5, "x"))
    for host in simulation.hosts:
        if host.fleet.is_hub():
            host.fleet.send_to_spokes(LoadBatch(host.loads.next_batch()))
    for host in simulation.hosts:
        assert host.loads.views["r"].load.wait_s == 0.5
        assert len(host.loads.views["r"].resident) == 2


def test_an_older_load_never_replaces_a_newer_one(clock: Clock) -> None:
    table = FleetSimulation(2, clock).hosts[0].loads
    assert table.record(load(2, 0.2), 10.0)
    assert not table.record(load(1, 0.1), 10.1)
    assert not table.record(load(2, 0.2), 10.1)
    assert table.record(load(1, 0.3, fence=2), 10.2)
    assert table.views["r"].load.wait_s == 0.3


def test_resident_adapters_are_sent_only_when_they_change(clock: Clock) -> None:
    simulation = FleetSimulation(2, clock)
    table, other = simulation.hosts[0].loads, simulation.hosts[1].loads
    table.state.replicas["r"] = object()
    for number, adapters in enumerate([("x",), ("x",), ("x", "y")], start=1):
        table.handle_load("owner", load(number, 0.1, *adapters))
        rows = table.next_batch()
        assert (rows[0][-2] is None) == (number == 2)
        other.handle_load_batch("hub", LoadBatch(rows))
        assert len(other.views["r"].resident) == 1 + len(adapters)
    assert table.next_batch() == []


def test_the_age_of_a_relayed_load_counts_from_its_publication(clock: Clock) -> None:
    simulation = FleetSimulation(2, clock)
    table, other = simulation.hosts[0].loads, simulation.hosts[1].loads
    table.state.replicas["r"] = object()
    table.handle_load("owner", load(1, 0.1))
    clock.now += 0.2
    other.handle_load_batch("hub", LoadBatch(table.next_batch()))
    assert clock.now - other.views["r"].at == pytest.approx(0.2)


def test_hubs_pass_on_the_speed_of_a_replica(clock: Clock) -> None:
    simulation = FleetSimulation(2, clock)
    table, other = simulation.hosts[0].loads, simulation.hosts[1].loads
    table.state.replicas["r"] = object()
    table.handle_load(
        "owner", replace(load(1, 0.1), slowdown=2.04, max_prompt_tokens=900)
    )
    rows = table.next_batch()
    # A replica may be removed between a batch and its speeds.
    batch = LoadBatch(rows, speeds=table.speed_rows(["r", "gone"]))
    other.handle_load_batch("hub", batch)
    known = other.views["r"].load
    assert (known.slowdown, known.max_prompt_tokens) == (2.04, 900)


def test_timeouts_are_longer_than_two_missed_digests() -> None:
    assert fleets.PEER_TIMEOUT_S > 3 * fleets.DIGEST_INTERVAL_S
    assert fleets.HUB_TIMEOUT_S > 2 * fleets.DIGEST_INTERVAL_S
