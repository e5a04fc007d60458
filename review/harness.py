"""Processes, stand-ins and callers of the review's scripts.

The gateways are real processes, started with the command of the deploy file. The store
is the project's own stand-in; replicas, callers and proxies are small ones of this
module. All of them listen on loopback addresses, on ports that the system chooses.
Times are in seconds unless a name says otherwise.
"""

from __future__ import annotations

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

import gevent
import gevent.socket
from gevent.server import StreamServer

from filbertyard.platform.standins import PlatformStoreStandin

ROOT = Path(__file__).resolve().parent.parent

# Without it a script does the same but for the disruption, and must pass.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2

# Bounds of `rakeline` and `stolyarov-yard`, from their sheets.
STABLE_S = 3.0
DRAIN_S = 2.0
HEARTBEAT_S = 1.2

HOST_NAME = "ficu95.example"

# Names of the site's two services on the wire.
PLAIN_SERVICE = "wuno96b"
ENGINE_SERVICE = "huvo11a"
MODEL = "daka510000"

HEAD_LIMIT_BYTES = 65536

MAX_SCRIPT_S = 115.0


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """Lines of `record.txt`: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began = time.monotonic()

    def write(self, event: str, **fields: Any) -> None:
        """Write one line with the time since the start in seconds."""
        at = time.monotonic() - self.began
        shown = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{at:8.3f} {event} {shown}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        """Write a line of the summary, also to the standard output."""
        self.file.write(text + "\n")
        self.file.flush()
        print(text)


# Messages.


@dataclass
class Head:
    """First line and headers of a message; `rest` was read beyond them."""

    first_line: str
    headers: dict[str, str]
    rest: bytes


def read_head(sock: Any, rest: bytes = b"") -> Head | None:
    """Read a head; None if the connection ends before one is complete."""
    data = rest
    while b"\r\n\r\n" not in data:
        if len(data) > HEAD_LIMIT_BYTES:
            return None
        part = sock.recv(65536)
        if not part:
            return None
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    return Head(first, headers, rest)


def read_length(sock: Any, size: int, rest: bytes) -> tuple[bytes, bytes]:
    """Read a body of `size` bytes; return it and what follows it."""
    data = rest
    while len(data) < size:
        part = sock.recv(65536)
        if not part:
            raise ConnectionResetError("body cut short")
        data += part
    return data[:size], data[size:]


LAST_CHUNK = b"0\r\n\r\n"


def drop_stream(sock: Any, rest: bytes) -> None:
    """Read a chunked stream to its end and drop it, also one without end."""
    tail = rest[-len(LAST_CHUNK) :]
    while tail != LAST_CHUNK:
        part = sock.recv(65536)
        if not part:
            raise ConnectionResetError("stream cut short")
        tail = (tail + part)[-len(LAST_CHUNK) :]
        # The other greenlets of this process have their turn.
        gevent.sleep(0)


def read_chunks(sock: Any, rest: bytes) -> bytes:
    """Read a chunked body."""
    body, data = b"", rest
    while True:
        while b"\r\n" not in data:
            part = sock.recv(65536)
            if not part:
                raise ConnectionResetError("chunk cut short")
            data += part
        size_text, _, data = data.partition(b"\r\n")
        size = int(size_text.split(b";")[0], 16)
        chunk, data = read_length(sock, size + 2, data)
        if not size:
            return body
        body += chunk[:-2]


# Callers.


@dataclass
class Call:
    """One request of a caller; times are on the monotonic clock.

    `outcome` is the status of a complete answer as a text, or what ended the wait.
    """

    id: str
    kind: str
    host: str
    sent_at: float
    outcome: str = "open"
    signature: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    answered_at: float = 0.0


def send_call(
    call: Call,
    address: str,
    path: str,
    *,
    method: str = "POST",
    deadline_ms: int,
    wait_s: float,
    body: bytes = b"{}",
    headers: dict[str, str] | None = None,
    keep_body: bool = True,
) -> Call:
    """Send one request on a new connection and wait for its answer at most `wait_s`."""
    ip, _, port = address.rpartition(":")
    fields = {
        "Host": HOST_NAME,
        "Request-Id": call.id,
        "Deadline-Ms": str(deadline_ms),
        **(headers or {}),
    }
    if method != "GET":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    data = "\r\n".join([*lines, "", ""]).encode() + (body if method != "GET" else b"")
    sock = None
    try:
        with gevent.Timeout(wait_s, TimeoutError("no answer")):
            sock = gevent.socket.create_connection((ip, int(port)), 1.0)
            sock.settimeout(None)
            call.sent_at = time.monotonic()
            sock.sendall(data)
            head = read_head(sock)
            if head is None:
                raise ConnectionResetError("closed without an answer")
            call.headers = head.headers
            call.signature = head.headers.get("response-signature", "")
            if head.headers.get("transfer-encoding", "").lower() == "chunked":
                if keep_body:
                    call.body = read_chunks(sock, head.rest)
                else:
                    drop_stream(sock, head.rest)
            elif "content-length" in head.headers:
                size = int(head.headers["content-length"])
                call.body, _ = read_length(sock, size, head.rest)
            else:
                call.body = head.rest
                while part := sock.recv(65536):
                    call.body += part
            call.outcome = head.first_line.split()[1]
    except TimeoutError:
        call.outcome = "no answer"
    except (OSError, ValueError, IndexError) as error:
        call.outcome = f"closed ({type(error).__name__})"
    finally:
        if sock is not None:
            sock.close()
    call.answered_at = time.monotonic()
    return call


# Replicas.


@dataclass
class Run:
    """A request that reached a replica, at a time on the monotonic clock."""

    id: str
    at: float
    ran: bool = True


class PlainReplica:
    """A replica of a plain service with `slots`, which writes its entry in the store.

    `spoil(head)` returns True for a request that a case answers in its own way; that
    way is `answer_spoiled(sock, head)`.
    """

    service = PLAIN_SERVICE

    def __init__(
        self,
        name: str,
        store: PlatformStoreStandin,
        record: Record,
        *,
        zone: str = "za-east-a",
        slots: int = 6,
        work_s: tuple[float, float] = (0.06, 0.12),
        spoil: Callable[[Head], bool] = lambda head: False,
        answer_spoiled: Callable[[Any, Head], None] = lambda sock, head: None,
        extra_headers: Callable[[], list[str]] = list,
    ) -> None:
        self.name = name
        self.store = store
        self.record = record
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.spoil = spoil
        self.answer_spoiled = answer_spoiled
        self.extra_headers = extra_headers
        self.state = "ready"
        self.running = 0
        self.runs: list[Run] = []
        self.born = int(time.time() * 1000)
        self.sockets: set[Any] = set()
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"
        self.beats = gevent.spawn(self.run_beats)

    def entry(self) -> dict[str, Any]:
        """Return the replica's entry for itself."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": 0,
            "born": self.born,
        }

    def run_beats(self) -> None:
        """Write the entry at each heartbeat while the store is there."""
        while True:
            self.write_entry()
            gevent.sleep(HEARTBEAT_S)

    def write_entry(self) -> bool:
        """Write the entry; tell if the store took it."""
        if self.store.faults.unavailable:
            return False
        self.store.write(f"servers/{self.name}", self.entry())
        return True

    def serve(self, sock: Any, address: Any) -> None:
        """Serve the requests of one connection in turn."""
        self.sockets.add(sock)
        rest = b""
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while (head := read_head(sock, rest)) is not None:
                size = int(head.headers.get("content-length", "0"))
                body, rest = read_length(sock, size, head.rest)
                if not self.handle(sock, head, body):
                    return
        except OSError:
            return
        finally:
            self.sockets.discard(sock)
            sock.close()

    def handle(self, sock: Any, head: Head, body: bytes) -> bool:
        """Answer one message; tell if the connection stays open."""
        return self.answer(sock, head)

    def answer(self, sock: Any, head: Head) -> bool:
        """Answer one request; tell if the connection stays open."""
        request_id = head.headers.get("request-id", "")
        if head.headers.get("target-instance", self.name) != self.name:
            lines = ["HTTP/1.1 421 Misdirected Request", f"Instance-Id: {self.name}"]
            send_message(sock, [*lines, f"Request-Id: {request_id}"], b"")
            return True
        if self.spoil(head):
            self.answer_spoiled(sock, head)
            return False
        if self.running >= self.slots + 24:
            self.record.write("refused", replica=self.name, id=request_id)
            lines = ["HTTP/1.1 503 Service Unavailable", "Not-Executed: 1"]
            send_message(sock, [*lines, f"Request-Id: {request_id}"], b"")
            return True
        self.running += 1
        self.runs.append(Run(request_id, time.monotonic()))
        self.record.write("run", replica=self.name, id=request_id)
        try:
            gevent.sleep(random.uniform(*self.work_s))
            body = f"{self.name} ran {request_id}".encode()
            load = f"{self.running},0,{self.slots}"
            lines = ["HTTP/1.1 200 OK", f"Request-Id: {request_id}"]
            lines += [f"Response-Signature: {self.name}.{len(self.runs)}"]
            lines += [f"Server-Load: {load}", *self.extra_headers()]
            send_message(sock, lines, body)
        finally:
            self.running -= 1
        return True

    def stop(self) -> None:
        """End with all connections."""
        self.beats.kill()
        self.server.stop(timeout=0)
        for sock in list(self.sockets):
            sock.close()


