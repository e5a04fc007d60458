"""Ask the hosts that count the quotas of workspaces, and count those of this host.

One host of the fleet, selected by hash as for permits, counts each workspace. All
requests of a workspace that wait at one host ask together.
"""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

import gevent
from gevent.event import Event
from result import Err

from ..logs import log_event
from ..metrics import Metrics
from ..peers import PeerNetwork
from .admission import Rejection
from .claims import boot_clock
from .delivery import Delivery
from .fleet import Fleet
from .hubs import rendezvous_order
from .messages import QuotaReply
from .messages import QuotaRequest
from .messages import QuotaReturn
from .quotas import QuotaAmount
from .quotas import QuotaCounter
from .quotas import QuotaDecision
from .quotas import QuotaGrant
from .quotas import QuotaLimit
from .quotas import minority_fraction
from .quotas import quota_amount
from .state import GatewayState
from .types import Configuration

logger = logging.getLogger(__name__)

# A counting host that does not answer within this time is passed over.
ASK_TIMEOUT_S = 0.2

# The same for a host that is asked by one that was asked in its place.
RELAY_TIMEOUT_S = 0.1

# A host that did not answer is not asked again for this long.
SILENT_S = 1.0

# Hosts asked for the same requests.
MAX_HOSTS_ASKED = 3

# Requests that ask together, which bounds the size of the message.
MAX_BATCH = 100

# A request for which no host counts now asks again after this time, for at most this
# fraction of its latency objective: a successor counts as soon as it is asked.
ASK_AGAIN_S = 0.1
MAX_SILENCE_FRACTION = 0.5

# A reply that is read later than this after the question has expired: this host was
# paused, and the requests count for another time.
MAX_REPLY_AGE_S = 1.0

# Older grants are not returned: the amount would allow requests in another window than
# the one that it was taken from. The slack of the quotas is larger than the rate's
# tenth for a time of this length.
MAX_RETURN_AGE_S = 1.0

# A request waits at least this long for the answer, also near its objective. The hosts
# that are asked one after the other answer within it.
MIN_ASK_S = 0.5

# Interval between two looks at the hosts of the fleet; a fraction of `PAUSE_S`.
UPDATE_INTERVAL_S = 0.1

# Causes of rejections: the workspace is over its quota; no host counts it now.
OVER_QUOTA = "quota"
QUOTA_UNKNOWN = "quota_host_silent"


@dataclass(slots=True, eq=False)
class PendingAmount:
    """A request that waits for a decision, and the host that took it."""

    asked: QuotaAmount
    decided: Event = field(default_factory=Event)
    decision: QuotaDecision | None = None
    host: str = ""
    is_withdrawn: bool = False


