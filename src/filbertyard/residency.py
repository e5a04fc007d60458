"""Adapter slots of one engine: residency, use, loads and evictions."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from typing import Protocol
from typing import TypeVar

from .calls import AdapterVersion
from .scheduling import Demand

# Half-life of the decayed worth of an adapter's calls.
VALUE_HALF_LIFE_S = 60.0

# An adapter's value is the worth of the calls expected for it within this time.
VALUE_HORIZON_S = 1.0

# A rank above its share does not evict an adapter that a rank below its share used
# within this time.
PROTECTION_S = 20.0

# A pause in which this many calls were expected but none came shows with 95%
# confidence that the rate fell.
MISSED_CALLS_THRESHOLD = 3.0

# The gain of a load must exceed the value of what it evicts by this factor.
HYSTERESIS_FACTOR = 1.25

# An adapter stays resident for at least this long.
MIN_RESIDENCY_S = 2.0

# A prefetch evicts only adapters that have been resident for this long.
MIN_PREFETCH_RESIDENCY_S = 10.0

# Adapters per slot whose call frequencies are tracked, resident or not.
TRACKED_PER_SLOT = 64

# One of this many slots is drained for ranks below their share while another rank is
# above its share.
SLOTS_PER_SPARE_SLOT = 4

INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0

# Tier of permits for loads that no call waits for.
PREFETCH_TIER = 2


@dataclass(slots=True)
class Slot:
    """One resident adapter version."""

    loaded_at: float
    used_at: float
    in_use: int = 0


@dataclass(frozen=True, slots=True)
class LoadDecision:
    """Load `load`, after unloading `evict` if it is not None."""

    load: AdapterVersion
    evict: AdapterVersion | None
    worth: float
    cause: str
    tier: int = 0


class Residency(Protocol):
    """A residency policy; times are in seconds on the owner's monotonic clock."""

    slots: int
    resident: dict[AdapterVersion, Slot]
    loading: set[AdapterVersion]
    # New versions that are not loaded yet, with the version that they replace.
    rollouts: dict[AdapterVersion, AdapterVersion]

    def touch(
        self, adapter: AdapterVersion, worth: float, now: float, tier: int = 0
    ) -> None:
        """Record one call for an adapter version."""

    def acquire(self, adapter: AdapterVersion, now: float) -> bool:
        """Mark a resident adapter as in use; return False if it is not resident."""

    def release(self, adapter: AdapterVersion) -> None:
        """End one use of an adapter."""

    def is_ready(self, adapter: AdapterVersion) -> bool:
        """Tell if new uses of an adapter may begin."""

    def next_load(
        self, waiting: Mapping[AdapterVersion, Demand], now: float
    ) -> LoadDecision | None:
        """Decide on the next load for the waiting calls."""

    def begin_load(self, decision: LoadDecision) -> None:
        """Reserve the slot of a load."""

    def finish_load(self, decision: LoadDecision, loaded: bool, now: float) -> None:
        """Record the outcome of a load."""

    def back_off(self, adapter: AdapterVersion, now: float) -> None:
        """Delay the retry of a failed load."""

    def reconcile(self, reported: dict[AdapterVersion, int], now: float) -> None:
        """Update the slot table from the engine's report."""

    def supersede(self, old: AdapterVersion, new: AdapterVersion, now: float) -> None:
        """Prepare for the calls for a new version that replaces an old one."""

    def resident_values(self, now: float) -> dict[AdapterVersion, float]:
        """Return the values of the resident adapters that still get calls."""

    def expect(self, adapter: AdapterVersion, value: float, now: float) -> None:
        """Prepare for the calls that another replica got for an adapter."""


RESIDENCY_POLICIES: dict[str, Callable[[int], Residency]] = {}


R = TypeVar("R", bound=Callable[[int], Residency])


def residency_policy(name: str) -> Callable[[R], R]:
    """Register a residency policy under `name`."""

    def register(cls: R) -> R:
        RESIDENCY_POLICIES[name] = cls
        return cls

    return register


def create_residency(policy: str, slots: int) -> Residency:
    """Return an empty slot table of the policy `policy`."""
    return RESIDENCY_POLICIES[policy](slots)


