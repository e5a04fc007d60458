"""Stand-in for the platform's delayed list of live and leaving hosts."""

from __future__ import annotations

import hashlib
import json
import time
from collections.abc import Iterable
from dataclasses import asdict
from dataclasses import dataclass

from .web import STATUS_LINES
from .web import Environ
from .web import Standin
from .web import StartResponse
from .web import send_json


@dataclass(slots=True)
class HostListEntry:
    """One host or upstream replica; `kind` is `entry` or an upstream's name."""

    name: str
    address: str
    availability_zone: str
    kind: str
    state: str = "live"


class HostListStandin(Standin):
    """A host list that shows each change `lag_s` late."""

    def __init__(self, lag_s: float = 0.0, port: int = 0) -> None:
        self.lag_s = lag_s
        self.current: dict[str, HostListEntry] = {}
        self.history: list[tuple[float, dict[str, HostListEntry]]] = []
        self.bodies_sent = 0
        super().__init__(port)

    def put(self, entry: HostListEntry) -> None:
        """Add or replace one entry."""
        self.current = {**self.current, entry.name: entry}
        self.history.append((time.monotonic(), self.current))

    def remove(self, name: str) -> None:
        """Remove one entry."""
        self.current = {k: v for k, v in self.current.items() if k != name}
        self.history.append((time.monotonic(), self.current))

    def visible_entries(self) -> dict[str, HostListEntry]:
        """Return the list as it was `lag_s` ago."""
        limit = time.monotonic() - self.lag_s
        visible: dict[str, HostListEntry] = {}
        for at, entries in self.history:
            if at > limit:
                break
            visible = entries
        return visible

    def application(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer `GET /hosts`, without a body if the ETag matches."""
        if environ["PATH_INFO"] != "/hosts":
            return send_json(start_response, {"error": "not found"}, 404)
        value = {"hosts": [asdict(entry) for entry in self.visible_entries().values()]}
        # A tag from the content stays valid after a restart.
        digest = hashlib.sha256(json.dumps(value).encode()).hexdigest()
        headers = [("ETag", f'"{digest}"')]
        if environ.get("HTTP_IF_NONE_MATCH") == headers[0][1]:
            start_response(STATUS_LINES[304], headers)
            return []
        self.bodies_sent += 1
        return send_json(start_response, value, headers=headers)
