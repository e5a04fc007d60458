"""Authenticated message streams between entry hosts."""

from __future__ import annotations

import hmac
import itertools
import logging
import os
import struct
import time
import typing as t
from collections import Counter
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import gevent
import gevent.socket
from gevent.lock import BoundedSemaphore
from gevent.queue import Empty
from gevent.queue import Queue
from gevent.server import StreamServer
from result import Err
from result import Ok
from result import Result

from .exceptions import BufferLimitError
from .exceptions import CallerDisconnectedError
from .exceptions import FrameError
from .exceptions import PeerError
from .jsonvalues import is_address
from .logs import log_event
from .messages import CODECS
from .messages import MAX_FRAME_BYTES
from .messages import PROTOCOL_VERSION
from .messages import Codec
from .messages import Message
from .messages import Problem
from .messages import message
from .readlimits import QUEUED_REPLIES
from .readlimits import ReadTurn
from .sockets import configure_socket

logger = logging.getLogger(__name__)

REQUEST = 0
REPLY = 1
ITEM = 2
DONE = 3
CANCEL = 4

# Call id of messages that expect no reply.
NO_REPLY_CALL_ID = 0

HANDSHAKE_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 5.0

# Both sides close a stream that carried nothing for this long.
IDLE_TIMEOUT_S = 120.0

# A frame that has begun must arrive within this time.
FRAME_TIMEOUT_S = 10.0

# Before authentication nothing larger than a hello is read.
MAX_HELLO_BYTES = 1024

# Each host opens one stream; the rest is for reconnects in a fleet of 410 nodes.
MAX_STREAMS = 1024

STREAM_BROKE = "stream broke"

MAX_HANDSHAKES = 64

# Requests that one peer may have in progress here.
MAX_PEER_REQUESTS = 4096

# A call whose reader falls further behind is cancelled; the stream stays open.
MAX_QUEUED_ITEMS = 4096

NONCE_BYTES = 16

M = t.TypeVar("M", bound=Message)

Task: t.TypeAlias = "gevent.Greenlet[..., None]"

Handler = Callable[[str, Any], Message | Iterator[Message] | None]

# Types of the messages that count as control traffic.
CONTROL_MESSAGES: set[type[Message] | type[None]] = set()


def control_message(cls: type[M]) -> type[M]:
    """Count the bytes of messages of this type as control traffic."""
    CONTROL_MESSAGES.add(cls)
    return cls


@message("hello")
@dataclass(slots=True)
class Hello(Message):
    """Introduce a host and prove that it holds the shared key."""

    version: int
    host: str
    instance: str
    nonce: bytes
    mac: bytes


@dataclass(slots=True)
class Traffic:
    """Frames and bytes of all streams of this host since its start."""

    bytes_sent: int = 0
    bytes_received: int = 0
    control_bytes_sent: int = 0
    control_bytes_received: int = 0
    requests_sent: Counter[str] = field(default_factory=Counter)
    requests_received: Counter[str] = field(default_factory=Counter)
    streams_rejected: int = 0


@dataclass(slots=True)
class LinkFaults:
    """Faults that tests inject: frames to the hosts in `cut` are lost."""

    cut: set[str] = field(default_factory=set)
    delay_s: float = 0.0


class Replies:
    """Replies to one call that its reader has not taken; their memory is counted."""

    def __init__(self) -> None:
        self.queue: Queue[tuple[int, Message | None, int]] = Queue()
        self.reservation = QUEUED_REPLIES.reserve(self.give_up)
        # The end that the reader finds is not the sender's.
        self.is_cut_off = False

    def qsize(self) -> int:
        """Return the number of replies."""
        return self.queue.qsize()

    def put(self, item: tuple[int, Message | None], size: int = 0) -> None:
        """Add a reply, unless its memory has been given up."""
        if size:
            try:
                self.reservation.resize(self.reservation.size + size)
            except BufferLimitError:
                return
        self.queue.put((*item, size))

    def get(self, timeout: float) -> tuple[int, Message | None]:
        """Take the next reply; raise Empty if there is none in time."""
        kind, body, size = self.queue.get(timeout=timeout)
        if size and not self.reservation.is_given_up:
            self.reservation.count(self.reservation.size - size)
        return kind, body

    def give_up(self) -> bool:
        """Drop the replies, which frees their memory; the reader finds the end."""
        while not self.queue.empty():
            self.queue.get_nowait()
        self.is_cut_off = True
        self.queue.put((DONE, None, 0))
        return True

    def close(self) -> None:
        """Return the memory."""
        self.reservation.release()