class EngineReplica(PlainReplica):
    """A model engine that holds one base model and streams a few events.

    It takes requests for the base model only and is given no adapters to load.
    """

    service = ENGINE_SERVICE
    events = 8
    event_s = 0.03

    def entry(self) -> dict[str, Any]:
        """Return the engine's entry with the model that it holds."""
        return {**super().entry(), "stage": "unified", "models": self.models()}

    def models(self) -> list[dict[str, Any]]:
        """Return the resident models."""
        return [{"name": MODEL, "version": 1, "adapters": []}]

    def answer(self, sock: Any, head: Head) -> bool:
        """Answer a report, refuse orders, stream the answer to a request."""
        path = head.first_line.split()[1]
        request_id = head.headers.get("request-id", "")
        if head.headers.get("target-instance", self.name) != self.name:
            return super().answer(sock, head)
        if path == "/api/report":
            report = {
                "stage": "unified",
                "models": self.models(),
                "busy": False,
                "sequence": 0,
                "queued": 0,
                "running": self.running,
                "kvUsed": 0,
                "kvTotal": 100000,
                "handles": 0,
                "born": self.born,
            }
            lines = ["HTTP/1.1 200 OK", "Content-Type: application/json"]
            send_message(sock, lines, json.dumps(report).encode())
            return True
        if path == "/api/order":
            send_message(sock, ["HTTP/1.1 400 Bad Request"], b"")
            return True
        if self.spoil(head):
            self.answer_spoiled(sock, head)
            return False
        self.running += 1
        self.runs.append(Run(request_id, time.monotonic()))
        self.record.write("run", replica=self.name, id=request_id)
        try:
            lines = ["HTTP/1.1 200 OK", f"Request-Id: {request_id}"]
            lines += [f"Response-Signature: {self.name}.{len(self.runs)}"]
            lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            sock.sendall("\r\n".join([*lines, "", ""]).encode())
            for number in range(1, self.events + 1):
                gevent.sleep(self.event_s)
                sock.sendall(encode_chunk(encode_event(number)))
            sock.sendall(b"0\r\n\r\n")
        finally:
            self.running -= 1
        return True


