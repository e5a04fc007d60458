"""Count the key-value writes for calls with an `Idempotency-Key`."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Iterator
from dataclasses import asdict
from dataclasses import dataclass
from functools import partial

import gevent
from gevent.pool import Pool
from result import Ok
from result import Result

from ..calls import Call
from ..calls import Rank
from ..exceptions import PeerError
from ..idempotency import CallDeduplicator
from ..idempotency import Record
from ..idempotency import create_call_deduplicator
from ..keyvalue import create_key_value
from ..messages import Chunk
from ..messages import End
from ..messages import Message
from ..messages import NotRun
from ..messages import Reply
from ..messages import Started
from ..standins.keyvalue import KeyValueStandin
from . import experiment

HOP_DELAY_S = 0.0005

SERVICE_TIME_S = 0.01

MAX_OPEN_CALLS = 5000

RANK = Rank("only", 1, 1.0, 1.0, 4.0, 1.0)


@dataclass(slots=True)
class WriteCounts:
    """Results at one rate; `wait_ms` is the median wait for the claim."""

    hosts: int
    rate_per_s: float
    calls: int = 0
    not_run: int = 0
    writes: int = 0
    writes_per_call: float = 0.0
    writes_per_s: float = 0.0
    wait_ms: float = 0.0


class DirectPeers:
    """Calls between hosts of one process, without a network."""

    def __init__(self) -> None:
        self.hosts: dict[str, CallDeduplicator] = {}

    def call(
        self, host: str, body: Message, timeout_s: float
    ) -> Result[Message | None, PeerError]:
        """Deliver a record to its recorder after the delay of one hop."""
        assert isinstance(body, Record)
        gevent.sleep(HOP_DELAY_S)
        return Ok(self.hosts[host].handle_record("", body))


@experiment("once-writes")
def once_writes(
    *,
    hosts: list[int] = [6, 50, 410],  # noqa: B006
    rate_per_host: float = 4.0,
    seconds: float = 3.0,
    seed: int = 1,
) -> int:
    """Count the key-value writes for keyed calls as the fleet and its load grow.

    :param hosts: fleet sizes
    :param rate_per_host: keyed calls per second and host; tenfold in a second run
    :param seconds: how long to send at each size
    :param seed: seed of the arrivals
    """
    results = []
    for count in hosts:
        for factor in (1, 10):
            results.append(measure(count, rate_per_host * factor, seconds, seed))
            counts = results[-1]
            print(
                f"{counts.hosts:>4} hosts {counts.rate_per_s:>7.0f} calls/s "
                f"{counts.calls:>6} calls {counts.not_run:>4} not run "
                f"{counts.writes:>5} writes {counts.writes_per_call:>6.3f} per call "
                f"{counts.writes_per_s:>6.0f}/s, claim {counts.wait_ms:>6.1f} ms",
                flush=True,
            )
    print(json.dumps([asdict(counts) for counts in results]))
    return 0


def measure(count: int, rate_per_host: float, seconds: float, seed: int) -> WriteCounts:
    """Send keyed calls through a fleet of `count` hosts and count the writes."""
    service = KeyValueStandin()
    service.start()
    key_value = create_key_value("etcd-v3-json", service.address)
    peers = DirectPeers()
    names = [f"entry-{number}" for number in range(count)]
    waits: list[float] = []
    counts = WriteCounts(count, rate_per_host * count)

    def run_call(call: Call) -> Iterator[Reply]:
        # `send` sets the deadline to the time of sending.
        waits.append(time.monotonic() - call.deadline)
        gevent.sleep(SERVICE_TIME_S)
        yield Started(call.request_id, 1, 200, [])
        yield Chunk(call.request_id, 1, 0, b"x" * 200)
        yield End(call.request_id, 1, 1)

    for name in names:
        deduplicator = create_call_deduplicator(
            name, key_value, lambda: names, peers, run_call
        )
        peers.hosts[name] = deduplicator

    def send(number: int, name: str) -> None:
        now = time.monotonic()
        call = Call(
            f"r{number}", "service", "t", "u", RANK, False, 1, now, "POST", "/x", b""
        )
        replies = list(peers.hosts[name].run(call, f"key-{number}"))
        counts.not_run += isinstance(replies[-1], NotRun)

    rng = random.Random(seed)
    pool = Pool(MAX_OPEN_CALLS)
    began = time.monotonic()
    at = 0.0
    while at < seconds:
        at += rng.expovariate(counts.rate_per_s)
        pause = began + at - time.monotonic()
        if pause > 0:
            gevent.sleep(pause)
        pool.spawn(partial(send, counts.calls, rng.choice(names)))
        counts.calls += 1
    pool.join(timeout=30)
    gevent.sleep(1.5)
    counts.writes = sum(
        deduplicator.recorder.transactions for deduplicator in peers.hosts.values()
    )
    counts.writes_per_call = counts.writes / counts.calls
    counts.writes_per_s = counts.writes / seconds
    counts.wait_ms = 1000 * sorted(waits)[len(waits) // 2] if waits else 0.0
    service.stop()
    return counts
