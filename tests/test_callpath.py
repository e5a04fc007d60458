"""Callers, entry hosts and owners against upstreams that fail."""

import contextlib
import functools
import json
import socket
import time
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import gevent
import openai
import pytest
from gevent.event import Event

from filbertyard.callerserver import CallerLimits
from filbertyard.callerserver import create_caller_server
from filbertyard.exceptions import UpstreamError
from filbertyard.host import EntryHost
from filbertyard.httpcalls import HttpPeer
from filbertyard.httpcalls import create_http_peer
from filbertyard.localfleet import Deployment
from filbertyard.localfleet import LocalFleet
from filbertyard.standins.engine import EngineStandin
from filbertyard.standins.engine import expected_text
from filbertyard.standins.fleet import StandinSettings
from filbertyard.standins.service import ServiceStandin
from filbertyard.teamsettings import FleetSettings
from filbertyard.teamsettings import TeamSettings

WAIT_S = 20.0

MODEL = "kouga/plant-1"


def deployment() -> Deployment:
    adapters = {
        f"plant-{n}": {"version": "v1", "upstream": "advisor"} for n in range(1, 4)
    }
    rakes = {"upstream": "rakectl", "idempotent": ["GET /status"]}
    team = {"default_rank": "first", "adapters": adapters, "services": {"rakes": rakes}}
    ranks = {"first": {"urgency": 1, "share": 1.0, "target_s": 5.0}}
    versions = ["v1", "v2"]
    group = {"prefix": "plant", "count": 3, "versions": versions}
    return Deployment(
        "test",
        StandinSettings.model_validate(
            {
                "availability_zones": ["a", "b"],
                "store_rate_per_s": 50,
                "adapters": {"kouga": [group]},
                "engines": {"advisor": {"replicas": 1, "step_s": 0.002}},
                "services": {"rakectl": {"replicas": 2, "service_time_s": 0.0}},
            }
        ),
        FleetSettings.model_validate(
            {
                "ranks": ranks,
                "upstreams": {
                    "advisor": {"kind": "engine"},
                    "rakectl": {"kind": "service"},
                },
                "store": {"min_rate_per_s": 50, "max_rate_per_s": 50},
            }
        ),
        {"kouga": TeamSettings.model_validate(team)},
    )


@pytest.fixture(scope="module")
def running() -> Iterator[LocalFleet]:
    fleet = LocalFleet(deployment())
    fleet.start(hosts=2)
    yield fleet
    fleet.stop()


@pytest.fixture
def fleet(running: LocalFleet) -> LocalFleet:
    for host in running.hosts.values():
        host.attempts.breakers.breakers.clear()
        host.attempts.budget.tokens = host.attempts.budget.burst
    return running


@pytest.fixture
def engine(fleet: LocalFleet) -> EngineStandin:
    return fleet.standins.engines["advisor-1"]


@pytest.fixture
def remote(fleet: LocalFleet) -> EntryHost:
    """Return a host that does not own the engine."""
    return next(h for h in fleet.hosts.values() if "advisor-1" not in h.replicas)


@pytest.fixture
def peer(remote: EntryHost) -> HttpPeer:
    return create_http_peer(remote.membership.local_member.callers)


def wait_until(condition: Callable[[], Any]) -> None:
    with gevent.Timeout(WAIT_S):
        while not condition():
            gevent.sleep(0.01)


def complete(
    peer: HttpPeer,
    tokens: int = 8,
    stream: bool = False,
    headers: dict[str, str] | None = None,
    **fields: Any,
) -> tuple[int, Any, bytes]:
    request = {"model": MODEL, "prompt": "p", "max_tokens": tokens, "stream": stream}
    body = json.dumps({**request, **fields}).encode()
    response = peer.request("POST", "/v1/completions", body, headers)
    return response.status, response, response.read()


def text_of_stream(body: bytes) -> str:
    events = [e.removeprefix(b"data: ") for e in body.split(b"\n\n") if e]
    assert events[-1] == b"[DONE]"
    values = [json.loads(event) for event in events[:-1]]
    return "".join(value["choices"][0]["text"] for value in values).strip()


def executions(fleet: LocalFleet, request_id: str) -> int:
    services = fleet.standins.services.values()
    return sum(
        run.request_id == request_id
        for service in services
        for run in service.executions
    )


