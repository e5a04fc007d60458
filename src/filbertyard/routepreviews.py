"""Operator request that shows where a call would go now, without sending it."""

from __future__ import annotations

import time
import typing as t

from .attempts import RoutePreview
from .calls import Call
from .exceptions import RequestError
from .operators import OperatorRequest
from .operators import OperatorResponse
from .operators import operator_route
from .teamsettings import ResolvedTarget

if t.TYPE_CHECKING:
    from .host import EntryHost

# A call that is never sent needs a deadline only for its record.
PREVIEW_DEADLINE_S = 60.0

# Among replicas of equal cost, the request id decides.
PREVIEW_REQUEST_ID = "preview"


@operator_route("GET", "/operator/route")
def preview_route(host: EntryHost, request: OperatorRequest) -> OperatorResponse:
    """Return the candidates for a call, what each would cost and the choice."""
    query = request.query
    name = query.get("target", "")
    if not name:
        raise RequestError("target", "nothing", "TEAM/ADAPTER or TEAM/SERVICE")
    method, path = query.get("method", "POST"), query.get("path", "")
    rank = query.get("rank", "")
    snapshot = host.snapshot()
    if path:
        team, slash, service = name.partition("/")
        if not slash:
            raise RequestError("target", repr(name), "TEAM/SERVICE")
        target = snapshot.resolve_service(team, service, method, path, rank)
    else:
        target = snapshot.resolve_model(name, rank)
    request_id = query.get("request", PREVIEW_REQUEST_ID)
    call = create_preview_call(target, snapshot.revision, method, path, request_id)
    preview = host.attempts.preview(call)
    value = {
        "host": host.name,
        "zone": host.settings.availability_zone,
        "accepts_calls": host.accepts_calls,
        "revision": call.revision,
        "upstream": call.upstream,
        "adapter": str(call.adapter or ""),
        "rank": call.rank.name,
        "target_s": call.rank.target_s,
        **describe_preview(preview),
    }
    return OperatorResponse(value)


def create_preview_call(
    target: ResolvedTarget, revision: int, method: str, path: str, request_id: str
) -> Call:
    """Return a call that is resolved but never sent."""
    return Call(
        request_id=request_id,
        kind="completion" if target.adapter is not None else "service",
        team=target.team,
        upstream=target.upstream,
        rank=target.rank,
        idempotent=target.idempotent,
        revision=revision,
        deadline=time.monotonic() + PREVIEW_DEADLINE_S,
        method=method,
        path=path,
        body=b"",
        adapter=target.adapter,
    )


def describe_preview(preview: RoutePreview) -> dict[str, t.Any]:
    """Return the choice and its candidates, the cheapest first, as JSON values."""
    estimates = sorted(preview.estimates, key=lambda item: item.cost_s)
    refusal = preview.refusal
    return {
        "chosen": preview.chosen.name if preview.chosen is not None else "",
        "refusal": refusal.cause if refusal is not None else "",
        "detail": refusal.detail if refusal is not None else "",
        "candidates": [
            {
                "replica": item.view.name,
                "zone": item.view.zone,
                "owner": item.view.owner,
                "resident": item.is_resident,
                "wait_s": item.wait_s,
                "crossing_s": item.crossing_s,
                "cost_s": item.cost_s,
            }
            for item in estimates
        ],
        "excluded": preview.excluded,
    }
