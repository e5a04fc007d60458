"""Streams between hosts with hostile, slow and newer peers."""

from __future__ import annotations

import socket
import struct
import time
from collections.abc import Iterator
from dataclasses import dataclass

import gevent
import msgpack
import pytest
from result import Err
from result import Ok

from filbertyard import peers as peers_module
from filbertyard.exceptions import PeerError
from filbertyard.messages import Message
from filbertyard.messages import message
from filbertyard.peers import REQUEST
from filbertyard.peers import Connection
from filbertyard.peers import PeerNetwork
from filbertyard.readlimits import QUEUED_REPLIES
from filbertyard.readlimits import BufferPool

KEY = "peer-test-shared-key"


@message("test_echo")
@dataclass(slots=True)
class Echo(Message):
    """Carry text back and forth."""

    text: str


@message("test_unhandled")
@dataclass(slots=True)
class Unhandled(Message):
    """A message that no host handles."""


class Pair:
    """Two connected hosts."""

    def __init__(self, key: str = KEY) -> None:
        self.addresses: dict[str, str] = {}
        self.a = self.network("a", KEY)
        self.b = self.network("b", key)
        self.b.handle(Echo, lambda host, echo: Echo(f"{host}:{echo.text}"))

    def network(self, name: str, key: str) -> PeerNetwork:
        network = PeerNetwork(name, f"{name}1", "127.0.0.1:0", key, self.addresses.get)
        network.start()
        self.addresses[name] = network.address
        return network

    def works(self) -> bool:
        match self.a.call("b", Echo("x"), 5.0):
            case Ok(Echo(text="a:x")):
                return True
            case _:
                return False


@pytest.fixture
def pair() -> Iterator[Pair]:
    pair = Pair()
    yield pair
    pair.a.stop()
    pair.b.stop()


def open_raw_socket(pair: Pair) -> socket.socket:
    ip, _, port = pair.b.address.rpartition(":")
    return socket.create_connection((ip, int(port)), 5.0)


def closed_after(sock: socket.socket, limit_s: float) -> bool:
    sock.settimeout(limit_s)
    try:
        while sock.recv(65536):
            pass
    except ConnectionResetError:
        return True
    except TimeoutError:
        return False
    return True


def test_wrong_key_is_rejected() -> None:
    """Guard against hosts that do not hold the shared key."""
    pair = Pair(key="another-shared-key")
    match pair.a.call("b", Echo("x"), 5.0):
        case Err(error):
            assert not error.sent
        case _:
            raise AssertionError("an unauthenticated call was answered")
    assert not pair.b.traffic.requests_received


