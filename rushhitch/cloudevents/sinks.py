"""Sinks: where a client has the end of its event told, by an event of our own. No I/O, no clock.

The sink is named in an attribute of the event, by a name that is set here: an address that a client could
choose would let it have anything sent anywhere. What tells the end is a message like any other, of a class
and to a destination of its own, so it is tried again, and outlasts the process.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from rushhitch.cloudevents.events import SPECVERSION, BadEvent, Event, identity

ROOM = 1_024  # bytes of a message that tells an end, attributes and all
_read = msgspec.json.Decoder().decode
_write = msgspec.json.Encoder().encode


@dataclass(frozen=True, slots=True)
class EndNotice:
    """A message that tells the end of another."""

    id: bytes
    cls: str
    destination: int
    body: bytes
    attributes: bytes


@dataclass(frozen=True, slots=True)
class Sinks:
    """Destinations by the name that the attribute has; `cls` is the class of what is sent to them, `kind` how
    its types begin, and `source` its source."""

    destinations: Mapping[str, int]
    cls: str
    source: str
    attribute: str = "endsink"
    kind: str = "org.rushhitch.message"
    room: int = ROOM

    def check(self, event: Event) -> None:
        """A `BadEvent` where the event names a sink that there is not."""
        name = event.text(self.attribute) if self.attribute in event.attributes else None
        if name is not None and name not in self.destinations:
            known = ", ".join(sorted(self.destinations))
            raise BadEvent(f"{self.attribute}: no sink is called {name[:80]!r}: use {known}", self.attribute)

    def named(self, attributes: bytes) -> bool:
        """Whether an event with these attributes, as JSON, names a sink that there is."""
        if self.attribute.encode() not in attributes:
            return False
        return _read(attributes).get(self.attribute) in self.destinations

    def end_notice(self, attributes: bytes, what: str, at: str) -> EndNotice:
        """The message that tells how the event with these attributes ended, at that time (RFC 3339). The
        same for the same event and end, so that it is told once."""
        told = _read(attributes)
        name = f"{told['source']}#{told['id']}"
        event = {
            "specversion": SPECVERSION,
            "id": f"{name}.{what}",
            "source": self.source,
            "type": f"{self.kind}.{what}",
            "subject": told["id"],
            "time": at,
            "datacontenttype": "application/json",
            "causationid": told["id"],
            "causationsource": told["source"],
        }
        body = _write({"source": told["source"], "id": told["id"], "type": told["type"], "state": what})
        number = self.destinations[told[self.attribute]]
        return EndNotice(identity(self.source, name), self.cls, number, body, _write(event))
