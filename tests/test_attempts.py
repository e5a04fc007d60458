"""Retries, breakers, barred attempts and resumed streams."""

import random
import time
from collections.abc import Iterator

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st

from filbertyard.attemptlog import AttemptKey
from filbertyard.attemptlog import AttemptLog
from filbertyard.attemptlog import AttemptQuestion
from filbertyard.attempts import Attempts
from filbertyard.attempts import RetryBudget
from filbertyard.breakers import FAILURES_TO_OPEN
from filbertyard.breakers import Breakers
from filbertyard.breakers import adapter_scope
from filbertyard.breakers import link_scope
from filbertyard.breakers import replica_scope
from filbertyard.calls import AdapterVersion
from filbertyard.calls import Call
from filbertyard.calls import Rank
from filbertyard.engines import EngineClient
from filbertyard.exceptions import PeerError
from filbertyard.exceptions import UpstreamError
from filbertyard.loadbudget import Permit
from filbertyard.messages import Accepted
from filbertyard.messages import Chunk
from filbertyard.messages import End
from filbertyard.messages import Failed
from filbertyard.messages import Forward
from filbertyard.messages import NotRun
from filbertyard.messages import Reply
from filbertyard.messages import Started
from filbertyard.replicas import OwnedReplica
from filbertyard.replicas import Ownership
from filbertyard.replicas import create_owned_replica
from filbertyard.responses import checked_events
from filbertyard.routing import ReplicaView
from filbertyard.routing import create_router
from filbertyard.standins.engine import EngineParameters
from filbertyard.standins.engine import EngineStandin
from filbertyard.standins.engine import expected_text
from filbertyard.standins.store import AdapterStoreStandin

RANK = Rank("first", 1, 1.0, 5.0, 20.0, 1.0)
ADAPTER = AdapterVersion("kouga", "plant-1", "v1")


def call_of(idempotent: bool = True, stream: bool = False) -> Call:
    return Call(
        request_id="r1",
        kind="completion" if stream else "service",
        team="kouga",
        upstream="u",
        rank=RANK,
        idempotent=idempotent,
        revision=1,
        deadline=time.monotonic() + 60,
        method="POST",
        path="/v1/completions" if stream else "/x",
        body=b'{"prompt": "p", "max_tokens": 40, "stream": true}',
        stream=stream,
        adapter=ADAPTER if stream else None,
    )


class Script:
    """Fake owners with one scripted behaviour for each attempt."""

    def __init__(self, *behaviours: str, answer: str = "unknown") -> None:
        self.behaviours = list(behaviours)
        self.answer = answer
        self.asked: list[AttemptQuestion] = []
        self.replicas: list[str] = []
        self.owners: list[str] = []
        names = ["r1", "r2", "r3", "r4"]
        self.views = [ReplicaView(name, "u", f"owner-{name}") for name in names]
        self.attempts = Attempts(
            "entry",
            create_router("naive"),
            lambda upstream: self.views,
            self.run_attempt,
            self.ask,
        )

    def ask(self, owner: str, question: AttemptQuestion) -> str:
        self.asked.append(question)
        return self.answer

    def run_attempt(
        self, view: ReplicaView, forward: Forward, limit_s: float
    ) -> Iterator[Reply]:
        self.replicas.append(view.name)
        self.owners.append(view.owner)
        behaviour = self.behaviours.pop(0)
        request, number = forward.request_id, forward.attempt
        if behaviour == "unreachable":
            raise PeerError("refused", step="connect", peer=view.owner, sent=False)
        if behaviour == "lost":
            raise PeerError("broke", step="Forward", peer=view.owner, sent=True)
        if behaviour == "not_owner":
            yield NotRun(request, number, "not_owner", hint="next")
            return
        if behaviour == "not_run":
            yield NotRun(request, number, "queue_full", retry_after_s=1.0)
            return
        if behaviour == "failed":
            yield Failed(request, number, True, "upstream_failed")
            return
        yield Accepted(request, number)
        yield Started(request, number, 200, [])
        yield Chunk("another", number, 0, b"crossed")
        yield Chunk(request, number - 1, 0, b"late")
        yield Chunk(request, number, 0, b"a")
        if behaviour == "broken":
            raise PeerError("broke", step="Forward", peer=view.owner, sent=True)
        if behaviour == "doubled":
            yield Chunk(request, number, 0, b"a")
        if behaviour == "gap":
            yield Chunk(request, number, 2, b"c")
        yield Chunk(request, number, 1, b"b")
        yield End(request, number, 3 if behaviour == "short" else 2)

    def run(self, idempotent: bool = True) -> tuple[str, bytes]:
        replies = list(self.attempts.run(call_of(idempotent)))
        data = b"".join(r.data for r in replies if isinstance(r, Chunk))
        return type(replies[-1]).__name__, data


