"""Subcommands of filbertyardctl that only read."""

from __future__ import annotations

import typing as t
from collections.abc import Callable
from datetime import UTC
from datetime import datetime
from urllib.parse import urlencode

from result import Err
from result import Ok

from .ctlclient import EXIT_OK
from .ctlclient import EXIT_PARTIAL
from .ctlclient import OperatorClient
from .ctlclient import create_operator_client
from .ctlclient import fail
from .ctlclient import print_json
from .ctlclient import print_table

QUERIES: list[Callable[..., int]] = []

# Path of previews at the metrics address of a gateway.
PREVIEW_PATH = "/route"

# A key that no host accepts.
NO_KEY = "none"

# Fields of an event that have a column of their own in the table.
EVENT_COLUMNS = ("at", "host", "kind", "cause", "adapter", "upstream", "peer")

Show = Callable[[dict[str, t.Any]], None]


def query(function: Callable[..., int]) -> Callable[..., int]:
    """Register a subcommand."""
    QUERIES.append(function)
    return function


def run_query(
    path: str, parameters: dict[str, str], show: Show | None, address: str, key: str
) -> int:
    """Send a request, show the response and return the exit status."""
    return show_answer(create_operator_client(address, key), path, parameters, show)


def show_answer(
    client: OperatorClient, path: str, parameters: dict[str, str], show: Show | None
) -> int:
    """Send a request, show the response and return the exit status."""
    given = {name: value for name, value in parameters.items() if value}
    match client.request("GET", f"{path}?{urlencode(given)}"):
        case Ok(value):
            if show is None:
                print_json(value)
            else:
                show(value)
            silent = value.get("silent", [])
            if silent and show is not None:
                print(f"\nno answer from: {', '.join(silent)}")
            return EXIT_PARTIAL if silent else EXIT_OK
        case Err(error):
            return fail(error)


@query
def host(*, address: str = "", key: str = "") -> int:
    """Show the state of one entry host.

    :param address: operator address IP:PORT (default: $FILBERTYARD_HOST)
    :param key: operator key (default: $FILBERTYARD_KEY)
    """
    return run_query("/operator/host", {}, None, address, key)


@query
def explain(
    request_id: str, *, json: bool = False, address: str = "", key: str = ""
) -> int:
    """Show what happened to one request on all hosts that took part.

    Exit status 0, 1 if no host knows the request, 2 for wrong usage, 3 if the queried
    host cannot be reached, 4 if some hosts did not answer.

    :param request_id: value of X-Request-Id
    :param json: print JSON instead of a table
    :param address: operator address IP:PORT (default: $FILBERTYARD_HOST)
    :param key: operator key (default: $FILBERTYARD_KEY)
    """
    show = None if json else show_timeline
    parameters = {"request": request_id}
    return run_query("/operator/explain", parameters, show, address, key)


@query
def route(
    target: str,
    *,
    path: str = "",
    method: str = "POST",
    rank: str = "",
    request_id: str = "",
    json: bool = False,
    address: str = "",
    key: str = "",
) -> int:
    """Show where a call would go now and why, without sending it.

    The queried host decides as for a caller of its own. Exit status 0, 1 if the target
    is not in force, 2 for wrong usage, 3 if the host cannot be reached.

    :param target: TEAM/ADAPTER[@VERSION], or TEAM/SERVICE with --path
    :param path: path of a call to a plain service
    :param method: method of a call to a plain service
    :param rank: rank that the caller asks for
    :param request_id: request id, which decides between replicas of equal cost
    :param json: print JSON instead of a table
    :param address: operator address IP:PORT (default: $FILBERTYARD_HOST)
    :param key: operator key (default: $FILBERTYARD_KEY)
    """
    parameters = {
        "target": target,
        "path": path,
        "method": method,
        "rank": rank,
        "request": request_id,
    }
    show = None if json else show_route
    return run_query("/operator/route", parameters, show, address, key)


