"""Predict the control cost at the design size from the measured slopes."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from ..events import EVENT_CAPACITIES
from ..events import MAX_TIMELINES
from ..host import HOST_LIST_POLL_S
from ..idempotency import LINGER_S
from ..idempotency import MAX_RECORDERS
from ..idempotency import NON_URGENT_LINGER_S
from ..leases import RENEW_INTERVAL_S
from ..membership import DIGEST_INTERVAL_S
from ..membership import MAX_PIGGYBACK_ENTRIES
from ..membership import PROBE_INTERVAL_S
from ..membership import PUSH_FANOUT
from ..membership import PUSH_INTERVAL_S
from ..replicas import STATE_INTERVAL_S
from ..settingsstore import AUDIT_INTERVAL_S

DAY_S = 86_400.0

HOUR_S = 3_600.0

REGIONS = 5

# Size of a settings log entry for a small change of one adapter.
LOG_ENTRY_BYTES = 400

# Assumed share of the requests with an idempotency key.
KEYED_SHARE = 0.1

RANKS = 3

HISTOGRAMS_PER_RANK = 4

SCRAPE_S = 15.0

UNCHANGED_LIST_COST = "processor time of an unchanged list (us)"

# A replaced host is listed as leaving, removed, and its successor added.
LIST_CHANGES_PER_REPLACEMENT = 3


@dataclass(frozen=True, slots=True)
class DesignSize:
    """Design size of the fleet and limits of the control cost per node."""

    nodes: int = 410
    replicas: int = 2100
    requests_per_s: float = 1600.0
    tokens_per_s: float = 370_000.0
    adapters: int = 47_000
    activity_changes_per_hour: float = 0.34
    zones: int = 14
    changes_per_day: float = 11_000.0
    in_force_s: float = 20.0
    core_share: float = 0.014
    memory_mb: float = 64.0
    bytes_per_s: float = 12_000.0
    failures_per_day: float = 15.0
    replacements_per_day: float = 530.0
    key_value_writes_per_s: float = 300.0
    key_value_reads_per_s: float = 2_000.0

    @property
    def replicas_per_node(self) -> float:
        """Return the replicas that a node owns on average."""
        return self.replicas / self.nodes

    @property
    def loads_per_s(self) -> float:
        """Return the adapter loads of the fleet.

        Half of the activity changes are adapters that become active, each of which is
        loaded by two home replicas.
        """
        return self.adapters * self.activity_changes_per_hour / 2 / HOUR_S * 2


@dataclass(frozen=True, slots=True)
class Prediction:
    """Control cost of one role on one node at the design size."""

    role: str
    state: str
    messages: str
    processor_us_per_s: float
    memory_bytes: float
    bytes_per_s: float
    mechanism: str
    basis: str


@dataclass(slots=True)
class Slope:
    """Cost per unit; `residual` is the largest deviation over the largest value."""

    role: str
    cost: str
    unit: str
    sizes: list[float]
    values: list[float]
    slope: float = 0.0
    intercept: float = 0.0
    residual: float = 0.0
    note: str = ""

    def __post_init__(self) -> None:
        self.slope, self.intercept, self.residual = fit_line(self.sizes, self.values)


@dataclass(slots=True)
class Capacity:
    """All results of one run."""

    measured_at: str
    machine: str
    base_memory_mb: float
    slopes: list[Slope] = field(default_factory=list)
    counts: dict[str, float] = field(default_factory=dict)


def fit_line(
    sizes: Sequence[float], values: Sequence[float]
) -> tuple[float, float, float]:
    """Return slope, intercept and relative residual of the least-squares line."""
    count = len(sizes)
    mean_x = sum(sizes) / count
    mean_y = sum(values) / count
    spread = sum((x - mean_x) ** 2 for x in sizes)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in zip(sizes, values, strict=True))
        / spread
    )
    intercept = mean_y - slope * mean_x
    residuals = [
        abs(y - intercept - slope * x) for x, y in zip(sizes, values, strict=True)
    ]
    largest = max(abs(y) for y in values)
    return slope, intercept, max(residuals) / largest if largest else 0.0


def find_slope(capacity: Capacity, role: str, cost: str, unit: str) -> Slope:
    """Return one measured slope; raise KeyError if the run did not measure it."""
    for slope in capacity.slopes:
        if (slope.role, slope.cost, slope.unit) == (role, cost, unit):
            return slope
    raise KeyError(f"no slope of {role!r}: {cost} per {unit}")


def predict(capacity: Capacity, size: DesignSize) -> list[Prediction]:
    """Return the control cost of each role on a node with all of them."""
    time_cost = "processor time (us)"
    memory_cost = "memory (bytes)"

    def slope(role: str, cost: str, unit: str) -> float:
        return find_slope(capacity, role, cost, unit).slope

    exchange_us = slope("exchange between hosts", time_cost, "request and reply") / 2
    owned = size.replicas_per_node
    owner = "owner of replicas"
    reports = owned / STATE_INTERVAL_S
    report_bytes = capacity.counts["state_report_bytes"]
    permits = size.loads_per_s
    permit_us = slope("owner of the load budget", time_cost, "permit")
    permit_us += 2 * exchange_us
    changes = size.changes_per_day / DAY_S
    change = find_slope(capacity, "settings", time_cost, "adapter, for one change")
    requests = size.requests_per_s / size.nodes
    listed = size.nodes + size.replicas
    replaced = (size.replacements_per_day + size.failures_per_day) / DAY_S
    list_changes = replaced * LIST_CHANGES_PER_REPLACEMENT
    unchanged = find_slope(capacity, "host list", UNCHANGED_LIST_COST, "listed host")
    entry_bytes = slope("membership and ownership", memory_cost, "gossip entry")

    def at_design_size(cost: str) -> float:
        line = find_slope(capacity, "membership and ownership", cost, "host")
        # A falling line is not extrapolated beyond the measured sizes.
        return max(*line.values, line.intercept + line.slope * size.nodes)

    timeline_bytes = slope("event buffers", memory_cost, "request timeline")
    event_bytes = slope("event buffers", memory_cost, "event")
    histogram = "metrics and timelines"
    series = RANKS * HISTOGRAMS_PER_RANK
    return [
        Prediction(
            "owner of replicas",
            f"{owned:.1f} replicas: slots, queue, running calls",
            f"{reports:.1f} load reports/s",
            owned * slope(owner, "processor time (us/s)", "idle replica"),
            owned * slope(owner, memory_cost, "replica"),
            reports * (report_bytes + 100),
            "one owner per replica; ownership spreads evenly by rendezvous hash",
            "measured",
        ),
        Prediction(
            "owner of the load budget",
            "outstanding permits (at most 8), waiting requests",
            f"{permits:.1f} permits/s, each with its return",
            permits * permit_us,
            8 * 200.0,
            permits
            * (
                2 * capacity.counts["permit_request_bytes"]
                + 2 * capacity.counts["permit_bytes"]
            ),
            "one host; a permit for each load, granted by worth",
            "measured",
        ),
        Prediction(
            "settings",
            f"{size.adapters} adapters",
            f"{changes:.2f} changes/s, announced by gossip, fetched once",
            changes * (change.intercept + change.slope * size.adapters),
            size.adapters * slope("settings", memory_cost, "adapter"),
            changes * 2 * LOG_ENTRY_BYTES,
            "snapshot on each host, log entries from the announcing peer",
            "measured; bytes estimated as 400 B an entry, in and out",
        ),
        Prediction(
            "host lease, membership and gossip",
            f"{size.nodes} hosts, {size.replicas} owners, replicas of the region",
            f"{2 / RENEW_INTERVAL_S:.0f} renewals/s, "
            f"{1 / PROBE_INTERVAL_S:.0f} probes/s, "
            f"at most {PUSH_FANOUT / PUSH_INTERVAL_S:.0f} pushes/s, a digest every "
            f"{DIGEST_INTERVAL_S:g} s",
            at_design_size("processor time per host (us/s)"),
            (size.nodes + size.replicas * (1 + 1 / REGIONS)) * entry_bytes,
            at_design_size("control bytes per host (B/s)"),
            "two witnesses, random probes, bounded pushes, digests",
            f"measured line at {size.nodes} hosts, or the largest value if it falls; "
            "stand-ins of the platform included",
        ),
        Prediction(
            "host list",
            f"{listed} listed hosts",
            f"{1 / HOST_LIST_POLL_S:g} readings/s, {list_changes:.3f} of them whole",
            list_changes * listed * slope("host list", time_cost, "listed host")
            + max(unchanged.values) / HOST_LIST_POLL_S,
            listed * 400.0,
            list_changes * listed * slope("host list", "text (bytes)", "listed host")
            + capacity.counts["unchanged_list_bytes"] / HOST_LIST_POLL_S,
            "each host reads the list, whole only after a change",
            f"measured; {LIST_CHANGES_PER_REPLACEMENT} changes for each replaced host; "
            "memory estimated as 400 B a host",
        ),
        Prediction(
            "event buffers and timelines",
            f"{sum(EVENT_CAPACITIES.values())} events, {MAX_TIMELINES} timelines",
            "none; read by queries",
            2 * requests * slope("event buffers", time_cost, "event") * 8,
            sum(EVENT_CAPACITIES.values()) * event_bytes
            + MAX_TIMELINES * timeline_bytes,
            0.0,
            "a bounded ring for each kind of event",
            "measured at the bounds",
        ),
        Prediction(
            "metrics",
            f"{series} histograms",
            f"one exposition every {SCRAPE_S:g} s",
            series
            * slope(histogram, "processor time of one exposition (us)", "histogram")
            / SCRAPE_S,
            series * slope(histogram, memory_cost, "histogram"),
            0.0,
            "fixed histogram layout, at most 512 series",
            "measured",
        ),
    ]


def key_value_calls(
    capacity: Capacity, size: DesignSize
) -> list[tuple[str, float, float, str]]:
    """Return writes and reads per second of the key-value service by purpose."""
    restarts = (size.replacements_per_day + size.failures_per_day) / DAY_S
    changes = size.changes_per_day / DAY_S
    keyed = size.requests_per_s * KEYED_SHARE
    urgent = min(keyed, MAX_RECORDERS / LINGER_S)
    non_urgent = min(keyed, MAX_RECORDERS / NON_URGENT_LINGER_S)
    idle = find_slope(
        capacity, "membership and ownership", "key-value calls (1/s)", "host"
    )
    return [
        (
            "background calls of idle hosts",
            0.0,
            max(0.0, idle.intercept + idle.slope * size.nodes),
            f"measured line at {size.nodes} hosts; one host reads all settings "
            f"every {AUDIT_INTERVAL_S:g} s in addition",
        ),
        ("host records", restarts, restarts, f"{restarts * DAY_S:.0f} starts a day"),
        (
            "owner records",
            restarts * size.replicas_per_node * 2,
            0.0,
            "each replica of a replaced host moves away and back",
        ),
        ("settings changes", changes, changes * 2, "one transaction, read-back"),
        (
            "settings watches",
            0.0,
            float(2 * size.zones),
            "2 pending watches in each availability zone",
        ),
        (
            "records of non-idempotent calls",
            urgent + non_urgent,
            0.0,
            f"{KEYED_SHARE:.0%} of the requests with a key: {urgent:.0f} at the start, "
            f"{non_urgent:.0f} at the end; batches of {MAX_RECORDERS} recorders "
            "bound them "
            f"at {MAX_RECORDERS / LINGER_S + MAX_RECORDERS / NON_URGENT_LINGER_S:.0f}",
        ),
    ]


def slope_table(capacity: Capacity) -> str:
    """Return the measured slopes as a table."""
    rows = [
        (
            slope.role,
            slope.cost,
            slope.unit,
            f"{slope.slope:.4g}",
            f"{slope.intercept:.4g}",
            f"{slope.residual:.1%}",
            ", ".join(f"{size:g}" for size in slope.sizes),
            slope.note,
        )
        for slope in capacity.slopes
    ]
    head = ("role", "cost", "per", "slope", "at none", "residual", "sizes", "note")
    intro = (
        f"Measured {capacity.measured_at} on {capacity.machine}. Interpreter and "
        f"libraries: {capacity.base_memory_mb:.1f} MB resident before any state.\n\n"
    )
    return intro + markdown_table(head, rows)


def design_tables(capacity: Capacity, size: DesignSize | None = None) -> dict[str, str]:
    """Return the tables of the capacity page that depend on the design size."""
    size = size or DesignSize()
    rows = predict(capacity, size)
    roles = markdown_table(
        (
            *("role", "state on a node", "messages", "core", "memory", "KB/s"),
            *("mechanism", "basis"),
        ),
        [
            (
                row.role,
                row.state,
                row.messages,
                f"{row.processor_us_per_s / 1e6:.3%}",
                f"{row.memory_bytes / 1e6:.2f} MB",
                f"{row.bytes_per_s / 1000:.2f}",
                row.mechanism,
                row.basis,
            )
            for row in rows
        ],
    )
    calls = key_value_calls(capacity, size)
    key_value = markdown_table(
        ("purpose", "writes/s", "reads/s", "arithmetic"),
        [(name, f"{w:.3f}", f"{r:.3f}", why) for name, w, r, why in calls],
    )
    core = sum(row.processor_us_per_s for row in rows) / 1e6
    memory = sum(row.memory_bytes for row in rows) / 1e6
    traffic = sum(row.bytes_per_s for row in rows)
    writes = sum(call[1] for call in calls)
    reads = sum(call[2] for call in calls)
    bounds = markdown_table(
        ("bound", "limit", "predicted", "share used", "fits"),
        [
            bound_row("core for control", size.core_share * 100, core * 100, "%"),
            bound_row("memory for control, state", size.memory_mb, memory, "MB"),
            bound_row(
                "memory with interpreter and libraries",
                size.memory_mb,
                memory + capacity.base_memory_mb,
                "MB",
            ),
            bound_row(
                "bytes for control", size.bytes_per_s / 1000, traffic / 1000, "KB/s"
            ),
            bound_row(
                "bytes for pushes in a flood, at their limit",
                size.bytes_per_s / 1000,
                PUSH_FANOUT
                / PUSH_INTERVAL_S
                * MAX_PIGGYBACK_ENTRIES
                * capacity.counts["replica_entry_bytes"]
                / 1000,
                "KB/s",
            ),
            bound_row("key-value writes", size.key_value_writes_per_s, writes, "/s"),
            bound_row("key-value reads", size.key_value_reads_per_s, reads, "/s"),
        ],
    )
    return {
        "roles": roles,
        "key-value": key_value,
        "bounds": bounds,
        "requests": request_table(capacity, size),
    }


def request_table(capacity: Capacity, size: DesignSize) -> str:
    """Return the cost of requests on a node, which is not part of the control cost."""
    requests = size.requests_per_s / size.nodes
    tokens = size.tokens_per_s / size.nodes
    rows = []
    for role in (
        "entry host towards callers",
        "relay between hosts",
        "metrics and timelines",
    ):
        slope = find_slope(capacity, role, "processor time (us)", "token")
        core = (requests * slope.intercept + tokens * slope.slope) / 1e6
        rows.append(
            (
                role,
                f"{slope.intercept:.0f} us",
                f"{slope.slope:.2f} us",
                f"{requests:.1f}",
                f"{tokens:.0f}",
                f"{core:.2%}",
            )
        )
    head = ("hop", "a request", "a token", "requests/s", "tokens/s", "core")
    return markdown_table(head, rows)


def bound_row(
    name: str, limit: float, predicted: float, unit: str
) -> tuple[str, str, str, str, str]:
    """Return one row of the table of limits and predicted values."""
    return (
        name,
        f"{limit:g} {unit}",
        f"{predicted:.3g} {unit}",
        f"{predicted / limit:.0%}",
        "yes" if predicted <= limit else "no",
    )


def markdown_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)
