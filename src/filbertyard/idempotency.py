"""Records of calls with an `Idempotency-Key`: each key runs at most once."""

from __future__ import annotations

import base64
import hashlib
import json
import logging
import math
import time
import uuid
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import closing
from dataclasses import dataclass
from dataclasses import field
from functools import lru_cache
from typing import Any
from typing import Literal
from typing import Protocol

import gevent
from gevent.event import AsyncResult
from gevent.event import Event
from result import Ok
from result import Result

from .calls import Call
from .exceptions import DocumentError
from .exceptions import KeyValueError
from .exceptions import PeerError
from .jsonvalues import parse_json
from .keyvalue import Compare
from .keyvalue import KeyValue
from .keyvalue import Put
from .logs import log_event
from .messages import Chunk
from .messages import End
from .messages import Failed
from .messages import Message
from .messages import NotRun
from .messages import Reply
from .messages import Started
from .messages import message
from .routing import rendezvous_weight

logger = logging.getLogger(__name__)

ONCE_PREFIX = "/filbertyard/once/"

MAX_RESPONSE_BYTES = 16 * 1024

# There is one recorder for this many hosts, within these bounds.
HOSTS_PER_RECORDER = 50
MIN_RECORDERS = 2
MAX_RECORDERS = 8

# A batch is written when it is full or this long after its first urgent record. Records
# that no caller waits for are written with the next urgent one, or after
# NON_URGENT_LINGER_S.
LINGER_S = 0.02
NON_URGENT_LINGER_S = 0.5

# etcd accepts 128 operations and 1.5 MB in one transaction by default.
MAX_BATCH_RECORDS = 128
MAX_BATCH_BYTES = 512 * 1024

MAX_PENDING = 5000

# The second attempt at a batch finds out if the first took effect.
MAX_BATCH_ATTEMPTS = 2

# After a failed batch the recorder rejects records for this time.
REJECT_AFTER_FAILURE_S = 0.5

RECORD_TIMEOUT_S = 3.0

# A record lives at least 24 h: leases are granted each hour and last 25 h.
LEASE_GRANT_INTERVAL_S = 3600
LEASE_TTL_S = 25 * 3600

MAX_CLAIM_ROUNDS = 5

# Records whose write failed are retried later within these bounds.
MAX_BACKLOG = 2000
MAX_BACKLOG_AGE_S = 3600.0
BACKLOG_INTERVAL_S = 1.0

RETRY_AFTER_S = 2.0

State = Literal["started", "done", "not_run"]


@message("record")
@dataclass(slots=True)
class Record(Message):
    """Ask a recorder to write a value if the key is at `revision`, 0 for absent.

    No caller waits for a record that is not urgent.
    """

    key: str
    value: bytes
    revision: int = 0
    urgent: bool = True


@message("recorded")
@dataclass(slots=True)
class Recorded(Message):
    """Answer a record: `unavailable` may have been written, `rejected` was not.

    With `conflict`, `revision` and `value` are those found.
    """

    outcome: str
    revision: int = 0
    value: bytes = b""


@dataclass(slots=True)
class IdempotencyRecord:
    """The value of one key; `attempt` names the attempt that wrote it."""

    state: State
    attempt: str
    request: str
    response: dict[str, Any] | None = None

    def encode(self) -> bytes:
        """Return the value that is stored in the key-value service."""
        value = {
            "state": self.state,
            "attempt": self.attempt,
            "request": self.request,
            "response": self.response,
        }
        return json.dumps(value).encode()


def decode_record(value: bytes) -> IdempotencyRecord | None:
    """Return a record, or None if the value is malformed."""
    try:
        data = parse_json(value, "record of a call")
        if data["state"] not in ("started", "done", "not_run"):
            return None
        return IdempotencyRecord(
            data["state"], str(data["attempt"]), data["request"], data["response"]
        )
    except (DocumentError, ValueError, TypeError, KeyError):
        return None


