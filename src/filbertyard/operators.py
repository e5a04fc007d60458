"""The HTTP interface for operators: routes are registered by commands and queries."""

from __future__ import annotations

import hmac
import json
import typing as t
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from urllib.parse import parse_qsl

from .exceptions import FilbertyardError
from .exceptions import RequestError
from .exceptions import SettingsError
from .exceptions import UnknownNameError

if t.TYPE_CHECKING:
    from .host import EntryHost

MAX_OPERATOR_BODY_BYTES = 4 << 20

STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    401: "401 Unauthorized",
    404: "404 Not Found",
    409: "409 Conflict",
    422: "422 Unprocessable Content",
    503: "503 Service Unavailable",
}


@dataclass(slots=True)
class OperatorRequest:
    """One request of an operator; `query` holds the parameters of the URL."""

    query: dict[str, str] = field(default_factory=dict)
    body: t.Any = None


@dataclass(slots=True)
class OperatorResponse:
    """A JSON response to an operator."""

    value: t.Any
    status: int = 200


OperatorHandler = Callable[["EntryHost", OperatorRequest], OperatorResponse]

ROUTES: dict[tuple[str, str], OperatorHandler] = {}


def operator_route(
    method: str, path: str
) -> Callable[[OperatorHandler], OperatorHandler]:
    """Register the handler of one operator request."""

    def register(handler: OperatorHandler) -> OperatorHandler:
        ROUTES[method, path] = handler
        return handler

    return register


class OperatorApplication:
    """WSGI application for operators; requests carry the operator key."""

    def __init__(self, host: EntryHost, operator_key: str) -> None:
        self.host = host
        self.operator_key = operator_key

    def __call__(
        self,
        environ: dict[str, t.Any],
        start_response: Callable[[str, list[tuple[str, str]]], t.Any],
    ) -> Iterable[bytes]:
        """Answer one request."""
        response = self.answer(environ)
        body = json.dumps(response.value).encode()
        start_response(
            STATUS_LINES[response.status],
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    def answer(self, environ: dict[str, t.Any]) -> OperatorResponse:
        """Return the response to one request."""
        found = environ.get("HTTP_AUTHORIZATION", "")
        expected = f"Bearer {self.operator_key}".encode()
        if not hmac.compare_digest(found.encode(errors="replace"), expected):
            return OperatorResponse(
                {"error": "the operator key is missing or wrong"}, 401
            )
        handler = ROUTES.get((environ["REQUEST_METHOD"], environ["PATH_INFO"]))
        if handler is None:
            return OperatorResponse({"error": "no such operator request"}, 404)
        try:
            return handler(self.host, read_request(environ))
        except UnknownNameError as error:
            return OperatorResponse({"error": error.message}, 404)
        except (RequestError, SettingsError) as error:
            return OperatorResponse({"error": error.message}, 400)
        except FilbertyardError as error:
            return OperatorResponse({"error": str(error)}, 503)


def read_request(environ: dict[str, t.Any]) -> OperatorRequest:
    """Return the parsed request; raise RequestError if it is malformed."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > MAX_OPERATOR_BODY_BYTES:
        raise RequestError(
            "body", f"{length} bytes", f"at most {MAX_OPERATOR_BODY_BYTES}"
        )
    # A chunked body states no length.
    data = environ["wsgi.input"].read(MAX_OPERATOR_BODY_BYTES + 1)
    if len(data) > MAX_OPERATOR_BODY_BYTES:
        raise RequestError(
            "body", f"over {MAX_OPERATOR_BODY_BYTES} bytes", "a smaller body"
        )
    try:
        body = json.loads(data) if data else None
    except ValueError as error:
        raise RequestError("body", "no JSON", "JSON") from error
    return OperatorRequest(dict(parse_qsl(environ.get("QUERY_STRING", ""))), body)
