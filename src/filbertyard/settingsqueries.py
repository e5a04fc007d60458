"""Operator requests that read the settings."""

from __future__ import annotations

import time
import typing as t
from dataclasses import asdict

import gevent
from gevent.pool import Pool

from .exceptions import RequestError
from .operators import OperatorRequest
from .operators import OperatorResponse
from .operators import operator_route
from .settingsstore import SettingsAnnounce
from .settingstree import effective_values
from .settingstree import read_path

if t.TYPE_CHECKING:
    from .host import EntryHost

MAX_WAIT_S = 300.0
POLL_INTERVAL_S = 0.1

MAX_HISTORY = 100

# Hosts that are queried concurrently.
STATUS_CONCURRENCY = 32


@operator_route("GET", "/operator/settings")
def read_settings(host: EntryHost, request: OperatorRequest) -> OperatorResponse:
    """Return the value at a path, or the values in force with their source."""
    snapshot = host.snapshot()
    path = request.query.get("path", "")
    if request.query.get("effective"):
        values = [asdict(value) for value in effective_values(snapshot, path)]
        found: t.Any = values or None
    else:
        found = read_path(snapshot, path)
    if found is None:
        error = f"{path} has no value at revision {snapshot.revision}"
        return OperatorResponse({"error": error, "revision": snapshot.revision}, 404)
    return OperatorResponse(
        {"revision": snapshot.revision, "path": path, "value": found}
    )


@operator_route("GET", "/operator/settings/history")
def read_history(host: EntryHost, request: OperatorRequest) -> OperatorResponse:
    """Return accepted changes, newest first."""
    store = host.settings_store
    before = parse_number(request, "before", store.snapshot.revision + 1)
    limit = min(MAX_HISTORY, int(parse_number(request, "limit", 20)))
    changes = [asdict(change) for change in store.history(int(before), limit)]
    return OperatorResponse({"revision": store.snapshot.revision, "changes": changes})


@operator_route("GET", "/operator/settings/changes")
def follow_changes(host: EntryHost, request: OperatorRequest) -> OperatorResponse:
    """Return the changes after a revision; wait up to `seconds` for the first one."""
    store = host.settings_store
    after = int(parse_number(request, "after", store.snapshot.revision))
    end = time.monotonic() + min(MAX_WAIT_S, parse_number(request, "seconds", 0.0))
    while store.snapshot.revision <= after and time.monotonic() < end:
        gevent.sleep(POLL_INTERVAL_S)
    newest = store.snapshot.revision
    limit = max(0, min(MAX_HISTORY, newest - after))
    changes = [asdict(change) for change in store.history(newest + 1, limit)]
    return OperatorResponse({"revision": newest, "changes": changes[::-1]})


@operator_route("GET", "/operator/settings/status")
def read_status(host: EntryHost, request: OperatorRequest) -> OperatorResponse:
    """Return the revision in force on each live host."""
    return OperatorResponse(collect_status(host))


@operator_route("GET", "/operator/settings/wait")
def wait_in_force(host: EntryHost, request: OperatorRequest) -> OperatorResponse:
    """Wait until each live host has a revision in force, and list those without."""
    revision = int(parse_number(request, "revision", host.snapshot().revision))
    end = time.monotonic() + min(MAX_WAIT_S, parse_number(request, "seconds", 0.0))
    while True:
        status = collect_status(host)
        missing = [
            row["host"] for row in status["hosts"] if (row["revision"] or 0) < revision
        ]
        if not missing or time.monotonic() >= end:
            break
        gevent.sleep(POLL_INTERVAL_S)
    return OperatorResponse(
        {"revision": revision, "missing": missing, "hosts": len(status["hosts"])}
    )


def collect_status(host: EntryHost) -> dict[str, t.Any]:
    """Query all live hosts for their revision in force."""
    store = host.settings_store
    zones = {m.name: m.availability_zone for m in host.membership.live_members()}
    zones[host.name] = host.membership.local_member.availability_zone

    def query_host(name: str) -> dict[str, t.Any]:
        if name == host.name:
            return status_row(name, zones[name], store.create_announcement())
        return status_row(name, zones[name], store.sync_with(name))

    rows = list(Pool(STATUS_CONCURRENCY).imap(query_host, sorted(zones)))
    return {
        "revision": store.snapshot.revision,
        "problems": store.problems,
        "hosts": rows,
    }


def status_row(
    name: str, zone: str, announced: SettingsAnnounce | None
) -> dict[str, t.Any]:
    """Return the row of one host; a host that does not answer has no revision."""
    return {
        "host": name,
        "zone": zone,
        "revision": announced.revision if announced is not None else None,
        "in_force_at": announced.in_force_at if announced is not None else None,
        "confirmed_age_s": announced.confirmed_age_s if announced is not None else None,
        "complete": announced.complete if announced is not None else None,
        "problems": announced.problems if announced is not None else ["no answer"],
    }


def parse_number(request: OperatorRequest, name: str, default: float) -> float:
    """Return a numeric parameter of the URL; raise RequestError."""
    text = request.query.get(name, "")
    try:
        return float(text) if text else default
    except ValueError as error:
        raise RequestError(name, repr(text), "a number") from error
