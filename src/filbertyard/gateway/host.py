"""One gateway host: serves callers, owns replicas and answers address queries."""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Callable
from dataclasses import fields
from dataclasses import replace
from typing import Any

import gevent
from result import Err

from ..callerserver import CallerLimits
from ..callerserver import CallerServer
from ..callerserver import create_caller_server
from ..keyvalue import create_key_value
from ..logs import log_event
from ..metrics import Metrics
from ..peers import STREAM_BROKE
from ..peers import PeerNetwork
from ..zonecosts import arriving_share
from .admission import max_prefill_backlog_s
from .claims import Registrar
from .claims import boot_clock
from .claimtable import ClaimTable
from .confirmer import ConfigurationConfirmer
from .directory import DirectoryApplication
from .entry import EntryApplication
from .fairshare import WorkspaceWeights
from .fleet import Fleet
from .grace import plan_grace_period
from .loads import LoadTable
from .messages import AdmissionGranted
from .messages import AdmissionRejected
from .messages import AdmissionRequest
from .messages import Digest
from .messages import FeedPush
from .messages import Finished
from .messages import FirstEvent
from .owner import ReplicaOwner
from .placement import Candidate
from .previews import PreviewApplication
from .promptguard import PromptGuard
from .quotahosts import QuotaHosts
from .ratelimiter import RateLimiter
from .ratelimits import RateLimitTable
from .retrybudget import create_retry_budget
from .settings import GatewayBounds
from .settings import GatewaySettings
from .state import GatewayState
from .state import create_gateway_state
from .sync import GATEWAY_FEED_INTERVAL_S
from .sync import OPERATOR_FEED_INTERVAL_S
from .sync import REPLICA_FEED_DRAIN_FRACTION
from .sync import REPLICA_WATCH_DRAIN_FRACTION
from .sync import WATCH_WAIT_S
from .sync import FeedWatcher
from .sync import PeerSync
from .types import AdapterName
from .types import HostRecord
from .wire import WireFormat
from .workspaces import AccessPolicy
from .workspaces import create_access_policy

logger = logging.getLogger(__name__)

# Interval between checks of the claims and of the limits on callers.
OWNER_CHECK_INTERVAL_S = 0.1

# An owner that does not reply within the request's waiting time and this margin is
# passed over.
ADMISSION_REPLY_MARGIN_S = 0.25

# Waiting requests of callers beyond this many connections are rejected.
MAX_CALLER_CONNECTIONS = 1800

# Connections to each address for queries about the host. An answer takes a millisecond,
# and callers ask once each few seconds.
MAX_DIRECTORY_CONNECTIONS = 512

STORE_TIMEOUT_S = 1.0

# Interval between checks of a stopping host.
STOP_CHECK_INTERVAL_S = 0.05

# Time limit for a stopping host to release its claims.
RELEASE_TIMEOUT_S = 0.3

# Settings that a running host reloads from a changed file.
RELOADABLE_SETTINGS = ("seeds", "bounds")


