"""Randomized soak test: real gateway processes, injected faults, checked invariants."""

from __future__ import annotations

import json
import math
import os
import random
import re
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

import gevent
from gevent.lock import BoundedSemaphore
from gevent.server import StreamServer

from filbertyard.platform.standins import PlatformStoreStandin
from filbertyard.platform.standins import ReplicaStandin
from filbertyard.sockets import reset_when_closed
from filbertyard.standins.keyvalue import SavedContent
from gatewayfleet import MODEL
from gatewayfleet import Reply
from gatewayfleet import configuration
from gatewayfleet import free_port
from gatewayfleet import read_reply
from gatewayfleet import wait_until

HOSTS = 3
ADAPTERS = 8
CALLERS = 6

# Time limit for a leaving replica, and how much later than that the slow processes of a
# loaded machine may react.
DRAIN_S = 2.0
DRAIN_SLACK_S = 3.0

# The bounds hold again this long after the last fault.
STABLE_S = 3.0

# Replicas that requests with one harmful part may end before the fleet reacts, and
# requests with it that may still reach replicas afterwards.
MAX_FIRST_CRASHES = 5
MAX_LATE_HARMFUL = 3

HARMFUL_SHARE = 0.15

# Price of another availability zone in the runs with odd seeds; the others have none.
ZONE_PRICE_MS = 50.0

# Share of the runs in which the store loses writes, and then of further losses.
LOSS_SHARE = 0.5

# Entries of another writer that no host can use, and where it leaves them.
ODD_ENTRY_PREFIXES = (
    "servers/",
    "op/version/",
    "filbertyard/hosts/",
    "filbertyard/owners/",
    "filbertyard/prompts/",
)
ODD_VALUES = (
    b"[" * 50_000 + b"]" * 50_000,
    b'{"service": "desk", "address": "127.0.0.1:99999", "state": "ready"}',
    b'{"service": "desk", "address": "127.0.0.1:9", "state": "ready", "slots": 1e999}',
    b'{"born": ' + b"9" * 5000 + b"}",
    b'{"zone": "\\ud800"}',
    b"\xff\xfe",
    b"",
)

# A replica may get this many times its rate limit within a window, and some more.
RATE_WINDOW_S = 4.0
RATE_FACTOR = 1.5
RATE_SLACK = 5

# Lease duration; orders of two hosts to one replica must be at least this far apart.
MIN_HOLDER_GAP_S = 3.0

# Bounds on the arrivals at a service beyond the first of each request, over all hosts.
RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10.0
RETRY_SLACKS = (24, 36)

# Events of each stream and the time between them.
EVENTS = 12
EVENT_S = 0.03

# Share of the streams without a length and chunks while some have none, and of the
# failing responses while replicas fail, each in some of the runs.
UNFRAMED_SHARE = 0.5
FAILURE_SHARES = (0.2, 0.5, 1.0)

# Share of the runs in which all hosts are killed at once, and then of further times.
HERD_SHARE = 0.5

# Workspaces of the callers; the quota, in requests per second with an equal burst, is
# about what the callers of the second one ask for. Each version of the configuration
# adds a key to the first one and removes the key that is two versions older.
QUOTAS = {"north": 0, "south": 2}
QUOTA_WINDOW_S = 8.0
QUOTA_OVERSHOOT = 1.1
QUOTA_SLACK = 6

# A version is in force on all hosts within this time, and slow processes of a loaded
# machine may react somewhat later.
APPLY_S = 2.0
APPLY_SLACK_S = 3.0

# Requests must be served again within this time after the last fault.
RECOVERY_TIMEOUT_S = 20.0

FAULTS: dict[str, Callable[[Soak, random.Random], None]] = {}


def fault(function: Callable[[Soak, random.Random], None]) -> Callable[..., None]:
    """Register a fault under its name."""
    FAULTS[function.__name__] = function
    return function


