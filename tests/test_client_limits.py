"""Clients outside the limits neither end nor hang a process of the system."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import gevent
import pytest

from filbertyard.callerserver import HANDLER_KEY
from filbertyard.callerserver import CallerLimits
from filbertyard.callerserver import create_caller_server
from filbertyard.peers import MAX_HANDSHAKES
from filbertyard.platform.standins import SIGNED_HEAD
from filbertyard.standins.web import Environ
from filbertyard.workload import PlannedCall
from gatewayfleet import start_small_fleet
from soak import Soak
from test_peers import Pair
from test_peers import open_raw_socket
from test_processes import ProcessFleet
from test_processes import free_address
from test_processes import wait_for

# Connections of one crowd.
CROWD = 150

# Memory and descriptors that a process may have more than before the crowd. The
# smallest hosts have 160 MB, of which a process without callers takes a third.
MAX_GROWTH_MB = 40
MAX_MORE_DESCRIPTORS = 40

# Bounds what one connection sends without end.
MAX_SENT_BYTES = 4 << 20

# Callers that do not read, and the size of the response for each.
SLOW_READERS = 60
LARGE_BODY_BYTES = 6 << 20

# A hanging process is found after this time.
HANG_S = 30.0

REQUEST_LINE = b"GET /healthz HTTP/1.1\r\n"
FILLER = b"x" * 65536

# Different names of header lines, with `maxHeaderBytes` of the deployments or less.
MANY_LINES = b"".join(b"%04x:\r\n" % number for number in range(2000))
POST = b"POST /v1/completions HTTP/1.1\r\nHost: fleet.example\r\nContent-Length: 5\r\n"

# A process of its own, so that it is never slower than the process that it sends to.
PIPELINE = """
import os, selectors, socket, sys
os.set_blocking(0, False)
ip, port, count = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
data = bytes.fromhex(sys.argv[4]) * 200
selector = selectors.DefaultSelector()
for _ in range(count):
    sock = socket.create_connection((ip, port))
    sock.setblocking(False)
    selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, bytearray())
print("connected", flush=True)
while selector.get_map():
    for key, events in selector.select():
        sock, left = key.fileobj, key.data
        try:
            if events & selectors.EVENT_READ and not sock.recv(65536):
                raise OSError
            if events & selectors.EVENT_WRITE:
                if not left:
                    left += data
                del left[:sock.send(left)]
        except BlockingIOError:
            pass
        except OSError:
            selector.unregister(sock)
            sock.close()
