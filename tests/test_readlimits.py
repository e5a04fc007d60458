"""Bytes without end leave time for the other greenlets of a process."""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import gevent
import pytest
from gevent.server import StreamServer

from filbertyard.exceptions import UpstreamError
from filbertyard.gateway.sending import MAX_STREAM_BYTES
from filbertyard.httpcalls import create_http_peer
from filbertyard.messages import CODECS
from filbertyard.peers import Connection
from filbertyard.peers import LinkFaults
from filbertyard.peers import Traffic
from filbertyard.platform.standins import SIGNED_HEAD
from filbertyard.platform.store import MIN_RESPONSE_BYTES_PER_S
from filbertyard.readlimits import READ_SHARE
from filbertyard.readlimits import ReadScheduler
from gatewayfleet import GatewayFleet
from gatewayfleet import start_small_fleet

# A process of its own: within this one, a sender would have to wait for its turn.
FLOOD = """
import socket, sys, threading
start, part = (bytes.fromhex(text) for text in sys.argv[1:3])
part *= 65536 // len(part)
if len(sys.argv) > 3:
    socks = [socket.create_connection(("127.0.0.1", int(sys.argv[3])))]
else:
    server = socket.create_server(("127.0.0.1", 0))
    print(server.getsockname()[1], flush=True)
    socks = iter(lambda: server.accept()[0], None)
def serve(sock):
    try:
        if len(sys.argv) <= 3:
            sock.recv(65536)
        sock.sendall(start)
        while True:
            sock.sendall(part)
    except OSError:
        pass
for sock in socks:
    threading.Thread(target=serve, args=[sock]).start()
"""

EVENT_CHUNK = b"f\r\nid: 1\ndata: x\n\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

READ_S = 1.0

# Far fewer than a process with time makes, far more than one whose reader keeps it.
MIN_TICKS = 5

TICK_S = 0.01


@contextmanager
def flood(start: bytes, part: bytes, port: str = "") -> Iterator[str]:
    """Send bytes without end to each caller, or to `port`; yield the address."""
    command = [sys.executable, "-c", FLOOD, start.hex(), part.hex()]
    command += [port] if port else []
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        try:
            assert process.stdout is not None
            yield "" if port else f"127.0.0.1:{int(process.stdout.readline())}"
        finally:
            process.kill()


def count_ticks(read: Callable[[], object], readers: int = 1) -> int:
    """Return how often another greenlet runs while some read."""
    ticks = 0

    def tick() -> None:
        nonlocal ticks
        while True:
            gevent.sleep(TICK_S)
            ticks += 1

    ticker = gevent.spawn(tick)
    # Greenlets that are ready run one after the other before the first timer.
    tasks = [gevent.spawn_later(TICK_S, read) for _ in range(readers)]
    gevent.joinall(tasks, timeout=60.0)
    ticker.kill()
    assert all(task.ready() for task in tasks)
    return ticks


@pytest.mark.parametrize("readers", [1, 10])
def test_a_stream_without_end_leaves_time_for_others(readers: int) -> None:
    """Regression: a socket that is always readable never switched greenlets."""
    with flood(CHUNKED_HEAD, EVENT_CHUNK) as address:

        def read() -> None:
            response = create_http_peer(address).request("GET", "/")
            response.deadline = time.monotonic() + READ_S
            with pytest.raises(UpstreamError):
                for _ in response.parts():
                    pass

        assert count_ticks(read, readers) >= MIN_TICKS


def test_the_time_limit_of_an_exchange_ends_a_body_without_end() -> None:
    """Guards against a reader that keeps its own timer from running."""
    with flood(CHUNKED_HEAD, b"1\r\nx\r\n") as address:

        def read() -> None:
            with pytest.raises(UpstreamError, match="no response within"):
                create_http_peer(address).exchange("GET", "/", timeout_s=0.2)

        count_ticks(read)