@pytest.mark.parametrize(
    ("behaviours", "idempotent", "answer", "outcome", "sent"),
    [
        (["ok"], False, "", "End", 1),
        (["doubled"], False, "", "End", 1),
        (["unreachable", "ok"], False, "", "End", 2),
        (["not_run", "ok"], False, "", "End", 2),
        (["lost"], False, "sent", "Failed", 1),
        (["lost"], False, "unknown", "Failed", 1),
        (["lost", "ok"], False, "barred", "End", 2),
        (["failed"], False, "", "Failed", 1),
        (["broken"], False, "sent", "Failed", 1),
        (["gap"], False, "", "Failed", 1),
        (["short"], False, "", "Failed", 1),
        (["lost", "ok"], True, "", "End", 2),
        (["failed", "ok"], True, "", "End", 2),
        (["broken", "gap", "ok"], True, "", "End", 3),
        (["failed", "not_run", "not_run"], True, "", "Failed", 3),
        (["not_run", "not_run", "not_run"], True, "", "NotRun", 3),
    ],
)
def test_outcome_is_exact(
    behaviours: list[str], idempotent: bool, answer: str, outcome: str, sent: int
) -> None:
    """Guard against retries of calls that may have run, and false `not run` replies."""
    script = Script(*behaviours, answer=answer)
    found, data = script.run(idempotent)
    assert (found, len(script.replicas)) == (outcome, sent)
    assert data == (b"ab" if outcome == "End" else b"")
    assert len(set(script.replicas)) == sent


def test_hint_of_the_next_owner_is_followed() -> None:
    """Guard against a lost call while a replica is handed over."""
    script = Script("not_owner", "ok")
    assert script.run(idempotent=False) == ("End", b"ab")
    assert script.owners == ["owner-r2", "next"]
    assert script.replicas == ["r2", "r2"]


def test_retries_are_in_proportion_to_calls() -> None:
    """Guard against retries that multiply an overload."""
    script = Script(*["not_run"] * 1000)
    for _ in range(300):
        script.run()
    assert len(script.replicas) - 300 <= 300 * 0.1 + 10


def test_budget_recovers_with_calls() -> None:
    """Guard against a budget that stays empty after an overload."""
    budget = RetryBudget()
    while budget.take():
        pass
    for _ in range(10):
        budget.record_call()
    assert not budget.take()
    budget.record_call()
    assert budget.take()
    assert not budget.take()


def test_breakers_of_scopes_are_independent() -> None:
    """Guard against failures of one adapter or link that block a whole replica."""
    now = [0.0]
    breakers = Breakers(random.Random(1), lambda: now[0])
    broken = adapter_scope("r1", "a")
    others = [
        replica_scope("r1"),
        link_scope("h1"),
        adapter_scope("r1", "b"),
        adapter_scope("r2", "a"),
    ]
    for _ in range(FAILURES_TO_OPEN):
        assert breakers.wait_s([broken]) == 0
        breakers.record_failure(broken)
    assert breakers.wait_s([broken]) > 0
    assert breakers.wait_s(others) == 0
    now[0] += 1.0
    assert breakers.wait_s([broken]) == 0
    breakers.begin([broken])
    assert breakers.wait_s([broken]) > 0, "only one probe at a time"
    breakers.record_success([broken])
    assert breakers.breakers == {}


def test_open_breaker_rejects_with_retry_after() -> None:
    """Guard against calls to replicas that fail, and against a missing Retry-After."""
    script = Script(*["unreachable"] * 100)
    script.attempts.budget.tokens = script.attempts.budget.burst = 1000.0
    for _ in range(20):
        replies = list(script.attempts.run(call_of()))
    assert len(script.replicas) == 4 * FAILURES_TO_OPEN
    (reply,) = replies
    assert isinstance(reply, NotRun)
    assert reply.cause == "circuit_open"
    assert reply.retry_after_s > 0


def question(number: int, age_s: float = 0.5) -> AttemptQuestion:
    return AttemptQuestion("e", "r", number, age_s)


