"""State of one gateway host: configuration, replicas, hosts and owners."""

from __future__ import annotations

import json
import logging
import math
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

import xxhash

from ..exceptions import DocumentError
from ..jsonvalues import check_address
from ..jsonvalues import parse_json
from ..keyvalue import Item
from ..keyvalue import first_revision
from ..keyvalue import generation_of
from ..logs import log_event
from .feedrows import RowEncoder
from .freshness import RevisionConfirmation
from .quarantine import Quarantine
from .rejections import DocumentRejections
from .types import AdapterName
from .types import Configuration
from .types import HostRecord
from .types import OwnerRecord
from .types import Replica
from .wire import WireFormat

logger = logging.getLogger(__name__)

# Keys that the gateway itself writes in the store.
GATEWAY_PREFIX = "filbertyard/"
HOST_PREFIX = GATEWAY_PREFIX + "hosts/"
OWNER_PREFIX = GATEWAY_PREFIX + "owners/"
REJECTION_PREFIX = GATEWAY_PREFIX + "prompts/"

# Removals are kept for peers that missed them, this many for each feed.
MAX_REMOVALS = 500

# A replica whose entry expired during an outage of the store is kept for this long
# after the store's return; a live one writes its entry again within about two seconds.
EXPIRY_GRACE_S = 2.0