class Link:
    """A loopback proxy; `mode` is pass, delay, silent, one_way or reset."""

    def __init__(self, target: Callable[[], str]) -> None:
        self.target = target
        self.mode = "pass"
        self.sockets: set[Any] = set()
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        self.port = self.server.server_port
        self.address = f"127.0.0.1:{self.port}"

    def close(self) -> None:
        """Refuse connections and close the open ones, as after a crash behind it."""
        self.server.stop(timeout=0)
        for sock in list(self.sockets):
            reset(sock)

    def reopen(self) -> None:
        """Accept connections again."""
        self.server = StreamServer(("127.0.0.1", self.port), self.serve)
        self.server.start()

    def serve(self, sock: Any, address: Any) -> None:
        """Copy bytes in both directions according to the mode."""
        if self.mode == "reset":
            reset(sock)
            return
        ip, _, port = self.target().rpartition(":")
        try:
            target_sock = gevent.socket.create_connection((ip, int(port)), 2.0)
        except OSError:
            sock.close()
            return
        # The time limit is for connecting; an idle connection stays open.
        target_sock.settimeout(None)
        socks = {sock, target_sock}
        self.sockets |= socks
        response_task = gevent.spawn(self.copy, target_sock, sock, True)
        self.copy(sock, target_sock, False)
        response_task.join(30.0)
        self.sockets -= socks

    def copy(self, source: Any, sink: Any, is_response: bool) -> None:
        """Copy one direction until the source is closed."""
        try:
            while data := source.recv(65536):
                if self.mode == "delay":
                    gevent.sleep(0.05)
                while self.mode == "silent" or (self.mode == "one_way" and is_response):
                    gevent.sleep(0.05)
                sink.sendall(data)
        except OSError:
            # An orderly end would pass for that of a response without framing.
            reset(sink)
        finally:
            sink.close()

    def set_mode(self, mode: str) -> None:
        """Change the mode; a reset also closes open connections."""
        self.mode = mode
        if mode == "reset":
            for sock in list(self.sockets):
                reset(sock)


def reset(sock: Any) -> None:
    """Close a connection with a reset."""
    with suppress(OSError):
        reset_when_closed(sock)
    sock.close()


@dataclass
class Process:
    """A gateway process with the settings to start and restart it."""

    folder: Path
    store: Link
    callers_address: str
    control_address: str
    directory_address: str
    zone_price_ms: float
    popen: subprocess.Popen[bytes] | None = None
    is_paused: bool = False
    lock: BoundedSemaphore = field(default_factory=BoundedSemaphore)

    def restart(self, previous: subprocess.Popen[bytes] | None) -> None:
        """Start the program again unless another restart did since `previous`."""
        with self.lock:
            if self.popen is previous:
                self.start()

    def start(self) -> None:
        """Start the gateway program."""
        environment = {
            **os.environ,
            "FILBERTYARD_NODE_FILE": str(self.folder / "node.toml"),
            "FILBERTYARD_PEER_KEY": "a-key-for-the-soak",
            "FILBERTYARD_ZONE_PRICE_MS": str(self.zone_price_ms),
        }
        log = (self.folder / "log").open("ab")
        self.popen = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "filbertyard.programs.gateway",
                "--metrics-port",
                "0",
            ],
            env=environment,
            stdout=log,
            stderr=log,
        )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)


@dataclass
class Call:
    """One request of a caller with its reply, None before there is one."""

    id: str
    kind: str
    adapter: str
    reply: Reply | None = None
    harmful_part: str = ""
    workspace: str = ""
    key: str = ""
    at: float = field(default_factory=time.monotonic)

    @property
    def service(self) -> str:
        """Return the service that the request is for."""
        return "desk" if self.kind in ("desk", "stock") else "engine"


@dataclass
class Limit:
    """A rate limit that a replica names for a while."""

    replica: str
    per_s: float
    start: float
    end: float = math.inf