def test_openai_client(remote: EntryHost) -> None:
    """Guard against responses that the public client does not understand."""
    url = f"http://{remote.membership.local_member.callers}/v1"
    client = openai.OpenAI(base_url=url, api_key="none", max_retries=0, timeout=WAIT_S)
    expected = expected_text(f"{MODEL}@v1", "p", 5)
    plain = client.completions.create(model=MODEL, prompt="p", max_tokens=5)
    assert plain.choices[0].text == expected
    parts = client.completions.create(
        model=MODEL, prompt="p", max_tokens=5, stream=True
    )
    assert "".join(part.choices[0].text for part in parts).strip() == expected
    messages: Any = [{"role": "user", "content": "p"}]
    chat = client.chat.completions.create(
        model=MODEL, messages=messages, max_completion_tokens=5
    )
    text = chat.choices[0].message.content
    deltas = client.chat.completions.create(
        model=MODEL, messages=messages, max_completion_tokens=5, stream=True
    )
    assert text
    assert text == "".join(p.choices[0].delta.content or "" for p in deltas).strip()
    with pytest.raises(openai.NotFoundError) as caught:
        client.completions.create(model="kouga/plant-99", prompt="p")
    assert caught.value.body["code"] == "unknown_adapter"


def body_of(**fields: Any) -> bytes:
    return json.dumps({"model": MODEL, "prompt": "p", **fields}).encode()


@pytest.mark.parametrize(
    ("method", "path", "body", "headers", "status", "code"),
    [
        ("POST", "/v1/completions", b"{", {}, 400, "bad_request"),
        ("POST", "/v1/completions", b"[]", {}, 400, "bad_request"),
        ("POST", "/v1/completions", b"[" * 100_000, {}, 400, "bad_request"),
        ("POST", "/v1/completions", b"\xff\xfe", {}, 400, "bad_request"),
        ("POST", "/v1/completions", body_of(model=7), {}, 400, "bad_request"),
        ("POST", "/v1/completions", body_of(model="x"), {}, 400, "bad_request"),
        ("POST", "/v1/completions", body_of(prompt=7), {}, 400, "bad_request"),
        ("POST", "/v1/completions", body_of(stream="y"), {}, 400, "bad_request"),
        ("POST", "/v1/completions", body_of(max_tokens=-1), {}, 400, "bad_request"),
        ("POST", "/v1/completions", body_of(max_tokens=True), {}, 400, "bad_request"),
        ("POST", "/v1/chat/completions", body_of(), {}, 400, "bad_request"),
        ("POST", "/v1/completions", body_of(model="x/y"), {}, 404, "unknown_team"),
        (
            "POST", "/v1/completions", body_of(model="kouga/x"), {}, 404,
            "unknown_adapter",
        ),
        (
            "POST", "/v1/completions", body_of(model=f"{MODEL}@v9"), {}, 404,
            "unknown_version",
        ),
        (
            "POST", "/v1/completions", body_of(), {"Filbertyard-Rank": "x"}, 400,
            "bad_request",
        ),
        (
            "POST", "/v1/completions", body_of(), {"Filbertyard-Deadline-Ms": "-1"},
            400, "bad_request",
        ),
        (
            "POST", "/v1/completions", body_of(), {"Idempotency-Key": "k" * 300}, 400,
            "bad_request",
        ),
        ("GET", "/v1/completions", b"", {}, 405, "wrong_method"),
        ("POST", "/healthz", b"", {}, 405, "wrong_method"),
        ("GET", "/nothing", b"", {}, 404, "unknown_path"),
        ("GET", "/services/kouga", b"", {}, 400, "bad_request"),
        ("GET", "/services/kouga/x/y", b"", {}, 404, "unknown_service"),
        ("GET", "/services/kouga/rakes/status/../run", b"", {}, 400, "bad_request"),
        ("GET", "/services/kouga/rakes/status/%2e%2e/x", b"", {}, 400, "bad_request"),
        ("GET", "/services/kouga/rakes//x", b"", {}, 400, "bad_request"),
        ("OPTIONS", "/services/kouga/rakes/y", b"", {}, 405, "wrong_method"),
        ("POST", "/v1/completions", b" " * 600_000, {}, 413, "body_too_large"),
        ("GET", "/healthz", b"", {"X-Long": "x" * 40_000}, 431, "head_too_large"),
        ("GET", "/" + "x" * 9000, b"", {}, 414, "request_line_too_long"),
    ],
)  # fmt: skip
def test_bad_requests_get_a_specific_error(
    peer: HttpPeer,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
    status: int,
    code: str,
) -> None:
    """Guard against unclear errors and errors that leave the execution open."""
    response = peer.request(method, path, body, headers)
    problem = json.loads(response.read())
    assert (response.status, problem["code"]) == (status, code)
    assert problem["execution"] == "not_run"
    assert response.header("Content-Type") == "application/problem+json"


