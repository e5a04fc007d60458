"""Messages between gateway hosts."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from ..messages import Message
from ..messages import message


@message("gateway_digest")
@dataclass(slots=True)
class Digest(Message):
    """Heartbeat of a host, with the revision of each feed that it knows.

    `callers` is its address for callers; `is_connected` tells that it watches the store
    and the store responds. `confirmed_age_s` is the time since the store confirmed the
    revision of the operator's feed.
    """

    host: str
    instance: str
    callers: str
    zone: str
    is_leaving: bool
    is_connected: bool
    revisions: dict[str, int]
    confirmed_age_s: float = math.inf


@message("gateway_roster")
@dataclass(slots=True)
class Roster(Message):
    """List the hosts that a hub knows, with the ages of their heartbeats.

    A row has the fields of a `Digest` except for the revisions and the age of their
    confirmation, which are the hub's.
    With `zone` the list has only the hosts of that availability zone.
    `rows` is empty while the list with this `number` is unchanged; `ages` has one byte
    per row, in tenths of a second, 255 for a silent host.
    """

    number: int
    rows: list[list[Any]]
    ages: bytes
    revisions: dict[str, int]
    zone: str = ""
    confirmed_age_s: float = math.inf


@message("gateway_fetch_feed")
@dataclass(slots=True)
class FetchFeed(Message):
    """Ask for the items of a feed that changed after a revision."""

    prefix: str
    after: int


@message("gateway_feed_part")
@dataclass(slots=True)
class FeedChanges(Message):
    """Reply to `FetchFeed`: items as in `feedrows`, removals [key, revision].

    `store_failure_age_s` is read by older hosts only. `kept_s` has the removed replicas
    that the sender still uses because their entries may have expired in an outage.
    `revision` is the sender's revision of the feed.
    """

    items: list[list[Any]]
    removed: list[list[Any]]
    store_failure_age_s: float = math.inf
    kept_s: dict[str, float] = field(default_factory=dict)
    revision: int = 0


@message("gateway_feed_push")
@dataclass(slots=True)
class FeedPush(Message):
    """Push changes of a feed to the hosts of a zone; fields as in `FeedChanges`.

    The changes follow the revision `since`; a host that is behind it missed some.
    The recipient passes a large change on to the hosts in `onward`.
    """

    prefix: str
    since: int
    items: list[list[Any]]
    removed: list[list[Any]]
    store_failure_age_s: float = math.inf
    onward: list[str] = field(default_factory=list)


@message("gateway_confirm_configuration")
@dataclass(slots=True)
class ConfirmConfiguration(Message):
    """Ask a host that the store answers for the newest configuration."""


@message("gateway_configuration_age")
@dataclass(slots=True)
class ConfigurationAge(Message):
    """Reply to `ConfirmConfiguration`: the revision of the configuration in force.

    It was the newest one `age_s` ago; None if the store does not answer the host.
    """

    revision: int
    age_s: float | None = None


@message("gateway_ask")
@dataclass(slots=True)
class AdmissionRequest(Message):
    """Ask the owner of a replica to admit a request; the reply may take a while.

    Times are in seconds from now: until the objective passes, until the caller gives up
    waiting for the first event, and until it gives up waiting for the response.
    `is_adapter_absent` tells that the replica has just answered that it does not hold
    the adapter. `workspace` names the caller's workspace, empty for none.
    """

    request_id: str
    replica: str
    model: str
    adapter: str
    rank: int
    objective_s: float
    start_timeout_s: float
    deadline_s: float
    prompt_tokens: int
    output_tokens: int
    is_adapter_absent: bool = False
    workspace: str = ""


@message("gateway_granted")
@dataclass(slots=True)
class AdmissionGranted(Message):
    """Allow a request to be sent now; `version` 0 leaves the choice to the replica.

    `was_absent` tells that the adapter had to be loaded first.
    """

    request_id: str
    version: int = 0
    waited_s: float = 0.0
    was_absent: bool = False


@message("gateway_turned_away")
@dataclass(slots=True)
class AdmissionRejected(Message):
    """Reject a request that cannot run on a replica in time."""

    request_id: str
    cause: str
    retry_after_s: float


@message("gateway_first_event")
@dataclass(slots=True)
class FirstEvent(Message):
    """Report that the engine sent the first event of an admitted request.

    `rate_limit` is what the response showed of the engine's rate limit, empty if
    nothing; see `Statement.row`. `slowdown` is what it showed of the engine's speed, 0
    if nothing.
    """

    replica: str
    request_id: str
    rate_limit: list[Any] = field(default_factory=list)
    slowdown: float = 0.0


@message("gateway_finished")
@dataclass(slots=True)
class Finished(Message):
    """Report the end of an admitted request, or that a waiting one is withdrawn.

    `outcome` is `done`, `not_run`, `absent`, `failed`, `unreachable`, `unknown` or
    `withdrawn`. `gap_ratio` is the longest gap between two events of the stream as a
    fraction of the maximum, 0 if not known. `rate_limit` is as in `FirstEvent`.
    """

    replica: str
    request_id: str
    outcome: str
    gap_ratio: float = 0.0
    rate_limit: list[Any] = field(default_factory=list)


@message("gateway_replica_load")
@dataclass(slots=True)
class ReplicaLoad(Message):
    """Publish the load of an owned replica; `resident` maps models to adapters.

    `load_wait_s` is the time until an absent adapter could be loaded, negative if the
    owner sends no orders now. `loading` has rows [model, adapter, remaining seconds].
    The load with the highest `fence`, then `number`, is the newest. `rate_limit` is
    what the owner knows of the rate limit, empty if nothing. `slowdown` is how many
    times as long as usual for this engine work takes, 0 if it does not report that, and
    `max_prompt_tokens` the longest prompt that delays no event too long while it is
    slow, 0 if not known.
    """

    replica: str
    fence: int
    number: int
    wait_s: float
    token_cost_s: float
    running: int
    load_wait_s: float
    failure_rate: float
    resident: dict[str, list[str]]
    loading: list[list[Any]] = field(default_factory=list)
    rate_limit: list[Any] = field(default_factory=list)
    slowdown: float = 0.0
    max_prompt_tokens: int = 0


@message("gateway_load_batch")
@dataclass(slots=True)
class LoadBatch(Message):
    """Pass on published loads, one per row; see `loads.pack`.

    `rate_limits` has the rate limits that the owners published with them, `speeds` the
    slowdown and the longest prompt of the engines that report a slowdown, by replica.
    """

    rows: list[list[Any]]
    rate_limits: list[list[Any]] = field(default_factory=list)
    speeds: dict[str, list[float]] = field(default_factory=dict)


@message("gateway_rate_limits")
@dataclass(slots=True)
class RateLimits(Message):
    """Publish the rate limits of plain replicas; see `Statement.row`.

    A hub sends the message on to its spokes.
    """

    rows: list[list[Any]]
    is_relayed: bool = False


@message("gateway_rate_limit_report")
@dataclass(slots=True)
class RateLimitReport(Message):
    """Report what a response showed of a plain replica's rate limit."""

    row: list[Any]


