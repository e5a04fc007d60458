"""Measure the cost of each role per unit, as a line fitted over several sizes."""

from __future__ import annotations

import gc
import itertools
import json
import os
import platform
import socket
import time
import tracemalloc
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import asdict
from functools import partial
from pathlib import Path

import gevent
import msgpack
from gevent.server import StreamServer
from result import Err

from ..calls import AdapterVersion
from ..calls import Call
from ..calls import Rank
from ..engines import create_replica_client
from ..events import EventLog
from ..events import LoadEvent
from ..host import EntryHost
from ..hostlist import HostList
from ..hostlist import create_host_list
from ..httpcalls import create_http_peer
from ..httpcalls import encode_head
from ..idempotency import CallDeduplicator
from ..idempotency import create_call_deduplicator
from ..keyvalue import KeyValue
from ..keyvalue import create_key_value
from ..loadbudget import LoadBudget
from ..loadbudget import Permit
from ..loadbudget import PermitRequest
from ..loadbudget import PermitReturn
from ..localfleet import Deployment
from ..localfleet import LocalFleet
from ..membership import GossipEntry
from ..membership import Member
from ..membership import Membership
from ..messages import Accepted
from ..messages import Chunk
from ..messages import End
from ..messages import Failed
from ..messages import Forward
from ..messages import Message
from ..messages import NotRun
from ..messages import Reply
from ..messages import Started
from ..metrics import Metrics
from ..observation import Observer
from ..peers import PeerNetwork
from ..replicas import OwnedReplica
from ..replicas import Ownership
from ..replicas import create_owned_replica
from ..routing import ReplicaView
from ..settingscommits import ChangeRequest
from ..settingsstore import SettingsStore
from ..standins.fleet import AdapterGroup
from ..standins.fleet import EngineGroup
from ..standins.fleet import StandinSettings
from ..standins.hostlist import HostListEntry
from ..standins.hostlist import HostListStandin
from ..standins.keyvalue import KeyValueStandin
from ..teamsettings import FleetSettings
from ..teamsettings import TeamSettings
from . import experiment
from .design import UNCHANGED_LIST_COST
from .design import Capacity
from .design import Slope
from .design import design_tables
from .design import slope_table

RESULT_FILE = Path("docs/capacity.json")
PAGE_FILE = Path("docs/CAPACITY.md")

# One event of an engine's stream, which carries one token.
TOKEN_PART = b"data: " + b"x" * 120 + b"\n\n"

ADAPTER = AdapterVersion("team", "adapter-1", "v1")

RANK = Rank("urgent", 1, 0.5, 0.44, 2.0, 10.0)

ADAPTERS_PER_TEAM = 1000

CHANGES_PER_SIZE = 50

READS_PER_SIZE = 20

LIST_TAG = f'"{"0" * 64}"'

NOT_MODIFIED = (
    f"HTTP/1.1 304 Not Modified\r\nETag: {LIST_TAG}\r\n"
    "Date: Fri, 04 Dec 2026 05:00:00 GMT\r\n\r\n"
).encode()

FLEET_WINDOW_S = 6.0

FLEET_ROLE = "membership and ownership"

BENCH_DEADLINE_S = 3600.0

Measure = Callable[["Capacity"], Iterator[Slope]]

ROLES: dict[str, Measure] = {}


def role(name: str) -> Callable[[Measure], Measure]:
    """Register the measurement of one role."""

    def register(function: Measure) -> Measure:
        ROLES[name] = function
        return function

    return register


def processor_us(function: Callable[[], object]) -> float:
    """Return the processor time of one run in microseconds."""
    gc.collect()
    began = time.process_time()
    function()
    return (time.process_time() - began) * 1e6


