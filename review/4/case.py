"""An engine is ordered to load more adapters than its memory holds, and crashes."""

from __future__ import annotations

import json
import random
import time
from pathlib import Path
from typing import Any

import gevent
from harness import BROKEN
from harness import HAS_TROUBLE
from harness import HELD
from harness import MODEL
from harness import CannotRunError
from harness import EngineReplica
from harness import Fleet
from harness import Head
from harness import engine_service
from harness import plain_configuration
from harness import play
from harness import send_call
from harness import send_message
from harness import stream_route
from harness import wait_until

# Memory of an engine for weights and adapters, and places for adapters, as on the
# sheet of `rakeline`; the size of an adapter is that of `stolyarov-yard-grown`.
WEIGHTS_MB = 16700.0
MODEL_MB = 16100.0
ADAPTER_SLOTS = 18
ADAPTER_MB = 40.0

# So many adapters fit beside the model.
FITTING = int((WEIGHTS_MB - MODEL_MB) // ADAPTER_MB)

# An adapter takes this long, reports are this old.
LOAD_S = 0.25
REPORT_LAG_S = 0.1

STREAM_DEADLINE_MS = 15000

# Adapters asked for all the while, and in the burst each adapter once.
USUAL_ADAPTERS = 8
RARE_ADAPTERS = 60

TRAFFIC_S = 12.0
RATE_PER_S = 15.0

# The burst has 60 requests in 4.5 s beside the usual 15 a second: 1.9 times as many.
BURST_AFTER_S = 3.0
BURST_S = 4.5


class AdapterEngine(EngineReplica):
    """An engine that carries out orders and crashes if they exceed its memory."""

    def __init__(self, *args: Any, **options: Any) -> None:
        self.sequence = 0
        self.adapters: dict[str, float] = {}
        self.pending: dict[str, float] = {}
        self.using: dict[str, int] = {}
        self.unloading: set[str] = set()
        self.last_reports: list[tuple[float, bytes]] = []
        self.exceeded = ""
        self.cut = 0
        super().__init__(*args, **options)

    def models(self) -> list[dict[str, Any]]:
        """Return the resident model with its adapters."""
        names = [f"{name}@1" for name in self.adapters]
        return [{"name": MODEL, "version": 1, "adapters": names}]

    def answer(self, sock: Any, head: Head) -> bool:
        """Answer a report or an order, or stream if the adapter is resident."""
        if head.headers.get("target-instance", self.name) != self.name:
            return super().answer(sock, head)
        path = head.first_line.split()[1]
        if path == "/api/report":
            lines = ["HTTP/1.1 200 OK", "Content-Type: application/json"]
            send_message(sock, lines, self.report())
            return True
        adapter = head.headers.get("model", "").partition("/")[2]
        if adapter not in self.adapters or adapter in self.unloading:
            lines = ["HTTP/1.1 421 Misdirected Request", f"Instance-Id: {self.name}"]
            request_id = head.headers.get("request-id", "")
            send_message(sock, [*lines, f"Request-Id: {request_id}"], b"")
            return True
        self.using[adapter] = self.using.get(adapter, 0) + 1
        try:
            return super().answer(sock, head)
        finally:
            self.using[adapter] -= 1
            if adapter in self.unloading and not self.using[adapter]:
                self.unloading.discard(adapter)
                self.adapters.pop(adapter, None)

    def report(self) -> bytes:
        """Return the engine's state as of a moment ago."""
        now = time.monotonic()
        value = {
            "stage": "unified",
            "models": self.models(),
            "busy": False,
            "sequence": self.sequence,
            "pending": [f"{MODEL}/{name}@1" for name in self.pending],
            "queued": 0,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 122748,
            "handles": 0,
            "born": self.born,
        }
        self.last_reports.append((now, json.dumps(value).encode()))
        while len(self.last_reports) > 1 and (
            now - self.last_reports[1][0] >= REPORT_LAG_S
        ):
            del self.last_reports[0]
        return self.last_reports[0][1]

    def serve_order(self, order: dict[str, Any]) -> int:
        """Carry out an order; return its status."""
        name = order.get("adapter", "")
        if "holder" not in order or "fence" not in order or not name:
            return 400
        if order.get("expected", self.sequence) != self.sequence or self.unloading:
            return 409
        if order["operation"] == "unload":
            self.sequence += 1
            if self.using.get(name):
                self.unloading.add(name)
                return 202
            self.adapters.pop(name, None)
            return 200
        if name in self.adapters:
            return 200
        if len(self.pending) >= 4:
            return 409
        self.sequence += 1
        held = len(self.adapters) + len(self.pending) + 1
        used_mb = MODEL_MB + held * ADAPTER_MB
        self.record.write(
            "load", replica=self.name, adapter=name, held=held, used_mb=used_mb
        )
        if used_mb > WEIGHTS_MB or held > ADAPTER_SLOTS:
            self.exceeded = f"{held} adapters, {used_mb:g} MB of {WEIGHTS_MB:g} MB"
            self.cut = self.running
            self.record.write("crash", replica=self.name, running=self.running)
            gevent.spawn(self.stop)
            return 0
        self.pending[name] = time.monotonic()
        gevent.spawn_later(LOAD_S, self.finish_load, name)
        return 202

    def finish_load(self, name: str) -> None:
        """Make a loaded adapter resident."""
        self.adapters[name] = self.pending.pop(name)

    def handle(self, sock: Any, head: Head, body: bytes) -> bool:
        """Carry out an order, or answer any other message."""
        is_own = head.headers.get("target-instance", self.name) == self.name
        if not is_own or head.first_line.split()[1] != "/api/order":
            return self.answer(sock, head)
        status = self.serve_order(json.loads(body))
        if not status:
            return False
        send_message(sock, [f"HTTP/1.1 {status} Order"], b"{}")
        return True


def case(fleet: Fleet) -> int:
    """Play the case; return its result."""
    configuration = plain_configuration()
    configuration["routes"].append(stream_route("r-text", "/lohu930/"))
    service = engine_service()
    engine = service["engine"]
    engine.update(weightsMb=WEIGHTS_MB, adapterSlots=ADAPTER_SLOTS)
    engine["models"][0].update(weightsMb=MODEL_MB, adapterMb=ADAPTER_MB)
    configuration["services"].append(service)
    fleet.start_store(configuration)
    fleet.replicas = [
        AdapterEngine(f"i-engine{n}", fleet.store, fleet.record) for n in range(2)
    ]
    fleet.start_hosts(2)

    def send(adapter: str) -> str:
        host = random.choice(fleet.hosts)
        call = fleet.new_call(adapter, host)
        send_call(
            call,
            host.address("front"),
            "/lohu930/2f",
            deadline_ms=STREAM_DEADLINE_MS,
            wait_s=STREAM_DEADLINE_MS / 1000,
            headers={"Model": f"{MODEL}/{adapter}", "Token-Usage": "200,24"},
        )
        return fleet.log_call(call).outcome

    wait_until(lambda: send("a1") == "200", 25.0, "the first answer")
    gevent.sleep(3.0)
    wait_until(lambda: send("a2") == "200", 10.0, "the second answer")
    first = len(fleet.calls)
    tasks = []
    began = time.monotonic()
    has_burst = False
    while (now := time.monotonic()) < began + TRAFFIC_S:
        if HAS_TROUBLE and not has_burst and now > began + BURST_AFTER_S:
            has_burst = True
            fleet.record.write("burst", adapters=RARE_ADAPTERS, for_s=BURST_S)
            tasks += [
                gevent.spawn_later(
                    n * BURST_S / RARE_ADAPTERS, send, f"a{USUAL_ADAPTERS + 1 + n}"
                )
                for n in range(RARE_ADAPTERS)
            ]
        tasks.append(gevent.spawn(send, f"a{random.randint(1, USUAL_ADAPTERS)}"))
        gevent.sleep(random.expovariate(RATE_PER_S))
    gevent.joinall(tasks, timeout=STREAM_DEADLINE_MS / 1000 + 1.0)
    calls = fleet.calls[first:]
    served = sum(call.outcome == "200" for call in calls)
    broken = [engine for engine in fleet.replicas if engine.exceeded]
    fleet.record.say(
        f"{len(calls)} requests, {served} served; {FITTING} adapters fit; engines "
        f"that were ordered to load more: "
        + ("; ".join(f"{e.name}: {e.exceeded}, {e.cut} runs cut" for e in broken) or "0")
    )
    if served < len(calls) / 8:
        raise CannotRunError("the fleet does not serve")
    return BROKEN if broken else HELD


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent)