@pytest.mark.parametrize(
    "text",
    [
        b"GET / HTTP/1.1\r\nno colon\r\n\r\n",
        b"GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n",
        b"GET / HTTP/1.1\r\nA : b\r\n\r\n",
        b"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        b"GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"GARBAGE\r\n\r\n",
    ],
)
def test_malformed_heads_are_rejected(remote: EntryHost, text: bytes) -> None:
    """Guard against heads that two servers parse differently."""
    ip, _, port = remote.membership.local_member.callers.rpartition(":")
    with socket.create_connection((ip, int(port)), timeout=WAIT_S) as sock:
        sock.sendall(text)
        received = b"".join(iter(lambda: sock.recv(4096), b""))
    assert received.startswith(b"HTTP/1.1 400 ")
    assert json.loads(received.partition(b"\r\n\r\n")[2])["code"] == "malformed_head"


def test_paths_reach_the_service_unchanged(fleet: LocalFleet, peer: HttpPeer) -> None:
    """Guard against paths that break the request to the upstream."""
    for path in ("/a%20b", "/a%0D%0AX:%20y", "/%E2%82%AC", "/a?q=%20&r=s;t"):
        headers = {"X-Request-Id": f"path{len(path)}"}
        response = peer.request("GET", f"/services/kouga/rakes{path}", b"", headers)
        assert response.status == 200, response.read()
        response.read()
    runs = [
        run.path
        for service in fleet.standins.services.values()
        for run in service.executions
    ]
    assert {"/a b", "/a\r\nX: y", "/a"} <= set(runs)


def is_quiet(fleet: LocalFleet) -> bool:
    hosts = fleet.hosts.values()
    return not any(
        host.application.open_calls
        or host.application.open_request_ids
        or any(
            replica.running or len(replica.queue) for replica in host.replicas.values()
        )
        or any(connection.pending for connection in host.peers.connections.values())
        for host in hosts
    )


@pytest.mark.parametrize("stream", [True, False])
def test_disconnect_cancels_the_call(
    fleet: LocalFleet, engine: EngineStandin, remote: EntryHost, stream: bool
) -> None:
    """Guard against calls that continue after their caller disconnected."""
    wait_until(lambda: is_quiet(fleet))
    before, runs = engine.cancels, len(engine.executions)
    ip, _, port = remote.membership.local_member.callers.rpartition(":")
    sock = socket.create_connection((ip, int(port)))
    body = body_of(max_tokens=1_000_000, stream=stream)
    head = f"POST /v1/completions HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n"
    sock.sendall(head.encode() + body)
    wait_until(lambda: len(engine.executions) > runs)
    if stream:
        assert sock.recv(100)
    sock.close()
    wait_until(lambda: engine.cancels > before and is_quiet(fleet))
    wait_until(lambda: not engine.batch and not any(engine.adapters.values()))


@pytest.mark.parametrize(
    "fault",
    ["cut", "crossed", "wrong_model", "reset_before", "reset_after", "not_started"],
)
def test_plain_completion_survives_an_upstream_fault(
    engine: EngineStandin, peer: HttpPeer, fault: str, fleet: LocalFleet
) -> None:
    """Guard against a wrong, partial or mismatched answer that reaches the caller."""
    engine.faults.switch_on(fault)
    status, response, body = complete(peer)
    assert engine.faults.counts[fault] == 0
    problem = json.loads(body)
    # There is one replica, and the call is not retried on the one that failed.
    assert status in (502, 503)
    not_run = fault == "not_started"
    assert problem["execution"] == ("not_run" if not_run else "unknown")
    status, response, body = complete(peer)
    assert json.loads(body)["choices"][0]["text"] == expected_text(
        f"{MODEL}@v1", "p", 8
    )
    assert response.header("Filbertyard-Adapter") == f"{MODEL}@v1"


@pytest.mark.parametrize("fault", ["cut", "double"])
def test_stream_is_whole_after_a_fault(
    engine: EngineStandin, peer: HttpPeer, fault: str
) -> None:
    """Guard against lost or duplicate tokens when a stream breaks or repeats events."""
    before = engine.resumes
    engine.faults.switch_on(fault)
    _, _, body = complete(peer, tokens=30, stream=True)
    assert engine.faults.counts[fault] == 0
    assert text_of_stream(body) == expected_text(f"{MODEL}@v1", "p", 30)
    assert engine.resumes - before == (fault == "cut")