@message("gateway_permit_request")
@dataclass(slots=True)
class PermitRequest(Message):
    """Ask to send a request to one of several rate-limited replicas of a service.

    The reply may take `wait_s`; without that time it tells whether a permit is there
    now. `rate_limits` is what the asking host knows of these replicas. `workspace`
    names the caller's workspace, empty for none.
    """

    request_id: str
    service: str
    rank: int
    objective_s: float
    wait_s: float
    rate_limits: list[list[Any]]
    workspace: str = ""


@message("gateway_permit_reply")
@dataclass(slots=True)
class PermitReply(Message):
    """Name the replica that the request may be sent to, empty if there is none.

    `cause` tells why there is none, `waited_s` how long the request waited.
    """

    replica: str
    waited_s: float = 0.0
    cause: str = ""
    retry_after_s: float = 0.0


@message("gateway_permit_withdrawn")
@dataclass(slots=True)
class PermitWithdrawn(Message):
    """Report that nobody waits for a permit any more."""

    request_id: str


@message("gateway_quota_request")
@dataclass(slots=True)
class QuotaRequest(Message):
    """Ask the counting host of a workspace for requests; the reply comes at once.

    A row has the fields of a `QuotaAmount`. `version`, `per_s` and `burst` are the
    quota as the asking host knows it. A relayed message is not sent on again.
    """

    workspace: str
    version: int
    per_s: float
    burst: float
    rows: list[list[Any]]
    is_relayed: bool = False


@message("gateway_quota_reply")
@dataclass(slots=True)
class QuotaReply(Message):
    """Decide on requests, in their order; a row has the fields of a `QuotaDecision`.

    `host` is the one that decided, empty if none may.
    """

    host: str
    rows: list[list[Any]]


@message("gateway_quota_return")
@dataclass(slots=True)
class QuotaReturn(Message):
    """Return what requests of a workspace were allowed to use and did not."""

    workspace: str
    amount: float


@message("gateway_prompt_crash")
@dataclass(slots=True)
class PromptCrash(Message):
    """Report that an incarnation of a replica ended before it answered a prompt.

    `parts` are the shared parts of the prompt. Prompts with all parts in `rejected`, if
    any, are rejected for `rejection_s`. A hub sends the message on to its spokes.
    """

    incarnation: str
    parts: list[str]
    rejected: list[str]
    rejection_s: float
    is_relayed: bool = False


@message("gateway_prompt_cleared")
@dataclass(slots=True)
class PromptCleared(Message):
    """Report that a replica began to answer a prompt with these suspected parts."""

    parts: list[str]
    is_relayed: bool = False


@message("gateway_probe_request")
@dataclass(slots=True)
class ProbeRequest(Message):
    """Ask to send a request with suspected parts; the reply may take `wait_s`."""

    request_id: str
    parts: list[str]
    wait_s: float


@message("gateway_probe_reply")
@dataclass(slots=True)
class ProbeReply(Message):
    """Tell whether the request may be sent."""

    is_granted: bool


@message("gateway_probe_ended")
@dataclass(slots=True)
class ProbeEnded(Message):
    """Report that a request with suspected parts began or ended."""

    request_id: str