@pytest.mark.parametrize(
    "data",
    [
        struct.pack(">I", 1 << 30),
        struct.pack(">I", 4) + b"\xc1\xc1\xc1\xc1",
        struct.pack(">I", 5000) + b"x" * 5000,
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
def test_malformed_frames_end_only_their_stream(pair: Pair, data: bytes) -> None:
    """Guard against frames that are too large, malformed or of another protocol."""
    sock = open_raw_socket(pair)
    sock.sendall(data)
    assert closed_after(sock, 10.0)
    assert pair.works()


def test_silent_peer_is_closed(pair: Pair, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against connections that never authenticate."""
    monkeypatch.setattr(peers_module, "HANDSHAKE_TIMEOUT_S", 0.2)
    assert closed_after(open_raw_socket(pair), 10.0)


def test_flood_of_connections_is_bounded(
    pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against connections that use up memory before they authenticate."""
    monkeypatch.setattr(peers_module, "MAX_HANDSHAKES", 8)
    assert pair.works()
    sockets = [open_raw_socket(pair) for _ in range(40)]
    deadline = time.monotonic() + 30
    while pair.b.traffic.streams_rejected < 32 and time.monotonic() < deadline:
        gevent.sleep(0.01)
    assert pair.b.traffic.streams_rejected >= 32
    assert len(pair.b.accepted) <= 9
    assert pair.works()
    for sock in sockets:
        sock.close()


def test_idle_streams_are_closed(pair: Pair, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against streams that stay open without use."""
    monkeypatch.setattr(peers_module, "IDLE_TIMEOUT_S", 0.2)
    other = pair.network("c", KEY)
    other.handle(Echo, lambda host, echo: echo)
    pair.a.call("c", Echo("x"), 5.0)
    deadline = time.monotonic() + 30
    while pair.a.connections and time.monotonic() < deadline:
        gevent.sleep(0.05)
    assert not pair.a.connections
    other.stop()


def fill(connection: Connection) -> None:
    for _ in range(200):
        connection.send(REQUEST, 1, Echo("x" * 500_000))


def test_reader_that_stops_does_not_block(
    pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a sender that waits forever for a stopped reader."""
    monkeypatch.setattr(peers_module, "SEND_TIMEOUT_S", 0.3)
    assert pair.works()
    connection = pair.a.connections["b"]
    (accepted,) = pair.b.accepted
    accepted.read_exactly = lambda size: gevent.sleep(60)  # type: ignore[method-assign, assignment, return-value]
    with pytest.raises(TimeoutError):
        fill(connection)
    assert connection.closed


def test_unknown_and_unhandled_messages_are_answered(pair: Pair) -> None:
    """Guard against a newer version whose messages break an older host's stream."""
    match pair.a.call("b", Unhandled(), 5.0):
        case Err(error):
            assert "no handler" in error.message
        case _:
            raise AssertionError("an unhandled message was answered")
    connection = pair.a.connections["b"]
    frame = msgpack.packb([REQUEST, 77, "from_a_later_version", 1, {"a": 2}])
    connection.sock.sendall(struct.pack(">I", len(frame)) + frame)
    frame = msgpack.packb([REQUEST, 78, "test_echo", "x", "field of a later version"])
    connection.sock.sendall(struct.pack(">I", len(frame)) + frame)
    assert pair.works()
    assert pair.a.connections["b"] is connection
    assert pair.b.traffic.requests_received["Echo"] == 2


def test_failing_handler_is_not_taken_for_not_run(pair: Pair) -> None:
    """Guard against a request reported as not run after it had begun."""
    pair.b.handle(Echo, lambda host, echo: Echo([][1]))
    match pair.a.call("b", Echo("x"), 5.0):
        case Err(error):
            assert error.sent
        case _:
            raise AssertionError("a failed handler answered")


def test_one_way_cut(pair: Pair) -> None:
    """Guard against injected cuts that lose no frames and make other tests void."""
    assert pair.works()
    pair.b.faults.cut.add("a")
    match pair.a.call("b", Echo("x"), 0.3):
        case Err(error):
            assert error.sent
        case _:
            raise AssertionError("the reply passed the cut")
    pair.b.faults.cut.clear()
    assert pair.works()


def test_parts_of_slow_calls_are_bounded_in_bytes(pair: Pair) -> None:
    """Regression: only the number of parts that wait for a slow caller was limited."""
    part = "x" * 500_000

    def answer(host: str, echo: Echo) -> Iterator[Message]:
        return iter([Echo(part)] * (64 if echo.text == "large" else 2))

    pair.b.handle(Echo, answer)
    slow = [pair.a.stream("b", Echo("large"), 30.0) for _ in range(2)]
    for stream in slow:
        assert next(stream)
    connection = pair.a.connections["b"]

    def waiting_bytes() -> int:
        return sum(len(part) * queue.qsize() for queue in connection.pending.values())

    deadline = time.monotonic() + 30
    received = -1
    while connection.traffic.bytes_received > received:
        received = connection.traffic.bytes_received
        gevent.sleep(0.5)
        assert time.monotonic() < deadline
        assert waiting_bytes() < 20e6
    # Calls whose readers keep up go on beside them.
    assert len(list(pair.a.stream("b", Echo("small"), 30.0))) == 2
    for stream in slow:
        stream.close()  # type: ignore[attr-defined]
    assert QUEUED_REPLIES.used_bytes == 0


def test_a_stream_whose_parts_were_given_up_does_not_end_in_order(
    pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Regression: what was left looked like all parts of the stream."""
    monkeypatch.setattr(peers_module, "QUEUED_REPLIES", BufferPool(2_000_000))
    part = "x" * 500_000
    pair.b.handle(Echo, lambda host, echo: iter([Echo(part)] * 40))

    def read_slowly() -> None:
        for _ in pair.a.stream("b", Echo("large"), 30.0):
            gevent.sleep(0.1)

    with pytest.raises(PeerError):
        read_slowly()