def test_barred_attempt_is_never_sent() -> None:
    """Guard against an attempt that runs after its entry host was told `barred`."""
    now = [100.0]
    log = AttemptLog(lambda: now[0])
    assert log.answer(question(1)) == "unknown", "it may belong to an earlier process"
    now[0] += 10
    assert log.answer(question(1)) == "barred"
    assert not log.begin(AttemptKey("e", "r", 1))
    assert log.begin(AttemptKey("e", "r", 2))
    assert log.answer(question(2)) == "sent"
    log.withdraw(AttemptKey("e", "r", 2))
    assert log.answer(question(2)) == "barred"


def test_dropped_record_is_answered_unknown(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against `barred` for an attempt whose record was dropped."""
    monkeypatch.setattr("filbertyard.attemptlog.MAX_SENT", 3)
    now = [100.0]
    log = AttemptLog(lambda: now[0])
    for number in range(10):
        now[0] += 1
        log.begin(AttemptKey("e", "r", number))
    assert log.answer(question(0, 9.0)) == "unknown"
    assert log.answer(question(99, 0.1)) == "barred"


EVENTS = [
    *(b'id: %d\ndata: {"model": "m", "id": "c-r"}\n\n' % n for n in range(4)),
    b"id: 4\ndata: [DONE]\n\n",
]


@given(st.lists(st.sampled_from(range(5)), max_size=12), st.data())
def test_stream_is_delivered_whole_and_once_or_fails(
    order: list[int], data: st.DataObject
) -> None:
    """Guard against lost, duplicate or reordered events in a seemingly whole stream."""
    raw = b"".join(EVENTS[number] for number in order)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(raw)), max_size=4)))
    bounds = [0, *cuts, len(raw)]
    parts = [raw[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
    whole = b"".join(event.partition(b"\n")[2] for event in EVENTS)
    received = b""
    try:
        for part in checked_events(parts, "m", "r", "peer"):
            received += part
    except UpstreamError:
        assert received != whole
        assert whole.startswith(received)
    else:
        assert received == whole


class Permits:
    """A source that grants every permit."""

    def acquire(self, *args: object) -> Permit:
        return Permit(1, 9.0)

    def return_permit(self, *args: object) -> None:
        return


@pytest.fixture
def engine() -> Iterator[EngineStandin]:
    store = AdapterStoreStandin(100.0, {"kouga/plant-1": ["v1"]})
    store.start()
    engine = EngineStandin("r1", store.address, EngineParameters(step_s=0.002))
    engine.start()
    yield engine
    engine.stop()
    store.stop()


def owner_of(engine: EngineStandin, host: str) -> OwnedReplica:
    client = EngineClient("r1", engine.address)
    ownership = Ownership(1, lambda: True)
    replica = create_owned_replica(
        "r1", "u", client, ownership, Permits(), "shares", host
    )
    replica.start()
    with gevent.Timeout(20):
        while not replica.is_accepting():
            gevent.sleep(0.01)
    return replica


@pytest.mark.parametrize("idempotent", [True, False])
def test_next_owner_resumes_a_stream(engine: EngineStandin, idempotent: bool) -> None:
    """Guard against a stream that is cut, duplicated or rerun when its owner dies."""
    owners = {host: owner_of(engine, host) for host in ("a", "b")}
    view = ReplicaView("r1", "u", "a")

    def run_attempt(
        view: ReplicaView, forward: Forward, limit_s: float
    ) -> Iterator[Reply]:
        for reply in owners[view.owner].run(forward):
            yield reply
            if view.owner == "a" and isinstance(reply, Chunk) and reply.number == 2:
                owners["a"].stop()
                view.owner = "b"
                raise PeerError("broke", step="Forward", peer="a", sent=True)

    attempts = Attempts(
        "entry", create_router("naive"), lambda upstream: [view], run_attempt
    )
    replies = list(attempts.run(call_of(idempotent, stream=True)))
    body = b"".join(reply.data for reply in replies if isinstance(reply, Chunk))
    assert isinstance(replies[-1], End)
    assert sum(isinstance(reply, Started) for reply in replies) == 1
    expected = expected_text(str(ADAPTER), "p", 40).split()
    words = [word for word in expected if b'"%s "' % word.encode() in body]
    assert words == expected
    assert body.count(b"data: ") == 42
    assert len(engine.executions) == 1
    assert engine.resumes == 1
    for owner in owners.values():
        owner.stop()
