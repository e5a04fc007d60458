"""Responses that break off in their head, or whose next replica has no stream."""

from collections.abc import Iterator

import pytest

from filbertyard.platform.standins import OWN_ID
from filbertyard.platform.standins import RESET
from filbertyard.platform.standins import SIGNED_HEAD
from gatewayfleet import GatewayFleet
from gatewayfleet import start_small_fleet

EVENT = b"id: 1\ndata: a1\n\n"
BROKEN_STREAM = [
    SIGNED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
    b"%x\r\n%b\r\n" % (len(EVENT), EVENT),
]
SIGNED = b"Response-Signature: raw.1\r\nRequest-Id: " + OWN_ID + b"\r\n"
HEAD = SIGNED_HEAD + b"Content-Length: 16\r\n\r\n"


@pytest.fixture(scope="module")
def fleet() -> Iterator[GatewayFleet]:
    fleet = start_small_fleet()
    yield fleet
    fleet.stop()


@pytest.mark.parametrize("path", ["/text/a", "/note/a", "/order/a", "/stock/a"])
@pytest.mark.parametrize("end", [b"", RESET], ids=["close", "reset"])
@pytest.mark.parametrize(
    "size", [0, 8, 20, len(SIGNED_HEAD) - 30, len(HEAD) - 4, len(HEAD) - 2]
)
def test_a_head_that_breaks_off_is_no_response(
    fleet: GatewayFleet, size: int, end: bytes, path: str
) -> None:
    """Guards against a status 200 with an empty or short body, framed as whole."""
    parts = [HEAD[:size], end]
    fleet.answer_raw(parts, parts)
    is_plain = path in ("/order/a", "/stock/a")
    reply = fleet.send(path) if is_plain else fleet.text("a1", path=path)
    assert reply.status == 502
    assert "response-signature" not in reply.headers


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n",
        b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 5\r\n",
        b"HTTP/1.1 500 Failed\r\nContent-Length: 5\r\n",
        b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 5\r\n",
        b"HTTP/1.1 206 Partial Content\r\nContent-Length: 5\r\n",
        b"HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n",
        b"HTTP/1.1 204 No Content\r\n",
    ],
    ids=lambda answer: answer[9:12].decode(),
)
def test_an_error_after_a_broken_stream_is_no_part_of_it(
    fleet: GatewayFleet, answer: bytes
) -> None:
    """Regression: the caller found it in its stream, which looked complete."""
    body = b"1\r\nx\r\n0\r\n\r\n" if b"chunked" in answer else b"error"
    if b" 204 " in answer:
        body = b""
    head = answer + SIGNED + b"Connection: close\r\n\r\n"
    fleet.answer_raw(BROKEN_STREAM, [head, body])
    reply = fleet.text("a1", path="/note/a")
    assert (reply.status, reply.body) == (200, EVENT)
    assert not reply.is_complete


def test_an_error_before_the_first_event_is_the_response(fleet: GatewayFleet) -> None:
    answer = b"HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n"
    head = answer + SIGNED + b"\r\n"
    fleet.answer_raw([head, b"error"])
    reply = fleet.text("a1", path="/note/a")
    assert (reply.status, reply.body, reply.is_complete) == (404, b"error", True)
