"""Key-value client for the platform's metadata store."""

from __future__ import annotations

import json
import logging
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from ..exceptions import KeyValueRejectedError
from ..exceptions import KeyValueUnavailableError
from ..exceptions import LeaseEndedError
from ..exceptions import RevisionCompactedError
from ..exceptions import UpstreamError
from ..httpcalls import HttpPeer
from ..httpcalls import create_http_peer
from ..jsonvalues import parse_count
from ..keyvalue import Compare
from ..keyvalue import Delete
from ..keyvalue import Item
from ..keyvalue import Put
from ..keyvalue import RangeResult
from ..keyvalue import TxnResult
from ..keyvalue import WatchEvent
from ..keyvalue import Write
from ..keyvalue import decode_bytes
from ..keyvalue import encode_bytes
from ..keyvalue import first_revision
from ..keyvalue import generation_of
from ..keyvalue import key_value_client
from ..keyvalue import local_revision
from ..logs import log_event
from .settings import KEY_VALUE_FORM

logger = logging.getLogger(__name__)

# Header of all responses; its value rises by one each time the store loses writes.
STORE_ERA = "Store-Era"
FIRST_ERA = 1

# A response that arrives at this rate at least may take longer than the timeout. It is
# a fifth of an access link of 5 Mbit/s, which other streams use too.
MIN_RESPONSE_BYTES_PER_S = 128 * 1024

JSON_HEADERS = {"Content-Type": "application/json"}

# The store ends a waiting watch request after at most this time.
MAX_WATCH_S = 30.0

# Statuses of calls that had no effect.
REJECTED_STATUSES = (429, 503)


@dataclass(frozen=True, slots=True)
class Reply:
    """Response to one call; `generation` is as in `KeyValue`."""

    status: int
    data: dict[str, Any]
    generation: int

    def ordered(self, number: Any) -> int:
        """Return a revision of the store with its generation, 0 for none."""
        return first_revision(self.generation) + int(number) if number else 0

    def revision(self, name: str) -> int:
        """Return the revision that a field of the response names."""
        return first_revision(self.generation) + int(self.data.get(name) or 0)


