"""Key-value client for the platform's metadata store."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any
from urllib.parse import quote

from ..exceptions import KeyValueRejectedError
from ..exceptions import KeyValueUnavailableError
from ..exceptions import LeaseEndedError
from ..exceptions import RevisionCompactedError
from ..exceptions import UpstreamError
from ..httpcalls import HttpPeer
from ..httpcalls import create_http_peer
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
from ..keyvalue import key_value_client
from .settings import KEY_VALUE_FORM

# The store ends a waiting watch request after at most this time.
MAX_WATCH_S = 30.0

# Statuses of calls that had no effect.
REJECTED_STATUSES = (429, 503)


@key_value_client(KEY_VALUE_FORM)
class PlatformStore:
    """Client of the platform's metadata store."""

    def __init__(self, address: str, timeout_s: float = 1.0) -> None:
        self.peer: HttpPeer = create_http_peer(
            address, timeout_s=timeout_s, concurrency=16, step="key-value service"
        )
        self.address = self.peer.address
        self.timeout_s = timeout_s
        self.calls: Counter[str] = Counter()

    def call(
        self, method: str, path: str, value: Any = None, timeout_s: float | None = None
    ) -> tuple[int, Any]:
        """Send one call; raise KeyValueUnavailableError without a usable response."""
        name = path.partition("?")[0]
        self.calls[name] += 1
        try:
            status, data = self.peer.json(method, path, value, timeout_s=timeout_s)
        except UpstreamError as error:
            raise KeyValueUnavailableError(
                error.message, step=f"key-value {name}", peer=self.address
            ) from error
        if status in REJECTED_STATUSES:
            raise KeyValueRejectedError(
                f"status {status}", step=f"key-value {name}", peer=self.address
            )
        if status not in (200, 404, 410, 412) or not isinstance(data, dict | None):
            raise KeyValueUnavailableError(
                f"status {status}: {str(data)[:120]}",
                step=f"key-value {name}",
                peer=self.address,
            )
        return status, data or {}

    def range(
        self, key: str, *, prefix: bool = False, limit: int = 0, after: str = ""
    ) -> RangeResult:
        """Read one key, or with `prefix` all keys that begin with it."""
        if not prefix:
            status, data = self.call("GET", f"/api/kv-key?key={quote(key, safe='')}")
            items = [self.parse_item(data)] if status == 200 else []
            return RangeResult(int(data.get("currentRev", 0)), items)
        found: list[Item] = []
        revision = 0
        while True:
            path = f"/api/kv-range?prefix={quote(key, safe='')}"
            if after:
                path += f"&after={quote(after, safe='')}"
            status, data = self.call("GET", path)
            page = [self.parse_item(item) for item in self.valid_items(data)]
            found += page
            # Pages are no snapshot: the watch delivers changes since the first page.
            revision = revision or int(data.get("currentRev", 0))
            if not data.get("truncated") or not page:
                return RangeResult(revision, found)
            after = page[-1].key

    def valid_items(self, data: dict[str, Any]) -> list[dict[str, Any]]:
        """Return the items of a response that have a key."""
        rows = data.get("items") or []
        return [item for item in rows if isinstance(item, dict) and "key" in item]

    def parse_item(self, data: dict[str, Any]) -> Item:
        """Parse one item; raise KeyValueUnavailableError."""
        try:
            return Item(
                key=str(data["key"]),
                value=decode_bytes(data.get("value", "")),
                create_revision=int(data.get("created", 0)),
                mod_revision=int(data.get("revision", 0)),
                lease=int(data.get("lease") or 0),
            )
        except (KeyError, ValueError, TypeError) as error:
            raise KeyValueUnavailableError(
                f"malformed item: {error!r}", step="key-value item", peer=self.address
            ) from error

    def txn(self, compares: list[Compare], writes: list[Write]) -> TxnResult:
        """Apply all writes if all compares hold, else return the compared keys."""
        value = {
            "expected": [
                {"key": compare.key, "revision": compare.mod_revision}
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
        status, data = self.call("POST", "/api/kv-txn", value)
        if status == 404:
            raise LeaseEndedError(
                "no such lease", step="key-value /api/kv-txn", peer=self.address
            )
        if status == 412:
            items = [
                self.parse_item(item)
                for item in self.valid_items(data)
                if int(item.get("revision") or 0) > 0
            ]
            return TxnResult(False, int(data.get("currentRev", 0)), items)
        return TxnResult(True, int(data.get("revision", 0)))

    def lease_grant(self, ttl_s: int) -> int:
        """Return the id of a new lease."""
        _, data = self.call("POST", "/api/kv-lease", {"ttlMs": ttl_s * 1000})
        return int(data.get("lease") or 0)

    def lease_keepalive(self, lease: int) -> int:
        """Renew a lease and return its TTL in seconds, 0 if it has ended."""
        status, data = self.call("POST", f"/api/kv-keep/{lease}", {})
        return 0 if status == 404 else max(1, int(data.get("ttlMs", 1000)) // 1000)

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
                f"&after={after}&waitMs={int(wait_s * 1000)}"
            )
            status, data = self.call("GET", path, timeout_s=wait_s + self.timeout_s)
            if status == 410:
                raise RevisionCompactedError(
                    f"changes since revision {after} are gone",
                    step="key-value /api/kv-watch",
                    peer=self.address,
                )
            events = [self.parse_event(event) for event in data.get("events") or []]
            after = max(after, int(data.get("currentRev", after)))
            yield events

    def parse_event(self, data: dict[str, Any]) -> WatchEvent:
        """Parse one change."""
        item = self.parse_item(data)
        return WatchEvent("delete" if data.get("removed") else "put", item)
