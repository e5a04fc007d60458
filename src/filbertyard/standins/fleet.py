"""All stand-ins of one deployment, created from its settings file."""

from __future__ import annotations

from pathlib import Path

from pydantic import Field

from ..hostsettings import StrictModel
from ..hostsettings import load_settings
from .engine import EngineParameters
from .engine import EngineStandin
from .hostlist import HostListEntry
from .hostlist import HostListStandin
from .keyvalue import KeyValueStandin
from .service import ServiceStandin
from .store import AdapterStoreStandin


class EngineGroup(StrictModel):
    """Engine replicas of one upstream; times are in seconds."""

    replicas: int = Field(ge=1)
    slots: int = 8
    max_batch: int = 16
    step_s: float = 0.02
    step_per_request_s: float = 0.0003
    step_per_adapter_s: float = 0.0005
    tokens_per_event: int = Field(default=1, ge=1)
    checks_fence: bool = True


class ServiceGroup(StrictModel):
    """Replicas of one plain service."""

    replicas: int = Field(ge=1)
    service_time_s: float = 0.01


class AdapterGroup(StrictModel):
    """Adapters that the store holds for one team: `PREFIX-1` to `PREFIX-COUNT`."""

    prefix: str
    count: int = Field(ge=1)
    versions: list[str] = Field(min_length=1)


class PortSettings(StrictModel):
    """Fixed ports for stand-ins that run as a process; 0 picks a free one."""

    key_value: int = 0
    host_list: int = 0
    adapter_store: int = 0


class StandinSettings(StrictModel):
    """Settings of one deployment's stand-ins."""

    availability_zones: list[str] = Field(min_length=1)
    store_rate_per_s: float = Field(gt=0)
    host_list_lag_s: float = 0.0
    adapters: dict[str, list[AdapterGroup]]
    engines: dict[str, EngineGroup]
    services: dict[str, ServiceGroup]
    ports: PortSettings = PortSettings()


class FleetStandin:
    """Stand-ins for the platform and the upstreams of one deployment."""

    def __init__(self, settings: StandinSettings) -> None:
        self.settings = settings
        versions = {
            f"{team}/{group.prefix}-{number}": list(group.versions)
            for team, groups in settings.adapters.items()
            for group in groups
            for number in range(1, group.count + 1)
        }
        ports = settings.ports
        self.key_value = KeyValueStandin(ports.key_value)
        self.adapter_store = AdapterStoreStandin(
            settings.store_rate_per_s, versions, ports.adapter_store
        )
        self.host_list = HostListStandin(settings.host_list_lag_s, ports.host_list)
        self.engines: dict[str, EngineStandin] = {}
        self.services: dict[str, ServiceStandin] = {}

    def start(self) -> None:
        """Start all stand-ins and add the replicas to the host list."""
        self.key_value.start()
        self.adapter_store.start()
        self.host_list.start()
        for upstream, group in self.settings.engines.items():
            for number in range(group.replicas):
                name = f"{upstream}-{number + 1}"
                engine = EngineStandin(
                    name, self.adapter_store.address, engine_parameters(group)
                )
                engine.start()
                self.engines[name] = engine
                self.add_to_host_list(name, engine.address, upstream, number)
        for upstream, plain in self.settings.services.items():
            for number in range(plain.replicas):
                name = f"{upstream}-{number + 1}"
                service = ServiceStandin(name, service_time_s=plain.service_time_s)
                service.start()
                self.services[name] = service
                self.add_to_host_list(name, service.address, upstream, number)

    def add_to_host_list(self, name: str, address: str, kind: str, number: int) -> None:
        """Add a replica to the host list."""
        zones = self.settings.availability_zones
        self.host_list.put(
            HostListEntry(name, address, zones[number % len(zones)], kind)
        )

    def stop(self) -> None:
        """Stop all stand-ins."""
        for engine in self.engines.values():
            engine.stop()
        for service in self.services.values():
            service.stop()
        self.host_list.stop()
        self.adapter_store.stop()
        self.key_value.stop()


def engine_parameters(group: EngineGroup) -> EngineParameters:
    """Return the parameters of a group's engines."""
    return EngineParameters(
        slots=group.slots,
        max_batch=group.max_batch,
        step_s=group.step_s,
        step_per_request_s=group.step_per_request_s,
        step_per_adapter_s=group.step_per_adapter_s,
        tokens_per_event=group.tokens_per_event,
        checks_fence=group.checks_fence,
    )


def create_fleet(path: Path) -> FleetStandin:
    """Create the stand-ins that a settings file describes; raise SettingsError."""
    return FleetStandin(load_settings(path, StandinSettings))