@dataclass
class Soak:
    """Processes, stand-ins and callers, with the requests and orders recorded."""

    folder: Path
    seed: int
    store: PlatformStoreStandin = field(default_factory=PlatformStoreStandin)
    replicas: list[ReplicaStandin] = field(default_factory=list)
    links: dict[str, Link] = field(default_factory=dict)
    processes: list[Process] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    caller_tasks: list[Any] = field(default_factory=list)
    restarts: list[Any] = field(default_factory=list)
    injected_faults: list[str] = field(default_factory=list)
    orders: dict[str, list[tuple[float, dict]]] = field(default_factory=dict)
    hosts: int = HOSTS
    # Without workspaces, callers have no keys and no quotas.
    has_workspaces: bool = False
    disturbances: list[tuple[float, float]] = field(default_factory=list)
    pauses: list[tuple[float, float]] = field(default_factory=list)
    drains: list[tuple[str, float, float]] = field(default_factory=list)
    limits: list[Limit] = field(default_factory=list)
    harmful_part: str = ""
    version: int = 1
    written_at: dict[int, float] = field(default_factory=dict)
    entries: dict[str, dict[str, Any] | None] = field(default_factory=dict)
    crash_times: dict[str, list[float]] = field(default_factory=dict)

    def start(self) -> None:
        """Start everything and wait until requests are served."""
        self.store.start()
        self.write_configuration()
        for name in ("e1", "e2", "d1", "d2"):
            engine = name.startswith("e")
            replica = ReplicaStandin(
                name,
                "engine" if engine else "desk",
                model=MODEL if engine else "",
                event_s=EVENT_S,
                events=EVENTS,
                zone=f"z{int(name[1]) % 2}",
            )
            replica.start()
            self.replicas.append(replica)
            self.links[name] = Link(lambda replica=replica: replica.address)
            replica.on_restart = self.record_restart
            self.record_orders(replica)
            self.list_replica(replica)
        control_addresses = [f"127.0.0.1:{free_port()}" for _ in range(self.hosts)]
        for number, control_address in enumerate(control_addresses):
            self.add_process(number, control_address, control_addresses)
        for process in self.processes:
            process.start()
        wait_until(lambda: self.send("desk", 0).status == 200, 30.0)
        wait_until(lambda: self.send("a1", 0).status == 200, 30.0)

    def record_orders(self, replica: ReplicaStandin) -> None:
        """Record the orders that a replica receives, with their arrival times."""
        seen = self.orders.setdefault(replica.id, [])
        apply_order = replica.apply_order

        def record_and_apply(order: dict) -> int:
            seen.append((time.monotonic(), order))
            return apply_order(order)

        replica.apply_order = record_and_apply

    def record_restart(self, replica: ReplicaStandin) -> None:
        """List a replica that is back after a crash."""
        # The new incarnation doesn't name a limit that was set while it was down.
        self.end_limit(replica)
        self.end_drain(replica.id)
        self.orders[replica.id].clear()
        self.links[replica.id].reopen()
        self.list_replica(replica)

    def disturb(self, seconds: float) -> None:
        """Record that the bounds need not hold for a while from now on."""
        now = time.monotonic()
        self.disturbances.append((now, now + seconds + STABLE_S))

    def is_disturbed(self, start: float, end: float) -> bool:
        """Tell if a fault or what follows it overlaps with a time."""
        return any(first < end and start < last for first, last in self.disturbances)

    def is_paused(self, start: float, end: float) -> bool:
        """Tell if a host that was paused may not have heard the others at a time."""
        return any(first < end and start < last for first, last in self.pauses)

    def list_replica(self, replica: ReplicaStandin, state: str = "ready") -> None:
        """Write the replica's store entry with the address of its link."""
        entry = {**replica.entry(state), "address": self.links[replica.id].address}
        self.entries[replica.id] = entry
        self.store.write(f"servers/{replica.id}", entry)

    def remove_replica(self, replica: str) -> None:
        """Delete the store entry of a replica."""
        self.entries[replica] = None
        self.store.delete(f"servers/{replica}")

    def change_configuration(self) -> None:
        """Write a configuration with the next version."""
        self.version += 1
        self.write_configuration()

    def write_configuration(self) -> None:
        """Write the configuration of the current version, with workspaces if any."""
        self.written_at.setdefault(self.version, time.monotonic())
        if not self.has_workspaces:
            self.store.write("op/config", configuration(self.version))
            return
        keys = {"north": ["north-0"], "south": ["south-0"]}
        keys["north"] += [f"north-{self.version}", f"north-{self.version - 1}"]
        tenants = [
            {"name": name, "apiKeys": keys[name], "ratePerS": per_s, "burst": per_s}
            for name, per_s in QUOTAS.items()
        ]
        self.store.write(
            "op/config", {**configuration(self.version), "tenants": tenants}
        )

    def lose_writes(self, saved: SavedContent, rng: random.Random) -> None:
        """Have the store come back from a copy; who wrote there writes again."""
        away_s, pause_s = rng.uniform(0.0, 2.0), rng.uniform(0.0, 1.0)
        self.injected_faults.append("lose_writes")
        self.disturb(away_s + pause_s)
        self.store.faults.unavailable = True
        gevent.sleep(away_s)
        self.store.lose_writes(saved)
        self.store.faults.unavailable = False
        gevent.sleep(pause_s)
        self.write_configuration()
        for name, entry in self.entries.items():
            if entry is not None:
                self.store.write(f"servers/{name}", entry)
            elif f"servers/{name}" in self.store.items:
                self.store.delete(f"servers/{name}")

    def add_process(self, number: int, control_address: str, seeds: list[str]) -> None:
        """Write the settings of one process."""
        folder = self.folder / f"host-{number}"
        folder.mkdir()
        store = self.links[f"store-{number}"] = Link(lambda: self.store.address)
        callers_address, directory_address = (
            f"127.0.0.1:{free_port()}" for _ in range(2)
        )
        (folder / "node.toml").write_text(
            f"""nodeName = "h{number}"
ip = "127.0.0.1"
zone = "z{number % 2}"
region = "r"
seeds = {json.dumps(seeds)}
[listen]
front = "{callers_address}"
ready = "{directory_address}"
control = "{control_address}"
directory = "{directory_address}"
[bounds]
drainMs = 2000
graceS = 8
leaseMs = {int(MIN_HOLDER_GAP_S * 1000)}
retryBudgetRatio = {RETRY_RATIO}
budgetWindowS = {RETRY_WINDOW_S:g}
budgetSlack = {RETRY_SLACKS[0]}
[provider]
address = "{store.address}"
"""
        )
        process = Process(
            folder,
            store,
            callers_address,
            control_address,
            directory_address,
            ZONE_PRICE_MS * (self.seed % 2),
        )
        self.processes.append(process)

    def send(
        self, kind: str, number: int, sockets: dict[int, Any] | None = None
    ) -> Reply:
        """Send one request and record its reply; reuse an open connection if any.

        `sockets` are the open connections of one caller to the hosts.
        """
        sockets = {} if sockets is None else sockets
        call = Call(f"q{len(self.calls)}", kind, kind)
        if self.has_workspaces:
            call.workspace, call.key = self.choose_key(len(self.calls))
        self.calls.append(call)
        path = {"desk": "/order/x", "stock": "/stock/x"}.get(kind, "/note/x")
        lines = [
            f"POST {path} HTTP/1.1",
            "Host: fleet.example",
            f"Request-Id: {call.id}",
            "Deadline-Ms: 6000",
            "Content-Length: 2",
        ]
        if self.has_workspaces:
            lines += [f"Authorization: Bearer {call.key}", "Tenant: another"]
        if path == "/note/x":
            parts = ["system:50", f"session{len(self.calls) % 5}:20"]
            if self.harmful_part and random.random() < HARMFUL_SHARE:
                call.harmful_part = self.harmful_part
                parts.append(f"{self.harmful_part}:10")
            lines += [f"Model: {MODEL}/{kind}", "Token-Usage: 100,20"]
            lines.append(f"Prompt-Prefix: {','.join(parts)},{call.id}:20")
        ip, _, port = self.processes[number].callers_address.rpartition(":")
        sock = sockets.pop(number, None)
        try:
            if sock is None:
                sock = gevent.socket.create_connection((ip, int(port)), 1.0)
            sock.settimeout(8.0)
            sock.sendall("\r\n".join([*lines, "", ""]).encode() + b"{}")
            call.reply = read_reply(sock)
        except (OSError, Exception) as error:  # noqa: BLE001
            # The connection failed: the request may or may not have run.
            call.reply = Reply(0, {}, str(error).encode(), False)
        closes = call.reply.headers.get("connection", "").lower() == "close"
        if call.reply.is_complete and not closes:
            sockets[number] = sock
        elif sock is not None:
            sock.close()
        return call.reply

    def choose_key(self, number: int) -> tuple[str, str]:
        """Return the workspace and the key of a request; some keys are removed."""
        if number % 3 == 0:
            return "south", "south-0"
        if number % 3 == 1:
            return "north", "north-0"
        return "north", f"north-{max(0, self.version - number // 3 % 4)}"

    def run_caller(self, rng: random.Random) -> None:
        """Send requests of random kinds, on open connections as long as they last."""
        sockets: dict[int, Any] = {}
        try:
            while True:
                kind = rng.choice(
                    ["desk", "stock", *(f"a{n}" for n in range(ADAPTERS))]
                )
                self.send(kind, rng.randrange(self.hosts), sockets)
                gevent.sleep(rng.uniform(0.0, 0.1))
        finally:
            for sock in sockets.values():
                sock.close()

    def run_limits(self, rng: random.Random) -> None:
        """Have some replicas name rate limits for a while, again and again."""
        while True:
            gevent.sleep(rng.uniform(0.5, 3.0))
            replica = rng.choice(self.replicas)
            if replica.faults.rate_limit is not None:
                continue
            per_s = round(rng.choice([0.5, 2.0, 5.0]) * rng.uniform(0.5, 1.5), 1)
            replica.faults.rate_limit = str(per_s)
            limit = Limit(replica.id, per_s, time.monotonic())
            self.limits.append(limit)
            gevent.spawn_later(rng.uniform(5.0, 15.0), self.end_limit, replica, limit)

    def run_losses(self, rng: random.Random) -> None:
        """Have the store lose its last writes at random times, in half of the runs."""
        while rng.random() < LOSS_SHARE:
            gevent.sleep(rng.uniform(0.0, 3.0))
            saved = self.store.save()
            gevent.sleep(rng.uniform(0.5, 5.0))
            self.lose_writes(saved, rng)

    def run_unframed(self, rng: random.Random) -> None:
        """Have engines send some streams without framing, again and again."""
        while True:
            gevent.sleep(rng.uniform(0.5, 3.0))
            for replica in self.replicas:
                replica.faults.unframed_share = UNFRAMED_SHARE * rng.randrange(2)

    def run_failures(self, rng: random.Random) -> None:
        """Have replicas of a service fail or refuse requests, again and again."""
        while True:
            gevent.sleep(rng.uniform(1.0, 6.0))
            service, share = rng.choice(["desk", "engine"]), rng.choice(FAILURE_SHARES)
            name = rng.choice(["failure_share", "refusal_share"])
            failing = [item for item in self.replicas if item.service == service]
            for replica in failing:
                setattr(replica.faults, name, share)
            gevent.sleep(rng.uniform(1.0, 6.0))
            for replica in failing:
                setattr(replica.faults, name, 0.0)

    def run_herds(self, rng: random.Random) -> None:
        """Kill all processes at once at random times, in half of the runs."""
        while rng.random() < HERD_SHARE:
            gevent.sleep(rng.uniform(2.0, 8.0))
            delay_s = rng.uniform(0.0, 1.0)
            self.injected_faults.append("kill_herd")
            self.disturb(delay_s)
            self.restarts += [
                gevent.spawn(restart_host, process, signal.SIGKILL, delay_s)
                for process in self.processes
            ]

    def run_odd_entries(self, rng: random.Random) -> None:
        """Write entries that cannot be used, as another writer might, forever."""
        while True:
            gevent.sleep(rng.uniform(0.2, 2.0))
            prefix = rng.choice(ODD_ENTRY_PREFIXES)
            key = f"{prefix}odd-{rng.randrange(5)}"
            self.store.write(key, rng.choice(ODD_VALUES))

    def run(self, faults: int) -> None:
        """Inject faults, which may overlap, then end them and wait for recovery."""
        rng = random.Random(self.seed)
        self.caller_tasks = [
            gevent.spawn(self.run_caller, random.Random(f"{self.seed}/{n}"))
            for n in range(CALLERS)
        ]
        # Faults of their own: the seeds of CI keep the sequences that they stand for.
        limits = gevent.spawn(self.run_limits, random.Random(f"{self.seed}/limits"))
        losses = gevent.spawn(self.run_losses, random.Random(f"{self.seed}/losses"))
        odd = gevent.spawn(self.run_odd_entries, random.Random(f"{self.seed}/odd"))
        others = [
            gevent.spawn(run, random.Random(f"{self.seed}/{run.__name__}"))
            for run in (self.run_unframed, self.run_failures, self.run_herds)
        ]
        for _ in range(faults):
            name = rng.choice(sorted(FAULTS))
            self.injected_faults.append(name)
            FAULTS[name](self, rng)
            gevent.sleep(rng.uniform(0.2, 2.0))
        gevent.sleep(STABLE_S)
        assert not odd.dead
        gevent.killall([limits, losses, odd, *others])
        self.end_restarts()
        self.end_faults()
        wait_until(lambda: self.send("desk", 0).status == 200, RECOVERY_TIMEOUT_S)
        wait_until(lambda: self.send("a1", 1).status == 200, RECOVERY_TIMEOUT_S)
        gevent.killall(self.caller_tasks)

    def end_restarts(self) -> None:
        """Wait for restarts; killing one could leave the process that it started."""
        gevent.joinall(self.restarts, timeout=60.0)
        assert all(restart.ready() for restart in self.restarts)

    def end_faults(self) -> None:
        """End all faults and restart processes that are down."""
        self.store.faults.unavailable = False
        self.store.faults.delay_s = 0.0
        for link in self.links.values():
            link.set_mode("pass")
        self.harmful_part = ""
        for replica in self.replicas:
            replica.faults.harmful_part = ""
            for name in ("failure_share", "refusal_share", "unframed_share"):
                setattr(replica.faults, name, 0.0)
            self.end_limit(replica)
            self.end_drain(replica.id)
            self.list_replica(replica)
        for process in self.processes:
            process.signal(signal.SIGCONT)
            if process.popen is None or process.popen.poll() is not None:
                process.start()

    def stop(self) -> None:
        """Stop the processes, links and stand-ins of this run."""
        gevent.killall(self.caller_tasks)
        for process in self.processes:
            process.signal(signal.SIGCONT)
        self.end_restarts()
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
            if process.popen is not None:
                process.popen.wait()
        for link in self.links.values():
            link.server.stop(timeout=0)
        for replica in self.replicas:
            replica.stop()
        self.store.stop()

    def violations(self) -> list[str]:
        """Return the invariant violations that callers and replicas observed."""
        found = []
        runs: dict[str, list[dict]] = {}
        for replica in self.replicas:
            for run in replica.runs:
                runs.setdefault(run["id"], []).append(run)
            if replica.loads_over_capacity:
                found.append(f"{replica.id} was ordered to load beyond its capacity")
            found += self.order_violations(replica.id)
        for call in self.calls:
            call_runs = runs.get(call.id, [])
            found += call_violations(call, call_runs)
        found += self.drain_violations() + self.rate_violations()
        found += self.budget_violations()
        if self.has_workspaces:
            found += self.quota_violations(runs) + self.key_violations(runs)
        return found + self.harmful_violations(runs)

    def end_limit(self, replica: ReplicaStandin, limit: Limit | None = None) -> None:
        """Have a replica name no rate limit any more, unless it is another one."""
        named = [item for item in self.limits if item.replica == replica.id]
        if not named or named[-1].end < math.inf or limit not in (None, named[-1]):
            return
        replica.faults.rate_limit = None
        named[-1].end = time.monotonic()

    def rate_violations(self) -> list[str]:
        """Return the rate limits that replicas got too many requests for."""
        found = []
        for limit in self.limits:
            replica = next(item for item in self.replicas if item.id == limit.replica)
            first = limit.start + STABLE_S
            times = [
                run["at"] for run in replica.runs if first <= run["at"] < limit.end
            ]
            allowed = RATE_FACTOR * RATE_WINDOW_S * limit.per_s + RATE_SLACK
            for start in times:
                end = start + RATE_WINDOW_S
                got = sum(start <= time < end for time in times)
                if got > allowed and not self.is_disturbed(start - STABLE_S, end):
                    found.append(
                        f"{replica.id} got {got} requests, {allowed:.0f} allowed"
                    )
        return found

    def budget_violations(self) -> list[str]:
        """Return the services that got more repeats in a window than the budget."""
        found = []
        for service in ("desk", "engine"):
            requests = [call.at for call in self.calls if call.service == service]
            arrivals = sorted(
                arrival
                for replica in self.replicas
                if replica.service == service
                for arrival in replica.arrivals
            )
            first: dict[str, float] = {}
            repeats = [at for at, key in arrivals if first.setdefault(key, at) != at]
            worst_excess, worst = 0.0, ""
            for start in repeats:
                got = count_between(repeats, start, start + RETRY_WINDOW_S)
                # The window, the one before it and the one half a window before.
                counted = max(
                    count_between(
                        requests, start - age_s, start - age_s + RETRY_WINDOW_S
                    )
                    for age_s in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
                )
                allowed = RETRY_RATIO * counted + RETRY_SLACKS[1]
                if got - allowed > worst_excess:
                    worst_excess = got - allowed
                    worst = f"{service} got {got} repeats, {allowed:.0f} allowed"
            found += [worst] if worst else []
        return found

    def quota_violations(self, runs: dict[str, list[dict]]) -> list[str]:
        """Return the workspaces of which more requests ran than their quota allows."""
        found = []
        for name, per_s in QUOTAS.items():
            allowed = per_s * (QUOTA_WINDOW_S + 1) * QUOTA_OVERSHOOT + QUOTA_SLACK
            times = [
                runs[call.id][0]["at"]
                for call in self.calls
                if call.workspace == name and call.id in runs
            ]
            most = max(
                (count_between(times, at, at + QUOTA_WINDOW_S) for at in times),
                default=0,
            )
            if per_s and most > allowed:
                found.append(f"{name} ran {most} requests, {allowed:.0f} allowed")
        return found

    def key_violations(self, runs: dict[str, list[dict]]) -> list[str]:
        """Return requests served for the wrong key, or rejected with a valid one."""
        found = []
        for call in self.calls:
            for run in runs.get(call.id, []):
                headers = run["headers"]
                if "HTTP_AUTHORIZATION" in headers:
                    found.append(f"{call.id} reached a replica with its key")
                if headers.get("HTTP_TENANT") != call.workspace:
                    named = headers.get("HTTP_TENANT")
                    found.append(f"{call.id} of {call.workspace} ran for {named}")
            if call.key in ("north-0", "south-0"):
                if call.reply is not None and call.reply.status == 401:
                    found.append(f"{call.id} was rejected with a valid key")
                continue
            removed_at = self.written_at.get(int(call.key.split("-")[1]) + 2, math.inf)
            late_s = call.at - removed_at - APPLY_S - APPLY_SLACK_S
            is_excused = self.is_disturbed(removed_at - STABLE_S, call.at)
            if late_s > 0 and call.id in runs and not is_excused:
                found.append(f"{call.id} ran {late_s:.1f} s late with a removed key")
        return found

    def end_drain(self, replica: str) -> None:
        """Record that a leaving replica is listed as ready again."""
        now = time.monotonic()
        self.drains = [
            (name, start, min(end, now) if name == replica else end)
            for name, start, end in self.drains
        ]

    def drain_violations(self) -> list[str]:
        """Return requests that leaving replicas got too late, without another fault."""
        found = []
        for name, start, end in self.drains:
            replica = next(item for item in self.replicas if item.id == name)
            for run in replica.runs:
                late_s = run["at"] - start - DRAIN_S - DRAIN_SLACK_S
                if late_s > 0 and run["at"] < end:
                    if self.is_disturbed(start - STABLE_S, run["at"]):
                        continue
                    found.append(f"{name} got {run['id']} {late_s:.1f} s late")
        return found

    def harmful_violations(self, runs: dict[str, list[dict]]) -> list[str]:
        """Return parts with too many requests that reached replicas late."""
        found = []
        for part, times in self.crash_times.items():
            if len(times) < MAX_FIRST_CRASHES:
                continue
            limit = sorted(times)[MAX_FIRST_CRASHES - 1] + STABLE_S
            late = [
                run["at"]
                for call in self.calls
                if call.harmful_part == part
                for run in runs.get(call.id, [])
                if run["at"] > limit and not self.is_paused(limit, run["at"])
            ]
            if len(late) > MAX_LATE_HARMFUL:
                found.append(f"{len(late)} requests with {part} reached replicas late")
        return found

    def order_violations(self, replica: str) -> list[str]:
        """Return orders of two holders too close together, and fences that decrease."""
        found = []
        orders = self.orders[replica]
        for (previous_at, previous), (order_at, order) in zip(
            orders, orders[1:], strict=False
        ):
            if (
                previous["holder"] != order["holder"]
                and order_at - previous_at < MIN_HOLDER_GAP_S
            ):
                found.append(
                    f"{replica}: orders of two holders within "
                    f"{order_at - previous_at:.2f} s"
                )
            if order["fence"] < previous["fence"]:
                found.append(
                    f"{replica}: fence {order['fence']} after {previous['fence']}"
                )
        return found


