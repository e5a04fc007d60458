"""Callers that send a reproducible mix of calls and record the outcomes."""

from __future__ import annotations

import json
import random
import time
import uuid
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass

import gevent
from gevent.pool import Pool

from .exceptions import UpstreamError
from .history import CallRecord
from .history import History
from .httpcalls import HttpPeer
from .httpcalls import HttpResponse
from .httpcalls import create_http_peer
from .localfleet import Deployment
from .standins.engine import expected_text

MAX_OPEN_CALLS = 2000

REFRESH_RETRY_S = 2.0

# Popularity of adapters follows a Zipf law with this exponent.
ZIPF_EXPONENT = 1.1


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """One call that a caller will send."""

    kind: str
    team: str
    name: str
    version: str
    rank: str
    tokens: int
    stream: bool
    idempotency_key: str = ""


def plan_calls(
    deployment: Deployment, rng: random.Random, service_fraction: float = 0.1
) -> Iterator[PlannedCall]:
    """Yield an endless reproducible mix of completions and service calls."""
    adapters = [
        (team_name, name, adapter.version, adapter.rank or team.default_rank)
        for team_name, team in deployment.teams.items()
        for name, adapter in team.adapters.items()
    ]
    rng.shuffle(adapters)
    weights = [
        1.0 / (position + 1) ** ZIPF_EXPONENT for position in range(len(adapters))
    ]
    services = [
        (team_name, name, service.rank or team.default_rank)
        for team_name, team in deployment.teams.items()
        for name, service in team.services.items()
    ]
    while True:
        if services and rng.random() < service_fraction:
            team_name, name, rank = rng.choice(services)
            key = f"{rng.getrandbits(64):016x}"
            yield PlannedCall("service", team_name, name, "", rank, 0, False, key)
            continue
        (chosen,) = rng.choices(adapters, weights)
        team_name, name, version, rank = chosen
        tokens = rng.randint(4, 24)
        stream = rng.random() < 0.7
        yield PlannedCall("completion", team_name, name, version, rank, tokens, stream)