@dataclass(slots=True)
class PendingRecord:
    """One record that waits for its batch."""

    record: Record
    result: AsyncResult[Recorded] = field(default_factory=AsyncResult)


class Recorder:
    """Write records in batches; any host may do so, as keys have no owner."""

    def __init__(
        self,
        key_value: KeyValue,
        linger_s: float = LINGER_S,
        non_urgent_linger_s: float = NON_URGENT_LINGER_S,
    ) -> None:
        self.key_value = key_value
        self.linger_s = linger_s
        self.non_urgent_linger_s = non_urgent_linger_s
        self.pending: list[PendingRecord] = []
        self.urgent = Event()
        self.full = Event()
        self.task: gevent.Greenlet[..., None] | None = None
        self.rejecting_until = 0.0
        self.lease = 0
        self.lease_until = 0.0
        self.transactions = 0
        self.records = 0

    def write(self, record: Record) -> Recorded:
        """Write a record with the next batch and return its outcome."""
        if time.monotonic() < self.rejecting_until or len(self.pending) >= MAX_PENDING:
            return Recorded("rejected")
        item = PendingRecord(record)
        self.pending.append(item)
        if record.urgent:
            self.urgent.set()
        if len(self.pending) >= MAX_BATCH_RECORDS:
            self.full.set()
            self.urgent.set()
        if self.task is None or self.task.dead:
            self.task = gevent.spawn(self.run)
        return item.result.get() or Recorded("unavailable")

    def run(self) -> None:
        """Write batches until nothing is pending."""
        while self.pending:
            self.urgent.wait(self.non_urgent_linger_s)
            self.full.wait(self.linger_s)
            batch = self.take_batch()
            try:
                self.write_batch(batch)
            finally:
                for item in batch:
                    if not item.result.ready():
                        item.result.set(Recorded("unavailable"))

    def take_batch(self) -> list[PendingRecord]:
        """Remove and return the records of the next batch, one for each key."""
        batch: list[PendingRecord] = []
        later: list[PendingRecord] = []
        keys: set[str] = set()
        size = 0
        for item in self.pending:
            record = item.record
            size += len(record.value) + len(record.key)
            fits = len(batch) < MAX_BATCH_RECORDS and (
                size <= MAX_BATCH_BYTES or not batch
            )
            if fits and record.key not in keys:
                keys.add(record.key)
                batch.append(item)
            else:
                later.append(item)
        self.pending = later
        self.full.clear()
        self.urgent.clear()
        if any(item.record.urgent for item in later):
            self.urgent.set()
        return batch

    def write_batch(self, batch: list[PendingRecord]) -> None:
        """Write a batch in one transaction; retry without the records that conflict."""
        failures = 0
        while batch:
            try:
                lease = self.current_lease()
                self.transactions += 1
                result = self.key_value.txn(
                    [Compare(i.record.key, i.record.revision) for i in batch],
                    [Put(i.record.key, i.record.value, lease) for i in batch],
                )
            except KeyValueError as error:
                failures += 1
                # The service may have lost the lease together with other state.
                self.lease = 0
                if failures < MAX_BATCH_ATTEMPTS:
                    continue
                self.rejecting_until = time.monotonic() + REJECT_AFTER_FAILURE_S
                log_event(
                    logger, "records_not_written", records=len(batch), error=error
                )
                for item in batch:
                    item.result.set(Recorded("unavailable"))
                return
            if result.succeeded:
                for item in batch:
                    self.complete(item, Recorded("written", result.revision))
                return
            found = {item.key: item for item in result.items}
            again = []
            for item in batch:
                record = item.record
                present = found.get(record.key)
                revision = present.mod_revision if present is not None else 0
                value = present.value if present is not None else b""
                if value == record.value:
                    # An earlier write of this record took effect.
                    self.complete(item, Recorded("written", revision))
                elif revision != record.revision:
                    self.complete(item, Recorded("conflict", revision, value))
                else:
                    again.append(item)
            batch = again

    def complete(self, item: PendingRecord, recorded: Recorded) -> None:
        """Set the outcome of one record."""
        self.records += 1
        item.result.set(recorded)

    def current_lease(self) -> int:
        """Return the lease for records written now; one is granted each hour."""
        now = time.monotonic()
        if not self.lease or now >= self.lease_until:
            self.transactions += 1
            self.lease = self.key_value.lease_grant(LEASE_TTL_S)
            self.lease_until = now + LEASE_GRANT_INTERVAL_S
        return self.lease