def count_between(times: list[float], start: float, end: float) -> int:
    """Return how many times are within a window."""
    return sum(start <= at < end for at in times)


def call_violations(call: Call, runs: list[dict]) -> list[str]:
    """Return the invariant violations of one request."""
    found = []
    reply = call.reply
    first_runs = [run for run in runs if not run["resumed"]]
    if call.kind == "desk" and len(runs) > 1:
        found.append(f"{call.id} ran {len(runs)} times")
    if call.kind not in ("desk", "stock") and len(first_runs) > 2:
        found.append(f"{call.id} started {len(first_runs)} times")
    if reply is None:
        return found
    if reply.status in (429, 503) and runs:
        found.append(f"{call.id} was rejected but ran")
    if reply.status == 200 and reply.is_complete:
        if not runs:
            found.append(f"{call.id} was answered without a run")
        if call.kind in ("desk", "stock"):
            return found
        ids = [line for line in reply.body.splitlines() if line.startswith(b"id:")]
        expected = [f"id: {number}".encode() for number in range(1, EVENTS + 1)]
        pieces = reply.body.count(f"data: {call.adapter}\n".encode())
        if ids != expected or pieces != EVENTS:
            found.append(f"{call.id} got a wrong stream: {reply.body[:80]!r}")
    return found


