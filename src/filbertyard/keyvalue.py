"""The platform's key-value service: typed interface and its JSON gateway client."""

from __future__ import annotations

import base64
import json
import logging
from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Literal
from typing import Protocol
from typing import TypeVar

from .exceptions import DocumentError
from .exceptions import KeyValueUnavailableError
from .exceptions import UpstreamError
from .httpcalls import HttpPeer
from .httpcalls import create_http_peer
from .jsonvalues import parse_json
from .logs import log_event

logger = logging.getLogger(__name__)

D = TypeVar("D")

MAX_VALUE_BYTES = 1 << 20

# A service that lost acknowledged writes counts its revisions from a lower one again. A
# revision here has the number of such losses, its generation, above these low bits, so
# that it is higher than all revisions from before the loss. A float holds it exactly.
REVISION_BITS = 40


@dataclass(frozen=True, slots=True)
class Item:
    """One key with its value and the revisions that wrote it."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Compare:
    """Require that `key` was last modified at `mod_revision`; 0 means absent."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write one key, attached to a lease unless `lease` is 0."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Remove one key."""

    key: str


Write = Put | Delete


@dataclass(frozen=True, slots=True)
class TxnResult:
    """Outcome of a transaction; `items` holds the compared keys when it failed."""

    succeeded: bool
    revision: int
    items: list[Item] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class RangeResult:
    """Items of a range in key order at `revision`."""

    revision: int
    items: list[Item]
    more: bool = False


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One change seen by a watch; `item.value` is empty for a deletion."""

    kind: Literal["put", "delete"]
    item: Item


class KeyValue(Protocol):
    """Operations of the key-value service; each raises KeyValueUnavailableError.

    `generation` counts how often the service is known to have lost acknowledged writes.
    """

    @property
    def generation(self) -> int:
        """Return the number of known losses."""

    def range(
        self, key: str, *, prefix: bool = False, limit: int = 0, after: str = ""
    ) -> RangeResult:
        """Read one key, or with `prefix` the keys that begin with it."""

    def txn(self, compares: list[Compare], writes: list[Write]) -> TxnResult:
        """Apply all writes if all compares hold, else read the compared keys."""

    def lease_grant(self, ttl_s: int) -> int:
        """Return the id of a new lease."""

    def lease_keepalive(self, lease: int) -> int:
        """Renew a lease and return its remaining time in seconds, 0 if it expired."""

    def watch(
        self, prefix: str, start_revision: int, idle_s: float
    ) -> Iterator[list[WatchEvent]]:
        """Yield changes under `prefix`, and an empty list after `idle_s` without."""


KEY_VALUE_CLIENTS: dict[str, Callable[..., KeyValue]] = {}


def key_value_client(name: str) -> Callable[[Any], Any]:
    """Register a client of one wire format under `name`."""

    def register(factory: Any) -> Any:
        KEY_VALUE_CLIENTS[name] = factory
        return factory

    return register


def create_key_value(form: str, address: str, timeout_s: float = 1.0) -> KeyValue:
    """Return a client of the key-value service at `address`."""
    return KEY_VALUE_CLIENTS[form](address, timeout_s)


def generation_of(revision: int) -> int:
    """Return how often the service had lost acknowledged writes at a revision."""
    return revision >> REVISION_BITS


def first_revision(generation: int) -> int:
    """Return a revision below all those of a generation that wrote something."""
    return generation << REVISION_BITS


def local_revision(revision: int) -> int:
    """Return the number that the service itself gives to a revision."""
    return revision & (first_revision(1) - 1)


def encode_bytes(data: bytes | str) -> str:
    """Return the base64 text that the JSON gateway uses for bytes."""
    raw = data.encode() if isinstance(data, str) else data
    return base64.b64encode(raw).decode()


def decode_bytes(text: str) -> bytes:
    """Return the bytes of a base64 text of the JSON gateway."""
    return base64.b64decode(text)


