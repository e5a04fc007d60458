"""Requests at each moment of a host's grace period: whole, or truly not run."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any

import gevent
import pytest
from gevent.event import Event
from geventhttpclient.response import HTTPConnectionClosed

from filbertyard.exceptions import AdmissionWithdrawnError
from filbertyard.gateway.host import GatewayHost
from filbertyard.platform.standins import ReplicaStandin
from gatewayfleet import BOUNDS
from gatewayfleet import MODEL
from gatewayfleet import GatewayFleet
from gatewayfleet import Reply
from gatewayfleet import configuration
from gatewayfleet import read_reply
from gatewayfleet import route
from gatewayfleet import wait_until

# The host exits half a second before the end of the grace period.
GRACE_S = 4.0

HEAD_TIMEOUT_S = 30

# The connection was refused, or ended without any response.
NOT_READ = (OSError, HTTPConnectionClosed)

KINDS = {
    "text": ("/text/a", {"Model": f"{MODEL}/a1", "Token-Usage": "100,90"}),
    "order": ("/order/a", {}),
    "stock": ("/stock/a", {}),
}


@pytest.fixture
def fleet() -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(bounds=replace(BOUNDS, grace_s=GRACE_S))
    fleet.start(hosts=2)
    routes = {
        "text": route("text", "/text/", "streaming", "engine", targetLatencyMs=3000),
        "order": route("order", "/order/", "non_idempotent", "desk"),
        "stock": route("stock", "/stock/", "idempotent", "desk"),
    }
    value = configuration(2, **routes)
    # The rest of a head that arrives late meets the stop of its host, not this limit.
    value["limits"]["headerTimeoutMs"] = HEAD_TIMEOUT_S * 1000
    fleet.store.write("op/config", value)
    fleet.add_replica(ReplicaStandin("e1", "engine", model=MODEL))
    fleet.add_replica(ReplicaStandin("d1", "desk"))
    for host in fleet.hosts:
        wait_until(
            lambda host=host: (
                host.state.configuration
                and host.state.configuration.version == 2
                and len(host.state.replicas) == 2
                and host.servers[0].limits.head_timeout_s == HEAD_TIMEOUT_S
            )
        )
    fleet.await_owners()
    yield fleet
    fleet.stop()


@dataclass
class Caller:
    """A caller's connection, which may be kept for several requests."""

    fleet: GatewayFleet
    host: GatewayHost
    sock: Any = None
    ids: list[str] = field(default_factory=list)

    def connect(self) -> None:
        ip, _, port = self.host.settings.callers.rpartition(":")
        self.sock = gevent.socket.create_connection((ip, int(port)), 5.0)
        self.sock.settimeout(20.0)

    def parts(self, kind: str, body: bytes = b"{}") -> tuple[bytes, bytes]:
        """Return head and body of a request."""
        self.fleet.count += 1
        path, headers = KINDS[kind]
        fields = {
            "Host": "fleet.example",
            "Request-Id": f"r{self.fleet.count}",
            "Deadline-Ms": "10000",
            "Content-Length": str(len(body)),
            **headers,
        }
        self.ids.append(fields["Request-Id"])
        lines = [f"POST {path} HTTP/1.1"]
        lines += [f"{key}: {value}" for key, value in fields.items()]
        return "\r\n".join([*lines, "", ""]).encode(), body

    def ask(self, kind: str) -> Reply | None:
        """Send one request; return None if the connection ended before it was read."""
        try:
            if self.sock is None:
                self.connect()
            self.sock.sendall(b"".join(self.parts(kind)))
            return read_reply(self.sock)
        except NOT_READ:
            return None


def slow_down(fleet: GatewayFleet, seconds: float) -> None:
    """Let every run last so long, and every host learn it."""
    for replica in fleet.replicas:
        if replica.model:
            replica.events, replica.event_s = 30, seconds / 30
        else:
            replica.faults.hang_s = seconds
    learning = [
        gevent.spawn(Caller(fleet, host).ask, kind)
        for host in fleet.hosts
        for kind in KINDS
        for _ in range(2)
    ]
    assert all(task.get().status == 200 for task in learning)


