"""Where a request would go now and why, answered without sending it."""

from __future__ import annotations

import json
import math
import time
import typing as t
from collections.abc import Callable
from urllib.parse import parse_qsl

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from ..exceptions import RequestError
from ..exceptions import UnknownNameError
from .delivery import Delivery
from .directory import DirectoryApplication
from .directory import respond
from .entry import DEFAULT_MAX_BODY_BYTES
from .entry import EntryApplication
from .placement import choose_replica
from .placement import estimate_first_event_s
from .types import AdapterName
from .types import Configuration
from .types import GatewayRequest
from .types import Workspace

PREVIEW_PATH = "/route"

Row = dict[str, t.Any]


class PreviewQuery(BaseModel):
    """The request that a preview is about; its key is never part of it.

    `workspace` is the name of the caller's workspace, `adapter` is MODEL/ADAPTER.
    """

    model_config = ConfigDict(extra="forbid")

    host: str
    path: str = Field(pattern="^/")
    adapter: str = ""
    workspace: str = ""
    request: str = "preview"
    body_bytes: int = Field(0, ge=0, le=DEFAULT_MAX_BODY_BYTES)
    prompt_tokens: int = Field(0, ge=0)


class PreviewApplication:
    """WSGI application of the metrics address: previews beside its other queries."""

    def __init__(self, entry: EntryApplication, other: DirectoryApplication) -> None:
        self.entry = entry
        self.other = other

    def __call__(
        self, environ: dict[str, t.Any], start_response: Callable[..., t.Any]
    ) -> list[bytes]:
        """Answer one query."""
        if environ["PATH_INFO"] != PREVIEW_PATH:
            return self.other(environ, start_response)
        status = "200 OK"
        value: Row = {}
        try:
            query = parse_query(environ.get("QUERY_STRING", ""))
            value = preview_request(self.entry, query)
        except RequestError as error:
            status, value = "400 Bad Request", {"error": error.message}
        except UnknownNameError as error:
            status, value = "404 Not Found", {"error": error.message}
        body = json.dumps(value).encode()
        return respond(start_response, status, body, "application/json")


def parse_query(text: str) -> PreviewQuery:
    """Parse a query string; raise RequestError naming the parameter."""
    try:
        return PreviewQuery.model_validate(dict(parse_qsl(text)))
    except ValidationError as error:
        first = error.errors()[0]
        name = ".".join(str(part) for part in first["loc"])
        raise RequestError(name, repr(first["input"])[:80], first["msg"]) from error


def preview_request(entry: EntryApplication, query: PreviewQuery) -> Row:
    """Return the choice for a request and its candidates; raise UnknownNameError."""
    configuration = entry.state.configuration
    if configuration is None:
        raise UnknownNameError("configuration", "none", "this host has read none yet")
    delivery = create_preview_delivery(entry, configuration, query)
    known = configuration.services.get(delivery.service)
    is_engine = known is not None and known.engine is not None
    preview = preview_engine if is_engine else preview_plain
    chosen, candidates = preview(entry, delivery)
    listed = {row["replica"] for row in candidates}
    now = time.monotonic()
    return {
        "zone": entry.zone,
        "accepts_requests": entry.accepts_requests and entry.admits_requests,
        "configuration": configuration.version,
        "route": delivery.route.name,
        "service": delivery.service,
        "workspace": delivery.workspace_name(),
        "rank": delivery.rank,
        "objective_s": delivery.route.objective_s,
        "chosen": chosen,
        "candidates": candidates,
        "excluded": {
            replica.id: "leaving" if replica.is_leaving else "backing_off"
            for replica in entry.state.replicas.values()
            if replica.service == delivery.service
            and replica.id not in listed
            and (
                replica.is_leaving
                or entry.sender.health.is_backing_off(replica.id, now)
            )
        },
    }


def create_preview_delivery(
    entry: EntryApplication, configuration: Configuration, query: PreviewQuery
) -> Delivery:
    """Return a routed request that is never sent; raise UnknownNameError."""
    route = configuration.find_route(query.host, query.path.partition("?")[0])
    if route is None:
        place = f"{query.host}{query.path}"
        raise UnknownNameError("route", place, "the configuration has no such route")
    workspace = find_workspace(configuration, query.workspace)
    model, _, adapter = query.adapter.partition("/")
    now = time.monotonic()
    request = GatewayRequest(
        id=query.request,
        host=query.host,
        method="POST",
        target=query.path,
        headers=[],
        body=bytes(query.body_bytes),
        arrived=now,
        deadline=now + route.timeout_s,
        adapter=AdapterName(model, adapter) if model else None,
        prompt_tokens=query.prompt_tokens,
    )
    return Delivery(
        request,
        route,
        None,
        lambda status, headers: lambda data: None,
        configuration.version,
        entry.choose_service(route),
        workspace,
        configuration.has_workspaces,
    )


def find_workspace(configuration: Configuration, name: str) -> Workspace | None:
    """Return the workspace of this name, None for none; raise UnknownNameError."""
    if not name:
        return None
    for workspace in configuration.workspaces.values():
        if workspace.name == name:
            return workspace
    raise UnknownNameError("workspace", name, "the configuration has no such workspace")


def preview_engine(
    entry: EntryApplication, delivery: Delivery
) -> tuple[str, list[Row]]:
    """Return the engine for a request, and all candidates, the best first."""
    name = delivery.request.adapter or AdapterName("", "")
    found = entry.owners.candidates(
        delivery.service, name, delivery.request.prompt_tokens
    )
    crossing = entry.crossing(delivery, found)
    chosen = choose_replica(str(name), found, delivery.request.id, crossing)
    rows = []
    for item in sorted(found, key=estimate_first_event_s):
        replica = entry.state.replicas.get(item.replica)
        is_other_zone = crossing is not None and item.replica in crossing.others
        owner = entry.state.owners.get(item.replica)
        rows.append(
            {
                "replica": item.replica,
                "zone": replica.zone if replica is not None else "",
                "owner": owner.host if owner is not None else "",
                "resident": item.is_resident,
                "loading_left_s": finite(item.load_left_s),
                "load_wait_s": finite(item.load_wait_s),
                "wait_s": item.wait_s,
                "failure_rate": item.failure_rate,
                "load_age_s": item.age_s if item.is_owner_known else None,
                "first_event_s": finite(estimate_first_event_s(item)),
                "crossing_s": crossing.price_s if crossing and is_other_zone else 0.0,
            }
        )
    return chosen.replica if chosen is not None else "", rows


def preview_plain(entry: EntryApplication, delivery: Delivery) -> tuple[str, list[Row]]:
    """Return the plain replica for a request, and all candidates, the best first."""
    now = time.monotonic()
    ordered = entry.order_plain_replicas(delivery, delivery.service, set())
    rows = [
        {
            "replica": replica.id,
            "zone": replica.zone,
            "running": entry.sender.current_load(replica.id, now),
            "slots": replica.slots,
            "failure_rate": entry.sender.health.failure_rate(replica.id, now),
            "rate_limit_per_s": finite(entry.limiter.rate(replica)),
        }
        for replica in ordered
    ]
    # Replicas with a rate limit need a permit, which only a request may take. Those
    # before the chosen one get the request if they have a permit at once.
    unlimited = [item for item in ordered if not entry.limiter.is_limited(item)]
    first = unlimited or ordered
    return first[0].id if first else "", rows


def finite(value: float) -> float | None:
    """Return a number that JSON can hold, None for one that means never."""
    return None if math.isinf(value) or value < 0 else value