def test_stream_of_another_model_ends_with_an_error(
    engine: EngineStandin, peer: HttpPeer
) -> None:
    """Guard against a failed stream that looks complete."""
    _, _, body = complete(peer, tokens=4, stream=True)
    engine.faults.switch_on("wrong_model", 1000)
    try:
        _, _, body = complete(peer, tokens=200, stream=True)
    finally:
        engine.faults.counts.clear()
    assert b"[DONE]" not in body
    problem = json.loads(body.rpartition(b"event: error\ndata: ")[2])
    assert problem["execution"] == "unknown"
    assert problem["code"] == "wrong_adapter"


def test_deadline_travels_to_the_upstream(
    fleet: LocalFleet, engine: EngineStandin, peer: HttpPeer
) -> None:
    """Guard against calls that continue after their deadline."""
    before = engine.cancels
    status, _, body = complete(
        peer, tokens=1_000_000, headers={"Filbertyard-Deadline-Ms": "200"}
    )
    assert status == 504
    assert json.loads(body)["execution"] == "unknown"
    wait_until(lambda: engine.cancels > before and is_quiet(fleet))


def services_with(fleet: LocalFleet, fault: str) -> list[ServiceStandin]:
    services = list(fleet.standins.services.values())
    for service in services:
        service.faults.counts.clear()
        service.faults.switch_on(fault)
    return services


@pytest.mark.parametrize(
    ("fault", "runs"),
    [("reset_before", 0), ("reset_after", 1), ("cut", 1), ("crossed", 1)],
)
def test_command_is_never_sent_twice(
    fleet: LocalFleet, peer: HttpPeer, fault: str, runs: int
) -> None:
    """Guard against repeating a command that may have reached its upstream."""
    services = services_with(fleet, fault)
    headers = {"X-Request-Id": f"command-{fault}"}
    response = peer.request("POST", "/services/kouga/rakes/run", b"{}", headers)
    problem = json.loads(response.read())
    assert (response.status, problem["execution"]) == (502, "unknown")
    assert executions(fleet, f"command-{fault}") == runs
    for service in services:
        service.faults.counts.clear()


def test_response_without_a_length_is_passed_on_without_one(
    fleet: LocalFleet,
) -> None:
    """Regression: a response that a crash cut short got the length of its start."""
    services = services_with(fleet, "unframed")
    replayed = ""
    for host in fleet.hosts.values():
        peer = create_http_peer(host.membership.local_member.callers)
        headers = {"Idempotency-Key": "unframed", "X-Request-Id": "unframed"}
        with gevent.Timeout(WAIT_S):
            while True:
                response = peer.request(
                    "POST", "/services/kouga/rakes/run", b"{}", headers
                )
                body = response.read()
                if response.status != 409:
                    break
                # The record of the outcome follows the response.
                gevent.sleep(0.05)
        replayed = response.header("Idempotency-Replayed")
        assert (response.status, body) == (200, b"{")
        assert not response.is_framed
        assert response.header("Connection") == "close"
    assert replayed == "true"
    for service in services:
        service.faults.counts.clear()


