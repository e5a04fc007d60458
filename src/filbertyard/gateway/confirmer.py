"""Confirm that the configuration of this host is the newest one.

One feed hub of each availability zone asks the store for the hosts of its zone, so that
the calls of the store grow with the zones and not with the hosts.
"""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from result import Ok

from ..backoff import Backoff
from ..exceptions import FilbertyardError
from ..keyvalue import KeyValue
from ..logs import log_event
from ..metrics import Metrics
from ..peers import PeerNetwork
from .messages import ConfigurationAge
from .messages import ConfirmConfiguration
from .state import GatewayState
from .sync import MAX_RETRY_DELAY_S
from .sync import MIN_RETRY_DELAY_S
from .sync import PeerSync

logger = logging.getLogger(__name__)

# A request waits this long for a confirmation before it is rejected as not run. The
# store answers within milliseconds, a quarter of a second when it is slow; after this
# time it is away, and another host may do better.
CONFIRMATION_WAIT_S = 0.4

# Hosts that are asked for a confirmation when the store does not answer this one.
MAX_PEERS_ASKED = 2

# A host that is asked takes its own confirmation if it is at most this old.
PEER_MAX_AGE_S = 0.25

# Another host, and then the store, may take this long before the next one is asked, so
# that one of them that is silent does not use up CONFIRMATION_WAIT_S.
PEER_TIMEOUT_S = 0.12
STORE_WAIT_S = 0.1


class ConfigurationConfirmer:
    """Ask a feed hub, the store or other hosts for the newest configuration.

    Only one confirmation runs at a time; all who need one wait for it. After a failure
    the next one waits for a delay that grows, so that an outage is met by few calls.
    """

    def __init__(
        self,
        state: GatewayState,
        store: KeyValue,
        sync: PeerSync,
        peers: PeerNetwork,
        feed_hub: Callable[[], str],
        connected_hosts: Callable[[], list[str]],
        metrics: Metrics,
    ) -> None:
        self.state = state
        self.store = store
        self.sync = sync
        self.peers = peers
        self.feed_hub = feed_hub
        self.connected_hosts = connected_hosts
        self.metrics = metrics
        self.confirmed_at = -math.inf
        self.retry_at = -math.inf
        self.is_failing = False
        self.backoff = Backoff(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        self.ended: Event | None = None
        self.store_lock = BoundedSemaphore()
        self.store_retry_at = -math.inf
        peers.handle(ConfirmConfiguration, self.handle_confirm)

    def age_s(self) -> float:
        """Return the time since the configuration was known to be the newest one."""
        return time.monotonic() - self.confirmed_at

    def confirm(self, max_age_s: float) -> bool:
        """Tell if the configuration was the newest one within `max_age_s`.

        Wait up to CONFIRMATION_WAIT_S for a confirmation that is that recent.
        """
        if self.age_s() <= max_age_s:
            return True
        if self.ended is None:
            if time.monotonic() < self.retry_at:
                return False
            self.ended = Event()
            gevent.spawn(self.run, self.ended)
        self.ended.wait(CONFIRMATION_WAIT_S)
        return self.age_s() <= max_age_s

    def run(self, ended: Event) -> None:
        """Confirm the configuration once and wake those who wait for it."""
        try:
            self.record(self.find_source())
        finally:
            self.ended = None
            ended.set()

    def find_source(self) -> str:
        """Have the configuration confirmed; return by whom."""
        hub = self.feed_hub()
        if hub and self.ask_peer(hub):
            return "peer"
        reading = gevent.spawn(self.confirm_by_store)
        reading.join(STORE_WAIT_S)
        if reading.value:
            return "store"
        others = [host for host in self.connected_hosts() if host != hub]
        if any(self.ask_peer(host) for host in others[:MAX_PEERS_ASKED]):
            return "peer"
        return "store" if reading.get() else "none"

    def record(self, source: str) -> None:
        """Record the result of a confirmation; log when it begins or ceases to fail."""
        self.metrics.add("filbertyard_configuration_confirmations_total", source=source)
        is_failing = source == "none"
        if is_failing:
            self.retry_at = time.monotonic() + self.backoff.next_delay_s()
        else:
            self.backoff.reset()
        if is_failing != self.is_failing:
            self.is_failing = is_failing
            configuration = self.state.configuration
            log_event(
                logger,
                "configuration_unconfirmed"
                if is_failing
                else "configuration_confirmed",
                level=logging.WARNING if is_failing else logging.INFO,
                version=configuration.version if configuration is not None else None,
                source=source,
            )

    def known_revision(self) -> int:
        """Return the revision of the configuration in force, 0 for none."""
        configuration = self.state.configuration
        return configuration.revision if configuration is not None else 0

    def confirm_by_store(self) -> bool:
        """Confirm the configuration by the store; all who ask share one reading."""
        with self.store_lock:
            if self.age_s() <= PEER_MAX_AGE_S:
                return True
            asked_at = time.monotonic()
            if asked_at < self.store_retry_at:
                return False
            if not self.read_store():
                self.store_retry_at = time.monotonic() + MIN_RETRY_DELAY_S
                return False
            self.confirmed_at = max(self.confirmed_at, asked_at)
            return True

    def read_store(self) -> bool:
        """Compare with the store and read what is newer; tell if it is in force."""
        layout = self.state.wire.layout
        feed = self.state.operator_feed
        try:
            found = self.store.range(layout.configuration_key).items
            if not found:
                return False
            revision = found[0].mod_revision
            if self.known_revision() < revision:
                # The whole feed is read: the revision of a feed may only pass changes
                # that are known, or they would not be fetched from other hosts.
                snapshot = self.store.range(feed.prefix, prefix=True)
                self.state.apply_snapshot(
                    feed, snapshot.items, snapshot.revision, time.monotonic()
                )
        except FilbertyardError:
            return False
        return self.known_revision() >= revision

    def ask_peer(self, host: str) -> bool:
        """Have the configuration confirmed by another host; tell if it was."""
        asked_at = time.monotonic()
        result = self.peers.call(host, ConfirmConfiguration(), PEER_TIMEOUT_S)
        reply = result.ok_value if isinstance(result, Ok) else None
        if not isinstance(reply, ConfigurationAge) or reply.age_s is None:
            return False
        feed = self.state.operator_feed
        if self.known_revision() < reply.revision and (
            feed.prefix not in self.sync.fetching
        ):
            # A fetch may take seconds; what comes later is applied all the same.
            self.sync.fetching.add(feed.prefix)
            gevent.spawn(self.sync.fetch, host, feed).join(PEER_TIMEOUT_S)
        if self.known_revision() < reply.revision:
            return False
        self.confirmed_at = max(self.confirmed_at, asked_at - reply.age_s)
        return True

    def handle_confirm(
        self, peer: str, message: ConfirmConfiguration
    ) -> ConfigurationAge:
        """Tell another host which configuration is the newest one.

        The store alone is asked here, so that hosts without it do not ask each other.
        """
        age_s = self.age_s() if self.confirm_by_store() else None
        return ConfigurationAge(self.known_revision(), age_s)
