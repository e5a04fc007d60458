"""Stand-ins for the platform's store and replicas that can inject failures."""

from __future__ import annotations

import json
import os
import random
import time
from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from urllib.parse import parse_qs

import gevent

from ..keyvalue import Item
from ..keyvalue import encode_bytes
from ..sockets import reset_when_closed
from ..standins.keyvalue import KeyValueStandin
from ..standins.keyvalue import SavedContent
from ..standins.web import Environ
from ..standins.web import Standin
from ..standins.web import StartResponse
from ..standins.web import break_connection
from ..standins.web import read_body
from ..standins.web import read_json
from ..standins.web import send_json

REJECTED_STATUS = 503

# Time to live of the leases that a copy of the store holds.
RESTORED_LEASE_S = 3

# Maximum time that the store holds a watch request.
MAX_WATCH_S = 30.0


def encode_item(item: Item) -> dict[str, Any]:
    """Encode an item as the store sends it."""
    return {
        "key": item.key,
        "value": encode_bytes(item.value),
        "revision": item.mod_revision,
        "created": item.create_revision,
        "lease": item.lease,
    }


class PlatformStoreStandin(KeyValueStandin):
    """The key-value stand-in with the platform store's paths and messages."""

    def __init__(self, port: int = 0) -> None:
        super().__init__(port)
        self.compacted = 0
        self.page_items = 500
        self.era = 1

    def application(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one call."""
        start_response = self.with_era(start_response)
        path = environ["PATH_INFO"]
        query = {
            key: values[0]
            for key, values in parse_qs(environ.get("QUERY_STRING", "")).items()
        }
        self.count(path)
        faults = self.faults
        if faults.delay_s:
            gevent.sleep(faults.delay_s)
        if faults.unavailable:
            return send_json(start_response, {"error": "away"}, REJECTED_STATUS)
        self.expire_leases()
        if path == "/api/kv-watch":
            return self.handle_watch(query, start_response)
        body = read_json(environ) if environ["REQUEST_METHOD"] == "POST" else {}
        is_write = path in ("/api/kv-txn", "/api/kv-lease")
        if is_write and faults.drop_writes > 0:
            faults.drop_writes -= 1
            return send_json(start_response, {"error": "dropped"}, REJECTED_STATUS)
        status, value = self.handle_platform_call(path, query, body)
        if is_write and faults.lose_responses > 0:
            faults.lose_responses -= 1
            return break_connection(environ)
        value["currentRev"] = self.revision
        return send_json(start_response, value, status)

    def with_era(self, start_response: StartResponse) -> StartResponse:
        """Return `start_response` with the header of the store's era added."""

        def start(status: str, headers: list[tuple[str, str]]) -> Any:
            return start_response(status, [*headers, ("Store-Era", str(self.era))])

        return start

    def lose_writes(self, saved: SavedContent) -> None:
        """Return to saved content as a store that is restored from a copy."""
        self.restore(saved)
        held = {item.lease for item in self.items.values() if item.lease}
        end = time.monotonic() + RESTORED_LEASE_S
        self.leases = {lease: (RESTORED_LEASE_S, end) for lease in held}
        # Ids of leases are given out again, too.
        self.next_lease = max(held, default=1000)
        self.compacted = 0
        self.era += 1

    def handle_platform_call(
        self, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        """Return status and body of one call other than a watch."""
        name, _, rest = path.removeprefix("/api/").partition("/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, encode_item(item)) if item is not None else (404, {})
        if name == "kv-range":
            return 200, self.read_page(query["prefix"], query.get("after", ""))
        if name == "kv-txn":
            return self.apply_transaction(body)
        if name == "kv-lease":
            response = self.lease_grant({"TTL": str(int(body["ttlMs"]) // 1000)})
            return 200, {"lease": int(response["ID"]), "ttlMs": body["ttlMs"]}
        if name == "kv-keep":
            response = self.lease_keepalive({"ID": rest})["result"]
            ttl_ms = int(response["TTL"]) * 1000
            return (200, {"ttlMs": ttl_ms}) if ttl_ms else (404, {})
        return 404, {}

    def read_page(self, prefix: str, after: str) -> dict[str, Any]:
        """Return one page of the items below a prefix."""
        names = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = names[: self.page_items]
        items = [encode_item(self.items[key]) for key in page]
        return {"items": items, "truncated": len(page) < len(names)}

    def apply_transaction(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply a transaction if the expected revisions match."""
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item.mod_revision if item is not None else 0) != row["revision"]:
                found = [
                    encode_item(self.items[other["key"]])
                    for other in body["expected"]
                    if other["key"] in self.items
                ]
                return 412, {"items": found}
        for put in body.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for put in body.get("puts", []):
            self.apply_put(
                {
                    "key": encode_bytes(put["key"]),
                    "value": put["value"],
                    "lease": put.get("lease", 0),
                }
            )
        for key in body.get("remove", []):
            self.remove(key)
        self.notify()
        return 200, {"revision": self.revision}

    def write(self, key: str, value: Any) -> int:
        """Write a key as the operator or a replica does; return its revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        put = {"key": key, "value": encode_bytes(data)}
        return int(self.apply_transaction({"puts": [put]})[1]["revision"])

    def delete(self, key: str) -> None:
        """Remove a key."""
        self.apply_transaction({"remove": [key]})

    def compact(self) -> None:
        """Drop the history; watches that need it get status 410."""
        self.compacted = self.revision
        self.changes.clear()
        self.notify()

    def handle_watch(
        self, query: dict[str, str], start_response: StartResponse
    ) -> list[bytes]:
        """Answer a watch request at the next change or when its wait ends."""
        after = int(query["after"])
        deadline = time.monotonic() + min(MAX_WATCH_S, int(query["waitMs"]) / 1000)
        while True:
            if self.faults.unavailable:
                return send_json(start_response, {"error": "away"}, REJECTED_STATUS)
            if after < self.compacted or after > self.revision:
                start_response("410 Gone", [("Content-Length", "2")])
                return [b"{}"]
            events = [
                {"key": change.item.key, "revision": change.revision, "removed": True}
                if change.kind == "DELETE"
                else encode_item(change.item)
                for change in self.changes
                if change.revision > after
                and change.item.key.startswith(query["prefix"])
            ]
            remaining_s = deadline - time.monotonic()
            if events or remaining_s <= 0:
                value = {"events": events, "currentRev": self.revision}
                return send_json(start_response, value)
            self.changed.wait(min(remaining_s, 0.2))
            self.expire_leases()


# Stands for the id of the request in a raw response.
OWN_ID = b"(own id)"

# Status and headers of a response without a length that ends with its connection.
SIGNED_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: "
    + OWN_ID
    + b"\r\nResponse-Signature: raw.1\r\nConnection: close\r\n"
)


# Part of a raw response that stands for a reset of the connection.
RESET = b"(reset)"


def send_raw(environ: Environ, data: Iterable[bytes]) -> None:
    """Send bytes until the caller closes its connection, as they are but for its id."""
    request_id = environ.get("HTTP_REQUEST_ID", "").encode()
    sock = environ["standin.handler"].socket
    with suppress(OSError):
        for part in data:
            if part is RESET:
                # What was sent before must arrive, or the reset discards it.
                gevent.sleep(0.05)
                reset_when_closed(sock)
                os.close(sock.detach())
                return
            sock.sendall(part.replace(OWN_ID, request_id))


@dataclass(slots=True)
class ReplicaFaults:
    """Failures of a replica that a test switches on, each for a number of calls.

    Each share is the probability of a failure in any call: `refusal_share` of a
    refusal, `failure_share` of status 500 or a reset, `unframed_share` of a stream
    without chunks, in writes that end within events. `hang_s` delays every run instead,
    `rate_limit` is the value of the header that names a rate limit, with several lines
    if there are several; a request with `harmful_part` in its prompt crashes the
    replica. Each item of `raw` is sent instead of a response, before the connection
    ends, with a reset if its last part is `RESET`;
    `SIGNED_HEAD` begins a valid one.
    `late_copy` sends a second copy of a response when the next request is there,
    `late_refusal` an earlier refusal on a kept connection: with the id of the next
    request if it is `own`, without one if it is empty, else with the given id. Orders
    that `lose_orders` drops collect in `lost_orders`, so that a test can apply them
    late.
    """

    refusal_share: float = 0.0
    failure_share: float = 0.0
    unframed_share: float = 0.0
    reject: int = 0
    fail: int = 0
    reset: int = 0
    reset_midway: int = 0
    hang_s: float = 0.0
    rate_limit: str | None = None
    harmful_part: str = ""
    raw: list[Iterable[bytes]] = field(default_factory=list)
    unsigned: int = 0
    foreign: int = 0
    extra_response: int = 0
    late_copy: int = 0
    late_refusal: str | None = None
    lose_orders: int = 0
    lost_orders: list[dict[str, Any]] = field(default_factory=list)


class ReplicaStandin(Standin):
    """A replica of a plain service, or of a model engine if `model` is given."""

    def __init__(
        self,
        replica: str,
        service: str,
        *,
        model: str = "",
        adapter_slots: int = 4,
        load_s: float = 0.02,
        event_s: float = 0.002,
        events: int = 4,
        zone: str = "a",
    ) -> None:
        super().__init__()
        self.id = replica
        self.zone = zone
        self.service = service
        self.model = model
        self.adapter_slots = adapter_slots
        self.load_s = load_s
        self.event_s = event_s
        self.events = events
        self.started_ms = 1
        self.sequence = 0
        self.adapters: dict[str, int] = {}
        self.pending: dict[str, int] = {}
        self.running: Counter[str] = Counter()
        self.run_ids: set[str] = set()
        self.faults = ReplicaFaults()
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[dict[str, Any]] = []
        self.orders: list[dict[str, Any]] = []
        self.loads_over_capacity = 0
        self.unloading: set[str] = set()
        self.cancelled = 0
        self.crashes = 0
        self.down_s = 0.5
        self.on_restart: Callable[[ReplicaStandin], object] = id

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the replica's entry for itself."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "slots": 8,
            "state": state,
            "born": self.started_ms,
            "models": self.resident_models(),
            "sequence": self.sequence,
        }

    def resident_models(self) -> list[dict[str, Any]]:
        """Return the resident models and adapters with their versions."""
        if not self.model:
            return []
        adapters = [f"{name}@{version}" for name, version in self.adapters.items()]
        return [{"name": self.model, "version": 1, "adapters": adapters}]

    def application(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one call."""
        target = environ.get("HTTP_TARGET_INSTANCE", self.id)
        body = read_body(environ)
        path = environ["PATH_INFO"]
        if not path.startswith("/api/"):
            request_id = environ.get("HTTP_REQUEST_ID", "")
            self.arrivals.append((time.monotonic(), request_id))
        if target != self.id:
            return self.reject_misdirected(environ, start_response)
        if path == "/api/report":
            return send_json(start_response, self.report())
        if path == "/api/order":
            return self.handle_order(environ, json.loads(body), start_response)
        return self.handle_request(environ, body, start_response)

    def reject_misdirected(
        self, environ: Environ, start_response: StartResponse
    ) -> list[bytes]:
        """Answer with status 421, as this replica can't serve the request."""
        headers = [("Instance-Id", self.id), ("Content-Length", "0")]
        headers.append(("Request-Id", environ.get("HTTP_REQUEST_ID", "")))
        start_response("421 Misdirected Request", headers)
        return [b""]

    def report(self) -> dict[str, Any]:
        """Return the state of the engine."""
        return {
            "models": self.resident_models(),
            "busy": False,
            "sequence": self.sequence,
            "pending": [f"{self.model}/{key}@{v}" for key, v in self.pending.items()],
            "born": self.started_ms,
            "running": sum(self.running.values()),
            "queued": 0,
            "runs": [[request_id, 1, 1, 5] for request_id in self.run_ids],
        }

    def handle_order(
        self, environ: Environ, order: dict[str, Any], start_response: StartResponse
    ) -> list[bytes]:
        """Apply an order, or lose it together with its response."""
        self.orders.append(order)
        if self.faults.lose_orders > 0:
            self.faults.lose_orders -= 1
            self.faults.lost_orders.append(order)
            gevent.sleep(0.5)
            return break_connection(environ)
        return send_json(start_response, {}, self.apply_order(order))

    def apply_order(self, order: dict[str, Any]) -> int:
        """Apply an order if its expected sequence matches; return the status."""
        if order.get("expected", self.sequence) != self.sequence:
            return 409
        name = order.get("adapter", "")
        if name in self.unloading and order["operation"] == "unload":
            # The unload has begun already; a repeated order doesn't raise the sequence.
            return 202
        if self.unloading:
            return 409
        self.sequence += 1
        if order["operation"] == "unload":
            if self.running[name] > 0:
                self.unloading.add(name)
                return 202
            self.adapters.pop(name, None)
            return 200
        self.adapters.pop(name, None)
        if len(self.adapters) + len(self.pending) >= self.adapter_slots:
            self.loads_over_capacity += 1
        self.pending[name] = order.get("version", 1)
        gevent.spawn_later(self.load_s, self.finish_load, name)
        return 202

    def finish_load(self, name: str) -> None:
        """Make a loaded adapter resident."""
        if name in self.pending:
            self.adapters[name] = self.pending.pop(name)

    def crash(self) -> None:
        """End with all connections; be back as a new incarnation after `down_s`."""
        self.crashes += 1
        self.stop()
        gevent.spawn_later(self.down_s, self.recover)

    def recover(self) -> None:
        """Start again after a crash."""
        self.restart()
        self.start()
        self.on_restart(self)

    def restart(self) -> None:
        """Start a new incarnation without adapters, as after a crash."""
        self.started_ms += 1
        self.faults.rate_limit = None
        self.sequence = 0
        self.adapters.clear()
        self.pending.clear()

    def handle_request(
        self, environ: Environ, body: bytes, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Run one request, or inject a failure that a test switched on."""
        faults = self.faults
        name = environ.get("HTTP_MODEL", "").partition("/")[2]
        version = int(environ.get("HTTP_EXPECTED_VERSION", "0"))
        resident_version = self.adapters.get(name, 0)
        if name and (not resident_version or (version and resident_version != version)):
            return self.reject_misdirected(environ, start_response)
        handler = environ["standin.handler"]
        is_kept = getattr(handler, "is_kept", False)
        handler.is_kept = True
        if faults.reject > 0 or random.random() < faults.refusal_share:
            faults.reject = max(0, faults.reject - 1)
            headers = [("Not-Executed", "1"), ("Content-Length", "0")]
            headers.append(("Request-Id", environ.get("HTTP_REQUEST_ID", "")))
            start_response("503 Service Unavailable", headers)
            return [b""]
        self.runs.append(
            {
                "id": environ.get("HTTP_REQUEST_ID", ""),
                "name": name,
                "version": resident_version,
                "body": body,
                "method": environ["REQUEST_METHOD"],
                "path": environ["standin.handler"].path,
                "headers": {k: v for k, v in environ.items() if k.startswith("HTTP_")},
                "resumed": environ.get("HTTP_LAST_EVENT_ID", ""),
                "at": time.monotonic(),
            }
        )
        if is_kept and faults.late_refusal is not None:
            self.send_late_refusal(environ)
        if faults.hang_s:
            gevent.sleep(faults.hang_s)
        if faults.harmful_part and faults.harmful_part in environ.get(
            "HTTP_PROMPT_PREFIX", ""
        ):
            self.crash()
            return break_connection(environ)
        if faults.raw:
            send_raw(environ, faults.raw.pop(0))
            return break_connection(environ)
        if faults.reset > 0:
            faults.reset -= 1
            return break_connection(environ)
        if random.random() < faults.failure_share:
            if self.model:
                return break_connection(environ)
            faults.fail += 1
        return self.respond(environ, name, start_response)

    def send_late_refusal(self, environ: Environ) -> None:
        """Send an earlier refusal of a kept connection ahead of the response."""
        request_id = self.faults.late_refusal or ""
        if request_id == "own":
            request_id = environ.get("HTTP_REQUEST_ID", "")
        id_line = f"Request-Id: {request_id}\r\n" if request_id else ""
        head = f"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n{id_line}"
        self.faults.late_refusal = None
        send_raw(environ, [f"{head}Content-Length: 0\r\n\r\n".encode()])
        # The response itself is in another segment.
        gevent.sleep(0.05)

    def respond(
        self, environ: Environ, name: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Respond to a request that ran, with the failures that a test switched on."""
        faults = self.faults
        headers = [("Request-Id", environ.get("HTTP_REQUEST_ID", ""))]
        if faults.foreign > 0:
            faults.foreign -= 1
            headers = [("Request-Id", "another")]
        if faults.unsigned > 0:
            faults.unsigned -= 1
        else:
            headers.append(("Response-Signature", f"{self.id}.{len(self.runs)}"))
        headers.append(("Server-Load", f"{sum(self.running.values())},0,8"))
        headers += self.rate_limit_headers()
        if faults.fail > 0:
            faults.fail -= 1
            start_response("500 Internal Server Error", headers)
            return [b"failed"]
        if not self.model:
            data = f"{self.id} ran".encode()
            if faults.extra_response > 0:
                faults.extra_response -= 1
                second = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"
                headers.append(("Content-Length", str(len(data))))
                start_response("200 OK", headers)
                # The second response follows in the same segment.
                return [data + second]
            if faults.late_copy > 0:
                self.send_previous(environ, headers, data)
            start_response("200 OK", headers)
            return [data]
        headers.append(("Content-Type", "text/event-stream"))
        if random.random() < faults.unframed_share:
            return self.send_unframed(environ, headers, name)
        start_response("200 OK", headers)
        return self.stream_events(environ, name)

    def send_unframed(
        self, environ: Environ, headers: list[tuple[str, str]], name: str
    ) -> list[bytes]:
        """Send the events without chunks, each write with the end of the one before."""
        lines = [f"{key}: {value}" for key, value in headers]
        head = "\r\n".join(["HTTP/1.1 200 OK", "Connection: close", *lines, "", ""])

        def parts() -> Iterator[bytes]:
            rest = head.encode()
            for event in self.stream_events(environ, name):
                yield rest + event[:-1]
                rest = event[-1:]
            yield rest

        send_raw(environ, parts())
        return break_connection(environ)

    def send_previous(
        self, environ: Environ, headers: list[tuple[str, str]], data: bytes
    ) -> None:
        """Send the previous response of a connection again, and keep this one."""
        handler = environ["standin.handler"]
        previous = getattr(handler, "previous_response", b"")
        lines = [f"{name}: {value}" for name, value in headers]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, f"Content-Length: {len(data)}"])
        handler.previous_response = head.encode() + b"\r\n\r\n" + data
        if previous:
            self.faults.late_copy -= 1
            send_raw(environ, [previous])
            # The response itself is in another segment.
            gevent.sleep(0.05)

    def rate_limit_headers(self) -> list[tuple[str, str]]:
        """Return the headers that name a rate limit."""
        if self.faults.rate_limit is None:
            return []
        values = self.faults.rate_limit.split("\n")
        return [("Server-Limit", value) for value in values]

    def stream_events(self, environ: Environ, name: str) -> Iterable[bytes]:
        """Yield numbered events; a test can break the connection halfway."""
        start = int(environ.get("HTTP_LAST_EVENT_ID") or 0)
        request_id = environ.get("HTTP_REQUEST_ID", "")
        self.running[name] += 1
        self.run_ids.add(request_id)
        finished = False
        try:
            for number in range(start + 1, self.events + 1):
                gevent.sleep(self.event_s)
                if self.faults.reset_midway > 0 and number > self.events // 2:
                    self.faults.reset_midway -= 1
                    yield b"id: 99\nda"
                    break_connection(environ)
                    return
                yield f"id: {number}\ndata: {name}\n\n".encode()
            finished = True
        finally:
            self.cancelled += not finished
            self.running[name] -= 1
            self.run_ids.discard(request_id)
            if name in self.unloading and not self.running[name]:
                self.unloading.discard(name)
                self.adapters.pop(name, None)
