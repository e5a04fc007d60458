"""Discrete-event simulation of a fleet that replays workloads, without processes.

Engines prefill and generate in steps, load and unload adapters; owners use
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
from filbertyard.gateway.fairshare import DemandShares
from filbertyard.gateway.fairshare import Weight
from filbertyard.gateway.fairshare import equal_weight
from filbertyard.gateway.placement import Candidate
from filbertyard.gateway.placement import hash_fraction
from filbertyard.gateway.types import AdapterName
from filbertyard.gateway.types import EngineReport

# Other programs on an engine's machine slow it down in spells of this length.
SPELL_S = 0.6
SPELL_SHARE = 0.15
SPELL_SLOWDOWN = 2.5

# Slowdowns that an engine reports before the replay.
START_REPORTS = 5

Choose = Callable[[str, list[Candidate], str], Candidate | None]

# Engine figures from the data sheet of the enlarged Rakeline site. More loads in the
# fleet than MAX_FULL_SPEED_LOADS slow each other down.
STEP_S = 0.00947
STEP_SLOT_S = 0.0000275
PREFILL_TOKENS_PER_S = 19200.0
CHUNK_TOKENS = 2048
LOAD_S = 0.288
MAX_FULL_SPEED_LOADS = 40
ORDER_S = 0.004
REPORT_LAG_S = 0.1


@dataclass(slots=True)
class Run:
    """One request at an engine, with its remaining prompt and output tokens."""

    request: Request
    prompt_left: float
    output_left: float
    first_event_at: float = 0.0
    last_event_at: float = 0.0


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
    workspace: str = ""
    first_event_at: float = -1.0
    end_at: float = -1.0
    longest_gap_s: float = 0.0
    was_absent: bool = False


@dataclass(slots=True)
class Workload:
    """Arrival rate, popularity and sizes of the requests of a replay."""

    per_s: float
    length_s: float = 10.0
    adapters: int = 10000
    zipf: float = 1.2
    prompt: int = 1200
    output: int = 150
    objective_s: float = 0.9
    start_timeout_s: float = 5.0

    def requests(self, seed: int) -> list[Request]:
        """Return the requests of a replay."""
        rng = random.Random(seed)
        weights = [1.0 / (rank + 1) ** self.zipf for rank in range(self.adapters)]
        cum_weights = list(itertools.accumulate(weights))
        requests = []
        at = 0.0
        for number in itertools.count():
            at += rng.expovariate(self.per_s)
            if at > self.length_s:
                return requests
            adapter = rng.choices(range(self.adapters), cum_weights=cum_weights)[0]
            requests.append(
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
        return requests


@dataclass(slots=True, eq=False)
class Engine:
    """An engine with its owner."""

    name: str
    queue: EngineQueue
    plan: AdapterPlan
    demand: DemandShares
    slowness: float = 1.0
    has_spells: bool = False
    runs: list[Run] = field(default_factory=list)
    requests: dict[str, Request] = field(default_factory=dict)
    held: dict[AdapterName, int] = field(default_factory=dict)
    pending: dict[AdapterName, float] = field(default_factory=dict)
    sequence: int = 0
    stepping: bool = False
    ordering: bool = False

    def slowdown(self, now: float) -> float:
        """Return how many times as long as usual a step takes now."""
        if not self.has_spells:
            return self.slowness
        draw = hash_fraction(str(int(now / SPELL_S)), self.name)
        return self.slowness * (SPELL_SLOWDOWN if draw < SPELL_SHARE else 1.0)


class Replay:
    """One replay; `publish_s` is the interval between two publications of a load.

    The values of `slowness` are assigned to the engines in turn; an engine's steps take
    that many times as long. With `has_spells` other programs slow the engines down now
    and then; with `reports_slowdown` their responses tell.
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
        max_gap_s: float = 0.3,
        publish_s: float = 0.4,
        slowness: tuple[float, ...] = (1.0,),
        has_spells: bool = False,
        reports_slowdown: bool = False,
        weight: Weight = equal_weight,
    ) -> None:
        self.choose = choose
        self.publish_s = publish_s
        self.event_tokens = event_tokens
        self.max_gap_s = max_gap_s
        self.reports_slowdown = reports_slowdown
        self.engines = [
            Engine(
                f"r{number}",
                EngineQueue(
                    slots,
                    kv_tokens,
                    max_prefill_backlog_s(max_gap_s, event_tokens),
                    max_gap_s,
                    weight=weight,
                ),
                AdapterPlan(adapter_slots, {}),
                DemandShares(weight),
                slowness[number % len(slowness)],
                has_spells,
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
        self.rejected: list[Request] = []

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        heapq.heappush(self.events, (self.now + delay_s, next(self.numbers), action))

    def play(self, workload: Workload, seed: int = 1) -> list[Request]:
        """Run the simulation to its end and return all requests."""
        requests = workload.requests(seed)
        rng = random.Random(seed)
        for engine in self.engines:
            for number in range(START_REPORTS * self.reports_slowdown):
                slowdown = engine.slowdown(-SPELL_S * (START_REPORTS - number))
                engine.queue.speed.record_slowdown(slowdown, 0.0)
            self.publish(engine)
            self.schedule(rng.uniform(0, self.publish_s), self.publisher(engine))
        for request in requests:
            self.schedule(
                request.at, lambda request=request: self.arrive(request, workload)
            )
        end = workload.length_s + workload.start_timeout_s
        while self.events and self.events[0][0] < end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return requests

    # Hosts.

    def publisher(self, engine: Engine) -> Callable[[], None]:
        def publish() -> None:
            self.publish(engine)
            self.schedule(self.publish_s, publish)

        return publish

    def publish(self, engine: Engine) -> None:
        """Publish an engine's load to the hosts."""
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

    def candidates(self, name: AdapterName, prompt: int) -> list[Candidate]:
        """Return what a host knows of the engines."""
        found = []
        for at, view, resident, loading in self.views.values():
            queue = self.by_name[view.replica].queue
            is_reported = queue.speed.is_reported
            found.append(
                Candidate(
                    view.replica,
                    view.wait_s,
                    name in resident,
                    loading.get(name, -1.0),
                    view.load_wait_s,
                    True,
                    0.0,
                    self.now - at,
                    prompt * queue.token_cost_s if is_reported else 0.0,
                    0 < queue.max_prompt_tokens() < prompt and bool(queue.started),
                )
            )
        return found

    def arrive(self, request: Request, workload: Workload) -> None:
        """Choose an engine and queue the request at its owner, or reject it."""
        chosen = self.choose(
            str(request.name),
            self.candidates(request.name, request.prompt),
            str(request.number),
        )
        assert chosen is not None
        engine = self.by_name[chosen.replica]
        plan, now = engine.plan, self.now
        waiting = QueuedRequest(
            str(request.number),
            request.name,
            request.rank,
            now,
            now + request.objective_s,
            now + workload.start_timeout_s,
            now + workload.start_timeout_s + 10,
            request.prompt,
            request.output,
            request.workspace,
        )
        weight = engine.demand.record(request.workspace, now)
        plan.record_request(request.name, now, weight)
        request.was_absent = not plan.has_latest(request.name)
        rejection = engine.queue.enqueue(waiting, now, plan.has_latest)
        if rejection is not None:
            self.rejected.append(request)
            return
        engine.requests[waiting.id] = request
        self.order(engine)
        self.start_ready(engine)

    # Owners.

    def start_ready(self, engine: Engine) -> None:
        """Start the requests that can start now."""
        for waiting in engine.queue.expire(self.now):
            self.rejected.append(engine.requests.pop(waiting.id))
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
                self.schedule(0.0, lambda: self.step(engine))

    def order(self, engine: Engine) -> None:
        """Send the next order unless one is in progress."""
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
                loads = 1 + sum(len(item.pending) for item in self.engines)
                took_s = LOAD_S * max(1.0, loads / MAX_FULL_SPEED_LOADS)
                engine.pending[step.name] = self.now + took_s
                self.schedule(took_s, lambda: self.loaded(engine, step.name))
            else:
                engine.held.pop(step.name, None)
                engine.plan.remove(step.name)
            self.order(engine)

        self.schedule(ORDER_S, done)

    def loaded(self, engine: Engine, name: AdapterName) -> None:
        """Finish a load; a later report tells the owner."""
        engine.pending.pop(name)
        engine.held[name] = 1
        self.schedule(REPORT_LAG_S, lambda: self.report(engine))

    def report(self, engine: Engine) -> None:
        """Apply the engine's report to the owner's plan."""
        engine.plan.reconcile(
            EngineReport(
                0, False, {"m": 1}, dict(engine.held), dict.fromkeys(engine.pending, 1)
            ),
            self.now,
        )
        self.order(engine)
        self.start_ready(engine)

    # Engines.

    def step(self, engine: Engine) -> None:
        """Prefill a chunk of tokens and generate one token of each stream."""
        chunk_left = float(CHUNK_TOKENS)
        generating = [run for run in engine.runs if run.prompt_left <= 0]
        for run in engine.runs:
            if run.prompt_left > 0 and chunk_left > 0:
                part = min(chunk_left, run.prompt_left)
                run.prompt_left -= part
                chunk_left -= part
        prefill_s = (CHUNK_TOKENS - chunk_left) / PREFILL_TOKENS_PER_S
        usual_s = STEP_S + STEP_SLOT_S * len(generating) + prefill_s
        took_s = usual_s * engine.slowdown(self.now)

        def done() -> None:
            for run in engine.runs:
                if run.prompt_left <= 0 and not run.first_event_at:
                    run.first_event_at = run.last_event_at = self.now
                    run.request.first_event_at = self.now
                    engine.plan.record_start(run.request.name)
                    if self.reports_slowdown:
                        engine.queue.speed.record_slowdown(
                            engine.slowdown(self.now), self.now
                        )
                    engine.queue.record_first_event(str(run.request.number), self.now)
            for run in generating:
                run.output_left -= 1
                if int(run.output_left) % self.event_tokens == 0:
                    gap_s = self.now - run.last_event_at
                    run.request.longest_gap_s = max(run.request.longest_gap_s, gap_s)
                    run.last_event_at = self.now
                if run.output_left <= 0:
                    run.request.end_at = self.now
                    engine.runs.remove(run)
                    gap_ratio = run.request.longest_gap_s / self.max_gap_s
                    engine.queue.finish(str(run.request.number), self.now, gap_ratio)
                    engine.plan.release(run.request.name)
            self.order(engine)
            self.start_ready(engine)
            if engine.runs:
                self.step(engine)
            else:
                engine.stepping = False

        self.schedule(took_s, done)


def share_in_time(requests: list[Request], max_gap_s: float = 0.3) -> float:
    """Return the share of requests whose events all came in time."""
    return sum(
        0 <= request.first_event_at <= request.at + request.objective_s
        and request.longest_gap_s <= max_gap_s
        for request in requests
    ) / len(requests)
