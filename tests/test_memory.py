"""Bodies without end do not fill the memory of a gateway process."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace

import gevent
import pytest

from filbertyard.exceptions import BufferLimitError
from filbertyard.exceptions import UpstreamError
from filbertyard.httpcalls import HttpResponse
from filbertyard.platform.standins import SIGNED_HEAD
from filbertyard.readlimits import RESPONSE_BODIES
from filbertyard.readlimits import BufferPool
from filbertyard.readlimits import MemoryBudget
from gatewayfleet import wait_until
from soak import Process
from soak import Soak

# Memory of the smallest hosts.
HOST_MEMORY_MB = 200

# Each of them may be 16 MB, or 1 MB for a request.
RESPONSES, REQUESTS = 40, 250

FILLER = b"x" * 65536


@pytest.fixture
def soak(tmp_path: Path) -> Iterator[Soak]:
    soak = Soak(tmp_path, 1, hosts=1)
    try:
        soak.start()
        yield soak
    finally:
        soak.stop()


def peak_mb(process: Process) -> float:
    """Return the largest resident size that a process has had."""
    assert process.popen is not None
    status = Path(f"/proc/{process.popen.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) * 1024 / 1e6


def endless_body(head: bytes) -> Iterator[bytes]:
    """Yield a body of which all begin before one goes on."""
    yield head
    gevent.sleep(0.5)
    for _ in range(512):
        yield FILLER


@pytest.mark.timeout(120)
def test_many_responses_without_end_leave_memory_to_a_host(soak: Soak) -> None:
    """Regression: sixteen megabytes for each response are no limit on a process."""
    heads = [SIGNED_HEAD + b"\r\n", SIGNED_HEAD + b"Content-Length: 1000000000\r\n\r\n"]
    bodies = [endless_body(heads[n % 2]) for n in range(RESPONSES)]
    for replica in soak.replicas:
        replica.faults.raw = bodies
    callers = [gevent.spawn(soak.send, "desk", 0) for _ in range(RESPONSES)]
    wait_until(lambda: not bodies)
    # The process goes on, and sound requests are served meanwhile.
    assert soak.send("stock", 0).status == 200
    statuses = {caller.get(timeout=60.0).status for caller in callers}
    assert statuses == {502}
    assert peak_mb(soak.processes[0]) < HOST_MEMORY_MB


@pytest.mark.timeout(120)
def test_many_large_requests_leave_memory_to_a_host(soak: Soak) -> None:
    """Regression: each caller could have a body of the largest size in memory."""
    ip, _, port = soak.processes[0].callers_address.rpartition(":")
    head = b"POST /order/x HTTP/1.1\r\nHost: fleet.example\r\nRequest-Id: r%d\r\n"
    size = (1 << 20) - 1
    answers: list[bytes] = []

    def send(number: int) -> None:
        sock = gevent.socket.create_connection((ip, int(port)), 5.0)
        sock.settimeout(60.0)
        try:
            sock.sendall(head % number + b"Content-Length: %d\r\n\r\n" % size)
            # The last byte is missing.
            sock.sendall(b"x" * (size - 1))
            answers.append(sock.recv(4096))
        except OSError:
            answers.append(b"")
        finally:
            sock.close()

    callers = [gevent.spawn(send, number) for number in range(REQUESTS)]
    # Those that remain wait for their last byte.
    wait_until(lambda: len(answers) >= REQUESTS // 2)
    assert soak.send("desk", 0).status == 200
    assert peak_mb(soak.processes[0]) < HOST_MEMORY_MB
    refused = [answer for answer in answers if answer.startswith(b"HTTP/1.1 503 ")]
    assert len(refused) == len(answers)
    assert b"Retry-After: " in refused[0]
    gevent.killall(callers)


def test_the_largest_body_that_is_being_received_is_given_up() -> None:
    """Guards against small bodies that fail beside one without end."""
    pool = BufferPool(100)
    given_up: list[str] = []
    large, small, kept = (
        pool.reserve(lambda name=name: given_up.append(name))  # type: ignore[misc]
        for name in ("large", "small", "kept")
    )
    kept.resize(45)
    kept.keep()
    large.resize(40)
    small.resize(10)
    small.resize(20)
    assert given_up == ["large"]
    assert pool.used_bytes == 65
    with pytest.raises(BufferLimitError):
        large.resize(41)
    with pytest.raises(BufferLimitError):
        small.resize(60)
    large.release()
    small.release()
    kept.release()
    assert pool.used_bytes == 0
    assert not pool.receiving


def test_pools_share_a_budget() -> None:
    """Guards against a sum of pools that no host has memory for."""
    budget = MemoryBudget(100)
    given_up: list[str] = []
    heads, bodies = BufferPool(60, budget), BufferPool(60, budget)
    head = heads.reserve(lambda: given_up.append("head"))
    body = bodies.reserve(lambda: given_up.append("body"))
    body.resize(55)
    head.resize(50)
    assert given_up == ["body"]
    assert budget.used_bytes == 50
    head.release()
    assert budget.used_bytes == heads.used_bytes == bodies.used_bytes == 0


def test_one_slow_caller_may_hold_any_response() -> None:
    """Guards against a limit that a caller on its own reaches."""
    given_up: list[str] = []
    pool = BufferPool(100, spared=1)
    large = pool.reserve(lambda: given_up.append("large"))
    large.resize(500)
    assert not given_up
    pool.reserve(lambda: given_up.append("small")).resize(10)
    assert given_up == ["large"]


def test_a_response_given_up_before_its_end_is_not_delivered_empty(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a body that is dropped after its last part and taken as whole."""

    def parts(response: HttpResponse) -> Iterator[bytes]:
        yield b"ok"
        # Another body needs the memory while the reader waits for its turn.
        (reservation,) = RESPONSE_BODIES.receiving
        reservation.give_up()

    monkeypatch.setattr(HttpResponse, "parts", parts)
    raw = SimpleNamespace(_sock=None, message_complete=True)
    with pytest.raises(UpstreamError):
        HttpResponse(200, [], raw).read()
