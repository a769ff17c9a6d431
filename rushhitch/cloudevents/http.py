"""Events in HTTP requests: binary, structured and batched mode (HTTP binding 1.0.2, sections 3.1 to 3.3; JSON
format 1.0.2). Headers and bodies in, events out, and back; no I/O.

Data keeps its bytes through every mode: JSON data stands in the JSON form as it is, character by character,
text as a string, and all else as base64.
"""

from __future__ import annotations

import base64
import binascii
import re
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from rushhitch.cloudevents.events import (
    MEDIA,
    MOST_DATA,
    BadEvent,
    Event,
    Value,
    checked,
    is_json,
    text_of,
)

STRUCTURED, BATCH = "application/cloudevents+json", "application/cloudevents-batch+json"
FAMILY = "application/cloudevents"  # any content type that begins so is not binary mode
UTF8 = "; charset=utf-8"
PREFIX = "ce-"
MOST_EVENTS = 1_000  # in one batch
MOST_JSON = 2 * MOST_DATA  # bytes of one event: base64 and attributes
MAX_BATCH_BYTES = 1_048_576  # bytes of a batch
Headers = Iterable[tuple[str, str]]

_read_object = msgspec.json.Decoder(dict[str, msgspec.Raw]).decode
_read_array = msgspec.json.Decoder(list[msgspec.Raw]).decode
_read = msgspec.json.Decoder().decode
_write = msgspec.json.Encoder().encode
PLAIN = re.compile(r"[!#$&-~]*")  # stands as it is in a header: most values do
PERCENT = re.compile(r"%([0-9A-Fa-f]{2})")
QUOTED = re.compile(r'"((?:[^"\\]|\\.)*)"', re.DOTALL)


def decode(headers: Headers, body: bytes) -> tuple[str, list[Event | BadEvent]]:
    """The mode ("binary", "structured" or "batch") and the events of a request. Headers have lower-case
    names and are as they came, repeated ones too. Raises a `BadEvent` where nothing can be made of the whole;
    within a batch, an event that is no good is one in the list."""
    headers = list(headers)
    types = [value for name, value in headers if name == "content-type"]
    if len(types) > 1:
        raise BadEvent("the header Content-Type is there twice: send it once", "datacontenttype")
    media = types[0].strip() if types else ""
    if not media.lower().startswith(FAMILY):
        return "binary", [decode_binary(headers, body)]
    found = MEDIA.fullmatch(media)
    plain = f"{found[1]}/{found[2]}".lower() if found else ""
    charset = re.search(r"charset=\"?([^\";\s]+)", media, re.IGNORECASE)
    if charset and charset[1].lower() not in ("utf-8", "us-ascii"):
        raise BadEvent(f"charset {charset[1]!r} is not read: send UTF-8", status=415)
    if plain == STRUCTURED:
        return "structured", [decode_json(body)]
    if plain == BATCH:
        return "batch", decode_batch(body)
    raise BadEvent(f"content type {media[:80]!r} is not read: use {STRUCTURED} or {BATCH}", status=415)


def decode_binary(headers: Headers, body: bytes) -> Event:
    attributes: dict[str, Value] = {}
    for name, value in headers:
        if name == "content-type":
            attributes["datacontenttype"] = value.strip()
        elif name.startswith(PREFIX):
            attribute = name[len(PREFIX) :]
            if attribute == "datacontenttype":
                raise BadEvent(
                    "the header Content-Type has this attribute: leave ce-datacontenttype out", attribute
                )
            if attribute in attributes:
                raise BadEvent(f"the header ce-{attribute} is there twice: send it once", attribute)
            attributes[attribute] = unescaped(attribute, value)
    return checked(attributes, body or None)


def unescaped(name: str, value: str) -> str:
    """A header's value as text (HTTP binding, section 3.1.3.2)."""
    value = value.strip(" \t")
    if PLAIN.fullmatch(value):
        return value
    if quoted := QUOTED.fullmatch(value):
        value = re.sub(r"\\(.)", r"\1", quoted[1], flags=re.DOTALL)
    if re.search(r"%(?![0-9A-Fa-f]{2})", value):
        raise BadEvent(f"{name}: a % that no two hexadecimal digits follow: write it as %25", name)
    try:
        data = PERCENT.sub(lambda found: chr(int(found[1], 16)), value).encode("latin-1")
        return data.decode("utf-8")
    except UnicodeError:
        raise BadEvent(f"{name}: its percent-encoding, or itself, is not UTF-8", name) from None


