"""Calls with an idempotency key: at most one run and correct answers."""

import itertools
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import replace

import gevent
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from result import Err
from result import Ok
from result import Result

from filbertyard import idempotency
from filbertyard.calls import Call
from filbertyard.calls import Rank
from filbertyard.exceptions import KeyValueUnavailableError
from filbertyard.exceptions import PeerError
from filbertyard.idempotency import CallDeduplicator
from filbertyard.idempotency import Record
from filbertyard.keyvalue import Compare
from filbertyard.keyvalue import Item
from filbertyard.keyvalue import Put
from filbertyard.keyvalue import RangeResult
from filbertyard.keyvalue import TxnResult
from filbertyard.messages import Chunk
from filbertyard.messages import End
from filbertyard.messages import Failed
from filbertyard.messages import Message
from filbertyard.messages import NotRun
from filbertyard.messages import Reply
from filbertyard.messages import Started

RANK = Rank("urgent", 1, 0.5, 1.0, 4.0, 1.0)


class FaultyKeyValue:
    """A key-value service with outages and lost responses."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.away = False
        self.responses_to_lose = 0
        self.late_writes: list[tuple[list[Compare], list[Put]]] = []
        self.writes_to_delay = 0
        self.writes = 0
        self.after_range: Callable[[], None] | None = None

    def check(self) -> None:
        if self.away:
            raise KeyValueUnavailableError("away", step="test")

    def range(self, key: str, **options: object) -> RangeResult:
        self.check()
        found = RangeResult(
            self.revision, [self.items[key]] if key in self.items else []
        )
        if self.after_range is not None:
            after_range, self.after_range = self.after_range, None
            after_range()
        return found

    def apply(self, compares: list[Compare], writes: list[Put]) -> TxnResult:
        found = {c.key: self.items.get(c.key) for c in compares}
        revisions = {
            key: item.mod_revision if item else 0 for key, item in found.items()
        }
        if any(revisions[c.key] != c.mod_revision for c in compares):
            present = [item for item in found.values() if item is not None]
            return TxnResult(False, self.revision, present)
        self.revision += 1
        for put in writes:
            self.items[put.key] = Item(put.key, put.value, 1, self.revision, put.lease)
        return TxnResult(True, self.revision)

    def txn(self, compares: list[Compare], writes: list[Put]) -> TxnResult:
        self.writes += 1
        if self.writes_to_delay:
            self.writes_to_delay -= 1
            self.late_writes.append((compares, writes))
            raise KeyValueUnavailableError("timeout", step="test")
        self.check()
        result = self.apply(compares, writes)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise KeyValueUnavailableError("response lost", step="test")
        return result

    def lease_grant(self, ttl_s: int) -> int:
        self.check()
        return 7


class Fleet:
    """Hosts that share a key-value service and count what ran."""

    def __init__(self, names: list[str]) -> None:
        self.key_value = FaultyKeyValue()
        self.ran: dict[str, int] = {}
        self.outcome = "ok"
        self.dead: set[str] = set()
        self.answers_to_lose = 0
        self.hosts = {name: self.create_host(name) for name in names}

    def create_host(self, name: str) -> CallDeduplicator:
        deduplicator = CallDeduplicator(
            name, self.key_value, lambda: self.names(), self, self.run
        )
        deduplicator.recorder.linger_s = deduplicator.recorder.non_urgent_linger_s = 0.0
        return deduplicator

    def names(self) -> list[str]:
        return list(self.hosts)

    def call(
        self, host: str, body: Message, timeout_s: float
    ) -> Result[Message | None, PeerError]:
        if host in self.dead:
            return Err(PeerError("dead", step="call", peer=host, sent=False))
        assert isinstance(body, Record)
        answer = self.hosts[host].handle_record("other", body)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return Err(PeerError("lost", step="call", peer=host, sent=True))
        return Ok(answer)

    def run(self, call: Call) -> Iterator[Reply]:
        outcome = self.outcome
        if outcome == "not_run":
            yield NotRun(call.request_id, 1, "test")
            return
        call_name = call.body.decode()
        self.ran[call_name] = self.ran.get(call_name, 0) + 1
        gevent.sleep(0)
        if outcome == "failed":
            yield Failed(call.request_id, 1, True, "test")
            return
        yield Started(call.request_id, 1, 200, [["content-type", "text/plain"]])
        yield Chunk(call.request_id, 1, 0, f"answer {call_name}".encode())
        yield End(call.request_id, 1, 1)


def call_of(number: int, body: str) -> Call:
    return Call(
        f"r{number}", "service", "t", "u", RANK, False, 1, 1e9, "POST", "/x",
        body.encode(),
    )  # fmt: skip


class DeduplicatorMachine(RuleBasedStateMachine):
    """Callers repeat keys while hosts, links and the key-value service fail."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet(["a", "b", "c"])
        self.numbers = itertools.count()

    @rule(
        host=st.sampled_from("abc"),
        key=st.sampled_from(["k1", "k2"]),
        outcome=st.sampled_from(["ok", "ok", "failed", "not_run"]),
        waited=st.booleans(),
    )
    def send(self, host: str, key: str, outcome: str, waited: bool = False) -> None:
        if host in self.fleet.dead:
            return
        fleet = self.fleet
        fleet.outcome = outcome
        if waited:
            self.wait()
        before = fleet.ran.get(key, 0)
        call = call_of(next(self.numbers), key)
        replies = list(fleet.hosts[host].run(call, key))
        gevent.idle()
        last = replies[-1]
        if isinstance(last, NotRun):
            assert fleet.ran.get(key, 0) == before, "reported not run, but it ran"
        if isinstance(last, End):
            assert fleet.ran[key] == 1
            assert replies[1].data == f"answer {key}".encode()

    @rule(
        keys=st.lists(st.sampled_from(["k1", "k2"]), min_size=2, max_size=4),
        hosts=st.lists(st.sampled_from("abc"), min_size=4, max_size=4),
    )
    def race(self, keys: list[str], hosts: list[str]) -> None:
        self.fleet.outcome = "ok"
        tasks = [
            gevent.spawn(
                lambda h=h, k=k: list(
                    self.fleet.hosts[h].run(call_of(next(self.numbers), k), k)
                )
            )
            for h, k in zip(hosts, keys, strict=False)
            if h not in self.fleet.dead
        ]
        gevent.joinall(tasks, raise_error=True)
        gevent.idle()

    @rule(lose=st.integers(1, 2))
    def lose_responses(self, lose: int) -> None:
        self.fleet.key_value.responses_to_lose = lose

    @rule()
    def delay_write(self) -> None:
        self.fleet.key_value.writes_to_delay = 2

    @rule()
    def apply_late_writes(self) -> None:
        service = self.fleet.key_value
        for compares, writes in service.late_writes:
            service.apply(compares, writes)
        service.late_writes = []

    @rule()
    def lose_answer_of_recorder(self) -> None:
        self.fleet.answers_to_lose = 1

    @rule(away=st.booleans())
    def outage(self, away: bool) -> None:
        self.fleet.key_value.away = away

    @rule(host=st.sampled_from("abc"))
    def restart(self, host: str) -> None:
        self.fleet.dead.discard(host)
        self.fleet.hosts[host] = self.fleet.create_host(host)

    @precondition(lambda self: not self.fleet.dead)
    @rule(host=st.sampled_from("abc"))
    def kill(self, host: str) -> None:
        self.fleet.dead.add(host)

    @rule(host=st.sampled_from("abc"), key=st.sampled_from(["k1", "k2"]))
    def lose_claim(self, host: str, key: str) -> None:
        self.fleet.key_value.writes_to_delay = 2
        self.wait()
        self.send(host, key, "ok")

    @rule()
    def write_backlogs(self) -> None:
        for name, deduplicator in self.fleet.hosts.items():
            if name not in self.fleet.dead:
                deduplicator.write_backlog()

    @rule()
    def wait(self) -> None:
        for deduplicator in self.fleet.hosts.values():
            deduplicator.recorder.rejecting_until = 0.0

    @invariant()
    def each_key_runs_at_most_once(self) -> None:
        assert all(count <= 1 for count in self.fleet.ran.values())

    def teardown(self) -> None:
        for deduplicator in self.fleet.hosts.values():
            gevent.kill(
                deduplicator.backlog_task
            ) if deduplicator.backlog_task else None


