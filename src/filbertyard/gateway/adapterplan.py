"""The owner's plan for the adapters of one engine: which to load and to unload.

It covers a long tail of adapters that are resident nowhere, popularity that shifts to
other adapters within seconds, and new versions of adapters in use.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from .types import AdapterName
from .types import EngineReport

# The engine's own limit.
MAX_CONCURRENT_LOADS = 4

# Half-life of the request frequencies of adapters.
FREQUENCY_HALF_LIFE_S = 10.0

# A load that the engine's report does not show after this time has failed.
LOAD_TIMEOUT_S = 5.0

# Estimated load times before any observation: a fetch from the adapter store, and a
# reload of an adapter that the engine unloaded recently.
INITIAL_FETCH_S = 0.3
INITIAL_RELOAD_S = 0.04
MIN_LOAD_S = 0.01

# Requests are sent when a load should have finished, before a report confirms it. If
# the engine refuses a request because the load had not finished, the estimate
# increases; each request that runs decreases it, less once a refusal has shown where
# the load time lies. A refused request waits some 0.3 s for a report, so that requests
# that start a little later cost less than one refusal in ten.
LOAD_TIME_INCREASE_S = 0.02
LOAD_TIME_DECREASE_S = 0.002
LOAD_TIME_DECREASE_KNOWN_S = 0.0004

# Unloaded adapters that the engine is assumed to reload without a fetch.
MAX_RECENTLY_UNLOADED = 100

# Delay until a report shows a finished load.
REPORT_LAG_S = 0.12

# Estimated time until a run ends and frees a slot when the adapters of all slots are
# in use.
SLOT_WAIT_S = 0.3

# Time between two loads while adapters wait to be loaded.
INITIAL_LOAD_INTERVAL_S = 0.1
MAX_LOAD_INTERVAL_S = 0.25
LOAD_INTERVAL_EWMA_WEIGHT = 0.2

# Adapters per slot whose request frequencies are tracked.
TRACKED_PER_SLOT = 20


@dataclass(slots=True)
class Frequency:
    """Exponentially decayed number of requests as of `at`."""

    value: float
    at: float


@dataclass(slots=True)
class PendingLoad:
    """A load in progress.

    `awaits_report` tells that only a report ends the load: the engine refused a
    request that came too early, or the load was first seen in a report.
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
    """Unload an adapter that no request uses."""

    name: AdapterName


Step = LoadStep | UnloadStep