class AdapterEngine(EngineReplica):
    """An engine that carries out orders and crashes if they exceed its memory.

    `seen` holds each order with its time of arrival; reports are `report_lag_s` old.
    """

    weights_mb = 16700.0
    model_mb = 16100.0
    adapter_mb = 14.0
    adapter_slots = 18
    load_s = 0.25
    report_lag_s = 0.1

    def __init__(self, *args: Any, **options: Any) -> None:
        self.sequence = 0
        self.seen: list[tuple[float, dict[str, Any]]] = []
        self.adapters: dict[str, float] = {}
        self.pending: dict[str, float] = {}
        self.using: dict[str, int] = {}
        self.unloading: set[str] = set()
        self.last_reports: list[tuple[float, bytes]] = []
        self.exceeded = ""
        self.cut = 0
        super().__init__(*args, **options)

    def models(self) -> list[dict[str, Any]]:
        """Return the resident model with its adapters."""
        names = [f"{name}@1" for name in self.adapters]
        return [{"name": MODEL, "version": 1, "adapters": names}]

    def answer(self, sock: Any, head: Head) -> bool:
        """Answer a report or an order, or stream if the adapter is resident."""
        if head.headers.get("target-instance", self.name) != self.name:
            return super().answer(sock, head)
        path = head.first_line.split()[1]
        if path == "/api/report":
            lines = ["HTTP/1.1 200 OK", "Content-Type: application/json"]
            send_message(sock, lines, self.report())
            return True
        adapter = head.headers.get("model", "").partition("/")[2]
        if adapter not in self.adapters or adapter in self.unloading:
            lines = ["HTTP/1.1 421 Misdirected Request", f"Instance-Id: {self.name}"]
            request_id = head.headers.get("request-id", "")
            send_message(sock, [*lines, f"Request-Id: {request_id}"], b"")
            return True
        self.using[adapter] = self.using.get(adapter, 0) + 1
        try:
            return super().answer(sock, head)
        finally:
            self.using[adapter] -= 1
            if adapter in self.unloading and not self.using[adapter]:
                self.unloading.discard(adapter)
                self.adapters.pop(adapter, None)

    def report(self) -> bytes:
        """Return the engine's state as of a moment ago."""
        now = time.monotonic()
        value = {
            "stage": "unified",
            "models": self.models(),
            "busy": False,
            "sequence": self.sequence,
            "pending": [f"{MODEL}/{name}@1" for name in self.pending],
            "queued": 0,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 122748,
            "handles": 0,
            "born": self.born,
        }
        self.last_reports.append((now, json.dumps(value).encode()))
        while len(self.last_reports) > 1 and (
            now - self.last_reports[1][0] >= self.report_lag_s
        ):
            del self.last_reports[0]
        return self.last_reports[0][1]

    def serve_order(self, order: dict[str, Any]) -> int:
        """Carry out an order; return its status."""
        self.seen.append((time.monotonic(), order))
        name = order.get("adapter", "")
        if "holder" not in order or "fence" not in order or not name:
            return 400
        if order.get("expected", self.sequence) != self.sequence or self.unloading:
            return 409
        if order["operation"] == "unload":
            self.sequence += 1
            if self.using.get(name):
                self.unloading.add(name)
                return 202
            self.adapters.pop(name, None)
            return 200
        if name in self.adapters:
            return 200
        if len(self.pending) >= 4:
            return 409
        self.sequence += 1
        held = len(self.adapters) + len(self.pending) + 1
        used_mb = self.model_mb + held * self.adapter_mb
        self.record.write(
            "load", replica=self.name, adapter=name, held=held, used_mb=used_mb
        )
        if used_mb > self.weights_mb or held > self.adapter_slots:
            self.exceeded = f"{held} adapters, {used_mb:g} MB of {self.weights_mb:g} MB"
            self.cut = self.running
            self.record.write("crash", replica=self.name, running=self.running)
            gevent.spawn(self.stop)
            return 0
        self.pending[name] = time.monotonic()
        gevent.spawn_later(self.load_s, self.finish_load, name)
        return 202

    def finish_load(self, name: str) -> None:
        """Make a loaded adapter resident."""
        self.adapters[name] = self.pending.pop(name)

    def handle(self, sock: Any, head: Head, body: bytes) -> bool:
        """Carry out an order, or answer any other message."""
        is_own = head.headers.get("target-instance", self.name) == self.name
        if not is_own or head.first_line.split()[1] != "/api/order":
            return self.answer(sock, head)
        status = self.serve_order(json.loads(body))
        if not status:
            return False
        send_message(sock, [f"HTTP/1.1 {status} Order"], b"{}")
        return True