def allocated_bytes(function: Callable[[], object]) -> float:
    """Return the bytes that the result of `function` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = function()
        gc.collect()
        return float(tracemalloc.get_traced_memory()[0]) if kept is not None else 0.0
    finally:
        tracemalloc.stop()


def measure_sizes(
    measure: Callable[[Callable[[], object]], float],
    function: Callable[[int], object],
    sizes: list[float],
) -> list[float]:
    """Return the result of `measure` for `function` at each size."""
    return [measure(partial(function, int(size))) for size in sizes]


def resident_mb() -> float:
    """Return the resident memory of this process in megabytes."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def bench_fleet_settings() -> FleetSettings:
    """Return fleet settings with one rank and one engine upstream."""
    return FleetSettings.model_validate(
        {
            "ranks": {"urgent": {"urgency": 1, "share": 0.5, "target_s": 0.44}},
            "upstreams": {"engine": {"kind": "engine", "base_model": "base"}},
            "store": {"min_rate_per_s": 4.0, "max_rate_per_s": 4.0},
        }
    )


def bench_team(adapters: int) -> TeamSettings:
    """Return a team's settings with a number of adapters."""
    return TeamSettings.model_validate(
        {
            "default_rank": "urgent",
            "adapters": {
                f"adapter-{number}": {"version": "v1", "upstream": "engine"}
                for number in range(1, adapters + 1)
            },
        }
    )


def bench_deployment(replicas: int = 1) -> Deployment:
    """Return a deployment with idle engines."""
    standins = StandinSettings(
        availability_zones=["a", "b", "c"],
        store_rate_per_s=4.0,
        adapters={"team": [AdapterGroup(prefix="adapter", count=10, versions=["v1"])]},
        engines={"engine": EngineGroup(replicas=replicas)},
        services={},
    )
    teams = {"team": bench_team(10)}
    return Deployment("bench", standins, bench_fleet_settings(), teams)


def canned_replies(request_id: str, attempt: int, tokens: int) -> Iterator[Reply]:
    """Yield the replies of a call with a number of tokens, without any wait."""
    yield Accepted(request_id, attempt)
    headers = [["Content-Type", "text/event-stream"]]
    yield Started(request_id, attempt, 200, headers, str(ADAPTER), "engine-1")
    for number in range(tokens):
        yield Chunk(request_id, attempt, number, TOKEN_PART)
    yield End(request_id, attempt, tokens)


class CannedAttempts:
    """Attempts that answer every call with `tokens` tokens immediately."""

    def __init__(self) -> None:
        self.tokens = 1

    def run(self, call: Call, *_: object) -> Iterator[Reply]:
        """Return Started, the chunks and End."""
        replies = canned_replies(call.request_id, 1, self.tokens)
        next(replies)
        return replies


def bench_forward(number: int) -> Forward:
    """Return a call as it is sent between hosts."""
    return Forward(
        request_id=f"request-{number}",
        attempt=1,
        replica="engine-1",
        kind="completion",
        team="team",
        upstream="engine",
        adapter=str(ADAPTER),
        rank=RANK.name,
        urgency=RANK.urgency,
        share=RANK.share,
        target_s=RANK.target_s,
        patience_s=RANK.patience_s,
        worth=RANK.worth,
        idempotent=True,
        revision=1,
        remaining_s=10.0,
        method="POST",
        path="/v1/completions",
        headers=[["Content-Type", "application/json"]],
        body=b"{}" * 100,
        stream=True,
    )


@role("entry host towards callers")
def measure_entry(capacity: Capacity) -> Iterator[Slope]:
    """Measure a call over loopback with canned replies, its caller included."""
    fleet = LocalFleet(bench_deployment())
    fleet.start(hosts=1)
    host = fleet.hosts["entry-1"]
    attempts = CannedAttempts()
    host.deduplicator.run_call = attempts.run
    sizes = [1, 64, 128, 256]
    values = []
    calls = 200
    for tokens in sizes:
        attempts.tokens = tokens
        total = processor_us(partial(call_repeatedly, host, calls))
        values.append(total / calls)
    fleet.stop()
    yield Slope(
        "entry host towards callers",
        "processor time (us)",
        "token",
        [float(size) for size in sizes],
        values,
        note="intercept: one request; the caller's side of loopback is included",
    )