TestDeduplicator = DeduplicatorMachine.TestCase
TestDeduplicator.settings = settings(max_examples=150, stateful_step_count=30)


def run(fleet: Fleet, host: str, body: str, key: str = "key") -> list[Reply]:
    replies = list(fleet.hosts[host].run(call_of(0, body), key))
    gevent.sleep(0.01)
    return replies


def test_repeat_is_answered_from_the_record() -> None:
    """Guard against a second run, and against a replay that looks like a first run."""
    fleet = Fleet(["a", "b"])
    run(fleet, "a", "x")
    replies = run(fleet, "b", "x")
    assert ["Idempotency-Replayed", "true"] in replies[0].headers
    assert replies[1].data == b"answer x"
    assert fleet.ran == {"x": 1}


def test_a_key_of_one_team_never_answers_another_team() -> None:
    """Guard against a response that goes to a team whose call it does not answer."""
    fleet = Fleet(["a", "b"])
    run(fleet, "a", "x")
    other = replace(call_of(1, "x"), team="t2")
    replies = list(fleet.hosts["b"].run(other, "key"))
    assert ["Idempotency-Replayed", "true"] not in replies[0].headers
    assert fleet.ran == {"x": 2}
    names = list(fleet.key_value.items)
    assert len(names) == 2
    assert names[0].rpartition("/")[0] != names[1].rpartition("/")[0]