class RecordPeers(Protocol):
    """The part of the peer network that writing records needs."""

    def call(
        self, host: str, body: Message, timeout_s: float
    ) -> Result[Message | None, PeerError]:
        """Send one request and return its reply."""


@dataclass(slots=True)
class Claim:
    """A key that this host may run, at the revision of its record."""

    key: str
    record: IdempotencyRecord
    revision: int


@dataclass(slots=True)
class BacklogEntry:
    """A record to be written later; `revision` 0 means that it is not known."""

    record: IdempotencyRecord
    until: float
    revision: int = 0


class CallDeduplicator:
    """Run each call with a key at most once."""

    def __init__(
        self,
        host: str,
        key_value: KeyValue,
        hosts: Callable[[], list[str]],
        peers: RecordPeers,
        run_call: Callable[[Call], Iterator[Reply]],
    ) -> None:
        self.host = host
        self.key_value = key_value
        self.hosts = hosts
        self.peers = peers
        self.run_call = run_call
        self.recorder = Recorder(key_value)
        self.backlog: dict[str, BacklogEntry] = {}
        self.backlog_task: gevent.Greenlet[..., None] | None = None

    def handle_record(self, host: str, record: Record) -> Message:
        """Write a record for another host."""
        return self.recorder.write(record)

    def run(self, call: Call, key: str) -> Iterator[Reply]:
        """Run a call whose key was not used before, else answer from its record.

        A key makes a completion non-idempotent: it is not retried after it may
        have run.
        """
        if not key or (call.idempotent and call.kind == "service"):
            yield from self.run_call(call)
            return
        call.idempotent = False
        claimed = self.claim(call, record_key(call.team, key))
        if isinstance(claimed, Claim):
            yield from self.run_claimed(call, claimed)
            return
        yield from claimed

    def run_claimed(self, call: Call, claim: Claim) -> Iterator[Reply]:
        """Run a call under its claim and record its outcome.

        The caller does not wait for the record of the outcome. While that record is
        not written, a repeat finds `started` and is told that the outcome is unknown.
        """
        started: Started | None = None
        parts: list[bytes] = []
        size = 0
        with closing(self.run_call(call)) as replies:  # type: ignore[type-var]
            for reply in replies:
                match reply:
                    case Started():
                        started = reply
                    case Chunk():
                        size += len(reply.data)
                        if size <= MAX_RESPONSE_BYTES:
                            parts.append(reply.data)
                    case NotRun():
                        self.finish(claim, "not_run", None)
                    case End() if started is not None:
                        body = b"".join(parts) if size <= MAX_RESPONSE_BYTES else None
                        self.finish(claim, "done", encode_response(started, body))
                yield reply

    def claim(self, call: Call, key: str) -> Claim | list[Reply]:
        """Create the record of a key, or return the replies that it calls for."""
        attempt = f"{self.host}/{uuid.uuid4().hex}"
        own = IdempotencyRecord("started", attempt, request_digest(call))
        value = own.encode()
        revision = 0
        settled = False
        outcome = ""
        try:
            for _ in range(MAX_CLAIM_ROUNDS):
                outcome = ""
                recorded = self.record(Record(key, value, revision))
                outcome = recorded.outcome
                if outcome == "written":
                    settled = True
                    return Claim(key, own, recorded.revision)
                if outcome != "conflict":
                    break
                found = decode_record(recorded.value)
                if found is None and not recorded.value:
                    revision = 0
                    continue
                if found is not None and found.attempt == attempt:
                    settled = True
                    return Claim(key, own, recorded.revision)
                if found is None or found.state != "not_run":
                    return replies_for_record(call, own, found)
                if found.request != own.request:
                    return replies_for_record(call, own, found)
                revision = recorded.revision
        finally:
            # An earlier round, or a write without a response, may have left a claim.
            if not settled and outcome in ("", "unavailable"):
                self.abandon(key, own)
        return [
            NotRun(
                call.request_id,
                0,
                "records_unavailable",
                "the key could not be recorded, so the call was not sent",
                RETRY_AFTER_S,
                "record key",
                self.host,
            )
        ]

    def record(self, record: Record) -> Recorded:
        """Write a record through its recorder, or directly if it is unreachable."""
        recorder = choose_recorder(record.key, self.hosts())
        if not recorder or recorder == self.host:
            return self.recorder.write(record)
        match self.peers.call(recorder, record, RECORD_TIMEOUT_S):
            case Ok(Recorded() as recorded):
                return recorded
            case _:
                log_event(logger, "recorder_unreachable", peer=recorder)
        recorded = self.recorder.write(record)
        if recorded.outcome == "rejected":
            # The recorder may have written the record without answering.
            return Recorded("unavailable")
        return recorded

    def finish(
        self, claim: Claim, state: State, response: dict[str, Any] | None
    ) -> None:
        """Record the outcome of a claimed call in the background."""
        record = IdempotencyRecord(
            state, claim.record.attempt, claim.record.request, response
        )
        gevent.spawn(self.write_outcome, claim, record)

    def write_outcome(self, claim: Claim, record: IdempotencyRecord) -> None:
        """Write the outcome of a claimed call; try again later if that fails."""
        urgent = record.state == "not_run"
        recorded = self.record(
            Record(claim.key, record.encode(), claim.revision, urgent)
        )
        if recorded.outcome in ("unavailable", "rejected"):
            self.postpone(claim.key, record, claim.revision)

    def abandon(self, key: str, own: IdempotencyRecord) -> None:
        """Mark a claim that may have been written as not run."""
        self.postpone(key, IdempotencyRecord("not_run", own.attempt, own.request))

    def postpone(self, key: str, record: IdempotencyRecord, revision: int = 0) -> None:
        """Write a record later; drop the oldest when there are too many."""
        if len(self.backlog) >= MAX_BACKLOG:
            self.backlog.pop(next(iter(self.backlog)))
        until = time.monotonic() + MAX_BACKLOG_AGE_S
        self.backlog[key] = BacklogEntry(record, until, revision)
        if self.backlog_task is None or self.backlog_task.dead:
            self.backlog_task = gevent.spawn(self.run_backlog)

    def run_backlog(self) -> None:
        """Write postponed records until none is left."""
        while self.backlog:
            gevent.sleep(BACKLOG_INTERVAL_S)
            self.write_backlog()

    def write_backlog(self) -> None:
        """Try each postponed record once, until the service fails."""
        for key, item in list(self.backlog.items()):
            if time.monotonic() < item.until:
                try:
                    written = self.write_postponed(key, item)
                except KeyValueError:
                    return
                if not written:
                    continue
            if self.backlog.get(key) is item:
                del self.backlog[key]

    def write_postponed(self, key: str, item: BacklogEntry) -> bool:
        """Write one postponed record over this attempt's own claim.

        A recorder may still be writing an abandoned claim. That write can replace an
        absent record or one of a call that was not run, so that either is overwritten.
        Return False if another host wrote the key meanwhile, to judge it anew.
        """
        items = self.key_value.range(key).items
        found = decode_record(items[0].value) if items else None
        revision = items[0].mod_revision if items else 0
        attempt = item.record.attempt
        if found is None:
            replaces = not items and item.record.state == "not_run"
        elif found.attempt == attempt:
            replaces = found.state == "started"
        else:
            replaces = found.state == "not_run" and item.record.state == "not_run"
        if not replaces:
            log_event(
                logger,
                "postponed_record_dropped",
                key=key,
                state=item.record.state,
                found=found.state if found is not None else None,
                is_own=found is not None and found.attempt == attempt,
                revision=revision,
            )
            return True
        record = item.record
        if found is not None and found.attempt != attempt:
            record = IdempotencyRecord("not_run", attempt, found.request)
        lease = self.recorder.current_lease()
        put = Put(key, record.encode(), lease)
        return self.key_value.txn([Compare(key, revision)], [put]).succeeded


