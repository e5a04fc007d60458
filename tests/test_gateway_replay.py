"""Simulated workloads that compare the gateway's decisions with simpler ones."""

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

# Three quarters of the prefill capacity of 30 engines of the enlarged Rakeline site.
BUSY = Workload(per_s=260.0, length_s=8.0)


def choose_lowest(
    adapter: str, candidates: list[Candidate], request: str
) -> Candidate | None:
    """Return the replica with the lowest estimate, the baseline without spreading."""
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
    """Many hosts choose from reports that miss the latest requests."""
    baseline = Replay(choose_lowest, publish_s=publish_s).play(BUSY)
    spread = Replay(choose_replica, publish_s=publish_s).play(BUSY)
    assert share_in_time(spread) > share_in_time(baseline)


def test_spreading_costs_nothing_in_a_small_fleet_with_fresh_reports() -> None:
    def play(choose: object) -> float:
        replay = Replay(
            choose,
            engines=9,
            slots=64,
            adapter_slots=18,
            kv_tokens=122748,
            publish_s=0.1,
        )
        return share_in_time(
            replay.play(Workload(per_s=56.0, length_s=10.0, adapters=3000))
        )

    assert play(choose_replica) >= play(choose_lowest) - 0.01


@pytest.mark.parametrize("per_s", [220.0, 320.0])
def test_an_adaptive_prefill_duty_beats_a_fixed_one(
    per_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Prefill takes most of the engines' time, or more than all of it.

    The baseline is a fixed prefill duty of 0.7.
    """
    workload = Workload(per_s=per_s, length_s=8.0)
    adaptive = Replay(choose_replica, publish_s=0.2).play(workload)
    monkeypatch.setattr(admission, "INITIAL_PREFILL_DUTY", 0.7)
    monkeypatch.setattr(admission, "MIN_PREFILL_DUTY", 0.7)
    monkeypatch.setattr(admission, "MAX_PREFILL_DUTY", 0.7)
    fixed = Replay(choose_replica, publish_s=0.2).play(workload)
    assert share_in_time(adaptive) > share_in_time(fixed)


class Engine:
    """A simulated engine whose event gaps grow with the prefill duty.

    A stream's gap depends on the duty at its start, 20 streams before its end. Streams
    start late while the duty is below `needed_duty`.
    """

    def __init__(self, seed: int, full_duty_gap: float, needed_duty: float) -> None:
        self.rng = random.Random(seed)
        self.queue = EngineQueue(64, 100000)
        self.running = [self.queue.prefill_duty] * 20
        self.full_duty_gap = full_duty_gap
        self.needed_duty = needed_duty
        self.turn = 0

    def run_stream(self) -> float:
        """Start and end a stream; return its longest gap as a ratio of the maximum."""
        queue, rng = self.queue, self.rng
        noise = rng.uniform(0.75, 1.05)
        gap_ratio = self.running.pop(0) * self.full_duty_gap * noise
        queue.record_start(rng.random() < (self.needed_duty - queue.prefill_duty) * 5)
        queue.record_event_gap(gap_ratio, float(self.turn - 20), float(self.turn))
        self.running.append(queue.prefill_duty)
        self.turn += 1
        return gap_ratio


@pytest.mark.parametrize("seed", range(5))
def test_without_late_starts_the_prefill_duty_keeps_gaps_short(seed: int) -> None:
    engine = Engine(seed, full_duty_gap=1.2, needed_duty=0.0)
    long_gaps, duties = 0, []
    for turn in range(6000):
        long_gaps += engine.run_stream() > 1.0 and turn >= 1000
        duties.append(engine.queue.prefill_duty)
    assert long_gaps <= 0.05 * 5000
    assert min(duties[1000:]) > admission.MIN_PREFILL_DUTY
    assert max(duties[1000:]) - min(duties[1000:]) < 0.25


@pytest.mark.parametrize("seed", range(5))
def test_late_starts_raise_the_prefill_duty_at_the_cost_of_long_gaps(seed: int) -> None:
    """There is more prefill than the engine can do without long gaps."""
    engine = Engine(seed, full_duty_gap=1.2, needed_duty=0.95)
    for _ in range(1000):
        engine.run_stream()
    long_gaps = 0
    for _ in range(4000):
        long_gaps += engine.run_stream() > 1.0
    unloaded = Engine(seed, full_duty_gap=1.2, needed_duty=0.0)
    for _ in range(5000):
        unloaded.run_stream()
    assert engine.queue.prefill_duty > unloaded.queue.prefill_duty
    assert long_gaps < 0.5 * 4000


def test_the_prefill_duty_has_a_minimum_when_gaps_are_always_long() -> None:
    engine = Engine(1, full_duty_gap=9.0, needed_duty=0.0)
    for _ in range(500):
        engine.run_stream()
    assert engine.queue.prefill_duty == admission.MIN_PREFILL_DUTY