@pytest.mark.parametrize(
    ("outcome", "body", "status", "cause"),
    [("failed", "x", 409, "in_progress"), ("ok", "other", 422, "key_reused")],
)
def test_repeat_that_cannot_be_answered(
    outcome: str, body: str, status: int, cause: str
) -> None:
    """Guard against running a key again after an unknown outcome or for a new body."""
    fleet = Fleet(["a"])
    fleet.outcome = outcome
    run(fleet, "a", "x")
    fleet.outcome = "ok"
    (reply,) = run(fleet, "a", body)
    assert (reply.status, reply.cause) == (status, cause)
    assert fleet.ran == {"x": 1}


def test_key_is_free_again_after_a_call_that_did_not_run() -> None:
    """Guard against a key that stays blocked by a call that was not run."""
    fleet = Fleet(["a"])
    fleet.outcome = "not_run"
    run(fleet, "a", "x")
    fleet.outcome = "ok"
    assert isinstance(run(fleet, "a", "x")[-1], End)


def test_outage_rejects_and_leaves_the_key_free() -> None:
    """Guard against a run without a record, and a delayed claim that blocks the key."""
    fleet = Fleet(["a", "b"])
    fleet.key_value.writes_to_delay = 2
    (reply,) = run(fleet, "a", "x")
    assert isinstance(reply, NotRun)
    assert reply.retry_after_s > 0
    fleet.hosts["a"].write_backlog()
    (compares, writes), *_ = fleet.key_value.late_writes
    assert not fleet.key_value.apply(compares, writes).succeeded
    for deduplicator in fleet.hosts.values():
        deduplicator.recorder.rejecting_until = 0.0
    assert isinstance(run(fleet, "b", "x")[-1], End)
    assert fleet.ran == {"x": 1}


def test_lost_answers_leave_no_claim_behind() -> None:
    """Guard against a claim that a recorder wrote although its answer was lost."""
    fleet = Fleet(["a", "b"])
    key = next(
        f"key-{n}"
        for n in range(100)
        if idempotency.choose_recorder(
            idempotency.record_key("t", f"key-{n}"), ["a", "b"]
        )
        == "b"
    )
    fleet.answers_to_lose = 1
    fleet.hosts["a"].recorder.rejecting_until = float("inf")
    (reply,) = run(fleet, "a", "x", key)
    assert isinstance(reply, NotRun)
    fleet.hosts["a"].write_backlog()
    assert isinstance(run(fleet, "b", "x", key)[-1], End)
    assert fleet.ran == {"x": 1}


def test_a_postponed_record_does_not_replace_a_claim_written_meanwhile() -> None:
    """Guard against a call that runs twice, as another host's claim is overwritten."""
    fleet = Fleet(["a", "b"])
    fleet.key_value.writes_to_delay = 2
    (reply,) = run(fleet, "a", "x")
    assert isinstance(reply, NotRun)
    for deduplicator in fleet.hosts.values():
        deduplicator.recorder.rejecting_until = 0.0
    fleet.outcome = "failed"
    fleet.key_value.after_range = lambda: run(fleet, "b", "x")
    fleet.hosts["a"].write_backlog()
    assert fleet.ran == {"x": 1}
    fleet.outcome = "ok"
    (reply,) = run(fleet, "a", "x")
    assert (reply.status, reply.cause) == (409, "in_progress")
    assert fleet.ran == {"x": 1}
    fleet.hosts["a"].write_backlog()
    assert not fleet.hosts["a"].backlog


def test_large_response_is_not_replayed_as_if_complete() -> None:
    """Guard against a truncated recorded response."""
    fleet = Fleet(["a"])
    body = "x" * (idempotency.MAX_RESPONSE_BYTES + 1)
    run(fleet, "a", body)
    (reply,) = run(fleet, "a", body)
    assert (reply.status, reply.cause) == (409, "response_not_kept")


def test_records_are_written_in_batches() -> None:
    """Guard against one transaction for each record under load."""
    fleet = Fleet(["a", "b"])
    for deduplicator in fleet.hosts.values():
        deduplicator.recorder.linger_s = idempotency.LINGER_S
        deduplicator.recorder.non_urgent_linger_s = idempotency.NON_URGENT_LINGER_S
    tasks = [
        gevent.spawn(
            lambda n=n: list(fleet.hosts["a"].run(call_of(n, f"b{n}"), f"{n}"))
        )
        for n in range(400)
    ]
    gevent.joinall(tasks, raise_error=True)
    gevent.sleep(1.5)
    assert len(fleet.ran) == 400
    assert fleet.key_value.writes < 100


def test_a_key_whose_record_the_service_lost_can_run_again() -> None:
    """Shows the limit stated in docs/design.md: records are all that hosts keep."""
    fleet = Fleet(["a", "b"])
    run(fleet, "a", "x")
    fleet.key_value.items.clear()
    replies = run(fleet, "b", "x")
    assert ["Idempotency-Replayed", "true"] not in replies[0].headers
    assert fleet.ran == {"x": 2}
