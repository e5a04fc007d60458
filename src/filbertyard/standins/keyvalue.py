"""Stand-in for the key-value service: the JSON API of the etcd v3 gateway."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent.event import Event

from ..exceptions import KeyValueUnavailableError
from ..keyvalue import EtcdJsonClient
from ..keyvalue import Item
from ..keyvalue import decode_bytes
from ..keyvalue import encode_bytes
from .web import Environ
from .web import Standin
from .web import StartResponse
from .web import read_json
from .web import send_json

# Time without changes after which a watch gets an empty progress response.
WATCH_PROGRESS_INTERVAL_S = 2.0


@dataclass(slots=True)
class SavedContent:
    """Saved content of the service."""

    items: dict[str, Item]
    revision: int


@dataclass(slots=True)
class KeyValueFaults:
    """Failures that a test switches on; `delay_s` delays every call.

    The next `drop_writes` writes fail before they take effect, the next
    `lose_responses` writes after it. Reads use `stale_content` while it is set.
    `before_write` runs once, before the next write is applied.
    """

    unavailable: bool = False
    delay_s: float = 0.0
    drop_writes: int = 0
    lose_responses: int = 0
    stale_content: SavedContent | None = None
    before_write: Callable[[], None] | None = None


@dataclass(slots=True)
class Change:
    """One change in the history that watches read."""

    revision: int
    kind: str
    item: Item


class KeyValueStandin(Standin):
    """An in-memory key-value service with transactions, leases and watches."""

    def __init__(self, port: int = 0) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.changes: list[Change] = []
        self.leases: dict[int, tuple[int, float]] = {}
        self.next_lease = 1000
        self.changed = Event()
        self.faults = KeyValueFaults()
        self.calls: dict[str, int] = {}
        super().__init__(port)

    def application(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one call of the JSON gateway."""
        path = environ["PATH_INFO"]
        request = read_json(environ)
        if path == "/v3/watch" and not self.faults.unavailable:
            self.count(path)
            return self.watch(request["create_request"], start_response)
        status, response = self.handle_call(path, request)
        return send_json(start_response, response, status)

    def count(self, path: str) -> None:
        """Count one call."""
        self.calls[path] = self.calls.get(path, 0) + 1

    def handle_call(
        self, path: str, request: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        """Return status and body of one call other than a watch."""
        faults = self.faults
        self.count(path)
        if faults.delay_s:
            gevent.sleep(faults.delay_s)
        if faults.unavailable:
            return 503, {"error": "unavailable"}
        self.expire_leases()
        handlers = {
            "/v3/kv/range": self.range,
            "/v3/kv/put": self.put,
            "/v3/kv/txn": self.txn,
            "/v3/lease/grant": self.lease_grant,
            "/v3/lease/keepalive": self.lease_keepalive,
        }
        handler = handlers.get(path)
        if handler is None:
            return 404, {"error": "not found"}
        is_write = path in ("/v3/kv/txn", "/v3/kv/put")
        if is_write and faults.before_write is not None:
            before_write, faults.before_write = faults.before_write, None
            before_write()
        if is_write and faults.drop_writes > 0:
            faults.drop_writes -= 1
            return 503, {"error": "write dropped"}
        response = handler(request)
        if is_write and faults.lose_responses > 0:
            faults.lose_responses -= 1
            return 503, {"error": "response lost"}
        response["header"] = {"revision": str(self.revision)}
        return 200, response

    def save(self) -> SavedContent:
        """Return a copy of the content."""
        return SavedContent(dict(self.items), self.revision)

    def restore(self, saved: SavedContent) -> None:
        """Restore saved content and end all watches."""
        self.items = dict(saved.items)
        self.revision = saved.revision
        self.changes = []
        self.notify()

    def range(self, request: dict[str, Any]) -> dict[str, Any]:
        """Read a range of keys."""
        stale = self.faults.stale_content
        items = stale.items if stale is not None else self.items
        key = decode_bytes(request["key"]).decode()
        end = decode_bytes(request.get("range_end", "")).decode()
        if not end:
            found = [items[key]] if key in items else []
        else:
            names = sorted(name for name in items if key <= name < end)
            found = [items[name] for name in names]
        limit = int(request.get("limit", 0))
        more = bool(limit and len(found) > limit)
        if limit:
            found = found[:limit]
        return {"kvs": [encode_item(item) for item in found], "more": more}

    def put(self, request: dict[str, Any]) -> dict[str, Any]:
        """Write one key."""
        self.revision += 1
        self.apply_put(request)
        self.notify()
        return {}

    def txn(self, request: dict[str, Any]) -> dict[str, Any]:
        """Apply the success or the failure operations of a transaction."""
        succeeded = all(
            self.is_compare_satisfied(compare) for compare in request.get("compare", [])
        )
        operations = request.get("success" if succeeded else "failure", [])
        if any("request_range" not in operation for operation in operations):
            self.revision += 1
        responses: list[dict[str, Any]] = []
        for operation in operations:
            if "request_put" in operation:
                self.apply_put(operation["request_put"])
                responses.append({"response_put": {}})
            elif "request_delete_range" in operation:
                self.apply_delete(operation["request_delete_range"])
                responses.append({"response_delete_range": {}})
            else:
                found = self.range(operation["request_range"])
                responses.append({"response_range": found})
        self.notify()
        return {"succeeded": succeeded, "responses": responses}

    def is_compare_satisfied(self, compare: dict[str, Any]) -> bool:
        """Tell if one compare of a transaction holds."""
        item = self.items.get(decode_bytes(compare["key"]).decode())
        found = item.mod_revision if item is not None else 0
        return found == int(compare.get("mod_revision", 0))

    def apply_put(self, request: dict[str, Any]) -> None:
        """Write one key at the current revision."""
        key = decode_bytes(request["key"]).decode()
        before = self.items.get(key)
        item = Item(
            key=key,
            value=decode_bytes(request.get("value", "")),
            create_revision=before.create_revision if before else self.revision,
            mod_revision=self.revision,
            lease=int(request.get("lease", 0)),
        )
        self.items[key] = item
        self.changes.append(Change(self.revision, "PUT", item))

    def apply_delete(self, request: dict[str, Any]) -> None:
        """Remove one key at the current revision."""
        self.remove(decode_bytes(request["key"]).decode())

    def remove(self, key: str) -> None:
        """Remove `key` and record the change."""
        if self.items.pop(key, None) is None:
            return
        item = Item(key, b"", 0, self.revision)
        self.changes.append(Change(self.revision, "DELETE", item))

    def lease_grant(self, request: dict[str, Any]) -> dict[str, Any]:
        """Create a lease."""
        self.next_lease += 1
        ttl = int(request["TTL"])
        self.leases[self.next_lease] = (ttl, time.monotonic() + ttl)
        return {"ID": str(self.next_lease), "TTL": str(ttl)}

    def lease_keepalive(self, request: dict[str, Any]) -> dict[str, Any]:
        """Renew a lease."""
        lease = int(request["ID"])
        known = self.leases.get(lease)
        if known is None:
            return {"result": {"ID": str(lease), "TTL": "0"}}
        self.leases[lease] = (known[0], time.monotonic() + known[0])
        return {"result": {"ID": str(lease), "TTL": str(known[0])}}

    def expire_leases(self) -> None:
        """Remove expired leases and the keys attached to them."""
        now = time.monotonic()
        expired = [lease for lease, (_, end) in self.leases.items() if end < now]
        if not expired:
            return
        self.revision += 1
        for lease in expired:
            del self.leases[lease]
            attached = [k for k, item in self.items.items() if item.lease == lease]
            for key in attached:
                self.remove(key)
        self.notify()

    def notify(self) -> None:
        """Wake the waiting watches."""
        self.changed.set()
        self.changed.clear()

    def watch(
        self, request: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Stream the changes to a range of keys from a revision on."""
        start_response("200 OK", [("Content-Type", "application/json")])
        key = decode_bytes(request["key"]).decode()
        end = decode_bytes(request.get("range_end", "")).decode()
        start = int(request.get("start_revision", 0)) or self.revision + 1
        return self.stream_changes(key, end, start)

    def stream_changes(self, key: str, end: str, start: int) -> Iterable[bytes]:
        """Yield one JSON line for each batch of changes."""
        position = 0
        changes = self.changes
        yield encode_line({"created": True}, self.revision)
        while not self.faults.unavailable and changes is self.changes:
            batch = [
                change
                for change in self.changes[position:]
                if change.revision >= start and key <= change.item.key < end
            ]
            position = len(self.changes)
            if batch:
                events = [
                    {"type": change.kind, "kv": encode_item(change.item)}
                    for change in batch
                ]
                yield encode_line({"events": events}, self.revision)
                continue
            if not self.changed.wait(WATCH_PROGRESS_INTERVAL_S):
                yield encode_line({}, self.revision)


class InProcessKeyValueClient(EtcdJsonClient):
    """Client that calls a stand-in in the same process, without a connection."""

    def __init__(self, standin: KeyValueStandin) -> None:
        self.standin = standin
        self.address = "direct"
        self.unreachable = False

    def post(self, path: str, value: dict[str, Any]) -> dict[str, Any]:
        """Make one call; raise KeyValueUnavailableError unless its status is 200."""
        if self.unreachable:
            raise KeyValueUnavailableError("unreachable", step=path, peer=self.address)
        status, response = self.standin.handle_call(path, value)
        if status != 200:
            detail = f"status {status}: {response['error']}"
            raise KeyValueUnavailableError(detail, step=path, peer=self.address)
        return response


def encode_item(item: Item) -> dict[str, str]:
    """Encode an item as the JSON gateway does."""
    return {
        "key": encode_bytes(item.key),
        "value": encode_bytes(item.value),
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
        "lease": str(item.lease),
    }


def encode_line(result: dict[str, Any], revision: int) -> bytes:
    """Encode one line of a watch response."""
    result["header"] = {"revision": str(revision)}
    return json.dumps({"result": result}).encode() + b"\n"
