"""Measure the time and cost until a settings change is in force on all hosts."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

import gevent

from ..keyvalue import create_key_value
from ..membership import Member
from ..peers import PeerNetwork
from ..settingscommits import ChangeRequest
from ..settingslayout import build_snapshot
from ..settingslayout import state_values
from ..settingsstore import SettingsStore
from ..settingstree import apply_changes
from ..standins.keyvalue import KeyValueStandin
from ..teamsettings import Snapshot
from . import experiment

SHARED_KEY = "propagation-experiment"

ADAPTERS_PER_TEAM = 1000

# A change that takes longer counts as lost and ends the run.
CHANGE_TIMEOUT_S = 30.0

POLL_S = 0.001

# Exchanges that hosts began at their start have ended by then.
SETTLE_DELAY_S = 3.0

FLEET_TREE = {
    "ranks": {
        "urgent": {"urgency": 1, "share": 0.5, "target_s": 0.5},
        "later": {"urgency": 2, "share": 0.5, "target_s": 4.0},
    },
    "upstreams": {"writer": {"kind": "engine"}},
    "store": {"min_rate_per_s": 2, "max_rate_per_s": 3},
}


@dataclass(slots=True)
class SettingsHost:
    """The settings, membership and peer parts of a host."""

    local_member: Member
    store: SettingsStore
    peers: PeerNetwork
    tasks: list[gevent.Greenlet[..., None]] = field(default_factory=list)


class SettingsFleet:
    """Many hosts in one process over one stand-in of the key-value service."""

    def __init__(self, zones: int) -> None:
        self.zones = zones
        self.standin = KeyValueStandin()
        self.standin.start()
        self.hosts: dict[str, SettingsHost] = {}
        self.activation_times: dict[int, list[float]] = {}

    def add_host(self) -> SettingsHost:
        """Add and return a host that does not follow the settings yet."""
        number = len(self.hosts) + 1
        zone = f"zone-{number % self.zones}"
        local_member = Member(f"entry-{number}", "1", "", "127.0.0.1:0", "region", zone)
        peers = PeerNetwork(
            local_member.name, "1", local_member.peers, SHARED_KEY, self.find_address
        )
        key_value = create_key_value("etcd-v3-json", self.standin.address, 5.0)
        host = SettingsHost(local_member, SettingsStore(key_value, seed=number), peers)
        host.store.join(FleetMembers(self, local_member), peers)
        host.store.listeners.append(self.record_activation)
        peers.start()
        local_member.peers = peers.address
        self.hosts[local_member.name] = host
        return host

    def start_host(self, host: SettingsHost) -> None:
        """Start the task of a host that follows the settings."""
        host.tasks.append(gevent.spawn(host.store.run))

    def find_address(self, name: str) -> str | None:
        """Return the address of a host."""
        host = self.hosts.get(name)
        return host.local_member.peers if host is not None else None

    def record_activation(self, snapshot: Snapshot) -> None:
        """Record that one host has a revision in force."""
        now = time.monotonic()
        self.activation_times.setdefault(snapshot.revision, []).append(now)

    def bytes_sent(self) -> int:
        """Return the bytes that the hosts sent to each other."""
        return sum(host.peers.traffic.bytes_sent for host in self.hosts.values())

    def calls(self) -> int:
        """Return the calls to the key-value service."""
        return sum(self.standin.calls.values())

    def wait_for(self, revision: int) -> bool:
        """Wait until all hosts have a revision; return false on timeout."""
        end = time.monotonic() + CHANGE_TIMEOUT_S
        while any(h.store.snapshot.revision < revision for h in self.hosts.values()):
            if time.monotonic() > end:
                return False
            gevent.sleep(POLL_S)
        return True

    def stop(self) -> None:
        """Stop everything."""
        for host in self.hosts.values():
            gevent.killall(host.tasks, block=False)
            host.peers.stop()
        self.standin.stop()


class FleetMembers:
    """All hosts of the experiment, each live."""

    def __init__(self, fleet: SettingsFleet, local_member: Member) -> None:
        self.fleet = fleet
        self.local_member = local_member

    def live_members(self) -> list[Member]:
        """Return all hosts."""
        return [host.local_member for host in self.fleet.hosts.values()]


def write_settings(store: SettingsStore, adapters: int) -> None:
    """Commit a fleet and teams with a number of adapters."""
    changes = [("fleet", FLEET_TREE), *team_trees(adapters)]
    for path, tree in changes:
        store.commit(ChangeRequest({path: tree}, "bench", "setup")).unwrap()


def team_trees(adapters: int) -> Iterator[tuple[str, object]]:
    """Yield the subtrees of teams that share a number of adapters."""
    for first in range(0, adapters, ADAPTERS_PER_TEAM):
        numbers = range(first, min(adapters, first + ADAPTERS_PER_TEAM))
        rows = {
            f"adapter-{n}": {
                "version": f"v{n % 37}",
                "upstream": "writer",
                "keep": [f"v{n % 37 + 1}"],
            }
            for n in numbers
        }
        team = {"default_rank": "later", "adapters": rows}
        yield f"teams/team-{first // ADAPTERS_PER_TEAM}", team


@experiment("propagation")
def propagation(
    *, hosts: int = 9, changes: int = 30, adapters: int = 3000, idle_s: float = 5.0
) -> int:
    """Measure the time from an accepted change to in force on all hosts, and its cost.

    Exit status 1 if a change did not arrive everywhere.

    :param hosts: hosts in this process
    :param changes: changes, one after the other
    :param adapters: adapters in the settings
    :param idle_s: seconds without changes, whose cost is subtracted
    """
    fleet = SettingsFleet(max(3, hosts // 29))
    writer = fleet.add_host()
    write_settings(writer.store, adapters)
    fleet.start_host(writer)
    for _ in range(hosts - 1):
        fleet.start_host(fleet.add_host())
    if not fleet.wait_for(writer.store.snapshot.revision):
        print("hosts did not start")
        return 1
    gevent.sleep(SETTLE_DELAY_S)
    began, sent, calls = time.monotonic(), fleet.bytes_sent(), fleet.calls()
    gevent.sleep(idle_s)
    idle_took_s = time.monotonic() - began
    idle_bytes = (fleet.bytes_sent() - sent) / idle_took_s
    idle_calls = (fleet.calls() - calls) / idle_took_s
    host_delays: list[float] = []
    fleet_delays: list[float] = []
    began, sent, calls = time.monotonic(), fleet.bytes_sent(), fleet.calls()
    for number in range(changes):
        path = f"teams/team-0/adapters/adapter-{number}/version"
        request = ChangeRequest({path: f"v{number + 100}"}, "bench", "a new version")
        revision = writer.store.commit(request).unwrap().revision
        accepted_at = fleet.activation_times[revision][0]
        if not fleet.wait_for(revision):
            print(f"revision {revision} is not in force everywhere")
            return 1
        delays = [at - accepted_at for at in fleet.activation_times[revision]]
        host_delays.extend(delays)
        fleet_delays.append(max(delays))
    took_s = time.monotonic() - began
    per_change = (fleet.bytes_sent() - sent - idle_bytes * took_s) / changes
    calls_per_change = (fleet.calls() - calls - idle_calls * took_s) / changes
    print(f"hosts {hosts}, zones {fleet.zones}, adapters {adapters}, changes {changes}")
    print(f"each host     {format_times(host_delays)}")
    print(f"all hosts     {format_times(fleet_delays)}")
    print(
        f"per change    {per_change / hosts:.0f} bytes sent per host, "
        f"{calls_per_change:.1f} service calls"
    )
    print(
        f"idle          {idle_bytes / hosts:.1f} bytes/s per host, "
        f"{idle_calls:.2f} service calls/s"
    )
    measure_start(fleet)
    fleet.stop()
    return 0


def measure_start(fleet: SettingsFleet) -> None:
    """Measure the first settings read of a host from the service and from a peer."""
    service_host = fleet.add_host()
    calls = fleet.calls()
    began = time.monotonic()
    service_host.store.refresh()
    print(
        f"start         {(time.monotonic() - began) * 1000:.0f} ms from the service "
        f"with {fleet.calls() - calls} calls"
    )
    fleet.standin.faults.unavailable = True
    peer_host = fleet.add_host()
    began = time.monotonic()
    peer_host.store.sync_with(service_host.local_member.name)
    print(f"start         {(time.monotonic() - began) * 1000:.0f} ms from a peer")
    if peer_host.store.snapshot.revision != service_host.store.snapshot.revision:
        print("start from a peer failed")


def format_times(values: list[float]) -> str:
    """Return median, 99th percentile and worst in milliseconds."""
    ordered = sorted(values)
    p99 = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    median = ordered[len(ordered) // 2]
    return (
        f"median {median * 1000:.1f} ms, p99 {p99 * 1000:.1f} ms, "
        f"worst {ordered[-1] * 1000:.1f} ms (n={len(ordered)})"
    )


def resident_mb(name: str) -> float:
    """Return `VmRSS` or `VmHWM` of this process in MB."""
    with open("/proc/self/status") as status:
        line = next(line for line in status if line.startswith(name))
    return int(line.split()[1]) / 1024


@experiment("settings-memory")
def settings_memory(*, adapters: int = 47000, trace: bool = False) -> int:
    """Measure the memory of a host's settings.

    :param adapters: adapters in the settings
    :param trace: count Python's own allocations, which adds memory itself
    """
    gc.collect()
    before = resident_mb("VmRSS")
    if trace:
        tracemalloc.start()
    values = dict(encode_settings(adapters))
    size = sum(len(value) for value in values.values())
    snapshot, damage = build_snapshot(2, "", values)
    values.clear()
    gc.collect()
    if trace:
        traced = tracemalloc.get_traced_memory()[0] / 1e6
        print(f"traced        {traced:.1f} MB")
    count = sum(len(team.adapters) for team in snapshot.teams.values())
    print(f"adapters {count}, damage {len(damage)}, {size / 1e6:.1f} MB in the service")
    print(
        f"resident      {before:.1f} MB before, {resident_mb('VmRSS'):.1f} MB after, "
        f"{resident_mb('VmHWM'):.1f} MB at most"
    )
    return 0


def encode_settings(adapters: int) -> Iterator[tuple[str, bytes]]:
    """Yield the whole state of generated settings as keys and values."""
    snapshot = apply_changes(Snapshot(0), {"fleet": FLEET_TREE}, 1, "")
    yield from state_values(snapshot)
    for path, tree in team_trees(adapters):
        team = apply_changes(snapshot, {path: tree}, 2, "")
        yield from state_values(replace(team, fleet=None))
