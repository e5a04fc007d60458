"""Parse JSON of other processes within bounds on size, depth, numbers and text."""

from __future__ import annotations

import json
import re
from typing import Any

from .exceptions import DocumentError

# Largest value that the key-value service holds.
MAX_DOCUMENT_BYTES = 1 << 20

# The documents in use are less than ten levels deep.
MAX_DEPTH = 32

# Larger integers are not exact in all JSON parsers (RFC 8259, 6).
MAX_NUMBER = 2**53 - 1

# Part of a document or name that an error shows.
MAX_SHOWN_CHARACTERS = 40

ADDRESS_PATTERN = re.compile(r"((?:[0-9]{1,3}\.){3}[0-9]{1,3}):([0-9]{1,5})", re.ASCII)

MAX_OCTET = 255
MAX_PORT = 65535

# Digits of the largest number that `parse_count` accepts.
MAX_COUNT_DIGITS = 9


def parse_json(data: bytes | str, what: str, *, is_secret: bool = False) -> Any:
    """Parse a document and check its values; raise DocumentError.

    The error shows nothing of a secret document.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        raise DocumentError(what, f"{len(data)} bytes, expected {MAX_DOCUMENT_BYTES}")
    try:
        value = json.loads(data)
    except ValueError as error:
        shown = f"{len(data)} bytes" if is_secret else repr(data[:MAX_SHOWN_CHARACTERS])
        raise DocumentError(what, f"not JSON: {shown}") from error
    except RecursionError as error:
        raise DocumentError(what, f"more than {MAX_DEPTH} levels deep") from error
    check_value(value, what, is_secret=is_secret)
    return value


def check_value(value: Any, what: str, *, is_secret: bool = False) -> None:
    """Check depth, numbers and text of a parsed document; raise DocumentError."""
    level = [value]
    for _ in range(MAX_DEPTH):
        below: list[Any] = []
        for item in level:
            if isinstance(item, dict):
                below.extend(item)
                below.extend(item.values())
            elif isinstance(item, list):
                below.extend(item)
            elif isinstance(item, str):
                check_text(item, what, is_secret=is_secret)
            elif isinstance(item, int | float) and not abs(item) <= MAX_NUMBER:
                # Neither infinity nor NaN is in the range.
                raise DocumentError(what, f"a number beyond {MAX_NUMBER}")
        if not below:
            return
        level = below
    raise DocumentError(what, f"more than {MAX_DEPTH} levels deep")


def check_text(text: str, what: str, *, is_secret: bool = False) -> None:
    """Check that a text can be sent to other hosts; raise DocumentError."""
    try:
        text.encode()
    except UnicodeEncodeError as error:
        shown = "" if is_secret else ascii(text[:MAX_SHOWN_CHARACTERS])
        raise DocumentError(what, f"text that is not Unicode: {shown}") from error


def is_address(text: str) -> bool:
    """Tell if a text is IP:PORT with an IPv4 address and a port from 1 on."""
    match = ADDRESS_PATTERN.fullmatch(text)
    if match is None:
        return False
    octets = [int(octet) for octet in match[1].split(".")]
    return max(octets) <= MAX_OCTET and 1 <= int(match[2]) <= MAX_PORT


def parse_count(text: str) -> int | None:
    """Return the number that a few ASCII digits state, None for any other text."""
    is_count = text.isascii() and text.isdecimal() and len(text) <= MAX_COUNT_DIGITS
    return int(text) if is_count else None


def check_address(text: str) -> str:
    """Return an address; raise ValueError if it is not IP:PORT."""
    if not is_address(text):
        raise ValueError("expected an IPv4 address with a port, as IP:PORT")
    return text