class AdapterPlan:
    """The adapter slots of one engine; versions start at 1.

    `resident` includes outdated versions; `in_use` counts the requests of an adapter.
    """

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
        self.has_refused_load = False
        self.has_refused_reload = False
        self.load_interval_s = INITIAL_LOAD_INTERVAL_S
        self.last_load_at = float("-inf")

    def record_request(
        self, name: AdapterName, now: float, weight: float = 1.0
    ) -> None:
        """Count a request for an adapter; `weight` as in `DemandShares.record`."""
        value = self.frequency(name, now) + weight
        self.frequencies[name] = Frequency(value, now)
        if len(self.frequencies) > TRACKED_PER_SLOT * max(1, self.slots):
            rarest = min(self.frequencies, key=lambda key: self.frequency(key, now))
            del self.frequencies[rarest]

    def frequency(self, name: AdapterName, now: float) -> float:
        """Return the decayed number of requests for an adapter."""
        found = self.frequencies.get(name)
        if found is None:
            return 0.0
        return float(found.value * 0.5 ** ((now - found.at) / FREQUENCY_HALF_LIFE_S))

    def latest_version(self, name: AdapterName) -> int:
        """Return the latest announced version of an adapter."""
        return self.releases.get(name, 1)

    def has_latest(self, name: AdapterName) -> bool:
        """Tell if the latest version of an adapter is known to be resident."""
        if not name.adapter:
            return name.model in self.models
        if name in self.unloading:
            return False
        return self.resident.get(name, 0) >= self.latest_version(name)

    def is_ready(self, name: AdapterName, now: float) -> bool:
        """Tell if requests may start: resident, or its load should have finished."""
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
        """Decrease the expected load time if a request ran before the load's report."""
        load = self.loading.get(name)
        if load is not None:
            is_known = (
                self.has_refused_reload if load.is_reload else self.has_refused_load
            )
            decrease_s = (
                LOAD_TIME_DECREASE_KNOWN_S if is_known else LOAD_TIME_DECREASE_S
            )
            self.adjust_load_time(load, -decrease_s)

    def record_early_request(self, name: AdapterName) -> bool:
        """Record a request that the engine refused; tell if a load was in progress.

        If so, the expected load time increases, and the load awaits a report.
        """
        load = self.loading.get(name)
        if load is None:
            return False
        if not load.awaits_report:
            load.awaits_report = True
            self.adjust_load_time(load, LOAD_TIME_INCREASE_S)
            if load.is_reload:
                self.has_refused_reload = True
            else:
                self.has_refused_load = True
        return True

    def adjust_load_time(self, load: PendingLoad, change_s: float) -> None:
        """Change the expected time of fetches or reloads, whichever `load` is."""
        if load.is_reload:
            self.reload_s = max(MIN_LOAD_S, self.reload_s + change_s)
        else:
            self.fetch_s = max(MIN_LOAD_S, self.fetch_s + change_s)

    def acquire(self, name: AdapterName) -> None:
        """Count a use; an adapter in use is never unloaded."""
        self.in_use[name] += 1

    def release(self, name: AdapterName) -> None:
        """End a use."""
        self.in_use[name] -= 1
        if self.in_use[name] <= 0:
            del self.in_use[name]

    def next_step(self, waiting: Iterable[AdapterName], now: float) -> Step | None:
        """Return the next order for the waiting adapters, given most urgent first."""
        if self.unloading:
            # The engine accepts no other order until the unload has finished.
            return None
        wanted = list(dict.fromkeys(waiting))
        for name in wanted:
            if self.has_latest(name) or name in self.loading:
                continue
            if name.model not in self.models or not name.adapter:
                continue
            if name in self.resident:
                # An outdated version keeps its slot until its last run has ended.
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
        """Return the least requested idle adapter to evict, outdated ones first."""
        needed = set(wanted)
        idle = [
            name
            for name in self.resident
            if not self.in_use[name]
            and name not in self.unloading
            and not (name in needed and self.has_latest(name))
        ]
        if not idle:
            return None
        return min(
            idle, key=lambda name: (self.has_latest(name), self.frequency(name, now))
        )

    def can_load(self, now: float) -> bool:
        """Tell if a slot is free or can be freed."""
        if len(self.resident) + len(self.loading) < self.slots:
            return True
        return self.find_victim((), now) is not None

    def load_wait_s(self, queued: int, now: float) -> float:
        """Estimate the time to load one more adapter, behind `queued` others."""
        wait_s = self.fetch_s + queued * self.load_interval_s
        return wait_s if self.can_load(now) else wait_s + SLOT_WAIT_S

    def begin_load(self, name: AdapterName, now: float) -> float:
        """Reserve a slot for an adapter; return the expected load time in seconds."""
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
        """Record that no adapter waits to be loaded.

        The idle time is not part of the interval between loads; an average above the
        initial value moves back towards it.
        """
        self.last_load_at = now
        self.load_interval_s += LOAD_INTERVAL_EWMA_WEIGHT * (
            min(self.load_interval_s, INITIAL_LOAD_INTERVAL_S) - self.load_interval_s
        )

    def begin_unload(self, name: AdapterName) -> None:
        """Record an unload that the engine finishes once the adapter's runs end.

        The slot stays occupied until a report shows it free.
        """
        self.unloading.add(name)

    def remove(self, name: AdapterName) -> None:
        """Free the slot of an adapter that the engine unloaded."""
        if self.resident.pop(name, None) is not None:
            self.recently_unloaded.pop(name, None)
            self.recently_unloaded[name] = None
            if len(self.recently_unloaded) > MAX_RECENTLY_UNLOADED:
                del self.recently_unloaded[next(iter(self.recently_unloaded))]
        self.loading.pop(name, None)

    def load_left_s(self, name: AdapterName, now: float) -> float:
        """Return the remaining time of a load in seconds, negative if there is none."""
        load = self.loading.get(name)
        if load is None:
            return -1.0
        return max(0.0, load.started_at + load.expected_s - now)

    def is_report_due(self, now: float) -> bool:
        """Tell if a report should show the end of a load by now."""
        return any(now >= self.report_due_at(load) for load in self.loading.values())

    def report_due_at(self, load: PendingLoad) -> float:
        """Return when a report should show the end of a load."""
        return load.started_at + load.expected_s + REPORT_LAG_S

    def reconcile(self, report: EngineReport, now: float) -> None:
        """Apply an engine's report; drop loads that it does not show in time."""
        self.models = set(report.models)
        for name, load in list(self.loading.items()):
            reported = report.adapters.get(name, 0)
            if (
                reported >= load.version
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
        """Clear the state of the engine after its restart."""
        self.models.clear()
        self.resident.clear()
        self.loading.clear()
        self.unloading.clear()
        self.recently_unloaded.clear()