@query
def gateway_route(
    host: str,
    path: str,
    *,
    adapter: str = "",
    workspace: str = "",
    request_id: str = "",
    body_bytes: int = 0,
    prompt_tokens: int = 0,
    json: bool = False,
    address: str = "",
) -> int:
    """Show where a gateway would send a request now and why, without sending it.

    The queried host decides as for a caller of its own. Neither quotas nor owners are
    asked, so that nothing is taken from them. Exit status 0, 1 if route or workspace
    are not in the configuration, 2 for wrong usage, 3 if the host cannot be reached.

    :param host: name that the caller puts into the Host header
    :param path: path of the request
    :param adapter: MODEL/ADAPTER, or MODEL for the model itself
    :param workspace: name of the caller's workspace, which decides the rank
    :param request_id: request id, which decides between holders of an adapter
    :param body_bytes: size of the body, which may be part of the price of a zone
    :param prompt_tokens: size of the prompt, which slow engines read for longer
    :param json: print JSON instead of a table
    :param address: metrics address IP:PORT of a gateway (default: $FILBERTYARD_HOST)
    """
    parameters = {
        "host": host,
        "path": path,
        "adapter": adapter,
        "workspace": workspace,
        "request": request_id,
        "body_bytes": str(body_bytes or ""),
        "prompt_tokens": str(prompt_tokens or ""),
    }
    # The metrics address needs no key, so none is sent over the network.
    client = create_operator_client(address, NO_KEY)
    show = None if json else show_gateway_route
    return show_answer(client, PREVIEW_PATH, parameters, show)


@query
def events(
    *,
    since: float = 0.0,
    adapter: str = "",
    upstream: str = "",
    host: str = "",
    json: bool = False,
    address: str = "",
    key: str = "",
) -> int:
    """Show the newest 500 events: what the fleet decided, and on which figures.

    Exit status 0, 2 for wrong usage, 3 if the queried host cannot be reached, 4 if
    some hosts did not answer.

    :param since: only events of the last SINCE seconds
    :param adapter: only events of TEAM/ADAPTER or TEAM/ADAPTER@VERSION
    :param upstream: only events of an upstream or of one replica
    :param host: only events at or about one entry host
    :param json: print JSON instead of a table
    :param address: operator address IP:PORT (default: $FILBERTYARD_HOST)
    :param key: operator key (default: $FILBERTYARD_KEY)
    """
    parameters = {
        "since_s": str(since) if since else "",
        "adapter": adapter,
        "upstream": upstream,
        "host": host,
    }
    show = None if json else show_events
    return run_query("/operator/events", parameters, show, address, key)


@query
def status(*, json: bool = False, address: str = "", key: str = "") -> int:
    """Show hosts, upstreams, results by rank, store budget and current problems.

    Exit status 0, 2 for wrong usage, 3 if the queried host cannot be reached, 4 if
    some hosts did not answer.

    :param json: print JSON instead of tables
    :param address: operator address IP:PORT (default: $FILBERTYARD_HOST)
    :param key: operator key (default: $FILBERTYARD_KEY)
    """
    show = None if json else show_status
    return run_query("/operator/status", {}, show, address, key)


def show_timeline(value: dict[str, t.Any]) -> None:
    """Print the steps of a request."""
    rows = [
        (
            format_time(step["at"]),
            step["host"],
            step["step"],
            format_fields(step, ("step",)),
        )
        for step in value["steps"]
    ]
    print_table(("TIME", "HOST", "STEP", "FIGURES"), rows)


def show_route(value: dict[str, t.Any]) -> None:
    """Print the candidates for a call and the choice."""
    subject = value["adapter"] or value["upstream"]
    print(
        f"{subject}, rank {value['rank']} (target {value['target_s']:g} s), "
        f"settings revision {value['revision']}, asked {value['host']} "
        f"in {value['zone']}\n"
    )
    rows = [
        (
            item["replica"],
            item["zone"] or "-",
            item["owner"],
            "yes" if item["resident"] else "no",
            *(f"{item[name]:.3f}" for name in ("wait_s", "crossing_s", "cost_s")),
            "chosen" if item["replica"] == value["chosen"] else "",
        )
        for item in value["candidates"]
    ]
    rows += [
        (replica, "-", "-", "-", "-", "-", "-", cause)
        for replica, cause in value["excluded"].items()
    ]
    headings = ("REPLICA", "ZONE", "OWNER", "RESIDENT", "WAIT", "ZONE PRICE", "COST")
    print_table((*headings, ""), rows)
    if value["refusal"]:
        print(f"\nrejected: {value['refusal']}: {value['detail']}")
    if not value["accepts_calls"]:
        print(f"\n{value['host']} stops and takes no calls")


