"""Operator requests that change something."""

from __future__ import annotations

import typing as t
import uuid

from gevent.pool import Pool
from pydantic import Field
from result import Err
from result import Ok
from result import Result

from .adapterstore import AdapterStore
from .adapterstore import create_adapter_store
from .exceptions import CommitRejectedError
from .exceptions import CommitUnknownError
from .exceptions import ConflictError
from .exceptions import FilbertyardError
from .exceptions import InvalidChangeError
from .exceptions import KeyValueError
from .exceptions import RequestError
from .exceptions import SettingsError
from .exceptions import UpstreamError
from .hostsettings import StrictModel
from .hostsettings import validate_settings
from .operators import OperatorRequest
from .operators import OperatorResponse
from .operators import operator_route
from .settingscommits import AcceptedChange
from .settingscommits import ChangeRequest
from .settingscommits import CommitError
from .settingstree import MAX_REPORTED_FAULTS
from .settingstree import apply_changes
from .teamsettings import AdapterRow
from .teamsettings import Snapshot

if t.TYPE_CHECKING:
    from .host import EntryHost

# Adapters whose versions are listed concurrently from the adapter store.
STORE_CONCURRENCY = 8


class ChangeBody(StrictModel):
    """Author and reason of a change; the same `id` is never applied twice."""

    author: str = Field(min_length=1, max_length=200)
    reason: str = Field(min_length=1, max_length=1000)
    id: str = Field(default_factory=lambda: uuid.uuid4().hex, max_length=64)
    replace_damaged: bool = False
    check_store: bool = True


class CommitBody(ChangeBody):
    """A change by path; `base` is the revision that the author saw."""

    changes: dict[str, t.Any]
    base: int = -1


class RevertBody(ChangeBody):
    """A change to revert."""

    revision: int = Field(ge=1)


@operator_route("POST", "/operator/settings")
def commit_settings(host: EntryHost, request: OperatorRequest) -> OperatorResponse:
    """Commit a change of one subtree."""
    body = parse_body(request, CommitBody)
    return respond(commit(host, body, body.changes, body.base, 0))


@operator_route("POST", "/operator/settings/revert")
def revert_settings(host: EntryHost, request: OperatorRequest) -> OperatorResponse:
    """Commit a change that restores what an earlier change replaced."""
    body = parse_body(request, RevertBody)
    try:
        change = host.settings_store.find_change(body.revision)
    except KeyValueError as error:
        return respond(Err(CommitRejectedError(str(error), step="read log")))
    if change is None:
        raise RequestError(
            "revision", str(body.revision), "a revision that the log still holds"
        )
    return respond(commit(host, body, change.before, change.revision, change.revision))


def parse_body(request: OperatorRequest, model: type[t.Any]) -> t.Any:
    """Return the validated body; raise RequestError."""
    try:
        return validate_settings(request.body, model)
    except SettingsError as error:
        raise RequestError(error.path or "body", error.found, error.expected) from error


def commit(
    host: EntryHost,
    body: ChangeBody,
    changes: dict[str, t.Any],
    base: int,
    reverts: int,
) -> Result[AcceptedChange, CommitError]:
    """Check a change against the adapter store and commit it."""
    store = host.settings_store
    if body.check_store:
        adapter_store = create_adapter_store(host.settings.platform.adapter_store)
        try:
            check_versions(adapter_store, store.snapshot, changes)
        except SettingsError as error:
            return Err(InvalidChangeError([error]))
        except InvalidChangeError as error:
            return Err(error)
        except UpstreamError as error:
            detail = f"versions cannot be checked, nothing was written: {error}"
            return Err(CommitRejectedError(detail, step="check versions"))
    return store.commit(
        ChangeRequest(
            changes,
            body.author,
            body.reason,
            body.id,
            base,
            reverts,
            body.replace_damaged,
        )
    )


def check_versions(
    adapter_store: AdapterStore, old: Snapshot, changes: dict[str, t.Any]
) -> None:
    """Check that the adapter store has the versions that a change names.

    Raises SettingsError, InvalidChangeError or UpstreamError.
    """
    new = apply_changes(old, changes, old.revision + 1, "")
    wanted: dict[tuple[str, str], AdapterRow] = {}
    for name, team in new.teams.items():
        before = old.teams.get(name)
        for number, chunk in enumerate(team.chunks):
            known = before.chunks[number] if before is not None else {}
            if chunk is known:
                continue
            for adapter, row in chunk.items():
                if known.get(adapter) != row:
                    wanted[name, adapter] = row
    faults: list[SettingsError] = []

    def check(key: tuple[str, str]) -> FilbertyardError | None:
        match adapter_store.versions(*key):
            case Err(error):
                return error
            case Ok(versions):
                path = f"teams/{key[0]}/adapters/{key[1]}"
                faults.extend(missing_versions(path, wanted[key], versions))
        return None

    for problem in Pool(STORE_CONCURRENCY).imap_unordered(check, wanted):
        if problem is not None:
            raise problem
    if faults:
        faults.sort(key=lambda fault: fault.path)
        raise InvalidChangeError(faults[:MAX_REPORTED_FAULTS])


def missing_versions(
    path: str, row: AdapterRow, versions: list[str]
) -> t.Iterator[SettingsError]:
    """Yield a fault for each version that the store does not have."""
    expected = f"a version that the store has: {', '.join(versions) or 'none'}"
    if row.version not in versions:
        yield SettingsError(f"{path}/version", repr(row.version), expected)
    for version in row.keep:
        if version not in versions:
            yield SettingsError(f"{path}/keep", repr(version), expected)


def respond(result: Result[AcceptedChange, CommitError]) -> OperatorResponse:
    """Return the response to a change; `outcome` says whether it was applied."""
    match result:
        case Ok(accepted):
            value = {
                "outcome": "applied",
                "revision": accepted.revision,
                "id": accepted.id,
                "over": accepted.intervening_revisions,
            }
            return OperatorResponse(value)
        case Err(InvalidChangeError() as error):
            faults = [
                {"path": f.path, "found": f.found, "expected": f.expected}
                for f in error.faults
            ]
            value = {"outcome": "not_applied", "faults": faults}
            return OperatorResponse({"error": error.message, **value}, 422)
        case Err(ConflictError() as error):
            value = {"outcome": "not_applied", "changed": error.changed}
            return OperatorResponse({"error": error.message, **value}, 409)
        case Err(error):
            unknown = isinstance(error, CommitUnknownError)
            outcome = "unknown" if unknown else "not_applied"
            return OperatorResponse({"error": error.message, "outcome": outcome}, 503)
