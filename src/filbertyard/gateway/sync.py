"""Keep the state of a host up to date from the store and, without it, from peers."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable
from collections.abc import Collection
from dataclasses import replace
from typing import Any

import gevent
from result import Err

from ..backoff import Backoff
from ..exceptions import FilbertyardError
from ..exceptions import RevisionCompactedError
from ..keyvalue import KeyValue
from ..keyvalue import WatchEvent
from ..logs import log_event
from ..peers import PeerNetwork
from .feedrows import decode_row
from .feedrows import rows_size
from .hubs import plan_push
from .hubs import rendezvous_order
from .messages import FeedChanges
from .messages import FeedPush
from .messages import FetchFeed
from .state import Feed
from .state import GatewayState

logger = logging.getLogger(__name__)

# How long a watch of a feed waits for a change. A store that stops responding for a
# moment never answers the watches of that time, so a host that waits longer would miss
# changes for longer.
WATCH_WAIT_S = 3.0

# The same for replicas, as a fraction of the time limit for a leaving one. They write
# every second or so, so that a watch seldom waits this long.
REPLICA_WATCH_DRAIN_FRACTION = 0.5

# Interval after each response of a watch, so that changes are applied in batches.
# Replicas write often; their entries may be late by this fraction of the time limit for
# a leaving replica.
REPLICA_FEED_DRAIN_FRACTION = 0.2
OPERATOR_FEED_INTERVAL_S = 0.05
GATEWAY_FEED_INTERVAL_S = 0.2

# Delays after failed calls to the store. The longest is short against the time in which
# a change is to be in force after the store's return.
MIN_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 1.0

# Interval between checks whether this host must watch the store itself.
SUSPENDED_CHECK_INTERVAL_S = 0.2

# A change that a peer knows is fetched from it if it does not arrive within this time.
FETCH_DELAY_S = 0.15

# Time limit of a fetch, doubled after each failed one of the same feed: a reply that
# was too large for the link would be sent again and again otherwise.
FETCH_TIMEOUT_S = 1.0
MAX_FETCH_TIMEOUT_S = 4.0


# Pushes from this size on are logged. A fleet's own records, all at once at its start,
# are about 5 KB.
MIN_LOGGED_PUSH_BYTES = 16 * 1024


class FeedWatcher:
    """Watch one feed in the store."""

    def __init__(
        self,
        state: GatewayState,
        feed: Feed,
        store: KeyValue,
        wait_s: float,
        batch_interval_s: float,
        should_watch: Callable[[], bool],
        push: Callable[[FeedPush], None],
    ) -> None:
        self.should_watch = should_watch
        self.push = push
        self.state = state
        self.feed = feed
        self.store = store
        self.wait_s = wait_s
        self.batch_interval_s = batch_interval_s
        self.is_connected = False
        self.answered_at = -math.inf
        self.has_snapshot = False
        self.is_suspended = False
        self.backoff = Backoff(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)

    def run(self) -> None:
        """Watch the feed while this host should, forever."""
        while True:
            if self.has_snapshot and not self.should_watch():
                self.set_suspended(True)
                gevent.sleep(SUSPENDED_CHECK_INTERVAL_S)
                continue
            self.set_suspended(False)
            try:
                self.watch_feed()
            except RevisionCompactedError as error:
                log_event(
                    logger, "feed_history_lost", feed=self.feed.prefix, error=str(error)
                )
            except FilbertyardError as error:
                self.record_lost(error)
                gevent.sleep(self.backoff.next_delay_s())

    def watch_feed(self) -> None:
        """Read the whole feed, then watch its changes; raise KeyValueError."""
        found = self.store.range(self.feed.prefix, prefix=True)
        is_after_outage = not self.is_connected
        self.record_connected()
        self.state.apply_snapshot(
            self.feed,
            found.items,
            found.revision,
            time.monotonic(),
            is_after_outage=is_after_outage,
        )
        self.has_snapshot = True
        self.state.record_store_answer(self.feed, time.monotonic())
        if not self.should_watch():
            return
        changes = self.store.watch(self.feed.prefix, found.revision + 1, self.wait_s)
        for events in changes:
            self.record_connected()
            self.apply_events(events)
            self.state.record_store_answer(self.feed, time.monotonic())
            if not self.should_watch():
                return
            if events:
                gevent.sleep(self.batch_interval_s)

    def apply_events(self, events: list[WatchEvent]) -> None:
        """Apply changes and push those that other hosts need."""
        now = time.monotonic()
        feed = self.feed
        since = feed.revision
        items, removed = [], []
        for event in newest_events(events):
            item = event.item
            if event.kind == "put":
                if self.state.apply_item(feed, item, now, "store"):
                    items.append(feed.encoder.encode(item))
            elif self.state.apply_removal(
                feed, item.key, item.mod_revision, now, "store"
            ):
                removed.append([item.key, item.mod_revision])
        if items or removed:
            self.push(FeedPush(feed.prefix, since, items, removed))

    def set_suspended(self, is_suspended: bool) -> None:
        """Record whether this host leaves the feed to the feed hubs."""
        if is_suspended != self.is_suspended:
            self.is_suspended = is_suspended
            event = "feed_left_to_relays" if is_suspended else "feed_followed"
            log_event(logger, event, feed=self.feed.prefix)

    def record_connected(self) -> None:
        """Record that the store answered."""
        self.answered_at = time.monotonic()
        self.backoff.reset()
        if not self.is_connected:
            self.is_connected = True
            log_event(logger, "feed_connected", feed=self.feed.prefix)

    def record_lost(self, error: FilbertyardError) -> None:
        """Record that the store did not answer."""
        if self.is_connected or not self.has_snapshot:
            log_event(
                logger,
                "feed_lost",
                level=logging.WARNING,
                feed=self.feed.prefix,
                silent_s=time.monotonic() - self.answered_at,
                error=str(error),
            )
        self.is_connected = False


def newest_events(events: list[WatchEvent]) -> list[WatchEvent]:
    """Return events without the values that a later one of them replaces."""
    found: list[WatchEvent] = []
    replaced: set[str] = set()
    for event in reversed(events):
        if event.kind == "delete" or event.item.key not in replaced:
            found.append(event)
        if event.kind == "put":
            replaced.add(event.item.key)
    return found[::-1]


class PeerSync:
    """Fetch from peers the changes that this host does not get from the store."""

    def __init__(self, state: GatewayState, peers: PeerNetwork) -> None:
        self.state = state
        self.peers = peers
        self.behind_since: dict[str, tuple[int, float]] = {}
        self.spawn: Callable[..., object] = gevent.spawn
        self.fetching: set[str] = set()
        self.fetch_timeouts_s: dict[str, float] = {}
        peers.handle(FetchFeed, self.handle_fetch)
        peers.handle(FeedPush, self.handle_push)

    def compare_revisions(
        self,
        peer: str,
        revisions: dict[str, int],
        now: float,
        confirmed_age_s: float = math.inf,
    ) -> None:
        """Compare a peer's revisions with those known here; fetch what is missing.

        `confirmed_age_s` is as in `Digest`.
        """
        for prefix, revision in revisions.items():
            feed = self.state.feeds.get(prefix)
            if feed is None:
                continue
            self.state.record_peer_revision(feed, revision, now - confirmed_age_s)
            if revision <= feed.revision:
                # This peer has nothing new; others may still be ahead of this host.
                continue
            known, since = self.behind_since.get(prefix, (0, now))
            if known <= feed.revision:
                known, since = revision, now
            self.behind_since[prefix] = (known, since)
            if now - since >= FETCH_DELAY_S and prefix not in self.fetching:
                self.fetching.add(prefix)
                self.spawn(self.fetch, peer, feed)

    def fetch(self, peer: str, feed: Feed) -> bool:
        """Fetch the changes that a peer knows; tell if it answered."""
        timeout_s = self.fetch_timeouts_s.get(feed.prefix, FETCH_TIMEOUT_S)
        try:
            result = self.peers.call(
                peer, FetchFeed(feed.prefix, feed.revision), timeout_s
            )
        finally:
            self.fetching.discard(feed.prefix)
        if isinstance(result, Err) or not isinstance(result.ok_value, FeedChanges):
            self.fetch_timeouts_s[feed.prefix] = min(2 * timeout_s, MAX_FETCH_TIMEOUT_S)
            return False
        self.fetch_timeouts_s.pop(feed.prefix, None)
        self.state.begin_generation(feed, result.ok_value.revision, time.monotonic())
        self.apply_changes(peer, feed, result.ok_value)
        # Changes that a push brought before are not applied again, so that they do not
        # advance the revision by themselves.
        feed.revision = max(feed.revision, result.ok_value.revision)
        return True

    def apply_changes(
        self, peer: str, feed: Feed, changes: FeedChanges | FeedPush
    ) -> None:
        """Apply changes of a feed that a peer sent."""
        now = time.monotonic()
        for row in changes.items:
            item = decode_row(row)
            if item is not None:
                self.state.apply_item(feed, item, now, peer)
            else:
                self.reject_row(peer, feed, row)
        # A push has only what a watch reported.
        kept_s = changes.kept_s if isinstance(changes, FeedChanges) else {}
        for row in changes.removed:
            match row:
                case [str(key), int(revision)]:
                    self.state.apply_removal(
                        feed, key, revision, now, peer, kept_s=kept_s.get(key, 0.0)
                    )
                case _:
                    self.reject_row(peer, feed, row)

    def reject_row(self, peer: str, feed: Feed, row: Any) -> None:
        """Log a change that a peer sent in a form that this host does not know."""
        # Its values may hold API keys.
        parts = row if isinstance(row, list) else [row]
        types = ",".join(type(part).__name__ for part in parts)
        cause = f"unknown form of a change: {types[:80]}"
        self.state.rejections.record(f"{feed.prefix} of {peer}", cause)

    def send_push(self, hosts: Collection[str], push: FeedPush) -> None:
        """Send changes of a feed to hosts, some of which pass a large one on."""
        size = rows_size(push.items)
        # Each sender has an order of its own, so that a lost host that should pass a
        # change on is hardly ever such a host for both feed hubs.
        plan = plan_push(rendezvous_order(self.peers.host, hosts), size)
        if size >= MIN_LOGGED_PUSH_BYTES:
            log_event(
                logger,
                "feed_change_sent",
                feed=push.prefix,
                bytes=size,
                hosts=len(hosts),
                directly=len(plan),
            )
        for host, onward in plan.items():
            gevent.spawn(self.peers.send_one_way, host, replace(push, onward=onward))

    def handle_push(self, peer: str, push: FeedPush) -> None:
        """Apply changes that a feed hub pushed."""
        if push.onward:
            self.send_push(push.onward, push)
        feed = self.state.feeds.get(push.prefix)
        if feed is None:
            return
        known = feed.revision
        self.apply_changes(peer, feed, push)
        if push.since > known:
            # Changes between the two revisions never arrived, and would not be fetched
            # if the revision moved past them.
            feed.revision = known
            log_event(
                logger,
                "feed_gap",
                feed=feed.prefix,
                known=known,
                since=push.since,
                source=peer,
            )
            if feed.prefix not in self.fetching:
                self.fetching.add(feed.prefix)
                self.spawn(self.fetch, peer, feed)

    def handle_fetch(self, peer: str, request: FetchFeed) -> FeedChanges:
        """Return the changes of a feed that a peer misses."""
        feed = self.state.feeds.get(request.prefix)
        if feed is None:
            return FeedChanges([], [])
        after = request.after
        now = time.monotonic()
        removed = {
            key: revision for key, revision in feed.removed.items() if revision > after
        }
        kept_s = {key: self.state.kept_s(key, now) for key in removed}
        return FeedChanges(
            [
                feed.encoder.encode(item)
                for item in feed.items.values()
                if item.mod_revision > after
            ],
            [[key, revision] for key, revision in removed.items()],
            kept_s={key: left_s for key, left_s in kept_s.items() if left_s > 0},
            revision=feed.revision,
        )
