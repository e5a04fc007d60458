"""Keep the requests of all hosts within the rate limits that replicas name.

The owner of a model engine applies its limit when it admits requests. Replicas of a
plain service have no owner: one host of the fleet, selected by hash, grants permits for
them. Where neither answers, each host sends its share of the rate.
"""

from __future__ import annotations

import logging
import math
import time
from dataclasses import dataclass
from dataclasses import replace
from typing import Any

import gevent
from gevent.event import AsyncResult
from gevent.event import Event
from result import Err
from result import Result

from ..exceptions import PeerError
from ..logs import log_event
from ..messages import Message
from ..metrics import Metrics
from ..peers import PeerNetwork
from .admission import Rejection
from .claims import boot_clock
from .delivery import PERMIT_EXPIRED
from .delivery import Delivery
from .fairshare import WorkspaceWeights
from .fleet import Fleet
from .messages import PermitReply
from .messages import PermitRequest
from .messages import PermitWithdrawn
from .messages import RateLimitReport
from .messages import RateLimits
from .permits import PermitQueue
from .permits import WaitingRequest
from .ratelimits import RateLimitTable
from .ratelimits import Statement
from .ratelimits import TokenBucket
from .ratelimits import decode_statement
from .state import GatewayState
from .types import Replica

logger = logging.getLogger(__name__)

# A permit ends this long after it was granted, on a clock that counts suspended time.
# It includes the time to connect to the replica.
PERMIT_S = 1.0

PERMIT_REPLY_MARGIN_S = 0.25

# Causes of a reply: another host grants the permits of the service; a replica has no
# limit any more.
NOT_PERMIT_HOST = "not_permit_host"
RATE_LIMIT_ENDED = "rate_limit_ended"

# Interval between two publications of changed rate limits of plain replicas.
PUBLISH_INTERVAL_S = 0.1

# All rate limits of plain replicas are published this often, for hosts that have
# started since or missed a change.
REFRESH_INTERVAL_S = 1.0

# The host that grants permits and its successor publish: a host that has just started
# and grants permits from then on hears of the limits by its predecessor.
PUBLISHERS = 2


@dataclass(frozen=True, slots=True)
class Permit:
    """Leave to send a request to a replica until a time on the boot clock."""

    replica: Replica
    until: float


