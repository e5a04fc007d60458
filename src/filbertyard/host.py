"""The entry host, which creates and connects the components of its process."""

from __future__ import annotations

import logging
import time
import uuid
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from contextlib import closing
from functools import partial
from typing import Any

import gevent
from gevent.pywsgi import WSGIServer
from result import Err
from result import Ok

from . import commands as commands
from . import queries as queries
from . import routepreviews as routepreviews
from . import settingsqueries as settingsqueries
from .attemptlog import QUESTION_TIMEOUT_S
from .attemptlog import AttemptAnswer
from .attemptlog import AttemptQuestion
from .attempts import Attempts
from .callers import CallerApplication
from .callerserver import CallerLimits
from .callerserver import create_caller_server
from .calls import Call
from .discovery import describe_members
from .discovery import discover
from .discovery import join_discovered
from .events import DrainEvent
from .events import SettingsEvent
from .exceptions import KeyValueError
from .hostlist import ENTRY_KIND
from .hostlist import ListedHost
from .hostlist import create_host_list
from .hostsettings import HostSettings
from .idempotency import Record
from .idempotency import create_call_deduplicator
from .keyvalue import KeyValue
from .keyvalue import create_key_value
from .leases import HostLease
from .loadbudget import LoadBudget
from .logs import log_event
from .membership import INCARNATION_SHIFT_BITS
from .membership import Member
from .membership import Membership
from .messages import Forward
from .messages import Reply
from .observation import ObservedKeyValue
from .observation import Observer
from .operators import OperatorApplication
from .ownership import OwnerTable
from .peers import PeerNetwork
from .registration import HostListHistory
from .registration import Registration
from .replicas import OwnedReplica
from .resources import ServedResources
from .routing import ReplicaView
from .routing import create_router
from .settingsstore import SettingsStore
from .teamsettings import Snapshot
from .tracing import create_tracing

logger = logging.getLogger(__name__)

HOST_LIST_POLL_S = 1.0

PUBLISH_INTERVAL_S = 0.25

JOIN_RETRY_DELAY_S = 0.5

MAX_DISCOVERY_DELAY_S = 60.0

# A host joins without settings after this time; a new fleet has none yet.
INITIAL_SETTINGS_TIMEOUT_S = 5.0

JOIN_POLL_S = 0.05

# A graceful shutdown gives up waiting for running calls after this time.
SHUTDOWN_TIMEOUT_S = 120.0

HANDOVER_TIMEOUT_S = 30.0

# Limits on clients of the operators' interface, which a person or a script uses.
OPERATOR_LIMITS = CallerLimits(max_connections=64, max_unused_connections=32)

# Time for the last gossip of a leaving host to be sent.
FINAL_GOSSIP_S = 0.5