def prefix_end(prefix: str) -> str:
    """Return the first key after all keys that begin with an ASCII `prefix`."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def parse_object(item: Item) -> dict[str, Any]:
    """Return the JSON object that an item holds; raise DocumentError."""
    value = parse_json(item.value, item.key)
    if not isinstance(value, dict):
        raise DocumentError(item.key, "expected a JSON object")
    return value


def decode_items(
    items: Iterable[Item], decode: Callable[[Item], D]
) -> Iterator[tuple[Item, D]]:
    """Yield each item with its decoded value; log and leave out invalid ones."""
    for item in items:
        try:
            yield item, decode(item)
        except DocumentError as error:
            log_event(
                logger,
                "document_rejected",
                level=logging.WARNING,
                key=item.key,
                error=error.detail,
            )


def parse_item(data: dict[str, Any]) -> Item:
    """Parse one `mvccpb.KeyValue` of the JSON gateway."""
    return Item(
        key=decode_bytes(data["key"]).decode(errors="replace"),
        value=decode_bytes(data.get("value", "")),
        create_revision=int(data.get("create_revision", 0)),
        mod_revision=int(data.get("mod_revision", 0)),
        lease=int(data.get("lease", 0)),
    )


@key_value_client("etcd-v3-json")
class EtcdJsonClient:
    """Client of the JSON API of the etcd v3 gateway, which does not tell of losses."""

    generation: int = 0

    def __init__(self, address: str, timeout_s: float = 1.0) -> None:
        self.peer: HttpPeer = create_http_peer(
            address, timeout_s=timeout_s, concurrency=16, step="key-value service"
        )
        self.address = self.peer.address
        self.timeout_s = timeout_s
        self.calls: Counter[str] = Counter()

    def post(self, path: str, value: dict[str, Any]) -> dict[str, Any]:
        """Send one call; raise KeyValueUnavailableError without a usable response."""
        self.calls[path] += 1
        try:
            status, data = self.peer.json("POST", path, value)
        except UpstreamError as error:
            raise KeyValueUnavailableError(
                error.message, step=f"key-value {path}", peer=self.address
            ) from error
        if status != 200 or not isinstance(data, dict):
            raise KeyValueUnavailableError(
                f"status {status}: {str(data)[:120]}",
                step=f"key-value {path}",
                peer=self.address,
            )
        return data

    @contextmanager
    def parsing(self, path: str) -> Iterator[None]:
        """Turn a malformed response into KeyValueUnavailableError."""
        try:
            yield
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            raise KeyValueUnavailableError(
                f"malformed response: {error!r}",
                step=f"key-value {path}",
                peer=self.address,
            ) from error

    def range(
        self, key: str, *, prefix: bool = False, limit: int = 0, after: str = ""
    ) -> RangeResult:
        """Read one key, or with `prefix` the keys that begin with it."""
        start = after + "\0" if after else key
        request: dict[str, Any] = {"key": encode_bytes(start)}
        if prefix:
            request["range_end"] = encode_bytes(prefix_end(key))
        if limit:
            request["limit"] = str(limit)
        data = self.post("/v3/kv/range", request)
        with self.parsing("/v3/kv/range"):
            items = [parse_item(item) for item in data.get("kvs", [])]
            return RangeResult(
                int(data["header"]["revision"]), items, bool(data.get("more"))
            )

    def txn(self, compares: list[Compare], writes: list[Write]) -> TxnResult:
        """Apply all writes if all compares hold, else read the compared keys."""
        request = {
            "compare": [
                {
                    "key": encode_bytes(compare.key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(compare.mod_revision),
                }
                for compare in compares
            ],
            "success": [encode_write(write) for write in writes],
            "failure": [
                {"request_range": {"key": encode_bytes(compare.key)}}
                for compare in compares
            ],
        }
        data = self.post("/v3/kv/txn", request)
        with self.parsing("/v3/kv/txn"):
            revision = int(data["header"]["revision"])
            if data.get("succeeded"):
                return TxnResult(True, revision)
            items = [
                parse_item(item)
                for response in data.get("responses", [])
                for item in response.get("response_range", {}).get("kvs", [])
            ]
            return TxnResult(False, revision, items)

    def lease_grant(self, ttl_s: int) -> int:
        """Return the id of a new lease."""
        data = self.post("/v3/lease/grant", {"TTL": str(ttl_s)})
        with self.parsing("/v3/lease/grant"):
            return int(data["ID"])

    def lease_keepalive(self, lease: int) -> int:
        """Renew a lease and return its remaining time in seconds, 0 if it expired."""
        data = self.post("/v3/lease/keepalive", {"ID": str(lease)})
        with self.parsing("/v3/lease/keepalive"):
            return int(data.get("result", {}).get("TTL", 0))

    def watch(
        self, prefix: str, start_revision: int, idle_s: float
    ) -> Iterator[list[WatchEvent]]:
        """Yield changes under `prefix`, and an empty list after `idle_s` without."""
        request = {
            "create_request": {
                "key": encode_bytes(prefix),
                "range_end": encode_bytes(prefix_end(prefix)),
                "start_revision": str(start_revision),
                "progress_notify": True,
            }
        }
        self.calls["/v3/watch"] += 1
        try:
            response = self.peer.request(
                "POST",
                "/v3/watch",
                json.dumps(request).encode(),
                {"Content-Type": "application/json"},
                new_connection=True,
                timeout_s=idle_s,
            )
            try:
                for line in read_lines(response.parts()):
                    yield parse_watch_line(line)
            finally:
                response.close()
        except (UpstreamError, ValueError, KeyError) as error:
            raise KeyValueUnavailableError(
                f"watch ended: {error}", step="key-value /v3/watch", peer=self.address
            ) from error


def encode_write(write: Write) -> dict[str, Any]:
    """Return one operation of a transaction as the JSON gateway expects it."""
    if isinstance(write, Delete):
        return {"request_delete_range": {"key": encode_bytes(write.key)}}
    return {
        "request_put": {
            "key": encode_bytes(write.key),
            "value": encode_bytes(write.value),
            "lease": str(write.lease),
        }
    }


def read_lines(parts: Iterator[bytes]) -> Iterator[bytes]:
    """Yield the lines of a streamed body."""
    buffer = b""
    for part in parts:
        buffer += part
        while b"\n" in buffer:
            line, _, buffer = buffer.partition(b"\n")
            if line.strip():
                yield line


def parse_watch_line(line: bytes) -> list[WatchEvent]:
    """Parse one line of a watch response."""
    result = json.loads(line)["result"]
    if result.get("canceled"):
        raise KeyValueUnavailableError(
            result.get("cancel_reason", "watch canceled"), step="key-value /v3/watch"
        )
    events = []
    for event in result.get("events", []):
        kind: Literal["put", "delete"] = (
            "delete" if event.get("type") == "DELETE" else "put"
        )
        events.append(WatchEvent(kind, parse_item(event["kv"])))
    return events
