"""What an event means to the core: class, destination, time left, key of order and identity. Pure.

The event's `type` gives the class, one attribute the destination, `expirytime` the deadline (never a longer
one than the class has), `partitionkey` the key of order (CloudEvents extensions "expirytime" and
"partitioning").
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field

from rushhitch.acceptor import Acknowledgement, Verdict
from rushhitch.cloudevents.events import BadEvent, Event, digest, identity, moment
from rushhitch.cloudevents.sinks import Sinks

EXPIRY, KEY = "expirytime", "partitionkey"
REST = ".*"  # a type that ends so stands for all that begin like it


@dataclass(frozen=True, slots=True)
class Rules:
    """Set by configuration. `classes`: class by type; `destinations`: number by value of the attribute
    `destination`, or the value is the number where it is empty; `max_deadline_ms`: the deadline by class, and
    `usual_ms` a shorter one for events that tell none."""

    classes: Mapping[str, str]
    max_deadline_ms: Mapping[str, float]
    destination: str = "subject"
    destinations: Mapping[str, int] = field(default_factory=dict)
    usual_ms: Mapping[str, float] = field(default_factory=dict)
    acks: AckRules | None = None
    sinks: Sinks | None = None


@dataclass(frozen=True, slots=True)
class PlacedEvent:
    """An event as the core sees it. `id` is the same for the same source and id, at any dispatcher."""

    id: bytes
    cls: str
    destination: int
    left_ms: float
    key: int


def place_event(event: Event, mapping: Rules, now: float) -> PlacedEvent:
    """`now` is Unix time in seconds. Raises a `BadEvent` that names the attribute."""
    if mapping.sinks is not None:
        mapping.sinks.check(event)
    cls = class_of(event.text("type"), mapping.classes)
    return PlacedEvent(
        identity(*event.identity),
        cls,
        destination_of(event, mapping),
        left_of(event, mapping, cls, now),
        int.from_bytes(digest(event.text(KEY)), "big") if KEY in event.attributes else 0,
    )


@dataclass(frozen=True, slots=True)
class AckRules:
    """Which events are acknowledgements: destinations by the source of theirs, verdicts by type, and the
    attributes that name the event they are for. One that names no source is for a message that did not come
    in as an event: its source is `own`."""

    destinations: Mapping[str, int]
    verdicts: Mapping[str, Verdict]
    own: str
    id_attribute: str = "causationid"
    source_attribute: str = "causationsource"


def acknowledgement(event: Event, acks: AckRules | None) -> Acknowledgement | None:
    """What an event acknowledges; None where its type is not one of theirs. Raises a `BadEvent`."""
    if acks is None or (verdict := acks.verdicts.get(event.text("type"))) is None:
        return None
    source = event.text("source")
    if source not in acks.destinations:
        raise BadEvent(f"source {source[:80]!r} acknowledges nothing here", "source", 403)
    if acks.id_attribute not in event.attributes:
        raise BadEvent(f"{acks.id_attribute} is missing: it names the event", acks.id_attribute)
    name = event.text(acks.id_attribute)
    origin = event.text(acks.source_attribute) if acks.source_attribute in event.attributes else acks.own
    message = name.encode() if origin == acks.own else identity(origin, name)
    mark = digest("\0".join(event.identity))
    return Acknowledgement(acks.destinations[source], message, verdict, mark)


def class_of(kind: str, classes: Mapping[str, str]) -> str:
    """By the whole type, or by the longest beginning that is set."""
    if kind in classes:
        return classes[kind]
    fits = [name for name in classes if name.endswith(REST) and kind.startswith(name.removesuffix("*"))]
    if not fits:
        raise BadEvent(
            f"no class is set for type {kind[:80]!r}: use one of {', '.join(sorted(classes))}", "type"
        )
    return classes[max(fits, key=len)]


def destination_of(event: Event, mapping: Rules) -> int:
    name = mapping.destination
    if name not in event.attributes:
        raise BadEvent(f"{name} is missing: it tells the destination", name)
    value = event.text(name)
    if not mapping.destinations:
        if re.fullmatch(r"[0-9]{1,15}", value):
            return int(value)
        raise BadEvent(f"{name} must be the number of a destination, not {value[:80]!r}", name)
    if value not in mapping.destinations:
        raise BadEvent(f"{name}: no destination is called {value[:80]!r}", name)
    return mapping.destinations[value]


def left_of(event: Event, mapping: Rules, cls: str, now: float) -> float:
    """Milliseconds that the event may still be delivered."""
    most = mapping.max_deadline_ms[cls]
    if EXPIRY not in event.attributes:
        return min(mapping.usual_ms.get(cls, most), most)
    left = (moment(event.text(EXPIRY)).timestamp() - now) * 1000.0
    if left < 1.0:
        raise BadEvent(f"{EXPIRY}: {event.text(EXPIRY)} has passed", EXPIRY)
    return min(left, most)
