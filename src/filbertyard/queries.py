"""Operator requests that read the state of all live hosts."""

from __future__ import annotations

import json
import time
import typing as t
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

import gevent
from gevent.lock import BoundedSemaphore
from result import Ok

from .exceptions import RequestError
from .exceptions import UnknownNameError
from .messages import Message
from .messages import Problem
from .messages import message
from .metrics import Histogram
from .metrics import Metrics
from .operators import OperatorRequest
from .operators import OperatorResponse
from .operators import operator_route
from .peers import control_message
from .routing import ReplicaView

if t.TYPE_CHECKING:
    from .host import EntryHost

# A host that does not answer in this time is listed as silent.
GATHER_TIMEOUT_S = 2.0

# Hosts that are queried concurrently.
GATHER_CONCURRENCY = 64

MAX_EVENTS = 500

# Below the maximum size of a frame between hosts.
MAX_ANSWER_BYTES = 900 * 1024

FIRST_TOKEN_METRIC = "filbertyard_first_token_seconds"


@control_message
@message("query")
@dataclass(slots=True)
class Query(Message):
    """Request another host's part of the answer to an operator."""

    name: str
    request_id: str = ""
    since: float = 0.0
    adapter: str = ""
    upstream: str = ""


@control_message
@message("answer")
@dataclass(slots=True)
class Answer(Message):
    """Carry a host's part of the answer to an operator as JSON."""

    body: bytes


@dataclass(slots=True)
class GatheredAnswers:
    """Answers by host, and the hosts that gave none in time."""

    answers: dict[str, t.Any] = field(default_factory=dict)
    silent: list[str] = field(default_factory=list)


LocalQuery = Callable[["EntryHost", Query], t.Any]

LOCAL_QUERIES: dict[str, LocalQuery] = {}


def fleet_query(name: str) -> Callable[[LocalQuery], LocalQuery]:
    """Register the function that answers a query on each host."""

    def register(function: LocalQuery) -> LocalQuery:
        LOCAL_QUERIES[name] = function
        return function

    return register


def answer_query(host: EntryHost, peer: str, query: Query) -> Message:
    """Answer another host's query."""
    part = LOCAL_QUERIES.get(query.name)
    if part is None:
        return Problem(f"unknown query {query.name!r}", "query")
    body = json.dumps(part(host, query)).encode()
    if len(body) > MAX_ANSWER_BYTES:
        return Problem(f"answer of {len(body)} bytes is too large", "query")
    return Answer(body)


def gather(
    host: EntryHost, query: Query, timeout_s: float = GATHER_TIMEOUT_S
) -> GatheredAnswers:
    """Query all live hosts, and list those that do not answer within the timeout."""
    gathered = GatheredAnswers({host.name: LOCAL_QUERIES[query.name](host, query)})
    slots = BoundedSemaphore(GATHER_CONCURRENCY)

    def query_host(peer: str) -> None:
        with slots:
            result = host.peers.call(peer, query, timeout_s)
        match result:
            case Ok(Answer(body=body)):
                gathered.answers[peer] = json.loads(body)
            case _:
                pass

    peers = [m.name for m in host.membership.other_members()]
    tasks = [gevent.spawn(query_host, peer) for peer in peers]
    gevent.joinall(tasks, timeout=timeout_s)
    gevent.killall(tasks, block=False)
    gathered.silent = sorted(set(peers) - set(gathered.answers))
    return gathered


@fleet_query("timeline")
def read_timeline(host: EntryHost, query: Query) -> t.Any:
    """Return this host's steps of one request."""
    return host.events.timeline(query.request_id)


@fleet_query("events")
def read_events(host: EntryHost, query: Query) -> t.Any:
    """Return the newest matching events of this host."""
    selected = host.events.select(query.since, query.adapter, query.upstream)
    return [
        event.value() for event, _ in zip(selected, range(MAX_EVENTS), strict=False)
    ]


@fleet_query("status")
def read_status(host: EntryHost, query: Query) -> t.Any:
    """Return the state of this host and its replicas, and its current problems."""
    budget = host.budget
    return {
        "zone": host.settings.availability_zone,
        "instance": host.instance,
        "state": host.membership.local_member.state,
        "up_s": time.time() - host.started_at,
        "revision": host.snapshot().revision,
        "open_streams": host.open_calls,
        "lease_valid": host.lease.is_valid(),
        "replicas": [
            {
                "replica": name,
                "upstream": replica.upstream,
                "accepting": replica.is_accepting(),
                "leaving": replica.leaving,
                "running": replica.running,
                "max_batch": replica.state.max_batch if replica.state else 0,
                "queued": len(replica.queue),
                "resident": len(replica.residency.resident),
                "slots": replica.residency.slots,
            }
            for name, replica in host.replicas.items()
        ],
        "budget": None
        if budget is None
        else {
            "rate_per_s": budget.rate_per_s,
            "in_flight": len(budget.outstanding),
            "max_in_flight": budget.max_in_flight,
        },
        "wrong": [
            {"what": item.name, "since": item.since, "cause": item.cause}
            for item in host.events.conditions.values()
        ]
        + [
            {"what": f"settings {subject}", "since": None, "cause": detail}
            for subject, detail in host.settings_store.problems.items()
        ],
        "metrics": host.observer.metrics.encode(),
    }


@operator_route("GET", "/operator/host")
def read_host(host: EntryHost, request: OperatorRequest) -> OperatorResponse:
    """Return the state of this host."""
    return OperatorResponse(
        {
            "host": host.name,
            "instance": host.instance,
            "revision": host.snapshot().revision,
            "replicas": sorted(host.replicas),
        }
    )


