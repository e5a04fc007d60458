"""Headers and messages between callers, the gateway and replicas."""

from __future__ import annotations

import json
import math
import re
from http import HTTPStatus

from ..exceptions import RequestError
from ..gateway.types import AdapterName
from ..gateway.types import Configuration
from ..gateway.types import EngineReport
from ..gateway.types import GatewayRequest
from ..gateway.types import Replica
from ..gateway.types import key_digest
from ..gateway.wire import HttpMessage
from ..gateway.wire import KeyLayout
from ..gateway.wire import Order
from ..gateway.wire import OrderResult
from ..gateway.wire import ReportedLoad
from ..gateway.wire import ResponseHead
from ..jsonvalues import parse_count
from ..keyvalue import Item
from . import documents

REQUEST_ID = "Request-Id"
DEADLINE = "Deadline-Ms"
SIGNATURE = "Response-Signature"
TARGET_INSTANCE = "Target-Instance"
MODEL = "Model"
# Prompt tokens and the maximum of output tokens, not the tokens used.
TOKEN_USAGE = "Token-Usage"
PROMPT_PREFIX = "Prompt-Prefix"
LENGTH_HINT = "Length-Hint"
PRIORITY = "Request-Priority"
EXPECTED_VERSION = "Expected-Version"
LAST_EVENT = "Last-Event-Id"
NOT_EXECUTED = "Not-Executed"
SERVER_LOAD = "Server-Load"
AUTHORIZATION = "Authorization"
# The name of the caller's workspace.
TENANT = "Tenant"
# Requests per second that the replica takes from all hosts together.
SERVER_LIMIT = "Server-Limit"

DECIMAL_NUMBER = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")

# Applies to requests without a deadline.
DEFAULT_DEADLINE_MS = 30_000

# Largest value of the priority header, the least urgent; 0 is the most urgent.
MAX_PRIORITY = 9

# Hop-by-hop headers (RFC 9110, 7.6.1) and headers that are set anew on each hop.
CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    )
)

# Headers that only the system may set; dropped from callers' requests.
SYSTEM_HEADERS = frozenset(
    (
        "target-instance",
        "request-priority",
        "expected-version",
        "hold",
        "pin-ms",
        "kv-backup",
        "kv-from",
        "kv-fetch",
        "deadline-ms",
        "last-event-id",
    )
)

ORDER_RESULTS: dict[int, OrderResult] = {
    200: "held",
    202: "accepted",
    400: "refused",
    409: "busy",
    412: "stale",
    421: "refused",
}


