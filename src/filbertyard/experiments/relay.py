"""Measure the cost of relaying: time added per hop and requests per core."""

from __future__ import annotations

import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

import gevent

from ..exceptions import FilbertyardError
from ..httpcalls import HttpPeer
from ..httpcalls import create_http_peer
from ..keyvalue import create_key_value
from ..ownership import OWNERS_PREFIX
from . import experiment

READY_TIMEOUT_S = 30.0

CALL_TIMEOUT_S = 30.0

MODEL = "bench/adapter-1"
VERSION = "v1"

SERVICE_PATH = "/status"

PROGRAMS = "from filbertyard.programs.{0} import main; main()"

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(slots=True)
class Route:
    """One route to the same upstreams; `hops` is 0 for direct calls."""

    hops: int
    engine: HttpPeer
    model: str
    service: HttpPeer
    service_path: str
    pid: int


@dataclass(slots=True)
class RouteResult:
    """Results of one route; times are in milliseconds."""

    hops: int
    first_ms: float = 0.0
    first_p95_ms: float = 0.0
    gap_ms: float = 0.0
    gap_p95_ms: float = 0.0
    plain_per_core: float = 0.0
    stream_per_core: float = 0.0


@dataclass(slots=True)
class Timings:
    """Times of the calls on one route, in seconds."""

    first: list[float] = field(default_factory=list)
    gaps: list[float] = field(default_factory=list)


@experiment("relay")
def relay(
    *,
    calls: int = 300,
    tokens: int = 16,
    seconds: float = 4.0,
    clients: int = 16,
    output: Path | None = None,
) -> int:
    """Compare calls through entry hosts with direct calls to the same stand-ins.

    Runs the stand-ins and two entry hosts as processes on loopback. One hop is a call
    to the host that owns the replica, two hops a call to the other host.

    :param calls: streamed calls in turn on each route, for the added times
    :param tokens: tokens of each streamed call
    :param seconds: how long to send plain and streamed calls on each route, for calls
        per core
    :param clients: concurrent clients for calls per core
    :param output: file for the results as JSON
    """
    with tempfile.TemporaryDirectory() as folder, run_processes(Path(folder)) as routes:
        timings = [Timings() for _ in routes]
        for _ in range(calls):
            for route, timing in zip(routes, timings, strict=True):
                # Warm-up: a process that was idle while the other routes were measured
                # takes up to 1 ms longer for its next call.
                send_stream(route, 1).read()
                time_stream(route, tokens, timing)
        results = [
            RouteResult(
                route.hops,
                first_ms=1000 * statistics.median(timing.first),
                first_p95_ms=1000 * percentile(timing.first, 0.95),
                gap_ms=1000 * statistics.median(timing.gaps),
                gap_p95_ms=1000 * percentile(timing.gaps, 0.95),
            )
            for route, timing in zip(routes, timings, strict=True)
        ]
        for route, result in zip(routes, results, strict=True):
            result.plain_per_core = calls_per_core(route, clients, seconds, 0)
            result.stream_per_core = calls_per_core(route, clients, seconds, tokens)
    print_results(results)
    text = json.dumps([asdict(result) for result in results])
    print(text)
    if output is not None:
        output.write_text(text + "\n")
    return 0


def time_stream(route: Route, tokens: int, timings: Timings) -> None:
    """Send one streamed call and record when its parts arrived."""
    began = time.perf_counter()
    response = send_stream(route, tokens)
    last = 0.0
    for part in response.parts():
        now = time.perf_counter()
        if b"data: " not in part:
            continue
        if last:
            timings.gaps.append(now - last)
        else:
            timings.first.append(now - began)
        last = now


def send_stream(route: Route, tokens: int) -> Any:
    """Send one streamed call."""
    request = {
        "model": route.model,
        "prompt": "p",
        "max_tokens": tokens,
        "stream": True,
    }
    headers = {
        "Content-Type": "application/json",
        "Filbertyard-Request": f"bench-{time.perf_counter_ns()}",
    }
    body = json.dumps(request).encode()
    response = route.engine.request("POST", "/v1/completions", body, headers)
    if response.status != 200:
        raise FilbertyardError(
            f"status {response.status}: {response.read()[:200]!r}", step="relay bench"
        )
    return response


def calls_per_core(route: Route, clients: int, seconds: float, tokens: int) -> float:
    """Return the calls per CPU second of the first process on a route."""
    counts = [0] * clients
    end = time.monotonic() + seconds

    def run_client(number: int) -> None:
        while time.monotonic() < end:
            if tokens:
                response = send_stream(route, tokens)
            else:
                response = route.service.request("GET", route.service_path)
            response.read()
            counts[number] += 1

    before = cpu_seconds(route.pid)
    tasks = [gevent.spawn(run_client, number) for number in range(clients)]
    gevent.joinall(tasks, timeout=seconds + CALL_TIMEOUT_S, raise_error=True)
    return sum(counts) / max(1e-9, cpu_seconds(route.pid) - before)


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile of the values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def print_results(results: list[RouteResult]) -> None:
    """Print the results of each route and the time added to direct calls."""
    direct = results[0]
    print(
        f"{'hops':>4}{'first ms':>10}{'p95':>8}{'added':>8}{'p95':>8}"
        f"{'gap ms':>9}{'p95':>8}{'added':>8}{'p95':>8}"
        f"{'plain/s/core':>14}{'stream/s/core':>15}"
    )
    for result in results:
        print(
            f"{result.hops:>4}{result.first_ms:>10.2f}{result.first_p95_ms:>8.2f}"
            f"{result.first_ms - direct.first_ms:>8.2f}"
            f"{result.first_p95_ms - direct.first_p95_ms:>8.2f}"
            f"{result.gap_ms:>9.2f}{result.gap_p95_ms:>8.2f}"
            f"{result.gap_ms - direct.gap_ms:>8.2f}"
            f"{result.gap_p95_ms - direct.gap_p95_ms:>8.2f}"
            f"{result.plain_per_core:>14.0f}{result.stream_per_core:>15.0f}"
        )


