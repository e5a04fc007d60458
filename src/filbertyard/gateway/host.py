"""One gateway host: entry for callers, owner of replicas, answers where to connect."""

from __future__ import annotations

import logging
import math
import os
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
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
from .admission import read_ahead_s
from .claims import Registrar
from .claims import boot_clock
from .directory import DirectoryApplication
from .entry import EntryApplication
from .links import Ask
from .links import Digest
from .links import FeedPush
from .links import Finished
from .links import FirstEvent
from .links import Granted
from .links import ReplicaLoad
from .links import RequestTurnedAway
from .owner import ReplicaOwner
from .placement import Candidate
from .relays import follows_store
from .repeats import RepeatBudget
from .settings import GatewaySettings
from .state import GatewayState
from .state import create_gateway_state
from .sync import ENTRY_PAUSE_S
from .sync import OPERATOR_PAUSE_S
from .sync import OWN_PAUSE_S
from .sync import FeedWatcher
from .sync import PeerSync
from .tenure import Tenure
from .types import AdapterName
from .types import HostRecord
from .wire import Wire

logger = logging.getLogger(__name__)

# Pause between the digests that a host sends to the others.
DIGEST_PAUSE_S = 0.5

# Pause between two publications of a replica's load.
PUBLISH_PAUSE_S = 0.1

# Messages of one kind that a host sends to all others, a second.
MESSAGES_PER_S = 200

# Pause between two looks at the claims and the bounds on callers.
OWNED_PAUSE_S = 0.1

# A host that sent nothing for this long is left out of the answers where to connect.
SILENT_S = 1.6

# A published load older than this is not used.
LOAD_AGE_S = 3.0

# An owner that does not take a question within this time is passed over.
ASK_TIMEOUT_S = 0.25

# Waiting requests of callers beyond this many connections are refused.
CALLER_CONNECTIONS = 1800

STORE_TIMEOUT_S = 1.0

# A stopping host leaves before it is killed.
STOP_MARGIN_S = 0.5

# Time for the last writes of a stopping host.
RELEASE_S = 0.3

# A stopping host takes requests for this long: callers still hold its address. Later
# ones might not end before it is killed.
TAKE_S = 2.5

# A stopping host serves new connections for at least this long, until callers have
# asked again.
LINGER_S = 3.0


@dataclass(slots=True)
class View:
    """The last published load of a replica and what was sent there since."""

    load: ReplicaLoad
    at: float
    resident: set[AdapterName]
    loading: dict[AdapterName, float]
    asked_tokens: int = 0


@dataclass(slots=True)
class PeerHost:
    """Another host as its digests show it; `at` is on the monotonic clock."""

    digest: Digest
    at: float


