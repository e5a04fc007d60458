"""A complete deployment in one process on loopback: stand-ins and entry hosts."""

from __future__ import annotations

import time
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from pathlib import Path

import gevent

from .history import AcceptedRecord
from .history import ExecutionRecord
from .history import History
from .history import InForceRecord
from .history import KillRecord
from .history import LeavingRecord
from .history import ShutdownRecord
from .history import StartRecord
from .host import EntryHost
from .host import create_entry_host
from .hostsettings import HostSettings
from .hostsettings import KeyValueSettings
from .hostsettings import PlatformSettings
from .hostsettings import load_settings
from .keyvalue import create_key_value
from .settingsstore import SettingsStore
from .standins.fleet import FleetStandin
from .standins.fleet import PortSettings
from .standins.fleet import StandinSettings
from .standins.hostlist import HostListEntry
from .teamsettings import FleetSettings
from .teamsettings import Snapshot
from .teamsettings import TeamSettings

SHARED_KEY = "local-fleet-shared-key"


@dataclass(slots=True)
class Deployment:
    """The contents of one deployment's files."""

    name: str
    standins: StandinSettings
    fleet: FleetSettings
    teams: dict[str, TeamSettings]
    region: str = "local"


@dataclass(slots=True)
class FleetTotals:
    """Counters of all stand-in engines and of the store."""

    loads: int = 0
    store_rejections: int = 0
    highest_in_flight: int = 0
    steps: int = 0
    tokens: int = 0
    capacity: int = 0
    adapters_per_step: float = 0.0
    stalls: int = 0
    host_loads: dict[str, int] = field(default_factory=dict)