def call_repeatedly(host: EntryHost, calls: int) -> None:
    """Send calls one after the other on one connection."""
    ip, _, port = host.membership.local_member.callers.rpartition(":")
    body = b'{"model": "team/adapter-1", "prompt": "p", "stream": true}'
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: bench\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    request = head.encode() + body
    with socket.create_connection((ip, int(port))) as sock:
        for _ in range(calls):
            sock.sendall(request)
            received = b""
            while not received.endswith(b"0\r\n\r\n"):
                data = sock.recv(1 << 16)
                if not data:
                    raise ConnectionResetError("the entry host closed the stream")
                received = received[-8:] + data


@role("relay between hosts")
def measure_relay(capacity: Capacity) -> Iterator[Slope]:
    """Measure a forwarded call over one stream, both hosts included."""
    sizes = [1.0, 64.0, 128.0, 256.0]
    values = []
    calls = 200
    for tokens in sizes:
        near, far = bench_peers(int(tokens))

        def run(near: PeerNetwork = near) -> None:
            for number in range(calls):
                for _ in near.stream("far", bench_forward(number), 10.0):
                    pass

        values.append(processor_us(run) / calls)
        near.stop()
        far.stop()
    yield Slope(
        "relay between hosts",
        "processor time (us)",
        "token",
        sizes,
        values,
        note="intercept: one request; both hosts in one process",
    )


@role("exchange between hosts")
def measure_exchange(capacity: Capacity) -> Iterator[Slope]:
    """Measure a small request and its reply over one stream, both hosts included."""
    near, far = bench_peers(1)
    far.handle(PermitRequest, lambda _, request: Permit(1, 3.0))
    request = bench_permit_request()
    near.call("far", request, 1.0)
    before = near.traffic.bytes_sent, near.traffic.bytes_received
    near.call("far", request, 1.0)
    capacity.counts["replica_entry_bytes"] = replica_entry_bytes()
    capacity.counts["permit_request_bytes"] = near.traffic.bytes_sent - before[0]
    capacity.counts["permit_bytes"] = near.traffic.bytes_received - before[1]
    sizes = [500.0, 1000.0, 2000.0]

    def run(calls: int) -> None:
        for _ in range(calls):
            near.call("far", request, 1.0)

    values = measure_sizes(processor_us, run, sizes)
    near.stop()
    far.stop()
    yield Slope(
        "exchange between hosts",
        "processor time (us)",
        "request and reply",
        sizes,
        values,
        note="both hosts in one process",
    )


def bench_permit_request() -> PermitRequest:
    """Return a request for a permit."""
    return PermitRequest("near", "engine-1", str(ADAPTER), 0, 1.0)


def bench_peers(tokens: int) -> tuple[PeerNetwork, PeerNetwork]:
    """Return two connected networks; the second answers with canned replies."""
    key = "bench-shared-key-of-two-hosts"
    far = PeerNetwork("far", "f", "127.0.0.1:0", key, lambda _: None)

    def answer(_: str, forward: Forward) -> Iterator[Message]:
        return canned_replies(forward.request_id, forward.attempt, tokens)

    far.handle(Forward, answer)
    far.start()
    near = PeerNetwork("near", "n", "127.0.0.1:0", key, lambda _: far.address)
    near.start()
    return near, far


def state_response(resident: int = 8) -> bytes:
    """Return an engine's state report as a whole HTTP response."""
    state = {
        "instance": "i",
        "slots": 8,
        "max_batch": 16,
        "fence": 1,
        "adapters": [
            {"adapter": f"team/adapter-{number}", "version": "v1", "in_use": 0}
            for number in range(resident)
        ],
        "running": 0,
        "waiting": 0,
        "leaving": False,
    }
    body = json.dumps(state).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def serve_response(response: bytes, sock: socket.socket, _: object) -> None:
    """Answer every request on a connection with the same response."""
    while sock.recv(4096):
        sock.sendall(response)


