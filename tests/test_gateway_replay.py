"""Load patterns replayed against the decisions and against the versions before."""

import random

import pytest

from filbertyard.gateway import admission
from filbertyard.gateway.admission import EngineQueue
from filbertyard.gateway.placement import Candidate
from filbertyard.gateway.placement import choose_replica
from filbertyard.gateway.placement import estimate_first_event_s
from filbertyard.gateway.placement import hash_fraction
from fleetsim import Replay
from fleetsim import Workload
from fleetsim import share_in_time

# 30 engines as on the grown Rakeline site, with three quarters of what they can read.
BUSY = Workload(per_s=260.0, length_s=8.0)


def choose_least(
    adapter: str, candidates: list[Candidate], request: str
) -> Candidate | None:
    """Return the replica with the least estimate, as the version before did."""
    ordered = sorted(
        candidates, key=lambda item: hash_fraction(adapter, item.replica), reverse=True
    )
    return min(
        ordered,
        key=lambda item: (
            estimate_first_event_s(item)
            + 0.03 * (not item.is_resident) * ordered.index(item)
        ),
    )


@pytest.mark.parametrize("publish_s", [0.1, 0.4])
def test_hosts_do_not_herd_on_the_replica_that_was_least_loaded(
    publish_s: float,
) -> None:
    """Load pattern: many hosts choose from reports that are some requests old."""
    before = Replay(choose_least, publish_s=publish_s).play(BUSY)
    now = Replay(choose_replica, publish_s=publish_s).play(BUSY)
    assert share_in_time(now) > share_in_time(before)


def test_a_small_fleet_with_fresh_reports_loses_nothing() -> None:
    def play(rule: object) -> float:
        replay = Replay(
            rule, engines=9, slots=64, adapter_slots=18, kv_tokens=122748, publish_s=0.1
        )
        return share_in_time(
            replay.play(Workload(per_s=56.0, length_s=10.0, adapters=3000))
        )

    assert play(choose_replica) >= play(choose_least) - 0.01


@pytest.mark.parametrize("per_s", [220.0, 320.0])
def test_reading_follows_what_streams_show(
    per_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Load pattern: engines that must read for most of their time, and beyond it.

    Before, reading was given 0.7 of the time whatever the streams showed.
    """
    load = Workload(per_s=per_s, length_s=8.0)
    now = Replay(choose_replica, publish_s=0.2).play(load)
    monkeypatch.setattr(admission, "INITIAL_PREFILL_DUTY", 0.7)
    monkeypatch.setattr(admission, "MIN_PREFILL_DUTY", 0.7)
    monkeypatch.setattr(admission, "MAX_PREFILL_DUTY", 0.7)
    before = Replay(choose_replica, publish_s=0.2).play(load)
    assert share_in_time(now) > share_in_time(before)


class Engine:
    """Streams pause longer the more is read; what they show comes 20 streams late."""

    def __init__(self, seed: int, pause_at_full: float, needed: float) -> None:
        self.rng = random.Random(seed)
        self.queue = EngineQueue(64, 100000)
        self.running = [self.queue.prefill_duty] * 20
        self.pause_at_full = pause_at_full
        self.needed = needed
        self.turn = 0

    def end_a_stream(self) -> float:
        """Start and end a stream; return its longest pause."""
        queue, rng = self.queue, self.rng
        noise = rng.uniform(0.75, 1.05)
        pause = self.running.pop(0) * self.pause_at_full * noise
        queue.record_start(rng.random() < (self.needed - queue.prefill_duty) * 5)
        queue.record_event_gap(pause, float(self.turn - 20), float(self.turn))
        self.running.append(queue.prefill_duty)
        self.turn += 1
        return pause


@pytest.mark.parametrize("seed", range(5))
def test_without_a_queue_the_part_for_reading_keeps_pauses_short(seed: int) -> None:
    engine = Engine(seed, pause_at_full=1.2, needed=0.0)
    over, duties = 0, []
    for turn in range(6000):
        over += engine.end_a_stream() > 1.0 and turn >= 1000
        duties.append(engine.queue.prefill_duty)
    assert over <= 0.05 * 5000
    assert min(duties[1000:]) > admission.MIN_PREFILL_DUTY
    assert max(duties[1000:]) - min(duties[1000:]) < 0.25


@pytest.mark.parametrize("seed", range(5))
def test_a_queue_gets_reading_until_as_many_streams_pause_too_long(seed: int) -> None:
    """Load pattern: more to read than the engine can without long pauses."""
    engine = Engine(seed, pause_at_full=1.2, needed=0.95)
    for _ in range(1000):
        engine.end_a_stream()
    late = 0
    for _ in range(4000):
        late += engine.end_a_stream() > 1.0
    calm = Engine(seed, pause_at_full=1.2, needed=0.0)
    for _ in range(5000):
        calm.end_a_stream()
    assert engine.queue.prefill_duty > calm.queue.prefill_duty
    assert late < 0.5 * 4000


def test_an_engine_that_pauses_anyway_keeps_the_least_part_for_reading() -> None:
    engine = Engine(1, pause_at_full=9.0, needed=0.0)
    for _ in range(500):
        engine.end_a_stream()
    assert engine.queue.prefill_duty == admission.MIN_PREFILL_DUTY