@residency_policy("naive")
class LeastRecentlyUsed:
    """Load on demand and evict the least recently used idle adapter."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.resident: dict[AdapterVersion, Slot] = {}
        self.loading: set[AdapterVersion] = set()
        self.rollouts: dict[AdapterVersion, AdapterVersion] = {}

    def touch(
        self, adapter: AdapterVersion, worth: float, now: float, tier: int = 0
    ) -> None:
        """Record one call for an adapter version."""
        slot = self.resident.get(adapter)
        if slot is not None:
            slot.used_at = now

    def acquire(self, adapter: AdapterVersion, now: float) -> bool:
        """Mark a resident adapter as in use; return False if it is not resident."""
        slot = self.resident.get(adapter)
        if slot is None:
            return False
        slot.in_use += 1
        slot.used_at = now
        return True

    def release(self, adapter: AdapterVersion) -> None:
        """End one use of an adapter."""
        slot = self.resident.get(adapter)
        if slot is not None and slot.in_use > 0:
            slot.in_use -= 1

    def is_ready(self, adapter: AdapterVersion) -> bool:
        """Tell if new uses of an adapter may begin."""
        return adapter in self.resident

    def next_load(
        self, waiting: Mapping[AdapterVersion, Demand], now: float
    ) -> LoadDecision | None:
        """Decide on the next load for the waiting calls."""
        for adapter, demand in waiting.items():
            if adapter in self.resident or adapter in self.loading:
                continue
            if len(self.resident) + len(self.loading) < self.slots:
                return LoadDecision(adapter, None, demand.worth, "waiting calls")
            victim = self.find_victim(waiting)
            if victim is not None:
                return LoadDecision(adapter, victim, demand.worth, "waiting calls")
        return None

    def find_victim(
        self, waiting: Mapping[AdapterVersion, Demand]
    ) -> AdapterVersion | None:
        """Return the least recently used idle adapter that no call waits for."""
        idle = [
            (slot.used_at, adapter)
            for adapter, slot in self.resident.items()
            if slot.in_use == 0 and adapter not in waiting
        ]
        return min(idle)[1] if idle else None

    def begin_load(self, decision: LoadDecision) -> None:
        """Reserve the slot of a load."""
        if decision.evict is not None:
            del self.resident[decision.evict]
        self.loading.add(decision.load)

    def finish_load(self, decision: LoadDecision, loaded: bool, now: float) -> None:
        """Record the outcome of a load."""
        self.loading.discard(decision.load)
        if loaded:
            self.resident.setdefault(decision.load, Slot(now, now))

    def back_off(self, adapter: AdapterVersion, now: float) -> None:
        """Retry a failed load at once."""

    def reconcile(self, reported: dict[AdapterVersion, int], now: float) -> None:
        """Update the slot table from the engine's report."""
        for adapter in list(self.resident):
            if adapter not in reported and self.resident[adapter].in_use == 0:
                del self.resident[adapter]
        for adapter in reported:
            if adapter not in self.loading:
                self.resident.setdefault(adapter, Slot(now, now))

    def supersede(self, old: AdapterVersion, new: AdapterVersion, now: float) -> None:
        """Load a new version only when calls wait for it."""

    def resident_values(self, now: float) -> dict[AdapterVersion, float]:
        """Return nothing: this policy does not value adapters."""
        return {}

    def expect(self, adapter: AdapterVersion, value: float, now: float) -> None:
        """Load an adapter only when calls wait for it."""


@dataclass(slots=True)
class Frequency:
    """Decayed worth of the calls for one adapter version, as of `updated_at`."""

    worth: float
    updated_at: float
    tier: int = 0
    last_worth: float = 0.0


@dataclass(slots=True)
class Backoff:
    """Time until which a failed load is not retried."""

    until: float
    pause_s: float


