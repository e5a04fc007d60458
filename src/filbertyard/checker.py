"""Decide the invariants P1 to P8 over a recorded history."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass

from .history import CallRecord
from .history import ExecutionRecord
from .history import History

# A leaving upstream may receive new work for this long after the first sign.
LEAVING_LIMIT_S = 3.0

# An accepted revision must be in force on every live host within this time.
IN_FORCE_LIMIT_S = 5.0


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken invariant."""

    invariant: str
    detail: str


Check = Callable[[History], Iterator[str]]

CHECKS: dict[str, Check] = {}

INVARIANT_TEXTS: dict[str, str] = {}


def invariant(name: str, text: str) -> Callable[[Check], Check]:
    """Register the check of one invariant."""

    def register(check: Check) -> Check:
        CHECKS[name] = check
        INVARIANT_TEXTS[name] = text
        return check

    return register


def check_history(history: History) -> list[Violation]:
    """Return all violations in a history."""
    return [
        Violation(name, detail)
        for name, check in CHECKS.items()
        for detail in check(history)
    ]


def executions_by_request(history: History) -> dict[str, list[ExecutionRecord]]:
    """Return the executions of each request."""
    found: dict[str, list[ExecutionRecord]] = defaultdict(list)
    for execution in history.executions:
        found[execution.request_id].append(execution)
    return found


def allowed_models(history: History, call: CallRecord) -> set[str]:
    """Return the adapter versions that may serve a call.

    A call that names no version may be decided by any revision that was in force
    while it ran; an accepted revision replaces the one before within the limit.
    """
    if "@" in call.model:
        return {call.model}
    allowed: set[str] = set()
    for accepted in history.accepted:
        version = accepted.versions.get(call.model)
        if version is None or accepted.at > call.ended_at:
            continue
        if accepted.at + IN_FORCE_LIMIT_S < call.sent_at:
            allowed.clear()
        allowed.add(f"{call.model}@{version}")
    return allowed


@invariant("P1", "each request runs on the adapter and version it names")
def check_adapter(history: History) -> Iterator[str]:
    """Compare each answer and each execution with the requested model."""
    executions = executions_by_request(history)
    for call in history.calls:
        if call.kind != "completion":
            continue
        allowed = allowed_models(history, call)
        if call.outcome == "answered" and call.served_by not in allowed:
            yield f"{call.request_id}: asked {call.model}, served by {call.served_by}"
        for execution in executions[call.request_id]:
            if execution.model not in allowed:
                yield f"{call.request_id}: asked {call.model}, ran {execution.model}"


@invariant("P2", "an adapter in use by a request is never evicted")
def check_evictions(history: History) -> Iterator[str]:
    """Report evictions that the engines counted while the adapter was in use."""
    if history.evictions_in_use:
        yield f"{history.evictions_in_use} steps ran without their adapter"


@invariant("P3", "a caller gets the whole answer to its own request")
def check_answers(history: History) -> Iterator[str]:
    """Compare the text of each complete answer with what its engine generates."""
    for call in history.calls:
        if call.outcome == "answered" and call.text != call.expected_text:
            yield (
                f"{call.request_id}: got {call.text[:60]!r}, "
                f"expected {call.expected_text[:60]!r}"
            )


@invariant("P4", "a request that is reported as not run was not run")
def check_not_run(history: History) -> Iterator[str]:
    """Look for executions of requests that were reported as not run."""
    executions = executions_by_request(history)
    for call in history.calls:
        if call.outcome == "not_run" and executions[call.request_id]:
            where = executions[call.request_id][0].replica
            yield f"{call.request_id}: reported not run ({call.cause}), ran on {where}"


@invariant("P5", "a non-idempotent request runs at most once")
def check_once(history: History) -> Iterator[str]:
    """Count the executions of each logical non-idempotent call."""
    executions = executions_by_request(history)
    counts: dict[str, int] = defaultdict(int)
    for call in history.calls:
        if not call.idempotent:
            counts[call.logical] += len(executions[call.request_id])
    for logical, count in counts.items():
        if count > 1:
            yield f"{logical}: ran {count} times"


@invariant("P6", "a leaving upstream receives no new work after a few seconds")
def check_leaving(history: History) -> Iterator[str]:
    """Look for executions on a replica that began to leave earlier."""
    left: dict[str, float] = {}
    for record in history.leaving:
        left[record.replica] = min(record.at, left.get(record.replica, record.at))
    for execution in history.executions:
        at = left.get(execution.replica)
        if at is not None and execution.at > at + LEAVING_LIMIT_S:
            late_s = execution.at - at
            yield f"{execution.replica}: new work {late_s:.1f} s after the first sign"


@invariant("P7", "a graceful shutdown cuts no request")
def check_shutdowns(history: History) -> Iterator[str]:
    """Look for calls that ended without an answer on a host that shut down."""
    for shutdown in history.shutdowns:
        for call in history.calls:
            if call.host != shutdown.address or call.outcome != "cut":
                continue
            if call.ended_at >= shutdown.began_at and call.sent_at <= shutdown.ended_at:
                yield f"{call.request_id}: cut while {shutdown.host} shut down"


@invariant("P8", "an accepted configuration is in force everywhere and never reverts")
def check_settings(history: History) -> Iterator[str]:
    """Check that revisions grow on each host and arrive within the limit."""
    by_host: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for record in history.in_force:
        by_host[record.host].append((record.at, record.revision))
    stopped = {record.host: record.at for record in history.kills}
    stopped.update({record.host: record.began_at for record in history.shutdowns})
    started = {record.host: record.at for record in history.starts}
    for host in started:
        by_host.setdefault(host, [])
    for host, seen in by_host.items():
        revisions = [revision for _, revision in seen]
        if revisions != sorted(revisions):
            yield f"{host}: revisions in force went back: {revisions}"
        for accepted in history.accepted:
            begins = max(accepted.at, started.get(host, accepted.at))
            limit = begins + IN_FORCE_LIMIT_S
            if stopped.get(host, limit + 1) <= limit or history.ended_at < limit:
                continue
            if not any(at <= limit and rev >= accepted.revision for at, rev in seen):
                yield f"{host}: revision {accepted.revision} not in force in time"
