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
MAX_CONCURRENT_LOADS = 4

# How often an adapter is asked for counts half after this time.
FREQUENCY_HALF_LIFE_S = 10.0

# A load that the engine's report does not show after this time has failed.
LOAD_TIMEOUT_S = 5.0

# A load takes about this long before anything was observed: from the store, and of an
# adapter that the engine held a short time ago.
INITIAL_FETCH_S = 0.26
INITIAL_RELOAD_S = 0.04
MIN_LOAD_S = 0.01

# Requests are sent when their load should have ended; its report comes later. An
# engine that refuses one had not finished: the expected time grows by the first
# figure, and shrinks by the second with each request that ran.
LOAD_TIME_INCREASE_S = 0.02
LOAD_TIME_DECREASE_S = 0.002

# Adapters that an engine held and gave up, which it still finds near at hand.
MAX_RECENTLY_UNLOADED = 100

# The report shows a load this much later.
REPORT_LAG_S = 0.12

# Until a run ends that frees a place, when all places are in use.
SLOT_WAIT_S = 0.3

# Time between two loads of a queue before anything was observed.
INITIAL_LOAD_INTERVAL_S = 0.1
MAX_LOAD_INTERVAL_S = 0.25
LOAD_INTERVAL_EWMA_WEIGHT = 0.2

# Frequencies kept for each place for adapters.
TRACKED_PER_SLOT = 20


@dataclass(slots=True)
class Frequency:
    """Decayed number of requests as of `at`."""

    value: float
    at: float