@fault
def pause_host(soak: Soak, rng: random.Random) -> None:
    """Pause a process for a while."""
    process = rng.choice(soak.processes)
    pause_s = rng.uniform(0.5, 5.0)
    soak.disturb(pause_s)
    soak.pauses.append(soak.disturbances[-1])
    process.signal(signal.SIGSTOP)
    gevent.spawn_later(pause_s, process.signal, signal.SIGCONT)


def restart_host(process: Process, number: int, delay_s: float) -> None:
    """Signal a process to end and start it again once it is gone."""
    process.signal(signal.SIGCONT)
    process.signal(number)
    popen = process.popen
    wait_until(lambda: popen is None or popen.poll() is not None, 15.0)
    gevent.sleep(delay_s)
    process.restart(popen)


@fault
def kill_host(soak: Soak, rng: random.Random) -> None:
    """Kill a process and restart it, beside what follows."""
    process, delay_s = rng.choice(soak.processes), rng.uniform(0.0, 0.5)
    soak.disturb(delay_s)
    soak.restarts.append(gevent.spawn(restart_host, process, signal.SIGKILL, delay_s))


@fault
def stop_hosts(soak: Soak, rng: random.Random) -> None:
    """Stop processes gracefully one after the other, beside what follows."""
    gap_s = rng.uniform(0.5, 2.0)
    stopped = rng.sample(soak.processes, rng.randrange(1, len(soak.processes) + 1))
    soak.disturb(len(stopped) * gap_s + 8.0)
    for index, process in enumerate(stopped):
        soak.restarts.append(
            gevent.spawn_later(
                index * gap_s, restart_host, process, signal.SIGTERM, 0.1
            )
        )