"""


@dataclass
class Target:
    """A process, its addresses and an ordinary request to it."""

    popen: subprocess.Popen[bytes]
    addresses: dict[str, str]
    is_answered: Callable[[], bool]
    pipelined: bytes

    def memory_mb(self, field: str) -> float:
        """Return `VmRSS` or `VmHWM` of the process."""
        status = Path(f"/proc/{self.popen.pid}/status").read_text()
        return int(status.partition(f"{field}:")[2].split()[0]) * 1024 / 1e6

    def descriptors(self) -> int:
        """Return the number of open descriptors of the process."""
        return len(list(Path(f"/proc/{self.popen.pid}/fd").iterdir()))

    def connect(self, name: str, receive_bytes: int = 0) -> Any:
        """Return a connection to one address of the process."""
        ip, _, port = self.addresses[name].rpartition(":")
        sock = gevent.socket.socket()
        if receive_bytes:
            sock.setsockopt(
                gevent.socket.SOL_SOCKET, gevent.socket.SO_RCVBUF, receive_bytes
            )
        sock.settimeout(HANG_S)
        sock.connect((ip, int(port)))
        return sock

    @contextmanager
    def withstands(self) -> Iterator[None]:
        """Check that the process serves and stays small, during and after a crowd."""
        before_mb, descriptors = self.memory_mb("VmRSS"), self.descriptors()
        # Resets the largest resident size.
        Path(f"/proc/{self.popen.pid}/clear_refs").write_text("5")
        yield
        assert self.popen.poll() is None
        assert self.is_answered()
        growth_mb = self.memory_mb("VmHWM") - before_mb
        print(f"grew by {growth_mb:.1f} MB from {before_mb:.1f} MB")
        assert growth_mb < MAX_GROWTH_MB
        wait_for(
            lambda: self.descriptors() < descriptors + MAX_MORE_DESCRIPTORS,
            "the connections of the crowd are closed",
        )


@pytest.fixture(scope="module")
def entry_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[ProcessFleet]:
    """Return a fleet without hosts."""
    fleet = ProcessFleet(tmp_path_factory.mktemp("entry"), [])
    try:
        yield fleet
    finally:
        fleet.stop()


@pytest.fixture(scope="module")
def entry(entry_fleet: ProcessFleet) -> Target:
    """Return an entry host."""
    fleet, name = entry_fleet, "entry-1"
    fleet.operators[name] = free_address()
    fleet.start(name)
    call = PlannedCall("completion", "kouga", "plant-1", "", "", 1, False)
    caller = fleet.caller(name)

    def is_answered() -> bool:
        caller.peers.clear()
        return caller.send(call).outcome == "answered"

    wait_for(lambda: fleet.is_ready(name), "the host is ready")
    wait_for(lambda: fleet.is_owned_by({name}), "every resource has an owner")
    wait_for(is_answered, "the adapter is loaded")
    addresses = {
        "callers": fleet.addresses[name],
        "peers": fleet.peers[name],
        "operators": fleet.operators[name],
    }
    pipelined = REQUEST_LINE + b"Host: x\r\n\r\n"
    return Target(fleet.processes[name], addresses, is_answered, pipelined)


@pytest.fixture(scope="module")
def soak(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Soak]:
    soak = Soak(tmp_path_factory.mktemp("gateway"), 1, hosts=1)
    try:
        soak.start()
        yield soak
    finally:
        soak.stop()


@pytest.fixture
def gateway(soak: Soak) -> Target:
    """Return a gateway host."""
    process = soak.processes[0]
    assert process.popen is not None
    addresses = {
        "callers": process.callers_address,
        "peers": process.control_address,
        "directory": process.directory_address,
    }
    pipelined = b"GET /none HTTP/1.1\r\nHost: fleet.example\r\nRequest-Id: p\r\n\r\n"
    return Target(
        process.popen,
        addresses,
        lambda: soak.send("stock", 0).status == 200,
        pipelined,
    )


def without_end(start: bytes, part: bytes) -> Iterator[bytes]:
    """Yield `start` and as much of `part` as one connection sends."""
    yield start
    part *= max(1, len(FILLER) // len(part))
    for _ in range(MAX_SENT_BYTES // len(part)):
        yield part


HEADS: dict[str, Callable[[], Iterator[bytes]]] = {
    # Each line is small; as an object of the language it takes many times its bytes.
    "short header lines": lambda: iter([REQUEST_LINE + b"a:b\r\n" * 6200]),
    "half a header line": lambda: iter([REQUEST_LINE + b"a:" + b"x" * 31000]),
    # Within the limits. A body is missing, so that the head stays in memory.
    "many header lines": lambda: iter([POST + MANY_LINES + b"\r\n"]),
    "long header lines": lambda: iter(
        [REQUEST_LINE, *[b"a:" + FILLER[:60000] + b"\r\n"] * 40]
    ),
    "head over the limit": lambda: iter([REQUEST_LINE + b"a:" + FILLER + b"\r\n\r\n"]),
    "header lines without end": lambda: without_end(REQUEST_LINE, b"a:b\r\n"),
    "header line without end": lambda: without_end(REQUEST_LINE + b"a:", b"x"),
    "request line without end": lambda: without_end(b"GET /", b"x"),
    "empty lines without end": lambda: without_end(b"", b"\r\n"),
}


def send_heads(target: Target, address: str, head: str) -> None:
    """Send the same head on all connections of a crowd, and leave them open."""
    socks = [target.connect(address) for _ in range(CROWD)]

    def send(sock: Any) -> None:
        with suppress(OSError):
            for part in HEADS[head]():
                sock.sendall(part)

    tasks = [gevent.spawn(send, sock) for sock in socks]
    gevent.joinall(tasks, timeout=HANG_S)
    assert all(task.ready() for task in tasks)
    gevent.sleep(0.5)
    assert target.is_answered()
    for sock in socks:
        sock.close()


@pytest.mark.parametrize("head", HEADS)
@pytest.mark.parametrize("address", ["callers", "operators"])
def test_heads_leave_memory_to_an_entry_host(
    entry: Target, address: str, head: str
) -> None:
    """Regression: heads of short lines took twenty times their size in memory."""
    with entry.withstands():
        send_heads(entry, address, head)


@pytest.mark.parametrize("head", HEADS)
@pytest.mark.parametrize("address", ["callers", "directory"])
def test_heads_leave_memory_to_a_gateway_host(
    gateway: Target, address: str, head: str
) -> None:
    """Regression: heads of short lines took twenty times their size in memory."""
    with gateway.withstands():
        send_heads(gateway, address, head)


@contextmanager
def pipelining(target: Target, address: str) -> Iterator[None]:
    """Send requests without end on all connections of a crowd."""
    ip, _, port = target.addresses[address].rpartition(":")
    command = [sys.executable, "-c", PIPELINE, ip, port, str(CROWD)]
    command.append(target.pipelined.hex())
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        try:
            assert process.stdout is not None
            process.stdout.readline()
            gevent.sleep(0.5)
            yield
        finally:
            process.kill()


@pytest.mark.timeout(120)
def test_pipelined_requests_leave_time_to_an_entry_host(entry: Target) -> None:
    """Regression: a connection with another request ready never gave way."""
    with entry.withstands(), pipelining(entry, "callers"):
        assert entry.is_answered()


@pytest.mark.timeout(120)
def test_pipelined_requests_leave_time_to_a_gateway_host(gateway: Target) -> None:
    """Regression: a connection with another request ready never gave way."""
    with gateway.withstands(), pipelining(gateway, "callers"):
        assert gateway.is_answered()


def hold_unread(
    target: Target, request: bytes, is_sent: Callable[[], bool]
) -> list[Any]:
    """Send a request on each of many connections and read nothing."""
    socks = []
    for number in range(SLOW_READERS):
        sock = target.connect("callers", receive_bytes=4096)
        sock.sendall(request % number)
        socks.append(sock)
        gevent.sleep(0.05)
    wait_for(is_sent, "all responses are sent")
    return socks


def serve_large(environ: Environ, start_response: Any) -> list[bytes]:
    """Answer a call of an entry host with a large body."""
    request_id = environ.get("HTTP_FILBERTYARD_REQUEST", "")
    start_response("200 OK", [("Filbertyard-Request", request_id)])
    return [FILLER * (LARGE_BODY_BYTES // len(FILLER))]


def test_callers_that_do_not_read_leave_memory_to_a_gateway_host(
    gateway: Target, soak: Soak
) -> None:
    """Regression: whole responses that nobody read kept the memory of all others."""
    head = SIGNED_HEAD + b"Content-Length: %d\r\n\r\n" % LARGE_BODY_BYTES
    bodies = [
        [head, *[FILLER] * (LARGE_BODY_BYTES // len(FILLER))]
        for _ in range(SLOW_READERS)
    ]
    for replica in soak.replicas:
        if replica.service == "desk":
            replica.faults.raw = bodies  # type: ignore[assignment]
    request = (
        b"POST /order/x HTTP/1.1\r\nHost: fleet.example\r\nDeadline-Ms: 9000\r\n"
        b"Request-Id: slow%d\r\nContent-Length: 2\r\n\r\n{}"
    )
    with gateway.withstands():
        socks = hold_unread(gateway, request, lambda: not bodies)
        assert gateway.is_answered()
        for sock in socks:
            sock.close()


def test_callers_that_do_not_read_leave_memory_to_an_entry_host(
    entry: Target, entry_fleet: ProcessFleet
) -> None:
    """Regression: responses that nobody read were counted nowhere."""
    sent: list[str] = []

    def answer(environ: Environ, start_response: Any) -> list[bytes]:
        sent.append(environ["PATH_INFO"])
        return serve_large(environ, start_response)

    for service in entry_fleet.local.standins.services.values():
        server = service.server.server
        assert server is not None
        server.application = lambda environ, start_response, inner=server.application: (
            inner if environ["PATH_INFO"] in ("/state", "/load") else answer
        )(environ, start_response)
    request = (
        b"GET /services/kouga/rakes/status HTTP/1.1\r\nHost: x\r\n"
        b"X-Request-Id: slow%d\r\n\r\n"
    )
    with entry.withstands():
        socks = hold_unread(entry, request, lambda: len(sent) >= SLOW_READERS // 2)
        assert entry.is_answered()
        for sock in socks:
            sock.close()


def read_or_answer(environ: Environ, start_response: Any) -> list[bytes]:
    """Answer a request; read the body of a POST first."""
    if environ["REQUEST_METHOD"] == "POST":
        environ[HANDLER_KEY].read_body(100)
    start_response("200 OK", [("Content-Length", "2")])
    return [b"ok"]


@contextmanager
def small_server(**limits: Any) -> Iterator[Callable[[bytes], Any]]:
    """Serve with low limits; yield a function that connects and sends."""
    server = create_caller_server("127.0.0.1:0", read_or_answer, CallerLimits(**limits))
    server.start()
    socks = []

    def connect(data: bytes) -> Any:
        sock = gevent.socket.create_connection(("127.0.0.1", server.server_port))
        sock.settimeout(HANG_S)
        sock.sendall(data)
        socks.append(sock)
        return sock

    try:
        yield connect
    finally:
        server.stop()
        for sock in socks:
            sock.close()


SHORT = b"GET /short HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.mark.parametrize(
    "start",
    [
        b"GET /short HTTP/1.1\r\nX: ",
        b"POST /short HTTP/1.1\r\nContent-Length: 5\r\n\r\n",
        b"POST /short HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n",
        b"GET /short HTTP/1.1\r\nContent-Length: 5\r\n\r\n",
    ],
    ids=["head", "body", "chunked body", "body that nobody reads"],
)
def test_incomplete_requests_leave_connections_to_others(start: bytes) -> None:
    """Regression: connections that had begun a request were never ended for others."""
    with small_server(max_connections=8, head_timeout_s=600.0) as connect:
        known = connect(SHORT)
        assert known.recv(4096).endswith(b"ok")
        for _ in range(20):
            connect(start)
        gevent.sleep(0.1)
        other = connect(SHORT)
        assert other.recv(4096).endswith(b"ok")
        # A connection without a request is ended last.
        known.sendall(SHORT)
        assert known.recv(4096).endswith(b"ok")


def test_a_pause_in_a_request_body_is_limited() -> None:
    """Regression: a gateway waited without end for a body."""
    with small_server(idle_timeout_s=0.3) as connect:
        sock = connect(b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab")
        assert not sock.recv(4096).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("connection", [b"keep-alive", b"close"])
def test_a_body_that_nobody_reads_is_not_awaited_for_long(connection: bytes) -> None:
    """Regression: the rest of a body was awaited without end after the response."""
    head = b"GET / HTTP/1.1\r\nContent-Length: 5\r\nConnection: " + connection
    with small_server(idle_timeout_s=0.3) as connect:
        sock = connect(head + b"\r\n\r\nab")
        assert sock.recv(4096).endswith(b"ok")
        assert not sock.recv(4096)


def test_a_request_within_the_limits_may_arrive_slowly() -> None:
    """Guards against limits that end a slow caller."""
    with small_server(idle_timeout_s=0.5) as connect:
        sock = connect(b"\r\nPOST /")
        for part in (b"short HTTP/1.1\r\nHost: x\r\n", b"Content-", b"Length: 2\r\n"):
            gevent.sleep(0.3)
            sock.sendall(part)
        for part in (b"\r\n", b"a", b"b"):
            gevent.sleep(0.3)
            sock.sendall(part)
        assert sock.recv(4096).endswith(b"ok")


def test_pipelined_requests_are_all_answered() -> None:
    """Guards against a connection that gives way for good."""
    with small_server() as connect:
        sock = connect(SHORT * 20)
        received = b""
        while received.count(b"ok") < 20:
            data = sock.recv(65536)
            assert data
            received += data


def test_header_limit_of_the_configuration_is_applied() -> None:
    """Regression: `maxHeaderBytes` was read and not applied."""
    fleet = start_small_fleet()
    try:
        # The limits of the configuration are applied at intervals.
        wait_for(
            lambda: fleet.send("/order/a", X_Filler="x" * 17000).status == 431,
            "a head over the limit is rejected",
        )
        assert fleet.send("/order/a", X_Filler="x" * 16000).status == 200
    finally:
        fleet.stop()


def test_silent_peers_leave_room_for_a_host() -> None:
    """Regression: as many silent connections as handshakes locked other hosts out."""
    pair = Pair()
    try:
        socks = [open_raw_socket(pair) for _ in range(2 * MAX_HANDSHAKES)]
        gevent.sleep(0.1)
        assert pair.works()
        for sock in socks:
            sock.close()
    finally:
        pair.a.stop()
        pair.b.stop()
