"""Sinks: destinations to which the dispatcher reports how a client's event ended, by an event of its own. No
I/O, no clock.

An attribute of the client's event selects a sink by its configured name, never by address, since otherwise a
client could have requests sent anywhere. The notice is an ordinary message with its own class and
destination, so it is retried and survives a restart.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from rushhitch.cloudevents.events import SPECVERSION, BadEvent, Event, identity

MAX_NOTICE_BYTES = 1_024  # body and attributes
_read = msgspec.json.Decoder().decode
_write = msgspec.json.Encoder().encode


@dataclass(frozen=True, slots=True)
class EndNotice:
    """A message that reports how another message ended."""

    id: bytes
    cls: str
    destination: int
    body: bytes
    attributes: bytes


@dataclass(frozen=True, slots=True)
class Sinks:
    """`destinations`: by sink name, the value of `attribute`; `cls`, `source`: of the notices; `kind`: the
    prefix of their type; `room`: bytes reserved for each."""

    destinations: Mapping[str, int]
    cls: str
    source: str
    attribute: str = "endsink"
    kind: str = "org.rushhitch.message"
    room: int = MAX_NOTICE_BYTES

    def check(self, event: Event) -> None:
        """Raises `BadEvent` if the event names an unknown sink."""
        name = event.text(self.attribute) if self.attribute in event.attributes else None
        if name is not None and name not in self.destinations:
            known = ", ".join(sorted(self.destinations))
            raise BadEvent(f"{self.attribute}: no sink is called {name[:80]!r}: use {known}", self.attribute)

    def named(self, attributes: bytes) -> bool:
        """Whether an event with these attributes (JSON) names a configured sink."""
        if self.attribute.encode() not in attributes:
            return False
        return _read(attributes).get(self.attribute) in self.destinations

    def end_notice(self, attributes: bytes, state: str, at: str) -> EndNotice:
        """Build the notice that the event with these attributes (JSON) ended in `state` at time `at` (RFC
        3339). Its id depends only on the event, so that a repeat is recognized and sent once."""
        ended = _read(attributes)
        name = f"{ended['source']}#{ended['id']}"
        event = {
            "specversion": SPECVERSION,
            "id": f"{name}.{state}",
            "source": self.source,
            "type": f"{self.kind}.{state}",
            "subject": ended["id"],
            "time": at,
            "datacontenttype": "application/json",
            "causationid": ended["id"],
            "causationsource": ended["source"],
        }
        body = _write({"source": ended["source"], "id": ended["id"], "type": ended["type"], "state": state})
        number = self.destinations[ended[self.attribute]]
        return EndNotice(identity(self.source, name), self.cls, number, body, _write(event))