@fault
def reload_hosts(soak: Soak, rng: random.Random) -> None:
    """Change the settings files and signal some processes to read them."""
    for process in soak.processes:
        path = process.folder / "node.toml"
        slack = f"budgetSlack = {rng.randint(*RETRY_SLACKS)}"
        path.write_text(re.sub(r"budgetSlack = \d+", slack, path.read_text()))
        if rng.random() < 0.7:
            process.signal(signal.SIGHUP)


@fault
def change_configuration(soak: Soak, rng: random.Random) -> None:
    """Write several configurations in quick succession."""
    for _ in range(rng.randrange(1, 4)):
        soak.change_configuration()
        gevent.sleep(rng.uniform(0.0, 0.1))


@fault
def drain_replica(soak: Soak, rng: random.Random) -> None:
    """Have one of two replicas leave, with or without saying so before."""
    name = rng.choice(["e2", "d2"])
    replica = next(item for item in soak.replicas if item.id == name)
    if rng.random() < 0.5:
        soak.list_replica(replica, "draining")
    else:
        soak.remove_replica(name)
    soak.drains.append((name, time.monotonic(), math.inf))


@fault
def send_harmful_prompts(soak: Soak, rng: random.Random) -> None:
    """Mix in requests with a part that crashes each replica that begins to answer."""
    if soak.harmful_part:
        return
    part = soak.harmful_part = f"dead{rng.randrange(1 << 32):x}"
    times = soak.crash_times.setdefault(part, [])
    for replica in soak.replicas:
        replica.faults.harmful_part = part

        def crash(replica: ReplicaStandin = replica) -> None:
            times.append(time.monotonic())
            soak.end_limit(replica)
            soak.links[replica.id].close()
            ReplicaStandin.crash(replica)

        replica.crash = crash