class EntryHost:
    """One entry host."""

    def __init__(self, settings: HostSettings, key_value: KeyValue) -> None:
        self.settings = settings
        self.name = settings.name
        self.instance = uuid.uuid4().hex[:12]
        self.max_age_s = settings.max_age_s
        self.accepts_calls = True
        self.started_at = time.time()
        self.observer = Observer(create_tracing(settings.tracing, settings.name))
        self.events = self.observer.events
        key_value = ObservedKeyValue(key_value, self.observer)
        self.key_value = key_value
        self.host_list = create_host_list(settings.platform.host_list)
        self.host_list_history = HostListHistory()
        self.settings_store = SettingsStore(key_value)
        self.settings_store.listeners.append(self.record_settings_event)
        self.lease = HostLease(self.instance)
        self.membership = Membership(
            Member(
                settings.name,
                self.instance,
                settings.callers,
                settings.peers,
                settings.region,
                settings.availability_zone,
                "joining",
                self.lease.lease,
            )
        )
        self.membership.is_listed = self.host_list_history.is_listed
        self.peers = PeerNetwork(
            self.name,
            self.instance,
            settings.peers,
            settings.shared_key,
            self.membership.find_peer_address,
        )
        self.membership.attach(self.peers)
        self.registration = Registration(
            self.membership, self.peers, key_value, self.lease, self.host_list_history
        )
        self.resources = ServedResources(
            self.name,
            settings.policy,
            self.settings_store,
            self.peers,
            self.membership,
            self.observer,
        )
        self.owners = OwnerTable(
            self.membership, self.registration, self.peers, key_value, self.resources
        )
        self.resources.owners = self.owners
        self.owners.events = self.events
        self.settings_store.join(self.membership, self.peers)
        self.attempts = Attempts(
            self.name,
            create_router(settings.policy, settings.zone_price()),
            self.views,
            self.run_attempt,
            self.query_attempt,
        )
        self.attempts.breakers.events = self.events
        self.deduplicator = create_call_deduplicator(
            self.name, key_value, self.live_hosts, self.peers, self.attempts.run
        )
        self.application = CallerApplication(self, self.events)
        self.open_calls = 0
        self.server: WSGIServer | None = None
        self.operator_server: WSGIServer | None = None
        self.tasks: list[gevent.Greenlet[..., None]] = []

    @property
    def replicas(self) -> dict[str, OwnedReplica]:
        """Return the replicas that this host serves."""
        return self.resources.replicas

    @property
    def budget(self) -> LoadBudget | None:
        """Return the store budget if this host serves it."""
        return self.resources.budget

    @property
    def listed(self) -> dict[str, ListedHost]:
        """Return the platform's host list as read last."""
        return self.resources.listed

    def start(self) -> None:
        """Listen for hosts and callers, and join the fleet."""
        self.peers.handle(queries.Query, partial(queries.answer_query, self))
        self.peers.handle(Record, self.deduplicator.handle_record)
        self.peers.start()
        ip = self.settings.callers.rpartition(":")[0]
        self.server = create_caller_server(
            self.settings.callers,
            self.serve_caller,
            CallerLimits(
                max_connections=self.settings.max_connections,
                max_head_bytes=self.settings.max_head_bytes,
            ),
            self.observer.metrics,
        )
        self.server.start()
        self.membership.local_member.callers = f"{ip}:{self.server.server_port}"
        self.membership.local_member.peers = self.peers.address
        self.start_operator_server()
        self.tasks = [
            gevent.spawn(self.settings_store.run),
            gevent.spawn(self.follow_host_list),
            gevent.spawn(self.join),
        ]
        log_event(
            logger,
            "host_started",
            callers=self.membership.local_member.callers,
            peers=self.peers.address,
            zone=self.settings.availability_zone,
        )

    def join(self) -> None:
        """Join the fleet as soon as the key-value service answers."""
        self.retry_join(self.registration.read_own_record)
        self.registration.start()
        self.registration.registered.wait()
        self.membership.start(self.registration.revision << INCARNATION_SHIFT_BITS)
        # Of two hosts that start together, the one that registers last finds the other.
        self.retry_join(self.registration.read_host_records)
        self.membership.join()
        self.retry_join(self.owners.load)
        self.wait_for_settings()
        # Callers must not be sent to a host that knows no replicas yet.
        self.membership.local_member.state = "live"
        self.membership.publish_own()
        self.owners.start()
        self.tasks.append(gevent.spawn(self.publish_views))
        log_event(logger, "host_joined", lease=self.lease.lease)
        self.discover_other_hosts()

    def wait_for_settings(self) -> None:
        """Wait a while until the host list and the settings have been read."""
        deadline = time.monotonic() + INITIAL_SETTINGS_TIMEOUT_S
        while time.monotonic() < deadline and not self.resources.zones_by_resource():
            gevent.sleep(JOIN_POLL_S)

    def retry_join(self, step: Callable[[], None]) -> None:
        """Carry out one step of joining until the key-value service answers."""
        while True:
            try:
                step()
            except (KeyValueError, ValueError) as error:
                log_event(logger, "join_failed", error=str(error))
                self.join_through_hosts()
                gevent.sleep(JOIN_RETRY_DELAY_S)
            else:
                return

    def join_through_hosts(self) -> None:
        """Join through other hosts, to serve callers without owning resources."""
        if self.membership.tasks:
            return
        found = discover(list(self.listed.values()), self.name)
        if join_discovered(self.membership, found):
            log_event(logger, "host_joined_through_hosts", hosts=len(found))

    def discover_other_hosts(self) -> None:
        """Read the host records at growing intervals while no host is known."""
        pause = JOIN_RETRY_DELAY_S
        while pause <= MAX_DISCOVERY_DELAY_S:
            gevent.sleep(pause)
            pause *= 2
            if not self.membership.other_members():
                self.retry_join(self.registration.read_host_records)
                self.membership.join()

    def publish_views(self) -> None:
        """Publish the state of owned replicas at each interval."""
        while True:
            self.resources.serve_owned()
            self.resources.publish_views()
            gevent.sleep(PUBLISH_INTERVAL_S)

    def start_operator_server(self) -> None:
        """Listen for operators if the settings name an address."""
        if not self.settings.operators:
            return
        self.operator_server = create_caller_server(
            self.settings.operators,
            OperatorApplication(self, self.settings.operator_key),
            OPERATOR_LIMITS,
            self.observer.metrics,
        )
        self.operator_server.start()

    def stop(self) -> None:
        """Stop at once."""
        for task in self.tasks:
            task.kill(block=False)
        self.owners.stop()
        self.registration.stop()
        self.membership.stop()
        self.lease.ended = True
        self.resources.stop()
        if self.server is not None:
            self.server.stop(timeout=1)
        if self.operator_server is not None:
            self.operator_server.stop(timeout=0)
        self.peers.stop()
        self.observer.tracing.stop()

    def shutdown(self) -> None:
        """Leave the fleet without interrupting a call, then stop."""
        local_member = self.membership.local_member
        local_member.state = "leaving"
        self.membership.publish_own()
        log_event(logger, "host_leaving", open_calls=self.open_calls)
        self.events.record(
            DrainEvent(cause="shutdown", state="leaving", running=self.open_calls)
        )
        deadline = time.monotonic() + SHUTDOWN_TIMEOUT_S
        gevent.sleep(self.max_age_s)
        # Callers that ask for addresses in time use other hosts by now.
        self.accepts_calls = False
        while self.open_calls and time.monotonic() < deadline:
            gevent.sleep(0.05)
        self.owners.hand_over_all(HANDOVER_TIMEOUT_S)
        self.resources.wait_idle(max(0.0, deadline - time.monotonic()))
        while self.open_calls and time.monotonic() < deadline:
            gevent.sleep(0.05)
        remaining = len(self.owners.owned_resources())
        local_member.state = "left"
        self.membership.publish_own()
        gevent.sleep(FINAL_GOSSIP_S)
        if not remaining:
            self.registration.remove_record()
        log_event(logger, "host_left", still_owned=remaining)
        self.stop()

    def follow_host_list(self) -> None:
        """Follow the platform's host list."""
        newest: list[ListedHost] | None = None
        while True:
            match self.host_list.read():
                case Ok(hosts):
                    if hosts is not newest:
                        newest = hosts
                        self.resources.listed = {host.name: host for host in hosts}
                        names = {h.name for h in hosts if h.kind == ENTRY_KIND}
                        self.host_list_history.update(names)
                    self.events.set_condition("host list", False)
                case Err(error):
                    self.events.set_condition("host list", True, str(error))
                    log_event(logger, "host_list_failed", error=error)
            gevent.sleep(HOST_LIST_POLL_S)

    def views(self, upstream: str) -> list[ReplicaView]:
        """Return what this host knows of an upstream's replicas."""
        views = self.resources.views(upstream)
        own_zone = self.settings.availability_zone
        for view in views:
            view.is_other_zone = view.zone not in ("", own_zone)
        return views

    def run(self, call: Call, idempotency_key: str) -> Iterator[Reply]:
        """Run one resolved call."""
        self.open_calls += 1
        try:
            outcome = self.deduplicator.run(call, idempotency_key)
            replies = self.observer.observe_call(call, outcome)
            with closing(replies):  # type: ignore[type-var]
                yield from replies
        finally:
            self.open_calls -= 1

    def live_hosts(self) -> list[str]:
        """Return the names of the live entry hosts."""
        return [member.name for member in self.membership.live_members()]

    def run_attempt(
        self, view: ReplicaView, forward: Forward, limit_s: float
    ) -> Iterator[Reply]:
        """Run one attempt at the owner of a replica."""
        self.observer.record_route(forward, view)
        if view.owner == self.name:
            return self.resources.run_owned(forward)
        return self.observer.observe_hop(
            forward,
            view.owner,
            self.peers.stream(view.owner, forward, limit_s),  # type: ignore[arg-type]
        )

    def query_attempt(self, owner: str, question: AttemptQuestion) -> str:
        """Ask an owner if an attempt was sent to the upstream."""
        match self.peers.call(owner, question, QUESTION_TIMEOUT_S):
            case Ok(AttemptAnswer(answer)):
                return answer
            case _:
                return "unknown"

    def serve_caller(
        self,
        environ: dict[str, Any],
        start_response: Callable[[str, list[tuple[str, str]]], Any],
    ) -> Iterable[bytes]:
        """Answer a caller; a leaving host closes the connection afterwards."""

        def start_closing_response(
            status: str, headers: list[tuple[str, str]], *rest: Any
        ) -> Any:
            return start_response(status, [*headers, ("Connection", "close")], *rest)

        leaving = self.membership.local_member.state in ("leaving", "left")
        return self.application(
            environ, start_closing_response if leaving else start_response
        )

    def snapshot(self) -> Snapshot:
        """Return the settings in force."""
        return self.settings_store.snapshot

    def caller_addresses(self, zone: str) -> list[str]:
        """Return the addresses for new callers, those of `zone` first."""
        members = sorted(
            self.membership.live_members(),
            key=lambda m: (m.availability_zone != zone, m.name),
        )
        return [member.callers for member in members]

    def peer_members(self) -> list[dict[str, Any]]:
        """Return the entry hosts that this host knows."""
        return describe_members(self.membership)

    def is_ready(self) -> bool:
        """Tell if the host can serve new callers."""
        joined = self.membership.local_member.state == "live"
        return joined and self.settings_store.snapshot.revision > 0

    def metrics_text(self) -> str:
        """Return the metrics in Prometheus format."""
        return self.observer.metrics.render(self)

    def record_settings_event(self, snapshot: Snapshot) -> None:
        """Record that a revision of the settings came into force."""
        self.events.record(
            SettingsEvent(
                cause="newer revision",
                revision=snapshot.revision,
                teams=len(snapshot.teams),
            )
        )


def create_entry_host(settings: HostSettings) -> EntryHost:
    """Return an entry host that uses the key-value service of the settings."""
    service = settings.platform.key_value
    key_value = create_key_value(service.form, service.address, service.timeout_s)
    return EntryHost(settings, key_value)