class PlatformWireFormat:
    """Wire format of the Drakensig platform."""

    layout = KeyLayout(
        operator_prefix=documents.OPERATOR_PREFIX,
        configuration_key=documents.CONFIGURATION_KEY,
        version_prefix=documents.VERSION_PREFIX,
        replica_prefix=documents.REPLICA_PREFIX,
    )

    def read_request(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        arrived: float,
    ) -> GatewayRequest:
        """Decode a caller's request; raise RequestError."""
        fields = {name.lower(): value for name, value in headers}
        dropped = (
            CONNECTION_HEADERS
            | SYSTEM_HEADERS
            | parse_connection_header(fields.get("connection"))
        )
        prompt, output = parse_token_usage(fields.get(TOKEN_USAGE.lower(), ""))
        hint = parse_number(LENGTH_HINT, fields.get(LENGTH_HINT.lower(), ""), output)
        remaining_ms = parse_number(
            DEADLINE, fields.get(DEADLINE.lower(), ""), DEFAULT_DEADLINE_MS
        )
        return GatewayRequest(
            id=fields.get(REQUEST_ID.lower(), ""),
            host=fields.get("host", "").lower().partition(":")[0],
            method=method,
            target=target,
            headers=[
                (name, value) for name, value in headers if name.lower() not in dropped
            ],
            body=body,
            arrived=arrived,
            deadline=arrived + remaining_ms / 1000,
            adapter=parse_adapter(fields.get(MODEL.lower(), "")),
            prompt_tokens=prompt,
            output_tokens=min(output, hint) if hint else output,
            max_output_tokens=output,
            resume_after=fields.get(LAST_EVENT.lower(), ""),
            prompt_parts=parse_prompt_prefix(fields.get(PROMPT_PREFIX.lower(), "")),
            key_digest=parse_authorization(fields.get(AUTHORIZATION.lower(), "")),
        )

    def request_headers(
        self,
        request: GatewayRequest,
        replica: str,
        left_s: float,
        rank: int,
        version: int,
        resume_after: str,
        workspace: str | None = None,
    ) -> dict[str, str]:
        """Return the headers for a replica; it picks the version if `version` is 0."""
        headers = dict(request.headers)
        if workspace is not None:
            headers = without_credentials(headers)
            if workspace:
                # Headers are encoded as Latin-1.
                headers[TENANT] = workspace.encode().decode("latin-1")
        headers[DEADLINE] = str(max(1, int(left_s * 1000)))
        headers[TARGET_INSTANCE] = replica
        if request.adapter is not None:
            headers[PRIORITY] = str(min(max(rank, 0), MAX_PRIORITY))
        if version:
            headers[EXPECTED_VERSION] = str(version)
        if resume_after:
            headers[LAST_EVENT] = resume_after
        return headers

    def read_response_head(
        self, status: int, headers: list[tuple[str, str]]
    ) -> ResponseHead:
        """Decode the head of a replica's response."""
        fields = {name.lower(): value for name, value in headers}
        load = parse_server_load(fields.get(SERVER_LOAD.lower(), ""))
        is_adapter_absent = status == HTTPStatus.MISDIRECTED_REQUEST
        return ResponseHead(
            status=status,
            request_id=fields.get(REQUEST_ID.lower(), ""),
            is_signed=SIGNATURE.lower() in fields,
            is_not_run=is_adapter_absent or NOT_EXECUTED.lower() in fields,
            is_adapter_absent=is_adapter_absent,
            running=load.running,
            waiting=load.waiting,
            slots=load.slots,
            slowdown=load.slowdown,
            has_slowdown=load.has_slowdown,
            rate_limit=parse_server_limit(
                [
                    value
                    for name, value in headers
                    if name.lower() == SERVER_LIMIT.lower()
                ]
            ),
        )

    def response_headers(self, headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the headers of a replica's response that the caller gets."""
        fields = {name.lower(): value for name, value in headers}
        dropped = CONNECTION_HEADERS | parse_connection_header(fields.get("connection"))
        return [(name, value) for name, value in headers if name.lower() not in dropped]

    def error_response(
        self, status: int, request_id: str, detail: str, retry_after_s: float
    ) -> tuple[list[tuple[str, str]], bytes]:
        """Return headers and body of an error response from the gateway itself."""
        body = json.dumps({"error": detail}).encode()
        headers = [("Content-Type", "application/json")]
        if request_id:
            headers.append((REQUEST_ID, request_id))
        if status == HTTPStatus.UNAUTHORIZED:
            headers.append(("WWW-Authenticate", "Bearer"))
        if retry_after_s > 0:
            headers.append(("Retry-After", f"{retry_after_s:.2f}"))
        return headers, body

    def encode_addresses(self, addresses: list[str], ttl_s: float) -> bytes:
        """Encode the addresses that callers may connect to."""
        return json.dumps({"addresses": addresses, "ttlS": ttl_s}).encode()

    def is_address_query(self, path: str) -> bool:
        """Tell if a path asks for the addresses to connect to."""
        return path == "/api/resolve"

    def is_readiness_query(self, path: str) -> bool:
        """Tell if a path asks whether this host is ready."""
        return path == "/api/ready"

    def order(self, order: Order, replica: str) -> HttpMessage:
        """Return the request that sends an order to a replica."""
        value: dict[str, str | int] = {
            "operation": order.kind,
            "model": order.model,
            # The sequence that the replica must be at, not the one after the order.
            "expected": order.sequence,
            "holder": order.owner,
            "fence": order.fence,
        }
        if order.adapter:
            value["adapter"] = order.adapter
        if order.version:
            value["version"] = order.version
        headers = {"Content-Type": "application/json", TARGET_INSTANCE: replica}
        return HttpMessage("POST", "/api/order", headers, json.dumps(value).encode())

    def order_result(self, status: int) -> OrderResult | None:
        """Map the status of an order's response to a result, None if unknown."""
        return ORDER_RESULTS.get(status)

    def report(self, replica: str) -> HttpMessage:
        """Return the request for an engine's report."""
        return HttpMessage("GET", "/api/report", {TARGET_INSTANCE: replica})

    def health(self, replica: str, path: str) -> HttpMessage:
        """Return the request for a replica's health."""
        return HttpMessage("GET", path, {TARGET_INSTANCE: replica})

    def read_report(self, body: bytes, replica: str) -> EngineReport:
        """Decode an engine's report; raise DocumentError."""
        return documents.decode_report(body, replica)

    def read_configuration(self, item: Item) -> Configuration:
        """Decode the operator's configuration; raise DocumentError."""
        return documents.decode_configuration(item)

    def read_replica(self, item: Item) -> Replica:
        """Decode a replica's entry; raise DocumentError."""
        return documents.decode_replica(item)

    def read_release(self, item: Item) -> tuple[AdapterName, int]:
        """Decode the announcement of an adapter's version; raise DocumentError."""
        return documents.decode_adapter_version(item)


def without_credentials(headers: dict[str, str]) -> dict[str, str]:
    """Return headers without the API key and the workspace that a caller stated."""
    dropped = (AUTHORIZATION.lower(), TENANT.lower())
    return {
        name: value for name, value in headers.items() if name.lower() not in dropped
    }


def parse_authorization(text: str) -> bytes:
    """Return the digest of the API key in an Authorization header, empty without."""
    scheme, _, api_key = text.partition(" ")
    if scheme.lower() != "bearer" or not api_key.strip():
        return b""
    # Headers are decoded as Latin-1, whatever the bytes stand for.
    return key_digest(api_key.strip().encode("latin-1").decode(errors="replace"))


def parse_connection_header(connection: str | None) -> frozenset[str]:
    """Parse the lowercase header names that a Connection header lists."""
    names = (connection or "").split(",")
    return frozenset(name.strip().lower() for name in names if name.strip())


def parse_number(name: str, text: str, default: int) -> int:
    """Parse a number in a header as an integer of at least 0; raise RequestError."""
    if not text:
        return default
    try:
        return max(0, int(float(text)))
    except (ValueError, OverflowError) as error:
        raise RequestError(name, repr(text[:40]), "a whole number") from error


def parse_token_usage(text: str) -> tuple[int, int]:
    """Parse the prompt tokens and the maximum of output tokens; raise RequestError."""
    if not text:
        return 0, 0
    prompt, _, output = text.partition(",")
    return parse_number(TOKEN_USAGE, prompt, 0), parse_number(TOKEN_USAGE, output, 0)


def parse_prompt_prefix(text: str) -> tuple[str, ...]:
    """Parse the ids of all parts of a prompt but the last, which is never shared."""
    return tuple(part.partition(":")[0].strip() for part in text.split(",")[:-1])


def parse_adapter(text: str) -> AdapterName | None:
    """Parse the model and adapter of a request, None if it names none."""
    if not text:
        return None
    model, _, adapter = text.partition("/")
    return AdapterName(model, adapter)


def parse_server_load(text: str) -> ReportedLoad:
    """Parse what a replica reports of its load, -1 running if unknown.

    The header is optional: not every service reports its load, and not every one that
    does names its slots and how long work takes, in percent of the usual time.
    """
    counts = [parse_count(part.strip()) for part in text.split(",", 4)[:4]]
    match counts:
        case [int(running), int(waiting), int(slots), int(percent)] if percent > 0:
            return ReportedLoad(running, waiting, slots, percent / 100, True)
        case [int(running), int(waiting), int(slots), *_]:
            return ReportedLoad(running, waiting, slots)
        case [int(running), int(waiting), *_]:
            return ReportedLoad(running, waiting)
        case _:
            return ReportedLoad()


def parse_server_limit(values: list[str]) -> float | None:
    """Parse a replica's rate limit: infinity if it names none, None if unreadable."""
    if not values:
        return math.inf
    limits = [float(value) for value in values if DECIMAL_NUMBER.fullmatch(value)]
    return min(limits, default=None)


def create_platform_wire_format() -> PlatformWireFormat:
    """Return the platform's wire format."""
    return PlatformWireFormat()
