"""Subcommands of filbertyardctl that change something."""

from __future__ import annotations

import json as jsonlib
import os
import sys
import typing as t
import uuid
from collections.abc import Callable
from pathlib import Path
from urllib.parse import quote

from result import Err
from result import Ok

from .ctlclient import EXIT_OK
from .ctlclient import EXIT_REJECTED
from .ctlclient import EXIT_UNREACHABLE
from .ctlclient import EXIT_USAGE
from .ctlclient import OperatorClient
from .ctlclient import RejectedError
from .ctlclient import create_operator_client
from .ctlclient import fail
from .ctlclient import print_json
from .ctlclient import print_table
from .exceptions import FilbertyardError
from .exceptions import SettingsError
from .settingsfiles import load_trees
from .settingstree import diff_trees

# The change was applied, but not every live host had it in force in time.
EXIT_NOT_IN_FORCE = 4
# An earlier change touched the same paths.
EXIT_CONFLICT = 5
# The outcome is unknown; the history shows later if the change was applied.
EXIT_UNKNOWN = 6

# A host retries a commit for 8 s, after it has checked the versions of a large change.
CHANGE_TIMEOUT_S = 60.0

COMMANDS: list[Callable[..., int]] = []


def command(function: Callable[..., int]) -> Callable[..., int]:
    """Register a subcommand; a trailing underscore is not part of its name."""
    function.__name__ = function.__name__.rstrip("_")
    COMMANDS.append(function)
    return function


class ChangeOptions(t.NamedTuple):
    """Options that the subcommands share: connection, author, reason and output."""

    client: OperatorClient
    author: str
    reason: str
    wait: float
    json: bool
    replace_damaged: bool = False
    check_store: bool = True


def create_change_options(
    address: str, key: str, author: str, reason: str, wait: float, json: bool
) -> ChangeOptions:
    """Return the shared options; raise SettingsError without author or reason."""
    author = author or os.environ.get("USER", "")
    if not author:
        raise SettingsError("author", "nothing", "a name as --author or in $USER")
    if not reason.strip():
        raise SettingsError("reason", "nothing", "a reason as -m TEXT")
    client = create_operator_client(address, key, CHANGE_TIMEOUT_S + wait)
    return ChangeOptions(client, author, reason, wait, json)


@command
def set_(
    path: str,
    value: str,
    *,
    reason: str,
    author: str = "",
    wait: float = 0.0,
    replace_damaged: bool = False,
    skip_store_check: bool = False,
    json: bool = False,
    address: str = "",
    key: str = "",
) -> int:
    """Set the value at a path.

    Exit status 0 applied, 1 invalid, 2 usage, 3 refused or unreachable, 4 not in
    force everywhere in time, 5 another change came first, 6 outcome unknown.

    :param path: for example teams/kouga/adapters/plant-1/version
    :param value: JSON; other text is a string
    :param reason: why, recorded with the change
    :param author: who (default: $USER)
    :param wait: seconds to wait until each live host has it in force
    :param replace_damaged: overwrite an unreadable value that no commit wrote
    :param skip_store_check: do not ask the adapter store for the versions
    :param json: print JSON
    :param address: operator address IP:PORT (default: $FILBERTYARD_HOST)
    :param key: operator key (default: $FILBERTYARD_KEY)
    """
    options = create_change_options(address, key, author, reason, wait, json)._replace(
        replace_damaged=replace_damaged, check_store=not skip_store_check
    )
    return send_change(options, {path.strip("/"): parse_value(value)})


@command
def delete(
    path: str,
    *,
    reason: str,
    author: str = "",
    wait: float = 0.0,
    json: bool = False,
    address: str = "",
    key: str = "",
) -> int:
    """Delete the value or the subtree at a path; exit statuses as for `set`.

    :param path: for example teams/kouga/adapters/plant-1
    :param reason: why, recorded with the change
    :param author: who (default: $USER)
    :param wait: seconds to wait until each live host has it in force
    :param json: print JSON
    :param address: operator address IP:PORT (default: $FILBERTYARD_HOST)
    :param key: operator key (default: $FILBERTYARD_KEY)
    """
    options = create_change_options(address, key, author, reason, wait, json)
    return send_change(options, {path.strip("/"): None})


