"""Stand-in for the rate-limited adapter store."""

from __future__ import annotations

import time
from collections.abc import Iterable

import gevent

from .web import Environ
from .web import Standin
from .web import StartResponse
from .web import send_json

# A delivery takes MIN_DELIVERY_S with up to MAX_UNDELAYED_DELIVERIES in flight.
# With more, the time grows in proportion to their number.
MIN_DELIVERY_S = 0.25
MAX_UNDELAYED_DELIVERIES = 8


class AdapterStoreStandin(Standin):
    """A store that lists adapters and delivers weights at a limited rate."""

    def __init__(
        self, rate_per_s: float, versions: dict[str, list[str]], port: int = 0
    ) -> None:
        self.rate_per_s = rate_per_s
        self.versions = versions
        self.tokens = 1.0
        self.refilled_at = time.monotonic()
        self.in_flight = 0
        self.highest_in_flight = 0
        self.loads = 0
        self.rejected = 0
        self.failing: set[str] = set()
        super().__init__(port)

    def application(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer listings and deliveries of weights."""
        parts = environ["PATH_INFO"].strip("/").split("/")
        if parts[:1] != ["adapters"] or len(parts) not in (3, 5):
            return send_json(start_response, {"error": "not found"}, 404)
        name = "/".join(parts[1:3])
        versions = self.versions.get(name)
        if versions is None:
            return send_json(start_response, {"error": "unknown adapter"}, 404)
        if len(parts) == 3:
            return send_json(start_response, {"adapter": name, "versions": versions})
        if parts[3] not in versions or parts[4] != "weights":
            return send_json(start_response, {"error": "unknown version"}, 404)
        return self.deliver_weights(f"{name}@{parts[3]}", start_response)

    def deliver_weights(
        self, model: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Deliver weights, slower when many deliveries are in flight."""
        if not self.take_token():
            self.rejected += 1
            return send_json(start_response, {"error": "store_rate"}, 429)
        self.in_flight += 1
        self.highest_in_flight = max(self.highest_in_flight, self.in_flight)
        try:
            gevent.sleep(
                MIN_DELIVERY_S * max(1.0, self.in_flight / MAX_UNDELAYED_DELIVERIES)
            )
        finally:
            self.in_flight -= 1
        if model in self.failing:
            return send_json(start_response, {"error": "load failed"}, 502)
        self.loads += 1
        return send_json(start_response, {"model": model})

    def take_token(self) -> bool:
        """Take a token from the rate limit's bucket; return False if it is empty."""
        now = time.monotonic()
        grown = self.tokens + (now - self.refilled_at) * self.rate_per_s
        self.tokens = min(max(1.0, self.rate_per_s), grown)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
