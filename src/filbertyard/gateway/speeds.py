"""Speed of one engine, as its responses report it.

It covers replicas that differ in speed by a factor of three, and that other programs on
the same machine slow down for a second at a time. A prompt that a fast engine reads
between two events delays the events of all streams of a slow engine too long.
"""

from __future__ import annotations

import math

# Half-life of a reported slowdown: replicas report changes several times a second.
SLOWDOWN_HALF_LIFE_S = 0.25

# A prompt that waits for a slow engine is considered again after this time.
SLOW_RETRY_S = 0.1

# Weight of the newest report in the usual slowdown of an engine, once there are enough.
USUAL_EWMA_WEIGHT = 0.05

# Before its first requests an engine is asked for its slowdown this many times.
START_PROBES = 5
START_PROBE_INTERVAL_S = 0.7

# An engine is slow now if its slowdown is this many times the usual one.
SLOW_RATIO = 1.2

# The highest slowdown of an engine counts at least this long.
PEAK_WINDOW_S = 10.0

# A prompt that takes longer than this fraction of the maximum gap between two events is
# not started while the engine is slow.
HOLD_GAP_FRACTION = 0.6

# A prompt is long if its prefill may take this fraction of the maximum gap.
PROMPT_GAP_FRACTION = 0.5

# Prompts that were started but not read yet may use this fraction together, unless
# there is only one; running streams get an event in between.
UNREAD_GAP_FRACTION = 0.25

# Added to the estimate of a replica whose running streams may get a late event from the
# prefill of the prompt while it is slow.
LONG_PROMPT_PENALTY_S = 0.3

# A request counts as being prefilled at most this long: the report of its first event
# may be lost.
MAX_PREFILL_S = 1.5


class EngineSpeed:
    """How fast an engine works now.

    Only the speed of an engine that reports a slowdown is known; what is derived from
    it is neutral for the others.
    """

    def __init__(self) -> None:
        self.slowdown = 1.0
        self.usual = 1.0
        self.reports = 0
        self.peak = 1.0
        self.next_peak = 1.0
        self.peak_at = 0.0
        self.reported_at = -math.inf

    @property
    def is_reported(self) -> bool:
        """Tell if the engine has reported a slowdown."""
        return self.reported_at > -math.inf

    def record_slowdown(self, slowdown: float, now: float) -> None:
        """Record a reported slowdown; 0 if a response stated none."""
        if slowdown <= 0:
            return
        if not self.is_reported:
            self.usual = self.peak = self.next_peak = slowdown
            self.peak_at = now
        self.slowdown = slowdown
        self.reported_at = now
        self.reports += 1
        weight = max(USUAL_EWMA_WEIGHT, 1.0 / self.reports)
        self.usual += weight * (slowdown - self.usual)
        if now - self.peak_at > PEAK_WINDOW_S:
            self.peak, self.next_peak, self.peak_at = self.next_peak, slowdown, now
        self.next_peak = max(self.next_peak, slowdown)
        self.peak = max(self.peak, slowdown)

    def ratio(self, now: float) -> float:
        """Return the expected slowdown as a multiple of the usual one."""
        return aged_ratio(self.slowdown / self.usual, now - self.reported_at)

    def tokens_at_peak(self, seconds: float, token_cost_s: float) -> int:
        """Return the prompt tokens that are read in a time while the engine is slow.

        `token_cost_s` is the prefill time of a token at a slowdown of 1.
        """
        return int(seconds / (token_cost_s * self.peak))


def aged_ratio(ratio: float, age_s: float) -> float:
    """Return a slowdown, as a multiple of the usual one, some time after its report."""
    return float(1.0 + (ratio - 1.0) * 0.5 ** (max(0.0, age_s) / SLOWDOWN_HALF_LIFE_S))