@dataclass(slots=True)
class PendingLoad:
    """A load under way; times are in seconds.

    `is_confirming` tells that a request came too early: only a report ends the load.
    """

    started_at: float
    version: int
    expected_s: float
    is_reload: bool
    awaits_report: bool = False


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
        self.loading: dict[AdapterName, PendingLoad] = {}
        self.unloading: set[AdapterName] = set()
        self.recently_unloaded: dict[AdapterName, None] = {}
        self.in_use: Counter[AdapterName] = Counter()
        self.frequencies: dict[AdapterName, Frequency] = {}
        self.fetch_s = INITIAL_FETCH_S
        self.reload_s = INITIAL_RELOAD_S
        self.load_interval_s = INITIAL_LOAD_INTERVAL_S
        self.last_load_at = float("-inf")

    def record_request(self, name: AdapterName, now: float) -> None:
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

    def latest_version(self, name: AdapterName) -> int:
        """Return the newest announced version of an adapter."""
        return self.releases.get(name, 1)

    def has_latest(self, name: AdapterName) -> bool:
        """Tell if the engine is known to hold the newest version of an adapter."""
        if not name.adapter:
            return name.model in self.models
        if name in self.unloading:
            return False
        return self.resident.get(name, 0) >= self.latest_version(name)

    def is_ready(self, name: AdapterName, now: float) -> bool:
        """Tell if requests for an adapter may start: held, or its load is over."""
        if self.has_latest(name):
            return True
        load = self.loading.get(name)
        return (
            load is not None
            and not load.awaits_report
            and load.version >= self.latest_version(name)
            and now >= load.started_at + load.expected_s
        )

    def record_start(self, name: AdapterName) -> None:
        """Learn from a request that ran on an adapter whose load was not reported."""
        load = self.loading.get(name)
        if load is not None:
            self.adjust_load_time(load, -LOAD_TIME_DECREASE_S)

    def record_early_request(self, name: AdapterName) -> bool:
        """Learn from a request that came before the end of a load; tell if it did."""
        load = self.loading.get(name)
        if load is None:
            return False
        if not load.awaits_report:
            load.awaits_report = True
            self.adjust_load_time(load, LOAD_TIME_INCREASE_S)
        return True

    def adjust_load_time(self, load: PendingLoad, change_s: float) -> None:
        """Change the expected time of loads of one kind."""
        if load.is_reload:
            self.reload_s = max(MIN_LOAD_S, self.reload_s + change_s)
        else:
            self.fetch_s = max(MIN_LOAD_S, self.fetch_s + change_s)

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
        if self.unloading:
            # The engine takes no other order until it has given the place up.
            return None
        wanted = list(dict.fromkeys(waiting))
        for name in wanted:
            if self.has_latest(name) or name in self.loading:
                continue
            if name.model not in self.models or not name.adapter:
                continue
            if name in self.resident:
                # An outdated version keeps its place until its last run has ended.
                if self.in_use[name] or name in self.unloading:
                    continue
                return UnloadStep(name)
            if len(self.loading) >= MAX_CONCURRENT_LOADS:
                return None
            if len(self.resident) + len(self.loading) < self.slots:
                return LoadStep(name, self.latest_version(name))
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
            if not self.in_use[name]
            and name not in self.unloading
            and not (name in kept and self.has_latest(name))
        ]
        if not idle:
            return None
        return min(
            idle, key=lambda name: (self.has_latest(name), self.frequency(name, now))
        )

    def can_load(self, now: float) -> bool:
        """Tell if a place is free or can be freed."""
        if len(self.resident) + len(self.loading) < self.slots:
            return True
        return self.find_victim((), now) is not None

    def load_wait_s(self, queued: int, now: float) -> float:
        """Estimate the time until another adapter is there, behind `queued` others."""
        wait_s = self.fetch_s + queued * self.load_interval_s
        return wait_s if self.can_load(now) else wait_s + SLOT_WAIT_S

    def begin_load(self, name: AdapterName, now: float) -> float:
        """Reserve a place for an adapter; return the time that its load should take."""
        is_reload = name in self.recently_unloaded
        expected_s = self.reload_s if is_reload else self.fetch_s
        version = self.latest_version(name)
        self.loading[name] = PendingLoad(now, version, expected_s, is_reload)
        load_interval_s = min(MAX_LOAD_INTERVAL_S, now - self.last_load_at)
        self.last_load_at = now
        self.load_interval_s += LOAD_INTERVAL_EWMA_WEIGHT * (
            load_interval_s - self.load_interval_s
        )
        return expected_s

    def record_idle(self, now: float) -> None:
        """Note that no adapter waits to be loaded: the pause tells no pace."""
        self.last_load_at = now
        self.load_interval_s += LOAD_INTERVAL_EWMA_WEIGHT * (
            min(self.load_interval_s, INITIAL_LOAD_INTERVAL_S) - self.load_interval_s
        )

    def begin_unload(self, name: AdapterName) -> None:
        """Keep the place of an adapter that the engine gives up after its runs."""
        self.unloading.add(name)

    def remove(self, name: AdapterName) -> None:
        """Free the place of an adapter that the engine gave up."""
        if self.resident.pop(name, None) is not None:
            self.recently_unloaded.pop(name, None)
            self.recently_unloaded[name] = None
            if len(self.recently_unloaded) > MAX_RECENTLY_UNLOADED:
                del self.recently_unloaded[next(iter(self.recently_unloaded))]
        self.loading.pop(name, None)

    def load_left_s(self, name: AdapterName, now: float) -> float:
        """Return the rest of a load, negative if there is none."""
        load = self.loading.get(name)
        if load is None:
            return -1.0
        return max(0.0, load.started_at + load.expected_s - now)

    def is_report_due(self, now: float) -> bool:
        """Tell if a load should have ended by now."""
        return any(now >= self.report_due_at(load) for load in self.loading.values())

    def report_due_at(self, load: PendingLoad) -> float:
        """Return when a report should show the end of a load."""
        return load.started_at + load.expected_s + REPORT_LAG_S

    def reconcile(self, report: EngineReport, now: float) -> None:
        """Take over what the engine reports; loads that it does not know are lost."""
        self.models = set(report.models)
        for name, load in list(self.loading.items()):
            held = report.adapters.get(name, 0)
            if (
                held >= load.version
                and name not in report.pending
                or name not in report.pending
                and now - load.started_at > LOAD_TIMEOUT_S
            ):
                del self.loading[name]
        self.resident = {
            name: version
            for name, version in report.adapters.items()
            if name not in self.loading
        }
        self.unloading &= set(self.resident)
        for name, version in report.pending.items():
            if name not in self.loading:
                self.loading[name] = PendingLoad(
                    now, version, self.fetch_s, is_reload=False, awaits_report=True
                )

    def reset(self) -> None:
        """Forget everything after a restart of the engine."""
        self.models.clear()
        self.resident.clear()
        self.loading.clear()
        self.unloading.clear()
        self.recently_unloaded.clear()
