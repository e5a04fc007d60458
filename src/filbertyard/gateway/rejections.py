"""Log documents that cannot be used: once for each cause, and a limited number."""

from __future__ import annotations

import logging

from ..logs import log_event

logger = logging.getLogger(__name__)

# Keys whose rejection is logged; a writer of more of them is found by the first ones.
MAX_LOGGED_KEYS = 256


class DocumentRejections:
    """The keys whose newest value was rejected, each with the cause."""

    def __init__(self) -> None:
        self.causes: dict[str, str] = {}
        self.unlogged = 0
        self.faults = 0

    def record_fault(self, key: str, error: Exception) -> None:
        """Log that this host's own code failed on a document."""
        self.faults += 1
        self.record(key, repr(error), level=logging.ERROR)

    def record(self, key: str, cause: str, *, level: int = logging.WARNING) -> None:
        """Log a rejection unless the key was rejected for the same cause before."""
        if self.causes.get(key) == cause:
            return
        if key not in self.causes and len(self.causes) >= MAX_LOGGED_KEYS:
            self.unlogged += 1
            return
        self.causes[key] = cause
        log_event(
            logger,
            "document_rejected",
            level=level,
            key=key,
            error=cause,
            unlogged=self.unlogged or None,
        )

    def clear(self, key: str) -> None:
        """Forget a key whose value can be used again or is gone."""
        self.causes.pop(key, None)
