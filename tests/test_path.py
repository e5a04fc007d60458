"""End-to-end calls through callers, entry hosts, owners and stand-ins."""

import math
import random
import time

import gevent
from gevent.pool import Pool

from filbertyard.checker import check_history
from filbertyard.localfleet import LocalFleet
from filbertyard.workload import Caller
from filbertyard.workload import plan_calls
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


def test_callers_that_keep_an_address_neither_delay_a_stop_nor_are_cut(
    drakensig: LocalFleet,
) -> None:
    """Guard against a stop that takes calls until its time limit and cuts the last."""
    leaving = drakensig.hosts["entry-1"]
    leaving.max_age_s = 0.5
    address = leaving.membership.local_member.callers
    caller = Caller(address, drakensig.history)
    # The caller does not ask for addresses again.
    caller.expires = math.inf
    calls = plan_calls(drakensig.deployment, random.Random(5))
    sending = Pool(50)
    stop = gevent.spawn(drakensig.stop_host, "entry-1")
    end = time.monotonic() + 25.0
    while not stop.ready() and time.monotonic() < end:
        sending.spawn(caller.send, next(calls))
        gevent.sleep(0.02)
    assert stop.ready()
    sending.join(timeout=30)
    history = drakensig.stop()
    assert check_history(history) == []
    stopped_at = history.shutdowns[-1].ended_at
    during = [call for call in history.calls if call.ended_at < stopped_at]
    assert {call.outcome for call in during} <= {"answered", "not_run"}
    assert any(call.cause == "host_stopping" for call in during)