def escaped(value: str) -> str:
    """Text as a header's value: space, quote, percent and all that is not printable ASCII are encoded."""
    if PLAIN.fullmatch(value):
        return value
    return "".join(
        chr(byte) if 0x21 <= byte <= 0x7E and byte not in b'"%' else f"%{byte:02X}"
        for byte in value.encode("utf-8")
    )


def decode_batch(body: bytes) -> list[Event | BadEvent]:
    if len(body) > MAX_BATCH_BYTES:
        raise BadEvent(f"a batch of {len(body)} bytes, more than {MAX_BATCH_BYTES}: send several", status=413)
    try:
        rows = _read_array(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadEvent(f"the batch is no JSON array: {error}") from None
    if len(rows) > MOST_EVENTS:
        raise BadEvent(f"a batch of {len(rows)} events, more than {MOST_EVENTS}: send several", status=413)
    found: list[Event | BadEvent] = []
    for row in rows:
        try:
            found.append(decode_json(bytes(row)))
        except BadEvent as error:
            found.append(error)
    return found


def decode_json(body: bytes) -> Event:
    """One event in the JSON format."""
    if len(body) > MOST_JSON:
        raise BadEvent(f"an event of {len(body)} bytes, more than {MOST_JSON}", "data", 413)
    try:
        told = _read_object(body)
        attributes: dict[str, Any] = {
            name: _read(raw) for name, raw in told.items() if name not in ("data", "data_base64")
        }
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise BadEvent(f"the event is no JSON object: {error}") from None
    attributes = {name: value for name, value in attributes.items() if value is not None}  # null is absent
    for name, value in attributes.items():
        if not isinstance(value, (str, int)):
            raise BadEvent(f"{name} must be a string, an integer or a boolean", name)
    return checked(attributes, data_of(told, text_of(attributes.get("datacontenttype", ""))))


def data_of(told: Mapping[str, msgspec.Raw], datacontenttype: str) -> bytes | None:
    """The bytes of `data` or `data_base64` (JSON format, section 3.1)."""
    if "data" in told and "data_base64" in told:
        raise BadEvent("data and data_base64 are both there: send one of them", "data_base64")
    if "data_base64" in told:
        value = _read(told["data_base64"])
        if value is None:
            return None
        try:
            return base64.b64decode(value.encode("ascii"), validate=True)
        except (AttributeError, UnicodeError, binascii.Error):
            raise BadEvent("data_base64 is not base64 (RFC 4648)", "data_base64") from None
    if "data" not in told:
        return None
    raw = bytes(told["data"])
    if is_json(datacontenttype):
        return raw
    value = _read(raw)
    if value is None:
        return None
    if not isinstance(value, str):
        raise BadEvent(
            f"data must be a string where datacontenttype is {datacontenttype!r}, or use data_base64", "data"
        )
    return value.encode("utf-8")


def encode_binary(event: Event) -> tuple[list[tuple[str, str]], bytes]:
    """Headers and body in binary mode."""
    headers = [
        (PREFIX + name, escaped(text_of(value)))
        for name, value in event.attributes.items()
        if name != "datacontenttype"
    ]
    if "datacontenttype" in event.attributes:
        headers.append(("content-type", event.text("datacontenttype")))
    return headers, event.data or b""


def encode_json(event: Event) -> bytes:
    """The event in the JSON format."""
    told: dict[str, Any] = dict(event.attributes)
    if event.data is not None:
        key, value = json_data(event.data, event.text("datacontenttype"))
        told[key] = value
    return _write(told)


def json_data(data: bytes, datacontenttype: str) -> tuple[str, Any]:
    """The member that holds the data, and its value. What a reader might give back otherwise is base64."""
    if is_json(datacontenttype):
        stripped = data.strip(b" \t\r\n")
        try:
            if stripped == data and _read(data) is not None:
                return "data", msgspec.Raw(data)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            pass
    elif datacontenttype.lower().startswith("text/"):
        try:
            return "data", data.decode("utf-8")
        except UnicodeDecodeError:
            pass
    return "data_base64", base64.b64encode(data).decode("ascii")


def encode_structured(event: Event) -> tuple[list[tuple[str, str]], bytes]:
    """Headers and body in structured mode."""
    return [("content-type", STRUCTURED + UTF8)], encode_json(event)


def encode_batch(events: Iterable[Event]) -> tuple[list[tuple[str, str]], bytes]:
    """Headers and body in batched mode."""
    return [("content-type", BATCH + UTF8)], b"[" + b",".join(map(encode_json, events)) + b"]"