def test_a_peer_that_floods_its_stream_leaves_time_for_others() -> None:
    """Guards against frames that arrive faster than they are decoded."""
    with flood(b"", b"x" * 1024) as address:

        def read() -> None:
            ip, _, port = address.rpartition(":")
            sock = gevent.socket.create_connection((ip, int(port)))
            sock.sendall(b"-")
            codec = CODECS["msgpack"]()
            connection = Connection(sock, codec, address, Traffic(), LinkFaults())
            end = time.monotonic() + READ_S
            while time.monotonic() < end:
                connection.read_exactly(65536)
            connection.close()

        assert count_ticks(read) >= MIN_TICKS


@pytest.fixture(scope="module")
def fleet() -> Iterator[GatewayFleet]:
    fleet = start_small_fleet()
    yield fleet
    fleet.stop()


@pytest.mark.parametrize("path", ["/order/a", "/api/ready"])
def test_a_caller_that_sends_small_chunks_leaves_time_for_others(
    fleet: GatewayFleet, path: str
) -> None:
    """Regression: each chunk is read by gevent in a loop of its own."""
    settings = fleet.hosts[0].settings
    address = settings.callers if path == "/order/a" else settings.readiness
    head = f"POST {path} HTTP/1.1\r\nHost: fleet.example\r\nRequest-Id: c\r\n"
    start = head.encode() + b"Transfer-Encoding: chunked\r\n\r\n"

    def await_flood() -> None:
        with flood(start, b"1\r\nx\r\n", address.rpartition(":")[2]):
            gevent.sleep(READ_S)

    assert count_ticks(await_flood) >= READ_S / TICK_S / 10


def test_a_stream_larger_than_its_request_allows_is_given_up(
    fleet: GatewayFleet,
) -> None:
    """Regression: bytes that are no stream were passed on until the deadline."""
    part = b"id: 1\ndata: a1\n\n" * 4096
    endless = [SIGNED_HEAD + b"\r\n", *[part] * 64]
    for path in ("/text/a", "/note/a"):
        fleet.answer_raw(endless)
        reply = fleet.text("a1", path=path, Token_Usage="100,20")
        assert not reply.is_complete
        assert len(reply.body) <= MAX_STREAM_BYTES + 20 * 1024


def test_readers_that_never_wait_share_a_part_of_the_processor() -> None:
    """Guards against many senders without end, each of which gives way in turn."""
    scheduler = ReadScheduler()
    used_s = 0.01
    slices = 0
    end = time.monotonic() + 1.0

    def read() -> None:
        nonlocal slices
        while time.monotonic() < end:
            scheduler.pause(used_s, None)
            slices += 1

    gevent.joinall([gevent.spawn(read) for _ in range(20)], timeout=30.0)
    # Each of the readers may have one slice that begins before the end.
    assert slices * used_s <= READ_SHARE + 21 * used_s


def test_a_reader_whose_deadline_passes_does_not_wait_for_its_turn() -> None:
    scheduler = ReadScheduler()
    scheduler.turn.acquire()
    with gevent.Timeout(10.0):
        scheduler.pause(1.0, 0.01)


PART = b"x" * 32768


def serve_slowly(parts: int, gap_s: float) -> StreamServer:
    """Return a server that sends a body in parts and then nothing more."""

    def answer(sock: Any, address: Any) -> None:
        sock.recv(65536)
        length = 10 * len(PART)
        sock.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n".encode())
        for _ in range(parts):
            gevent.sleep(gap_s)
            sock.sendall(PART)
        gevent.sleep(30.0)

    server = StreamServer(("127.0.0.1", 0), answer)
    server.start()
    return server


@pytest.mark.parametrize(("parts", "is_whole"), [(10, True), (9, False)])
def test_a_large_response_may_take_longer_than_its_timeout_while_it_arrives(
    parts: int, is_whole: bool
) -> None:
    """Regression: 527 KB from the store fill a link of 5 Mbit/s for 0.84 of 1 s."""
    server = serve_slowly(parts, gap_s=0.1)
    peer = create_http_peer(f"127.0.0.1:{server.server_port}", timeout_s=0.5)
    try:
        with pytest.raises(UpstreamError) if not is_whole else gevent.Timeout(20.0):
            _, body = peer.exchange(
                "GET", "/", min_bytes_per_s=MIN_RESPONSE_BYTES_PER_S
            )
            assert len(body) == 10 * len(PART)
    finally:
        server.stop()
