"""Replay of load patterns against the decisions of owners and hosts, without processes.

Engines read prompts and generate in steps, load adapters and free places; owners use
`EngineQueue` and `AdapterPlan`; hosts choose from loads published at intervals.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from filbertyard.gateway.adapterplan import AdapterPlan
from filbertyard.gateway.adapterplan import LoadStep
from filbertyard.gateway.admission import EngineQueue
from filbertyard.gateway.admission import QueuedRequest
from filbertyard.gateway.admission import max_prefill_backlog_s
from filbertyard.gateway.placement import Candidate
from filbertyard.gateway.types import AdapterName
from filbertyard.gateway.types import EngineReport

Choose = Callable[[str, list[Candidate], str], Candidate | None]

# Engines as the sheet of the grown Rakeline site describes them.
STEP_S = 0.00947
STEP_SLOT_S = 0.0000275
READ_TOKENS_PER_S = 19200.0
CHUNK_TOKENS = 2048
LOAD_S = 0.288
LOADS_AT_ONCE = 40
ORDER_S = 0.004
REPORT_LAG_S = 0.1


@dataclass(slots=True)
class Run:
    """One request at an engine; counts in tokens."""

    request: Request
    unread: float
    left: float
    first_at: float = 0.0
    event_at: float = 0.0


@dataclass(slots=True)
class Request:
    """One request of a caller."""

    number: int
    at: float
    name: AdapterName
    rank: int
    prompt: int
    output: int
    objective_s: float
    first_at: float = -1.0
    end_at: float = -1.0
    pause_s: float = 0.0
    was_absent: bool = False


@dataclass(slots=True)
class Workload:
    """The patterns of a replay."""

    per_s: float
    length_s: float = 10.0
    adapters: int = 10000
    zipf: float = 1.2
    prompt: int = 1200
    output: int = 150
    objective_s: float = 0.9
    patience_s: float = 5.0

    def requests(self, seed: int) -> list[Request]:
        """Return the requests of a replay."""
        rng = random.Random(seed)
        weights = [1.0 / (rank + 1) ** self.zipf for rank in range(self.adapters)]
        total = list(itertools.accumulate(weights))
        found = []
        at = 0.0
        for number in itertools.count():
            at += rng.expovariate(self.per_s)
            if at > self.length_s:
                return found
            adapter = rng.choices(range(self.adapters), cum_weights=total)[0]
            found.append(
                Request(
                    number,
                    at,
                    AdapterName("m", f"a{adapter}"),
                    rng.randrange(2),
                    int(self.prompt * rng.uniform(0.3, 1.7)),
                    int(self.output * rng.uniform(0.2, 1.8)),
                    self.objective_s,
                )
            )
        return found


@dataclass(slots=True, eq=False)
class Engine:
    """An engine with its owner."""

    name: str
    queue: EngineQueue
    plan: AdapterPlan
    slowness: float = 1.0
    runs: list[Run] = field(default_factory=list)
    requests: dict[str, Request] = field(default_factory=dict)
    held: dict[AdapterName, int] = field(default_factory=dict)
    pending: dict[AdapterName, float] = field(default_factory=dict)
    sequence: int = 0
    stepping: bool = False
    ordering: bool = False


class Replay:
    """One replay; `publish_s` is the pause between two publications of a load.

    Engines take `slowness` times as long, by turns.
    """

    def __init__(
        self,
        choose: Choose,
        *,
        engines: int = 30,
        slots: int = 48,
        adapter_slots: int = 14,
        kv_tokens: int = 113290,
        event_tokens: int = 3,
        gap_s: float = 0.3,
        publish_s: float = 0.4,
        slowness: tuple[float, ...] = (1.0,),
    ) -> None:
        self.choose = choose
        self.publish_s = publish_s
        self.event_tokens = event_tokens
        self.gap_s = gap_s
        self.engines = [
            Engine(
                f"r{number}",
                EngineQueue(
                    slots, kv_tokens, max_prefill_backlog_s(gap_s, event_tokens)
                ),
                AdapterPlan(adapter_slots, {}),
                slowness[number % len(slowness)],
            )
            for number in range(engines)
        ]
        for engine in self.engines:
            engine.plan.models = {"m"}
        self.by_name = {engine.name: engine for engine in self.engines}
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.views: dict[str, tuple[float, Candidate, set[AdapterName], dict]] = {}
        self.loads = 0
        self.turned_away: list[Request] = []

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self.events, (self.now + delay_s, next(self.numbers), action))

    def play(self, load: Workload, seed: int = 1) -> list[Request]:
        """Play all requests to their end and return them."""
        requests = load.requests(seed)
        rng = random.Random(seed)
        for engine in self.engines:
            self.publish(engine)
            self.after(rng.uniform(0, self.publish_s), self.publisher(engine))
        for request in requests:
            self.after(request.at, lambda request=request: self.arrive(request, load))
        end = load.length_s + load.patience_s
        while self.events and self.events[0][0] < end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return requests

    # Hosts.

    def publisher(self, engine: Engine) -> Callable[[], None]:
        def publish() -> None:
            self.publish(engine)
            self.after(self.publish_s, publish)

        return publish

    def publish(self, engine: Engine) -> None:
        """Make an engine's load known to the hosts."""
        plan, now = engine.plan, self.now
        absent = {
            item.adapter
            for item in engine.queue.waiting
            if item.adapter not in plan.loading and not plan.has_latest(item.adapter)
        }
        self.views[engine.name] = (
            now,
            Candidate(
                engine.name,
                engine.queue.wait_s(now, plan.has_latest),
                False,
                -1.0,
                plan.load_wait_s(len(absent), now),
                True,
                0.0,
            ),
            {name for name in plan.resident if plan.has_latest(name)},
            {name: plan.load_left_s(name, now) for name in plan.loading},
        )

    def candidates(self, name: AdapterName) -> list[Candidate]:
        """Return what a host knows of the engines."""
        return [
            Candidate(
                view.replica,
                view.wait_s,
                name in resident,
                loading.get(name, -1.0),
                view.load_wait_s,
                True,
                0.0,
                self.now - at,
            )
            for at, view, resident, loading in self.views.values()
        ]

    def arrive(self, request: Request, load: Workload) -> None:
        """Choose an engine and ask its owner."""
        found = self.choose(
            str(request.name), self.candidates(request.name), str(request.number)
        )
        assert found is not None
        engine = self.by_name[found.replica]
        plan, now = engine.plan, self.now
        waiting = QueuedRequest(
            str(request.number),
            request.name,
            request.rank,
            now,
            now + request.objective_s,
            now + load.patience_s,
            now + load.patience_s + 10,
            request.prompt,
            request.output,
        )
        plan.record_request(request.name, now)
        request.was_absent = not plan.has_latest(request.name)
        refused = engine.queue.enqueue(waiting, now, plan.has_latest)
        if refused is not None:
            self.turned_away.append(request)
            return
        engine.requests[waiting.id] = request
        self.order(engine)
        self.grant(engine)

    # Owners.

    def grant(self, engine: Engine) -> None:
        """Start what may start."""
        for waiting in engine.queue.expire(self.now):
            self.turned_away.append(engine.requests.pop(waiting.id))
        while True:
            waiting = engine.queue.start_next(
                self.now, lambda name: engine.plan.is_ready(name, self.now)
            )
            if waiting is None:
                return
            request = engine.requests.pop(waiting.id)
            engine.plan.acquire(waiting.adapter)
            engine.runs.append(Run(request, waiting.prompt_tokens, request.output))
            if not engine.stepping:
                engine.stepping = True
                self.after(0.0, lambda: self.step(engine))

    def order(self, engine: Engine) -> None:
        """Give the next order unless one is under way."""
        if engine.ordering:
            return
        names = [item.adapter for item in engine.queue.start_order(self.now)]
        if all(engine.plan.has_latest(name) for name in names):
            engine.plan.record_idle(self.now)
        step = engine.plan.next_step(names, self.now)
        if step is None:
            return
        engine.ordering = True

        def done() -> None:
            engine.ordering = False
            if isinstance(step, LoadStep):
                self.loads += 1
                engine.plan.begin_load(step.name, self.now)
                in_transit = 1 + sum(len(item.pending) for item in self.engines)
                took_s = LOAD_S * max(1.0, in_transit / LOADS_AT_ONCE)
                engine.pending[step.name] = self.now + took_s
                self.after(took_s, lambda: self.loaded(engine, step.name))
            else:
                engine.held.pop(step.name, None)
                engine.plan.remove(step.name)
            self.order(engine)

        self.after(ORDER_S, done)

    def loaded(self, engine: Engine, name: AdapterName) -> None:
        """End a load; the owner learns it from a report."""
        engine.pending.pop(name)
        engine.held[name] = 1
        self.after(REPORT_LAG_S, lambda: self.report(engine))

    def report(self, engine: Engine) -> None:
        """Let the owner take over the engine's report."""
        engine.plan.reconcile(
            EngineReport(
                0, False, {"m": 1}, dict(engine.held), dict.fromkeys(engine.pending, 1)
            ),
            self.now,
        )
        self.order(engine)
        self.grant(engine)

    # Engines.

    def step(self, engine: Engine) -> None:
        """Read a chunk and generate one token of each stream."""
        room = float(CHUNK_TOKENS)
        writing = [run for run in engine.runs if run.unread <= 0]
        for run in engine.runs:
            if run.unread > 0 and room > 0:
                read = min(room, run.unread)
                run.unread -= read
                room -= read
        prefill_s = (CHUNK_TOKENS - room) / READ_TOKENS_PER_S
        took_s = (STEP_S + STEP_SLOT_S * len(writing) + prefill_s) * engine.slowness

        def done() -> None:
            for run in engine.runs:
                if run.unread <= 0 and not run.first_at:
                    run.first_at = run.event_at = self.now
                    run.request.first_at = self.now
                    engine.plan.record_start(run.request.name)
                    engine.queue.record_first_event(str(run.request.number), self.now)
            for run in writing:
                run.left -= 1
                if int(run.left) % self.event_tokens == 0:
                    pause_s = self.now - run.event_at
                    run.request.pause_s = max(run.request.pause_s, pause_s)
                    run.event_at = self.now
                if run.left <= 0:
                    run.request.end_at = self.now
                    engine.runs.remove(run)
                    pause = run.request.pause_s / self.gap_s
                    engine.queue.finish(str(run.request.number), self.now, pause)
                    engine.plan.release(run.request.name)
            self.order(engine)
            self.grant(engine)
            if engine.runs:
                self.step(engine)
            else:
                engine.stepping = False

        self.after(took_s, done)


def share_in_time(requests: list[Request], gap_s: float = 0.3) -> float:
    """Return the share of requests whose events all came in time."""
    return sum(
        0 <= request.first_at <= request.at + request.objective_s
        and request.pause_s <= gap_s
        for request in requests
    ) / len(requests)
