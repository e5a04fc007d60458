"""Commits of settings changes by compare-and-swap."""

from __future__ import annotations

import time
import uuid
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import gevent
from result import Err
from result import Ok
from result import Result

from .exceptions import CommitRejectedError
from .exceptions import CommitUnknownError
from .exceptions import ConflictError
from .exceptions import InvalidChangeError
from .exceptions import KeyValueUnavailableError
from .exceptions import SettingsError
from .keyvalue import Compare
from .settingslayout import HEAD_KEY
from .settingslayout import Head
from .settingslayout import change_writes
from .settingslayout import check_write_sizes
from .settingstree import Change
from .settingstree import apply_changes
from .settingstree import check_snapshot
from .settingstree import find_overlaps
from .settingstree import find_subtree
from .settingstree import read_path
from .teamsettings import Snapshot

if TYPE_CHECKING:
    from .settingsstore import KeyValueFault
    from .settingsstore import SettingsStore

# A commit is retried this long if the service is unavailable or other writers win.
COMMIT_TIMEOUT_S = 8.0

RETRY_INTERVAL_S = 0.2


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change that an operator requests.

    `base` is the revision that the operator saw, -1 for the newest. The same `id` is
    never applied twice. `replace_damaged` overwrites an unreadable value that no
    commit wrote.
    """

    changes: dict[str, Any]
    author: str
    reason: str
    id: str = field(default_factory=lambda: uuid.uuid4().hex)
    base: int = -1
    reverts: int = 0
    replace_damaged: bool = False


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """An accepted change, and the revisions between the operator's base and it."""

    revision: int
    id: str
    intervening_revisions: list[int] = field(default_factory=list)


CommitError = (
    InvalidChangeError | ConflictError | CommitRejectedError | CommitUnknownError
)


class CommitOperation:
    """Commit of one change to the key-value service."""

    def __init__(self, store: SettingsStore, request: ChangeRequest) -> None:
        self.store = store
        self.request = request
        self.base = request.base
        self.sent = False
        self.detail = ""

    def run(self) -> Result[AcceptedChange, CommitError]:
        """Retry until the change is accepted or rejected, or the timeout expires."""
        end = time.monotonic() + self.store.commit_timeout_s
        while True:
            try:
                outcome = self.attempt()
                if outcome is not None:
                    return outcome
            except KeyValueUnavailableError as error:
                self.detail = str(error)
            if time.monotonic() >= end:
                return Err(self.timeout_error())
            gevent.sleep(min(RETRY_INTERVAL_S, self.store.commit_timeout_s / 4))

    def timeout_error(self) -> CommitRejectedError | CommitUnknownError:
        """Return the error of a commit that timed out."""
        tried = f"the change was tried for {self.store.commit_timeout_s:g} s"
        if self.sent:
            return CommitUnknownError(
                f"{tried}; change {self.request.id} may have been applied: "
                f"{self.detail}",
                step="commit settings",
            )
        return CommitRejectedError(
            f"{tried}; nothing was written: {self.detail}", step="commit settings"
        )

    def attempt(self) -> Result[AcceptedChange, CommitError] | None:
        """Try once; return None if the commit must be retried."""
        store = self.store
        # A host that missed changes does not notice that the service was restored to
        # an older state, and would commit a second history there.
        if not store.poll_peers():
            self.detail = "no other live host answered; the service may be out of date"
            return None
        store.refresh()
        applied_revision = store.recent_revisions.get(self.request.id)
        if applied_revision is not None:
            return Ok(
                AcceptedChange(
                    applied_revision,
                    self.request.id,
                    self.find_intervening_revisions(applied_revision),
                )
            )
        if store.fault is not None:
            fault_error = self.error_for_fault(store.fault)
            if fault_error is not None:
                return Err(fault_error)
        if self.base < 0:
            self.base = store.snapshot.revision
        conflict = self.find_conflict()
        if conflict is not None:
            return Err(conflict)
        try:
            change, snapshot = self.prepare()
            writes = change_writes(snapshot, change)
            check_write_sizes(writes)
        except SettingsError as error:
            return Err(InvalidChangeError([error]))
        except InvalidChangeError as error:
            return Err(error)
        self.sent = True
        result = store.key_value.txn(
            [Compare(HEAD_KEY, store.head.mod_revision)], writes
        )
        if not result.succeeded:
            store.counters["races"] += 1
            self.detail = "other writers came first each time"
            return None
        store.counters["commits"] += 1
        intervening_revisions = self.find_intervening_revisions(change.revision)
        store.head = Head(change.revision, change.id, result.revision)
        store.activate(snapshot, [change])
        store.confirmed_at = time.monotonic()
        return Ok(AcceptedChange(change.revision, change.id, intervening_revisions))

    def error_for_fault(self, fault: KeyValueFault) -> CommitError | None:
        """Return the error for a fault, None if the change replaces damaged values."""
        store = self.store
        if fault.kind == "damaged" and self.request.replace_damaged and store.complete:
            return None
        help_text = {
            "older": "writes are rejected until a host has written the newer "
            "settings back",
            "damaged": "the last good settings stay in force; a change with "
            "--replace-damaged overwrites the damaged value",
        }.get(fault.kind, "writes are rejected")
        message = f"{fault.detail}; {help_text}"
        if self.sent:
            return CommitUnknownError(
                f"change {self.request.id} may have been applied: {message}",
                step="commit settings",
            )
        return CommitRejectedError(message, step="commit settings")

    def prepare(self) -> tuple[Change, Snapshot]:
        """Return the log entry and the state after it."""
        store, request = self.store, self.request
        old = store.snapshot
        revision = max(store.head.revision, old.revision) + 1
        subtree = find_subtree(request.changes)
        snapshot = apply_changes(old, request.changes, revision, request.id)
        check_snapshot(snapshot, subtree)
        change = Change(
            revision=revision,
            id=request.id,
            base_id=old.change_id,
            base=old.revision,
            author=request.author,
            time=time.time(),
            reason=request.reason,
            changes=request.changes,
            before={path: read_path(old, path) for path in request.changes},
            reverts=request.reverts,
        )
        return change, snapshot

    def find_intervening_revisions(self, revision: int) -> list[int]:
        """Return the revisions between the operator's base and `revision`."""
        if self.base < 0:
            return []
        return [r for r in self.store.recent_log if self.base < r < revision]

    def find_conflict(self) -> ConflictError | None:
        """Return the changes since the base that overlap with this one, if any."""
        store = self.store
        if self.base >= store.snapshot.revision:
            return None
        changed: list[dict[str, Any]] = []
        revision = store.snapshot.revision
        while revision > self.base:
            try:
                change = store.find_change(revision)
            except SettingsError:
                change = None
            if change is None:
                return ConflictError(
                    f"the log no longer holds the changes since revision {self.base}; "
                    f"revision {store.snapshot.revision} is in force",
                    [],
                )
            paths = find_overlaps(self.request.changes, change.changes)
            if paths:
                changed.insert(0, describe_change(change, paths))
            revision = change.base
        if not changed:
            return None
        shown = "; ".join(
            f"revision {c['revision']} by {c['author']} ({c['reason']}) changed "
            f"{', '.join(c['changes'])}"
            for c in changed
        )
        return ConflictError(f"changed since revision {self.base}: {shown}", changed)


def describe_change(change: Change, paths: Iterable[str]) -> dict[str, Any]:
    """Return a change with only the given ones of its paths."""
    return {
        "revision": change.revision,
        "author": change.author,
        "time": change.time,
        "reason": change.reason,
        "changes": {path: change.changes[path] for path in paths},
    }
