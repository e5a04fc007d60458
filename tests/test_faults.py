"""Fleets under injected faults, checked by their recorded history."""

from pathlib import Path

import gevent
import pytest

from filbertyard.calls import AdapterVersion
from filbertyard.calls import Call
from filbertyard.calls import Rank
from filbertyard.experiments.faults import run_faults
from filbertyard.localfleet import LocalFleet
from filbertyard.scheduling import QUEUE_POLICIES
from filbertyard.scheduling import QueuedCall
from filbertyard.scheduling import create_queue
from filbertyard.workload import Caller
from filbertyard.workload import PlannedCall

DEPLOYMENT = Path(__file__).resolve().parent.parent / "examples" / "drakensig"


@pytest.mark.parametrize("policy", sorted(QUEUE_POLICIES))
def test_clearing_a_queue_returns_all_its_calls(policy: str) -> None:
    """Guard against a handover that fails or leaves queued calls that never run."""
    queue = create_queue(policy)
    rank = Rank("routine", 3, 0.5, 8.0, 30.0, 1.0)
    items = []
    for number in range(6):
        adapter = AdapterVersion("kouga", f"plant-{number % 2}", "v1")
        call = Call(
            request_id=str(number),
            kind="completion",
            team="kouga" if number < 4 else "gamtoos",
            upstream="advisor",
            rank=rank,
            idempotent=True,
            revision=1,
            deadline=100.0,
            method="POST",
            path="/v1/completions",
            body=b"{}",
            adapter=adapter,
        )
        items.append(QueuedCall(call, 1, float(number)))
        assert queue.offer(items[-1], float(number)) is None
    cleared = queue.clear()
    assert sorted(item.call.request_id for item in cleared) == list("012345")
    assert len(queue) == 0


def test_host_started_without_the_key_value_service_serves(
    drakensig: LocalFleet,
) -> None:
    """Guard against new hosts that can't serve during an outage of the service."""
    drakensig.standins.key_value.faults.unavailable = True
    drakensig.standins.host_list.lag_s = 0.0
    revision = drakensig.hosts["entry-1"].snapshot().revision
    host = drakensig.add_host("entry-9")
    with gevent.Timeout(60.0):
        while not host.is_ready() or host.snapshot().revision < revision:
            gevent.sleep(0.05)
        while len(host.caller_addresses("")) < 4:
            gevent.sleep(0.05)
    caller = Caller(host.membership.local_member.callers, drakensig.history)
    caller.expires = float("inf")
    call = PlannedCall("completion", "kouga", "plant-1", "", "routine", 4, True)
    with gevent.Timeout(60.0):
        while caller.send(call).outcome != "answered":
            gevent.sleep(0.1)
    assert not host.replicas
    drakensig.standins.key_value.faults.unavailable = False
    with gevent.Timeout(60.0):
        host.registration.registered.wait()


@pytest.mark.parametrize(
    "faults",
    [
        ["kill-host", "loads-fail"],
        ["key-value-away", "engine-restart"],
        ["host-leaves", "engine-leaving"],
    ],
)
def test_pairs_of_faults_break_no_invariant(faults: list[str]) -> None:
    """Guard against a violation that only overlapping faults cause."""
    outcome = run_faults(
        DEPLOYMENT, seed=202, seconds=4.0, hosts=4, rate=20.0, only=faults
    )
    assert outcome.violations == []
    assert outcome.calls > 0