class Connection:
    """One stream to another host; one greenlet reads it."""

    def __init__(
        self,
        sock: Any,
        codec: Codec,
        address: str,
        traffic: Traffic,
        faults: LinkFaults,
    ) -> None:
        self.sock = sock
        self.traffic = traffic
        self.faults = faults
        self.max_frame_bytes = MAX_HELLO_BYTES
        self.received_frame_bytes = 0
        self.used_at = time.monotonic()
        self.version = PROTOCOL_VERSION
        self.codec = codec
        self.address = address
        self.host = ""
        self.instance = ""
        self.send_lock = BoundedSemaphore(1)
        # The greenlet that writes a frame.
        self.sender: Any = None
        self.pending: dict[int, Replies] = {}
        self.tasks: dict[int, Task] = {}
        self.call_ids = itertools.count(1)
        self.closed = False
        self.turn = ReadTurn()

    def send(self, kind: int, call_id: int, body: Message | None) -> None:
        """Send one frame; raise FrameError or OSError."""
        data = self.codec.encode(kind, call_id, body)
        if len(data) > MAX_FRAME_BYTES:
            raise FrameError(
                f"frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES}",
                step="send",
                peer=self.host,
            )
        if self.faults.delay_s:
            gevent.sleep(self.faults.delay_s)
        if self.host in self.faults.cut:
            return
        with self.send_lock:
            if self.closed:
                raise ConnectionResetError("connection is closed")
            self.sender = gevent.getcurrent()
            try:
                with gevent.Timeout(
                    SEND_TIMEOUT_S, TimeoutError("peer does not read its stream")
                ):
                    self.sock.sendall(struct.pack(">I", len(data)) + data)
            except BaseException:
                # A partly written frame makes the rest of the stream unreadable.
                self.close()
                raise
            finally:
                self.sender = None
            self.used_at = time.monotonic()
            self.traffic.bytes_sent += len(data) + 4
            if type(body) in CONTROL_MESSAGES:
                self.traffic.control_bytes_sent += len(data) + 4

    def receive(self) -> tuple[int, int, Message | None]:
        """Receive one frame; raise FrameError or OSError."""
        (size,) = struct.unpack(">I", self.read_exactly(4))
        if size > self.max_frame_bytes:
            raise FrameError(
                f"frame of {size} bytes exceeds {self.max_frame_bytes}",
                step="receive",
                peer=self.host or self.address,
            )
        timeout_error = FrameError("frame incomplete", step="receive", peer=self.host)
        with gevent.Timeout(FRAME_TIMEOUT_S, timeout_error):
            data = self.read_exactly(size)
        self.used_at = time.monotonic()
        self.received_frame_bytes = size
        kind, call_id, body = self.codec.decode(data)
        if type(body) in CONTROL_MESSAGES:
            self.traffic.control_bytes_received += size + 4
        return kind, call_id, body

    def read_exactly(self, size: int) -> bytes:
        """Read `size` bytes; raise OSError at the end of the stream."""
        parts = []
        while size:
            self.turn.check()
            data = self.sock.recv(min(size, 65536))
            if not data:
                raise ConnectionResetError("connection closed by the peer")
            self.traffic.bytes_received += len(data)
            parts.append(data)
            size -= len(data)
        return b"".join(parts)

    def close(self) -> None:
        """Close the stream and fail the calls in flight."""
        if self.closed:
            return
        self.closed = True
        self.sock.close()
        for queue in self.pending.values():
            queue.put((DONE, None))
        own = gevent.getcurrent()
        for task in list(self.tasks.values()):
            if task is not own:
                task.kill(block=False)


