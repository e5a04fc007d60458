"""Decide whether a caller may send a request, by its API key."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Literal

from .types import Configuration
from .types import Route
from .types import Workspace

# allowed: the request may run; unknown_key: the newest configuration does not hold its
# key; unconfirmed: a newer configuration than this host's may decide otherwise.
Verdict = Literal["allowed", "unknown_key", "unconfirmed"]

# An unknown key is rejected only if the configuration was the newest one this long ago.
# Keys may take effect some seconds after they were added; half a second leaves most of
# that for their way to this host, and bounds the store's calls to two a second while
# unknown keys arrive without end.
UNKNOWN_KEY_MAX_AGE_S = 0.5


@dataclass(frozen=True, slots=True)
class Access:
    """Decision on one request, with the workspace that its key belongs to.

    If `verdict` is `unconfirmed`, a configuration that is confirmed to have been the
    newest one within `max_age_s` decides.
    """

    verdict: Verdict
    workspace: Workspace | None = None
    max_age_s: float = math.inf


@dataclass(frozen=True, slots=True)
class AccessPolicy:
    """How long keys are accepted by a host that may have missed their removal.

    A host accepts known keys while its configuration was confirmed to be the newest one
    within `max_unconfirmed_s`, which is infinite where an outage must not stop callers.
    """

    max_unconfirmed_s: float = math.inf

    def decide(
        self,
        configuration: Configuration,
        route: Route,
        key_digest: bytes,
        age_s: float,
    ) -> Access:
        """Decide on a request; `age_s` is the time since the last confirmation."""
        if not configuration.has_workspaces:
            return Access("allowed")
        workspace = configuration.workspaces.get(key_digest)
        if route.is_public:
            return Access("allowed", workspace)
        max_age_s = (
            UNKNOWN_KEY_MAX_AGE_S if workspace is None else self.max_unconfirmed_s
        )
        if age_s > max_age_s:
            return Access("unconfirmed", workspace, max_age_s)
        if workspace is None:
            return Access("unknown_key")
        return Access("allowed", workspace)


def create_access_policy(
    *, rejects_unconfirmed: bool, max_unconfirmed_s: float
) -> AccessPolicy:
    """Return the policy for a deployment's settings."""
    return AccessPolicy(max_unconfirmed_s if rejects_unconfirmed else math.inf)