class Feed:
    """The newest known items below one prefix, with removals.

    `revision` is that of the newest change that other hosts need. Changes from before
    `generation` are ignored: the service has lost them; see `keyvalue.REVISION_BITS`.
    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.items: dict[str, Item] = {}
        self.removed: dict[str, int] = {}
        self.revision = 0
        self.generation = 0
        self.has_snapshot = False
        self.encoder = RowEncoder()

    def begin_generation(self, generation: int) -> None:
        """Ignore changes from before a loss; tell other hosts of it by the revision."""
        self.generation = generation
        self.revision = max(self.revision, first_revision(generation))

    def put(self, item: Item) -> bool:
        """Store an item if it is newer; tell if it was."""
        if generation_of(item.mod_revision) < self.generation:
            return False
        known = self.items.get(item.key)
        if known is not None and known.mod_revision >= item.mod_revision:
            return False
        if self.removed.get(item.key, 0) >= item.mod_revision:
            return False
        self.items[item.key] = item
        self.removed.pop(item.key, None)
        return True

    def remove(self, key: str, revision: int) -> bool:
        """Apply a removal if it is newer; tell if it removed an item."""
        if generation_of(revision) < self.generation:
            return False
        known = self.items.get(key)
        if known is not None and known.mod_revision > revision:
            return False
        if self.removed.get(key, 0) >= revision:
            return False
        self.items.pop(key, None)
        self.encoder.forget(key)
        self.removed[key] = revision
        while len(self.removed) > MAX_REMOVALS:
            del self.removed[next(iter(self.removed))]
        self.revision = max(self.revision, revision)
        return known is not None


class GatewayState:
    """Feeds and the records decoded from them; `now` is on the monotonic clock."""

    def __init__(self, wire: WireFormat) -> None:
        self.wire = wire
        layout = wire.layout
        self.operator_feed = Feed(layout.operator_prefix)
        self.replica_feed = Feed(layout.replica_prefix)
        self.gateway_feed = Feed(GATEWAY_PREFIX)
        self.feeds = {feed.prefix: feed for feed in self.feed_list()}
        self.configuration: Configuration | None = None
        self.confirmation = RevisionConfirmation()
        self.releases: dict[AdapterName, int] = {}
        self.replicas: dict[str, Replica] = {}
        self.kept_until: dict[str, float] = {}
        self.hosts: dict[str, HostRecord] = {}
        self.owners: dict[str, OwnerRecord] = {}
        self.missing_since: dict[str, float] = {}
        # The owners before the store last lost writes, and when this host heard of it.
        self.former_owners: dict[str, OwnerRecord] = {}
        self.writes_lost_at = -math.inf
        self.quarantine = Quarantine()
        self.rejections = DocumentRejections()
        self.stored_rejections: dict[str, frozenset[str]] = {}

    def is_complete(self) -> bool:
        """Tell if routes and replicas are known."""
        return self.configuration is not None and self.replica_feed.has_snapshot

    def is_configuration_current(self, now: float) -> bool:
        """Tell if the newest configuration that may be in force is known here.

        A host that may be behind must not tell a caller that a route does not exist.
        """
        return self.confirmation.is_current(self.operator_feed.revision, now)

    def record_store_answer(self, feed: Feed, now: float) -> None:
        """Record that all changes of a feed that the store had are applied."""
        if feed is self.operator_feed:
            self.confirmation.record_store(now)

    def record_peer_revision(
        self, feed: Feed, revision: int, confirmed_at: float
    ) -> None:
        """Record a peer's revision of a feed and when the store confirmed it."""
        if feed is self.operator_feed:
            self.confirmation.record_peer(revision, feed.revision, confirmed_at)

    def feed_list(self) -> list[Feed]:
        """Return the feeds."""
        return [self.operator_feed, self.replica_feed, self.gateway_feed]

    def apply_item(self, feed: Feed, item: Item, now: float, source: str) -> bool:
        """Apply an item from the store or a peer; tell if other hosts need it too.

        An item that cannot be decoded costs only itself. Configurations, versions and
        records of hosts and owners keep the last value that could be: each names what
        was decided before. A replica is not used, as its entry may tell that it leaves.
        """
        if not feed.put(item):
            return False
        is_needed_by_peers = True
        try:
            if feed is self.operator_feed:
                self.apply_operator_item(item, now, source)
            elif feed is self.replica_feed:
                is_needed_by_peers = self.apply_replica_entry(item, source)
            else:
                self.apply_gateway_record(item, now, source)
            self.rejections.clear(item.key)
        except DocumentError as error:
            self.rejections.record(item.key, error.detail)
        except Exception as error:
            # The tasks that follow the feeds go on with the other items.
            self.rejections.record_fault(item.key, error)
        if is_needed_by_peers:
            feed.revision = max(feed.revision, item.mod_revision)
        return is_needed_by_peers

    def apply_removal(
        self,
        feed: Feed,
        key: str,
        revision: int,
        now: float,
        source: str,
        *,
        kept_s: float = 0.0,
    ) -> bool:
        """Apply a removal from the store or a peer; tell if it removed an item.

        A removed replica stays in use for `kept_s`: its entry may have expired while
        the store was unavailable.
        """
        is_new = feed.remove(key, revision)
        self.rejections.clear(key)
        if feed is self.replica_feed and key not in feed.items:
            self.remove_replica(key, revision, now, source, kept_s)
        elif is_new and feed is self.gateway_feed:
            self.remove_gateway_record(key, now, source)
        return is_new

    def apply_snapshot(
        self,
        feed: Feed,
        items: Iterable[Item],
        revision: int,
        now: float,
        *,
        is_after_outage: bool = False,
    ) -> None:
        """Apply a snapshot of a feed at `revision`."""
        found = {item.key: item for item in items}
        if generation_of(revision) > feed.generation:
            is_after_outage |= feed.has_snapshot
            if feed is self.replica_feed:
                # A replica that was removed counts again once it writes its entry.
                for key in feed.removed:
                    feed.removed[key] = revision
                    found.pop(key, None)
            self.begin_generation(feed, revision, now)
        feed.has_snapshot = True
        kept_s = EXPIRY_GRACE_S if is_after_outage else 0.0
        for item in found.values():
            self.apply_item(feed, item, now, "store")
        for key, known in list(feed.items.items()):
            if key not in found and known.mod_revision <= revision:
                self.apply_removal(feed, key, revision, now, "store", kept_s=kept_s)

    def begin_generation(self, feed: Feed, revision: int, now: float) -> None:
        """Go on with a feed after the store has lost writes; do nothing otherwise.

        The store may hold again what was removed, and lack what was written since.
        Whoever still stands behind a record writes it again.
        """
        generation = generation_of(revision)
        if generation <= feed.generation:
            return
        if feed.has_snapshot:
            log_event(
                logger,
                "feed_writes_lost",
                level=logging.WARNING,
                feed=feed.prefix,
                known=feed.revision,
                revision=revision,
            )
            if feed is self.gateway_feed:
                self.former_owners = dict(self.owners)
                self.writes_lost_at = now
                # The prompts still crash replicas; the rejections end by themselves.
                self.stored_rejections.clear()
        feed.begin_generation(generation)

    def apply_operator_item(self, item: Item, now: float, source: str) -> None:
        """Apply a configuration or a version's announcement; raise DocumentError."""
        layout = self.wire.layout
        if item.key == layout.configuration_key:
            configuration = self.wire.read_configuration(item)
            known = self.configuration
            if known is not None and is_lost_since(
                known.revision, known.version > configuration.version, item
            ):
                log_event(
                    logger,
                    "configuration_ignored",
                    level=logging.WARNING,
                    version=configuration.version,
                    known=known.version,
                    revision=item.mod_revision,
                    source=source,
                )
                return
            self.configuration = configuration
            log_event(
                logger,
                "configuration_in_force",
                version=self.configuration.version,
                routes=len(self.configuration.routes),
                revision=item.mod_revision,
                source=source,
            )
        elif item.key.startswith(layout.version_prefix):
            name, version = self.wire.read_release(item)
            if version > self.releases.get(name, 0):
                self.releases[name] = version
                log_event(
                    logger,
                    "version_announced",
                    adapter=name,
                    version=version,
                    revision=item.mod_revision,
                    source=source,
                )

    def apply_replica_entry(self, item: Item, source: str) -> bool:
        """Apply a replica entry; tell if more than its models and adapters changed.

        Raise DocumentError.
        """
        name = item.key.removeprefix(self.replica_feed.prefix)
        try:
            replica = self.wire.read_replica(item)
        except BaseException:
            self.replicas.pop(name, None)
            raise
        known = self.replicas.get(name)
        if known is not None and is_lost_since(
            known.revision, known.supersedes(replica), item
        ):
            replica = replace(known, revision=replica.revision)
        self.replicas[name] = replica
        self.kept_until.pop(name, None)
        if known is not None:
            same_holdings = replace(
                known,
                revision=replica.revision,
                models=replica.models,
                adapters=replica.adapters,
            )
            if same_holdings == replica:
                return False
        log_event(
            logger,
            "replica_listed",
            replica=name,
            service=replica.service,
            address=replica.address,
            leaving=replica.is_leaving,
            born=replica.started_ms,
            revision=item.mod_revision,
            source=source,
        )
        return True

    def remove_replica(
        self, key: str, revision: int, now: float, source: str, kept_s: float
    ) -> None:
        """Stop using a replica, or keep one that may have expired in an outage."""
        name = key.removeprefix(self.replica_feed.prefix)
        replica = self.replicas.get(name)
        if replica is None or revision < replica.revision:
            return
        if kept_s > 0:
            if name in self.kept_until:
                return
            self.kept_until[name] = now + kept_s
        else:
            self.kept_until.pop(name, None)
            del self.replicas[name]
        log_event(
            logger,
            "replica_removed",
            replica=name,
            revision=revision,
            leaving=replica.is_leaving,
            kept_s=kept_s or None,
            source=source,
        )

    def kept_s(self, key: str, now: float) -> float:
        """Return how long a removed replica stays in use, 0 for any other key."""
        name = key.removeprefix(self.replica_feed.prefix)
        return max(0.0, self.kept_until.get(name, now) - now)

    def drop_expired_replicas(self, now: float) -> None:
        """Stop using replicas whose entries did not come back."""
        for name, until in list(self.kept_until.items()):
            if now >= until:
                del self.kept_until[name]
                self.replicas.pop(name, None)
                log_event(logger, "replica_gone", replica=name)

    def apply_gateway_record(self, item: Item, now: float, source: str) -> None:
        """Apply a host's record, the owner record of a replica or a rejection.

        Raise DocumentError.
        """
        for prefix, apply in (
            (HOST_PREFIX, self.apply_host_record),
            (OWNER_PREFIX, self.apply_owner_record),
            (REJECTION_PREFIX, self.apply_stored_rejection),
        ):
            if not item.key.startswith(prefix):
                continue
            try:
                apply(item, parse_json(item.value, item.key), now, source)
            except (ValueError, KeyError, TypeError) as error:
                raise DocumentError(item.key, repr(error)) from error

    def apply_host_record(
        self, item: Item, value: dict[str, Any], now: float, source: str
    ) -> None:
        """Apply a host's record; raise ValueError, KeyError or TypeError."""
        host = HostRecord(
            id=check_address(item.key.removeprefix(HOST_PREFIX)),
            instance=str(value["instance"]),
            callers=check_address(str(value["callers"])),
            availability_zone=str(value["zone"]),
            is_leaving=bool(value["leaving"]),
        )
        known = self.hosts.get(host.id)
        self.hosts[host.id] = host
        self.missing_since.pop(host.id, None)
        if known != host:
            log_event(
                logger,
                "host_listed",
                peer=host.id,
                instance=host.instance,
                leaving=host.is_leaving,
                revision=item.mod_revision,
                source=source,
            )

    def apply_owner_record(
        self, item: Item, value: dict[str, Any], now: float, source: str
    ) -> None:
        """Apply an owner record; raise ValueError, KeyError or TypeError."""
        owner = OwnerRecord(
            replica=item.key.removeprefix(OWNER_PREFIX),
            host=check_address(str(value["host"])),
            instance=str(value["instance"]),
            fence=item.mod_revision,
            is_released=bool(value["released"]),
            wait_s=float(value["wait_s"]),
        )
        self.owners[owner.replica] = owner
        log_event(
            logger,
            "owner_listed",
            replica=owner.replica,
            owner=owner.host,
            fence=owner.fence,
            released=owner.is_released or None,
            source=source,
        )

    def apply_stored_rejection(
        self, item: Item, value: dict[str, Any], now: float, source: str
    ) -> None:
        """Apply the rejection of a prompt; raise ValueError, KeyError or TypeError."""
        parts = frozenset(str(part) for part in value["parts"])
        until = now + float(value["rejection_s"])
        self.stored_rejections[item.key] = parts
        self.quarantine.reject(parts, until)

    def remove_gateway_record(self, key: str, now: float, source: str) -> None:
        """Remove a host's record, the owner record of a replica or a rejection."""
        if key.startswith(HOST_PREFIX):
            name = key.removeprefix(HOST_PREFIX)
            self.hosts.pop(name, None)
            self.missing_since[name] = now
            log_event(logger, "host_removed", peer=name, source=source)
        elif key.startswith(OWNER_PREFIX):
            self.owners.pop(key.removeprefix(OWNER_PREFIX), None)
        elif key in self.stored_rejections:
            # The lease of the record has ended.
            self.quarantine.lift(self.stored_rejections.pop(key), now)

    def is_usable(self, replica: str) -> bool:
        """Tell if a replica takes new requests."""
        found = self.replicas.get(replica)
        return found is not None and not found.is_leaving

    def usable(self, service: str) -> list[Replica]:
        """Return the replicas of a service that take new requests."""
        return [
            replica
            for replica in self.replicas.values()
            if replica.service == service and not replica.is_leaving
        ]


def is_lost_since(known_revision: int, is_newer: bool, item: Item) -> bool:
    """Tell if what is known is newer than an item although the item's revision is."""
    is_after_loss = generation_of(known_revision) < generation_of(item.mod_revision)
    return is_after_loss and is_newer


def encode_rejection(parts: frozenset[str], rejection_s: float) -> tuple[str, bytes]:
    """Return key and value of the record of a rejected combination of prompt parts."""
    names = sorted(parts)
    # Ids of parts may be longer than a key allows.
    key = REJECTION_PREFIX + xxhash.xxh64_hexdigest("|".join(names))
    value = {"parts": names, "rejection_s": rejection_s}
    return key, json.dumps(value, separators=(",", ":")).encode()


def create_gateway_state(wire: WireFormat) -> GatewayState:
    """Return the state of a host that knows nothing yet."""
    return GatewayState(wire)