@key_value_client(KEY_VALUE_FORM)
class PlatformStore:
    """Client of the platform's metadata store."""

    def __init__(self, address: str, timeout_s: float = 1.0) -> None:
        self.peer: HttpPeer = create_http_peer(
            address, timeout_s=timeout_s, concurrency=16, step="key-value service"
        )
        self.address = self.peer.address
        self.timeout_s = timeout_s
        self.generation = 0
        self.has_era = False
        self.calls: Counter[str] = Counter()

    def call(
        self, method: str, path: str, value: Any = None, timeout_s: float | None = None
    ) -> Reply:
        """Send one call; raise KeyValueUnavailableError without a usable response."""
        name = path.partition("?")[0]
        self.calls[name] += 1
        body = b"" if value is None else json.dumps(value).encode()
        try:
            response, received = self.peer.exchange(
                method,
                path,
                body,
                JSON_HEADERS,
                timeout_s=timeout_s,
                min_bytes_per_s=MIN_RESPONSE_BYTES_PER_S,
            )
            self.record_era(response.header(STORE_ERA), name)
            # The operator's configuration holds API keys.
            data = self.peer.parse_json(response, received, is_secret=True)
        except UpstreamError as error:
            raise self.unavailable(error.message, name) from error
        status = response.status
        if status in REJECTED_STATUSES:
            raise KeyValueRejectedError(
                f"status {status}", step=f"key-value {name}", peer=self.address
            )
        if status not in (200, 404, 410, 412) or not isinstance(data, dict | None):
            raise self.unavailable(f"status {status}: {type(data).__name__}", name)
        return Reply(status, data or {}, self.generation)

    def unavailable(self, message: str, name: str) -> KeyValueUnavailableError:
        """Return the error for a call without a usable response."""
        return KeyValueUnavailableError(
            message, step=f"key-value {name}", peer=self.address
        )

    def record_era(self, text: str, name: str) -> None:
        """Record the era of a response; raise KeyValueUnavailableError if it is old."""
        if not text:
            return
        era = parse_count(text)
        if era is None:
            raise self.unavailable(f"unreadable era {text[:20]!r}", name)
        generation = max(0, era - FIRST_ERA)
        if generation < self.generation:
            raise self.unavailable(
                f"response of era {text}, before the store lost writes", name
            )
        if generation > self.generation and self.has_era:
            log_event(
                logger,
                "store_lost_writes",
                level=logging.WARNING,
                generation=generation,
                known=self.generation,
                call=name,
            )
        self.generation = generation
        self.has_era = True

    def range(
        self, key: str, *, prefix: bool = False, limit: int = 0, after: str = ""
    ) -> RangeResult:
        """Read one key, or with `prefix` all keys that begin with it."""
        if not prefix:
            reply = self.call("GET", f"/api/kv-key?key={quote(key, safe='')}")
            items = [self.parse_item(reply.data, reply)] if reply.status == 200 else []
            return RangeResult(reply.revision("currentRev"), items)
        found: list[Item] = []
        revision = 0
        while True:
            path = f"/api/kv-range?prefix={quote(key, safe='')}"
            if after:
                path += f"&after={quote(after, safe='')}"
            reply = self.call("GET", path)
            page = [self.parse_item(item, reply) for item in self.valid_items(reply)]
            found += page
            # Pages are no snapshot: the watch delivers changes since the first page.
            revision = revision or reply.revision("currentRev")
            if reply.generation != generation_of(revision):
                raise self.unavailable("the store lost writes", "/api/kv-range")
            if not reply.data.get("truncated") or not page:
                return RangeResult(revision, found)
            after = page[-1].key

    def valid_items(self, reply: Reply) -> list[dict[str, Any]]:
        """Return the items of a response that have a key."""
        rows = reply.data.get("items") or []
        return [item for item in rows if isinstance(item, dict) and "key" in item]

    def parse_item(self, data: dict[str, Any], reply: Reply) -> Item:
        """Parse one item; raise KeyValueUnavailableError."""
        try:
            return Item(
                key=str(data["key"]),
                value=decode_bytes(data.get("value", "")),
                create_revision=reply.ordered(data.get("created")),
                mod_revision=reply.ordered(data.get("revision")),
                lease=int(data.get("lease") or 0),
            )
        except (KeyError, ValueError, TypeError) as error:
            raise KeyValueUnavailableError(
                f"malformed item: {error!r}", step="key-value item", peer=self.address
            ) from error

    def txn(self, compares: list[Compare], writes: list[Write]) -> TxnResult:
        """Apply all writes if all compares hold, else return the compared keys."""
        generation = self.generation
        name = "/api/kv-txn"
        known = [compare for compare in compares if compare.mod_revision]
        if any(generation_of(item.mod_revision) < generation for item in known):
            # The store may have given the same number to another write since.
            raise KeyValueRejectedError(
                "compare is from before the store lost writes",
                step=f"key-value {name}",
                peer=self.address,
            )
        value = {
            "expected": [
                {"key": compare.key, "revision": local_revision(compare.mod_revision)}
                for compare in compares
            ],
            "puts": [
                {
                    "key": write.key,
                    "value": encode_bytes(write.value),
                    "lease": write.lease,
                }
                for write in writes
                if isinstance(write, Put)
            ],
            "remove": [write.key for write in writes if isinstance(write, Delete)],
        }
        reply = self.call("POST", name, value)
        if reply.status == 404:
            raise LeaseEndedError(
                "no such lease", step=f"key-value {name}", peer=self.address
            )
        if reply.status == 412:
            items = [
                self.parse_item(item, reply)
                for item in self.valid_items(reply)
                if int(item.get("revision") or 0) > 0
            ]
            return TxnResult(False, reply.revision("currentRev"), items)
        if known and reply.generation != generation:
            raise self.unavailable("the store lost writes during the call", name)
        return TxnResult(True, reply.revision("revision"))

    def lease_grant(self, ttl_s: int) -> int:
        """Return the id of a new lease."""
        reply = self.call("POST", "/api/kv-lease", {"ttlMs": ttl_s * 1000})
        return int(reply.data.get("lease") or 0)

    def lease_keepalive(self, lease: int) -> int:
        """Renew a lease and return its TTL in seconds, 0 if it has ended."""
        reply = self.call("POST", f"/api/kv-keep/{lease}", {})
        if reply.status == 404:
            return 0
        return max(1, int(reply.data.get("ttlMs", 1000)) // 1000)

    def watch(
        self, prefix: str, start_revision: int, idle_s: float
    ) -> Iterator[list[WatchEvent]]:
        """Yield changes under `prefix`, and an empty list after `idle_s` without any.

        Raise RevisionCompactedError when the changes since `start_revision` are gone.
        """
        after = start_revision - 1
        wait_s = min(idle_s, MAX_WATCH_S)
        while True:
            path = (
                f"/api/kv-watch?prefix={quote(prefix, safe='')}"
                f"&after={local_revision(after)}&waitMs={int(wait_s * 1000)}"
            )
            reply = self.call("GET", path, timeout_s=wait_s + self.timeout_s)
            if reply.status == 410 or reply.generation != generation_of(after):
                raise RevisionCompactedError(
                    f"changes since revision {after} are gone",
                    step="key-value /api/kv-watch",
                    peer=self.address,
                )
            rows = reply.data.get("events") or []
            events = [self.parse_event(event, reply) for event in rows]
            after = max(after, reply.revision("currentRev"))
            yield events

    def parse_event(self, data: dict[str, Any], reply: Reply) -> WatchEvent:
        """Parse one change."""
        item = self.parse_item(data, reply)
        return WatchEvent("delete" if data.get("removed") else "put", item)
