"""Which adapters one engine holds, loads and gives up; decided by its owner.

Load patterns: a tail of adapters that are nowhere, asked for all day; popularity that
moves to other adapters within seconds; new versions of adapters in use.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from .types import AdapterName
from .types import EngineReport

# Adapters that may be on their way to one engine at a time (the engine's own bound).
MAX_IN_TRANSIT = 4

# How often an adapter is asked for counts half after this time.
FREQUENCY_HALF_LIFE_S = 10.0

# A load that the engine's report does not show after this time has failed.
LOAD_LOST_S = 5.0

# A fetch takes about this long before anything was observed.
FIRST_LOAD_S = 0.25
LOAD_GAIN = 0.2

# The report shows a load this much later.
REPORT_LAG_S = 0.1

# Until a run ends that frees a place, when all places are in use.
PLACE_WAIT_S = 0.3

# Time between two loads of a queue before anything was observed.
FIRST_PACE_S = 0.1
LONGEST_PACE_S = 2.0

# Frequencies kept for each place for adapters.
TRACKED_PER_SLOT = 20


@dataclass(slots=True)
class Frequency:
    """Decayed number of requests as of `at`."""

    value: float
    at: float


@dataclass(frozen=True, slots=True)
class LoadStep:
    """Load an adapter, or a base model where the adapter's name is empty."""

    name: AdapterName
    version: int


@dataclass(frozen=True, slots=True)
class UnloadStep:
    """Give up the place of an adapter that no request uses."""

    name: AdapterName


Step = LoadStep | UnloadStep


class AdapterPlan:
    """Places of one engine; versions start at 1."""

    def __init__(self, slots: int, releases: dict[AdapterName, int]) -> None:
        self.slots = slots
        self.releases = releases
        self.models: set[str] = set()
        self.resident: dict[AdapterName, int] = {}
        self.loading: dict[AdapterName, float] = {}
        self.in_use: Counter[AdapterName] = Counter()
        self.frequencies: dict[AdapterName, Frequency] = {}
        self.load_s = FIRST_LOAD_S
        self.pace_s = FIRST_PACE_S
        self.paced_at = float("-inf")

    def touch(self, name: AdapterName, now: float) -> None:
        """Count a request for an adapter."""
        value = self.frequency(name, now) + 1.0
        self.frequencies[name] = Frequency(value, now)
        if len(self.frequencies) > TRACKED_PER_SLOT * max(1, self.slots):
            least = min(self.frequencies, key=lambda key: self.frequency(key, now))
            del self.frequencies[least]

    def frequency(self, name: AdapterName, now: float) -> float:
        """Return the decayed number of requests for an adapter."""
        found = self.frequencies.get(name)
        if found is None:
            return 0.0
        return float(found.value * 0.5 ** ((now - found.at) / FREQUENCY_HALF_LIFE_S))

    def newest(self, name: AdapterName) -> int:
        """Return the newest announced version of an adapter."""
        return self.releases.get(name, 1)

    def is_ready(self, name: AdapterName) -> bool:
        """Tell if requests for an adapter may start."""
        if not name.adapter:
            return name.model in self.models
        return self.resident.get(name, 0) >= self.newest(name)

    def acquire(self, name: AdapterName) -> None:
        """Count a use; an adapter in use is never given up."""
        self.in_use[name] += 1

    def release(self, name: AdapterName) -> None:
        """End a use."""
        self.in_use[name] -= 1
        if self.in_use[name] <= 0:
            del self.in_use[name]

    def next_step(self, waiting: Iterable[AdapterName], now: float) -> Step | None:
        """Return the next order for the waiting requests, the most pressing first."""
        wanted = list(dict.fromkeys(waiting))
        for name in wanted:
            if self.is_ready(name) or name in self.loading:
                continue
            if name.model not in self.models or not name.adapter:
                continue
            if name in self.resident:
                # An outdated version keeps its place until its last run has ended.
                if self.in_use[name]:
                    continue
                return UnloadStep(name)
            if len(self.loading) >= MAX_IN_TRANSIT:
                return None
            if len(self.resident) + len(self.loading) < self.slots:
                return LoadStep(name, self.newest(name))
            victim = self.find_victim(wanted, now)
            if victim is not None:
                return UnloadStep(victim)
        return None

    def find_victim(
        self, wanted: Iterable[AdapterName], now: float
    ) -> AdapterName | None:
        """Return the idle adapter that is asked for least, outdated ones first."""
        kept = set(wanted)
        idle = [
            name
            for name in self.resident
            if not self.in_use[name] and not (name in kept and self.is_ready(name))
        ]
        if not idle:
            return None
        return min(
            idle, key=lambda name: (self.is_ready(name), self.frequency(name, now))
        )

    def can_load(self, now: float) -> bool:
        """Tell if a place is free or can be freed."""
        if len(self.resident) + len(self.loading) < self.slots:
            return True
        return self.find_victim((), now) is not None

    def load_wait_s(self, queued: int, now: float) -> float:
        """Estimate the time until another adapter is there, behind `queued` others."""
        wait_s = REPORT_LAG_S + self.load_s + queued * self.pace_s
        return wait_s if self.can_load(now) else wait_s + PLACE_WAIT_S

    def begin_load(self, name: AdapterName, now: float) -> None:
        """Reserve a place for an adapter on its way."""
        self.loading[name] = now
        pace_s = min(LONGEST_PACE_S, now - self.paced_at)
        self.paced_at = now
        self.pace_s += LOAD_GAIN * (pace_s - self.pace_s)

    def note_idle(self, now: float) -> None:
        """Note that no adapter waits to be loaded: the pause tells no pace."""
        self.paced_at = now
        self.pace_s += LOAD_GAIN * (min(self.pace_s, FIRST_PACE_S) - self.pace_s)

    def drop(self, name: AdapterName) -> None:
        """Free the place of an adapter that the engine gave up."""
        self.resident.pop(name, None)
        self.loading.pop(name, None)

    def load_left_s(self, name: AdapterName, now: float) -> float:
        """Return the rest of a load, negative if there is none."""
        began = self.loading.get(name)
        return -1.0 if began is None else max(0.0, began + self.load_s - now)

    def is_report_due(self, now: float) -> bool:
        """Tell if a load should have ended by now."""
        return any(now >= began + self.load_s for began in self.loading.values())

    def reconcile(self, report: EngineReport, now: float) -> None:
        """Take over what the engine reports; loads that it does not know are lost."""
        self.models = set(report.models)
        for name, began in list(self.loading.items()):
            if name in report.adapters and name not in self.resident:
                self.load_s += LOAD_GAIN * (now - began - self.load_s)
                del self.loading[name]
            elif name not in report.pending and now - began > LOAD_LOST_S:
                del self.loading[name]
        self.resident = {
            name: version
            for name, version in report.adapters.items()
            if name not in self.loading
        }
        for name in report.pending:
            self.loading.setdefault(name, now)

    def reset(self) -> None:
        """Forget everything after a restart of the engine."""
        self.models.clear()
        self.resident.clear()
        self.loading.clear()
