"""Bounded log of the decisions of this host and of the requests it handled."""

from __future__ import annotations

import dataclasses
import time
from collections import OrderedDict
from collections import deque
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import TypeVar

# Longer texts are truncated, so that limits on counts also bound the memory.
MAX_TEXT_CHARACTERS = 200

MAX_TIMELINES = 2048

MAX_TIMELINE_STEPS = 24

MAX_CONDITIONS = 256

DEFAULT_CAPACITY = 256


@dataclass(slots=True, kw_only=True)
class FleetEvent:
    """One decision with its cause; `at` is in Unix seconds."""

    cause: str
    at: float = field(default_factory=time.time)
    adapter: str = ""
    upstream: str = ""
    peer: str = ""

    def value(self) -> dict[str, Any]:
        """Return the event as JSON values for operators."""
        pairs = dataclasses.asdict(self)
        return {"kind": EVENT_KINDS[type(self)], **pairs}


E = TypeVar("E", bound=type[FleetEvent])

EVENT_KINDS: dict[type[FleetEvent], str] = {}
EVENT_CAPACITIES: dict[type[FleetEvent], int] = {}


def event_kind(name: str, capacity: int = DEFAULT_CAPACITY) -> Callable[[E], E]:
    """Register an event type; its ring buffer keeps the newest `capacity` events."""

    def register(cls: E) -> E:
        EVENT_KINDS[cls] = name
        EVENT_CAPACITIES[cls] = capacity
        return cls

    return register


@event_kind("load", 1024)
@dataclass(slots=True, kw_only=True)
class LoadEvent(FleetEvent):
    """An adapter load and its outcome."""

    outcome: str
    worth: float = 0.0
    queued: int = 0
    permit_wait_s: float = 0.0
    duration_s: float = 0.0


@event_kind("eviction", 1024)
@dataclass(slots=True, kw_only=True)
class EvictionEvent(FleetEvent):
    """An adapter that made room for `replaced_by`."""

    outcome: str
    replaced_by: str = ""
    idle_s: float = 0.0


@event_kind("handover")
@dataclass(slots=True, kw_only=True)
class HandoverEvent(FleetEvent):
    """A resource whose ownership this host handed over to `peer`."""

    resource: str
    fence: int = 0
    running: int = 0


@event_kind("takeover")
@dataclass(slots=True, kw_only=True)
class TakeoverEvent(FleetEvent):
    """A resource whose ownership this host took over; `peer` owned it before."""

    resource: str
    fence: int = 0


@event_kind("rejection", 1024)
@dataclass(slots=True, kw_only=True)
class RejectionEvent(FleetEvent):
    """An attempt that did not run."""

    request_id: str
    rank: str
    step: str = ""
    retry_after_s: float = 0.0
    queued: int = 0


@event_kind("drain")
@dataclass(slots=True, kw_only=True)
class DrainEvent(FleetEvent):
    """A host or an upstream that stops or resumes taking new work."""

    state: str
    running: int = 0
    queued: int = 0


@event_kind("circuit")
@dataclass(slots=True, kw_only=True)
class CircuitEvent(FleetEvent):
    """A circuit breaker of one upstream that changed its state."""

    state: str
    failures: int = 0


@event_kind("settings", 512)
@dataclass(slots=True, kw_only=True)
class SettingsEvent(FleetEvent):
    """A revision of the settings that came into force or was rejected."""

    revision: int
    in_force: bool = True
    teams: int = 0


@event_kind("condition", 512)
@dataclass(slots=True, kw_only=True)
class ConditionEvent(FleetEvent):
    """A problem that began or ended."""

    condition: str
    is_wrong: bool
    lasted_s: float = 0.0


@dataclass(slots=True)
class TimelineStep:
    """One step of a request; `at` is in Unix seconds."""

    at: float
    step: str
    figures: dict[str, Any] | None


@dataclass(slots=True)
class Condition:
    """A current problem; `since` is in Unix seconds."""

    name: str
    since: float
    cause: str


class EventLog:
    """Hold the newest events, the timelines of requests and the current problems."""

    def __init__(self) -> None:
        self.rings: dict[type[FleetEvent], deque[FleetEvent]] = {}
        self.recorded: dict[type[FleetEvent], int] = {}
        self.timelines: OrderedDict[str, list[TimelineStep]] = OrderedDict()
        self.conditions: dict[str, Condition] = {}
        self.listeners: list[Callable[[FleetEvent], None]] = []

    def record(self, event: FleetEvent) -> None:
        """Keep one event, in place of the oldest of its kind if the ring is full."""
        cls = type(event)
        if len(event.cause) > MAX_TEXT_CHARACTERS:
            event.cause = event.cause[:MAX_TEXT_CHARACTERS]
        ring = self.rings.get(cls)
        if ring is None:
            ring = self.rings[cls] = deque(maxlen=EVENT_CAPACITIES[cls])
        ring.append(event)
        self.recorded[cls] = self.recorded.get(cls, 0) + 1
        for listener in self.listeners:
            listener(event)

    def record_step(self, request_id: str, step: str, **figures: Any) -> None:
        """Add one step to the timeline of a request."""
        steps = self.timelines.get(request_id)
        if steps is None:
            steps = self.timelines[request_id] = []
            if len(self.timelines) > MAX_TIMELINES:
                self.timelines.popitem(last=False)
        if len(steps) >= MAX_TIMELINE_STEPS:
            # The first steps and the newest one explain more than those in between.
            steps.pop()
        steps.append(TimelineStep(time.time(), step, figures or None))

    def set_condition(self, name: str, is_wrong: bool, cause: str = "") -> None:
        """Set or clear a condition; an event records each change."""
        known = self.conditions.get(name)
        if is_wrong == (known is not None):
            return
        now = time.time()
        if known is None:
            if len(self.conditions) >= MAX_CONDITIONS:
                return
            cause = cause[:MAX_TEXT_CHARACTERS]
            self.conditions[name] = Condition(name, now, cause)
            self.record(ConditionEvent(cause=cause, condition=name, is_wrong=True))
            return
        del self.conditions[name]
        self.record(
            ConditionEvent(
                cause=known.cause,
                condition=name,
                is_wrong=False,
                lasted_s=now - known.since,
            )
        )

    def select(
        self, since: float = 0.0, adapter: str = "", upstream: str = ""
    ) -> Iterator[FleetEvent]:
        """Yield the matching events from the newest to the oldest.

        An adapter also matches with its version, an upstream with its replica.
        """
        events = [event for ring in self.rings.values() for event in ring]
        for event in sorted(events, key=lambda event: -event.at):
            if event.at < since:
                return
            if matches_name(adapter, event.adapter, "@") and matches_name(
                upstream, event.upstream, "-"
            ):
                yield event

    def timeline(self, request_id: str) -> list[dict[str, Any]]:
        """Return the steps of a request as JSON values for operators."""
        return [
            {"at": step.at, "step": step.step, **(step.figures or {})}
            for step in self.timelines.get(request_id, [])
        ]

    def usage(self) -> dict[str, tuple[int, int]]:
        """Return the number of entries and the limit of each buffer."""
        used = {
            EVENT_KINDS[cls]: (len(self.rings.get(cls, ())), capacity)
            for cls, capacity in EVENT_CAPACITIES.items()
        }
        used["timelines"] = (len(self.timelines), MAX_TIMELINES)
        return used


def matches_name(wanted: str, found: str, separator: str) -> bool:
    """Return whether `found` is `wanted`, or `wanted` and a part after `mark`."""
    return not wanted or found == wanted or found.startswith(wanted + separator)
