"""Errors of filbertyard, which name the step and the peer that failed."""

from typing import Any


class FilbertyardError(Exception):
    """Base class of all errors that this package raises or returns."""

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        location = " ".join(part for part in (self.step, self.peer) if part)
        return f"{self.message} (at {location})" if location else self.message


class SettingsError(FilbertyardError):
    """An invalid setting, with its location and the expected value."""

    def __init__(
        self,
        path: str,
        found: str,
        expected: str,
        *,
        file: str = "",
        line: int = 0,
    ) -> None:
        location = f"{file}:{line}: " if file else ""
        super().__init__(
            f"{location}{path or '(top level)'}: found {found}, expected {expected}",
            step="settings",
        )
        self.path = path
        self.found = found
        self.expected = expected
        self.file = file
        self.line = line


class InvalidChangeError(FilbertyardError):
    """A settings change that fails validation, with every fault found."""

    def __init__(self, faults: list[SettingsError]) -> None:
        super().__init__(
            "; ".join(fault.message for fault in faults), step="validate settings"
        )
        self.faults = faults


class ConflictError(FilbertyardError):
    """A settings change that lost to concurrent ones, listed in `changed`."""

    def __init__(self, message: str, changed: list[dict[str, Any]]) -> None:
        super().__init__(message, step="commit settings")
        self.changed = changed


class CommitRejectedError(FilbertyardError):
    """A settings change that was certainly not applied."""


class CommitUnknownError(FilbertyardError):
    """A settings change that may have been applied; its id can be looked up later."""


class UnknownNameError(FilbertyardError):
    """A call that names a team, adapter, version, service or rank not in force."""

    def __init__(self, kind: str, name: str, expected: str) -> None:
        super().__init__(f"{kind} {name!r} does not exist; {expected}", step="resolve")
        self.kind = kind
        self.name = name


class RequestError(FilbertyardError):
    """A malformed request, with the invalid field."""

    def __init__(self, field: str, found: str, expected: str) -> None:
        super().__init__(
            f"{field}: found {found}, expected {expected}", step="parse request"
        )
        self.field = field


class BodyTooLargeError(RequestError):
    """A request body above the size limit."""


class BodyTimeoutError(RequestError):
    """A request body that did not arrive in time."""


class BufferLimitError(FilbertyardError):
    """A body that was given up because this process holds too much of others."""


class CallerDisconnectedError(OSError):
    """A caller that disconnected or stopped reading; the call is cancelled."""


class KeyValueError(FilbertyardError):
    """A failed call to the key-value service."""


class KeyValueUnavailableError(KeyValueError):
    """No usable response from the key-value service; a write may have taken effect."""


class PeerError(FilbertyardError):
    """A failed exchange with another entry host."""

    def __init__(self, message: str, *, step: str, peer: str, sent: bool) -> None:
        super().__init__(message, step=step, peer=peer)
        self.sent = sent


class FrameError(FilbertyardError):
    """A frame between hosts that is malformed, too large or not authenticated."""


class UpstreamError(FilbertyardError):
    """A failed exchange with an upstream; `sent` tells if it may have been received."""

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str,
        sent: bool,
        status: int = 0,
        code: str = "",
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.sent = sent
        self.status = status
        self.code = code


class AdmissionWithdrawnError(FilbertyardError):
    """A request whose wait for admission its host has ended; the message says why."""


class NotOwnerError(FilbertyardError):
    """An order or dispatch attempted without a valid host lease or ownership."""


class LeaseEndedError(KeyValueError):
    """A lease of the key-value service that no longer exists."""


class RevisionCompactedError(KeyValueError):
    """A watch from a revision older than the history that the service keeps."""


class KeyValueRejectedError(KeyValueUnavailableError):
    """A call that the key-value service rejected; it certainly had no effect."""


class DocumentError(FilbertyardError):
    """A document of the platform that cannot be decoded, with its key and field."""

    def __init__(self, key: str, detail: str) -> None:
        super().__init__(f"{key}: {detail}", step="decode", peer=key)
        self.detail = detail