def runs(fleet: GatewayFleet, request_id: str) -> int:
    return sum(
        run["id"] == request_id for replica in fleet.replicas for run in replica.runs
    )


def check_reply(fleet: GatewayFleet, caller: Caller, reply: Reply | None) -> None:
    """Check that a request was answered whole, or truly not run."""
    count = sum(runs(fleet, request_id) for request_id in caller.ids)
    if reply is None:
        assert not count
        return
    assert reply.is_complete, f"request {caller.ids} was cut"
    assert reply.status in (200, 503)
    assert count == (1 if reply.status == 200 else 0)
    if reply.status == 503:
        assert float(reply.headers["retry-after"]) > 0


@pytest.mark.parametrize("run_s", [0.03, 1.8])
def test_requests_at_each_moment_of_the_grace_are_not_cut(
    fleet: GatewayFleet, run_s: float
) -> None:
    """Guards against a request that is passed on although it ends after the exit."""
    slow_down(fleet, run_s)
    host = fleet.hosts[0]
    kept = {
        (at, kind): Caller(fleet, host)
        for at in (0.3, 1.2, 2.2, 2.45, 2.8, 3.3)
        for kind in KINDS
    }
    for caller in kept.values():
        caller.connect()
    stop = gevent.spawn(host.shutdown)
    results = []
    for (at, kind), caller in kept.items():
        results.append((caller, gevent.spawn_later(at, caller.ask, kind)))
        new = Caller(fleet, host)
        results.append((new, gevent.spawn_later(at, new.ask, kind)))
    for caller, result in results:
        check_reply(fleet, caller, result.get(timeout=30))
    stop.get(timeout=30)


def test_requests_in_progress_of_arriving_are_refused_not_cut(
    fleet: GatewayFleet,
) -> None:
    """Guards against a host that exits while it still reads a request."""
    slow_down(fleet, 0.03)
    host = fleet.hosts[0]
    halves = {}
    for kind in KINDS:
        for at_end in (False, True):
            caller = Caller(fleet, host)
            caller.connect()
            head, body = caller.parts(kind, b"x" * 2000)
            cut = len(head) + 1000 if at_end else len(head) // 2
            data = head + body
            caller.sock.sendall(data[:cut])
            halves[kind, at_end] = caller, data[cut:]
    stop = gevent.spawn(host.shutdown)

    def finish(caller: Caller, rest: bytes) -> Reply | None:
        try:
            caller.sock.sendall(rest)
            return read_reply(caller.sock)
        except NOT_READ:
            return None

    results = [
        (caller, gevent.spawn_later(1.0 if kind == "stock" else 2.8, finish, *half))
        for (kind, _), half in halves.items()
        for caller in half[:1]
    ]
    unfinished = Caller(fleet, host)
    unfinished.connect()
    head, _ = unfinished.parts("order", b"x" * 2000)
    unfinished.sock.sendall(head + b"x" * 10)
    never = gevent.spawn(read_reply, unfinished.sock)
    for caller, result in results:
        check_reply(fleet, caller, result.get(timeout=30))
    stop.get(timeout=30)
    # Its caller learns that the request did not run, rather than nothing.
    reply = never.get(timeout=30)
    assert (reply.status, reply.is_complete) == (503, True)


