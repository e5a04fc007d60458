"""Metrics of one host in Prometheus format, with histograms that hosts can merge."""

from __future__ import annotations

import math
import time
import typing as t
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

if t.TYPE_CHECKING:
    from .host import EntryHost

# Histograms record microseconds; longer durations are recorded as this one.
MAX_DURATION_US = 120_000_000

SIGNIFICANT_FIGURES = 2

# Upper bounds of the exposed buckets in seconds; 0.035 and 0.44 are latency targets.
BUCKETS_S = (
    *(0.001, 0.0025, 0.005, 0.01, 0.02, 0.035, 0.05, 0.1, 0.25, 0.44),
    *(0.6, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0),
)

# Time constant of the exponential decay of the slot time that each rank used.
USAGE_TIME_CONSTANT_S = 60.0

# Series beyond this count are summed under the label value `other`.
MAX_SERIES = 512

Labels = tuple[tuple[str, str], ...]

Samples = Iterable[tuple[Labels, float]]

GaugeFunction = Callable[["EntryHost"], Samples]

COUNTERS = {
    "filbertyard_key_value_calls_total": "Calls of the key-value service by outcome.",
    "filbertyard_connections_ended_total": "Connections of clients ended by cause.",
    "filbertyard_requests_total": "Requests by rank and outcome.",
    "filbertyard_workspace_requests_total": "Requests by workspace and outcome.",
    "filbertyard_key_rejections_total": "Requests rejected by their API key.",
    "filbertyard_configuration_confirmations_total": "Confirmations by source.",
    "filbertyard_first_tokens_in_target_total": "First tokens within their target.",
    "filbertyard_tokens_total": "Parts of streamed responses relayed to callers.",
    "filbertyard_zone_sends_total": "Requests sent to replicas, by zone.",
    "filbertyard_zone_bytes_total": "Bytes of requests and responses, by zone.",
    "filbertyard_rejections_total": "Attempts on replicas of this host not run.",
    "filbertyard_workspace_rejections_total": "Rejections by workspace and cause.",
    "filbertyard_quota_refusals_total": "Requests over the quota of a workspace.",
    "filbertyard_retries_total": "Attempts after the first one of a request.",
    "filbertyard_load_stalls_total": "Dispatched calls that waited for a load.",
    "filbertyard_loads_total": "Adapter loads by outcome.",
    "filbertyard_evictions_total": "Adapter evictions by outcome.",
    "filbertyard_ownership_changes_total": "Resources taken over or handed over.",
    "filbertyard_drains_total": "Upstreams and hosts that stopped taking work.",
    "filbertyard_orders_total": "Orders to engines by kind and result.",
    "filbertyard_reports_total": "Reports read from engines.",
    "filbertyard_rank_slot_seconds_total": "Batch slot time used by rank.",
}

HISTOGRAMS = {
    "filbertyard_key_value_seconds": "Duration of calls of the key-value service.",
    "filbertyard_first_token_seconds": "Time to the first token by rank.",
    "filbertyard_between_tokens_seconds": "Time between tokens by rank.",
    "filbertyard_queue_wait_seconds": "Wait in the queue of a replica by rank.",
    "filbertyard_workspace_queue_wait_seconds": "Wait for a replica by workspace.",
    "filbertyard_load_stall_seconds": "Queue wait of calls that needed a load.",
    "filbertyard_load_seconds": "Duration of adapter loads.",
    "filbertyard_permit_wait_seconds": "Wait for a permit of the load budget.",
    "filbertyard_quota_wait_seconds": "Wait for the quota of a workspace by rank.",
}


@dataclass(slots=True)
class Gauge:
    """A value that is read from the host when the metrics are rendered."""

    name: str
    help: str
    read: GaugeFunction


GAUGES: dict[str, Gauge] = {}


