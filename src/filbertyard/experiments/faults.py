"""Random faults, alone and in pairs, injected into running hosts under load."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

import gevent
from gevent.pool import Pool

from ..checker import Violation
from ..checker import check_history
from ..exceptions import FilbertyardError
from ..history import CallRecord
from ..history import History
from ..localfleet import LocalFleet
from ..localfleet import create_local_fleet
from ..settingsstore import SettingsStore
from ..workload import Caller
from ..workload import PlannedCall
from ..workload import run_workload
from . import experiment

DEFAULT_DEPLOYMENT = Path("examples/drakensig")

CALLERS = 4

# Retries of a call with an idempotency key while its outcome is unknown.
MAX_RETRIES = 2
RETRY_DELAY_S = 0.7

EXIT_VIOLATION = 1


@dataclass(slots=True)
class FaultContext:
    """Input of a fault; `duration_s` is how long a temporary fault lasts."""

    fleet: LocalFleet
    rng: random.Random
    duration_s: float


Fault = Callable[[FaultContext], None]

FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault under `name`."""

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


@dataclass(slots=True)
class FaultRun:
    """Outcome of one run."""

    seed: int
    faults: list[str]
    calls: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    violations: list[Violation] = field(default_factory=list)


class RetryingCaller(Caller):
    """A caller that retries a call with its key while the outcome is unknown."""

    def send(self, planned: PlannedCall) -> CallRecord:
        """Send one call and its retries; return the last record."""
        record = super().send(planned)
        for _ in range(MAX_RETRIES):
            if not planned.idempotency_key or record.outcome not in ("cut", "unknown"):
                break
            gevent.sleep(RETRY_DELAY_S)
            record = super().send(planned)
        return record


@fault("kill-host")
def kill_host(context: FaultContext) -> None:
    """Kill one host and start a replacement after the duration."""
    fleet = context.fleet
    if len(fleet.hosts) < 3:
        return
    name = context.rng.choice(sorted(fleet.hosts))
    fleet.kill_host(name)
    gevent.sleep(context.duration_s)
    fleet.standins.host_list.remove(name)
    fleet.add_host(f"{name}-r{context.rng.randrange(1000)}")


@fault("host-leaves")
def shut_down_host(context: FaultContext) -> None:
    """Start a replacement for one host, then shut the host down gracefully."""
    fleet = context.fleet
    if len(fleet.hosts) < 3:
        return
    name = context.rng.choice(sorted(fleet.hosts))
    fleet.add_host(f"{name}-n{context.rng.randrange(1000)}")
    fleet.stop_host(name)


@fault("engine-restart")
def restart_engine(context: FaultContext) -> None:
    """Restart one engine with empty slots."""
    engines = context.fleet.standins.engines
    engines[context.rng.choice(sorted(engines))].restart()


@fault("engine-leaving")
def mark_engine_leaving(context: FaultContext) -> None:
    """Make one engine report that it is leaving; at least two others stay."""
    engines = context.fleet.standins.engines
    staying = sorted(name for name, engine in engines.items() if not engine.leaving)
    if len(staying) > 2:
        context.fleet.mark_leaving(context.rng.choice(staying))


@fault("loads-fail")
def fail_loads(context: FaultContext) -> None:
    """Make loads of about 30% of the adapters fail for a while."""
    store = context.fleet.standins.adapter_store
    failing = {
        f"{name}@{versions[0]}"
        for name, versions in store.versions.items()
        if context.rng.random() < 0.3
    }
    store.failing |= failing
    gevent.sleep(context.duration_s)
    store.failing -= failing


@fault("key-value-away")
def make_key_value_unavailable(context: FaultContext) -> None:
    """Make the key-value service reject every call for a while."""
    faults = context.fleet.standins.key_value.faults
    faults.unavailable = True
    gevent.sleep(context.duration_s)
    faults.unavailable = False


@fault("key-value-slow")
def slow_key_value(context: FaultContext) -> None:
    """Delay every call of the key-value service for a while."""
    faults = context.fleet.standins.key_value.faults
    faults.delay_s = context.rng.choice([0.2, 0.8, 1.5])
    gevent.sleep(context.duration_s)
    faults.delay_s = 0.0


@fault("key-value-lost-responses")
def lose_responses(context: FaultContext) -> None:
    """Drop the responses to the next 10 writes after they took effect."""
    context.fleet.standins.key_value.faults.lose_responses += 10


