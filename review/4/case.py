"""A refused request whose refusal has a body without end is never answered."""

from __future__ import annotations

import random
import time
from pathlib import Path
from typing import Any

import gevent
from harness import BROKEN
from harness import HAS_TROUBLE
from harness import HELD
from harness import CannotRunError
from harness import Fleet
from harness import Head
from harness import PlainReplica
from harness import plain_configuration
from harness import play
from harness import send_call
from harness import wait_until

# The operator's `timeoutMs` of both routes, shorter than the callers' deadline.
TIMEOUT_S = 2.0

# The rule's tolerance after it.
TOLERANCE_S = 0.5

# The rule's second sentence wants this many requests, and over a quarter.
MIN_LATE = 8

# Deadline of `rake-cycle` and `rack-status`.
DEADLINE_MS = 4000

# How long the faulty replica spoils its answers, and which share of them; the doses of
# `srv_grey` on the site.
TROUBLE_S = 6.5
SPOILED_SHARE = 0.45

RATE_PER_S = 35.0

# What the faulty replica sends each time: 40 KB a second.
PART = b"x" * 2000
PART_INTERVAL_S = 0.05


def send_endless(fleet: Fleet, sock: Any, head: Head) -> None:
    """Send the head of a refusal and a body that ends when the caller closes."""
    request_id = head.headers.get("request-id", "")
    fleet.record.write("spoiled", replica="faulty", id=request_id)
    lines = ["HTTP/1.1 503 Service Unavailable", "Not-Executed: 1"]
    lines += [f"Request-Id: {request_id}", "Content-Type: text/plain", "", ""]
    began = time.monotonic()
    try:
        sock.sendall("\r\n".join(lines).encode())
        while True:
            sock.sendall(PART)
            gevent.sleep(PART_INTERVAL_S)
    except OSError:
        held_s = time.monotonic() - began
        fleet.record.write("closed", id=request_id, after_s=f"{held_s:.2f}")


def case(fleet: Fleet) -> int:
    """Play the case; return its result."""
    trouble = {"until": 0.0}

    def spoil(head: Head) -> bool:
        return time.monotonic() < trouble["until"] and random.random() < SPOILED_SHARE

    fleet.start_store(plain_configuration(timeoutMs=int(TIMEOUT_S * 1000)))
    fleet.replicas = [
        PlainReplica("i-sound1", fleet.store, fleet.record),
        PlainReplica("i-sound2", fleet.store, fleet.record),
        PlainReplica(
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
        path, method = {
            "once": ("/puxa403/2f", "POST"),
            "read": ("/cufi504/fi50/2f", "GET"),
        }[kind]
        send_call(
            call,
            host.address("front"),
            path,
            method=method,
            deadline_ms=DEADLINE_MS,
            wait_s=DEADLINE_MS / 1000,
        )
        return fleet.log_call(call).outcome

    for _ in fleet.hosts * 4:
        wait_until(lambda: send("once") == "200", 20.0, "the first answers")
    gevent.sleep(4.0)
    if HAS_TROUBLE:
        trouble["until"] = time.monotonic() + TROUBLE_S
        fleet.record.write("trouble", replica="i-faulty", for_s=TROUBLE_S)
    first = len(fleet.calls)
    tasks = []
    end = time.monotonic() + TROUBLE_S
    while time.monotonic() < end:
        tasks.append(gevent.spawn(send, random.choice(["once", "read"])))
        gevent.sleep(random.expovariate(RATE_PER_S))
    gevent.joinall(tasks, timeout=10.0)
    calls = fleet.calls[first:]
    open_at_timeout = [c for c in calls if c.answered_at - c.sent_at >= TIMEOUT_S]
    late = [
        call
        for call in open_at_timeout
        if call.answered_at - call.sent_at >= TIMEOUT_S + TOLERANCE_S
    ]
    outcomes = sorted({call.outcome for call in late})
    served = sum(call.outcome == "200" for call in calls)
    fleet.record.say(
        f"{len(calls)} requests, {served} served; unanswered at timeoutMs "
        f"({TIMEOUT_S:g} s): {len(open_at_timeout)}; of these without an answer "
        f"{TOLERANCE_S:g} s later: {len(late)}, ends: {outcomes}"
    )
    if served < len(calls) / 4:
        raise CannotRunError("the fleet does not serve")
    is_broken = len(late) >= MIN_LATE and len(late) > len(open_at_timeout) / 2
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent)