class NoPermits:
    """Source of permits that never grants one."""

    def acquire(self, *_: object, **__: object) -> Permit:
        """Return a permit with number 0, which grants nothing."""
        return Permit(0, 0.0)

    def return_permit(self, *_: object) -> None:
        """Ignore the permit."""


@role("owner of replicas")
def measure_owner(capacity: Capacity) -> Iterator[Slope]:
    """Measure load reports, and idle replicas over a window of time."""
    server = StreamServer(("127.0.0.1", 0), partial(serve_response, state_response()))
    server.start()
    address = f"127.0.0.1:{server.server_port}"

    def create(number: int) -> OwnedReplica:
        return create_owned_replica(
            f"engine-{number}",
            "engine",
            create_replica_client("engine", f"engine-{number}", address),
            Ownership(1, lambda: True),
            NoPermits(),
            "shares",
            "bench",
        )

    capacity.counts["state_report_bytes"] = len(state_response())
    one = create(0)
    one.read_report()
    sizes = [200.0, 400.0, 800.0]

    def read_reports(count: int) -> None:
        for _ in range(count):
            one.read_report()

    values = measure_sizes(processor_us, read_reports, sizes)
    yield Slope(
        "owner of replicas",
        "processor time (us)",
        "load report",
        sizes,
        values,
        note="the report's HTTP exchange and its canned server are included",
    )
    sizes = [8.0, 16.0, 32.0]
    values = []
    for size in sizes:
        replicas = [create(number) for number in range(int(size))]
        for replica in replicas:
            replica.start()
        gevent.sleep(1.0)
        used = processor_us(lambda: gevent.sleep(FLEET_WINDOW_S))
        values.append(used / FLEET_WINDOW_S)
        for replica in replicas:
            replica.stop()
    yield Slope(
        "owner of replicas",
        "processor time (us/s)",
        "idle replica",
        sizes,
        values,
        note="reports at their interval, dispatch task",
    )
    sizes = [8.0, 16.0, 32.0]
    values = measure_sizes(
        allocated_bytes, lambda n: [create(i) for i in range(n)], sizes
    )
    yield Slope("owner of replicas", "memory (bytes)", "replica", sizes, values)
    server.stop()


@role("owner of the load budget")
def measure_budget(capacity: Capacity) -> Iterator[Slope]:
    """Measure permits that are granted without a wait and given back."""
    fleet = LocalFleet(bench_deployment())
    fleet.start(hosts=1)
    budget = fleet.hosts["entry-1"].budget
    if budget is None:
        raise TimeoutError("the only host does not own the load budget")
    # Each reading of this clock advances it by 10 s, so that no permit waits.
    budget.clock = partial(next, itertools.count(time.monotonic() + 10.0, 10.0))
    sizes = [1000.0, 2000.0, 4000.0]
    values = measure_sizes(processor_us, partial(grant_permits, budget), sizes)
    fleet.stop()
    yield Slope(
        "owner of the load budget",
        "processor time (us)",
        "permit",
        sizes,
        values,
        note="without the two messages that carry it",
    )


def grant_permits(budget: LoadBudget, count: int) -> None:
    """Grant permits and return each immediately."""
    for _ in range(count):
        permit = budget.try_grant()
        if permit is None:
            raise TimeoutError("a permit was not granted immediately")
        budget.return_permit(PermitReturn(permit.number, "ok"))