class QuotaHosts:
    """The quotas of workspaces as this host asks for them and counts them."""

    def __init__(
        self, fleet: Fleet, peers: PeerNetwork, state: GatewayState, metrics: Metrics
    ) -> None:
        self.fleet = fleet
        self.peers = peers
        self.state = state
        self.metrics = metrics
        self.counter = QuotaCounter(boot_clock())
        self.pending: dict[str, list[PendingAmount]] = {}
        self.silent_until: dict[str, float] = {}
        self.orders: dict[str, list[str]] = {}
        self.limits: dict[str, QuotaLimit] = {}
        self.configuration: Configuration | None = None
        self.view: tuple[frozenset[str], bool] = (frozenset(), False)
        peers.handle(QuotaRequest, self.handle_request)
        peers.handle(QuotaReturn, self.handle_return)

    # Requests of this host's callers.

    def acquire(self, delivery: Delivery) -> Rejection | None:
        """Wait until the quota of the caller's workspace allows a request."""
        workspace = delivery.workspace
        if workspace is None or workspace.quota is None:
            return None
        quota = workspace.quota
        limit = QuotaLimit(delivery.version, quota.per_s, quota.burst)
        amount = quota_amount(delivery.request, quota)
        asked_at = time.monotonic()
        wait_until = asked_at + MAX_SILENCE_FRACTION * delivery.route.objective_s
        while True:
            host, decision = self.request(workspace.name, limit, amount, delivery)
            now = time.monotonic()
            if decision is not None or now + ASK_AGAIN_S > wait_until:
                break
            gevent.sleep(ASK_AGAIN_S)
        if decision is None:
            return Rejection(QUOTA_UNKNOWN, SILENT_S)
        if not decision.is_allowed:
            self.metrics.add(
                "filbertyard_quota_refusals_total", workspace=workspace.name
            )
            return Rejection(OVER_QUOTA, decision.retry_after_s)
        delivery.quota_grant = QuotaGrant(workspace.name, amount, host, boot_clock())
        delivery.waited_s += decision.wait_s
        self.metrics.observe(
            "filbertyard_quota_wait_seconds",
            now - asked_at + decision.wait_s,
            rank=str(delivery.rank),
        )
        if decision.wait_s > 0:
            gevent.sleep(decision.wait_s)
        return None

    def request(
        self, name: str, limit: QuotaLimit, amount: float, delivery: Delivery
    ) -> tuple[str, QuotaDecision | None]:
        """Return the decision on a request and the host that took it, if any did."""
        objective_at = delivery.request.arrived + delivery.route.objective_s
        objective_s = objective_at - time.monotonic()
        asked = QuotaAmount(amount, delivery.route.rank, objective_s, delivery.left_s())
        pending = PendingAmount(asked)
        waiting = self.pending.get(name)
        if waiting is None:
            self.pending[name] = [pending]
            gevent.spawn(self.run_asks, name, limit)
        else:
            waiting.append(pending)
        # The message waits for others on its stream, whatever the time of a request.
        limit_s = min(max(objective_s, MIN_ASK_S), delivery.left_s())
        is_decided = False
        try:
            is_decided = pending.decided.wait(max(0.0, limit_s))
        finally:
            if not is_decided:
                pending.is_withdrawn = True
                self.return_unused(name, pending)
        return (pending.host, pending.decision) if is_decided else ("", None)

    def give_back(self, delivery: Delivery) -> None:
        """Return what a request took that did not run; without effect if repeated."""
        grant, delivery.quota_grant = delivery.quota_grant, None
        if grant is not None and boot_clock() - grant.at <= MAX_RETURN_AGE_S:
            self.send_return(grant.host, grant.workspace, grant.amount)

    def run_asks(self, name: str, limit: QuotaLimit) -> None:
        """Ask for the waiting requests of a workspace until there are none."""
        batch: list[PendingAmount] = []
        try:
            while waiting := self.pending[name]:
                batch, self.pending[name] = waiting[:MAX_BATCH], waiting[MAX_BATCH:]
                host, decisions = self.ask(name, limit, [item.asked for item in batch])
                for item, decision in zip(batch, decisions or (), strict=False):
                    item.host, item.decision = host, decision
                    if item.is_withdrawn:
                        self.return_unused(name, item)
                for item in batch:
                    item.decided.set()
        finally:
            for item in [*batch, *self.pending.pop(name)]:
                item.decided.set()

    def return_unused(self, name: str, pending: PendingAmount) -> None:
        """Return what a request was allowed whose caller has left."""
        decision, pending.decision = pending.decision, None
        if decision is not None and decision.is_allowed:
            self.send_return(pending.host, name, pending.asked.amount)

    def send_return(self, host: str, name: str, amount: float) -> None:
        """Return an amount to the host that counted it."""
        if host == self.fleet.id:
            self.counter.give_back(name, amount, boot_clock())
        else:
            self.fleet.send({host}, QuotaReturn(name, amount))

    # Hosts that count.

    def order(self, name: str) -> list[str]:
        """Return the hosts in the order in which they count a workspace."""
        order = self.orders.get(name)
        if order is None:
            order = self.fleet.selected_hosts(f"quota {name}")
            self.orders[name] = order
        return order

    def is_first(self, name: str) -> bool:
        """Tell if this host is the counting host of a workspace."""
        return self.order(name)[0] == self.fleet.id

    def hosts_to_ask(self, name: str) -> list[str]:
        """Return the hosts that may count a workspace and were not silent of late.

        A host that hears few others may have lost only the hubs of its zone, and can
        still ask those that the store lists.
        """
        now = time.monotonic()
        order = self.order(name)
        if self.counter.fraction >= 1.0:
            found = [key for key in order if self.silent_until.get(key, 0.0) < now]
            return found[:MAX_HOSTS_ASKED] or order[:1]
        listed = rendezvous_order(f"quota {name}", {*self.state.hosts, order[0]})
        before = listed[: listed.index(order[0])]
        found = [key for key in before if self.silent_until.get(key, 0.0) < now]
        return [*found[: MAX_HOSTS_ASKED - 1], order[0]]

    def ask(
        self, name: str, limit: QuotaLimit, amounts: list[QuotaAmount]
    ) -> tuple[str, list[QuotaDecision] | None]:
        """Return the decisions on requests and the host that took them."""
        rows = [
            [item.amount, item.rank, item.objective_s, item.left_s] for item in amounts
        ]
        message = QuotaRequest(name, limit.version, limit.per_s, limit.burst, rows)
        for host in self.hosts_to_ask(name):
            if host == self.fleet.id:
                decisions = self.decide(name, limit, amounts)
                if decisions is not None:
                    return host, decisions
                continue
            reply = self.call(host, message, ASK_TIMEOUT_S)
            if reply is not None and reply.host:
                return reply.host, [QuotaDecision(*row) for row in reply.rows]
        return "", None

    def call(
        self, host: str, message: QuotaRequest, timeout_s: float
    ) -> QuotaReply | None:
        """Send a request for a quota; None without a valid reply."""
        asked_at = boot_clock()
        result = self.peers.call(host, message, timeout_s)
        if isinstance(result, Err):
            now = time.monotonic()
            if self.silent_until.get(host, 0.0) < now:
                log_event(
                    logger,
                    "quota_host_silent",
                    level=logging.WARNING,
                    workspace=message.workspace,
                    peer=host,
                    error=str(result.err_value),
                )
            self.silent_until[host] = now + SILENT_S
            return None
        if boot_clock() - asked_at > MAX_REPLY_AGE_S:
            return None
        reply = result.ok_value
        return reply if isinstance(reply, QuotaReply) else None

    # Requests of other hosts.

    def handle_request(self, peer: str, message: QuotaRequest) -> QuotaReply:
        """Decide on requests of another host, or ask the counting host for it."""
        name = message.workspace
        first = self.hosts_to_ask(name)[0]
        if first != self.fleet.id and not message.is_relayed:
            # The asking host may be cut off from the counting host, but this one not.
            relayed = replace(message, is_relayed=True)
            reply = self.call(first, relayed, RELAY_TIMEOUT_S)
            if reply is not None:
                return reply
        limit = QuotaLimit(message.version, message.per_s, message.burst)
        amounts = [QuotaAmount(*row) for row in message.rows]
        decisions = self.decide(name, limit, amounts)
        if decisions is None:
            return QuotaReply("", [])
        rows = [
            [item.is_allowed, item.wait_s, item.retry_after_s] for item in decisions
        ]
        return QuotaReply(self.fleet.id, rows)

    def handle_return(self, peer: str, message: QuotaReturn) -> None:
        """Return the amount of a request that did not run."""
        self.counter.give_back(message.workspace, message.amount, boot_clock())

    def decide(
        self, name: str, limit: QuotaLimit, amounts: list[QuotaAmount]
    ) -> list[QuotaDecision] | None:
        """Decide on requests of a workspace as its counting host or in its place."""
        is_first = self.is_first(name)
        known = self.counter.buckets.get(name)
        was_limited = known is not None and known.is_limited
        decisions = self.counter.decide(
            name,
            self.newest_limit(name, limit),
            amounts,
            is_first=is_first,
            now=boot_clock(),
        )
        bucket = self.counter.buckets[name]
        if known is None and bucket.stands_in:
            log_event(logger, "quota_stand_in", workspace=name)
        if bucket.is_limited and not was_limited:
            log_event(
                logger,
                "quota_reached",
                workspace=name,
                per_s=bucket.limit.per_s,
                burst=bucket.limit.burst,
                configuration=bucket.limit.version,
                applied_per_s=bucket.bucket.per_s,
            )
        return decisions

    def newest_limit(self, name: str, limit: QuotaLimit) -> QuotaLimit:
        """Return the newer of the limits that this host and an asking one know."""
        known = self.limits.get(name)
        if known is not None and known.version > limit.version:
            return known
        return limit

    def run(self) -> None:
        """Follow the hosts of the fleet and the configuration, forever."""
        while True:
            configuration = self.state.configuration
            if configuration is not None and (
                configuration.has_workspaces or self.orders
            ):
                # Other hosts may know workspaces that this one has not read yet.
                self.update(configuration)
            gevent.sleep(UPDATE_INTERVAL_S)

    def update(self, configuration: Configuration) -> None:
        """Apply the present view of the fleet and the quotas in force."""
        if configuration is not self.configuration:
            self.configuration = configuration
            self.limits = {
                item.name: QuotaLimit(
                    configuration.version, item.quota.per_s, item.quota.burst
                )
                for item in configuration.workspaces.values()
                if item.quota is not None
            }
        hosts = frozenset(self.fleet.expected_zones())
        view = (hosts, self.fleet.describe().is_leaving)
        if view != self.view:
            self.view = view
            self.orders = {}
        # A host that has just started may not have read the list yet.
        known = len(self.state.hosts) or len(hosts)
        now = boot_clock()
        self.counter.update(
            hosts, minority_fraction(len(hosts), known), self.is_first, now
        )
        for name, bucket in self.counter.buckets.items():
            if bucket.end_limit(now):
                log_event(logger, "quota_kept", workspace=name, refused=bucket.refused)