class Caller:
    """A caller that fetches host addresses, caches them and sends calls."""

    def __init__(self, first_address: str, history: History, zone: str = "") -> None:
        self.addresses = [first_address]
        self.expires = 0.0
        self.history = history
        self.zone = zone
        self.peers: dict[str, HttpPeer] = {}
        self.address_counter = 0

    def peer(self) -> HttpPeer:
        """Return connections to the next entry host, round-robin."""
        now = time.monotonic()
        if now >= self.expires:
            # Concurrent calls use the old addresses until the response arrives.
            self.expires = now + REFRESH_RETRY_S
            self.refresh_addresses(now)
        self.address_counter += 1
        return self.connect(self.addresses[self.address_counter % len(self.addresses)])

    def connect(self, address: str) -> HttpPeer:
        """Return connections to one address."""
        if address not in self.peers:
            self.peers[address] = create_http_peer(
                address, step="call entry host", concurrency=MAX_OPEN_CALLS
            )
        return self.peers[address]

    def refresh_addresses(self, now: float) -> None:
        """Ask one entry host after the other which addresses to use."""
        for address in list(self.addresses):
            try:
                path = f"/v1/addresses?zone={self.zone}"
                status, value = self.connect(address).json("GET", path, timeout_s=2.0)
            except UpstreamError:
                continue
            if status == 200 and value["addresses"]:
                self.addresses = value["addresses"]
                self.expires = now + value["max_age_s"]
                return

    def send(self, planned: PlannedCall) -> CallRecord:
        """Send one call and record its outcome."""
        peer = self.peer()
        record = CallRecord(
            request_id=uuid.uuid4().hex,
            logical=planned.idempotency_key or uuid.uuid4().hex,
            host=peer.address,
            kind="completion" if planned.kind == "completion" else "service",
            rank=planned.rank,
            idempotent=planned.kind == "completion",
            sent_at=time.monotonic(),
        )
        self.history.calls.append(record)
        headers = {"X-Request-Id": record.request_id}
        try:
            if planned.kind == "completion":
                self.complete(peer, planned, record, headers)
            else:
                self.call_service(peer, planned, record, headers)
        except UpstreamError as error:
            record.outcome = "cut" if error.sent else "not_run"
            record.cause = record.cause or error.message
        record.ended_at = time.monotonic()
        return record

    def complete(
        self,
        peer: HttpPeer,
        planned: PlannedCall,
        record: CallRecord,
        headers: dict[str, str],
    ) -> None:
        """Send one completion."""
        record.model = f"{planned.team}/{planned.name}"
        prompt = f"prompt {record.logical}"
        request = {
            "model": record.model,
            "prompt": prompt,
            "max_tokens": planned.tokens,
            "stream": planned.stream,
        }
        body = json.dumps(request).encode()
        headers["Content-Type"] = "application/json"
        response = peer.request("POST", "/v1/completions", body, headers)
        if self.record_response(record, response):
            return
        record.expected_text = expected_text(record.served_by, prompt, planned.tokens)
        if planned.stream:
            read_stream(response, record)
            return
        value = json.loads(response.read())
        record.first_at = time.monotonic()
        record.text = value["choices"][0]["text"]
        record.outcome = "answered"

    def call_service(
        self,
        peer: HttpPeer,
        planned: PlannedCall,
        record: CallRecord,
        headers: dict[str, str],
    ) -> None:
        """Send one non-idempotent call to a plain service."""
        headers["Idempotency-Key"] = planned.idempotency_key
        path = f"/services/{planned.team}/{planned.name}/commands"
        body = json.dumps({"command": record.logical}).encode()
        response = peer.request("POST", path, body, headers)
        if self.record_response(record, response):
            return
        value = json.loads(response.read())
        record.first_at = time.monotonic()
        record.replayed = response.header("Idempotency-Replayed") == "true"
        if not record.replayed and value["request"] != record.request_id:
            record.text = f"response to request {value['request']}"
        record.outcome = "answered"

    def record_response(self, record: CallRecord, response: HttpResponse) -> bool:
        """Record status and headers; return whether the call failed."""
        record.status = response.status
        record.served_by = response.header("Filbertyard-Adapter")
        if response.status == 200:
            return False
        value = json.loads(response.read())
        record.outcome = "not_run" if value.get("execution") == "not_run" else "unknown"
        record.cause = str(value.get("code", ""))
        return True


def read_stream(response: HttpResponse, record: CallRecord) -> None:
    """Read a stream of events into the record."""
    buffer = b""
    words: list[str] = []
    for part in response.parts():
        record.first_at = record.first_at or time.monotonic()
        buffer += part
        while b"\n\n" in buffer:
            event, _, buffer = buffer.partition(b"\n\n")
            if event.startswith(b"event: error"):
                record.outcome = "unknown"
                record.cause = "error event"
                return
            data = event.removeprefix(b"data: ")
            if data == b"[DONE]":
                record.text = "".join(words).strip()
                record.outcome = "answered"
                continue
            words.append(json.loads(data)["choices"][0].get("text", ""))


def run_workload(
    deployment: Deployment,
    callers: list[Caller],
    *,
    rate_per_s: float,
    duration_s: float,
    seed: int,
    progress: Callable[[float], None] | None = None,
) -> None:
    """Send calls from the callers round-robin as a Poisson process; wait for all."""
    rng = random.Random(seed)
    calls = plan_calls(deployment, rng)
    pool = Pool(MAX_OPEN_CALLS)
    started = time.monotonic()
    offset_s = 0.0
    number = 0
    while True:
        offset_s += rng.expovariate(rate_per_s)
        if offset_s >= duration_s:
            break
        delay_s = started + offset_s - time.monotonic()
        if delay_s > 0:
            gevent.sleep(delay_s)
        pool.spawn(callers[number % len(callers)].send, next(calls))
        number += 1
        if progress is not None:
            progress(offset_s)
    pool.join(timeout=90)