def gauge(name: str, help_text: str) -> Callable[[GaugeFunction], GaugeFunction]:
    """Register a function that reads the samples of a gauge."""

    def register(function: GaugeFunction) -> GaugeFunction:
        GAUGES[name] = Gauge(name, help_text, function)
        return function

    return register


class Histogram:
    """Durations with two significant figures; recorded in seconds."""

    def __init__(self) -> None:
        self.counts = create_hdr_histogram()
        self.sum_s = 0.0

    def record(self, seconds: float, count: int = 1) -> None:
        """Count a duration `count` times."""
        value = min(max(1, int(seconds * 1e6)), MAX_DURATION_US)
        self.counts.record_value(value, count)
        self.sum_s += seconds * count

    def encode(self) -> str:
        """Return the histogram as text for `merge` on another host."""
        return f"{self.sum_s!r} {self.counts.encode().decode()}"

    def merge(self, text: str) -> None:
        """Add a histogram that another host encoded."""
        sum_s, _, counts = text.partition(" ")
        self.counts.decode_and_add(counts)
        self.sum_s += float(sum_s)

    @property
    def total(self) -> int:
        """Return the number of recorded durations."""
        return int(self.counts.get_total_count())

    def percentile_s(self, percent: float) -> float:
        """Return a percentile in seconds, 0 without any value."""
        if not self.total:
            return 0.0
        return float(self.counts.get_value_at_percentile(percent)) / 1e6

    def cumulative(self) -> Iterator[tuple[float, int]]:
        """Yield each bucket's upper bound in seconds and the count up to it."""
        counts = self.counts.counts
        start = 0
        total = 0
        for bound in BUCKETS_S:
            end = self.counts._counts_index_for(int(bound * 1e6)) + 1
            total += sum(counts[start:end])
            start = end
            yield bound, total


def create_hdr_histogram() -> HdrHistogram:
    """Return an empty histogram; the layout must be the same on all hosts."""
    return HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_FIGURES, word_size=4)


class DecayingUsage:
    """Amounts by name that decay exponentially with USAGE_TIME_CONSTANT_S."""

    def __init__(self) -> None:
        self.amounts: dict[str, float] = {}
        self.at = time.monotonic()

    def add(self, name: str, amount: float) -> None:
        """Add an amount that was used now."""
        self.decay()
        self.amounts[name] = self.amounts.get(name, 0.0) + amount

    def decay(self) -> None:
        """Apply the decay since the last call."""
        now = time.monotonic()
        factor = math.exp((self.at - now) / USAGE_TIME_CONSTANT_S)
        self.at = now
        for name in self.amounts:
            self.amounts[name] *= factor


