"""Encodes and decodes events in HTTP requests: binary, structured and batched mode (HTTP binding 1.0.2,
sections 3.1 to 3.3; JSON format 1.0.2). No I/O.

Every mode must preserve the bytes of the data: the JSON format embeds JSON data verbatim, text as a string,
and everything else as base64.
"""

from __future__ import annotations

import base64
import binascii
import re
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from rushhitch.cloudevents.events import (
    MAX_DATA_BYTES,
    MEDIA,
    BadEvent,
    Event,
    Value,
    is_json,
    text_of,
    validated_event,
)

STRUCTURED, BATCH = "application/cloudevents+json", "application/cloudevents-batch+json"
FAMILY = "application/cloudevents"  # prefix of every content type that is not binary mode
UTF8 = "; charset=utf-8"
PREFIX = "ce-"
MAX_BATCH_EVENTS = 1_000
MAX_JSON_EVENT_BYTES = 2 * MAX_DATA_BYTES  # leaves room for base64 and attributes
MAX_BATCH_BYTES = 1_048_576
Headers = Iterable[tuple[str, str]]

_read_object = msgspec.json.Decoder(dict[str, msgspec.Raw]).decode
_read_array = msgspec.json.Decoder(list[msgspec.Raw]).decode
_read = msgspec.json.Decoder().decode
_write = msgspec.json.Encoder().encode
UNESCAPED = re.compile(r"[!#$&-~]*")  # fast path: most values need no percent-encoding
PERCENT = re.compile(r"%([0-9A-Fa-f]{2})")
QUOTED = re.compile(r'"((?:[^"\\]|\\.)*)"', re.DOTALL)


def decode(headers: Headers, body: bytes) -> tuple[str, list[Event | BadEvent]]:
    """Return the mode ("binary", "structured" or "batch") and the events of a request. Header names are in
    lower case; repeated headers must be passed on. Raises `BadEvent` if the request as a whole is malformed;
    a malformed event of a batch is a `BadEvent` in the list."""
    headers = list(headers)
    types = [value for name, value in headers if name == "content-type"]
    if len(types) > 1:
        raise BadEvent("the header Content-Type is there twice: send it once", "datacontenttype")
    media = types[0].strip() if types else ""
    if not media.lower().startswith(FAMILY):
        return "binary", [decode_binary(headers, body)]
    match = MEDIA.fullmatch(media)
    media_type = f"{match[1]}/{match[2]}".lower() if match else ""
    charset = re.search(r"charset=\"?([^\";\s]+)", media, re.IGNORECASE)
    if charset and charset[1].lower() not in ("utf-8", "us-ascii"):
        raise BadEvent(f"charset {charset[1]!r} is not read: send UTF-8", status=415)
    if media_type == STRUCTURED:
        return "structured", [decode_json(body)]
    if media_type == BATCH:
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
            attributes[attribute] = unescape(attribute, value)
    return validated_event(attributes, body or None)


def unescape(name: str, value: str) -> str:
    """Decode a header value (HTTP binding, section 3.1.3.2)."""
    value = value.strip(" \t")
    if UNESCAPED.fullmatch(value):
        return value
    if quoted := QUOTED.fullmatch(value):
        value = re.sub(r"\\(.)", r"\1", quoted[1], flags=re.DOTALL)
    if re.search(r"%(?![0-9A-Fa-f]{2})", value):
        raise BadEvent(f"{name}: a % that no two hexadecimal digits follow: write it as %25", name)
    try:
        data = PERCENT.sub(lambda match: chr(int(match[1], 16)), value).encode("latin-1")
        return data.decode("utf-8")
    except UnicodeError:
        raise BadEvent(f"{name}: its percent-encoding, or itself, is not UTF-8", name) from None


def escape(value: str) -> str:
    """Encode a header value: percent-encodes space, quote, percent and all but printable ASCII."""
    if UNESCAPED.fullmatch(value):
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
    if len(rows) > MAX_BATCH_EVENTS:
        raise BadEvent(
            f"a batch of {len(rows)} events, more than {MAX_BATCH_EVENTS}: send several", status=413
        )
    events: list[Event | BadEvent] = []
    for row in rows:
        try:
            events.append(decode_json(bytes(row)))
        except BadEvent as error:
            events.append(error)
    return events


def decode_json(body: bytes) -> Event:
    """Decode one event in the JSON format."""
    if len(body) > MAX_JSON_EVENT_BYTES:
        raise BadEvent(f"an event of {len(body)} bytes, more than {MAX_JSON_EVENT_BYTES}", "data", 413)
    try:
        members = _read_object(body)
        attributes: dict[str, Any] = {
            name: _read(raw) for name, raw in members.items() if name not in ("data", "data_base64")
        }
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise BadEvent(f"the event is no JSON object: {error}") from None
    attributes = {name: value for name, value in attributes.items() if value is not None}  # null means absent
    for name, value in attributes.items():
        if not isinstance(value, (str, int)):
            raise BadEvent(f"{name} must be a string, an integer or a boolean", name)
    return validated_event(attributes, data_of(members, text_of(attributes.get("datacontenttype", ""))))


def data_of(members: Mapping[str, msgspec.Raw], datacontenttype: str) -> bytes | None:
    """The bytes of `data` or `data_base64` (JSON format, section 3.1)."""
    if "data" in members and "data_base64" in members:
        raise BadEvent("data and data_base64 are both there: send one of them", "data_base64")
    if "data_base64" in members:
        value = _read(members["data_base64"])
        if value is None:
            return None
        try:
            return base64.b64decode(value.encode("ascii"), validate=True)
        except (AttributeError, UnicodeError, binascii.Error):
            raise BadEvent("data_base64 is not base64 (RFC 4648)", "data_base64") from None
    if "data" not in members:
        return None
    raw = bytes(members["data"])
    if is_json(datacontenttype):
        return raw
    value = _read(raw)
    if value is None:
        return None
    if not isinstance(value, str):
        raise BadEvent(
            f"data must be a string where datacontenttype is {datacontenttype!r}, or use data_base64",
            "data",
        )
    return value.encode("utf-8")


def encode_binary(event: Event) -> tuple[list[tuple[str, str]], bytes]:
    """Headers and body in binary mode."""
    headers = [
        (PREFIX + name, escape(text_of(value)))
        for name, value in event.attributes.items()
        if name != "datacontenttype"
    ]
    if "datacontenttype" in event.attributes:
        headers.append(("content-type", event.text("datacontenttype")))
    return headers, event.data or b""


def encode_json(event: Event) -> bytes:
    """Encode one event in the JSON format."""
    members: dict[str, Any] = dict(event.attributes)
    if event.data is not None:
        key, value = json_data(event.data, event.text("datacontenttype"))
        members[key] = value
    return _write(members)


def json_data(data: bytes, datacontenttype: str) -> tuple[str, Any]:
    """The JSON member for the data, and its value: base64 if a reader might not restore the bytes exactly."""
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