class PeerNetwork:
    """Streams from and to the other entry hosts."""

    def __init__(
        self,
        host: str,
        instance: str,
        address: str,
        shared_key: str,
        find_address: Callable[[str], str | None],
        codec_name: str = "msgpack",
    ) -> None:
        self.host = host
        self.instance = instance
        self.address = address
        self.key = shared_key.encode()
        self.find_address = find_address
        self.codec_name = codec_name
        self.handlers: dict[type[Message], Handler] = {}
        self.connections: dict[str, Connection] = {}
        self.accepted: set[Connection] = set()
        self.connect_locks: dict[str, BoundedSemaphore] = {}
        self.server: StreamServer | None = None
        self.traffic = Traffic()
        self.faults = LinkFaults()
        # Connections that have not proved the shared key yet, oldest first.
        self.handshakes: dict[Connection, None] = {}
        self.instances: dict[str, str] = {}
        self.stream_broken_listeners: list[Callable[[str], None]] = []
        self.idle_stream_task: gevent.Greenlet[..., None] | None = None

    def handle(self, cls: type[Message], handler: Handler) -> None:
        """Answer messages of type `cls` with `handler(host, message)`."""
        self.handlers[cls] = handler

    def start(self) -> None:
        """Listen for other hosts."""
        ip, _, port = self.address.rpartition(":")
        self.server = StreamServer((ip, int(port)), self.accept)
        self.server.start()
        self.address = f"{ip}:{self.server.server_port}"
        self.idle_stream_task = gevent.spawn(self.close_idle_streams)

    def close_idle_streams(self) -> None:
        """Close streams that carry nothing."""
        while True:
            gevent.sleep(IDLE_TIMEOUT_S / 4)
            limit = time.monotonic() - IDLE_TIMEOUT_S
            for connection in [*self.connections.values(), *self.accepted]:
                busy = connection.pending or connection.tasks
                if connection.used_at < limit and not busy:
                    connection.close()

    def stop(self) -> None:
        """Close the listener and all streams."""
        if self.idle_stream_task is not None:
            self.idle_stream_task.kill(block=False)
        if self.server is not None:
            self.server.stop(timeout=0)
        for connection in [*self.connections.values(), *self.accepted]:
            connection.close()

    def compute_mac(
        self, role: str, first: bytes, second: bytes, hello_id: str
    ) -> bytes:
        """Return the proof of the shared key for one side of a handshake."""
        text = b"|".join([role.encode(), first, second, hello_id.encode()])
        return hmac.digest(self.key, text, "sha256")

    def accept(self, sock: Any, address: tuple[str, int]) -> None:
        """Serve one stream that another host opened."""
        while len(self.handshakes) >= MAX_HANDSHAKES:
            # A host needs milliseconds for its handshake: the oldest is none.
            self.traffic.streams_rejected += 1
            oldest = next(iter(self.handshakes))
            del self.handshakes[oldest]
            self.accepted.discard(oldest)
            oldest.close()
        if len(self.accepted) >= MAX_STREAMS:
            self.traffic.streams_rejected += 1
            sock.close()
            return
        configure_socket(sock)
        connection = self.open_connection(sock, str(address))
        self.accepted.add(connection)
        try:
            self.handshakes[connection] = None
            try:
                timeout_error = FrameError("handshake timeout", step="handshake")
                with gevent.Timeout(HANDSHAKE_TIMEOUT_S, timeout_error):
                    self.accept_handshake(connection)
            finally:
                self.handshakes.pop(connection, None)
            self.finish_handshake(connection)
            self.serve(connection)
        except (FrameError, OSError) as error:
            log_event(
                logger,
                "peer_stream_closed",
                level=logging.DEBUG,
                peer=connection.host or connection.address,
                error=str(error),
            )
        finally:
            connection.close()
            self.accepted.discard(connection)

    def open_connection(self, sock: Any, address: str) -> Connection:
        """Return the connection of a socket that is not authenticated yet."""
        codec = CODECS[self.codec_name]()
        return Connection(sock, codec, address, self.traffic, self.faults)

    def finish_handshake(self, connection: Connection) -> None:
        """Accept frames of full size after the handshake."""
        connection.sock.settimeout(None)
        connection.max_frame_bytes = MAX_FRAME_BYTES
        self.instances[connection.host] = connection.instance

    def accept_handshake(self, connection: Connection) -> None:
        """Check the dialling host's proof and answer with this host's own."""
        nonce = os.urandom(NONCE_BYTES)
        connection.send(
            ITEM, 0, Hello(PROTOCOL_VERSION, self.host, self.instance, nonce, b"")
        )
        _, _, hello = connection.receive()
        if not isinstance(hello, Hello):
            raise FrameError("first message is not hello", step="handshake")
        expected = self.compute_mac(
            "dial", nonce, hello.nonce, f"{hello.host}/{hello.instance}"
        )
        if not hmac.compare_digest(expected, hello.mac):
            raise FrameError("peer does not hold the shared key", step="handshake")
        connection.host = hello.host
        connection.version = min(PROTOCOL_VERSION, hello.version)
        connection.instance = hello.instance
        proof = self.compute_mac(
            "accept", nonce, hello.nonce, f"{self.host}/{self.instance}"
        )
        connection.send(
            ITEM, 0, Hello(PROTOCOL_VERSION, self.host, self.instance, nonce, proof)
        )

    def serve(self, connection: Connection) -> None:
        """Read requests and run each in its own greenlet."""
        while True:
            kind, call_id, body = connection.receive()
            if kind == CANCEL:
                task = connection.tasks.pop(call_id, None)
                # A task that is killed while it writes a frame breaks the stream; it
                # ends itself after the frame.
                if task is not None and task is not connection.sender:
                    task.kill(block=False)
            elif kind == REQUEST and body is not None:
                if len(connection.tasks) >= MAX_PEER_REQUESTS:
                    problem = Problem("too many requests in progress", step="receive")
                    connection.send(REPLY, call_id, problem)
                    continue
                self.traffic.requests_received[type(body).__name__] += 1
                if call_id == NO_REPLY_CALL_ID:
                    self.handle_one_way(connection.host, body)
                    continue
                task = gevent.spawn(self.handle_request, connection, call_id, body)
                connection.tasks[call_id] = task

    def handle_one_way(self, host: str, body: Message) -> None:
        """Handle a message that expects no reply; its handler must not block."""
        try:
            self.run_handler(host, body)
        except Exception as error:
            log_event(
                logger,
                "peer_message_failed",
                level=logging.ERROR,
                peer=host,
                request_type=type(body).__name__,
                error=repr(error),
            )

    def handle_request(
        self, connection: Connection, call_id: int, body: Message
    ) -> None:
        """Run the handler of one request and send what it returns."""
        try:
            reply = self.run_handler(connection.host, body)
            if reply is None or isinstance(reply, Message):
                connection.send(REPLY, call_id, reply)
                return
            for item in reply:
                connection.send(ITEM, call_id, item)
                if call_id not in connection.tasks:
                    return
            connection.send(DONE, call_id, None)
        except (FrameError, OSError) as error:
            log_event(
                logger,
                "peer_answer_failed",
                level=logging.DEBUG,
                peer=connection.host,
                error=str(error),
            )
            connection.close()
        except Exception as error:
            # The other host must not assume that a request that failed was never run.
            log_event(
                logger,
                "peer_request_failed",
                level=logging.ERROR,
                peer=connection.host,
                request_type=type(body).__name__,
                error=repr(error),
            )
            self.send_done(connection, call_id)
        finally:
            connection.tasks.pop(call_id, None)

    def send_done(self, connection: Connection, call_id: int) -> None:
        """End a request without a reply."""
        try:
            connection.send(DONE, call_id, None)
        except (FrameError, OSError):
            connection.close()

    def run_handler(
        self, host: str, body: Message
    ) -> Message | Iterator[Message] | None:
        """Return the handler's reply, or a problem if there is no handler."""
        if isinstance(body, Problem):
            return body
        handler = self.handlers.get(type(body))
        if handler is None:
            return Problem(f"no handler for {type(body).__name__}", step="handle")
        return handler(host, body)

    def connect(self, host: str) -> Connection:
        """Return an open stream to `host`; raise PeerError with sent=False."""
        connection = self.connections.get(host)
        if connection is not None and not connection.closed:
            return connection
        lock = self.connect_locks.setdefault(host, BoundedSemaphore(1))
        with lock:
            connection = self.connections.get(host)
            if connection is not None and not connection.closed:
                return connection
            address = self.find_address(host)
            if address is None or not is_address(address):
                raise PeerError(
                    "no valid address known", step="connect", peer=host, sent=False
                )
            try:
                connection = self.dial(host, address)
            except CallerDisconnectedError:
                raise
            except (OSError, FrameError) as error:
                raise PeerError(
                    f"cannot connect to {address}: {error}",
                    step="connect",
                    peer=host,
                    sent=False,
                ) from error
            self.connections[host] = connection
            gevent.spawn(self.read_replies, connection)
            return connection

    def dial(self, host: str, address: str) -> Connection:
        """Open and authenticate a stream; raise OSError or FrameError."""
        ip, _, port = address.rpartition(":")
        sock = gevent.socket.create_connection((ip, int(port)), CONNECT_TIMEOUT_S)
        configure_socket(sock)
        connection = self.open_connection(sock, address)
        try:
            timeout_error = FrameError("handshake timeout", step="handshake", peer=host)
            with gevent.Timeout(HANDSHAKE_TIMEOUT_S, timeout_error):
                if host in self.faults.cut:
                    gevent.sleep(HANDSHAKE_TIMEOUT_S + 1.0)
                self.dial_handshake(connection, host)
        except BaseException:
            connection.close()
            raise
        self.finish_handshake(connection)
        return connection

    def dial_handshake(self, connection: Connection, host: str) -> None:
        """Prove the shared key and check the accepting host's proof."""
        _, _, hello = connection.receive()
        if not isinstance(hello, Hello):
            raise FrameError("first message is not hello", step="handshake")
        nonce = os.urandom(NONCE_BYTES)
        proof = self.compute_mac(
            "dial", hello.nonce, nonce, f"{self.host}/{self.instance}"
        )
        connection.send(
            ITEM, 0, Hello(PROTOCOL_VERSION, self.host, self.instance, nonce, proof)
        )
        server_nonce = hello.nonce
        _, _, hello = connection.receive()
        if not isinstance(hello, Hello) or hello.host != host:
            raise FrameError(f"peer is not host {host!r}", step="handshake")
        expected = self.compute_mac(
            "accept", server_nonce, nonce, f"{hello.host}/{hello.instance}"
        )
        if not hmac.compare_digest(expected, hello.mac):
            raise FrameError("peer does not hold the shared key", step="handshake")
        connection.host = hello.host
        connection.version = min(PROTOCOL_VERSION, hello.version)
        connection.instance = hello.instance

    def read_replies(self, connection: Connection) -> None:
        """Pass replies to the calls that wait for them."""
        try:
            while True:
                kind, call_id, body = connection.receive()
                queue = connection.pending.get(call_id)
                if queue is None:
                    continue
                queue.put((kind, body), connection.received_frame_bytes)
                is_given_up = queue.reservation.is_given_up
                if is_given_up or queue.qsize() > MAX_QUEUED_ITEMS:
                    connection.pending.pop(call_id, None)
                    queue.is_cut_off = True
                    queue.put((DONE, None))
                    connection.send(CANCEL, call_id, None)
        except (FrameError, OSError) as error:
            log_event(
                logger,
                "peer_stream_closed",
                level=logging.DEBUG,
                peer=connection.host,
                error=str(error),
            )
        finally:
            connection.close()
            if self.connections.get(connection.host) is connection:
                del self.connections[connection.host]
            for listener in self.stream_broken_listeners:
                listener(connection.host)

    def call(
        self, host: str, body: Message, timeout_s: float
    ) -> Result[Message | None, PeerError]:
        """Send one request and return its reply."""
        try:
            timeout_error = PeerError(
                f"not connected within {timeout_s:g} s",
                step="connect",
                peer=host,
                sent=False,
            )
            with gevent.Timeout(timeout_s, timeout_error):
                connection = self.connect(host)
        except PeerError as error:
            return Err(error)
        call_id = next(connection.call_ids)
        queue = Replies()
        connection.pending[call_id] = queue
        step = type(body).__name__
        self.traffic.requests_sent[step] += 1
        try:
            connection.send(REQUEST, call_id, body)
            kind, reply = queue.get(timeout=timeout_s)
        except CallerDisconnectedError:
            # Raised in this greenlet because the caller left, not by the stream.
            raise
        except Empty:
            detail = f"no reply within {timeout_s:g} s"
            return Err(PeerError(detail, step=step, peer=host, sent=True))
        except (FrameError, OSError) as error:
            return Err(PeerError(str(error), step=step, peer=host, sent=True))
        finally:
            connection.pending.pop(call_id, None)
            queue.close()
        if kind == DONE:
            return Err(PeerError(STREAM_BROKE, step=step, peer=host, sent=True))
        if isinstance(reply, Problem):
            return Err(PeerError(reply.detail, step=step, peer=host, sent=False))
        return Ok(reply)

    def send_one_way(self, host: str, body: Message) -> Result[None, PeerError]:
        """Send one message without waiting for its reply."""
        step = type(body).__name__
        try:
            connection = self.connect(host)
            self.traffic.requests_sent[step] += 1
            connection.send(REQUEST, NO_REPLY_CALL_ID, body)
        except PeerError as error:
            return Err(error)
        except (FrameError, OSError) as error:
            return Err(PeerError(str(error), step=step, peer=host, sent=True))
        return Ok(None)

    def disconnect(self, host: str) -> None:
        """Close the stream to a host that no longer answers."""
        connection = self.connections.pop(host, None)
        if connection is not None:
            connection.close()

    def stream(self, host: str, body: Message, timeout_s: float) -> Iterator[Message]:
        """Send one request and yield its replies; raise PeerError if they break off.

        Closing the iterator early cancels the request on the other host.
        """
        connection = self.connect(host)
        call_id = next(connection.call_ids)
        queue = Replies()
        connection.pending[call_id] = queue
        step = type(body).__name__
        finished = False
        self.traffic.requests_sent[step] += 1
        try:
            connection.send(REQUEST, call_id, body)
            deadline = time.monotonic() + timeout_s
            while True:
                kind, item = queue.get(timeout=max(0.0, deadline - time.monotonic()))
                if kind == DONE:
                    finished = True
                    if connection.closed or queue.is_cut_off:
                        raise PeerError(STREAM_BROKE, step=step, peer=host, sent=True)
                    return
                if isinstance(item, Problem):
                    finished = True
                    raise PeerError(item.detail, step=step, peer=host, sent=False)
                if item is not None:
                    yield item
        except Empty as error:
            detail = f"response not complete within {timeout_s:g} s"
            raise PeerError(detail, step=step, peer=host, sent=True) from error
        except (FrameError, OSError) as error:
            raise PeerError(str(error), step=step, peer=host, sent=True) from error
        finally:
            connection.pending.pop(call_id, None)
            queue.close()
            if not finished and not connection.closed:
                self.send_cancel(connection, call_id)

    def send_cancel(self, connection: Connection, call_id: int) -> None:
        """Tell the other host to stop working on a call."""
        try:
            connection.send(CANCEL, call_id, None)
        except (FrameError, OSError):
            connection.close()