@contextmanager
def run_processes(folder: Path) -> Iterator[list[Route]]:
    """Run stand-ins and two entry hosts; yield the routes to the upstreams."""
    processes: list[subprocess.Popen[str]] = []
    try:
        standins = start_program(processes, "standins", write_deployment(folder))
        addresses = read_addresses(standins)
        hosts = {}
        for number in (1, 2):
            name = f"entry-{number}"
            port = 20_000 + os.getpid() % 20_000 + 2 * number
            path = write_host(folder, name, port, addresses)
            hosts[name] = (
                f"127.0.0.1:{port}",
                start_program(processes, "entry", path).pid,
            )
        yield find_routes(addresses, hosts, standins.pid)
    finally:
        for process in processes:
            process.terminate()
        for process in processes:
            try:
                process.wait(timeout=20)
            except subprocess.TimeoutExpired:
                process.kill()


def start_program(
    processes: list[subprocess.Popen[str]], program: str, argument: Path
) -> subprocess.Popen[str]:
    """Start one program of the package."""
    command = [sys.executable, "-c", PROGRAMS.format(program), str(argument)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    processes.append(process)
    return process


def read_addresses(process: subprocess.Popen[str]) -> dict[str, str]:
    """Return the addresses that the stand-ins print."""
    addresses = {}
    assert process.stdout is not None
    for _ in range(3):
        name, _, address = process.stdout.readline().strip().rpartition(" ")
        addresses[name.strip()] = address
    return addresses


def find_routes(
    addresses: dict[str, str], hosts: dict[str, tuple[str, int]], standins_pid: int
) -> list[Route]:
    """Wait until both replicas have an owner; return the routes to them."""
    key_value = create_key_value("etcd-v3-json", addresses["key-value service"])
    host_list = create_http_peer(addresses["host list"])
    listed = {
        host["name"]: host["address"]
        for host in host_list.json("GET", "/hosts")[1]["hosts"]
    }
    end = time.monotonic() + READY_TIMEOUT_S
    owners: dict[str, str] = {}
    while len(owners) < 2:
        for replica in ("model-1", "plain-1"):
            items = key_value.range(OWNERS_PREFIX + replica).items
            if items:
                owners[replica] = json.loads(items[0].value)["host"]
        if time.monotonic() > end:
            raise TimeoutError("the replicas have no owners")
        gevent.sleep(0.1)
    engine, plain = (create_http_peer(listed[n]) for n in ("model-1", "plain-1"))
    routes = [Route(0, engine, f"{MODEL}@{VERSION}", plain, SERVICE_PATH, standins_pid)]
    for hops in (1, 2):
        route_addresses = [
            address
            for replica in ("model-1", "plain-1")
            for name, (address, _) in hosts.items()
            if (name == owners[replica]) == (hops == 1)
        ]
        first, second = (create_http_peer(address) for address in route_addresses)
        path = f"/services/bench/plain{SERVICE_PATH}"
        pid = next(
            pid for address, pid in hosts.values() if address == route_addresses[1]
        )
        route = Route(hops, first, MODEL, second, path, pid)
        wait_until_served(route, end)
        routes.append(route)
    return routes


def wait_until_served(route: Route, end: float) -> None:
    """Send calls on a route until they succeed; the first one loads the adapter."""
    while True:
        try:
            send_stream(route, 1).read()
            response = route.service.request("GET", route.service_path)
            response.read()
            if response.status == 200:
                return
        except FilbertyardError:
            if time.monotonic() > end:
                raise
        gevent.sleep(0.2)


def write_deployment(folder: Path) -> Path:
    """Write the settings of one engine and one plain service."""
    adapters = {"prefix": "adapter", "count": 1, "versions": [VERSION]}
    files: dict[str, Any] = {
        "standins.jsonc": {
            "availability_zones": ["a"],
            "store_rate_per_s": 10,
            "adapters": {"bench": [adapters]},
            "engines": {"model": {"replicas": 1, "step_s": 0.004, "max_batch": 64}},
            "services": {"plain": {"replicas": 1, "service_time_s": 0}},
        },
        "fleet.jsonc": {
            "ranks": {"only": {"urgency": 1, "share": 1, "target_s": 5}},
            "upstreams": {"model": {"kind": "engine"}, "plain": {"kind": "service"}},
            "store": {"min_rate_per_s": 10, "max_rate_per_s": 10},
        },
        "teams/bench.jsonc": {
            "default_rank": "only",
            "adapters": {"adapter-1": {"version": VERSION, "upstream": "model"}},
            "services": {
                "plain": {"upstream": "plain", "idempotent": [f"GET {SERVICE_PATH}"]}
            },
        },
    }
    (folder / "teams").mkdir()
    for name, value in files.items():
        (folder / name).write_text(json.dumps(value))
    return folder


def write_host(folder: Path, name: str, port: int, addresses: dict[str, str]) -> Path:
    """Write the settings of one entry host."""
    settings = {
        "name": name,
        "region": "bench",
        "availability_zone": "a",
        "callers": f"127.0.0.1:{port}",
        "peers": f"127.0.0.1:{port + 1}",
        "platform": {
            "key_value": {"address": addresses["key-value service"]},
            "host_list": addresses["host list"],
            "adapter_store": addresses["adapter store"],
        },
        "shared_key": "relay-bench-shared-key",
        "max_age_s": 0.0,
        "log_level": "warning",
    }
    path = folder / f"{name}.jsonc"
    path.write_text(json.dumps(settings))
    return path
