"""End-to-end calls through callers, entry hosts, owners and stand-ins."""

from filbertyard.checker import check_history
from filbertyard.localfleet import LocalFleet
from filbertyard.workload import Caller
from filbertyard.workload import run_workload


def test_mixed_calls_keep_every_invariant(drakensig: LocalFleet) -> None:
    """Guard against violations of any invariant when no fault is injected."""
    first = drakensig.hosts["entry-1"].membership.local_member.callers
    callers = [Caller(first, drakensig.history)]
    run_workload(drakensig.deployment, callers, rate_per_s=30, duration_s=2.0, seed=7)
    history = drakensig.stop()
    assert check_history(history) == []
    answered = sum(call.outcome == "answered" for call in history.calls)
    assert answered == len(history.calls) > 30