def encode_event(number: int) -> bytes:
    """Return one event of a stream, of 45 bytes or a few more."""
    return f"id: {number}\ndata: {'debris on the rack ' * 2}\n\n".encode()


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def send_message(sock: Any, lines: list[str], body: bytes) -> None:
    """Send a message with a length."""
    lines = [*lines, f"Content-Length: {len(body)}", "", ""]
    sock.sendall("\r\n".join(lines).encode() + body)


# Hosts.


class GatewayProcess:
    """A gateway process on a loopback address of its own."""

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        folder: Path,
        store_address: str,
        memory_mb: int = 300,
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.folder = folder
        self.store_address = store_address
        self.memory_mb = memory_mb
        names = ("front", "ready", "control", "directory")
        self.ports = dict(zip(names, free_ports(ip, len(names)), strict=True))
        self.seeds: list[str] = []
        self.popen: subprocess.Popen[bytes] | None = None

    def address(self, name: str) -> str:
        """Return one of the addresses that the process listens on."""
        return f"{self.ip}:{self.ports[name]}"

    def write_settings(self) -> None:
        """Write the settings file."""
        listen = "\n".join(f'{k} = "{self.address(k)}"' for k in self.ports)
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            seeds=json.dumps(self.seeds),
            listen=listen,
            memory_mb=self.memory_mb,
            store=self.store_address,
        )
        (self.folder / f"{self.name}.toml").write_text(text)

    def start(self) -> None:
        """Start the program of the deploy file with its environment."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        self.write_settings()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "FILBERTYARD_NODE_FILE": str(self.folder / f"{self.name}.toml"),
            **role["env"],
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.popen = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def is_running(self) -> bool:
        """Tell if the process runs."""
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.popen is not None and self.is_running():
            self.popen.send_signal(number)

    def kill(self) -> None:
        """End the process and wait for its end."""
        if self.popen is not None and self.is_running():
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        if self.popen is not None:
            self.popen.wait()

    def memory_now_mb(self) -> tuple[float, float]:
        """Return the resident memory and its peak in MB, zeros if it has ended."""
        if self.popen is None or not self.is_running():
            return 0.0, 0.0
        found = {"VmRSS": 0.0, "VmHWM": 0.0}
        for line in Path(f"/proc/{self.popen.pid}/status").read_text().splitlines():
            name, _, value = line.partition(":")
            if name in found:
                found[name] = int(value.split()[0]) * 1024 / 1e6
        return found["VmRSS"], found["VmHWM"]

    def log_text(self) -> str:
        """Return what the process has logged."""
        path = self.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""


SETTINGS = """nodeName = "{name}"
role = "gateway"
machineClass = "edge"
serves = ["edge","control_plane","registry"]
ip = "{ip}"
zone = "{zone}"
region = "za-east"
seeds = {seeds}
bootstrap = true
discovery = "platform"
entry = "registry"
heartbeatMs = 1200
[zones]
za-east-a = "za-east"
za-east-b = "za-east"
[listen]
{listen}
[limits]
cpuShare = 0.537
cores = 2
memoryMb = {memory_mb}
maxFds = 4100
linkMbps = 1000.0
[bounds]
stableMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
requireFencing = false
leaseMs = 3000
thawSlackMs = 300
version_ms = 5000
ttl_max_s = 5
[provider]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
"""


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports of a loopback address that nothing listens on."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((ip, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def loopback_ips(count: int) -> list[str]:
    """Return loopback addresses of this run: the metrics port is the same on all."""
    third, last = 1 + os.getpid() // 200 % 250, 1 + os.getpid() % 200
    return [f"127.{90 + number}.{third}.{last}" for number in range(count)]


@dataclass
class Fleet:
    """The store, the gateways and the replicas of one script."""

    record: Record
    folder: Path
    store: PlatformStoreStandin = field(default_factory=PlatformStoreStandin)
    hosts: list[GatewayProcess] = field(default_factory=list)
    replicas: list[Any] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    store_address: str = ""

    def start_store(self, configuration: dict[str, Any]) -> None:
        """Start the store and write the operator's configuration."""
        self.store.start()
        self.store_address = self.store.address
        self.store.write("op/config", configuration)

    def start_hosts(self, count: int, memory_mb: int = 300) -> None:
        """Start gateways that know the first ones as seeds."""
        for number, ip in enumerate(loopback_ips(count)):
            zone = ("za-east-a", "za-east-b")[number % 2]
            host = GatewayProcess(
                f"edge-{number}", ip, zone, self.folder, self.store_address, memory_mb
            )
            self.hosts.append(host)
        seeds = [host.address("control") for host in self.hosts[:3]]
        for host in self.hosts:
            host.seeds = seeds
            host.start()
            self.record.write("started", host=host.name, front=host.address("front"))

    def new_call(self, kind: str, host: GatewayProcess) -> Call:
        """Return a request that is not sent yet."""
        name = f"{len(self.calls):04x}{random.getrandbits(48):012x}"
        call = Call(name, kind, host.name, time.monotonic())
        self.calls.append(call)
        return call

    def log_call(self, call: Call) -> Call:
        """Write what came of a request to the record."""
        self.record.write(
            "answer",
            id=call.id,
            kind=call.kind,
            host=call.host,
            outcome=call.outcome.replace(" ", "_"),
            took_s=f"{call.answered_at - call.sent_at:.3f}",
            signature=call.signature or "-",
        )
        return call

    def stop(self) -> None:
        """End all processes and stand-ins that this script started."""
        for host in self.hosts:
            host.kill()
        for replica in self.replicas:
            replica.stop()
        self.store.stop()


