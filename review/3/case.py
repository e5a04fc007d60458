"""One answer without end stops a whole machine for as long as its route allows."""

from __future__ import annotations

import random
import time
from pathlib import Path
from typing import Any

import gevent
from harness import BROKEN
from harness import ENGINE_SERVICE
from harness import HAS_TROUBLE
from harness import HELD
from harness import MODEL
from harness import CannotRunError
from harness import EngineReplica
from harness import Fleet
from harness import GatewayProcess
from harness import Head
from harness import PlainReplica
from harness import encode_chunk
from harness import engine_service
from harness import plain_configuration
from harness import play
from harness import send_call
from harness import stream_route
from harness import wait_until

# The operator's `timeoutMs` of the plain routes, shorter than the callers' deadline.
TIMEOUT_S = 2.0

# The rule's tolerance after it, and the number and share that its other form wants.
TOLERANCE_S = 0.5
MIN_LATE = 8

# Deadlines of `rake-cycle` and of `debris-summary`.
DEADLINE_MS = 4000
STREAM_DEADLINE_MS = 15000

TRAFFIC_S = 12.0
RATE_PER_S = 20.0

# The faulty engine sends at most this much; the link of a machine carries 125 MB/s.
MAX_SENT_PER_S = 100e6

# What it repeats, each in a chunk of its own, and how often in one write.
SHORT_EVENT = b"id: 1\ndata: x\n\n"
EVENTS_PER_WRITE = 4000


def send_endless(fleet: Fleet, sock: Any, head: Head) -> None:
    """Send the head of a stream, then events without end until the caller closes."""
    request_id = head.headers.get("request-id", "")
    fleet.record.write("spoiled", replica="i-faulty", id=request_id)
    lines = ["HTTP/1.1 200 OK", f"Request-Id: {request_id}"]
    lines += ["Response-Signature: i-faulty.0", "Content-Type: text/event-stream"]
    lines += ["Transfer-Encoding: chunked", "", ""]
    part = encode_chunk(SHORT_EVENT) * EVENTS_PER_WRITE
    began = time.monotonic()
    sent = 0
    try:
        sock.sendall("\r\n".join(lines).encode())
        while True:
            sock.sendall(part)
            sent += len(part)
            ahead_s = sent / MAX_SENT_PER_S - (time.monotonic() - began)
            gevent.sleep(max(0.0, ahead_s))
    except OSError:
        took_s = time.monotonic() - began
        fleet.record.write(
            "closed",
            id=request_id,
            after_s=f"{took_s:.2f}",
            sent_mb=f"{sent / 1e6:.1f}",
        )


def ask_ready(fleet: Fleet, host: GatewayProcess) -> None:
    """Ask once a second whether a machine is ready, as the platform does."""
    while True:
        call = fleet.new_call("ready", host)
        send_call(
            call,
            host.address("ready"),
            "/api/ready",
            method="GET",
            deadline_ms=1000,
            wait_s=1.0,
        )
        fleet.log_call(call)
        gevent.sleep(max(0.0, call.sent_at + 1.0 - time.monotonic()))


def case(fleet: Fleet) -> int:
    """Play the case; return its result."""
    spoiled: list[str] = []
    trouble = {"is_on": False}

    def spoil(head: Head) -> bool:
        if not trouble["is_on"] or spoiled:
            return False
        spoiled.append(head.headers.get("request-id", ""))
        return True

    configuration = plain_configuration(timeoutMs=int(TIMEOUT_S * 1000))
    configuration["routes"].append(stream_route("r-text", "/lohu930/"))
    configuration["services"].append(engine_service())
    fleet.start_store(configuration)
    fleet.replicas = [
        PlainReplica("i-plain1", fleet.store, fleet.record),
        PlainReplica("i-plain2", fleet.store, fleet.record),
        EngineReplica("i-engine1", fleet.store, fleet.record),
        EngineReplica(
            "i-faulty",
            fleet.store,
            fleet.record,
            spoil=spoil,
            answer_spoiled=lambda sock, head: send_endless(fleet, sock, head),
        ),
    ]
    fleet.start_hosts(2)

    def send(kind: str) -> str:
        host = random.choice(fleet.hosts)
        call = fleet.new_call(kind, host)
        is_stream = kind == "stream"
        deadline_ms = STREAM_DEADLINE_MS if is_stream else DEADLINE_MS
        more = {"Model": MODEL, "Token-Usage": "200,24"} if is_stream else {}
        send_call(
            call,
            host.address("front"),
            "/lohu930/2f" if is_stream else "/puxa403/2f",
            deadline_ms=deadline_ms,
            wait_s=deadline_ms / 1000,
            headers=more,
            keep_body=not is_stream,
        )
        return fleet.log_call(call).outcome

    for kind in ["once", "stream"] * len(fleet.hosts) * 4:
        wait_until(lambda kind=kind: send(kind) == "200", 25.0, f"answers, {kind}")
    gevent.sleep(4.0)
    probes = [gevent.spawn(ask_ready, fleet, host) for host in fleet.hosts]
    gevent.sleep(2.0)
    trouble["is_on"] = HAS_TROUBLE
    first = len(fleet.calls)
    tasks = []
    end = time.monotonic() + TRAFFIC_S
    while time.monotonic() < end:
        kind = random.choice(["once", "once", "stream"])
        tasks.append(gevent.spawn(send, kind))
        gevent.sleep(random.expovariate(RATE_PER_S))
    gevent.joinall(tasks, timeout=STREAM_DEADLINE_MS / 1000 + 1.0)
    for probe in probes:
        probe.kill()
    calls = [call for call in fleet.calls[first:] if call.kind == "once"]
    unready = [
        call
        for call in fleet.calls[first:]
        if call.kind == "ready" and call.outcome != "200"
    ]
    open_at_timeout = [c for c in calls if c.answered_at - c.sent_at >= TIMEOUT_S]
    late = [
        call
        for call in open_at_timeout
        if call.answered_at - call.sent_at >= TIMEOUT_S + TOLERANCE_S
    ]
    served = sum(call.outcome == "200" for call in calls)
    hosts = sorted({call.host for call in late})
    fleet.record.say(
        f"answers without end: {len(spoiled)} of {ENGINE_SERVICE}; {len(calls)} "
        f"requests to the plain service, {served} served; unanswered at timeoutMs "
        f"({TIMEOUT_S:g} s): {len(open_at_timeout)}; of these without an answer "
        f"{TOLERANCE_S:g} s later: {len(late)}, at {hosts}; questions /api/ready "
        f"without an answer within 1 s: {len(unready)}"
    )
    if HAS_TROUBLE and not spoiled:
        raise CannotRunError("no request reached the faulty engine")
    is_broken = len(late) >= MIN_LATE and len(late) > len(open_at_timeout) / 2
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent)
