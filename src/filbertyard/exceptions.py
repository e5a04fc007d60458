"""Errors of filbertyard; each one names the step and the peer at which it arose."""

from typing import Any


class FilbertyardError(Exception):
    """Base class of all errors that this package raises or returns."""

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        place = " ".join(part for part in (self.step, self.peer) if part)
        return f"{self.message} (at {place})" if place else self.message


class SettingsError(FilbertyardError):
    """A setting that cannot be used, with its place and what was expected."""

    def __init__(
        self,
        path: str,
        found: str,
        expected: str,
        *,
        file: str = "",
        line: int = 0,
    ) -> None:
        place = f"{file}:{line}: " if file else ""
        super().__init__(
            f"{place}{path or '(top level)'}: found {found}, expected {expected}",
            step="settings",
        )
        self.path = path
        self.found = found
        self.expected = expected
        self.file = file
        self.line = line


class InvalidChangeError(FilbertyardError):
    """A change of settings that fails validation, with every fault found."""

    def __init__(self, faults: list[SettingsError]) -> None:
        super().__init__(
            "; ".join(fault.message for fault in faults), step="validate settings"
        )
        self.faults = faults


class ConflictError(FilbertyardError):
    """A change of settings that lost a race; `changed` describes what won."""

    def __init__(self, message: str, changed: list[dict[str, Any]]) -> None:
        super().__init__(message, step="commit settings")
        self.changed = changed


class CommitRejectedError(FilbertyardError):
    """A change of settings that was certainly not applied."""


class CommitUnknownError(FilbertyardError):
    """A change of settings that may have been applied; its id tells later."""


class UnknownNameError(FilbertyardError):
    """A call that names a team, adapter, version, service or rank not in force."""

    def __init__(self, kind: str, name: str, expected: str) -> None:
        super().__init__(f"{kind} {name!r} does not exist; {expected}", step="resolve")
        self.kind = kind
        self.name = name


class RequestError(FilbertyardError):
    """A request that is malformed, with the field at fault."""

    def __init__(self, field: str, found: str, expected: str) -> None:
        super().__init__(
            f"{field}: found {found}, expected {expected}", step="parse request"
        )
        self.field = field


class BodyTooLargeError(RequestError):
    """A request body above its bound."""


class BodyTimeoutError(RequestError):
    """A request body that did not arrive in time."""


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


class NotOwnerError(FilbertyardError):
    """An order or dispatch attempted without a valid host lease or ownership."""


class LeaseEndedError(KeyValueError):
    """A lease of the key-value service that no longer exists."""


class RevisionCompactedError(KeyValueError):
    """A watch whose start is older than the history that the service keeps."""


class KeyValueRejectedError(KeyValueUnavailableError):
    """A call that the key-value service refused; it certainly had no effect."""


class DocumentError(FilbertyardError):
    """A document of the platform that cannot be read, with its key and field."""

    def __init__(self, key: str, detail: str) -> None:
        super().__init__(f"{key}: {detail}", step="decode", peer=key)
