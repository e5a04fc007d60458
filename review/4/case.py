"""A replica whose entry goes while watches are cut gets requests for too long."""

from __future__ import annotations

import random
import time
from collections import Counter
from pathlib import Path
from typing import Any

import gevent
from filbertyard.platform.standins import PlatformStoreStandin
from filbertyard.standins.web import break_connection
from harness import BROKEN
from harness import DRAIN_S
from harness import HAS_TROUBLE
from harness import HELD
from harness import CannotRunError
from harness import Fleet
from harness import PlainReplica
from harness import plain_configuration
from harness import play
from harness import send_call
from harness import wait_until

# Deadline of `rake-cycle` and `rack-status`.
DEADLINE_MS = 4000

TRAFFIC_S = 6.0
RATE_PER_S = 90.0

# The replica leaves this long after the traffic has begun.
LEAVE_AFTER_S = 1.0

REPLICA_WATCH = "prefix=servers%2F"

# It serves for `drainMs` after its entry went and this much longer, then exits.
LONGER_S = 0.4


class CuttingStore(PlatformStoreStandin):
    """A store that can cut the watches that wait."""

    cuts = 0
    waiting: Counter[str] = Counter()

    def application(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Answer one call; break the connection of a watch that was cut meanwhile."""
        if environ["PATH_INFO"] != "/api/kv-watch":
            return super().application(environ, start_response)
        prefix = environ["QUERY_STRING"].partition("&")[0]
        cuts = self.cuts
        sent: list[Any] = []
        self.waiting[prefix] += 1
        try:
            answer = super().application(environ, lambda *head: sent.append(head))
        finally:
            self.waiting[prefix] -= 1
        if cuts != self.cuts:
            return break_connection(environ)
        start_response(*sent[0])
        return answer

    def cut_watches(self) -> None:
        """Cut the watches that wait now; others and all calls go on."""
        self.cuts += 1


class AbruptReplica(PlainReplica):
    """A replica that leaves without reporting `draining`."""

    def leave(self) -> None:
        """Remove the entry, serve on for a while, then exit."""
        self.beats.kill()
        self.store.delete(f"servers/{self.name}")
        self.left_at = time.monotonic()
        self.record.write("entry_removed", replica=self.name)
        gevent.sleep(DRAIN_S + LONGER_S)
        self.record.write("exits", replica=self.name, running=self.running)
        self.stop()


def case(fleet: Fleet) -> int:
    """Play the case; return its result."""
    store = fleet.store = CuttingStore()
    fleet.start_store(plain_configuration())
    leaver = AbruptReplica("i-leaves", store, fleet.record)
    stays = [PlainReplica(f"i-stays{n}", store, fleet.record) for n in range(2)]
    fleet.replicas = [leaver, *stays]
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

    def leave() -> None:
        if HAS_TROUBLE:
            # A moment at which the watches of the replicas wait.
            wait_until(lambda: store.waiting[REPLICA_WATCH] == 2, 5.0, "watches")
            store.cut_watches()
            fleet.record.write("watches_cut")
        leaver.leave()

    leaving = gevent.spawn_later(LEAVE_AFTER_S, leave)
    first = len(fleet.calls)
    tasks = []
    end = time.monotonic() + TRAFFIC_S
    while time.monotonic() < end:
        tasks.append(gevent.spawn(send, random.choices(["once", "read"], [14.1, 5.65])[0]))
        gevent.sleep(random.expovariate(RATE_PER_S))
    gevent.joinall([*tasks, leaving], timeout=10.0)
    calls = {call.id: call for call in fleet.calls[first:]}
    late = [run for run in leaver.runs if run.at - leaver.left_at > DRAIN_S]
    for run in late:
        fleet.record.write(
            "late", id=run.id, after_s=f"{run.at - leaver.left_at:.2f}"
        )
    lost = [
        calls[run.id].outcome
        for run in late
        if run.id in calls and calls[run.id].outcome != "200"
    ]
    last_s = max((run.at - leaver.left_at for run in leaver.runs), default=0.0)
    served = sum(call.outcome == "200" for call in calls.values())
    fleet.record.say(
        f"{len(calls)} requests, {served} served; requests that reached the replica "
        f"over {DRAIN_S:g} s after its entry went: {len(late)}, the last request "
        f"{last_s:.2f} s after it; of these not answered with success: {lost}"
    )
    if served < len(calls) / 4:
        raise CannotRunError("the fleet does not serve")
    return BROKEN if late else HELD


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent)
