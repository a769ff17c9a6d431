"""Events and validation of attributes (CloudEvents 1.0.2, specification sections 2 to 4). No I/O."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import datetime

SPECVERSION = "1.0"
REQUIRED = ("id", "source", "specversion", "type")
DIGEST_BYTES = 16  # a chance collision is expected after 2^64 events
MAX_DATA_BYTES = 65_536  # as a call of the platform holds, so that any event can be passed on
MAX_VALUE_CHARACTERS = 4_096
MAX_ATTRIBUTES = 64
INTEGER_RANGE = range(-(1 << 31), 1 << 31)
Value = str | int | bool  # JSON types; HTTP headers and all other CloudEvents types are strings

NAME = re.compile(r"[a-z0-9]+")
URI = re.compile(
    r"(?:[A-Za-z0-9\-._~:/?#\[\]@!$&'()*+,;=]|%[0-9A-Fa-f]{2})+"
)  # the characters that RFC 3986 allows
ABSOLUTE = re.compile(r"[A-Za-z][A-Za-z0-9+.\-]*:.+")
TIME = re.compile(r"\d{4}-\d\d-\d\d[Tt]\d\d:\d\d:\d\d(?:\.\d+)?(?:[Zz]|[+-]\d\d:\d\d)")  # RFC 3339
TOKEN = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
MEDIA = re.compile(rf"\s*({TOKEN})/({TOKEN})\s*((?:;\s*{TOKEN}=(?:{TOKEN}|\"[^\"]*\")\s*)*;?\s*)")  # RFC 2046
FORBIDDEN_CHARACTERS = re.compile(  # control codes and noncharacters (specification section 2, String)
    "[\x00-\x1f\x7f-\x9f\ud800-\udfff\ufdd0-\ufdef"
    + "".join(chr(n * 65536 + 65534) + chr(n * 65536 + 65535) for n in range(17))
    + "]"
)


def identity(source: str, name: str) -> bytes:
    """The message id of an event in the core."""
    return digest(f"{source}\0{name}").hex().encode()


def digest(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


class BadEvent(ValueError):
    """The input is not an acceptable event; carries the HTTP status, and the name of the attribute at fault
    or an empty string."""

    def __init__(self, detail: str, attribute: str = "", status: int = 400) -> None:
        super().__init__(detail)
        self.detail, self.attribute, self.status = detail, attribute, status


@dataclass(frozen=True, slots=True)
class Event:
    """`attributes` includes the extensions; `data` is None for an event without data."""

    attributes: Mapping[str, Value] = field(default_factory=dict)
    data: bytes | None = None

    @property
    def identity(self) -> tuple[str, str]:
        """Source and id: events that share both are duplicates (specification, `id`)."""
        return self.text("source"), self.text("id")

    def text(self, name: str) -> str:
        """The canonical string form of an attribute; empty if it is absent."""
        return text_of(self.attributes.get(name, ""))


def text_of(value: Value) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def is_json(datacontenttype: str) -> bool:
    """Whether data of this media type is JSON; an empty one means JSON (JSON format, section 3.1)."""
    if not datacontenttype:
        return True
    match = MEDIA.fullmatch(datacontenttype)
    return match is not None and (match[2].lower() == "json" or match[2].lower().endswith("+json"))


def validated_event(attributes: Mapping[str, Value], data: bytes | None) -> Event:
    """Build an event. Raises `BadEvent` with a detail that names the fault and the remedy."""
    if len(attributes) > MAX_ATTRIBUTES:
        raise BadEvent(f"{len(attributes)} attributes, more than {MAX_ATTRIBUTES}")
    for name in REQUIRED:
        if name not in attributes:
            raise BadEvent(f"the required attribute {name} is missing: add it", name)
    version = attributes["specversion"]
    if version != SPECVERSION:
        raise BadEvent(f"specversion {version!r} is not known: send {SPECVERSION!r}", "specversion")
    for name, value in attributes.items():
        check_attribute(name, value)
    if data is not None and len(data) > MAX_DATA_BYTES:
        raise BadEvent(f"the data has {len(data)} bytes, more than {MAX_DATA_BYTES}", "data", 413)
    return Event(dict(attributes), data)


def check_attribute(name: str, value: Value) -> None:
    if not NAME.fullmatch(name):
        shown = name[:40].encode("ascii", "backslashreplace").decode()
        raise BadEvent(f"{shown!r} is no attribute's name: use lower-case letters and digits", shown)
    if name == "data":
        raise BadEvent("an attribute must not be called data", name)
    if isinstance(value, int) and not isinstance(value, bool) and value not in INTEGER_RANGE:
        raise BadEvent(f"{name}: {value} is no 32-bit integer: send it as a string", name)
    text = text_of(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        raise BadEvent(f"{name} has {len(text)} characters, more than {MAX_VALUE_CHARACTERS}", name)
    if FORBIDDEN_CHARACTERS.search(text):
        raise BadEvent(f"{name} holds a character that no attribute may hold", name)
    find_fault = FAULT_FINDERS.get(name)
    if find_fault is None:
        return
    if not isinstance(value, str) or not value:
        raise BadEvent(f"{name} must be a string and not empty", name)
    fault = find_fault(value)
    if fault:
        raise BadEvent(f"{name}: {value[:80]!r} is {fault}", name)


def uri_fault(value: str) -> str:
    return "" if URI.fullmatch(value) else "no URI reference (RFC 3986): percent-encode what it may not hold"


def schema_fault(value: str) -> str:
    return "" if URI.fullmatch(value) and ABSOLUTE.fullmatch(value) else "no absolute URI (RFC 3986)"


def time_fault(value: str) -> str:
    try:
        if TIME.fullmatch(value):
            parse_time(value)
            return ""
    except ValueError:
        pass
    return "no time (RFC 3339): write it as 2026-12-01T10:00:00Z"


def parse_time(value: str) -> datetime:
    """Parse an RFC 3339 time. A leap second counts as the second before it, and digits below a microsecond
    are dropped."""
    value = re.sub(r"(\.\d{6})\d+", r"\1", value.upper().replace("Z", "+00:00"))
    return datetime.fromisoformat(re.sub(r":60(?=[.+-])", ":59", value))


def media_type_fault(value: str) -> str:
    return "" if MEDIA.fullmatch(value) else "no media type (RFC 2046)"


FAULT_FINDERS = {
    "id": lambda value: "",
    "type": lambda value: "",
    "subject": lambda value: "",
    "source": uri_fault,
    "dataschema": schema_fault,
    "time": time_fault,
    "expirytime": time_fault,  # extension: the deadline of the event
    "datacontenttype": media_type_fault,
}