@role("settings")
def measure_settings(capacity: Capacity) -> Iterator[Slope]:
    """Measure the settings tree in memory and as text, and one change."""
    sizes = [4000.0, 8000.0, 16000.0]
    memory, texts, changes = [], [], []
    for size in sizes:
        standin = KeyValueStandin()
        standin.start()
        key_value = create_key_value("etcd-v3-json", standin.address)
        writer = SettingsStore(key_value)
        writer.commit_tree(bench_fleet_settings(), {})
        for number in range(int(size) // ADAPTERS_PER_TEAM):
            writer.commit_tree(None, {f"team-{number}": bench_team(ADAPTERS_PER_TEAM)})
        memory.append(allocated_bytes(partial(read_settings, key_value)))
        texts.append(settings_text_bytes(standin))
        reader = read_settings(key_value)
        change_adapter(writer, reader, 0)
        calls = sum(standin.calls.values())
        change_adapter(writer, reader, 1)
        capacity.counts["key_value_calls_per_change"] = (
            sum(standin.calls.values()) - calls
        )
        total = processor_us(partial(change_repeatedly, writer, reader))
        changes.append(total / CHANGES_PER_SIZE)
        standin.stop()
    yield Slope("settings", "memory (bytes)", "adapter", sizes, memory)
    yield Slope("settings", "text (bytes)", "adapter", sizes, texts)
    yield Slope(
        "settings",
        "processor time (us)",
        "adapter, for one change",
        sizes,
        changes,
        note="writer, reader and the stand-in of the service in one process",
    )


def read_settings(key_value: KeyValue) -> SettingsStore:
    """Return a store that has read all settings from the service."""
    store = SettingsStore(key_value)
    store.refresh()
    return store


def change_adapter(writer: SettingsStore, reader: SettingsStore, number: int) -> None:
    """Change one adapter's version and activate the change in the reader."""
    path = f"teams/team-0/adapters/adapter-{number + 1}/version"
    request = ChangeRequest({path: f"v{number + 2}"}, "bench", "measurement")
    result = writer.commit(request)
    if isinstance(result, Err):
        raise result.err_value
    reader.refresh()


def change_repeatedly(writer: SettingsStore, reader: SettingsStore) -> None:
    """Make `CHANGES_PER_SIZE` changes."""
    for number in range(CHANGES_PER_SIZE):
        change_adapter(writer, reader, number + 2)


def settings_text_bytes(standin: KeyValueStandin) -> float:
    """Return the bytes of all values of teams in the service."""
    return float(
        sum(
            len(item.value)
            for key, item in standin.items.items()
            if key.startswith("/filbertyard/settings/teams/")
        )
    )


@role("records of non-idempotent calls")
def measure_records(capacity: Capacity) -> Iterator[Slope]:
    """Measure calls with a key that arrive together at one recorder."""
    standin = KeyValueStandin()
    standin.start()
    key_value = create_key_value("etcd-v3-json", standin.address)
    peers = PeerNetwork("h", "i", "127.0.0.1:0", "bench-shared-key", lambda _: None)

    def answer(call: Call) -> Iterator[Reply]:
        yield Started(call.request_id, 1, 200, [], "", "service-1")
        yield Chunk(call.request_id, 1, 0, b"{}")
        yield End(call.request_id, 1, 1)

    deduplicator = create_call_deduplicator(
        "h", key_value, lambda: ["h"], peers, answer
    )
    sizes = [128.0, 256.0, 512.0]
    writes, processor = [], []
    for size in sizes:
        before = standin.calls.get("/v3/kv/txn", 0)
        run = partial(run_keyed_calls, deduplicator, int(size))
        processor.append(processor_us(run))
        gevent.sleep(1.0)
        writes.append(float(standin.calls["/v3/kv/txn"] - before))
    standin.stop()
    name = "records of non-idempotent calls"
    note = "all calls arrive together; two records a call"
    yield Slope(name, "key-value writes", "call", sizes, writes, note=note)
    note = "the stand-in of the service is included"
    yield Slope(name, "processor time (us)", "call", sizes, processor, note=note)


def run_keyed_calls(deduplicator: CallDeduplicator, count: int) -> None:
    """Run calls with fresh keys at the same time."""

    def run(number: int) -> None:
        call = bench_call(bench_forward(number))
        call.kind = "service"
        call.idempotent = False
        for reply in deduplicator.run(call, f"key-{count}-{number}"):
            if isinstance(reply, NotRun | Failed):
                raise RuntimeError(f"call was not recorded: {reply.cause}")

    tasks = [gevent.spawn(run, number) for number in range(count)]
    gevent.joinall(tasks, raise_error=True)


@role(FLEET_ROLE)
def measure_fleet(capacity: Capacity) -> Iterator[Slope]:
    """Measure idle fleets of increasing size in one process."""
    sizes = [4.0, 8.0, 16.0, 32.0]
    processor, sent, calls, frames = [], [], [], []
    for size in sizes:
        fleet = LocalFleet(bench_deployment(replicas=1))
        fleet.start(hosts=int(size), ready_timeout_s=60.0)
        gevent.sleep(2.0)
        hosts = list(fleet.hosts.values())
        before = fleet_counts(fleet, hosts)
        used = processor_us(lambda: gevent.sleep(FLEET_WINDOW_S))
        after = fleet_counts(fleet, hosts)
        share = size * FLEET_WINDOW_S
        processor.append(used / share)
        sent.append((after[0] - before[0]) / share)
        frames.append((after[1] - before[1]) / share)
        calls.append((after[2] - before[2]) / FLEET_WINDOW_S)
        fleet.stop()
    role_name = FLEET_ROLE
    note = "per host; stand-ins of the platform are included"
    yield Slope(
        role_name, "processor time per host (us/s)", "host", sizes, processor, note=note
    )
    if any(sent):
        yield Slope(role_name, "control bytes per host (B/s)", "host", sizes, sent)
        yield Slope(role_name, "control frames per host (1/s)", "host", sizes, frames)
    yield Slope(role_name, "key-value calls (1/s)", "host", sizes, calls)
    sizes = [500.0, 1000.0, 2000.0]
    yield Slope(
        role_name,
        "memory (bytes)",
        "gossip entry",
        sizes,
        measure_sizes(allocated_bytes, gossip_table, sizes),
        note="replica entries with 8 adapters, the largest kind",
    )


def gossip_table(entries: int) -> Membership:
    """Return a table of a number of replica entries."""
    address = "127.0.0.1:1"
    table = Membership(Member("h", "i", address, address, "region", "zone"))
    for number in range(entries):
        table.merge_entry(replica_entry(number))
    return table


def replica_entry(number: int) -> GossipEntry:
    """Return a gossip entry of a replica with 8 resident adapters."""
    adapters = [f"team-{number}/adapter-{place}@v1" for place in range(8)]
    value = [adapters, {"urgent": 0.1, "normal": 0.5, "idle": 2.0}, False]
    return GossipEntry("replica", f"engine-{number}", "entry-1", 1, number, value)


def replica_entry_bytes() -> int:
    """Return the bytes of a replica entry in a message."""
    return len(msgpack.packb(replica_entry(1000).pack()))


def fleet_counts(fleet: LocalFleet, hosts: list[EntryHost]) -> tuple[int, int, int]:
    """Return control bytes and frames sent, and calls of the key-value service."""
    sent = sum(host.peers.traffic.control_bytes_sent for host in hosts)
    frames = sum(sum(host.peers.traffic.requests_sent.values()) for host in hosts)
    return sent, frames, sum(fleet.standins.key_value.calls.values())


@role("host list")
def measure_host_list(capacity: Capacity) -> Iterator[Slope]:
    """Measure reads of the whole host list and of an unchanged one."""
    sizes = [500.0, 1000.0, 2000.0]
    texts, values, unchanged = [], [], []
    for size in sizes:
        standin = HostListStandin(0.0, 0)
        standin.start()
        for number in range(int(size)):
            listed = HostListEntry(
                f"engine-{number}", "10.0.0.1:8000", "region-a", "engine"
            )
            standin.put(listed)
        peer = create_http_peer(standin.address)
        body = peer.request("GET", "/hosts").read()
        standin.stop()
        texts.append(float(len(body)))
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        response = head.encode() + body
        server = StreamServer(("127.0.0.1", 0), partial(serve_response, response))
        server.start()
        client = create_host_list(f"127.0.0.1:{server.server_port}")
        values.append(processor_us(partial(read_repeatedly, client)) / READS_PER_SIZE)
        server.stop()
        server = StreamServer(
            ("127.0.0.1", 0), partial(serve_tagged_list, tagged_list(body))
        )
        server.start()
        client = create_host_list(f"127.0.0.1:{server.server_port}")
        client.read()
        unchanged.append(
            processor_us(partial(read_repeatedly, client)) / READS_PER_SIZE
        )
        server.stop()
    capacity.counts["unchanged_list_bytes"] = unchanged_list_bytes()
    yield Slope("host list", "text (bytes)", "listed host", sizes, texts)
    note = "one reading; sending the canned list is included"
    yield Slope(
        "host list", "processor time (us)", "listed host", sizes, values, note=note
    )
    note = "one reading that ends with 304; its canned server is included"
    yield Slope(
        "host list", UNCHANGED_LIST_COST, "listed host", sizes, unchanged, note=note
    )


def tagged_list(body: bytes) -> bytes:
    """Return a host list as an HTTP response with an entity tag."""
    head = f"HTTP/1.1 200 OK\r\nETag: {LIST_TAG}\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def serve_tagged_list(response: bytes, sock: socket.socket, _: object) -> None:
    """Answer with the list, or with 304 if the request carries its entity tag."""
    while request := sock.recv(4096):
        sock.sendall(NOT_MODIFIED if b"If-None-Match" in request else response)


def unchanged_list_bytes() -> int:
    """Return the bytes of a request for an unchanged list and its response."""
    headers = {"If-None-Match": LIST_TAG}
    request = encode_head("GET", "/hosts", "10.0.0.100:8000", headers, b"")
    return len(request) + len(NOT_MODIFIED)


def read_repeatedly(client: HostList) -> None:
    """Read the host list `READS_PER_SIZE` times."""
    for _ in range(READS_PER_SIZE):
        if isinstance(client.read(), Err):
            raise RuntimeError("the host list could not be read")


@role("event buffers")
def measure_events(capacity: Capacity) -> Iterator[Slope]:
    """Measure events and request timelines below their bounds."""
    sizes = [250.0, 500.0, 1000.0]
    yield Slope(
        "event buffers",
        "memory (bytes)",
        "event",
        sizes,
        measure_sizes(allocated_bytes, record_loads, sizes),
    )
    yield Slope(
        "event buffers",
        "memory (bytes)",
        "request timeline",
        sizes,
        measure_sizes(allocated_bytes, lambda n: watch_calls(n, 8), sizes),
        note="resolved, routed, queued, dispatched, started and ended",
    )
    sizes = [1000.0, 2000.0, 4000.0]
    yield Slope(
        "event buffers",
        "processor time (us)",
        "event",
        sizes,
        measure_sizes(processor_us, record_loads, sizes),
    )
    tokens = [16.0, 64.0, 256.0]
    calls = 300
    totals = measure_sizes(processor_us, lambda n: watch_calls(calls, n), tokens)
    yield Slope(
        "metrics and timelines",
        "processor time (us)",
        "token",
        tokens,
        [total / calls for total in totals],
        note="intercept: one request; generating the tokens is included",
    )
    series = [8.0, 16.0, 32.0]
    yield Slope(
        "metrics and timelines",
        "memory (bytes)",
        "histogram",
        series,
        measure_sizes(allocated_bytes, fill_metrics, series),
    )
    filled = [fill_metrics(int(size)) for size in series]
    yield Slope(
        "metrics and timelines",
        "processor time of one exposition (us)",
        "histogram",
        series,
        [processor_us(metrics.render) for metrics in filled],
    )


def record_loads(count: int) -> EventLog:
    """Return a log with a number of load events."""
    log = EventLog()
    for number in range(count):
        log.record(
            LoadEvent(
                cause="waiting calls",
                adapter=f"team/adapter-{number}@v1",
                upstream="engine-1",
                outcome="ok",
                worth=3.0,
                queued=4,
                duration_s=0.25,
            )
        )
    return log


def watch_calls(count: int, tokens: int) -> Observer:
    """Return an observer that followed a number of calls on one host."""
    observer = Observer()
    view = ReplicaView("engine-1", "engine", "entry-1")
    for number in range(count):
        forward = bench_forward(number)
        call = bench_call(forward)
        observer.record_route(forward, view)
        observer.record_dispatch(call, 0.01, False)
        replies = canned_replies(call.request_id, 1, tokens)
        for _ in observer.observe_call(
            call, observer.observe_attempt(forward, replies)
        ):
            pass
    return observer


def bench_call(forward: Forward) -> Call:
    """Return the resolved call of a forward message."""
    return Call(
        request_id=forward.request_id,
        kind="completion",
        team=forward.team,
        upstream=forward.upstream,
        rank=RANK,
        idempotent=True,
        revision=1,
        deadline=time.monotonic() + BENCH_DEADLINE_S,
        method=forward.method,
        path=forward.path,
        body=forward.body,
        stream=True,
        adapter=ADAPTER,
    )


def fill_metrics(histograms: int) -> Metrics:
    """Return metrics with a number of histograms."""
    metrics = Metrics()
    for number in range(histograms):
        for place in range(100):
            metrics.observe(
                "filbertyard_queue_wait_seconds", place * 0.01, rank=str(number)
            )
    return metrics


@experiment("slopes")
def slopes(*, only: str = "", page: bool = False, output: Path = RESULT_FILE) -> int:
    """Measure the cost of each role per unit and write it for the capacity page.

    :param only: measure only the role of this name, and replace its results
    :param page: measure nothing, and regenerate the tables of docs/CAPACITY.md
    :param output: file for the results
    """
    if page:
        write_page(load_capacity(output))
        return 0
    gc.collect()
    capacity = Capacity(
        measured_at=time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        machine=f"{platform.machine()}, {os.cpu_count()} cores, "
        f"Python {platform.python_version()}",
        base_memory_mb=resident_mb(),
    )
    # The fleets come last: after them, reading an unchanged host list took 12 ms
    # instead of 0.2 ms.
    for name, measure in sorted(ROLES.items(), key=lambda item: item[0] == FLEET_ROLE):
        if only in ("", name):
            for slope in measure(capacity):
                capacity.slopes.append(slope)
                print(
                    f"{slope.role}: {slope.slope:.4g} {slope.cost} per {slope.unit}, "
                    f"{slope.intercept:.4g} at none, residual {slope.residual:.1%}",
                    flush=True,
                )
    if only:
        capacity = replace_roles(load_capacity(output), capacity)
    output.write_text(json.dumps(asdict(capacity), indent=1) + "\n")
    return 0


def replace_roles(older: Capacity, newer: Capacity) -> Capacity:
    """Return the older results with those roles that the newer run measured."""
    measured = {slope.role for slope in newer.slopes}
    older.slopes = [s for s in older.slopes if s.role not in measured] + newer.slopes
    older.counts.update(newer.counts)
    return older


def load_capacity(path: Path) -> Capacity:
    """Return the results that an earlier run wrote."""
    value = json.loads(path.read_text())
    rows = value.pop("slopes")
    return Capacity(**value, slopes=[Slope(**row) for row in rows])


def write_page(capacity: Capacity) -> None:
    """Replace the tables of the page between their begin and end markers."""
    text = PAGE_FILE.read_text()
    tables = {"slopes": slope_table(capacity), **design_tables(capacity)}
    for name, table in tables.items():
        begin, end = f"<!-- {name}: begin -->", f"<!-- {name}: end -->"
        before, _, rest = text.partition(begin)
        _, _, after = rest.partition(end)
        text = f"{before}{begin}\n{table}\n{end}{after}"
    PAGE_FILE.write_text(text)