class Metrics:
    """Counters and histograms of one host."""

    def __init__(self) -> None:
        self.counters: dict[tuple[str, Labels], float] = {}
        self.histograms: dict[tuple[str, Labels], Histogram] = {}
        self.usage = DecayingUsage()

    def add(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Add to a counter."""
        key = (name, tuple(labels.items()))
        if key not in self.counters and len(self.counters) >= MAX_SERIES:
            key = (name, tuple((label, "other") for label in labels))
        self.counters[key] = self.counters.get(key, 0.0) + amount

    def observe(self, name: str, seconds: float, count: int = 1, **labels: str) -> None:
        """Record a duration."""
        key = (name, tuple(labels.items()))
        histogram = self.histograms.get(key)
        if histogram is None:
            if len(self.histograms) >= MAX_SERIES:
                key = (name, tuple((label, "other") for label in labels))
            histogram = self.histograms.setdefault(key, Histogram())
        histogram.record(seconds, count)

    def record_slot_use(self, rank: str, busy_s: float) -> None:
        """Count the time for which a call of a rank held a batch slot."""
        self.add("filbertyard_rank_slot_seconds_total", busy_s, rank=rank)
        self.usage.add(rank, busy_s)

    def rank_usage(self) -> dict[str, float]:
        """Return the decayed slot-seconds used by each rank."""
        self.usage.decay()
        return dict(self.usage.amounts)

    def encode(self) -> dict[str, t.Any]:
        """Return counters and histograms as plain values for another host."""
        return {
            "counters": [
                [name, dict(labels), value]
                for (name, labels), value in self.counters.items()
            ],
            "histograms": [
                [name, dict(labels), histogram.encode()]
                for (name, labels), histogram in self.histograms.items()
            ],
            "usage": self.rank_usage(),
        }

    def merge(self, value: dict[str, t.Any]) -> None:
        """Add what another host encoded."""
        for name, labels, amount in value["counters"]:
            self.add(name, amount, **labels)
        for name, labels, text in value["histograms"]:
            key = (name, tuple(labels.items()))
            self.histograms.setdefault(key, Histogram()).merge(text)
        for rank, busy_s in value["usage"].items():
            self.usage.add(rank, busy_s)

    def counter(self, name: str, **labels: str) -> float:
        """Return the sum of a counter over all series that carry `labels`."""
        wanted = set(labels.items())
        return sum(
            value
            for (found, series), value in self.counters.items()
            if found == name and wanted <= set(series)
        )

    def render(self, host: EntryHost | None = None) -> str:
        """Return all metrics in the Prometheus text format."""
        lines: list[str] = []
        for name, help_text in COUNTERS.items():
            samples = [
                (labels, value)
                for (found, labels), value in self.counters.items()
                if found == name
            ]
            lines += render_samples(name, help_text, "counter", samples)
        for name, help_text in HISTOGRAMS.items():
            lines += self.render_histograms(name, help_text)
        if host is not None:
            for item in GAUGES.values():
                lines += render_samples(item.name, item.help, "gauge", item.read(host))
        return "\n".join(lines) + "\n"

    def render_histograms(self, name: str, help_text: str) -> list[str]:
        """Return the lines of all series of one histogram."""
        lines = [f"# HELP {name} {help_text}", f"# TYPE {name} histogram"]
        for (found, labels), histogram in self.histograms.items():
            if found != name:
                continue
            for bound, count in histogram.cumulative():
                text = label_text((*labels, ("le", f"{bound:g}")))
                lines.append(f"{name}_bucket{text} {count}")
            text = label_text((*labels, ("le", "+Inf")))
            lines.append(f"{name}_bucket{text} {histogram.total}")
            lines.append(f"{name}_sum{label_text(labels)} {histogram.sum_s:.9g}")
            lines.append(f"{name}_count{label_text(labels)} {histogram.total}")
        return lines


def render_samples(name: str, help_text: str, kind: str, samples: Samples) -> list[str]:
    """Return the lines of one counter or gauge."""
    lines = [f"# HELP {name} {help_text}", f"# TYPE {name} {kind}"]
    lines += [f"{name}{label_text(labels)} {value:.9g}" for labels, value in samples]
    return lines


def label_text(labels: Labels) -> str:
    """Return labels in the Prometheus text format."""
    if not labels:
        return ""
    pairs = (f'{name}="{escape_label(value)}"' for name, value in labels)
    return "{" + ",".join(pairs) + "}"


def escape_label(value: str) -> str:
    """Escape a label value for the Prometheus text format."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


@gauge("filbertyard_open_streams", "Calls of callers that run now.")
def read_open_streams(host: EntryHost) -> Samples:
    """Return the running calls of callers."""
    yield (), host.open_calls


@gauge("filbertyard_owned_replicas", "Replicas that this host owns.")
def read_owned_replicas(host: EntryHost) -> Samples:
    """Return the owned replicas."""
    yield (), len(host.replicas)


@gauge("filbertyard_batch_occupancy_ratio", "Used part of a replica's batch.")
def read_batch_occupancy(host: EntryHost) -> Samples:
    """Return the used part of the batch of each owned replica."""
    for name, replica in host.replicas.items():
        if replica.state is not None and replica.state.max_batch:
            yield (("replica", name),), replica.running / replica.state.max_batch


@gauge("filbertyard_engine_tokens_per_step", "Tokens per step, where reported.")
def read_tokens_per_step(host: EntryHost) -> Samples:
    """Return the tokens per step of each owned engine that reports steps."""
    for name, replica in host.replicas.items():
        steps = getattr(replica.state, "steps", 0)
        if steps:
            tokens = getattr(replica.state, "tokens", 0)
            yield (("replica", name),), tokens / steps


@gauge("filbertyard_queued_calls", "Calls that wait in front of a replica.")
def read_queued_calls(host: EntryHost) -> Samples:
    """Return the queue length of each owned replica."""
    for name, replica in host.replicas.items():
        yield (("replica", name),), len(replica.queue)


@gauge("filbertyard_rank_share_used_ratio", "Part of the slot time used by rank.")
def read_rank_share(host: EntryHost) -> Samples:
    """Return the part of this host's recent slot time that each rank used."""
    usage = host.observer.metrics.rank_usage()
    total = sum(usage.values())
    for rank, busy_s in usage.items():
        yield (("rank", rank),), busy_s / total if total else 0.0


@gauge("filbertyard_rank_target_seconds", "Target to the first token by rank.")
def read_rank_target(host: EntryHost) -> Samples:
    """Return the target of each rank of the fleet."""
    fleet = host.snapshot().fleet
    for name, rank in fleet.ranks.items() if fleet is not None else ():
        yield (("rank", name),), rank.target_s


@gauge("filbertyard_settings_revision", "Revision of the settings in force.")
def read_settings_revision(host: EntryHost) -> Samples:
    """Return the revision in force."""
    yield (), host.snapshot().revision


@gauge("filbertyard_settings_confirmed_age_seconds", "Age of the last confirmation.")
def read_settings_age(host: EntryHost) -> Samples:
    """Return the time since the settings were last known to be the newest."""
    confirmed = getattr(host.settings_store, "confirmed_at", None)
    if confirmed is not None:
        yield (), time.monotonic() - confirmed


@gauge("filbertyard_host_lease_remaining_seconds", "Time left of the host lease.")
def read_lease_remaining(host: EntryHost) -> Samples:
    """Return the remaining time of the host lease, where there is one."""
    if not host.lease.needs_no_witness:
        remaining = host.lease.valid_until() - host.lease.clock()
        yield (), max(0.0, remaining)


@gauge("filbertyard_store_rate_per_second", "Loads per second the budget allows.")
def read_store_rate(host: EntryHost) -> Samples:
    """Return the rate of the load budget if this host owns it."""
    if host.budget is not None:
        yield (), host.budget.rate_per_s


@gauge("filbertyard_permits_outstanding", "Permits of the load budget in use.")
def read_permits(host: EntryHost) -> Samples:
    """Return the permits in use if this host owns the load budget."""
    if host.budget is not None:
        yield (), len(host.budget.outstanding)


@gauge("filbertyard_control_bytes", "Bytes of control frames since the start.")
def read_control_bytes(host: EntryHost) -> Samples:
    """Return the bytes exchanged with other hosts for anything but requests."""
    traffic = host.peers.traffic
    yield (("direction", "sent"),), traffic.control_bytes_sent
    yield (("direction", "received"),), traffic.control_bytes_received


@gauge("filbertyard_event_buffer_used_ratio", "Used part of each event buffer.")
def read_event_buffers(host: EntryHost) -> Samples:
    """Return the used part of each ring of events and of the timelines."""
    for name, (used, limit) in host.observer.events.usage().items():
        yield (("buffer", name),), used / limit


@gauge("filbertyard_conditions", "Things that are wrong at this host now.")
def read_conditions(host: EntryHost) -> Samples:
    """Return the number of conditions."""
    yield (), len(host.observer.events.conditions)
