"""An unframed stream that its gateway breaks off looks complete to the caller."""

from __future__ import annotations

import os
import random
import signal
import time
from pathlib import Path
from typing import Any

import gevent
from harness import BROKEN
from harness import HAS_TROUBLE
from harness import HELD
from harness import HOST_NAME
from harness import MODEL
from harness import CannotRunError
from harness import EngineReplica
from harness import Fleet
from harness import Head
from harness import Run
from harness import encode_event
from harness import engine_service
from harness import plain_configuration
from harness import play
from harness import read_head
from harness import stream_route
from harness import wait_until

STREAM_DEADLINE_MS = 15000

# Each stream has so many events, one each 50 ms: 12 s, longer than `graceS`.
EVENTS = 240
EVENT_S = 0.05

STREAMS = 12

# The signal comes while all streams are under way.
SIGNAL_AFTER_S = 1.5

# SIGTERM as before planned work, or SIGKILL for another way to the same end.
SIGNAL = signal.Signals[os.environ.get("SIGNAL", "SIGTERM")]


class UnframedEngine(EngineReplica):
    """A sound engine whose streams have no length and no chunks."""

    def answer(self, sock: Any, head: Head) -> bool:
        """Stream all events, then end the connection; answer the rest as before."""
        is_own = head.headers.get("target-instance", self.name) == self.name
        if not is_own or head.first_line.split()[1].startswith("/api/"):
            return super().answer(sock, head)
        request_id = head.headers.get("request-id", "")
        self.running += 1
        self.runs.append(Run(request_id, time.monotonic()))
        self.record.write("run", replica=self.name, id=request_id)
        sent = 0
        try:
            lines = ["HTTP/1.1 200 OK", f"Request-Id: {request_id}"]
            lines += [f"Response-Signature: {self.name}.{len(self.runs)}"]
            lines += ["Content-Type: text/event-stream", "Connection: close", "", ""]
            sock.sendall("\r\n".join(lines).encode())
            for number in range(1, EVENTS + 1):
                gevent.sleep(EVENT_S)
                sock.sendall(encode_event(number))
                sent = number
        finally:
            self.running -= 1
            self.record.write("ended", replica=self.name, id=request_id, events=sent)
        return False


def read_stream(sock: Any, request_id: str) -> tuple[str, list[int], str]:
    """Send a request for a stream; return signature, event ids and how it ended.

    It ends "complete" if the head has neither a length nor chunks, the connection
    ends in order and the last event is whole.
    """
    fields = [
        "POST /lohu930/2f HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {STREAM_DEADLINE_MS}",
        f"Model: {MODEL}",
        "Token-Usage: 200,180",
        "Content-Length: 2",
    ]
    sock.sendall("\r\n".join([*fields, "", ""]).encode() + b"{}")
    head = read_head(sock)
    if head is None:
        return "", [], "closed without an answer"
    status = head.first_line.split()[1]
    framed = {"content-length", "transfer-encoding"} & set(head.headers)
    if status != "200" or framed:
        return "", [], f"status {status}, {sorted(framed) or 'unframed'}"
    data, end = head.rest, "complete"
    try:
        while part := sock.recv(65536):
            data += part
    except ConnectionResetError:
        end = "reset"
    if end == "complete" and not data.endswith(b"\n\n"):
        end = "ended inside an event"
    ids = [int(line[4:]) for line in data.split(b"\n") if line.startswith(b"id: ")]
    return head.headers.get("response-signature", ""), ids, end


def case(fleet: Fleet) -> int:
    """Play the case; return its result."""
    configuration = plain_configuration()
    configuration["routes"].append(stream_route("r-text", "/lohu930/"))
    configuration["services"].append(engine_service())
    fleet.start_store(configuration)
    fleet.replicas = [
        UnframedEngine(f"i-engine{n}", fleet.store, fleet.record) for n in range(2)
    ]
    fleet.start_hosts(2)
    results: list[tuple[str, list[int], str]] = []

    def send(host: Any) -> str:
        request_id = f"{random.getrandbits(64):016x}"
        ip, _, port = host.address("front").rpartition(":")
        try:
            with gevent.Timeout(STREAM_DEADLINE_MS / 1000, TimeoutError("no answer")):
                sock = gevent.socket.create_connection((ip, int(port)), 1.0)
                signature, ids, end = read_stream(sock, request_id)
                sock.close()
        except OSError as error:
            signature, ids, end = "", [], type(error).__name__
        fleet.record.write(
            "answer",
            id=request_id,
            host=host.name,
            signature=signature or "-",
            events=len(ids),
            end=end.replace(" ", "_"),
        )
        results.append((signature, ids, end))
        return end

    for host in fleet.hosts:
        wait_until(
            lambda host=host: send(host) == "complete", 25.0, f"a stream at {host.name}"
        )
    results.clear()
    host = fleet.hosts[0]
    tasks = [gevent.spawn_later(0.05 * n, send, host) for n in range(STREAMS)]
    gevent.sleep(SIGNAL_AFTER_S)
    if HAS_TROUBLE:
        host.signal(SIGNAL)
        fleet.record.write("signal", host=host.name, signal=SIGNAL.name)
    gevent.joinall(tasks, timeout=STREAM_DEADLINE_MS / 1000 + 1.0)
    signed = [item for item in results if item[0]]
    cut = [len(ids) for _, ids, _ in signed if len(ids) < EVENTS]
    forged = [
        len(ids) for _, ids, end in signed if len(ids) < EVENTS and end == "complete"
    ]
    whole = sum(len(ids) == EVENTS for _, ids, _ in signed)
    fleet.record.say(
        f"{len(signed)} streams with a signature, {whole} whole ({EVENTS} events); "
        f"broken off: {len(cut)}; of these in order, after a whole event, as if "
        f"complete: {len(forged)}, after {sorted(forged)} events"
    )
    if not signed:
        raise CannotRunError("no stream began")
    return BROKEN if forged else HELD


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent)