def record_key(team: str, key: str) -> str:
    """Return the key in the key-value service for a caller's key."""
    digest = hashlib.sha256(key.encode()).hexdigest()[:40]
    return f"{ONCE_PREFIX}{team}/{digest}"


def request_digest(call: Call) -> str:
    """Return what a repeat must have in common with the first call."""
    digest = hashlib.sha256(f"{call.method} {call.path}\0".encode())
    digest.update(call.body)
    return digest.hexdigest()


def choose_recorder(key: str, hosts: list[str]) -> str:
    """Return the host that records a key, empty without hosts."""
    recorders = select_recorders(tuple(hosts))
    return max(recorders, key=lambda host: rendezvous_weight(key, host), default="")


@lru_cache(maxsize=16)
def select_recorders(hosts: tuple[str, ...]) -> tuple[str, ...]:
    """Return the recorders; most changes of the hosts leave them the same."""
    count = math.ceil(len(hosts) / HOSTS_PER_RECORDER)
    count = max(MIN_RECORDERS, min(MAX_RECORDERS, count))
    ranked = sorted(hosts, key=lambda host: rendezvous_weight("recorder", host))
    return tuple(ranked[-count:])


def encode_response(started: Started, body: bytes | None) -> dict[str, Any]:
    """Return the recorded form of a response; `body` None was too large to keep."""
    return {
        "status": started.status,
        "headers": started.headers,
        "served_by": started.served_by,
        "replica": started.replica,
        "framed": started.is_framed,
        "body": None if body is None else base64.b64encode(body).decode(),
    }


