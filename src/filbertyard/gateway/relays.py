"""Which hosts follow the store for their availability zone.

Load pattern: every call of the store is counted, and its rates grow more slowly than
the fleet. Two hosts of a zone follow the feeds and pass the changes on; a host without
a connected relay in its zone follows the store itself.
"""

from __future__ import annotations

from collections.abc import Mapping

import xxhash

# A second relay covers the time until the loss of the first one shows.
RELAYS_PER_ZONE = 2


def relays(hosts: Mapping[str, bool]) -> list[str]:
    """Return the relays among the live hosts of a zone."""
    ordered = sorted(hosts, key=lambda host: xxhash.xxh64_intdigest(f"relay|{host}"))
    return ordered[:RELAYS_PER_ZONE]


def follows_store(host: str, others: Mapping[str, bool]) -> bool:
    """Tell if a host follows the store itself.

    `others` are the live hosts of its zone; the value tells if they are connected to
    the store.
    """
    chosen = relays({**others, host: True})
    return host in chosen or not any(others[relay] for relay in chosen)
