"""Run fleets on stand-ins in one process and check every invariant."""

from gevent import monkey

monkey.patch_all()

import dataclasses
import sys
from pathlib import Path

import defopt
import gevent

from ..checker import CHECKS
from ..checker import INVARIANT_TEXTS
from ..checker import check_history
from ..exceptions import SettingsError
from ..history import CallRecord
from ..history import History
from ..localfleet import Deployment
from ..localfleet import FleetTotals
from ..localfleet import LocalFleet
from ..localfleet import create_local_fleet
from ..settingsstore import SettingsStore
from ..workload import Caller
from ..workload import run_workload

EXIT_VIOLATION = 1
EXIT_SETTINGS = 2

PROGRESS_INTERVAL_S = 2.0

CALLERS_PER_FLEET = 4

ADAPTERS_USED_PER_TEAM = 8


def demo(
    *deployments: Path,
    hosts: int = 6,
    seconds: float = 7.0,
    rate: float = 30.0,
    seed: int = 1,
) -> int:
    """Run callers against each deployment and check the recorded history.

    Exit status 0 if every invariant held, 1 if one was broken, 2 for bad settings.

    :param deployments: folders of the deployments, for example examples/drakensig
    :param hosts: entry hosts for each deployment
    :param seconds: how long callers send, for each deployment
    :param rate: calls per second for each deployment
    :param seed: seed of the workload
    """
    violations = 0
    for folder in deployments:
        try:
            fleet = create_local_fleet(folder)
        except SettingsError as error:
            print(f"filbertyard-demo: {error.message}", file=sys.stderr)
            return EXIT_SETTINGS
        violations += run_deployment(fleet, hosts, seconds, rate, seed)
    return EXIT_VIOLATION if violations else 0


def run_deployment(
    fleet: LocalFleet, hosts: int, seconds: float, rate: float, seed: int
) -> int:
    """Run one deployment and return the number of violations."""
    name = fleet.deployment.name
    print(f"\n{name}: starting stand-ins and {hosts} entry hosts", flush=True)
    fleet.start(hosts)
    replicas = len(fleet.owned_replicas())
    print(f"{name}: {replicas} replicas have an owner; sending calls", flush=True)
    zones = fleet.deployment.standins.availability_zones
    address = next(iter(fleet.hosts.values())).membership.local_member.callers
    callers = [
        Caller(address, fleet.history, zones[number % len(zones)])
        for number in range(CALLERS_PER_FLEET)
    ]
    last_shown_at = [0.0]

    def show_progress(at: float) -> None:
        if at >= last_shown_at[0] + PROGRESS_INTERVAL_S:
            last_shown_at[0] = at
            answered = sum(c.outcome == "answered" for c in fleet.history.calls)
            sent = len(fleet.history.calls)
            print(f"{name}: {at:4.1f} s, {sent} sent, {answered} answered", flush=True)

    gevent.spawn_later(seconds / 2, change_settings, fleet)
    run_workload(
        select_used_adapters(fleet.deployment),
        callers,
        rate_per_s=rate,
        duration_s=seconds,
        seed=seed,
        progress=show_progress,
    )
    totals = fleet.totals()
    history = fleet.stop()
    print_table(history, totals)
    return print_invariants(history)


def select_used_adapters(deployment: Deployment) -> Deployment:
    """Return the deployment with only the adapters that the callers use.

    The store serves 2 to 4 loads per second; a short run over many cold adapters would
    mostly wait for loads.
    """
    teams = {
        name: team.model_copy(
            update={
                "adapters": dict(list(team.adapters.items())[:ADAPTERS_USED_PER_TEAM])
            }
        )
        for name, team in deployment.teams.items()
    }
    return dataclasses.replace(deployment, teams=teams)


def change_settings(fleet: LocalFleet) -> None:
    """Commit one settings change while calls run."""
    host = next(iter(fleet.hosts.values()))
    name, team = next(iter(fleet.deployment.teams.items()))
    adapter_name, adapter = next(iter(team.adapters.items()))
    changed = adapter.model_copy(update={"version": "v2", "keep": ["v1"]})
    team = team.model_copy(
        update={"adapters": {**team.adapters, adapter_name: changed}}
    )
    revision = fleet.record_accepted(SettingsStore(host.key_value), {name: team})
    print(f"{fleet.deployment.name}: settings revision {revision} accepted", flush=True)


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile of the values, 0.0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def print_table(history: History, totals: FleetTotals) -> None:
    """Print results by rank, adapter loads, stalls and tokens per engine step."""
    by_rank: dict[str, list[CallRecord]] = {}
    for call in history.calls:
        by_rank.setdefault(call.rank, []).append(call)
    print(
        f"\n{'rank':<18}{'requests':>9}{'answered':>9}{'not run':>9}{'unknown':>9}"
        f"{'median ms':>11}{'p95 ms':>9}   (to the first token)"
    )
    for rank, calls in sorted(by_rank.items()):
        first_ms = [
            (call.first_at - call.sent_at) * 1000
            for call in calls
            if call.outcome == "answered"
        ]
        counts = [
            sum(call.outcome in outcomes for call in calls)
            for outcomes in (("answered",), ("not_run",), ("unknown", "cut"))
        ]
        print(
            f"{rank:<18}{len(calls):>9}{counts[0]:>9}{counts[1]:>9}{counts[2]:>9}"
            f"{percentile(first_ms, 0.5):>11.1f}{percentile(first_ms, 0.95):>9.1f}"
        )
    per_step = totals.tokens / totals.steps if totals.steps else 0.0
    print(
        f"\nadapter loads {totals.loads}, stalled requests {totals.stalls}, "
        f"store rejections {totals.store_rejections}, "
        f"most loads in flight {totals.highest_in_flight}, "
        f"tokens per engine step {per_step:.2f}"
    )


def print_invariants(history: History) -> int:
    """Print the result of each check and return the number of violations."""
    violations = check_history(history)
    print()
    for name in CHECKS:
        found = [v.detail for v in violations if v.invariant == name]
        print(f"{name} {'BROKEN' if found else 'held  '} {INVARIANT_TEXTS[name]}")
        for detail in found[:5]:
            print(f"     {detail}")
    return len(violations)


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(demo))