class RateLimiter:
    """The rate limits that this host knows, and the permits that it grants."""

    def __init__(
        self,
        fleet: Fleet,
        peers: PeerNetwork,
        state: GatewayState,
        table: RateLimitTable,
        metrics: Metrics,
    ) -> None:
        self.fleet = fleet
        self.peers = peers
        self.state = state
        self.table = table
        self.metrics = metrics
        self.queues: dict[str, PermitQueue] = {}
        self.replies: dict[str, AsyncResult[PermitReply]] = {}
        self.shares: dict[str, TokenBucket] = {}
        self.unpublished: set[str] = set()
        self.changed = Event()
        self.weight = WorkspaceWeights(lambda: state.configuration)
        peers.handle(RateLimits, self.handle_rate_limits)
        peers.handle(RateLimitReport, self.handle_report)
        peers.handle(PermitRequest, self.handle_permit_request)
        peers.handle(PermitWithdrawn, self.handle_permit_withdrawn)

    def rate(self, replica: Replica) -> float:
        """Return the requests per second to send to a replica, infinite if no limit."""
        return self.table.rate(replica.id, replica.started_ms)

    def is_limited(self, replica: Replica) -> bool:
        """Tell if a replica has a rate limit."""
        return not math.isinf(self.rate(replica))

    # What responses show.

    def record_response(
        self, delivery: Delivery, replica: Replica, per_s: float
    ) -> None:
        """Record the rate limit that a response shows, infinite for none."""
        now = time.monotonic()
        at = delivery.sent_at if math.isinf(per_s) else now
        statement = Statement(replica.id, replica.started_ms, per_s, at)
        delivery.rate_limit = statement
        is_new = self.record(statement, "response")
        if not is_new or self.is_engine(replica.service):
            return
        host = self.permit_host(replica.service)
        if host not in ("", self.fleet.id):
            self.fleet.send({host}, RateLimitReport(statement.row(now)))

    def is_engine(self, service: str) -> bool:
        """Tell if a service has model engines, whose owners apply their limits."""
        configuration = self.state.configuration
        known = configuration.services.get(service) if configuration else None
        return known is not None and known.engine is not None

    def apply_row(self, row: list[Any], now: float, source: str) -> None:
        """Apply the statement of another host."""
        self.record(decode_statement(row, now), source)

    def record(self, statement: Statement, source: str) -> bool:
        """Record a statement on a rate limit; tell if it changed the limit."""
        if not self.table.record(statement):
            return False
        has_ended = math.isinf(statement.per_s)
        log_event(
            logger,
            "rate_limit_ended" if has_ended else "rate_limit_named",
            replica=statement.replica,
            born=statement.started_ms,
            per_s=None if has_ended else statement.per_s,
            age_s=time.monotonic() - statement.at,
            source=source,
        )
        self.unpublished.add(statement.replica)
        self.changed.set()
        return True

    def handle_report(self, peer: str, message: RateLimitReport) -> None:
        """Apply what a response showed another host."""
        self.apply_row(message.row, time.monotonic(), peer)

    def handle_rate_limits(self, peer: str, message: RateLimits) -> None:
        """Apply the rate limits that another host publishes."""
        if self.fleet.is_hub() and not message.is_relayed:
            self.fleet.send_to_spokes(replace(message, is_relayed=True))
        now = time.monotonic()
        for row in message.rows:
            self.apply_row(row, now, peer)

    def run(self) -> None:
        """Publish the limits that are this host's to publish, forever."""
        refreshed_at = time.monotonic()
        while True:
            gevent.sleep(PUBLISH_INTERVAL_S)
            now = time.monotonic()
            if now - refreshed_at >= REFRESH_INTERVAL_S:
                refreshed_at = now
                self.table.retain(self.state.replicas)
                self.shares = {
                    key: item
                    for key, item in self.shares.items()
                    if key in self.table.limits
                }
                self.unpublished.update(self.table.limits)
                self.changed.set()
            names, self.unpublished = self.unpublished, set()
            rows = self.table.rows(filter(self.publishes, names), now)
            if rows:
                self.fleet.broadcast(RateLimits(rows))

    def publishes(self, replica: str) -> bool:
        """Tell if this host publishes the limit of a replica."""
        found = self.state.replicas.get(replica)
        return (
            found is not None
            and not self.is_engine(found.service)
            and self.fleet.id in self.permit_hosts(found.service)[:PUBLISHERS]
        )

    # Sends without a permit.

    def take_share(self, replica: Replica) -> float:
        """Take a request from this host's share of a replica's rate.

        Return 0 if it may be sent, else the time until it could be.
        """
        per_s = self.rate(replica)
        if math.isinf(per_s):
            return 0.0
        now = time.monotonic()
        share = per_s / max(1, len(self.fleet.peer_ids()) + 1)
        bucket = self.shares.get(replica.id)
        if bucket is None:
            bucket = self.shares[replica.id] = TokenBucket(share, now, 1.0)
        bucket.set_rate(share, now)
        return 0.0 if bucket.take(now) else bucket.wait_s(now)

    # Permits of this host's requests.

    def permit_hosts(self, service: str) -> list[str]:
        """Return the hosts in the order in which they grant permits for a service."""
        return self.fleet.selected_hosts(f"permits {service}")

    def permit_host(self, service: str) -> str:
        """Return the host that grants the permits for a plain service.

        Empty if this host does not hear most of the others: they may use
        another one.
        """
        if self.fleet.is_minority():
            return ""
        return self.permit_hosts(service)[0]

    def request_permit(
        self, delivery: Delivery, replicas: list[Replica], wait_s: float
    ) -> Permit | Rejection:
        """Ask for a permit to send a request to one of these replicas of a service."""
        now = time.monotonic()
        route = delivery.route
        service = replicas[0].service
        message = PermitRequest(
            delivery.admission_id(),
            service,
            delivery.rank,
            delivery.request.arrived + route.objective_s - now,
            wait_s,
            self.table.rows([replica.id for replica in replicas], now),
            delivery.workspace_name(),
        )
        asked_at = boot_clock()
        reply = self.ask(message)
        if reply is None:
            return self.share_permit(replicas)
        until = asked_at + reply.waited_s + PERMIT_S
        for replica in replicas:
            if replica.id == reply.replica and boot_clock() < until:
                return Permit(replica, until)
        cause = PERMIT_EXPIRED if reply.replica else reply.cause
        return Rejection(cause, reply.retry_after_s)

    def ask(self, message: PermitRequest) -> PermitReply | None:
        """Send a permit request to the host that grants it; None without a reply."""
        asked = {""}
        error = "no host that grants permits"
        reply: Message | None
        while (host := self.permit_host(message.service)) not in asked:
            asked.add(host)
            if host == self.fleet.id:
                reply = self.acquire(message)
            else:
                result = self.call(host, message)
                if isinstance(result, Err):
                    error = str(result.err_value)
                    break
                reply = result.ok_value
            if isinstance(reply, PermitReply) and reply.cause != NOT_PERMIT_HOST:
                return reply
        log_event(
            logger,
            "permit_host_silent",
            level=logging.WARNING,
            request=message.request_id,
            service=message.service,
            peer=host,
            error=error,
        )
        return None

    def call(
        self, host: str, message: PermitRequest
    ) -> Result[Message | None, PeerError]:
        """Send a permit request to another host; withdraw it if the caller leaves."""
        try:
            return self.peers.call(
                host, message, message.wait_s + PERMIT_REPLY_MARGIN_S
            )
        except BaseException:
            self.fleet.send({host}, PermitWithdrawn(message.request_id))
            raise

    def share_permit(self, replicas: list[Replica]) -> Permit | Rejection:
        """Return a permit from this host's share of the rates."""
        waits = []
        for replica in replicas:
            wait_s = self.take_share(replica)
            if wait_s <= 0:
                return Permit(replica, boot_clock() + PERMIT_S)
            waits.append(wait_s)
        return Rejection("permit_host_silent", min(waits))

    # Permits that this host grants.

    def handle_permit_request(self, peer: str, message: PermitRequest) -> PermitReply:
        """Grant or refuse a permit to another host."""
        if self.permit_host(message.service) != self.fleet.id:
            # Two hosts that both grant permits would allow twice the rate.
            return PermitReply("", cause=NOT_PERMIT_HOST)
        return self.acquire(message)

    def handle_permit_withdrawn(self, peer: str, message: PermitWithdrawn) -> None:
        """End the wait of another host's request."""
        self.answer(message.request_id, PermitReply("", cause="withdrawn"))

    def acquire(self, message: PermitRequest) -> PermitReply:
        """Wait for a permit for one of several replicas."""
        now = time.monotonic()
        queue = self.queues.setdefault(message.service, PermitQueue(self.weight))
        for row in message.rate_limits:
            self.apply_row(row, now, "permit request")
        replicas = {row[0]: row[1] for row in message.rate_limits}
        for replica, started_ms in replicas.items():
            per_s = self.table.rate(replica, started_ms)
            if math.isinf(per_s):
                return PermitReply(replica)
            queue.set_rate(replica, per_s, now)
        if message.wait_s <= 0:
            taken = queue.take(replicas, now)
            return PermitReply(taken or "", cause="" if taken else "rate_limit")
        item = WaitingRequest(
            id=message.request_id,
            rank=message.rank,
            arrived=now,
            objective_at=now + message.objective_s,
            start_deadline=now + message.wait_s,
            replicas=frozenset(replicas),
            workspace=message.workspace,
        )
        rejection = queue.enqueue(item, now)
        if rejection is not None:
            return self.reject(item, rejection)
        result: AsyncResult[PermitReply] = AsyncResult()
        self.replies[message.request_id] = result
        self.changed.set()
        try:
            reply = result.get(timeout=message.wait_s)
        except gevent.Timeout:
            reply = None
        finally:
            queue.withdraw(message.request_id)
            self.replies.pop(message.request_id, None)
        return reply or PermitReply("", cause="rate_limit")

    def reject(self, item: WaitingRequest, rejection: Rejection) -> PermitReply:
        """Log and count the rejection of a request that gets no permit in time."""
        self.metrics.add(
            "filbertyard_rejections_total", rank=str(item.rank), cause=rejection.cause
        )
        if item.workspace:
            self.metrics.add(
                "filbertyard_workspace_rejections_total",
                workspace=item.workspace,
                cause=rejection.cause,
            )
        log_event(
            logger,
            "permit_rejected",
            request=item.id,
            workspace=item.workspace or None,
            replicas=",".join(sorted(item.replicas)),
            cause=rejection.cause,
            retry_after_s=rejection.retry_after_s,
        )
        return PermitReply("", 0.0, rejection.cause, rejection.retry_after_s)

    def run_permits(self) -> None:
        """Grant permits as the rates of the replicas allow, forever."""
        while True:
            now = time.monotonic()
            for service, queue in list(self.queues.items()):
                if self.permit_host(service) == self.fleet.id:
                    self.grant(queue, now)
                else:
                    self.hand_over(service)
            waits = [q.next_token_s(now) for q in self.queues.values() if q.waiting]
            self.changed.clear()
            self.changed.wait(timeout=min(waits, default=REFRESH_INTERVAL_S))

    def hand_over(self, service: str) -> None:
        """Leave the permits of a service to the host that grants them from now on."""
        for item in self.queues.pop(service).waiting:
            self.answer(item.id, PermitReply("", cause=NOT_PERMIT_HOST))

    def grant(self, queue: PermitQueue, now: float) -> None:
        """Grant the permits of one service that its rates allow now."""
        for replica in list(queue.buckets):
            known = self.table.limits.get(replica)
            per_s = math.inf if known is None else known.rate
            if not math.isinf(per_s):
                queue.set_rate(replica, per_s, now)
                continue
            for item in queue.release(replica):
                # The asking host chooses anew.
                self.answer(item.id, PermitReply("", cause=RATE_LIMIT_ENDED))
        for item in queue.expire(now):
            self.answer(item.id, self.reject(item, Rejection("rate_limit", 0.0)))
        for item, replica in queue.grant(now):
            waited_s = now - item.arrived
            self.metrics.observe(
                "filbertyard_permit_wait_seconds", waited_s, rank=str(item.rank)
            )
            self.answer(item.id, PermitReply(replica, waited_s))

    def answer(self, request_id: str, reply: PermitReply) -> None:
        """Answer a request that waits for a permit, if it still does."""
        result = self.replies.get(request_id)
        if result is not None and not result.ready():
            result.set(reply)
