"""The checker detects each kind of fault that is injected into a clean history."""

import copy
import random
from collections.abc import Callable

import pytest

from filbertyard.checker import CHECKS
from filbertyard.checker import check_history
from filbertyard.history import AcceptedRecord
from filbertyard.history import CallRecord
from filbertyard.history import ExecutionRecord
from filbertyard.history import History
from filbertyard.history import InForceRecord
from filbertyard.history import LeavingRecord
from filbertyard.history import ShutdownRecord
from filbertyard.history import StartRecord

MODEL = "kouga/plant-1"

Fault = Callable[[History, random.Random], None]

FAULTS: list[tuple[str, Fault]] = []


def fault(invariant: str) -> Callable[[Fault], Fault]:
    """Register a fault that breaks one invariant."""

    def register(function: Fault) -> Fault:
        FAULTS.append((invariant, function))
        return function

    return register


def clean_history(rng: random.Random) -> History:
    """Return the history of a run without violations."""
    history = History(ended_at=60.0)
    history.accepted.append(AcceptedRecord(1, 0.0, {MODEL: "v1"}))
    history.accepted.append(AcceptedRecord(2, 30.0, {MODEL: "v2"}))
    for host in ("h1", "h2"):
        history.in_force.append(InForceRecord(host, 1, 0.5))
        history.in_force.append(InForceRecord(host, 2, 30.5))
    history.starts.append(StartRecord("h3", 40.0))
    history.in_force.append(InForceRecord("h3", 2, 41.0))
    for number in range(40):
        at = rng.uniform(1.0, 55.0)
        completion = number % 2 == 0
        version = "v1" if at < 30.0 else "v2"
        call = CallRecord(
            request_id=f"r{number}",
            logical=f"l{number}",
            host=rng.choice(["h1", "h2"]),
            kind="completion" if completion else "service",
            rank="first",
            idempotent=completion,
            model=MODEL if completion else "",
            sent_at=at,
            first_at=at + 0.1,
            ended_at=at + 0.2,
            outcome="not_run" if number % 5 == 4 else "answered",
            served_by=f"{MODEL}@{version}" if completion else "",
            text="text",
            expected_text="text",
        )
        history.calls.append(call)
        if call.outcome == "answered":
            run = ExecutionRecord(call.request_id, "e1", at, call.served_by)
            history.executions.append(run)
    return history


def pick(history: History, rng: random.Random, kind: str, outcome: str) -> CallRecord:
    """Return one of the calls of a kind with an outcome."""
    return rng.choice(
        [c for c in history.calls if (c.kind, c.outcome) == (kind, outcome)]
    )


def execution_of(history: History, call: CallRecord) -> ExecutionRecord:
    """Return the execution of a call."""
    return next(e for e in history.executions if e.request_id == call.request_id)


@fault("P1")
def serve_another_adapter(history: History, rng: random.Random) -> None:
    pick(history, rng, "completion", "answered").served_by = "kouga/plant-2@v1"


@fault("P1")
def run_another_version(history: History, rng: random.Random) -> None:
    call = pick(history, rng, "completion", "answered")
    execution_of(history, call).model = f"{MODEL}@v9"


@fault("P1")
def serve_replaced_version(history: History, rng: random.Random) -> None:
    call = pick(history, rng, "completion", "answered")
    call.sent_at, call.ended_at = 50.0, 50.2
    call.served_by = execution_of(history, call).model = f"{MODEL}@v1"


@fault("P1")
def ignore_named_version(history: History, rng: random.Random) -> None:
    pick(history, rng, "completion", "answered").model = f"{MODEL}@v7"


@fault("P2")
def evict_in_use(history: History, rng: random.Random) -> None:
    history.evictions_in_use = 1


@fault("P3")
def swap_answers(history: History, rng: random.Random) -> None:
    pick(history, rng, "completion", "answered").text = "text of another"


@fault("P3")
def truncate_answer(history: History, rng: random.Random) -> None:
    pick(history, rng, "completion", "answered").text = "te"


@fault("P4")
def run_call_reported_not_run(history: History, rng: random.Random) -> None:
    call = pick(history, rng, rng.choice(["service", "completion"]), "not_run")
    model = f"{MODEL}@v1" if call.sent_at < 30.0 else f"{MODEL}@v2"
    history.executions.append(ExecutionRecord(call.request_id, "e1", 9.0, model))


@fault("P5")
def run_twice(history: History, rng: random.Random) -> None:
    call = pick(history, rng, "service", "answered")
    run = copy.copy(execution_of(history, call))
    run.replica = "e2"
    history.executions.append(run)


@fault("P5")
def run_retry(history: History, rng: random.Random) -> None:
    first = pick(history, rng, "service", "answered")
    retry = copy.copy(first)
    retry.request_id = "repeat"
    history.calls.append(retry)
    history.executions.append(ExecutionRecord("repeat", "e2", first.sent_at))


@fault("P5")
def run_retry_after_unknown_outcome(history: History, rng: random.Random) -> None:
    pick(history, rng, "service", "answered").outcome = "unknown"
    run_twice(history, rng)


@fault("P6")
def send_to_leaving_replica(history: History, rng: random.Random) -> None:
    at = min(execution.at for execution in history.executions)
    history.leaving.append(LeavingRecord("e1", at))


@fault("P7")
def cut_by_shutdown(history: History, rng: random.Random) -> None:
    call = pick(history, rng, "completion", "answered")
    call.outcome = "cut"
    began = call.sent_at - 1.0
    history.shutdowns.append(ShutdownRecord("entry-1", call.host, began, began + 5.0))


@fault("P8")
def revert_settings(history: History, rng: random.Random) -> None:
    history.in_force.append(InForceRecord("h1", 1, 40.0))


@fault("P8")
def apply_settings_late(history: History, rng: random.Random) -> None:
    last = next(r for r in history.in_force if (r.host, r.revision) == ("h2", 2))
    last.at = 45.0


@fault("P8")
def never_apply_settings(history: History, rng: random.Random) -> None:
    history.in_force = [
        r for r in history.in_force if (r.host, r.revision) != ("h2", 2)
    ]


@fault("P8")
def start_without_settings(history: History, rng: random.Random) -> None:
    history.starts.append(StartRecord("h4", 40.0))


@fault("P8")
def start_with_old_settings(history: History, rng: random.Random) -> None:
    next(r for r in history.in_force if r.host == "h3").revision = 1


@fault("P6")
def report_leaving_twice(history: History, rng: random.Random) -> None:
    send_to_leaving_replica(history, rng)
    history.leaving.append(LeavingRecord("e1", 59.0))


@pytest.mark.parametrize("seed", range(5))
def test_clean_history_passes(seed: int) -> None:
    """Guard against a checker that reports violations in a correct run."""
    assert check_history(clean_history(random.Random(seed))) == []


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("name", "inject"), FAULTS, ids=[inject.__name__ for _, inject in FAULTS]
)
def test_injected_fault_is_found(name: str, inject: Fault, seed: int) -> None:
    """Guard against a check that misses its fault or reports another one."""
    rng = random.Random(seed)
    history = clean_history(rng)
    inject(history, rng)
    assert {violation.invariant for violation in check_history(history)} == {name}


def test_each_invariant_has_a_fault() -> None:
    """Guard against an invariant whose check is never tested."""
    assert {name for name, _ in FAULTS} == set(CHECKS)
