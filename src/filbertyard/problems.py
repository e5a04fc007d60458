"""Problem details (RFC 9457) for callers."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from typing import Literal

Execution = Literal["not_run", "unknown"]

CONTENT_TYPE = "application/problem+json"


@dataclass(slots=True)
class ProblemDetails:
    """One error for a caller; `retry_after_s` is 0 if waiting does not help."""

    status: int
    code: str
    detail: str
    execution: Execution
    request_id: str
    step: str = ""
    peer: str = ""
    retry_after_s: float = 0.0

    def to_json(self) -> dict[str, Any]:
        """Return the members and an `error` object in the OpenAI format."""
        return {
            "type": "about:blank",
            "title": HTTPStatus(self.status).phrase,
            "status": self.status,
            "code": self.code,
            "detail": self.detail,
            "execution": self.execution,
            "step": self.step,
            "peer": self.peer,
            "request_id": self.request_id,
            "error": {"message": self.detail, "type": self.code, "code": self.code},
        }

    def body(self) -> bytes:
        """Return the response body."""
        return json.dumps(self.to_json()).encode()

    def headers(self) -> list[tuple[str, str]]:
        """Return the response headers."""
        headers = [
            ("Content-Type", CONTENT_TYPE),
        ]
        if self.request_id:
            headers.append(("X-Request-Id", self.request_id))
        if self.retry_after_s > 0:
            headers.append(("Retry-After", str(math.ceil(self.retry_after_s))))
        return headers

    def status_line(self) -> str:
        """Return the WSGI status line."""
        return f"{self.status} {HTTPStatus(self.status).phrase}"
