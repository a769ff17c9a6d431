"""An event, its attributes and their rules (CloudEvents 1.0.2, specification sections 2 to 4). No I/O."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import datetime

SPECVERSION = "1.0"
REQUIRED = ("id", "source", "specversion", "type")
IDENTITY_BYTES = 16  # of a digest: by chance two are alike once in 2^64 events
MOST_DATA = 65_536  # bytes: what a call of the platform holds, so that any event can go on
MOST_VALUE = 4_096  # characters of an attribute
MOST_ATTRIBUTES = 64
INTEGER = range(-(1 << 31), 1 << 31)
Value = str | int | bool  # as JSON has them; HTTP headers and the other types are text

NAME = re.compile(r"[a-z0-9]+")
URI = re.compile(r"(?:[A-Za-z0-9\-._~:/?#\[\]@!$&'()*+,;=]|%[0-9A-Fa-f]{2})+")  # RFC 3986, by its characters
ABSOLUTE = re.compile(r"[A-Za-z][A-Za-z0-9+.\-]*:.+")
TIME = re.compile(r"\d{4}-\d\d-\d\d[Tt]\d\d:\d\d:\d\d(?:\.\d+)?(?:[Zz]|[+-]\d\d:\d\d)")  # RFC 3339
TOKEN = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
MEDIA = re.compile(rf"\s*({TOKEN})/({TOKEN})\s*((?:;\s*{TOKEN}=(?:{TOKEN}|\"[^\"]*\")\s*)*;?\s*)")  # RFC 2046
BARRED = re.compile(  # of strings: controls, and what is no character (specification section 2, String)
    "[\x00-\x1f\x7f-\x9f\ud800-\udfff\ufdd0-\ufdef"
    + "".join(chr(n * 65536 + 65534) + chr(n * 65536 + 65535) for n in range(17))
    + "]"
)


def identity(source: str, name: str) -> bytes:
    """How the core calls an event."""
    return digest(f"{source}\0{name}").hex().encode()


def digest(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=IDENTITY_BYTES).digest()


class BadEvent(ValueError):
    """What came is no event that can be taken; it has an HTTP status, and names the attribute where one is to
    blame."""

    def __init__(self, detail: str, attribute: str = "", status: int = 400) -> None:
        super().__init__(detail)
        self.detail, self.attribute, self.status = detail, attribute, status


@dataclass(frozen=True, slots=True)
class Event:
    """One event. `attributes` has all of them, extensions as well; `data` is None where it has none."""

    attributes: Mapping[str, Value] = field(default_factory=dict)
    data: bytes | None = None

    @property
    def identity(self) -> tuple[str, str]:
        """Events with the same one are the same event (specification, `id`)."""
        return self.text("source"), self.text("id")

    def text(self, name: str) -> str:
        """An attribute in its canonical text form; empty where it is absent."""
        return text_of(self.attributes.get(name, ""))


def text_of(value: Value) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def is_json(datacontenttype: str) -> bool:
    """Whether data of that media type is JSON; without one it is (JSON format, section 3.1)."""
    if not datacontenttype:
        return True
    found = MEDIA.fullmatch(datacontenttype)
    return found is not None and (found[2].lower() == "json" or found[2].lower().endswith("+json"))


def checked(attributes: Mapping[str, Value], data: bytes | None) -> Event:
    """The event, or a `BadEvent` that names what is wrong and the remedy."""
    if len(attributes) > MOST_ATTRIBUTES:
        raise BadEvent(f"{len(attributes)} attributes, more than {MOST_ATTRIBUTES}")
    for name in REQUIRED:
        if name not in attributes:
            raise BadEvent(f"the required attribute {name} is missing: add it", name)
    version = attributes["specversion"]
    if version != SPECVERSION:
        raise BadEvent(f"specversion {version!r} is not known: send {SPECVERSION!r}", "specversion")
    for name, value in attributes.items():
        check_attribute(name, value)
    if data is not None and len(data) > MOST_DATA:
        raise BadEvent(f"the data has {len(data)} bytes, more than {MOST_DATA}", "data", 413)
    return Event(dict(attributes), data)


def check_attribute(name: str, value: Value) -> None:
    if not NAME.fullmatch(name):
        shown = name[:40].encode("ascii", "backslashreplace").decode()
        raise BadEvent(f"{shown!r} is no attribute's name: use lower-case letters and digits", shown)
    if name == "data":
        raise BadEvent("an attribute must not be called data", name)
    if isinstance(value, int) and not isinstance(value, bool) and value not in INTEGER:
        raise BadEvent(f"{name}: {value} is no 32-bit integer: send it as a string", name)
    text = text_of(value)
    if len(text) > MOST_VALUE:
        raise BadEvent(f"{name} has {len(text)} characters, more than {MOST_VALUE}", name)
    if BARRED.search(text):
        raise BadEvent(f"{name} holds a character that no attribute may hold", name)
    known = CHECKS.get(name)
    if known is None:
        return
    if not isinstance(value, str) or not value:
        raise BadEvent(f"{name} must be a string and not empty", name)
    what = known(value)
    if what:
        raise BadEvent(f"{name}: {value[:80]!r} is {what}", name)


def wrong_uri(value: str) -> str:
    return "" if URI.fullmatch(value) else "no URI reference (RFC 3986): percent-encode what it may not hold"


def wrong_schema(value: str) -> str:
    return "" if URI.fullmatch(value) and ABSOLUTE.fullmatch(value) else "no absolute URI (RFC 3986)"


def wrong_time(value: str) -> str:
    try:
        if TIME.fullmatch(value):
            moment(value)
            return ""
    except ValueError:
        pass
    return "no time (RFC 3339): write it as 2026-12-01T10:00:00Z"


def moment(value: str) -> datetime:
    """A time in the form of RFC 3339; a leap second counts as the one before it, and what is finer than
    microseconds is cut off."""
    value = re.sub(r"(\.\d{6})\d+", r"\1", value.upper().replace("Z", "+00:00"))
    return datetime.fromisoformat(re.sub(r":60(?=[.+-])", ":59", value))


def wrong_media(value: str) -> str:
    return "" if MEDIA.fullmatch(value) else "no media type (RFC 2046)"


CHECKS = {
    "id": lambda value: "",
    "type": lambda value: "",
    "subject": lambda value: "",
    "source": wrong_uri,
    "dataschema": wrong_schema,
    "time": wrong_time,
    "expirytime": wrong_time,  # the extension that bounds an event's life
    "datacontenttype": wrong_media,
}