@fault("flood")
def flood(context: FaultContext) -> None:
    """Send many calls of one team's first adapters for a while."""
    fleet = context.fleet
    host = context.rng.choice(sorted(fleet.hosts))
    caller = Caller(fleet.hosts[host].membership.local_member.callers, fleet.history)
    team_name, team = context.rng.choice(sorted(fleet.deployment.teams.items()))
    pool = Pool(300)
    end = time.monotonic() + context.duration_s
    adapters = list(team.adapters.items())[:5]
    while time.monotonic() < end:
        name, adapter = context.rng.choice(adapters)
        rank = adapter.rank or team.default_rank
        call = PlannedCall("completion", team_name, name, "", rank, 16, True)
        pool.spawn(caller.send, call)
        gevent.sleep(0.01)
    pool.join(timeout=60)


@fault("settings-change")
def change_settings(context: FaultContext) -> None:
    """Commit a new version of three adapters."""
    fleet = context.fleet
    name, team = context.rng.choice(sorted(fleet.deployment.teams.items()))
    adapters = dict(team.adapters)
    for adapter_name in context.rng.sample(sorted(adapters), 3):
        old = adapters[adapter_name]
        other = "v2" if old.version == "v1" else "v1"
        update = {"version": other, "keep": [old.version]}
        adapters[adapter_name] = old.model_copy(update=update)
    host = fleet.hosts[context.rng.choice(sorted(fleet.hosts))]
    changed = team.model_copy(update={"adapters": adapters})
    try:
        fleet.record_accepted(SettingsStore(host.key_value), {name: changed})
    except FilbertyardError as error:
        print(f"    settings change rejected: {error}", flush=True)


@experiment("faults")
def faults(
    *,
    deployment: Path = DEFAULT_DEPLOYMENT,
    seed: int = 1,
    runs: int = 1,
    seconds: float = 8.0,
    hosts: int = 5,
    rate: float = 25.0,
    only: list[str] | None = None,
    json_file: Path | None = None,
) -> int:
    """Inject two random faults in each run under load and check the history.

    Exit status 1 if any invariant was broken.

    :param deployment: folder of the deployment
    :param seed: seed of the first run; each further run adds 1
    :param runs: number of runs
    :param seconds: how long callers send in each run
    :param hosts: entry hosts
    :param rate: calls per second
    :param only: inject exactly these faults
    :param json_file: write the outcomes here
    """
    outcomes = []
    for number in range(runs):
        outcome = run_faults(deployment, seed + number, seconds, hosts, rate, only)
        outcomes.append(outcome)
        print_outcome(outcome)
    broken = sum(bool(outcome.violations) for outcome in outcomes)
    print(f"{len(outcomes)} runs, {broken} with violations")
    if json_file is not None:
        json_file.write_text(json.dumps([asdict(o) for o in outcomes], indent=1))
    return EXIT_VIOLATION if broken else 0


def run_faults(
    deployment: Path,
    seed: int,
    seconds: float,
    hosts: int,
    rate: float,
    only: list[str] | None,
) -> FaultRun:
    """Run callers against a fleet and inject the faults of this seed."""
    rng = random.Random(seed)
    names = only or [rng.choice(sorted(FAULTS)) for _ in range(2)]
    fleet = create_local_fleet(deployment)
    fleet.start(hosts, ready_timeout_s=60.0)
    address = next(iter(fleet.hosts.values())).membership.local_member.callers
    callers: list[Caller] = [
        RetryingCaller(address, fleet.history) for _ in range(CALLERS)
    ]
    injections = []
    for name in names:
        duration_s = rng.uniform(0.2, 0.4) * seconds
        context = FaultContext(fleet, random.Random(rng.random()), duration_s)
        at_s = rng.uniform(0.1, 0.5) * seconds
        injections.append(gevent.spawn_later(at_s, FAULTS[name], context))
    run_workload(
        fleet.deployment, callers, rate_per_s=rate, duration_s=seconds, seed=seed
    )
    gevent.joinall(injections, timeout=60)
    history = fleet.stop()
    return summarize(seed, names, history)


def summarize(seed: int, names: list[str], history: History) -> FaultRun:
    """Return the outcome of one run with the violations that the checker found."""
    outcomes = [call.outcome for call in history.calls]
    return FaultRun(
        seed=seed,
        faults=names,
        calls=len(outcomes),
        answered=outcomes.count("answered"),
        not_run=outcomes.count("not_run"),
        unknown=outcomes.count("unknown") + outcomes.count("cut"),
        violations=check_history(history),
    )


def print_outcome(outcome: FaultRun) -> None:
    """Print one line for a run, and one for each violation."""
    verdict = "BROKEN" if outcome.violations else "held"
    print(
        f"seed {outcome.seed:>5}  {verdict:<7}{' + '.join(outcome.faults):<46}"
        f"calls {outcome.calls}, answered {outcome.answered}, "
        f"not run {outcome.not_run}, unknown {outcome.unknown}",
        flush=True,
    )
    for violation in outcome.violations[:10]:
        print(f"    {violation.invariant}: {violation.detail}", flush=True)
