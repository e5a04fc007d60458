"""Lists of live hosts that hubs send, in full only while they change or are due."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from .messages import Digest
from .messages import Roster

# Unit of the ages in a roster; the maximum also stands for hosts silent for longer.
AGE_UNIT_S = 0.1
MAX_AGE_UNITS = 255


class RosterWriter:
    """Write the rosters of one kind of recipient, `full_interval_s` apart in full."""

    def __init__(self, zone: str, full_interval_s: float) -> None:
        self.zone = zone
        self.full_interval_s = full_interval_s
        self.rows: list[list[Any]] = []
        self.recipients: set[str] = set()
        self.number = 0
        self.full_at = -math.inf

    def create(
        self,
        own: Digest,
        seen: Mapping[str, tuple[Digest, float]],
        recipients: set[str],
        now: float,
    ) -> Roster:
        """Return the hosts seen, each with its last heartbeat, and their ages.

        The list itself is left out while it and the recipients are unchanged, until it
        is due again.
        """
        found = [seen[key] for key in sorted(seen)]
        rows = [identity_fields(own)]
        rows += [identity_fields(digest) for digest, _ in found]
        is_new = rows != self.rows
        is_due = now - self.full_at >= self.full_interval_s
        if is_new or is_due or recipients - self.recipients:
            self.number += is_new
            self.rows = rows
            self.full_at = now
        self.recipients = recipients
        ages = [0] + [
            min(MAX_AGE_UNITS, math.ceil((now - at) / AGE_UNIT_S)) for _, at in found
        ]
        is_full = self.full_at == now
        return Roster(
            self.number,
            rows if is_full else [],
            bytes(ages),
            own.revisions,
            self.zone,
            own.confirmed_age_s,
        )


class RosterReader:
    """Read rosters; one without its list refers to the last full one of its sender."""

    def __init__(self) -> None:
        self.numbers: dict[tuple[str, str], int] = {}
        self.lists: dict[tuple[str, str], list[Digest]] = {}

    def read(self, peer: str, roster: Roster) -> list[tuple[Digest, float]]:
        """Return the hosts of a roster and the ages in seconds of their heartbeats.

        It is empty if the list is not known: the sender sends it again in time.
        """
        key = peer, roster.zone
        if roster.rows:
            self.numbers[key] = roster.number
            self.lists[key] = [create_digest(row) for row in roster.rows]
        if self.numbers.get(key) != roster.number:
            return []
        return [
            (digest, age * AGE_UNIT_S)
            for digest, age in zip(self.lists[key], roster.ages, strict=True)
            if age < MAX_AGE_UNITS
        ]

    def forget(self, peer: str) -> None:
        """Forget the rosters of a host that is gone."""
        for key in [key for key in self.numbers if key[0] == peer]:
            del self.numbers[key]
            del self.lists[key]


def create_digest(row: list[Any]) -> Digest:
    """Return the digest of a row, without revisions."""
    host, instance, callers, zone, is_leaving, is_connected = row
    return Digest(host, instance, callers, zone, is_leaving, is_connected, {})


def identity_fields(digest: Digest) -> list[Any]:
    """Return the fields of a digest that do not change from one to the next."""
    return [
        digest.host,
        digest.instance,
        digest.callers,
        digest.zone,
        digest.is_leaving,
        digest.is_connected,
    ]