@residency_policy("shares")
class ValueResidency(LeastRecentlyUsed):
    """Load the adapter with the most waiting worth; evict the one of least value."""

    def __init__(self, slots: int) -> None:
        super().__init__(slots)
        self.frequencies: dict[AdapterVersion, Frequency] = {}
        self.backoffs: dict[AdapterVersion, Backoff] = {}
        self.draining: set[AdapterVersion] = set()
        self.random = random.Random(0)

    def touch(
        self, adapter: AdapterVersion, worth: float, now: float, tier: int = 0
    ) -> None:
        """Record one call for an adapter version."""
        super().touch(adapter, worth, now)
        frequency = self.frequencies.get(adapter)
        if frequency is None:
            self.track(adapter, Frequency(worth, now, tier, worth), now)
            return
        frequency.tier = tier
        frequency.last_worth = worth
        frequency.worth = decayed_worth(frequency, now) + worth
        frequency.updated_at = now

    def track(self, adapter: AdapterVersion, frequency: Frequency, now: float) -> None:
        """Keep a frequency for an adapter unless a higher one is known."""
        known = self.frequencies.get(adapter)
        if known is not None and decayed_worth(known, now) >= decayed_worth(
            frequency, now
        ):
            return
        if known is None and (
            len(self.frequencies) >= TRACKED_PER_SLOT * max(1, self.slots)
        ):
            self.prune_frequencies(now)
        self.frequencies[adapter] = frequency

    def supersede(self, old: AdapterVersion, new: AdapterVersion, now: float) -> None:
        """Load a new version with the frequency of the old one; both keep a slot."""
        frequency = self.frequencies.get(old)
        if frequency is not None:
            self.track(new, replace(frequency), now)
        # A version that was replaced before it was loaded is skipped.
        kept = self.rollouts.pop(old, old)
        if old not in self.resident:
            self.frequencies.pop(old, None)
        if new not in self.resident:
            self.rollouts[new] = kept

    def resident_values(self, now: float) -> dict[AdapterVersion, float]:
        """Return the values of the resident adapters that still get calls.

        Adapters that a rank above its share used last are left out.
        """
        values = {
            adapter: self.value(adapter, now)
            for adapter in self.resident
            if not self.is_excess(adapter)
        }
        return {adapter: value for adapter, value in values.items() if value > 0}

    def expect(self, adapter: AdapterVersion, value: float, now: float) -> None:
        """Value an adapter as another replica did, so that it is prefetched."""
        worth = value / VALUE_HORIZON_S * VALUE_HALF_LIFE_S / math.log(2)
        self.track(adapter, Frequency(worth, now, 0, worth), now)

    def prune_frequencies(self, now: float) -> None:
        """Drop the lower half of the frequencies of adapters that are not resident."""
        others = [a for a in self.frequencies if a not in self.resident]
        others.sort(key=lambda adapter: decayed_worth(self.frequencies[adapter], now))
        for adapter in others[: len(others) // 2 + 1]:
            del self.frequencies[adapter]

    def value(self, adapter: AdapterVersion, now: float) -> float:
        """Return the worth expected for an adapter within the horizon."""
        frequency = self.frequencies.get(adapter)
        if frequency is None:
            return 0.0
        rate = decayed_worth(frequency, now) * math.log(2) / VALUE_HALF_LIFE_S
        idle_s = now - frequency.updated_at
        if idle_s > 0:
            # At a higher rate another call would have come with a probability of 95%.
            rate = min(rate, MISSED_CALLS_THRESHOLD * frequency.last_worth / idle_s)
        return rate * VALUE_HORIZON_S

    def is_ready(self, adapter: AdapterVersion) -> bool:
        """Tell if new uses of an adapter may begin."""
        return adapter in self.resident and adapter not in self.draining

    def next_load(
        self, waiting: Mapping[AdapterVersion, Demand], now: float
    ) -> LoadDecision | None:
        """Decide on the load with the most waiting worth, the lower tier first."""
        self.drain_spare_slots(waiting, now)
        wanted = [
            (demand.tier, -demand.worth, adapter)
            for adapter, demand in waiting.items()
            if adapter not in self.resident
            and adapter not in self.loading
            and not self.is_backing_off(adapter, now)
        ]
        if not wanted:
            return self.prefetch(waiting, now)
        for tier, negative_worth, adapter in sorted(wanted):
            worth = -negative_worth
            if len(self.resident) + len(self.loading) < self.slots:
                return LoadDecision(adapter, None, worth, "waiting calls", tier)
            victim = self.find_least_valued(waiting, now, MIN_RESIDENCY_S, tier)
            if victim is None:
                continue
            gain = worth + self.value(adapter, now)
            if gain > HYSTERESIS_FACTOR * self.value(victim, now):
                return LoadDecision(adapter, victim, worth, "waiting calls", tier)
        return None

    def drain_spare_slots(
        self, waiting: Mapping[AdapterVersion, Demand], now: float
    ) -> None:
        """Drain slots that can be evicted at once while a rank is above its share.

        Otherwise a load for another rank would wait until running calls finish.
        """
        self.draining = {
            adapter
            for adapter in self.draining
            if adapter in self.resident
            and (adapter not in waiting or waiting[adapter].tier > 0)
        }
        if not any(demand.tier > 0 for demand in waiting.values()):
            self.draining.clear()
            return
        if len(self.draining) >= self.slots // SLOTS_PER_SPARE_SLOT:
            return
        if len(self.resident) + len(self.loading) < self.slots:
            return
        candidates = [
            (slot.in_use, self.value(adapter, now), adapter)
            for adapter, slot in self.resident.items()
            if now - slot.loaded_at >= MIN_RESIDENCY_S
            and adapter not in self.draining
            and self.is_excess(adapter)
            and (adapter not in waiting or waiting[adapter].tier > 0)
        ]
        if candidates:
            self.draining.add(min(candidates)[2])

    def prefetch(
        self, waiting: Mapping[AdapterVersion, Demand], now: float
    ) -> LoadDecision | None:
        """Decide on a load that no call waits for, or return None."""
        if self.loading:
            return None
        rollout = self.prefetch_new_version(waiting, now)
        if rollout is not None:
            return rollout
        values = [
            (self.value(adapter, now), adapter)
            for adapter in self.frequencies
            if adapter not in self.resident and not self.is_backing_off(adapter, now)
        ]
        if not values:
            return None
        value, adapter = max(values)
        if len(self.resident) < self.slots:
            return LoadDecision(adapter, None, value, "prefetch", PREFETCH_TIER)
        victim = self.find_least_valued(
            waiting, now, MIN_PREFETCH_RESIDENCY_S, PREFETCH_TIER
        )
        if victim is None or value <= HYSTERESIS_FACTOR * self.value(victim, now):
            return None
        return LoadDecision(adapter, victim, value, "prefetch", PREFETCH_TIER)

    def prefetch_new_version(
        self, waiting: Mapping[AdapterVersion, Demand], now: float
    ) -> LoadDecision | None:
        """Decide on the load of a new version; the old version stays resident."""
        self.rollouts = {
            new: old
            for new, old in self.rollouts.items()
            if old in self.resident and new not in self.resident
        }
        values = [
            (self.value(adapter, now), adapter)
            for adapter in self.rollouts
            if not self.is_backing_off(adapter, now)
        ]
        if not values:
            return None
        value, adapter = max(values)
        if len(self.resident) < self.slots:
            return LoadDecision(adapter, None, value, "rollout", PREFETCH_TIER)
        kept = set(self.rollouts.values())
        # All calls of the old version move to the new one, so that the longer residency
        # and the hysteresis of other prefetches are not required.
        victim = self.find_least_valued(
            waiting, now, MIN_RESIDENCY_S, PREFETCH_TIER, kept
        )
        if victim is None or value <= self.value(victim, now):
            return None
        return LoadDecision(adapter, victim, value, "rollout", PREFETCH_TIER)

    def find_least_valued(
        self,
        waiting: Mapping[AdapterVersion, Demand],
        now: float,
        min_residency_s: float,
        tier: int,
        kept: Collection[AdapterVersion] = (),
    ) -> AdapterVersion | None:
        """Return the idle adapter with the least value that no call waits for."""
        drained = [a for a in self.draining if self.resident[a].in_use == 0]
        if tier == 0 and drained:
            return drained[0]
        idle = [
            (
                tier == 0 and not self.is_excess(adapter),
                self.value(adapter, now),
                adapter,
            )
            for adapter, slot in self.resident.items()
            if slot.in_use == 0
            and adapter not in waiting
            and adapter not in self.draining
            and adapter not in kept
            and now - slot.loaded_at >= min_residency_s
            and (tier != 1 or not self.is_protected(adapter, now))
        ]
        return min(idle)[2] if idle else None

    def is_excess(self, adapter: AdapterVersion) -> bool:
        """Tell if a rank above its share used an adapter last."""
        frequency = self.frequencies.get(adapter)
        return frequency is not None and frequency.tier > 0

    def is_protected(self, adapter: AdapterVersion, now: float) -> bool:
        """Tell if a rank below its share used an adapter recently.

        Such an adapter is not evicted for a rank above its share.
        """
        frequency = self.frequencies.get(adapter)
        if frequency is None or frequency.tier > 0:
            return False
        return now - frequency.updated_at < PROTECTION_S

    def is_backing_off(self, adapter: AdapterVersion, now: float) -> bool:
        """Tell if a failed load must not be retried yet."""
        backoff = self.backoffs.get(adapter)
        return backoff is not None and now < backoff.until

    def begin_load(self, decision: LoadDecision) -> None:
        """Reserve the slot of a load."""
        if decision.evict is not None:
            self.draining.discard(decision.evict)
        super().begin_load(decision)

    def finish_load(self, decision: LoadDecision, loaded: bool, now: float) -> None:
        """Record the outcome of a load."""
        super().finish_load(decision, loaded, now)
        if loaded:
            self.backoffs.pop(decision.load, None)

    def back_off(self, adapter: AdapterVersion, now: float) -> None:
        """Delay the retry of a failed load, twice as long after each failure."""
        before = self.backoffs.get(adapter)
        pause = INITIAL_BACKOFF_S if before is None else before.pause_s * 2
        pause = min(pause, MAX_BACKOFF_S)
        until = now + pause * self.random.uniform(0.75, 1.25)
        self.backoffs[adapter] = Backoff(until, pause)


def decayed_worth(frequency: Frequency, now: float) -> float:
    """Return the worth of a frequency, decayed to `now`."""
    elapsed = now - frequency.updated_at
    return float(frequency.worth * 0.5 ** (elapsed / VALUE_HALF_LIFE_S))