class GatewayHost:
    """One gateway host and its components."""

    def __init__(self, settings: GatewaySettings, wire: WireFormat) -> None:
        self.settings = settings
        self.wire = wire
        self.id = settings.peers
        self.instance = os.urandom(6).hex()
        self.metrics = Metrics()
        self.state: GatewayState = create_gateway_state(wire)
        self.store = create_key_value(
            settings.key_value_form, settings.key_value, STORE_TIMEOUT_S
        )
        self.peers = PeerNetwork(
            self.id, self.instance, settings.peers, settings.peer_key, lambda host: host
        )
        self.workspace_weight = WorkspaceWeights(lambda: self.state.configuration)
        self.sync = PeerSync(self.state, self.peers)
        self.claim_table = ClaimTable(settings.bounds.order_gap_s)
        self.fleet = Fleet(
            peers=self.peers,
            state=self.state,
            zone=settings.availability_zone,
            seeds=settings.seeds,
            describe=self.digest,
            compare_revisions=self.sync.compare_revisions,
            on_restart=self.release_host,
        )
        self.rate_limits = RateLimitTable()
        self.loads = LoadTable(self.fleet, self.peers, self.state, self.rate_limits)
        self.registrar = Registrar(
            self.record, self.state, self.store, self.claim_table, self.fleet.reachable
        )
        bounds = settings.bounds
        self.budget = create_retry_budget(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_s,
            is_first_start=settings.is_first_start,
        )
        self.guard = PromptGuard(
            self.fleet, self.peers, self.state, self.store, self.metrics
        )
        self.limiter = RateLimiter(
            self.fleet, self.peers, self.state, self.rate_limits, self.metrics
        )
        self.confirmer = ConfigurationConfirmer(
            self.state,
            self.store,
            self.sync,
            self.peers,
            self.fleet.feed_hub,
            self.fleet.connected_hosts,
            self.metrics,
        )
        self.quotas = QuotaHosts(self.fleet, self.peers, self.state, self.metrics)
        self.entry = EntryApplication(
            wire,
            self.state,
            self,
            self.guard,
            self.limiter,
            self.quotas,
            self.budget,
            self.metrics,
            settings.availability_zone,
            self.confirmer,
            access_policy(bounds),
            settings.zone_price,
        )
        self.directory = DirectoryApplication(self, wire, bounds.address_ttl_s)
        batch_intervals = {
            self.state.operator_feed.prefix: OPERATOR_FEED_INTERVAL_S,
            self.state.replica_feed.prefix: REPLICA_FEED_DRAIN_FRACTION
            * bounds.drain_s,
            self.state.gateway_feed.prefix: GATEWAY_FEED_INTERVAL_S,
        }
        replica_wait_s = REPLICA_WATCH_DRAIN_FRACTION * bounds.drain_s
        watch_waits = {self.state.replica_feed.prefix: replica_wait_s}
        self.watchers = [
            FeedWatcher(
                self.state,
                feed,
                self.store,
                watch_waits.get(feed.prefix, WATCH_WAIT_S),
                batch_intervals[feed.prefix],
                self.fleet.watches_store,
                self.push_feed_to_zone,
            )
            for feed in self.state.feed_list()
        ]
        self.owned: dict[str, ReplicaOwner] = {}
        self.is_leaving = False
        self.servers: list[CallerServer] = []
        self.tasks: list[gevent.Greenlet[..., None]] = []
        for message, handler in (
            (AdmissionRequest, self.handle_admission_request),
            (FirstEvent, self.handle_first_event),
            (Finished, self.handle_finished),
        ):
            self.peers.handle(message, handler)

    def record(self) -> HostRecord:
        """Return this host's record."""
        return HostRecord(
            self.id,
            self.instance,
            self.settings.callers,
            self.settings.availability_zone,
            self.is_leaving,
        )

    def start(self) -> None:
        """Listen and start all tasks."""
        settings = self.settings
        limits = self.caller_limits()
        self.servers.append(
            create_caller_server(settings.callers, self.entry, limits, self.metrics)
        )
        previews = PreviewApplication(self.entry, self.directory)
        addresses = {settings.directory, settings.readiness, settings.metrics} - {""}
        for address in addresses:
            # Callers reach the other addresses and must not see the fleet's loads.
            is_public = address in (settings.directory, settings.readiness)
            application = self.directory if is_public else previews
            self.servers.append(
                create_caller_server(
                    address, application, self.directory_limits(), self.metrics
                )
            )
        for server in self.servers:
            server.start()
        self.peers.start()
        tasks = [watcher.run for watcher in self.watchers]
        tasks += [self.registrar.run, self.registrar.run_claims]
        tasks += [self.fleet.run, self.loads.run, self.run_owners, self.guard.run]
        tasks += [self.limiter.run, self.limiter.run_permits, self.quotas.run]
        self.tasks = [gevent.spawn(task) for task in tasks]
        log_event(
            logger,
            "started",
            host=self.id,
            instance=self.instance,
            zone=settings.availability_zone,
            callers=settings.callers,
            store=settings.key_value,
        )

    def caller_limits(self) -> CallerLimits:
        """Return the limits on callers that the configuration sets."""
        configuration = self.state.configuration
        limits = configuration.limits if configuration is not None else None
        if limits is None:
            return CallerLimits(max_connections=MAX_CALLER_CONNECTIONS)
        return CallerLimits(
            max_connections=MAX_CALLER_CONNECTIONS,
            idle_timeout_s=limits.idle_s,
            first_request_timeout_s=limits.idle_s,
            head_timeout_s=limits.head_s,
            max_head_bytes=limits.head_bytes,
        )

    def directory_limits(self) -> CallerLimits:
        """Return the limits on those who ask about the host."""
        return replace(self.caller_limits(), max_connections=MAX_DIRECTORY_CONNECTIONS)

    # Other hosts.

    def digest(self) -> Digest:
        """Return the digest that this host sends to the others."""
        return Digest(
            self.id,
            self.instance,
            self.settings.callers,
            self.settings.availability_zone,
            self.is_leaving,
            self.is_connected(),
            {prefix: feed.revision for prefix, feed in self.state.feeds.items()},
            self.state.confirmation.age_s(time.monotonic()),
        )

    def push_feed_to_zone(self, push: FeedPush) -> None:
        """Send changes of a feed to the other hosts of the zone."""
        self.sync.send_push(self.fleet.expected_zone_peers(), push)

    def is_connected(self) -> bool:
        """Tell if the store answers this host, also one that watches no feed."""
        watching = [item for item in self.watchers if not item.is_suspended]
        return self.registrar.is_registered and all(
            watcher.is_connected for watcher in watching
        )

    def release_host(self, host: str) -> None:
        """End the admitted requests of a host that is gone or has restarted."""
        for owner in self.owned.values():
            owner.release_host(host)

    def live_hosts(self) -> int:
        """Return how many hosts share the retry budget."""
        return 1 + max(len(self.fleet.reachable()), len(self.state.hosts) - 1, 0)

    def is_new(self) -> bool:
        """Tell if what other hosts publish may still be missing."""
        return self.fleet.is_new()

    def arriving_share(self) -> float:
        """Return the share of the fleet's requests that arrive in this zone."""
        zone = self.settings.availability_zone
        return arriving_share(zone, self.fleet.expected_zones())

    def caller_addresses(self, zone: str) -> list[str]:
        """Return the addresses where callers of a zone should connect, at least one."""
        found = self.fleet.caller_addresses()
        if not self.is_leaving or not found:
            found.insert(0, self.settings.callers)
        return found

    # Owned replicas.

    def run_owners(self) -> None:
        """Start and stop the owners of this host's claims, forever."""
        informed: set[str] = set()
        while True:
            gevent.sleep(OWNER_CHECK_INTERVAL_S)
            targets = self.fleet.broadcast_targets()
            if not targets <= informed:
                # An idle owner publishes so seldom that a new host would give up the
                # wait for its load.
                for idle in self.owned.values():
                    idle.dirty = True
            informed = targets
            # New connections get the limits of the configuration in force.
            self.servers[0].limits = self.caller_limits()
            for server in self.servers[1:]:
                server.limits = self.directory_limits()
            for replica in list(self.owned):
                if replica not in self.claim_table.claims or (
                    replica not in self.state.replicas
                ):
                    self.owned.pop(replica).stop()
                    log_event(logger, "owner_stopped", replica=replica)
            for replica, claim in list(self.claim_table.claims.items()):
                owner = self.owned.get(replica)
                if owner is not None:
                    owner.fence = claim.fence
                    owner.update(self.state.replicas[replica])
                    continue
                self.start_owner(replica, claim.fence)

    def start_owner(self, replica_id: str, fence: int) -> None:
        """Start the owner of one replica if its service has an engine."""
        replica = self.state.replicas.get(replica_id)
        configuration = self.state.configuration
        if replica is None or configuration is None:
            return
        service = configuration.services.get(replica.service)
        if service is None or service.engine is None:
            return
        max_gap_s = configuration.min_event_gap_s(service.name)
        owner = ReplicaOwner(
            replica=replica,
            limits=service.engine,
            max_prefill_backlog_s=max_prefill_backlog_s(
                max_gap_s, service.engine.event_tokens
            ),
            max_event_gap_s=max_gap_s,
            health_path=service.health_path,
            wire=self.wire,
            host=self.id,
            fence=fence,
            releases=self.state.releases,
            may_order=self.order_permission(replica_id),
            publish=self.loads.publish,
            publish_interval=self.loads.publish_interval_s,
            rate_limits=self.rate_limits,
            metrics=self.metrics,
            weight=self.workspace_weight,
        )
        self.owned[replica_id] = owner
        owner.start()
        log_event(logger, "owner_started", replica=replica_id, fence=fence)

    def order_permission(self, replica: str) -> Callable[[], bool]:
        """Return a function that tells if orders to a replica are allowed now."""
        return lambda: self.claim_table.may_order(replica, boot_clock())

    # Messages to owners.

    def candidates(
        self, service: str, name: AdapterName, prompt_tokens: int
    ) -> list[Candidate]:
        """Return the replicas of a service as this host sees them."""
        return self.loads.candidates(
            service, name, self.entry.sender.health, prompt_tokens
        )

    def request_admission(
        self, message: AdmissionRequest, left_s: float
    ) -> AdmissionGranted | AdmissionRejected | None:
        """Ask the owner of a replica for admission; None if it does not reply."""
        self.loads.add_request(message.replica, message.prompt_tokens)
        local_owner = self.owned.get(message.replica)
        if local_owner is not None:
            return local_owner.admit(message, self.id)
        record = self.state.owners.get(message.replica)
        owner = record.host if record is not None else ""
        if (
            record is None
            or owner == self.id
            or not self.fleet.is_expected(owner, record.instance)
        ):
            log_event(
                logger,
                "owner_unknown",
                level=logging.WARNING,
                request=message.request_id,
                replica=message.replica,
                owner=owner,
                revision=self.state.gateway_feed.revision,
            )
            return None
        result = self.peers.call(
            record.host, message, left_s + ADMISSION_REPLY_MARGIN_S
        )
        if isinstance(result, Err) and result.err_value.message == STREAM_BROKE:
            # Asked again on a new stream, the owner drops the first request.
            result = self.peers.call(
                record.host, message, left_s + ADMISSION_REPLY_MARGIN_S
            )
        if isinstance(result, Err):
            log_event(
                logger,
                "owner_silent",
                level=logging.WARNING,
                request=message.request_id,
                replica=message.replica,
                owner=record.host,
                error=str(result.err_value),
            )
            return None
        reply = result.ok_value
        return (
            reply if isinstance(reply, AdmissionGranted | AdmissionRejected) else None
        )

    def handle_admission_request(
        self, peer: str, message: AdmissionRequest
    ) -> AdmissionGranted | AdmissionRejected:
        """Admit or reject another host's request for an owned replica."""
        local_owner = self.owned.get(message.replica)
        if local_owner is None:
            return AdmissionRejected(message.request_id, "not_owner", 0.0)
        return local_owner.admit(message, peer)

    def report_first_event(
        self, replica: str, request_id: str, rate_limit: list[Any], slowdown: float
    ) -> None:
        """Report the first event of the engine's response to the owner."""
        message = FirstEvent(replica, request_id, rate_limit, slowdown)
        self.send_to_owner(replica, message)

    def report_finished(
        self,
        replica: str,
        request_id: str,
        outcome: str,
        gap_ratio: float = 0.0,
        rate_limit: list[Any] | None = None,
    ) -> None:
        """Report the end of a request to the owner; arguments as in `Finished`."""
        message = Finished(replica, request_id, outcome, gap_ratio, rate_limit or [])
        self.send_to_owner(replica, message)

    def send_to_owner(self, replica: str, message: FirstEvent | Finished) -> None:
        """Send a message to the owner of a replica."""
        if replica in self.owned:
            if isinstance(message, FirstEvent):
                self.handle_first_event(self.id, message)
            else:
                self.handle_finished(self.id, message)
            return
        record = self.state.owners.get(replica)
        if record is not None and record.host != self.id:
            self.fleet.send({record.host}, message)

    def handle_first_event(self, peer: str, message: FirstEvent) -> None:
        """Record that an engine answered an admitted request."""
        local_owner = self.owned.get(message.replica)
        if local_owner is not None:
            local_owner.record_first_event(
                message.request_id, message.rate_limit, message.slowdown
            )

    def handle_finished(self, peer: str, message: Finished) -> None:
        """Record the end of an admitted request."""
        local_owner = self.owned.get(message.replica)
        if local_owner is not None:
            local_owner.finish(
                message.request_id,
                message.outcome,
                message.gap_ratio,
                message.rate_limit,
            )

    # Stopping.

    def is_ready(self) -> bool:
        """Tell if new callers may connect to this host."""
        return not self.is_leaving and self.state.configuration is not None

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed seeds and bounds; other changes need a restart."""
        known = self.settings
        names = [field.name for field in fields(settings)]
        changed = [n for n in names if getattr(settings, n) != getattr(known, n)]
        self.settings = replace(known, seeds=settings.seeds, bounds=settings.bounds)
        self.fleet.seeds = settings.seeds
        bounds = settings.bounds
        self.budget.ratio = bounds.retry_ratio
        self.budget.slack = bounds.retry_slack
        self.budget.window_s = bounds.retry_window_s
        self.entry.access_policy = access_policy(bounds)
        log_event(
            logger,
            "reload",
            changed=",".join(changed),
            needs_restart=",".join(n for n in changed if n not in RELOADABLE_SETTINGS)
            or None,
        )

    def shutdown(self) -> None:
        """Leave the fleet: accept no new callers and let running requests end."""
        started_at = time.monotonic()
        period = plan_grace_period(started_at, self.settings.bounds.grace_s)
        self.is_leaving = True
        self.entry.grace = period
        log_event(logger, "stopping", open_requests=self.entry.open_requests)
        self.registrar.record_changed.set()
        self.fleet.send(self.fleet.reachable(), self.digest())
        while (now := time.monotonic()) < period.exit_at:
            if now < period.reject_at:
                self.entry.withdraw_late()
            else:
                self.entry.stop_admission()
            if period.allows_exit(now) and not self.entry.open_requests:
                break
            gevent.sleep(STOP_CHECK_INTERVAL_S)
        # Claims are released last, so that the next process of this host can take them
        # back without a pause in orders.
        gevent.spawn(self.registrar.release_all).join(RELEASE_TIMEOUT_S)
        log_event(
            logger,
            "stopped",
            open_requests=self.entry.open_requests,
            took_s=time.monotonic() - started_at,
        )
        self.stop()

    def stop(self) -> None:
        """End all tasks and close all connections."""
        for greenlet in self.tasks:
            greenlet.kill(block=False)
        for owner in self.owned.values():
            owner.stop()
        for server in self.servers:
            server.stop(timeout=0)
        self.peers.stop()


def access_policy(bounds: GatewayBounds) -> AccessPolicy:
    """Return how long a host that may be outdated accepts API keys."""
    return create_access_policy(
        rejects_unconfirmed=bounds.rejects_unconfirmed,
        max_unconfirmed_s=bounds.max_unconfirmed_s,
    )


def create_gateway_host(settings: GatewaySettings, wire: WireFormat) -> GatewayHost:
    """Return a gateway host that is not started yet."""
    return GatewayHost(settings, wire)