@command
def apply(
    source: Path,
    *,
    reason: str,
    path: str = "",
    author: str = "",
    wait: float = 0.0,
    skip_store_check: bool = False,
    json: bool = False,
    address: str = "",
    key: str = "",
) -> int:
    """Make subtrees equal to files, as one change for each subtree.

    A folder holds `fleet.jsonc` and `teams/TEAM.jsonc`; a file is the subtree of its
    name or of --path. Each change is applied as a whole or not at all; the first one
    that is not applied ends the command. Exit statuses as for `set`.

    :param source: file or folder of JSON with comments
    :param reason: why, recorded with the changes
    :param path: path of the subtree in a single file
    :param author: who (default: $USER)
    :param wait: seconds to wait until each live host has the last one in force
    :param skip_store_check: do not ask the adapter store for the versions
    :param json: print JSON
    :param address: operator address IP:PORT (default: $FILBERTYARD_HOST)
    :param key: operator key (default: $FILBERTYARD_KEY)
    """
    options = create_change_options(address, key, author, reason, 0.0, json)._replace(
        check_store=not skip_store_check
    )
    trees = load_trees(source, path)
    for subtree, tree in trees.items():
        match options.client.request(
            "GET", f"/operator/settings?path={quote(subtree)}"
        ):
            case Ok(value):
                old, base = value["value"], value["revision"]
            case Err(RejectedError(status=404) as error):
                old, base = None, error.value["revision"]
            case Err(error):
                return fail(error)
        changes = diff_trees(subtree, old, tree)
        if not changes:
            if not json:
                print(f"{subtree}: no change")
            continue
        last = subtree == next(reversed(trees))
        status = send_change(
            options._replace(wait=wait if last else 0.0), changes, base
        )
        if status not in (EXIT_OK, EXIT_NOT_IN_FORCE):
            print(f"filbertyardctl: {subtree} was not applied", file=sys.stderr)
        if status != EXIT_OK:
            return status
    return EXIT_OK


@command
def revert(
    revision: int,
    *,
    reason: str,
    author: str = "",
    wait: float = 0.0,
    json: bool = False,
    address: str = "",
    key: str = "",
) -> int:
    """Restore what a change replaced, as a new change; exit statuses as for `set`.

    :param revision: revision of the change, from `history`
    :param reason: why, recorded with the new change
    :param author: who (default: $USER)
    :param wait: seconds to wait until each live host has it in force
    :param json: print JSON
    :param address: operator address IP:PORT (default: $FILBERTYARD_HOST)
    :param key: operator key (default: $FILBERTYARD_KEY)
    """
    options = create_change_options(address, key, author, reason, wait, json)
    body = {"revision": revision, "reason": f"reverts {revision}: {reason}"}
    return send(options, "/operator/settings/revert", body)


def parse_value(text: str) -> t.Any:
    """Return a parsed JSON value, or the text itself if it is not JSON."""
    try:
        return jsonlib.loads(text)
    except ValueError:
        return text


def send_change(
    options: ChangeOptions, changes: dict[str, t.Any], base: int = -1
) -> int:
    """Commit a change and return the exit status."""
    return send(options, "/operator/settings", {"changes": changes, "base": base})


def send(options: ChangeOptions, path: str, body: dict[str, t.Any]) -> int:
    """Send a change, wait until it is in force and return the exit status."""
    change_id = uuid.uuid4().hex
    body = {
        "author": options.author,
        "reason": options.reason,
        "id": change_id,
        "replace_damaged": options.replace_damaged,
        "check_store": options.check_store,
        **body,
    }
    match options.client.request("POST", path, body):
        case Ok(value):
            return print_result(options, value)
        case Err(error):
            if options.json and isinstance(error, RejectedError):
                print_json(error.value)
            status = change_status(error)
            if status == EXIT_UNKNOWN:
                print(
                    f"filbertyardctl: the outcome of change {change_id} is unknown; "
                    "look for its id in `filbertyardctl history`",
                    file=sys.stderr,
                )
            fail(error)
            return status


def change_status(error: FilbertyardError) -> int:
    """Return the exit status for a change that was not confirmed."""
    if not isinstance(error, RejectedError):
        # The request may have reached the host before the connection failed.
        return EXIT_UNKNOWN if getattr(error, "sent", False) else EXIT_UNREACHABLE
    value = error.value if isinstance(error.value, dict) else {}
    if value.get("outcome") == "unknown":
        return EXIT_UNKNOWN
    statuses = {400: EXIT_USAGE, 409: EXIT_CONFLICT, 503: EXIT_UNREACHABLE}
    return statuses.get(error.status, EXIT_REJECTED)


def print_result(options: ChangeOptions, value: dict[str, t.Any]) -> int:
    """Print an applied change, and wait until it is in force if asked to."""
    missing: list[str] = []
    if options.wait:
        path = (
            f"/operator/settings/wait?revision={value['revision']}"
            f"&seconds={options.wait}"
        )
        match options.client.request("GET", path):
            case Ok(waited):
                missing = waited["missing"]
                value = {**value, "missing": missing, "hosts": waited["hosts"]}
            case Err(error):
                fail(error)
                return EXIT_NOT_IN_FORCE
    if options.json:
        print_json(value)
    else:
        over = ", ".join(str(revision) for revision in value["over"])
        rows: list[tuple[object, ...]] = [("revision", value["revision"])]
        rows.append(("change", value["id"]))
        if over:
            rows.append(("applied after", over))
        if options.wait:
            count = value["hosts"] - len(missing)
            rows.append(("in force on", f"{count} of {value['hosts']} hosts"))
        print_table(("applied", ""), rows)
    if missing:
        names = ", ".join(missing)
        print(f"filbertyardctl: not in force yet on {names}", file=sys.stderr)
    return EXIT_NOT_IN_FORCE if missing else EXIT_OK