def test_owner_bars_a_command_that_it_had_not_sent(
    fleet: LocalFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against `unknown`, or a second run, for a command still in a queue."""
    name, owner = next(
        (name, host)
        for host in fleet.hosts.values()
        for name in host.replicas
        if name.startswith("rakectl")
    )
    entry = next(host for host in fleet.hosts.values() if host is not owner)
    view = next(view for view in entry.views("rakectl") if view.name == name)
    monkeypatch.setattr(entry.attempts, "views", lambda upstream: [view])
    replica = owner.replicas[name]
    monkeypatch.setattr(replica, "dispatch_ready", lambda: None)
    peer = create_http_peer(entry.membership.local_member.callers)
    headers = {"X-Request-Id": "queued"}
    task = gevent.spawn(
        peer.request, "POST", "/services/kouga/rakes/run", b"{}", headers
    )
    wait_until(lambda: len(replica.queue) == 1)
    # The owner answers `barred` only for attempts that are younger than its records.
    wait_until(
        lambda: time.monotonic() - owner.resources.attempt_log.complete_since > 3.0
    )
    entry.peers.connections[owner.name].close()
    response = task.get(timeout=WAIT_S)
    problem = json.loads(response.read())
    assert (response.status, problem["execution"]) == (503, "not_run")
    assert executions(fleet, "queued") == 0
    assert any(key.request_id == "queued" for key in owner.resources.attempt_log.barred)


def test_read_is_retried(fleet: LocalFleet, peer: HttpPeer) -> None:
    """Guard against giving up an idempotent call after a part of its response."""
    services = services_with(fleet, "nothing")
    for service in services[:1]:
        service.faults.switch_on("cut", 1)
    for _ in range(8):
        response = peer.request("GET", "/services/kouga/rakes/status", b"")
        assert (response.status, b"executed" in response.read()) == (200, True)
    assert services[0].faults.counts["cut"] == 0


def test_key_is_replayed_by_another_host(fleet: LocalFleet) -> None:
    """Guard against a second run when a caller repeats its call elsewhere."""
    answers = []
    for host in fleet.hosts.values():
        peer = create_http_peer(host.membership.local_member.callers)
        headers = {"Idempotency-Key": "jam", "X-Request-Id": "key-jam"}
        replayed = ""
        with gevent.Timeout(WAIT_S):
            while True:
                response = peer.request(
                    "POST", "/services/kouga/rakes/run", b"{}", headers
                )
                body = response.read()
                replayed = response.header("Idempotency-Replayed")
                # The record of the outcome follows the response.
                if response.status != 409:
                    break
                gevent.sleep(0.05)
        answers.append((response.status, body, replayed))
    assert [answer[2] for answer in answers] == ["", "true"]
    assert answers[0][:2] == answers[1][:2]
    assert executions(fleet, "key-jam") == 1


def test_key_without_the_service_is_not_run(
    fleet: LocalFleet, remote: EntryHost, peer: HttpPeer
) -> None:
    """Guard against running a call with a key that cannot be recorded."""
    fleet.standins.key_value.faults.unavailable = True
    try:
        headers = {"Idempotency-Key": "away", "X-Request-Id": "key-away"}
        response = peer.request("POST", "/services/kouga/rakes/run", b"{}", headers)
        problem = json.loads(response.read())
    finally:
        fleet.standins.key_value.faults.unavailable = False
    assert (response.status, problem["execution"]) == (503, "not_run")
    assert int(response.header("Retry-After")) >= 1
    assert executions(fleet, "key-away") == 0


class EndlessApplication:
    """An application that streams endlessly and counts its running streams."""

    def __init__(self) -> None:
        self.running = 0

    def __call__(self, environ: Any, start_response: Any) -> Iterator[bytes]:
        if environ["PATH_INFO"] == "/short":
            start_response("200 OK", [("Content-Length", "2")])
            return iter([b"ok"])
        start_response("200 OK", [])
        if environ["PATH_INFO"] == "/large":
            return iter([b"x" * 300_000, b"end"])
        return self.send()

    def send(self) -> Iterator[bytes]:
        self.running += 1
        try:
            while True:
                yield b"x" * 65536
        finally:
            self.running -= 1


@contextlib.contextmanager
def caller_server(
    limits: CallerLimits,
) -> Iterator[tuple[Any, EndlessApplication, Any]]:
    application = EndlessApplication()
    server = create_caller_server("127.0.0.1:0", application, limits)
    server.start()
    sockets: list[socket.socket] = []

    def connect(text: bytes = b"") -> socket.socket:
        address = ("127.0.0.1", server.server_port)
        sock = socket.create_connection(address, timeout=WAIT_S)
        sock.sendall(text)
        sockets.append(sock)
        return sock

    try:
        yield server, application, connect
    finally:
        server.stop()
        for sock in sockets:
            sock.close()


def test_large_parts_are_sent_once() -> None:
    """Guard against a head or a part that is sent twice or out of order."""
    with caller_server(CallerLimits()) as (server, _, _):
        peer = create_http_peer(f"127.0.0.1:{server.server_port}")
        for _ in range(2):
            assert peer.request("GET", "/large").read() == b"x" * 300_000 + b"end"
            assert peer.request("GET", "/short").read() == b"ok"


def test_caller_that_stops_reading_is_dropped() -> None:
    """Guard against calls that a caller holds open by not reading."""
    with caller_server(CallerLimits(write_timeout_s=0.2)) as (
        server,
        application,
        connect,
    ):
        connect(b"GET /endless HTTP/1.1\r\n\r\n")
        wait_until(lambda: application.running == 1)
        wait_until(lambda: application.running == 0 and server.open_connections == 0)


@pytest.mark.parametrize("text", [b"", b"GET /short HTTP/1.1\r\nX: ", b"GET /sh"])
def test_slow_head_is_dropped(text: bytes) -> None:
    """Guard against connections that are held open by a slow or absent head."""
    limits = CallerLimits(first_request_timeout_s=0.2, head_timeout_s=0.2)
    with caller_server(limits) as (server, _, connect):
        sock = connect(text)
        received = b"".join(iter(lambda: sock.recv(4096), b""))
        assert received == b"" or b"408" in received
        wait_until(lambda: server.open_connections == 0)


def test_connection_flood_leaves_room_for_others() -> None:
    """Guard against a flood of silent connections that locks callers out."""
    limits = CallerLimits(
        max_connections=20, max_unused_connections=10, first_request_timeout_s=600
    )
    short = b"GET /short HTTP/1.1\r\n\r\n"
    with caller_server(limits) as (server, _, connect):
        known = connect(short)
        assert known.recv(4096).endswith(b"ok")
        for _ in range(100):
            connect()
        known.sendall(short)
        assert known.recv(4096).endswith(b"ok")
        assert connect(short).recv(4096).endswith(b"ok")
        wait_until(
            lambda: (
                server.open_connections <= 20 and len(server.unused_connections) <= 10
            )
        )


def test_host_keeps_room_for_the_most_urgent_rank(
    fleet: LocalFleet, peer: HttpPeer, remote: EntryHost
) -> None:
    """Guard against unbounded calls in progress and errors without Retry-After."""
    remote.application.max_open_calls = 0
    try:
        status, response, body = complete(peer)
    finally:
        remote.application.max_open_calls = 2000
    assert (status, json.loads(body)["code"]) == (503, "host_busy")
    assert response.header("Retry-After") == "1"


def test_late_response_is_not_read_by_the_next_request() -> None:
    """Guard against reading the late response of an earlier request."""
    release = Event()

    def answer(environ: Any, start_response: Any) -> list[bytes]:
        if environ["PATH_INFO"] == "/late":
            release.wait()
        start_response("200 OK", [("Content-Length", "5")])
        return [environ["PATH_INFO"].encode()]

    server = create_caller_server("127.0.0.1:0", answer)
    server.start()
    peer = create_http_peer(f"127.0.0.1:{server.server_port}")
    with pytest.raises(UpstreamError) as caught:
        peer.request("GET", "/late", timeout_s=0.1)
    assert (caught.value.code, caught.value.sent) == ("deadline", True)
    release.set()
    gevent.sleep(0.05)
    assert peer.request("GET", "/next").read() == b"/next"
    server.stop()


@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"600", b"999"])
def test_an_odd_status_reaches_no_caller(
    fleet: LocalFleet, peer: HttpPeer, status: bytes
) -> None:
    """Regression: 600 was passed on, and 000 held the call until its deadline."""

    def answer(environ: Any, start_response: Any) -> list[bytes]:
        head = b"HTTP/1.1 " + status + b" Odd\r\nContent-Length: 0\r\n\r\n"
        environ["standin.handler"].socket.sendall(head)
        # The connection stays open.
        gevent.sleep(4.0)
        return []

    servers = [item.server.server for item in fleet.standins.services.values()]
    sound = [server.application for server in servers]

    def dispatch(environ: Any, start_response: Any, number: int = 0) -> Any:
        is_query = environ["PATH_INFO"] in ("/state", "/load")
        return (sound[number] if is_query else answer)(environ, start_response)

    for number, server in enumerate(servers):
        server.application = functools.partial(dispatch, number=number)
    try:
        headers = {"Filbertyard-Deadline-Ms": "3000"}
        response = peer.request("POST", "/services/kouga/rakes/x", b"{}", headers)
        body = json.loads(response.read())
    finally:
        for server, application in zip(servers, sound, strict=True):
            server.application = application
    assert (response.status, body["execution"]) == (502, "unknown")
    assert body["code"] != "deadline"


def test_upstream_error_tells_if_the_request_was_written() -> None:
    """Guard against `not run` for a request that the server may have read."""
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"

    def accept_and_reset() -> None:
        sock, _ = listener.accept()
        sock.close()

    task = gevent.spawn(accept_and_reset)
    with pytest.raises(UpstreamError) as caught:
        create_http_peer(address).request("POST", "/x", b"{}", new_connection=True)
    assert caught.value.sent
    task.join()
    listener.close()
    with pytest.raises(UpstreamError) as caught:
        create_http_peer(address).request("POST", "/x", b"{}", new_connection=True)
    assert not caught.value.sent