@operator_route("GET", "/operator/explain")
def explain(host: EntryHost, request: OperatorRequest) -> OperatorResponse:
    """Return the timeline of one request on all hosts that took part."""
    request_id = request.query.get("request", "")
    if not request_id:
        raise RequestError("request", "nothing", "a request id")
    gathered = gather(host, Query("timeline", request_id))
    steps = [
        {"host": name, **step}
        for name, answer in gathered.answers.items()
        for step in answer
    ]
    if not steps and not gathered.silent:
        expected = "no live host holds its timeline (never received, or too old)"
        raise UnknownNameError("request", request_id, expected)
    steps.sort(key=lambda step: step["at"])
    value = {"request": request_id, "steps": steps, "silent": gathered.silent}
    return OperatorResponse(value)


@operator_route("GET", "/operator/events")
def list_events(host: EntryHost, request: OperatorRequest) -> OperatorResponse:
    """Return the newest matching events of all hosts, oldest first."""
    parameters = request.query
    try:
        since_s = float(parameters.get("since_s", "0"))
    except ValueError as error:
        raise RequestError("since_s", "no number", "seconds") from error
    host_filter = parameters.get("host", "")
    query = Query(
        "events",
        since=time.time() - since_s if since_s > 0 else 0.0,
        adapter=parameters.get("adapter", ""),
        upstream=parameters.get("upstream", ""),
    )
    gathered = gather(host, query)
    events = [
        {"host": name, **event}
        for name, answer in gathered.answers.items()
        for event in answer
        if host_filter in ("", name, event["peer"])
    ]
    events.sort(key=lambda event: event["at"])
    value = {"events": events[-MAX_EVENTS:], "silent": gathered.silent}
    return OperatorResponse(value)


@operator_route("GET", "/operator/status")
def show_status(host: EntryHost, request: OperatorRequest) -> OperatorResponse:
    """Return hosts, upstreams, results by rank, store budget and current problems."""
    gathered = gather(host, Query("status"))
    merged = Metrics()
    hosts = []
    wrong = []
    budget = None
    for name, answer in sorted(gathered.answers.items()):
        merged.merge(answer.pop("metrics"))
        wrong += [{"host": name, **item} for item in answer.pop("wrong")]
        if answer["budget"] is not None:
            budget = {"host": name, **answer["budget"]}
        del answer["budget"]
        hosts.append({"host": name, **answer})
    newest = max(item["revision"] for item in hosts)
    wrong += [
        {"host": name, "what": "host", "since": None, "cause": "no answer in time"}
        for name in gathered.silent
    ]
    wrong += [
        {
            "host": item["host"],
            "what": "settings",
            "since": None,
            "cause": f"revision {item['revision']} in force, newest is {newest}",
        }
        for item in hosts
        if item["revision"] < newest
    ]
    wrong += [
        {"host": host.name, "what": name, "since": None, "cause": "declared dead"}
        for name, member in host.membership.members.items()
        if host.membership.is_dead(name) and member.state != "left"
    ]
    upstreams = list_upstreams(host, hosts)
    wrong += [
        {"host": host.name, "what": row["replica"], "since": None, "cause": "no owner"}
        for row in upstreams
        if not row["owner"]
    ]
    value = {
        "asked": host.name,
        "revision": newest,
        "hosts": [{**item, "replicas": len(item["replicas"])} for item in hosts],
        "upstreams": upstreams,
        "ranks": summarize_ranks(host, merged),
        "budget": budget,
        "wrong": wrong,
        "silent": gathered.silent,
    }
    return OperatorResponse(value)


def list_upstreams(
    host: EntryHost, hosts: list[dict[str, t.Any]]
) -> list[dict[str, t.Any]]:
    """Return all known replicas with their owner and the state that it reports."""
    reports = {
        report["replica"]: {**report, "owner": item["host"]}
        for item in hosts
        for report in item["replicas"]
    }
    fleet = host.snapshot().fleet
    views: list[ReplicaView] = [
        view
        for upstream in (fleet.upstreams if fleet is not None else ())
        for view in host.views(upstream)
    ]
    rows = []
    for view in views:
        row = {"replica": view.name, "upstream": view.upstream, "owner": view.owner}
        rows.append({**row, "leaving": view.is_leaving, **reports.get(view.name, {})})
    return sorted(rows, key=lambda row: str(row["replica"]))


def summarize_ranks(host: EntryHost, metrics: Metrics) -> list[dict[str, t.Any]]:
    """Summarize latency, used share and outcomes by rank since the hosts started."""
    fleet = host.snapshot().fleet
    usage = metrics.rank_usage()
    used = sum(usage.values())
    rows = []
    for name, rank in fleet.ranks.items() if fleet is not None else ():
        first = metrics.histograms.get(
            (FIRST_TOKEN_METRIC, (("rank", name),)), Histogram()
        )
        in_target = metrics.counter(
            "filbertyard_first_tokens_in_target_total", rank=name
        )
        requests = {
            outcome: int(
                metrics.counter(
                    "filbertyard_requests_total", rank=name, outcome=outcome
                )
            )
            for outcome in ("answered", "not_run", "unknown", "cancelled")
        }
        rows.append(
            {
                "rank": name,
                "target_s": rank.target_s,
                "first_token_p50_s": first.percentile_s(50),
                "first_token_p95_s": first.percentile_s(95),
                "in_target": in_target / first.total if first.total else None,
                "share": rank.share,
                "share_used": usage.get(name, 0.0) / used if used else 0.0,
                **requests,
            }
        )
    return rows
