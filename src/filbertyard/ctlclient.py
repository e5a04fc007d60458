"""Connection of filbertyardctl to an entry host, and its output."""

from __future__ import annotations

import json
import os
import sys
import typing as t
from collections.abc import Iterable
from collections.abc import Sequence

from result import Err
from result import Ok
from result import Result

from .exceptions import FilbertyardError
from .exceptions import SettingsError
from .exceptions import UpstreamError
from .httpcalls import create_http_peer

EXIT_OK = 0
EXIT_REJECTED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
# The response is valid, but some hosts are missing from it.
EXIT_PARTIAL = 4
# 128 + SIGPIPE, the status that shells report for a program killed by the signal.
EXIT_BROKEN_PIPE = 141

ADDRESS_VARIABLE = "FILBERTYARD_HOST"
KEY_VARIABLE = "FILBERTYARD_KEY"


class RejectedError(FilbertyardError):
    """A request that the entry host understood and rejected."""

    def __init__(self, message: str, status: int, value: t.Any) -> None:
        super().__init__(message, step="filbertyardctl")
        self.status = status
        self.value = value


class OperatorClient:
    """Requests to the operator interface of one entry host."""

    def __init__(self, address: str, key: str, timeout_s: float = 10.0) -> None:
        self.peer = create_http_peer(address, timeout_s=timeout_s, step="operate")
        self.headers = {"Authorization": f"Bearer {key}"}

    def request(
        self, method: str, path: str, value: t.Any = None
    ) -> Result[t.Any, RejectedError | UpstreamError]:
        """Send one request and return the parsed response."""
        try:
            status, answer = self.peer.json(method, path, value, self.headers)
        except UpstreamError as error:
            return Err(error)
        if status >= 400:
            message = answer.get("error") if isinstance(answer, dict) else None
            return Err(RejectedError(message or f"status {status}", status, answer))
        return Ok(answer)


def create_operator_client(
    address: str = "", key: str = "", timeout_s: float = 10.0
) -> OperatorClient:
    """Return a client; address and key default to the environment's."""
    address = address or os.environ.get(ADDRESS_VARIABLE, "")
    if not address:
        raise SettingsError(
            "address", "nothing", f"IP:PORT as --address or in ${ADDRESS_VARIABLE}"
        )
    return OperatorClient(address, key or os.environ.get(KEY_VARIABLE, ""), timeout_s)


def fail(error: FilbertyardError) -> int:
    """Print an error and return the exit status for it."""
    print(f"filbertyardctl: {error.message}", file=sys.stderr)
    if isinstance(error, RejectedError):
        return EXIT_REJECTED
    return EXIT_UNREACHABLE if isinstance(error, UpstreamError) else EXIT_USAGE


def print_json(value: t.Any) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=2))


def print_table(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print rows under their column names."""
    lines = [list(columns), *([str(cell) for cell in row] for row in rows)]
    widths = [
        max(len(line[column]) for line in lines) for column in range(len(columns))
    ]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        print("  ".join(cells).rstrip())
