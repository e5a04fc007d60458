"""Keep prompts that crash replicas away from them, across all hosts."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import replace

import gevent
import gevent.socket
from result import Err

from ..exceptions import KeyValueError
from ..keyvalue import KeyValue
from ..keyvalue import Put
from ..logs import log_event
from ..metrics import Metrics
from ..peers import PeerNetwork
from .delivery import Delivery
from .fleet import Fleet
from .hubs import rendezvous_order
from .messages import ProbeEnded
from .messages import ProbeReply
from .messages import ProbeRequest
from .messages import PromptCleared
from .messages import PromptCrash
from .probes import ProbeGate
from .quarantine import Rejection
from .state import GatewayState
from .state import encode_rejection
from .types import Replica

logger = logging.getLogger(__name__)

# Time limit for the connection that tells whether a replica has ended.
CONNECT_TIMEOUT_S = 0.3

# Reports of other hosts about the same replica arrive within this time.
REPORT_DELAY_S = 0.1

# A request with a suspected part waits this long for its turn.
MAX_PROBE_WAIT_S = 3.0

PROBE_REPLY_MARGIN_S = 0.25

# Interval between attempts to write a rejection to the store.
STORE_RETRY_S = 0.5

EXPIRY_INTERVAL_S = 1.0


class PromptGuard:
    """What one host does about prompts that crash replicas.

    `on_rejection` is called when a combination of parts is rejected from now on.
    """

    def __init__(
        self,
        fleet: Fleet,
        peers: PeerNetwork,
        state: GatewayState,
        store: KeyValue,
        metrics: Metrics,
    ) -> None:
        self.fleet = fleet
        self.peers = peers
        self.state = state
        self.quarantine = state.quarantine
        self.store = store
        self.metrics = metrics
        self.gate = ProbeGate(self.suspects, self.is_rejected)
        self.probes: dict[str, tuple[str, frozenset[str]]] = {}
        self.on_rejection: Callable[[], None] = lambda: None
        peers.handle(PromptCrash, self.handle_crash)
        peers.handle(PromptCleared, self.handle_cleared)
        peers.handle(ProbeRequest, self.handle_probe_request)
        peers.handle(ProbeEnded, self.handle_probe_ended)

    def run(self) -> None:
        """Forget what no longer holds, forever."""
        while True:
            gevent.sleep(EXPIRY_INTERVAL_S)
            self.quarantine.expire(time.monotonic())

    # Requests of this host.

    def find_rejection(self, delivery: Delivery) -> Rejection | None:
        """Return the rejection that applies to a request, None if there is none."""
        parts = delivery.request.prompt_parts
        return self.quarantine.find_rejection(parts, time.monotonic())

    def is_rejected(self, parts: Iterable[str]) -> bool:
        """Tell if a prompt is rejected now."""
        return self.quarantine.find_rejection(parts, time.monotonic()) is not None

    def is_probe(self, delivery: Delivery) -> bool:
        """Tell if a request with suspected parts has its turn."""
        _, probed = self.probes.get(delivery.request.id, ("", frozenset()))
        return bool(probed)

    def suspects(self, parts: Iterable[str]) -> frozenset[str]:
        """Return the parts of a prompt that may only be probed now."""
        return self.quarantine.suspects(parts, time.monotonic())

    def may_send(self, delivery: Delivery) -> bool:
        """Tell if a request may be sent to a replica now."""
        _, probed = self.probes.get(delivery.request.id, ("", frozenset()))
        return (
            self.find_rejection(delivery) is None
            and self.suspects(delivery.request.prompt_parts) <= probed
        )

    def await_turn(self, delivery: Delivery) -> bool:
        """Wait until a request with suspected parts may be sent; tell if it may."""
        request = delivery.request
        suspects = self.suspects(request.prompt_parts)
        if not suspects:
            return True
        self.end_probe(delivery)
        host = self.gate_host()
        wait_s = min(MAX_PROBE_WAIT_S, delivery.event_timeout_left_s())
        parts = list(request.prompt_parts)
        if host == self.fleet.id:
            is_granted = self.gate.acquire(request.id, parts, wait_s)
        else:
            message = ProbeRequest(request.id, parts, wait_s)
            result = self.peers.call(host, message, wait_s + PROBE_REPLY_MARGIN_S)
            reply = None if isinstance(result, Err) else result.ok_value
            is_granted = isinstance(reply, ProbeReply) and reply.is_granted
        suspects = self.suspects(request.prompt_parts)
        self.probes[request.id] = (host, suspects if is_granted else frozenset())
        log_event(
            logger,
            "prompt_probe",
            request=request.id,
            parts=",".join(sorted(suspects)),
            gate=host,
            granted=is_granted,
        )
        return is_granted

    def end_probe(self, delivery: Delivery) -> None:
        """Let the next request with the same suspected parts go."""
        host, _ = self.probes.pop(delivery.request.id, ("", frozenset()))
        if host == self.fleet.id:
            self.gate.release(delivery.request.id)
        elif host:
            self.fleet.send({host}, ProbeEnded(delivery.request.id))

    def record_begun(self, delivery: Delivery) -> None:
        """Record that a replica began to answer a request."""
        cleared = self.quarantine.clear(delivery.request.prompt_parts)
        if cleared:
            self.publish(PromptCleared(sorted(cleared)))
            self.end_probe(delivery)

    def record_broken(self, delivery: Delivery, replica: Replica) -> None:
        """Record that the connection broke before a replica answered a request."""
        request = delivery.request
        if not request.prompt_parts or not self.state.is_usable(replica.id):
            return
        if not has_ended(replica.address):
            return
        incarnation = f"{replica.id}/{replica.started_ms}"
        _, probed = self.probes.get(request.id, ("", frozenset()))
        log_event(
            logger,
            "replica_ended",
            level=logging.WARNING,
            request=request.id,
            replica=replica.id,
            born=replica.started_ms,
            prompt=",".join(request.prompt_parts),
            probed=",".join(sorted(probed)),
        )
        self.metrics.add("filbertyard_prompt_crashes_total")
        self.publish(PromptCrash(incarnation, list(request.prompt_parts), [], 0.0))
        if not probed:
            return
        gevent.sleep(REPORT_DELAY_S)
        culprits = self.quarantine.culprits(probed, incarnation)
        if culprits:
            rejection_s = self.quarantine.rejection_s(culprits)
            self.publish(PromptCrash(incarnation, [], sorted(culprits), rejection_s))
            gevent.spawn(self.store_rejection, culprits, rejection_s)

    def store_rejection(self, parts: frozenset[str], rejection_s: float) -> None:
        """Write a rejection to the store, for hosts that start later."""
        end = time.monotonic() + rejection_s
        while time.monotonic() < end:
            try:
                lease = self.store.lease_grant(int(rejection_s))
                key, value = encode_rejection(parts, rejection_s)
                self.store.txn([], [Put(key, value, lease)])
            except KeyValueError as error:
                log_event(
                    logger,
                    "rejection_not_stored",
                    level=logging.WARNING,
                    parts=",".join(sorted(parts)),
                    error=str(error),
                )
                gevent.sleep(STORE_RETRY_S)
            else:
                return

    # Other hosts.

    def gate_host(self) -> str:
        """Return the host that grants permits to probe."""
        hosts = {*self.fleet.active_zones(), self.fleet.id}
        return rendezvous_order("prompt probes", hosts)[0]

    def publish(self, message: PromptCrash | PromptCleared) -> None:
        """Apply a message here and send it to all hosts."""
        if isinstance(message, PromptCrash):
            self.handle_crash(self.fleet.id, message)
        else:
            self.handle_cleared(self.fleet.id, message)
        self.fleet.broadcast(message)

    def relay(self, message: PromptCrash | PromptCleared) -> None:
        """Send a message on to the spokes of this host if it is a hub."""
        if self.fleet.is_hub() and not message.is_relayed:
            self.fleet.send_to_spokes(replace(message, is_relayed=True))

    def handle_crash(self, peer: str, message: PromptCrash) -> None:
        """Apply what a host learned from the end of a replica."""
        now = time.monotonic()
        self.relay(message)
        self.quarantine.suspect(message.parts, message.incarnation, now)
        if message.rejected:
            rejected = frozenset(message.rejected)
            self.quarantine.reject_culprits(rejected, now + message.rejection_s)
            log_event(
                logger,
                "prompt_rejected",
                level=logging.WARNING,
                parts=",".join(message.rejected),
                rejection_s=message.rejection_s,
                source=peer,
            )
            self.on_rejection()
        self.gate.changed.set()

    def handle_cleared(self, peer: str, message: PromptCleared) -> None:
        """Clear parts with which a request began on another host."""
        self.relay(message)
        cleared = self.quarantine.clear(message.parts)
        if cleared or peer == self.fleet.id:
            log_event(
                logger, "prompt_cleared", parts=",".join(message.parts), source=peer
            )
        self.gate.changed.set()

    def handle_probe_request(self, peer: str, message: ProbeRequest) -> ProbeReply:
        """Grant or refuse a permit to another host."""
        return ProbeReply(
            self.gate.acquire(message.request_id, message.parts, message.wait_s)
        )

    def handle_probe_ended(self, peer: str, message: ProbeEnded) -> None:
        """End the permits of another host's request."""
        self.gate.release(message.request_id)


def has_ended(address: str) -> bool:
    """Tell if nothing listens at a replica's address any more."""
    ip, _, port = address.rpartition(":")
    try:
        sock = gevent.socket.create_connection((ip, int(port)), CONNECT_TIMEOUT_S)
    except ConnectionRefusedError:
        return True
    except OSError:
        # A replica that does not respond may be cut off rather than ended.
        return False
    sock.close()
    return False
