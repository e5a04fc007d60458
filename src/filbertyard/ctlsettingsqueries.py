"""Subcommands of filbertyardctl that read settings."""

from __future__ import annotations

import json as jsonlib
import time
import typing as t
from collections.abc import Iterator
from pathlib import Path
from urllib.parse import quote

from result import Err
from result import Ok

from .ctlclient import EXIT_OK
from .ctlclient import EXIT_REJECTED
from .ctlclient import RejectedError
from .ctlclient import create_operator_client
from .ctlclient import fail
from .ctlclient import print_json
from .ctlclient import print_table
from .ctlqueries import query
from .exceptions import InvalidChangeError
from .settingsfiles import check_trees
from .settingsfiles import load_tree
from .settingsfiles import load_trees
from .settingstree import FLEET
from .settingstree import diff_trees
from .teamsettings import FleetSettings
from .teamsettings import TeamSettings

# Some host has problems or did not answer.
EXIT_PARTIAL = 4

WATCH_POLL_INTERVAL_S = 5.0


@query
def get(
    path: str = "",
    *,
    effective: bool = False,
    json: bool = False,
    address: str = "",
    key: str = "",
) -> int:
    """Show the settings in force below a path; exit status 1 if there are none.

    :param path: for example teams/kouga/adapters/plant-1 (default: all)
    :param effective: show each value in force and the level that sets it
    :param json: print JSON
    :param address: operator address IP:PORT (default: $FILBERTYARD_HOST)
    :param key: operator key (default: $FILBERTYARD_KEY)
    """
    client = create_operator_client(address, key)
    request_path = f"/operator/settings?path={quote(path)}" + (
        "&effective=1" if effective else ""
    )
    match client.request("GET", request_path):
        case Ok(answer):
            value = answer["value"]
        case Err(error):
            return fail(error)
    if json:
        print_json(value)
    elif effective:
        rows = [(v["path"], jsonlib.dumps(v["value"]), v["source"]) for v in value]
        print_table(("path", "value", "from"), rows)
    else:
        flat = flatten(path.strip("/"), value)
        print_table(("path", "value"), [(p, jsonlib.dumps(v)) for p, v in flat])
    return EXIT_OK


@query
def diff(
    source: Path,
    *,
    path: str = "",
    json: bool = False,
    address: str = "",
    key: str = "",
) -> int:
    """Show what `apply` would change; exit status 1 if there are differences.

    :param source: file or folder of JSON with comments
    :param path: path of the subtree in a single file
    :param json: print JSON
    :param address: operator address IP:PORT (default: $FILBERTYARD_HOST)
    :param key: operator key (default: $FILBERTYARD_KEY)
    """
    client = create_operator_client(address, key)
    rows: list[tuple[str, t.Any, t.Any]] = []
    for subtree, tree in load_trees(source, path).items():
        old = None
        match client.request("GET", f"/operator/settings?path={quote(subtree)}"):
            case Ok(answer):
                old = answer["value"]
            case Err(RejectedError(status=404)):
                pass
            case Err(error):
                return fail(error)
        for changed, value in diff_trees(subtree, old, tree).items():
            before = old
            for part in changed.split("/")[len(subtree.split("/")) :]:
                before = before.get(part) if isinstance(before, dict) else None
            rows.append((changed, before, value))
    if json:
        print_json([{"path": p, "before": b, "after": a} for p, b, a in rows])
    else:
        print_table(
            ("path", "before", "after"),
            [(p, shorten(b), shorten(a)) for p, b, a in rows],
        )
    return EXIT_REJECTED if rows else EXIT_OK


@query
def validate(source: Path, *, fleet: Path | None = None, json: bool = False) -> int:
    """Check settings files without a host; exit status 1 if there are faults.

    :param source: folder with fleet.jsonc and teams/TEAM.jsonc, or one file
    :param fleet: the fleet's file, to check one team's file against
    :param json: print JSON
    """
    trees = load_trees(source)
    if fleet is not None:
        trees = {FLEET: load_tree(fleet, FLEET), **trees}
    try:
        if FLEET in trees:
            check_trees(trees)
    except InvalidChangeError as error:
        rows = [(fault.path, fault.found, fault.expected) for fault in error.faults]
        if json:
            names = ("path", "found", "expected")
            print_json([dict(zip(names, row, strict=True)) for row in rows])
        else:
            print_table(("path", "found", "expected"), rows)
        return EXIT_REJECTED
    if json:
        print_json([])
    else:
        checked = "" if FLEET in trees else " (not checked against a fleet)"
        print(f"valid: {', '.join(trees)}{checked}")
    return EXIT_OK


@query
def schema() -> int:
    """Print the JSON schema of the settings tree."""
    print_json(
        {
            "$schema": "https://json-schema.org/draft/2020-12/schema",
            "type": "object",
            "properties": {
                "fleet": {"$ref": "#/$defs/FleetSettings"},
                "teams": {
                    "type": "object",
                    "additionalProperties": {"$ref": "#/$defs/TeamSettings"},
                },
            },
            "$defs": definitions(FleetSettings) | definitions(TeamSettings),
        }
    )
    return EXIT_OK