def wait_until(check: Callable[[], Any], limit_s: float, what: str) -> Any:
    """Wait until `check` returns something true; raise CannotRunError."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if found := check():
            return found
        gevent.sleep(0.05)
    raise CannotRunError(f"{what}: not within {limit_s:g} s")


def plain_route(name: str, prefix: str, kind: str, **more: Any) -> dict[str, Any]:
    """Return a route to the plain service."""
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 4000,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": PLAIN_SERVICE,
        "maxAttempts": 1,
        "sticky": False,
        "resumable": False,
        **more,
    }


def plain_configuration(version: int = 7, **changes: Any) -> dict[str, Any]:
    """Return a configuration with the once-only and the repeatable route."""
    return {
        "version": version,
        "routes": [
            plain_route("r-once", "/puxa403/", "non_idempotent", **changes),
            plain_route(
                "r-read", "/cufi504/", "idempotent", **{"maxAttempts": 2, **changes}
            ),
        ],
        "services": [plain_service()],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def stream_route(name: str, prefix: str, **more: Any) -> dict[str, Any]:
    """Return a streaming route to the engines."""
    return plain_route(
        name,
        prefix,
        "streaming",
        **{
            "service": ENGINE_SERVICE,
            "timeoutMs": 15000,
            "targetLatencyMs": 1000,
            "priority": 1,
            "gapTargetMs": 300,
            "sticky": True,
            **more,
        },
    )


def engine_service() -> dict[str, Any]:
    """Return the engine service of the configuration, as on the sheet."""
    return {
        "name": ENGINE_SERVICE,
        "healthPath": "/health",
        "maxConnections": 370,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": 64,
            "kvCapacityTokens": 122748,
            "stride": 3,
            "models": [
                {
                    "name": MODEL,
                    "weightsMb": 16100,
                    "loadS": 1.3,
                    "adapters": 3000,
                    "adapterMb": 14.0,
                }
            ],
            "weightsMb": 16700,
            "adapterSlots": 18,
            "loadsPerS": 4.2,
        },
    }


def plain_service() -> dict[str, Any]:
    """Return the plain service of the configuration."""
    return {
        "name": PLAIN_SERVICE,
        "healthPath": "/health",
        "maxConnections": 110,
        "protocol": "h1",
        "tls": False,
    }


def play(case: Callable[[Fleet], int], folder: Path) -> None:
    """Play a case and exit with its result."""
    random.seed(int(os.environ.get("SEED", "1")))
    record = Record(folder / "record.txt")
    work = Path(tempfile.mkdtemp(prefix="review-"))
    fleet = Fleet(record, work)
    result = NOT_RUN
    try:
        with gevent.Timeout(MAX_SCRIPT_S, CannotRunError("the script took too long")):
            result = case(fleet)
    except CannotRunError as error:
        record.say(f"could not run: {error}")
    except Exception:
        record.say("could not run: " + traceback.format_exc())
    finally:
        if result == NOT_RUN:
            for host in fleet.hosts:
                record.say(f"last lines of {host.name}:\n{host.log_text()[-1500:]}")
        fleet.stop()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(work, ignore_errors=True)
        else:
            print(work)
    words = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}
    record.say(f"TROUBLE={int(HAS_TROUBLE)}: {words[result]}")
    sys.exit(result)
