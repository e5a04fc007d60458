"""Check the invariants P1 to P8 on a recorded history."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass

from .history import CallRecord
from .history import ExecutionRecord
from .history import History

# A replica may receive new work for this long after the first report that it leaves.
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

    A call that names no version may use that of any revision that was in force while
    it ran; an accepted revision replaces its predecessor within IN_FORCE_LIMIT_S.
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
    """Look for executions on a replica that had already been leaving."""
    leaving_since: dict[str, float] = {}
    for record in history.leaving:
        leaving_since[record.replica] = min(
            record.at, leaving_since.get(record.replica, record.at)
        )
    for execution in history.executions:
        at = leaving_since.get(execution.replica)
        if at is not None and execution.at > at + LEAVING_LIMIT_S:
            late_s = execution.at - at
            yield f"{execution.replica}: new work {late_s:.1f} s after leaving began"


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
    """Check that revisions never decrease on a host and are in force in time."""
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
            yield f"{host}: the revision in force decreased: {revisions}"
        for accepted in history.accepted:
            required_from = max(accepted.at, started.get(host, accepted.at))
            limit = required_from + IN_FORCE_LIMIT_S
            if stopped.get(host, limit + 1) <= limit or history.ended_at < limit:
                continue
            if not any(at <= limit and rev >= accepted.revision for at, rev in seen):
                yield f"{host}: revision {accepted.revision} not in force in time"
