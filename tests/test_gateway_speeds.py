"""Engines of different and changing speed: estimates, admission and placement."""

from dataclasses import replace

import pytest

from filbertyard.gateway.admission import EngineQueue
from filbertyard.gateway.admission import QueuedRequest
from filbertyard.gateway.admission import max_prefill_backlog_s
from filbertyard.gateway.placement import Candidate
from filbertyard.gateway.placement import choose_replica
from filbertyard.gateway.speeds import MAX_PREFILL_S
from filbertyard.gateway.speeds import EngineSpeed
from filbertyard.gateway.types import AdapterName
from fleetsim import Replay
from fleetsim import Workload
from fleetsim import share_in_time

A = AdapterName("m0", "a")
MAX_GAP_S = 0.3


def engine_queue(*slowdowns: float) -> EngineQueue:
    """Return the queue of an engine that reported these slowdowns before time 0."""
    queue = EngineQueue(32, 100_000, max_prefill_backlog_s(MAX_GAP_S, 3), MAX_GAP_S)
    for number, slowdown in enumerate(slowdowns):
        queue.speed.record_slowdown(slowdown, float(number - len(slowdowns)))
    return queue


def enqueue(queue: EngineQueue, *prompts: int) -> None:
    for number, prompt in enumerate(prompts):
        item = QueuedRequest(str(number), A, 0, 0.0, 9.0, 9.0, 9.0, prompt, 10)
        assert queue.enqueue(item, 0.0, lambda name: True) is None


def start(queue: EngineQueue, now: float) -> str | None:
    item = queue.start_next(now, lambda name: True)
    return item.id if item is not None else None


def test_a_report_of_a_slowdown_loses_its_weight_within_a_second() -> None:
    speed = EngineSpeed()
    for number in range(40):
        speed.record_slowdown(1.6, number * 0.1)
    speed.record_slowdown(4.0, 4.0)
    assert speed.ratio(4.0) > 2.0
    assert speed.ratio(5.5) == pytest.approx(1.0, abs=0.05)
    assert speed.usual < 2.0


def test_the_first_reports_give_the_usual_slowdown() -> None:
    """Guards against a slow engine that counts as fast until much later."""
    speed = EngineSpeed()
    for slowdown in (4.0, 1.6, 1.6, 1.6):
        speed.record_slowdown(slowdown, 0.0)
    assert speed.usual == pytest.approx(2.2)


def test_prompts_wait_for_the_first_event_of_an_unread_one() -> None:
    """Guards against prompts that pile up in an engine while its machine is slow."""
    queue = engine_queue(1.0, 1.0, 2.5)
    enqueue(queue, 1500, 1500)
    assert start(queue, 0.0) == "0"
    # At its usual speed the engine would have read the first prompt long before.
    assert start(queue, 0.5) is None
    queue.record_first_event("0", 0.5)
    # Running streams get as much of the time as at the usual speed.
    assert start(queue, 0.55) is None
    assert start(queue, 0.7) == "1"


def test_a_lost_report_of_a_first_event_does_not_stop_an_engine() -> None:
    queue = engine_queue(1.0)
    enqueue(queue, 1500, 1500)
    assert start(queue, 0.0) == "0"
    assert start(queue, MAX_PREFILL_S + 0.01) == "1"


def test_engines_that_report_no_slowdown_are_paced_by_time() -> None:
    queue = engine_queue()
    enqueue(queue, 1500, 1500)
    assert start(queue, 0.0) == "0"
    assert start(queue, 0.5) == "1"


def test_a_long_prompt_waits_until_the_engine_may_be_faster() -> None:
    """Guards against events of all running streams that come late at once."""
    queue = engine_queue(*[1.6] * 20)
    enqueue(queue, 100, 3500)
    assert start(queue, 0.0) == "0"
    queue.speed.record_slowdown(4.0, 0.3)
    queue.record_first_event("0", 0.3)
    assert start(queue, 0.31) is None
    assert start(queue, 1.3) == "1"


def test_an_idle_engine_takes_a_long_prompt_while_it_is_slow() -> None:
    queue = engine_queue(*[1.6] * 20, 4.0)
    enqueue(queue, 3500)
    assert start(queue, 0.0) == "0"


def candidate(replica: str, prefill_s: float, is_prompt_long: bool) -> Candidate:
    return Candidate(
        replica,
        0.0,
        True,
        -1.0,
        0.3,
        True,
        0.0,
        0.0,
        prefill_s=prefill_s,
        is_prompt_long=is_prompt_long,
    )


def test_a_long_prompt_goes_where_it_delays_no_event_too_long() -> None:
    fast = candidate("fast", 0.12, False)
    slow = candidate("slow", 0.12, True)
    for number in range(20):
        chosen = choose_replica("a", [slow, fast], str(number))
        assert chosen is not None
        assert chosen.replica == "fast"


def test_waiting_at_a_fast_engine_is_weighed_against_reading_at_a_slow_one() -> None:
    """Guards against hosts that send all requests to the fastest engine."""
    fast = replace(candidate("fast", 0.05, False), wait_s=0.5)
    slow = candidate("slow", 0.2, False)
    chosen = choose_replica("a", [fast, slow], "1")
    assert chosen is not None
    assert chosen.replica == "slow"


@pytest.mark.parametrize("per_s", [150.0, 220.0])
def test_reported_slowdowns_make_more_streams_timely(per_s: float) -> None:
    """Engines differ by a factor of 2.7, and each is slow one seventh of the time."""

    def play(reports_slowdown: bool) -> float:
        share = 0.0
        for seed in (1, 2):
            replay = Replay(
                choose_replica,
                slots=32,
                kv_tokens=102688,
                slowness=(0.6, 1.0, 1.6),
                has_spells=True,
                reports_slowdown=reports_slowdown,
            )
            workload = Workload(per_s=per_s, length_s=8.0, objective_s=0.8)
            share += share_in_time(replay.play(workload, seed)) / 2
        return share

    assert play(True) > play(False) + 0.03


def test_a_late_first_event_stops_an_engine_for_a_short_time_only() -> None:
    """Guards against a late report that makes an idle engine refuse requests."""
    queue = engine_queue(1.0, 1.0)
    enqueue(queue, 100)
    name = start(queue, 0.0)
    assert name is not None
    queue.prefill_duty = 0.5
    queue.record_first_event(name, 6.0)
    assert queue.prefill_until - 6.0 <= MAX_PREFILL_S
