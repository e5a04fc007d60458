"""The resources that this host serves: replicas and the store budget."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterator
from contextlib import closing
from dataclasses import dataclass
from functools import partial
from typing import Any

import gevent
from result import Err
from result import Ok

from .attemptlog import AttemptQuestion
from .attemptlog import create_attempt_log
from .calls import AdapterVersion
from .calls import parse_adapter_version
from .engines import create_replica_client
from .hostlist import ENTRY_KIND
from .hostlist import ListedHost
from .loadbudget import LoadBudget
from .loadbudget import Permit
from .loadbudget import PermitRequest
from .loadbudget import PermitReturn
from .loadbudget import create_load_budget
from .logs import log_event
from .membership import Membership
from .messages import Forward
from .messages import Message
from .messages import NotRun
from .messages import Reply
from .messages import message
from .observation import Observer
from .ownership import OwnerTable
from .peers import PeerNetwork
from .replicas import OwnedReplica
from .replicas import Ownership
from .replicas import create_owned_replica
from .residency import Slot
from .routing import ReplicaView
from .routing import home_order
from .routing import usable_replicas
from .settingsstore import SettingsStore
from .teamsettings import Snapshot

logger = logging.getLogger(__name__)

BUDGET_RESOURCE = "budget:store"

PERMIT_TIMEOUT_S = 1.0

# A call for a resource that is being handed over waits this long for the outcome.
HANDOVER_WAIT_S = 2.0

# Published waits are rounded to this step, so that small changes are not gossiped.
PUBLISHED_WAIT_STEP_S = 0.05

# Adapters of a leaving replica that are prefetched elsewhere. More would delay other
# prefetches; the rest is loaded when calls need it.
MAX_PRELOADS = 5

PRELOAD_TIMEOUT_S = 1.0


@message("preload_request")
@dataclass(slots=True)
class PreloadRequest(Message):
    """Ask the owner of a replica to prefetch the adapters in `values`."""

    replica: str
    values: dict[str, float]


class ServedResources:
    """The replicas and the store budget that this host owns."""

    def __init__(
        self,
        name: str,
        policy: str,
        settings_store: SettingsStore,
        peers: PeerNetwork,
        membership: Membership,
        observer: Observer | None = None,
    ) -> None:
        self.observer = observer or Observer()
        self.name = name
        self.policy = policy
        self.settings_store = settings_store
        self.peers = peers
        self.membership = membership
        self.owners: OwnerTable | None = None
        self.listed: dict[str, ListedHost] = {}
        self.replicas: dict[str, OwnedReplica] = {}
        self.draining: list[OwnedReplica] = []
        # Cache: the published value of each replica and its parsed adapters.
        self.parsed_states: dict[str, tuple[Any, frozenset[AdapterVersion]]] = {}
        self.budget: LoadBudget | None = None
        self.running = 0
        self.attempt_log = create_attempt_log()
        self.snapshot_in_force = settings_store.snapshot
        settings_store.listeners.append(self.apply_settings)
        peers.handle(AttemptQuestion, self.attempt_log.handle)
        peers.handle(Forward, self.handle_forward)
        peers.handle(PermitRequest, self.handle_permit_request)
        peers.handle(PermitReturn, self.handle_permit_return)
        peers.handle(PreloadRequest, self.handle_preload_request)

    def upstream_replicas(self) -> list[ListedHost]:
        """Return the listed replicas of the upstreams in force."""
        fleet = self.settings_store.snapshot.fleet
        if fleet is None:
            return []
        return [
            host
            for host in self.listed.values()
            if host.kind != ENTRY_KIND and host.kind in fleet.upstreams
        ]

    def zones_by_resource(self) -> dict[str, str]:
        """Return the resources to own with their availability zones."""
        replicas = self.upstream_replicas()
        if not replicas:
            return {}
        zones = {host.name: host.availability_zone for host in replicas}
        zones[BUDGET_RESOURCE] = ""
        return zones

    def is_active_owner(self, resource: str) -> bool:
        """Tell if this host may send an order or a call to a resource now."""
        return self.owners is not None and self.owners.is_active_owner(resource)

    def find_replica(self, name: str) -> OwnedReplica | None:
        """Return the owner's side of a replica, created if necessary."""
        replica = self.replicas.get(name)
        fleet = self.settings_store.snapshot.fleet
        listed = self.listed.get(name)
        if replica is not None or fleet is None or listed is None:
            return replica
        upstream = fleet.upstreams.get(listed.kind)
        if upstream is None:
            return None
        replica = create_owned_replica(
            name,
            listed.kind,
            create_replica_client(upstream.kind, name, listed.address),
            Ownership(0, partial(self.is_active_owner, name)),
            self,
            self.policy,
            self.name,
            self.observer,
        )
        replica.attempt_log = self.attempt_log
        replica.preload = self.preload_elsewhere
        self.replicas[name] = replica
        return replica

    def prepare(self, resource: str, table: dict[str, Any]) -> None:
        """Prepare to serve a resource that is being handed over."""
        if resource == BUDGET_RESOURCE:
            return
        replica = self.find_replica(resource)
        if replica is None:
            return
        replica.read_report()
        restore_table(replica, table)
        if not replica.tasks:
            replica.start()

    def refresh_state(self, resource: str) -> None:
        """Read the state of a prepared replica again."""
        replica = self.replicas.get(resource)
        if replica is not None:
            replica.read_report()

    def start_serving(self, resource: str, fence: int) -> None:
        """Serve a resource from now on, or use its new fence."""
        if resource == BUDGET_RESOURCE:
            self.serve_budget()
            return
        replica = self.find_replica(resource)
        if replica is None:
            return
        if replica.ownership.fence != fence:
            log_event(logger, "replica_owned", peer=resource, fence=fence)
        replica.ownership.fence = fence
        if not replica.tasks:
            replica.start()

    def serve_budget(self) -> None:
        """Serve the store budget."""
        fleet = self.settings_store.snapshot.fleet
        if self.budget is None and fleet is not None and self.owners is not None:
            # A resource without an earlier owner has no outstanding permits.
            has_predecessor = BUDGET_RESOURCE not in self.owners.initial_claims
            store = fleet.store
            self.budget = create_load_budget(
                store.min_rate_per_s,
                store.max_rate_per_s,
                store.max_in_flight,
                has_predecessor=has_predecessor,
            )

    def serve_owned(self) -> None:
        """Serve owned resources that could not be served when they were acquired."""
        if self.owners is None:
            return
        for resource in self.owners.owned_resources():
            served = (
                self.budget is not None
                if resource == BUDGET_RESOURCE
                else resource in self.replicas
            )
            if not served:
                self.start_serving(resource, self.owners.records[resource].fence)

    def stop_serving(self, resource: str) -> None:
        """Stop serving a resource; running calls finish."""
        if resource == BUDGET_RESOURCE:
            self.budget = None
            if self.owners is not None:
                self.owners.initial_claims.discard(resource)
            return
        replica = self.replicas.pop(resource, None)
        if replica is not None:
            replica.relinquish()
            self.draining = [r for r in self.draining if r.running]
            self.draining.append(replica)

    def export_state(self, resource: str) -> dict[str, Any]:
        """Return the table of a resource for its next owner."""
        replica = self.replicas.get(resource)
        return export_table(replica) if replica is not None else {}

    def stop(self) -> None:
        """Stop serving at once."""
        for replica in self.replicas.values():
            replica.stop()

    def apply_settings(self, snapshot: Snapshot) -> None:
        """Let the owned replicas load the versions that came into force."""
        before, self.snapshot_in_force = self.snapshot_in_force, snapshot
        for replica in self.replicas.values():
            replica.prepare_rollout(before, snapshot)

    def publish_views(self) -> None:
        """Publish the state of the owned replicas."""
        now = time.monotonic()
        for name, replica in self.replicas.items():
            replica.marked_leaving = self.is_marked_leaving(name)
            replica.update_leaving()
            if not self.is_active_owner(name):
                continue
            value = [
                sorted(str(adapter) for adapter in replica.residency.resident),
                round_waits(replica.queue.waits(now)),
                replica.leaving,
            ]
            self.membership.publish_replica(name, replica.ownership.fence, value)

    def is_marked_leaving(self, replica: str) -> bool:
        """Tell if the host list or the settings mark a replica as leaving."""
        listed = self.listed.get(replica)
        if listed is None:
            return False
        fleet = self.settings_store.snapshot.fleet
        upstream = fleet.upstreams.get(listed.kind) if fleet is not None else None
        by_settings = upstream is not None and replica in upstream.leaving
        return listed.is_leaving or by_settings

    def views(self, upstream: str) -> list[ReplicaView]:
        """Return what this host knows of an upstream's replicas."""
        if self.owners is None:
            return []
        views = []
        for host in self.listed.values():
            if host.kind != upstream:
                continue
            record = self.owners.records.get(host.name)
            owner = record.host if record is not None else ""
            adapters, waits, leaving = self.published_state(host.name)
            view = ReplicaView(
                host.name,
                upstream,
                owner,
                leaving or self.is_marked_leaving(host.name),
                adapters,
                waits,
                host.availability_zone,
            )
            replica = self.replicas.get(host.name)
            if replica is not None and owner == self.name:
                replica.fill_view(view)
            views.append(view)
        return views

    def published_state(
        self, replica: str
    ) -> tuple[frozenset[AdapterVersion], dict[str, float], bool]:
        """Return resident adapters, waits and state that the owner published."""
        value = self.membership.value("replica", replica)
        if value is None:
            return frozenset(), {}, False
        parsed = self.parsed_states.get(replica)
        if parsed is None or parsed[0] is not value:
            # Every call reads the views, but a value changes far more rarely.
            adapters = frozenset(parse_adapter_version(text) for text in value[0])
            parsed = self.parsed_states[replica] = (value, adapters)
        return parsed[1], dict(value[1]), bool(value[2])

    def run_owned(self, forward: Forward) -> Iterator[Reply]:
        """Run a call on a replica of this host."""
        self.running += 1
        try:
            if self.owners is not None:
                self.owners.wait_for_handover(forward.replica, HANDOVER_WAIT_S)
            replica = self.replicas.get(forward.replica)
            if replica is None or not self.is_active_owner(forward.replica):
                yield self.not_owner_reply(forward)
                return
            outcome = self.observer.observe_attempt(forward, replica.run(forward))
            with closing(outcome) as replies:  # type: ignore[type-var]
                for reply in replies:
                    if isinstance(reply, NotRun) and reply.cause == "ownership_lost":
                        # The replica moved while the call waited: name its new owner.
                        yield self.not_owner_reply(forward)
                        return
                    yield reply
        finally:
            self.running -= 1

    def not_owner_reply(self, forward: Forward) -> NotRun:
        """Return the reply for a replica that this host does not own."""
        record = None
        if self.owners is not None:
            record = self.owners.records.get(forward.replica)
        hint = record.host if record is not None and record.host != self.name else ""
        return NotRun(
            forward.request_id,
            forward.attempt,
            "not_owner",
            f"{self.name} does not own {forward.replica}",
            0.2,
            "forward",
            self.name,
            hint,
        )

    def handle_forward(self, host: str, forward: Forward) -> Iterator[Message]:
        """Run a call for another host."""
        return self.run_owned(forward)

    def budget_owner(self) -> str:
        """Return the host that owns the store budget, empty if there is none."""
        if self.owners is None or BUDGET_RESOURCE not in self.owners.records:
            return ""
        return self.owners.records[BUDGET_RESOURCE].host

    def acquire(
        self, replica: str, adapter: AdapterVersion, tier: int, worth: float
    ) -> Permit:
        """Wait for a permit of the store budget."""
        request = PermitRequest(self.name, replica, str(adapter), tier, worth)
        owner = self.budget_owner()
        if owner == self.name:
            return self.grant_permit(request)
        if not owner:
            return Permit(0, 0.0)
        match self.peers.call(owner, request, PERMIT_TIMEOUT_S):
            case Ok(Permit() as permit):
                return permit
            case _:
                return Permit(0, 0.0)

    def return_permit(self, permit: Permit, outcome: str) -> None:
        """Return a permit to the owner of the store budget."""
        returned = PermitReturn(permit.number, outcome)
        owner = self.budget_owner()
        if owner == self.name:
            self.accept_return(returned)
        elif owner:
            self.peers.call(owner, returned, 1.0)

    def grant_permit(self, request: PermitRequest) -> Permit:
        """Grant a permit if this host owns the budget."""
        if self.budget is None or not self.is_active_owner(BUDGET_RESOURCE):
            return Permit(0, 0.0)
        permit = self.budget.request(request)
        # The budget may have moved to another host during the wait.
        return permit if self.is_active_owner(BUDGET_RESOURCE) else Permit(0, 0.0)

    def accept_return(self, returned: PermitReturn) -> None:
        """Accept a returned permit if this host owns the budget."""
        if self.budget is not None:
            self.budget.return_permit(returned)

    def handle_permit_request(self, host: str, request: PermitRequest) -> Message:
        """Grant a permit to another host."""
        return self.grant_permit(request)

    def handle_permit_return(self, host: str, returned: PermitReturn) -> None:
        """Accept a returned permit from another host."""
        self.accept_return(returned)

    def preload_elsewhere(
        self, leaving: str, upstream: str, values: dict[AdapterVersion, float]
    ) -> None:
        """Request the most valued adapters of a leaving replica at their next homes."""
        views = usable_replicas(self.views(upstream), {leaving})
        held = {adapter for view in views for adapter in view.adapters}
        wanted = [adapter for adapter in values if adapter not in held]
        wanted.sort(key=lambda adapter: -values[adapter])
        requests: dict[str, PreloadRequest] = {}
        owners = {view.name: view.owner for view in views}
        for adapter in wanted[:MAX_PRELOADS] if views else []:
            home = home_order(adapter, views)[0].name
            request = requests.setdefault(home, PreloadRequest(home, {}))
            request.values[str(adapter)] = values[adapter]
        for home, request in requests.items():
            self.send_preload(owners[home], request, leaving)

    def send_preload(self, owner: str, request: PreloadRequest, leaving: str) -> None:
        """Send a preload request to the owner of its replica."""
        log_event(
            logger,
            "preload_requested",
            leaving=leaving,
            replica=request.replica,
            peer=owner,
            adapters=len(request.values),
        )
        if owner == self.name:
            self.apply_preload(request)
            return
        match self.peers.call(owner, request, PRELOAD_TIMEOUT_S):
            case Err(error):
                log_event(logger, "preload_failed", peer=owner, error=error)

    def apply_preload(self, request: PreloadRequest) -> None:
        """Make adapters candidates for prefetches if this host owns the replica."""
        replica = self.replicas.get(request.replica)
        if replica is None or not self.is_active_owner(request.replica):
            return
        now = time.monotonic()
        for text, value in request.values.items():
            replica.residency.expect(parse_adapter_version(text), value, now)
        replica.changed.set()

    def handle_preload_request(self, host: str, request: PreloadRequest) -> None:
        """Apply a preload request of another host."""
        self.apply_preload(request)

    def wait_idle(self, timeout_s: float) -> None:
        """Wait until no call runs on a replica of this host."""
        end = time.monotonic() + timeout_s
        while self.running and time.monotonic() < end:
            gevent.sleep(0.05)


def round_waits(waits: dict[str, float]) -> dict[str, float]:
    """Return the waits rounded to steps."""
    return {
        rank: round(round(wait / PUBLISHED_WAIT_STEP_S) * PUBLISHED_WAIT_STEP_S, 3)
        for rank, wait in sorted(waits.items())
    }


def export_table(replica: OwnedReplica) -> dict[str, Any]:
    """Return the slots of a replica; times are ages in seconds."""
    now = time.monotonic()
    slots = replica.residency.resident
    return {
        "adapters": [
            [str(adapter), now - slot.loaded_at, now - slot.used_at]
            for adapter, slot in slots.items()
        ]
    }


def restore_table(replica: OwnedReplica, table: dict[str, Any]) -> None:
    """Restore the ages of the slots that the engine itself reports."""
    now = time.monotonic()
    for text, age, idle in table.get("adapters", []):
        slot: Slot | None = replica.residency.resident.get(parse_adapter_version(text))
        if slot is not None:
            slot.loaded_at = now - age
            slot.used_at = now - idle