class LocalFleet:
    """Stand-ins and entry hosts of one deployment."""

    def __init__(self, deployment: Deployment, policy: str = "shares") -> None:
        ports = PortSettings()
        settings = deployment.standins.model_copy(update={"ports": ports})
        self.deployment = deployment
        self.policy = policy
        self.standins = FleetStandin(settings)
        self.hosts: dict[str, EntryHost] = {}
        self.history = History()

    def start(self, hosts: int, ready_timeout_s: float = 20.0) -> None:
        """Start everything and wait until each replica has an owner."""
        self.standins.start()
        self.commit_deployment()
        for number in range(1, hosts + 1):
            self.add_host(f"entry-{number}")
        self.wait_until_ready(ready_timeout_s)

    def commit_deployment(self) -> None:
        """Write the settings of the deployment to the key-value service."""
        key_value = create_key_value("etcd-v3-json", self.standins.key_value.address)
        store = SettingsStore(key_value)
        self.record_accepted(store, self.deployment.teams, self.deployment.fleet)

    def add_host(self, name: str) -> EntryHost:
        """Start one more entry host."""
        zones = self.deployment.standins.availability_zones
        zone = zones[len(self.hosts) % len(zones)]
        platform = PlatformSettings(
            key_value=KeyValueSettings(address=self.standins.key_value.address),
            host_list=self.standins.host_list.address,
            adapter_store=self.standins.adapter_store.address,
        )
        settings = HostSettings(
            name=name,
            region=self.deployment.region,
            availability_zone=zone,
            callers="127.0.0.1:0",
            peers="127.0.0.1:0",
            platform=platform,
            shared_key=SHARED_KEY,
            policy=self.policy,
            max_age_s=2.0,
        )
        host = create_entry_host(settings)
        host.settings_store.listeners.append(partial(self.record_in_force, name))
        self.history.starts.append(StartRecord(name, time.monotonic()))
        host.start()
        self.hosts[name] = host
        callers = host.membership.local_member.callers
        self.standins.host_list.put(HostListEntry(name, callers, zone, "entry"))
        return host

    def record_accepted(
        self,
        store: SettingsStore,
        teams: dict[str, TeamSettings],
        fleet: FleetSettings | None = None,
    ) -> int:
        """Commit a change, record it and return its revision."""
        started = time.monotonic()
        revision = store.commit_tree(fleet, teams)
        versions = {
            f"{team_name}/{name}": adapter.version
            for team_name, team in teams.items()
            for name, adapter in team.adapters.items()
        }
        self.history.accepted.append(AcceptedRecord(revision, started, versions))
        return revision

    def record_in_force(self, host: str, snapshot: Snapshot) -> None:
        """Record a revision that a host put in force."""
        record = InForceRecord(host, snapshot.revision, time.monotonic())
        self.history.in_force.append(record)

    def kill_host(self, name: str) -> None:
        """Stop a host without a graceful shutdown, as a crash would."""
        host = self.hosts.pop(name)
        self.history.kills.append(KillRecord(name, time.monotonic()))
        host.stop()
        self.standins.host_list.remove(name)

    def stop_host(self, name: str) -> None:
        """Shut a host down gracefully and wait until it has stopped."""
        host = self.hosts.pop(name)
        callers = host.membership.local_member.callers
        started = time.monotonic()
        record = ShutdownRecord(name, callers, started, float("inf"))
        self.history.shutdowns.append(record)
        host.shutdown()
        record.ended_at = time.monotonic()
        self.standins.host_list.remove(name)

    def mark_leaving(self, replica: str) -> None:
        """Make an engine report that it leaves."""
        self.standins.engines[replica].leaving = True
        self.history.leaving.append(LeavingRecord(replica, time.monotonic()))

    def owned_replicas(self) -> set[str]:
        """Return the replicas that have an accepting owner."""
        return {
            name
            for host in self.hosts.values()
            for name, replica in host.replicas.items()
            if replica.is_accepting() and host.owners.is_active_owner(name)
        }

    def wait_until_ready(self, timeout_s: float) -> None:
        """Wait until each replica has an owner that every host knows."""
        expected = {*self.standins.engines, *self.standins.services}
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if self.owned_replicas() >= expected and all(
                self.knows_owners(host, expected) for host in self.hosts.values()
            ):
                return
            gevent.sleep(0.05)
        missing = sorted(expected - self.owned_replicas())
        raise TimeoutError(f"replicas without a ready owner: {', '.join(missing)}")

    def knows_owners(self, host: EntryHost, replicas: set[str]) -> bool:
        """Return whether a host is ready and knows an owner of each replica."""
        upstreams = self.deployment.fleet.upstreams
        known = {
            view.name
            for upstream in upstreams
            for view in host.views(upstream)
            if view.owner
        }
        return host.is_ready() and known >= replicas

    def totals(self) -> FleetTotals:
        """Return the counters of the stand-ins."""
        engines = self.standins.engines.values()
        return FleetTotals(
            loads=self.standins.adapter_store.loads,
            store_rejections=self.standins.adapter_store.rejected,
            highest_in_flight=self.standins.adapter_store.highest_in_flight,
            steps=sum(engine.counters.steps for engine in engines),
            tokens=sum(engine.counters.tokens for engine in engines),
            capacity=sum(
                engine.counters.steps * engine.parameters.max_batch
                for engine in engines
            ),
            stalls=sum(
                replica.stalls
                for host in self.hosts.values()
                for replica in host.replicas.values()
            ),
        )

    def stop(self) -> History:
        """Stop everything and return the recorded history."""
        history = self.history
        history.ended_at = time.monotonic()
        for host in self.hosts.values():
            host.stop()
        for name, engine in self.standins.engines.items():
            history.evictions_in_use += engine.counters.evictions_in_use
            history.executions.extend(
                ExecutionRecord(run.request_id, name, run.at, run.model)
                for run in engine.executions
            )
        for name, service in self.standins.services.items():
            history.executions.extend(
                ExecutionRecord(run.request_id, name, run.at)
                for run in service.executions
            )
        self.standins.stop()
        return history


def load_deployment(folder: Path) -> Deployment:
    """Read the files of a deployment; raise SettingsError."""
    return Deployment(
        name=folder.name,
        standins=load_settings(folder / "standins.jsonc", StandinSettings),
        fleet=load_settings(folder / "fleet.jsonc", FleetSettings),
        teams={
            path.stem: load_settings(path, TeamSettings)
            for path in sorted((folder / "teams").glob("*.jsonc"))
        },
    )


def create_local_fleet(folder: Path, policy: str = "shares") -> LocalFleet:
    """Return a fleet of the deployment in `folder`; raise SettingsError."""
    return LocalFleet(load_deployment(folder), policy)
