"""Requests whose heads and bodies are cut off, doubtful or held back."""

from __future__ import annotations

import gc
import socket
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from types import SimpleNamespace
from typing import Any

import gevent
import pytest

from filbertyard import callerserver
from filbertyard.callerserver import HANDLER_KEY
from filbertyard.callerserver import CallerHandler
from filbertyard.callerserver import CallerLimits
from filbertyard.callerserver import RequestHead
from filbertyard.callerserver import create_caller_server
from filbertyard.exceptions import CallerDisconnectedError
from filbertyard.readlimits import BufferPool
from filbertyard.standins.web import Environ

HANG_S = 60.0

Connect = Callable[[bytes], Any]

SHORT = b"GET /short HTTP/1.1\r\nHost: x\r\n\r\n"


@contextmanager
def recording_server(**limits: Any) -> Iterator[tuple[Connect, list[str]]]:
    """Serve with limits; yield a function that connects and sends, and what ran."""
    ran: list[str] = []

    def application(environ: Environ, start_response: Any) -> list[bytes]:
        if environ["REQUEST_METHOD"] == "POST":
            environ[HANDLER_KEY].read_body(10_000)
        ran.append(environ["PATH_INFO"])
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = create_caller_server("127.0.0.1:0", application, CallerLimits(**limits))
    server.start()
    socks = []

    def connect(data: bytes) -> Any:
        sock = gevent.socket.create_connection(("127.0.0.1", server.server_port))
        sock.settimeout(HANG_S)
        sock.sendall(data)
        socks.append(sock)
        return sock

    try:
        yield connect, ran
    finally:
        server.stop()
        for sock in socks:
            sock.close()


def read_all(sock: Any) -> bytes:
    """Return what a connection still delivers until its end."""
    received = b""
    try:
        while data := sock.recv(65536):
            received += data
    except ConnectionError:
        pass
    return received


def test_a_head_that_is_cut_off_is_never_served() -> None:
    """Regression: one cut within a line passed as complete, without its last line."""
    head = b"POST /cut HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nModel: m\r\n\r\n"
    with recording_server() as (connect, ran):
        for size in range(1, len(head)):
            sock = connect(head[:size])
            sock.shutdown(socket.SHUT_WR)
            assert b" 200 " not in read_all(sock)
    assert not ran


@pytest.mark.parametrize(
    "lines",
    [
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: +35\r\n",
        b"Content-Length: 3_5\r\n",
    ],
    ids=["two encodings", "signed length", "grouped length"],
)
def test_a_body_of_doubtful_length_is_not_read_as_a_request(lines: bytes) -> None:
    """Regression: with two encodings the body was served as the next request."""
    smuggled = b"DELETE /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
    with recording_server() as (connect, ran):
        sock = connect(b"POST /t HTTP/1.1\r\nHost: x\r\n" + lines + b"\r\n" + smuggled)
        assert read_all(sock).startswith(b"HTTP/1.1 400 ")
    assert not ran


def test_heads_whose_bodies_do_not_come_leave_memory_to_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: a few such heads made a host refuse every request."""
    monkeypatch.setattr(callerserver, "REQUEST_HEADS", BufferPool(200_000))
    start = b"POST /held HTTP/1.1\r\nContent-Length: 10\r\n"
    lines = b"".join(b"X-%d: 1\r\n" % number for number in range(40))
    with recording_server() as (connect, _):
        # Small heads take what large ones leave of the memory.
        for head in [start + lines] * 30 + [start] * 60:
            connect(head + b"\r\n")
        gevent.sleep(0.2)
        assert connect(SHORT).recv(4096).endswith(b"ok")


def test_an_idle_connection_keeps_nothing_of_its_last_request() -> None:
    """Regression: it kept the parsed head, which no limit counted."""
    lines = b"".join(b"X-%d: 1\r\n" % number for number in range(500))
    head = b"GET /idle HTTP/1.1\r\nHost: x\r\n" + lines + b"\r\n"
    with recording_server() as (connect, ran):
        for _ in range(5):
            assert connect(head).recv(4096).endswith(b"ok")
        gevent.sleep(0.1)
        gc.collect()
        held = [item for item in gc.get_objects() if isinstance(item, RequestHead)]
        assert not held
    assert len(ran) == 5


def test_a_chunked_body_may_arrive_in_small_chunks() -> None:
    """Regression: a burst of chunks made the reader wait for bytes of later ones."""
    chunk = b"10\r\n" + b"x" * 16 + b"\r\n"
    with recording_server(idle_timeout_s=2.0) as (connect, ran):
        sock = connect(
            b"POST /chunks HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk * 10
        )
        for _ in range(5):
            gevent.sleep(0.7)
            sock.sendall(chunk)
        sock.sendall(b"0\r\n\r\n")
        assert sock.recv(4096).endswith(b"ok")
    assert ran == ["/chunks"]


def test_no_interim_response_follows_a_final_one() -> None:
    """Regression: it was sent while the unread body was dropped."""
    head = b"GET /unread HTTP/1.1\r\nHost: x\r\nContent-Length: 30\r\n"
    with recording_server(idle_timeout_s=0.3) as (connect, _):
        sock = connect(head + b"Expect: 100-continue\r\n\r\n")
        assert b"100 Continue" not in read_all(sock)


def test_a_given_up_response_without_framing_is_reset() -> None:
    """Regression: a shutdown of its connection is the end of a whole response."""
    calls: list[int] = []
    errors: list[BaseException] = []

    def send() -> None:
        try:
            gevent.sleep(HANG_S)
        except CallerDisconnectedError as error:
            errors.append(error)

    handler: Any = CallerHandler.__new__(CallerHandler)
    handler.socket = SimpleNamespace(shutdown=calls.append)
    handler.caller_server = SimpleNamespace(record_ended=lambda cause: None)
    handler.headers_sent = True
    handler.response_use_chunked = False
    handler.code = 200
    handler.response_headers = []
    handler.greenlet = gevent.spawn(send)
    gevent.sleep(0)
    handler.end_output()
    handler.greenlet.join(HANG_S)
    assert errors
    assert not calls