def test_a_waiting_request_is_withdrawn_once_it_cannot_end_in_time(
    fleet: GatewayFleet,
) -> None:
    """Guards against a request that waits in the grace, begins late and is cut."""
    slow_down(fleet, 1.2)
    host = fleet.hosts[0]
    running = [gevent.spawn(Caller(fleet, fleet.hosts[1]).ask, "text") for _ in "x" * 8]
    engine = fleet.replicas[0]
    wait_until(lambda: sum(engine.running.values()) == 8)
    # The requests that run now end within the grace period, but so late that a request
    # that waits for them ends after it.
    engine.event_s = 2.9 / 30
    callers = [Caller(fleet, host) for _ in range(4)]
    waiting = [gevent.spawn(caller.ask, "text") for caller in callers]
    wait_until(lambda: host.entry.awaiting_admission)
    host.shutdown()
    for caller, task in zip(callers, waiting, strict=True):
        check_reply(fleet, caller, task.get(timeout=30))
    gevent.joinall(running)


def test_a_third_of_the_hosts_stop_at_once_and_the_others_take_the_load() -> None:
    """Guards against requests that end nowhere while a fleet is replaced in parts."""
    fleet = GatewayFleet(bounds=replace(BOUNDS, grace_s=GRACE_S))
    fleet.start(hosts=6)
    fleet.add_replica(ReplicaStandin("e1", "engine", model=MODEL))
    fleet.add_replica(ReplicaStandin("e2", "engine", model=MODEL))
    fleet.add_replica(ReplicaStandin("d1", "desk"))
    fleet.add_replica(ReplicaStandin("d2", "desk"))
    fleet.await_owners()
    for host in fleet.hosts:
        wait_until(lambda host=host: len(host.state.replicas) == 4)
    slow_down(fleet, 0.3)
    try:
        stops = [gevent.spawn(host.shutdown) for host in fleet.hosts[:2]]
        results = []
        for number in range(36):
            for kind in KINDS:
                caller = Caller(fleet, fleet.hosts[number % 6])
                task = gevent.spawn_later(0.1 * number, caller.ask, kind)
                results.append((number, kind, caller, task))
        for number, kind, caller, task in results:
            reply = task.get(timeout=30)
            check_reply(fleet, caller, reply)
            if reply is None or reply.status == 503:
                assert caller.host in fleet.hosts[:2]
                reply = Caller(fleet, fleet.hosts[2 + number % 4]).ask(kind)
                assert reply is not None
                assert reply.status == 200
        gevent.joinall(stops, timeout=30)
    finally:
        fleet.stop()


@pytest.mark.parametrize("kind", KINDS)
def test_a_request_whose_time_runs_out_before_it_is_admitted_is_rejected(
    fleet: GatewayFleet, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an error between the check and the wait for a replica."""
    host = fleet.hosts[0]
    other = fleet.hosts[1].id
    engine = fleet.replicas[0].id
    record = host.state.owners[engine]
    host.owned.pop(engine, None)
    monkeypatch.setitem(host.state.owners, engine, replace(record, host=other))
    fleet.replicas[1].faults.rate_limit = "0.1"
    assert Caller(fleet, host).ask("stock").status == 200
    limits = iter([0.0])
    monkeypatch.setattr(
        host.entry, "wait_limit_s", lambda delivery, wait_s: next(limits, -math.inf)
    )
    caller = Caller(fleet, host)
    reply = caller.ask(kind)
    assert reply is not None
    assert reply.status == 503
    check_reply(fleet, caller, reply)


def test_a_wait_that_has_ended_is_not_withdrawn(fleet: GatewayFleet) -> None:
    """Regression: a request that had just been sent was rejected as not run."""
    entry = fleet.hosts[0].entry
    turn = Event()
    outcomes: list[str] = []

    def serve() -> None:
        delivery: Any = object()
        with entry.awaiting(delivery):
            turn.wait()
        try:
            # Stands for the send and the wait for the response.
            gevent.sleep(0.05)
            outcomes.append("answered")
        except AdmissionWithdrawnError:
            outcomes.append("rejected")

    tasks = [gevent.spawn(serve) for _ in range(20)]
    gevent.sleep(0)
    turn.set()
    entry.withdraw("host_stopping", [*entry.awaiting_admission])
    gevent.joinall(tasks, timeout=20.0)
    assert outcomes == ["answered"] * 20