def replies_for_record(
    call: Call, own: IdempotencyRecord, found: IdempotencyRecord | None
) -> list[Reply]:
    """Return the replies to a call whose key has a record."""
    request_id = call.request_id
    if found is not None and found.request != own.request:
        detail = "the key was used for another request"
        return [
            NotRun(request_id, 0, "key_reused", detail, step="record key", status=422)
        ]
    response = found.response if found is not None else None
    if found is None or found.state == "started":
        cause, detail = "in_progress", "an earlier call with this key has no outcome"
    elif response is None or response["body"] is None:
        cause, detail = "response_not_kept", "the call ran; its response was not kept"
    else:
        body = base64.b64decode(response["body"])
        headers = [*response["headers"], ["Idempotency-Replayed", "true"]]
        served_by, replica = response["served_by"], response["replica"]
        return [
            Started(
                request_id,
                0,
                response["status"],
                headers,
                served_by,
                replica,
                response.get("framed", True),
            ),
            Chunk(request_id, 0, 0, body),
            End(request_id, 0, 1),
        ]
    return [Failed(request_id, 0, True, cause, detail, "record key", status=409)]


def create_call_deduplicator(
    host: str,
    key_value: KeyValue,
    hosts: Callable[[], list[str]],
    peers: RecordPeers,
    run_call: Callable[[Call], Iterator[Reply]],
) -> CallDeduplicator:
    """Return the deduplicator of one host's calls."""
    return CallDeduplicator(host, key_value, hosts, peers, run_call)