def show_gateway_route(value: dict[str, t.Any]) -> None:
    """Print the candidates for a request and the choice."""
    print(
        f"route {value['route']}, service {value['service']}, rank {value['rank']} "
        f"(objective {value['objective_s']:g} s), "
        f"configuration {value['configuration']}, asked in {value['zone']}\n"
    )
    columns = [name for name in next(iter(value["candidates"]), {}) if name != "zone"]
    rows = [
        [
            *(format_cell(item[name]) for name in ("zone", *columns)),
            "chosen" if item["replica"] == value["chosen"] else "",
        ]
        for item in value["candidates"]
    ]
    if rows:
        print_table([*(name.upper() for name in ("zone", *columns)), ""], rows)
    for replica, cause in value["excluded"].items():
        print(f"left out: {replica} ({cause})")
    if not value["chosen"]:
        print("\nno replica can run the request now")
    if not value["accepts_requests"]:
        print("\nthe host stops and takes no requests")


def format_cell(value: object) -> str:
    """Return a value of a table."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    return (
        f"{value:.3f}"
        if isinstance(value, float)
        else str("-" if value is None else value)
    )


def show_events(value: dict[str, t.Any]) -> None:
    """Print events."""
    rows = [
        (
            format_time(event["at"]),
            event["host"],
            event["kind"],
            event["adapter"] or event["upstream"] or event["peer"] or "-",
            event["cause"],
            format_fields(event, EVENT_COLUMNS[2:5]),
        )
        for event in value["events"]
    ]
    print_table(("TIME", "HOST", "EVENT", "SUBJECT", "CAUSE", "FIGURES"), rows)


def show_status(value: dict[str, t.Any]) -> None:
    """Print the state of the fleet."""
    print(f"settings revision {value['revision']}, asked {value['asked']}\n")
    columns = ("host", "zone", "state", "revision", "replicas", "open_streams")
    rows = [[item[name] for name in columns] for item in value["hosts"]]
    print_table([name.upper() for name in columns], rows)
    print()
    details = ("replica", "owner", "running", "max_batch", "queued", "resident")
    rows = [
        [*(item.get(name, "-") for name in details), replica_state(item)]
        for item in value["upstreams"]
    ]
    print_table([*(name.upper() for name in details), "STATE"], rows)
    print()
    headings = ("RANK", "TARGET", "P50", "P95", "IN TARGET", "SHARE", "USED")
    outcomes = ("answered", "not_run", "unknown", "cancelled")
    rows = [
        [
            rank["rank"],
            f"{rank['target_s']:g} s",
            f"{rank['first_token_p50_s']:.3f} s",
            f"{rank['first_token_p95_s']:.3f} s",
            "-" if rank["in_target"] is None else f"{rank['in_target']:.1%}",
            f"{rank['share']:.0%}",
            f"{rank['share_used']:.0%}",
            *(rank[name] for name in outcomes),
        ]
        for rank in value["ranks"]
    ]
    print_table([*headings, *(name.upper() for name in outcomes)], rows)
    print(f"\n{format_budget(value['budget'])}\n")
    rows = [
        [
            "-" if item["since"] is None else format_time(item["since"]),
            item["host"],
            item["what"],
            item["cause"],
        ]
        for item in value["wrong"]
    ]
    if rows:
        print_table(("WRONG SINCE", "HOST", "WHAT", "CAUSE"), rows)
    else:
        print("nothing is known to be wrong")


def format_budget(budget: dict[str, t.Any] | None) -> str:
    """Return the state of the store budget as one line."""
    if budget is None:
        return "store budget: no host that answered owns it"
    return (
        f"store budget: {budget['rate_per_s']:g} loads/s, {budget['in_flight']} of "
        f"{budget['max_in_flight']} in flight, owner {budget['host']}"
    )


def replica_state(row: dict[str, t.Any]) -> str:
    """Return the state of a replica in one word."""
    if row["leaving"]:
        return "leaving"
    if "accepting" not in row:
        return "unknown"
    return "accepting" if row["accepting"] else "unavailable"


def format_time(at: float) -> str:
    """Return a Unix time as UTC time of day with milliseconds."""
    moment = datetime.fromtimestamp(at, UTC)
    return moment.strftime("%m-%d %H:%M:%S.") + f"{moment.microsecond // 1000:03d}"


def format_fields(pairs: dict[str, t.Any], hidden: tuple[str, ...]) -> str:
    """Return the fields without a column of their own as key=value text."""
    return " ".join(
        f"{name}={round(value, 4) if isinstance(value, float) else value}"
        for name, value in pairs.items()
        if name not in (*hidden, "at", "host") and value not in ("", None)
    )
