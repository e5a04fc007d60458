"""Settings file of one process: JSON with comments, validated when it is read."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any
from typing import Literal
from typing import TypeVar

import jsonc
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from .exceptions import SettingsError
from .zonecosts import ZonePrice

ADDRESS_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"

S = TypeVar("S", bound=BaseModel)


class StrictModel(BaseModel):
    """Base of the settings models: unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class KeyValueSettings(StrictModel):
    """Where the key-value service is and which wire format it speaks."""

    address: str = Field(pattern=ADDRESS_PATTERN)
    form: str = "etcd-v3-json"
    timeout_s: float = Field(default=1.0, gt=0)


class PlatformSettings(StrictModel):
    """Addresses of the platform's services."""

    key_value: KeyValueSettings
    host_list: str = Field(pattern=ADDRESS_PATTERN)
    adapter_store: str = Field(pattern=ADDRESS_PATTERN)


class TracingSettings(StrictModel):
    """Exporter of the traces; `otlp` needs an endpoint URL."""

    exporter: str = "none"
    endpoint: str = ""


class HostSettings(StrictModel):
    """Settings of one entry host."""

    name: str = Field(pattern=NAME_PATTERN)
    region: str = Field(pattern=NAME_PATTERN)
    availability_zone: str = Field(pattern=NAME_PATTERN)
    callers: str = Field(pattern=ADDRESS_PATTERN, description="address for callers")
    peers: str = Field(pattern=ADDRESS_PATTERN, description="address for other hosts")
    platform: PlatformSettings
    operators: str = Field(
        default="", pattern=f"^$|{ADDRESS_PATTERN}", description="address for operators"
    )
    operator_key: str = Field(default="", description="authenticates operators")
    shared_key: str = Field(min_length=16, description="authenticates entry hosts")
    max_age_s: float = Field(default=10.0, ge=0)
    zone_price_ms: float = Field(
        default=0.0,
        ge=0,
        allow_inf_nan=False,
        description="what a call to another availability zone is worth in waiting",
    )
    zone_price_ms_per_kb: float = Field(
        default=0.0,
        ge=0,
        allow_inf_nan=False,
        description="the same for each 1,000 bytes of the call's body",
    )
    max_connections: int = Field(default=2048, ge=1, description="of callers")
    max_head_bytes: int = Field(
        default=32768, ge=1024, description="header lines of a request"
    )
    policy: str = "shares"
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    tracing: TracingSettings = TracingSettings()

    def zone_price(self) -> ZonePrice:
        """Return the price of traffic to other availability zones."""
        return ZonePrice(self.zone_price_ms / 1000, self.zone_price_ms_per_kb / 1000)


def load_settings(path: Path, model: type[S]) -> S:
    """Read and validate a settings file; raise SettingsError naming file and line."""
    try:
        text = path.read_text()
    except OSError as error:
        raise SettingsError(
            "",
            f"an unreadable file ({error.strerror})",
            "a settings file",
            file=str(path),
        ) from error
    return parse_settings(text, model, str(path))


def parse_settings(text: str, model: type[S], file: str = "") -> S:
    """Parse and validate settings text; raise SettingsError naming the key path."""
    try:
        data = jsonc.loads(text)
    except jsonc.JSONDecodeError as error:
        raise SettingsError(
            "", error.msg, "JSON with comments", file=file, line=error.lineno
        ) from error
    return validate_settings(data, model, text, file)


def validate_settings(data: Any, model: type[S], text: str = "", file: str = "") -> S:
    """Validate parsed settings; raise SettingsError for the first fault."""
    try:
        return model.model_validate(data)
    except ValidationError as error:
        loc, found, expected = describe_fault(error, model)
        line = find_line(text, loc)
        raise SettingsError(
            ".".join(loc), found, expected, file=file, line=line
        ) from error


def describe_fault(
    error: ValidationError, model: type[BaseModel]
) -> tuple[list[str], str, str]:
    """Return path, value and expectation of the first error of a validation."""
    first = error.errors()[0]
    found, expected = repr(first["input"])[:80], first["msg"]
    if first["type"] == "missing":
        found, expected = "nothing", "a value for this required key"
    elif first["type"] == "extra_forbidden":
        known = ", ".join(sorted(model.model_fields))
        expected = f"only known keys (top level: {known})"
    return [str(part) for part in first["loc"]], found, expected


def find_line(text: str, path: list[str]) -> int:
    """Return the line of the last key of `path` that `text` holds, or 1."""
    position = 0
    for key in path:
        match = re.compile(rf'"{re.escape(key)}"\s*:').search(text, position)
        if match is not None:
            position = match.start()
    return text.count("\n", 0, position) + 1