@query
def history(
    *,
    limit: int = 20,
    before: int = 0,
    json: bool = False,
    address: str = "",
    key: str = "",
) -> int:
    """Show accepted changes, newest first.

    :param limit: how many
    :param before: show changes below this revision
    :param json: print JSON with all values
    :param address: operator address IP:PORT (default: $FILBERTYARD_HOST)
    :param key: operator key (default: $FILBERTYARD_KEY)
    """
    client = create_operator_client(address, key)
    request_path = f"/operator/settings/history?limit={limit}"
    if before:
        request_path += f"&before={before}"
    match client.request("GET", request_path):
        case Ok(answer):
            if json:
                print_json(answer["changes"])
            else:
                print_changes(answer["changes"])
            return EXIT_OK
        case Err(error):
            return fail(error)


@query
def settings_status(*, json: bool = False, address: str = "", key: str = "") -> int:
    """Show which host has which revision in force and since when.

    Exit status 4 if a host did not answer, is behind or reports a problem.

    :param json: print JSON
    :param address: operator address IP:PORT (default: $FILBERTYARD_HOST)
    :param key: operator key (default: $FILBERTYARD_KEY)
    """
    client = create_operator_client(address, key)
    match client.request("GET", "/operator/settings/status"):
        case Ok(answer):
            pass
        case Err(error):
            return fail(error)
    rows = answer["hosts"]
    if json:
        print_json(answer)
    else:
        print_table(
            ("host", "zone", "revision", "in force since", "confirmed", "problems"),
            [
                (
                    row["host"],
                    row["zone"],
                    "-" if row["revision"] is None else row["revision"],
                    show_time(row["in_force_at"]),
                    show_age(row["confirmed_age_s"]),
                    ", ".join(row["problems"]) or "-",
                )
                for row in rows
            ],
        )
        for subject, detail in answer["problems"].items():
            print(f"{subject}: {detail}")
    newest = max(row["revision"] or 0 for row in rows)
    good = all(row["revision"] == newest and not row["problems"] for row in rows)
    return EXIT_OK if good else EXIT_PARTIAL


@query
def watch(
    *,
    after: int = -1,
    seconds: float = 0.0,
    json: bool = False,
    address: str = "",
    key: str = "",
) -> int:
    """Show changes as they come into force on the host.

    :param after: begin after this revision (default: the one in force)
    :param seconds: end after this time (default: never)
    :param json: print one JSON object for each change
    :param address: operator address IP:PORT (default: $FILBERTYARD_HOST)
    :param key: operator key (default: $FILBERTYARD_KEY)
    """
    client = create_operator_client(address, key, WATCH_POLL_INTERVAL_S + 10.0)
    end = time.monotonic() + seconds if seconds else float("inf")
    while time.monotonic() < end:
        wait_s = max(0.0, min(WATCH_POLL_INTERVAL_S, end - time.monotonic()))
        request_path = f"/operator/settings/changes?seconds={wait_s}"
        if after >= 0:
            request_path += f"&after={after}"
        match client.request("GET", request_path):
            case Ok(answer):
                after = answer["revision"]
            case Err(error):
                return fail(error)
        for change in answer["changes"]:
            print(jsonlib.dumps(change) if json else change_line(change), flush=True)
    return EXIT_OK


def definitions(model: type[FleetSettings | TeamSettings]) -> dict[str, t.Any]:
    """Return the JSON schemas of a model and of those that it refers to, by name."""
    found = model.model_json_schema(ref_template="#/$defs/{model}")
    nested = found.pop("$defs", {})
    return {model.__name__: found, **nested}


def flatten(path: str, value: t.Any) -> Iterator[tuple[str, t.Any]]:
    """Yield path and value of each leaf below a path; an empty object is a leaf."""
    if not isinstance(value, dict) or not value:
        yield path, value
        return
    for name, child in value.items():
        yield from flatten(f"{path}/{name}" if path else name, child)


def print_changes(changes: list[dict[str, t.Any]]) -> None:
    """Print changes as a table."""
    print_table(
        ("revision", "time", "author", "reason", "id", "changes"),
        [
            (
                change["revision"],
                show_time(change["time"]),
                change["author"],
                change["reason"],
                change["id"],
                show_paths(change["changes"]),
            )
            for change in changes
        ],
    )


def change_line(change: dict[str, t.Any]) -> str:
    """Return one line for a change."""
    return (
        f"{change['revision']}  {show_time(change['time'])}  {change['author']}  "
        f"{change['reason']}  {show_paths(change['changes'])}"
    )


def show_paths(changes: dict[str, t.Any]) -> str:
    """Return the changed paths, shortened to the first three."""
    shown = [
        f"{path} deleted" if value is None else f"{path}={shorten(value)}"
        for path, value in list(changes.items())[:3]
    ]
    more = len(changes) - len(shown)
    return ", ".join(shown) + (f" and {more} more" if more else "")


def shorten(value: t.Any, limit: int = 60) -> str:
    """Return a value as JSON, shortened for a table."""
    text = "-" if value is None else jsonlib.dumps(value)
    return text if len(text) <= limit else f"{text[: limit - 3]}..."


def show_time(at: float | None) -> str:
    """Return a time in UTC."""
    if not at:
        return "-"
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(at))


def show_age(age_s: float | None) -> str:
    """Return an age in seconds."""
    return "-" if age_s is None or age_s < 0 else f"{age_s:.1f} s ago"