class GatewayHost:
    """The collaborators of one gateway host."""

    def __init__(self, settings: GatewaySettings, wire: Wire) -> None:
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
        self.sync = PeerSync(self.state, self.peers)
        self.tenure = Tenure(settings.bounds.order_gap_s)
        self.registrar = Registrar(
            self.record, self.state, self.store, self.tenure, self.reachable
        )
        bounds = settings.bounds
        self.budget = RepeatBudget(
            bounds.repeat_ratio, bounds.repeat_slack, bounds.repeat_window_s
        )
        self.entry = EntryApplication(
            wire,
            self.state,
            self,
            self.budget,
            self.metrics,
            settings.availability_zone,
        )
        self.directory = DirectoryApplication(self, wire)
        pauses = {
            self.state.operator.prefix: OPERATOR_PAUSE_S,
            self.state.entries.prefix: ENTRY_PAUSE_S,
            self.state.own.prefix: OWN_PAUSE_S,
        }
        self.watchers = [
            FeedWatcher(
                self.state,
                feed,
                self.store,
                pauses[feed.prefix],
                self.follows_store,
                self.push_feed,
            )
            for feed in self.state.feed_list()
        ]
        self.owned: dict[str, ReplicaOwner] = {}
        self.views: dict[str, View] = {}
        self.known: dict[str, PeerHost] = {}
        self.is_leaving = False
        self.servers: list[CallerServer] = []
        self.tasks: list[gevent.Greenlet[..., None]] = []
        for message, handler in (
            (Digest, self.take_digest),
            (ReplicaLoad, self.take_load),
            (Ask, self.answer_ask),
            (FirstEvent, self.take_first_event),
            (Finished, self.take_finished),
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
        self.servers.append(create_caller_server(settings.callers, self.entry, limits))
        addresses = {settings.directory, settings.readiness, settings.metrics} - {""}
        for address in addresses:
            self.servers.append(create_caller_server(address, self.directory, limits))
        for server in self.servers:
            server.start()
        self.peers.start()
        tasks = [watcher.run for watcher in self.watchers]
        tasks += [self.registrar.run, self.registrar.run_claims]
        tasks += [self.run_digests, self.run_owned]
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
        """Return the bounds on callers that the configuration sets."""
        configuration = self.state.configuration
        limits = configuration.limits if configuration is not None else None
        if limits is None:
            return CallerLimits(connections=CALLER_CONNECTIONS)
        return CallerLimits(
            connections=CALLER_CONNECTIONS,
            idle_s=limits.idle_s,
            first_request_s=limits.idle_s,
            head_s=limits.head_s,
        )

    # Other hosts.

    def peer_ids(self) -> set[str]:
        """Return the other hosts that this one knows or is told to try."""
        ids = set(self.state.hosts) | set(self.known)
        if not self.state.hosts:
            ids |= set(self.settings.seeds)
        return ids - {self.id}

    def reachable(self) -> set[str]:
        """Return the hosts that sent something a moment ago."""
        now = time.monotonic()
        return {key for key, peer in self.known.items() if now - peer.at < SILENT_S}

    def zone_peers(self) -> dict[str, bool]:
        """Return the live hosts of this zone and whether the store answers them."""
        reachable = self.reachable()
        return {
            key: peer.digest.is_connected
            for key, peer in self.known.items()
            if key in reachable
            and peer.digest.zone == self.settings.availability_zone
            and not peer.digest.is_leaving
        }

    def follows_store(self) -> bool:
        """Tell if this host follows the store itself."""
        return self.is_leaving or follows_store(self.id, self.zone_peers())

    def push_feed(self, push: FeedPush) -> None:
        """Pass changes of a feed on to the other hosts of the zone."""
        for peer in self.zone_peers():
            gevent.spawn(self.tell, peer, push)

    def fleet_pause_s(self, least_s: float) -> float:
        """Return a pause between messages to all hosts that bounds their rate."""
        return max(least_s, len(self.known) / MESSAGES_PER_S)

    def run_digests(self) -> None:
        """Tell the other hosts that this one lives, for ever."""
        while True:
            for peer in self.peer_ids():
                gevent.spawn(self.tell, peer, self.digest())
            self.forget_peers()
            self.state.expire_lapsed(time.monotonic())
            pause_s = self.fleet_pause_s(DIGEST_PAUSE_S)
            gevent.sleep(pause_s * random.uniform(0.9, 1.1))

    def forget_peers(self) -> None:
        """Drop hosts that neither the store nor their digests name any more."""
        now = time.monotonic()
        for key, peer in list(self.known.items()):
            if now - peer.at > 10 * SILENT_S and key not in self.state.hosts:
                del self.known[key]
                for owner in self.owned.values():
                    owner.release_host(key)
            elif now - peer.at > 2 * SILENT_S:
                # The stream may have fallen silent while a new one would work.
                self.peers.drop(key)

    def digest(self) -> Digest:
        """Return what this host tells of itself."""
        return Digest(
            self.id,
            self.instance,
            self.settings.callers,
            self.settings.availability_zone,
            self.is_leaving,
            all(watcher.is_connected for watcher in self.watchers),
            {prefix: feed.revision for prefix, feed in self.state.feeds.items()},
        )

    def tell(self, peer: str, message: Any) -> None:
        """Send a message without a reply; a failure shows in the peer's silence."""
        self.peers.tell(peer, message)

    def take_digest(self, peer: str, digest: Digest) -> None:
        """Take over what another host tells of itself."""
        now = time.monotonic()
        known = self.known.get(peer)
        if known is None or known.digest.instance != digest.instance:
            log_event(logger, "peer_heard", peer=peer, instance=digest.instance)
            if known is not None:
                for owner in self.owned.values():
                    owner.release_host(peer)
        elif now - known.at > SILENT_S:
            log_event(logger, "peer_back", peer=peer, silent_s=now - known.at)
        self.known[peer] = PeerHost(digest, now)
        self.sync.note_revisions(peer, digest.revisions, now)

    def live_hosts(self) -> int:
        """Return how many hosts share the budget of repeats."""
        return 1 + max(len(self.reachable()), len(self.state.hosts) - 1, 0)

    def caller_addresses(self, zone: str) -> list[str]:
        """Return where callers of a zone should connect, never nothing."""
        now = time.monotonic()
        found: dict[str, str] = {}
        if not self.is_leaving:
            found[self.settings.callers] = self.settings.availability_zone
        for peer in self.known.values():
            if now - peer.at < SILENT_S and not peer.digest.is_leaving:
                found[peer.digest.callers] = peer.digest.zone
        if not found:
            return [self.settings.callers]
        return list(found)

    # Owned replicas.

    def run_owned(self) -> None:
        """Start and stop the owners of this host's claims, for ever."""
        while True:
            gevent.sleep(OWNED_PAUSE_S)
            # Connections that open from now on keep the bounds of the configuration.
            self.servers[0].limits = self.caller_limits()
            for replica in list(self.owned):
                if replica not in self.tenure.claims or (
                    replica not in self.state.replicas
                ):
                    self.owned.pop(replica).stop()
                    log_event(logger, "owner_stopped", replica=replica)
            for replica, claim in list(self.tenure.claims.items()):
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
        owner = ReplicaOwner(
            replica=replica,
            limits=service.engine,
            read_s=read_ahead_s(
                configuration.shortest_gap_s(service.name), service.engine.event_tokens
            ),
            wire=self.wire,
            host=self.id,
            fence=fence,
            releases=self.state.releases,
            may_order=self.order_check(replica_id),
            publish=self.publish,
            publish_pause=lambda: self.fleet_pause_s(PUBLISH_PAUSE_S),
            metrics=self.metrics,
        )
        self.owned[replica_id] = owner
        owner.start()
        log_event(logger, "owner_started", replica=replica_id, fence=fence)

    def order_check(self, replica: str) -> Callable[[], bool]:
        """Return a function that tells if orders to a replica are allowed now."""
        return lambda: self.tenure.may_order(replica, boot_clock())

    def publish(self, load: ReplicaLoad) -> None:
        """Tell all hosts the load of an owned replica."""
        self.take_load(self.id, load)
        for peer in self.reachable():
            gevent.spawn(self.tell, peer, load)

    def take_load(self, peer: str, load: ReplicaLoad) -> None:
        """Take over the published load of a replica."""
        self.views[load.replica] = View(
            load,
            time.monotonic(),
            {
                AdapterName(model, adapter)
                for model, adapters in load.resident.items()
                for adapter in adapters
            },
            {AdapterName(model, name): left for model, name, left in load.loading},
        )

    # Questions to owners.

    def candidates(self, service: str, name: AdapterName) -> list[Candidate]:
        """Return the replicas of a service as this host sees them."""
        now = time.monotonic()
        found = []
        for replica in self.state.usable(service):
            if self.entry.health.is_paused(replica.id, now):
                continue
            view = self.views.get(replica.id)
            own_rate = self.entry.health.failure_rate(replica.id, now)
            if view is None or now - view.at > LOAD_AGE_S:
                is_resident = name in replica.adapters or (
                    not name.adapter and name.model in replica.models
                )
                if view is not None:
                    is_resident = name in view.resident
                found.append(
                    Candidate(
                        replica.id, 0.0, is_resident, -1.0, math.inf, False, own_rate
                    )
                )
                continue
            load = view.load
            found.append(
                Candidate(
                    replica=replica.id,
                    wait_s=load.wait_s + view.asked_tokens * load.token_cost_s,
                    is_resident=name in view.resident,
                    load_left_s=view.loading.get(name, -1.0),
                    load_wait_s=math.inf if load.load_wait_s < 0 else load.load_wait_s,
                    is_owner_known=True,
                    failure_rate=max(own_rate, min(1.0, load.failure_rate)),
                )
            )
        return found

    def ask(self, ask: Ask, left_s: float) -> Granted | RequestTurnedAway | None:
        """Ask the owner of a replica; None if it does not answer."""
        view = self.views.get(ask.replica)
        if view is not None:
            view.asked_tokens += ask.prompt_tokens
        own = self.owned.get(ask.replica)
        if own is not None:
            return own.ask(ask, self.id)
        record = self.state.owners.get(ask.replica)
        if record is None or record.host == self.id:
            return None
        if record.host not in self.reachable():
            return None
        answer = self.peers.call(record.host, ask, left_s + ASK_TIMEOUT_S)
        if isinstance(answer, Err) and answer.err_value.message == STREAM_BROKE:
            # Asked again on a new stream, the owner forgets the first question.
            answer = self.peers.call(record.host, ask, left_s + ASK_TIMEOUT_S)
        if isinstance(answer, Err):
            log_event(
                logger,
                "owner_silent",
                level=logging.WARNING,
                request=ask.request_id,
                replica=ask.replica,
                owner=record.host,
                error=str(answer.err_value),
            )
            return None
        reply = answer.ok_value
        return reply if isinstance(reply, Granted | RequestTurnedAway) else None

    def answer_ask(self, peer: str, ask: Ask) -> Granted | RequestTurnedAway:
        """Answer another host's question about an owned replica."""
        own = self.owned.get(ask.replica)
        if own is None:
            return RequestTurnedAway(ask.request_id, "not_owner", 0.0)
        return own.ask(ask, peer)

    def first_event(self, replica: str, request_id: str) -> None:
        """Tell the owner that the engine answered."""
        self.tell_owner(replica, FirstEvent(replica, request_id))

    def finished(self, replica: str, request_id: str, outcome: str) -> None:
        """Tell the owner the end of a request."""
        self.tell_owner(replica, Finished(replica, request_id, outcome))

    def tell_owner(self, replica: str, message: FirstEvent | Finished) -> None:
        """Send a message to the owner of a replica."""
        if replica in self.owned:
            if isinstance(message, FirstEvent):
                self.take_first_event(self.id, message)
            else:
                self.take_finished(self.id, message)
            return
        record = self.state.owners.get(replica)
        if record is not None and record.host != self.id:
            gevent.spawn(self.tell, record.host, message)

    def take_first_event(self, peer: str, message: FirstEvent) -> None:
        """Take over that an engine answered a granted request."""
        own = self.owned.get(message.replica)
        if own is not None:
            own.first_event(message.request_id)

    def take_finished(self, peer: str, message: Finished) -> None:
        """Take over the end of a granted request."""
        own = self.owned.get(message.replica)
        if own is not None:
            own.finish(message.request_id, message.outcome)

    # Stopping.

    def is_ready(self) -> bool:
        """Tell if the host is fit for new callers."""
        return not self.is_leaving and self.state.configuration is not None

    def reload(self) -> None:
        """Note that the settings file changed; addresses stay until a restart."""
        log_event(logger, "reload", host=self.id)

    def shutdown(self) -> None:
        """Leave the fleet: no new callers, running requests to their end."""
        began = time.monotonic()
        self.is_leaving = True
        self.entry.is_stopping = True
        log_event(logger, "stopping", open_requests=self.entry.open_requests)
        self.registrar.changed.set()
        for peer in self.reachable():
            gevent.spawn(self.tell, peer, self.digest())
        end = began + self.settings.bounds.grace_s - STOP_MARGIN_S
        while time.monotonic() < end:
            gevent.sleep(0.05)
            if time.monotonic() - began >= TAKE_S:
                self.entry.takes_requests = False
            lingered = time.monotonic() - began >= LINGER_S
            if lingered and not self.entry.open_requests:
                break
        # Released last: the next process of this host takes them back without a gap.
        gevent.spawn(self.registrar.release_all).join(RELEASE_S)
        log_event(
            logger,
            "stopped",
            open_requests=self.entry.open_requests,
            took_s=time.monotonic() - began,
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


def create_gateway_host(settings: GatewaySettings, wire: Wire) -> GatewayHost:
    """Return a gateway host that is not started yet."""
    return GatewayHost(settings, wire)
