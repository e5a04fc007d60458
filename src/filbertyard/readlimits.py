"""Limits on what other processes make this one do while it reads what they send."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from types import TracebackType

import gevent
from gevent.lock import BoundedSemaphore

from .exceptions import BufferLimitError

# A greenlet that reads without waiting gives way to the others after this time.
MAX_SLICE_S = 0.005

# All greenlets that read without waiting get this share of the processor together.
READ_SHARE = 0.25

# Longest time that one greenlet keeps the others of them waiting.
MAX_PAUSE_S = 0.1

# Memory for bodies of responses, and for those of requests, in one process. The largest
# body that is read as a whole has 16 MiB.
MAX_BUFFERED_BYTES = 17 * 1024 * 1024

# Memory for heads, bodies and unread responses together. The smallest hosts have
# 160 MB, of which the process itself takes a third and its connections another one.
MAX_HELD_BYTES = 40 * 1024 * 1024

# Memory for the heads of requests, until their responses end. As many connections as a
# gateway host takes, each with a head of ten lines and 1 KB, need 11 MB.
MAX_HELD_HEADS_BYTES = 16 * 1024 * 1024

# Given-up memory is in use until the greenlet that holds it has run. While there is
# more than this of it, others wait for so many polls before they take memory.
MAX_UNRELEASED_BYTES = 1024 * 1024
RELEASE_POLL_S = 0.001
MAX_RELEASE_POLLS = 20

# Memory for responses that their callers do not read as fast as they are sent.
MAX_UNREAD_BYTES = 4 * 1024 * 1024

# Processor time of a small request. Connections that always have another one ready get
# `READ_SHARE` of the processor together, one request of one of them at a time.
PIPELINED_REQUEST_S = 0.002


class ReadScheduler:
    """Keep greenlets whose data arrive faster than they are read from using all time.

    gevent switches to another greenlet only when a socket has nothing to read or no
    room to write, which a sender without end never lets happen.
    """

    def __init__(self) -> None:
        self.turn = BoundedSemaphore()

    def pause(self, used_s: float, limit_s: float | None) -> None:
        """Wait in proportion to the time used, one greenlet after the other.

        Wait no longer than `limit_s`, after which the reader's deadline passes.
        """
        pause_s = min(used_s / READ_SHARE, MAX_PAUSE_S)
        if limit_s is not None:
            pause_s = max(0.0, min(pause_s, limit_s))
        if not self.turn.acquire(timeout=limit_s):
            return
        try:
            gevent.sleep(pause_s)
        finally:
            self.turn.release()
        # The next one in line gets the turn, which this one could take again at once.
        gevent.sleep(0)


# The processor is shared by all connections of the process.
SCHEDULER = ReadScheduler()

# Turns of connections whose next request has arrived before the last response.
PIPELINES = ReadScheduler()


class ReadTurn:
    """Time for which one greenlet has read without waiting."""

    def __init__(self) -> None:
        self.iteration = -1
        self.began = 0.0

    def check(self, deadline: float | None = None) -> None:
        """Let other greenlets run if this one has not waited for long.

        Call it before each read. `deadline` on the monotonic clock ends the wait.
        """
        now = time.monotonic()
        # The event loop has made another iteration if this greenlet has waited.
        iteration = gevent.get_hub().loop.iteration
        if iteration != self.iteration:
            self.iteration, self.began = iteration, now
            return
        used_s = now - self.began
        if used_s < MAX_SLICE_S:
            return
        limit_s = None if deadline is None else max(0.0, deadline - now)
        SCHEDULER.pause(used_s, limit_s)


class Reservation:
    """Memory of one body; `on_give_up` ends its transfer to free the memory.

    It returns true if the memory is free by then, else its holder must release it soon.
    """

    def __init__(self, pool: BufferPool, on_give_up: Callable[[], bool | None]) -> None:
        self.pool = pool
        self.on_give_up = on_give_up
        self.size = 0
        self.unreleased = 0
        self.is_given_up = False

    def __enter__(self) -> Reservation:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()

    def resize(self, size: int) -> None:
        """Record the size received so far; raise BufferLimitError if it is too much."""
        if not self.is_given_up:
            self.count(size)
            self.pool.give_up_largest()
            self.pool.budget.await_release()
        if self.is_given_up:
            raise BufferLimitError(
                f"bodies of this process exceed {self.pool.max_bytes} bytes",
                step="buffer body",
                peer="",
            )

    def give_up(self) -> None:
        """End the transfer; its holder releases the memory if it is not free yet."""
        size = self.size
        self.pool.receiving.discard(self)
        self.count(0)
        self.is_given_up = True
        if not self.on_give_up():
            self.unreleased = size
            self.pool.budget.unreleased_bytes += size

    def keep(self) -> None:
        """Record that the body is complete and stays until it is released."""
        self.pool.receiving.discard(self)

    def release(self) -> None:
        """Return the memory to the pool."""
        self.pool.receiving.discard(self)
        self.count(0)
        self.pool.budget.unreleased_bytes -= self.unreleased
        self.unreleased = 0

    def count(self, size: int) -> None:
        """Change the size that is counted."""
        self.pool.used_bytes += size - self.size
        self.pool.budget.used_bytes += size - self.size
        self.size = size


class MemoryBudget:
    """Limit on the memory of several pools together."""

    def __init__(self, max_bytes: float = math.inf) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.unreleased_bytes = 0
        self.pools: list[BufferPool] = []

    def await_release(self) -> None:
        """Wait a little while much of what was given up is still held."""
        for _ in range(MAX_RELEASE_POLLS):
            if self.unreleased_bytes <= MAX_UNRELEASED_BYTES:
                return
            gevent.sleep(RELEASE_POLL_S)

    def give_up_largest(self) -> None:
        """Give up what is largest in any pool until the rest fits."""
        while self.used_bytes > self.max_bytes:
            found = [pool.largest() for pool in self.pools]
            largest = max(
                (item for item in found if item is not None),
                key=lambda item: item.size,
                default=None,
            )
            if largest is None:
                return
            largest.give_up()


class BufferPool:
    """Memory for bodies that must be complete before they are used.

    A limit on each body bounds no process that receives many. When all together exceed
    `max_bytes`, the largest that is still being received is given up, so that bodies of
    the usual size get through beside some without end. `spared` of them are never given
    up, whatever their size.
    """

    def __init__(
        self, max_bytes: int, budget: MemoryBudget | None = None, spared: int = 0
    ) -> None:
        self.max_bytes = max_bytes
        self.spared = spared
        self.budget = budget or MemoryBudget()
        self.budget.pools.append(self)
        self.used_bytes = 0
        self.receiving: set[Reservation] = set()

    def reserve(self, on_give_up: Callable[[], bool | None]) -> Reservation:
        """Return a reservation without memory, for a body that begins."""
        reservation = Reservation(self, on_give_up)
        self.receiving.add(reservation)
        return reservation

    def largest(self) -> Reservation | None:
        """Return the largest that may be given up, None if there is none."""
        if len(self.receiving) <= self.spared:
            return None
        return max(self.receiving, key=lambda item: item.size)

    def give_up_largest(self) -> None:
        """Give up bodies that are being received until the others fit."""
        while self.used_bytes > self.max_bytes:
            largest = self.largest()
            if largest is None:
                break
            largest.give_up()
        self.budget.give_up_largest()


HELD = MemoryBudget(MAX_HELD_BYTES)
RESPONSE_BODIES = BufferPool(MAX_BUFFERED_BYTES, HELD)
REQUEST_BODIES = BufferPool(MAX_BUFFERED_BYTES, HELD)
REQUEST_HEADS = BufferPool(MAX_HELD_HEADS_BYTES, HELD)

# One caller that reads slowly may hold a response of any size.
UNREAD_RESPONSES = BufferPool(MAX_UNREAD_BYTES, HELD, spared=1)

# Parts of responses that other hosts have relayed and nobody has taken yet.
QUEUED_REPLIES = BufferPool(MAX_BUFFERED_BYTES, HELD)
