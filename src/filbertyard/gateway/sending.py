"""Send a request to a replica and deliver its response to the caller."""

from __future__ import annotations

import logging
import math
import re
import time
from collections import Counter
from collections.abc import Callable
from http import HTTPStatus

from ..exceptions import UpstreamError
from ..httpcalls import WITHDRAWN
from ..httpcalls import HttpPeer
from ..httpcalls import HttpResponse
from ..logs import log_event
from .claims import boot_clock
from .delivery import PERMIT_EXPIRED
from .delivery import Attempt
from .delivery import Delivery
from .delivery import Outcome
from .health import HealthTable
from .types import GatewayRequest
from .types import Replica
from .wire import ResponseHead
from .wire import WireFormat

logger = logging.getLogger(__name__)

# Idle connections to replicas are reused within this time only: replicas may close them
# without notice.
MAX_REPLICA_IDLE_S = 2.0

# Connections to one replica; the replica's own limit is lower.
MAX_REPLICA_CONNECTIONS = 1024

# The load that a replica reported in a response is used for this long.
MAX_REPORTED_LOAD_AGE_S = 0.5

# Where a request may be retried, a silent replica is given up for another one after
# this many latency objectives.
SILENCE_TIMEOUT_OBJECTIVES = 1.0
MIN_SILENCE_TIMEOUT_S = 0.25

# Time to read what has arrived of a response whose deadline has passed.
MIN_READ_S = 0.02

REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}

# An empty line ends an event of a stream; the platform's replicas send the first form.
EVENT_END = b"\n\n"
EVENT_ENDS = (EVENT_END, b"\r\n\r\n", b"\r\r")
MAX_EVENT_END_BYTES = 4

# Events larger than this are not waited for.
MAX_EVENT_BYTES = 128 * 1024

# A stream that exceeds these sizes is none: it has at most one event for each token
# that its request allows, and an event holds the text of a token and a few fields.
MAX_STREAM_BYTES = 256 * 1024
MAX_STREAM_BYTES_PER_TOKEN = 1024

# Cause of an attempt whose stream exceeded these sizes.
STREAM_TOO_LARGE = "stream_too_large"

EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class Sender:
    """Connections to replicas, and the health and load that their responses show.

    `on_first_event` is called with the replica when it begins to answer a request;
    `on_rate_limit` with the rate limit that a response shows, infinite for none;
    `prepare_head` may add headers to a response; `is_usable` tells if a replica still
    takes requests.
    """

    def __init__(
        self,
        wire: WireFormat,
        is_usable: Callable[[str], bool],
        on_first_event: Callable[[Delivery, str], None],
        on_rate_limit: Callable[[Delivery, Replica, float], None],
        prepare_head: Callable[[list[tuple[str, str]]], None],
    ) -> None:
        self.wire = wire
        self.is_usable = is_usable
        self.on_first_event = on_first_event
        self.on_rate_limit = on_rate_limit
        self.prepare_head = prepare_head
        self.health = HealthTable()
        self.peers: dict[str, HttpPeer] = {}
        self.in_flight: Counter[str] = Counter()
        self.reported_loads: dict[str, tuple[float, int]] = {}

    def current_load(self, replica: str, now: float) -> int:
        """Return the open requests of a replica, reported recently or counted here."""
        at, running = self.reported_loads.get(replica, (0.0, 0))
        own = self.in_flight[replica]
        return max(own, running) if now - at < MAX_REPORTED_LOAD_AGE_S else own

    def peer(self, address: str) -> HttpPeer:
        """Return the connections to a replica."""
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = HttpPeer(
                address,
                concurrency=MAX_REPLICA_CONNECTIONS,
                step="send request",
                max_idle_s=MAX_REPLICA_IDLE_S,
            )
        return peer

    def send(
        self,
        delivery: Delivery,
        replica: Replica,
        version: int,
        *,
        is_last: bool = True,
    ) -> Attempt:
        """Send a request to a replica and deliver its response."""
        request, route = delivery.request, delivery.route
        left_s = delivery.left_s()
        resume_after = delivery.last_event
        if not resume_after and route.is_resumable:
            resume_after = request.resume_after
        headers = self.wire.request_headers(
            request,
            replica.id,
            left_s,
            delivery.rank,
            version,
            resume_after,
            delivery.workspace_name() if delivery.hides_key else None,
        )
        request_timeout_s = left_s
        if not is_last:
            silence_timeout_s = max(
                MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_OBJECTIVES * route.objective_s
            )
            request_timeout_s = min(left_s, max(silence_timeout_s, left_s / 3))
        if left_s <= 0:
            return Attempt("not_run", replica.id, "deadline")
        # On a kept connection, a repeated response to the first send has the same id.
        is_sent_again = replica.id in delivery.replicas
        delivery.sends += 1
        delivery.has_begun = False
        delivery.rate_limit = None
        delivery.slowdown = 0.0
        delivery.replicas.append(replica.id)
        self.in_flight[replica.id] += 1
        response: HttpResponse | None = None
        delivery.sent_at = time.monotonic()
        try:
            response = self.peer(replica.address).request(
                request.method,
                request.target,
                request.body,
                headers,
                new_connection=is_sent_again,
                timeout_s=request_timeout_s,
                may_send=lambda: (
                    self.is_usable(replica.id) and boot_clock() < delivery.permit_until
                ),
            )
            head = self.wire.read_response_head(response.status, response.headers)
            read_until = delivery.sent_at + request_timeout_s
            return self.receive(delivery, replica, response, head, is_last, read_until)
        except UpstreamError as error:
            return self.record_failure(delivery, replica, error)
        finally:
            self.in_flight[replica.id] -= 1
            if response is not None:
                response.close()

    def record_rate_limit(
        self, delivery: Delivery, replica: Replica, head: ResponseHead
    ) -> None:
        """Record the rate limit that a response names, or that it names none."""
        if head.is_adapter_absent:
            # It may be the response of another replica at the same address.
            return
        if head.rate_limit is None:
            log_event(
                logger,
                "rate_limit_unreadable",
                level=logging.WARNING,
                request=delivery.request.id,
                replica=replica.id,
            )
        elif head.is_signed or not math.isinf(head.rate_limit):
            self.on_rate_limit(delivery, replica, head.rate_limit)

    def record_failure(
        self, delivery: Delivery, replica: Replica, error: UpstreamError
    ) -> Attempt:
        """Record a failed exchange and tell whether the request may have run."""
        now = time.monotonic()
        if error.code == WITHDRAWN:
            delivery.sends -= 1
            delivery.replicas.pop()
            is_usable = self.is_usable(replica.id)
            cause = PERMIT_EXPIRED if is_usable else "replica_leaving"
            return Attempt("not_run", replica.id, cause)
        log_event(
            logger,
            "send_failed",
            request=delivery.request.id,
            replica=replica.id,
            sent=error.sent,
            response_started=bool(delivery.write),
            begun=delivery.has_begun,
            prompt=",".join(delivery.request.prompt_parts),
            failure_rate=self.health.failure_rate(replica.id, now),
            error=str(error),
        )
        if not error.sent:
            self.health.record_unreachable(replica.id, now)
            return Attempt("not_run", replica.id, "unreachable")
        self.health.record_outcome(replica.id, True, now)
        outcome: Outcome = "broken" if delivery.write is not None else "unknown"
        return Attempt(outcome, replica.id, error.code or "connection")

    def receive(
        self,
        delivery: Delivery,
        replica: Replica,
        response: HttpResponse,
        head: ResponseHead,
        is_last: bool,
        read_until: float,
    ) -> Attempt:
        """Check the head of a response and deliver it; raise UpstreamError.

        A response that is delivered as a whole must be complete by `read_until`.
        """
        now = time.monotonic()
        request = delivery.request
        # A response without an id on a kept connection may be an earlier one, repeated.
        own_ids = ("", request.id) if response.is_first else (request.id,)
        is_foreign = head.request_id not in own_ids
        if is_foreign or not (head.is_signed or head.is_not_run):
            # The responses to later requests may follow on the same connection.
            response.discard()
            raise UpstreamError(
                f"status {head.status} is not a response to this request",
                step="read response",
                peer=replica.id,
                sent=True,
                status=head.status,
                code="foreign_answer" if is_foreign else "unsigned",
            )
        self.record_rate_limit(delivery, replica, head)
        if head.has_slowdown:
            delivery.slowdown = head.slowdown
        if head.running >= 0:
            self.reported_loads[replica.id] = (now, head.running + head.waiting)
        if head.is_not_run:
            self.drain(response, request, replica)
            # A full replica is not a failing one; its reported load is enough.
            log_event(
                logger,
                "replica_refused",
                request=request.id,
                replica=replica.id,
                status=head.status,
                absent=head.is_adapter_absent or None,
                running=head.running,
                waiting=head.waiting,
            )
            cause = "absent" if head.is_adapter_absent else "full"
            return Attempt("not_run", replica.id, cause, head.is_adapter_absent)
        failed = head.status >= 500
        is_stream = delivery.route.kind == "stream" and head.status == 200
        # The caller has the head of a stream, which only more events can follow.
        is_out_of_place = delivery.write is not None and not is_stream
        if is_out_of_place or (failed and not is_last):
            self.drain(response, request, replica)
            self.health.record_outcome(replica.id, failed, now)
            return Attempt("unknown", replica.id, f"status_{head.status}")
        self.health.record_outcome(replica.id, failed, now)
        if is_stream:
            self.deliver_stream(delivery, replica, response)
        else:
            self.deliver_buffered(delivery, response, read_until)
        return Attempt("delivered", replica.id)

    def drain(
        self, response: HttpResponse, request: GatewayRequest, replica: Replica
    ) -> None:
        """Drop the body of a response whose head says all; record an endless one."""

        def record(error: UpstreamError) -> None:
            log_event(
                logger,
                "drain_failed",
                request=request.id,
                replica=replica.id,
                status=response.status,
                error=str(error),
            )
            self.health.record_outcome(replica.id, True, time.monotonic())

        response.drain(record)

    def deliver_buffered(
        self, delivery: Delivery, response: HttpResponse, read_until: float
    ) -> None:
        """Deliver a response once its body is complete; raise UpstreamError."""
        # What has arrived already is delivered, also after the deadline.
        response.deadline = max(read_until, time.monotonic() + MIN_READ_S)
        with response.whole_body() as body:
            headers = self.wire.response_headers(response.headers)
        # While the caller does not read, its connection counts the memory, so that it
        # can be given up.
        if response.is_framed:
            headers.append(("Content-Length", str(len(body))))
        self.send_head(delivery, response, headers)
        self.send_body(delivery, body)

    def deliver_stream(
        self, delivery: Delivery, replica: Replica, response: HttpResponse
    ) -> None:
        """Deliver a stream as it arrives; raise UpstreamError if it breaks."""
        response.deadline = delivery.deadline()
        headers = self.wire.response_headers(response.headers)
        max_bytes = max_stream_bytes(delivery.request)
        received_bytes = 0
        pending = tail = b""
        # Time spent waiting for the caller to read is not a gap of the engine.
        gap_started_at = 0.0
        for part in response.parts():
            now = delivery.last_chunk_at = time.monotonic()
            delivery.has_begun = True
            received_bytes += len(part)
            if received_bytes > max_bytes:
                message = f"the stream exceeds {max_bytes} bytes"
                raise stream_error(message, replica, STREAM_TOO_LARGE)
            if gap_started_at:
                gap_s = now - gap_started_at
                delivery.longest_gap_s = max(delivery.longest_gap_s, gap_s)
            else:
                self.on_first_event(delivery, replica.id)
            if delivery.write is None:
                delivery.first_event_at = now
                self.send_head(delivery, response, headers)
            tail = (tail + part)[-MAX_EVENT_END_BYTES:]
            if not delivery.route.is_resumable:
                self.send_body(delivery, part)
                gap_started_at = time.monotonic()
                continue
            gap_started_at = now
            # Only whole events are sent on where another replica may resume the stream.
            unsearched = max(0, len(pending) - len(EVENT_END) + 1)
            pending += part
            end = pending.rfind(EVENT_END, unsearched) + len(EVENT_END)
            if end < len(EVENT_END):
                if len(pending) > MAX_EVENT_BYTES:
                    raise stream_error("an event is too large", replica)
                continue
            events, pending = pending[:end], pending[end:]
            found = EVENT_ID.findall(events)
            if found:
                delivery.last_event = found[-1].decode("latin-1")
            self.send_body(delivery, events)
        if not response.is_framed:
            if not tail.endswith(EVENT_ENDS):
                raise stream_error("the stream ended inside an event", replica)
            if delivery.is_framed:
                # The last chunk would state an end that only the replica can know.
                raise stream_error("the end of the stream is not known", replica)
        if delivery.write is None:
            self.send_head(delivery, response, headers)
        self.send_body(delivery, pending)

    def send_head(
        self,
        delivery: Delivery,
        response: HttpResponse,
        headers: list[tuple[str, str]],
    ) -> None:
        """Set the head of the response; it is sent with the first part of the body.

        A response that its replica did not frame is not framed for the caller either:
        the length or the last chunk would state that it is complete.
        """
        status = response.status
        phrase = REASON_PHRASES.get(status, "Unknown")
        delivery.status = status
        delivery.is_framed = response.is_framed
        self.prepare_head(headers)
        if not delivery.is_framed:
            delivery.handler.omit_framing()
            if ("Connection", "close") not in headers:
                headers.append(("Connection", "close"))
        delivery.write = delivery.start_response(f"{status} {phrase}", headers)

    def send_body(self, delivery: Delivery, data: bytes | bytearray) -> None:
        """Send a part of the body to the caller."""
        if data and delivery.write is not None:
            delivery.write(data)
            delivery.bytes_sent += len(data)


def max_stream_bytes(request: GatewayRequest) -> float:
    """Return the size that the response to a request cannot exceed."""
    if not request.max_output_tokens:
        return math.inf
    return MAX_STREAM_BYTES + MAX_STREAM_BYTES_PER_TOKEN * request.max_output_tokens


def stream_error(message: str, replica: Replica, code: str = "") -> UpstreamError:
    """Return the error for a stream that cannot be delivered to its end."""
    return UpstreamError(
        message, step="read stream", peer=replica.id, sent=True, code=code
    )