@fault
def store_away(soak: Soak, rng: random.Random) -> None:
    """Make the store reject every request for a while."""
    away_s = rng.uniform(0.5, 4.0)
    soak.disturb(away_s)
    soak.store.faults.unavailable = True
    gevent.spawn_later(away_s, setattr, soak.store.faults, "unavailable", False)


@fault
def store_loses_answers(soak: Soak, rng: random.Random) -> None:
    """Make the store drop the responses of some writes that took effect."""
    soak.store.faults.lose_responses = rng.randrange(1, 4)


@fault
def store_forgets(soak: Soak, rng: random.Random) -> None:
    """Compact the store's history after a change."""
    soak.change_configuration()
    soak.store.compact()


@fault
def disturb_link(soak: Soak, rng: random.Random) -> None:
    """Delay, stall in one or both directions, or reset one link for a while."""
    link = soak.links[rng.choice(sorted(soak.links))]
    disturbed_s = rng.uniform(0.5, 4.0)
    soak.disturb(disturbed_s)
    link.set_mode(rng.choice(["delay", "silent", "one_way", "reset"]))
    gevent.spawn_later(disturbed_s, link.set_mode, "pass")


@fault
def restart_engine(soak: Soak, rng: random.Random) -> None:
    """Restart an engine, which loses its adapters."""
    replica = rng.choice([replica for replica in soak.replicas if replica.model])
    soak.end_limit(replica)
    soak.end_drain(replica.id)
    replica.restart()
    soak.orders[replica.id].clear()
    soak.list_replica(replica)


@fault
def fail_replica(soak: Soak, rng: random.Random) -> None:
    """Make a replica reset, fail, reject or cut off requests, or lose orders."""
    faults = rng.choice(soak.replicas).faults
    setattr(
        faults,
        rng.choice(
            ["reset", "fail", "reject", "reset_midway", "foreign", "lose_orders"]
        ),
        rng.randrange(1, 4),
    )
