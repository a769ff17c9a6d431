"""Maps events to the core's terms: message id, class, destination, time left and ordering key. No I/O, no
clock.

`type` selects the class, one attribute the destination, `expirytime` the deadline (capped by that of the
class), `partitionkey` the ordering key (CloudEvents extensions "expirytime" and "partitioning").
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field

from rushhitch.acceptor import Acknowledgement, Verdict
from rushhitch.cloudevents.events import BadEvent, Event, digest, identity, parse_time
from rushhitch.cloudevents.sinks import Sinks

EXPIRY, ORDERING_KEY = "expirytime", "partitionkey"
WILDCARD = ".*"  # at the end of a configured type: matches every type with that prefix


@dataclass(frozen=True, slots=True)
class Rules:
    """The configured mapping. `classes`: class by type; `destination`: the attribute that selects the
    destination; `destinations`: number by value of that attribute, empty if the value is the number itself;
    `max_deadline_ms`: by class; `usual_ms`: by class, a shorter default for events without expirytime."""

    classes: Mapping[str, str]
    max_deadline_ms: Mapping[str, float]
    destination: str = "subject"
    destinations: Mapping[str, int] = field(default_factory=dict)
    usual_ms: Mapping[str, float] = field(default_factory=dict)
    acks: AckRules | None = None
    sinks: Sinks | None = None


@dataclass(frozen=True, slots=True)
class PlacedEvent:
    """An event in the core's terms. Equal source and id must give the same `id` at every dispatcher."""

    id: bytes
    cls: str
    destination: int
    left_ms: float
    key: int


def place_event(event: Event, rules: Rules, now: float) -> PlacedEvent:
    """Map an event; `now` is Unix time in seconds. Raises `BadEvent`, which names the attribute at fault."""
    if rules.sinks is not None:
        rules.sinks.check(event)
    cls = class_of(event.text("type"), rules.classes)
    return PlacedEvent(
        identity(*event.identity),
        cls,
        destination_of(event, rules),
        time_left_ms(event, rules, cls, now),
        int.from_bytes(digest(event.text(ORDERING_KEY)), "big") if ORDERING_KEY in event.attributes else 0,
    )


@dataclass(frozen=True, slots=True)
class AckRules:
    """Which events are acknowledgements: destination by the source of its acknowledgements, verdict by type,
    and the attributes with the id and the source of the acknowledged event. Without a source, an
    acknowledgement is for a message that was not received as an event: its source is `own`."""

    destinations: Mapping[str, int]
    verdicts: Mapping[str, Verdict]
    own: str
    id_attribute: str = "causationid"
    source_attribute: str = "causationsource"


def acknowledgement(event: Event, acks: AckRules | None) -> Acknowledgement | None:
    """Read an event as an acknowledgement; None if its type is not one of `acks`. Raises `BadEvent`."""
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
    """An exact type comes first, then the longest configured prefix."""
    if kind in classes:
        return classes[kind]
    prefixes = [
        name for name in classes if name.endswith(WILDCARD) and kind.startswith(name.removesuffix("*"))
    ]
    if not prefixes:
        raise BadEvent(
            f"no class is set for type {kind[:80]!r}: use one of {', '.join(sorted(classes))}", "type"
        )
    return classes[max(prefixes, key=len)]


def destination_of(event: Event, rules: Rules) -> int:
    name = rules.destination
    if name not in event.attributes:
        raise BadEvent(f"{name} is missing: it tells the destination", name)
    value = event.text(name)
    if not rules.destinations:
        if re.fullmatch(r"[0-9]{1,15}", value):
            return int(value)
        raise BadEvent(f"{name} must be the number of a destination, not {value[:80]!r}", name)
    if value not in rules.destinations:
        raise BadEvent(f"{name}: no destination is called {value[:80]!r}", name)
    return rules.destinations[value]


def time_left_ms(event: Event, rules: Rules, cls: str, now: float) -> float:
    """How long the event may still be delivered."""
    limit = rules.max_deadline_ms[cls]
    if EXPIRY not in event.attributes:
        return min(rules.usual_ms.get(cls, limit), limit)
    left = (parse_time(event.text(EXPIRY)).timestamp() - now) * 1000.0
    if left < 1.0:
        raise BadEvent(f"{EXPIRY}: {event.text(EXPIRY)} has passed", EXPIRY)
    return min(left, limit)
