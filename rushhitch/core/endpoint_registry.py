"""Which endpoints there are: the directory's list, as the decisions and the connections are told of it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from crowpier import interface as api
from crowpier.interface import Settings, State
from rushhitch.connection import parse_address
from rushhitch.core.limits import RateLimits
from rushhitch.endpoints import PLATFORM, EndpointEntry, EndpointPool
from rushhitch.journal import Journal
from rushhitch.partners.codec import Codec
from rushhitch.partners.gate import Gate

log = logging.getLogger(__name__)

STATES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}
LINGER_S = 60.0  # a destination with no endpoint left is known for so long: its next one may be on the way
SINGLY = ", one message a call"  # after a kind's name


def with_unbatched_kinds(settings: Settings) -> Settings:
    """The settings, and a kind beside each that takes batches, for endpoints of it whose protocol has none.
    Guards against the decisions taking several calls for one."""
    singles = tuple(
        replace(kind, name=kind.name + SINGLY, batch=1) for kind in settings.kinds if kind.batch > 1
    )
    return replace(settings, kinds=settings.kinds + singles)


class EndpointRegistry:
    """The endpoints, in the order of the list. `codecs` are by destination: the others speak the platform's
    protocol. Kinds and zones are those of the settings at the start: they change with a restart."""

    def __init__(
        self,
        settings: Settings,
        codecs: Mapping[int, Codec],
        endpoints: EndpointPool,
        journal: Journal,
        limits: RateLimits,
        note: Callable[[api.Event], None],
    ) -> None:
        self.codecs, self.endpoints, self.journal, self.limits = codecs, endpoints, journal, limits
        self.note = note
        self.loop = asyncio.get_running_loop()
        self.all_kinds = settings.kinds
        self.kinds = {kind.name: position for position, kind in enumerate(settings.kinds)}
        self.zones = {zone: position for position, zone in enumerate(settings.zones)}
        self.entries: dict[str, api.Entry] = {}
        self.destinations: dict[int, float] = {}  # and when each last had an endpoint
        self.servers: dict[str, dict[str, Any]] = {}  # its endpoints, in discovery's form
        self.left: dict[str, float] = {}  # endpoints that are no longer listed, and since when
        self.gate: Gate | None = None  # where partners must agree to be sent anything
        self.rows: dict[str, dict[str, Any]] = {}  # of endpoints that it covers, as they are listed

    def apply_update(self, news: dict[str, Any], cached: bool = False) -> None:
        """A list or its changes, in discovery's form; an entry that makes no sense is left out."""
        full = bool(news.get("full"))
        kind = api.ListKind.CACHED if cached else api.ListKind.FULL if full else api.ListKind.DELTA
        entries = []
        for row in news.get("servers", ()):
            try:
                entries.append(self.entry(row))
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                log.warning("list: an entry is left out: %s: %s: %r", type(error).__name__, error, row)
                entries += self.named(row)
        gone = {entry.endpoint for entry in entries if entry.state is State.GONE}
        if kind is not api.ListKind.DELTA:
            gone |= self.entries.keys() - {entry.endpoint for entry in entries}
        now = self.loop.time()
        for name in gone:
            self.servers.pop(name, None)
            if self.entries.pop(name, None) is not None:
                self.left[name] = now
            self.endpoints.bar(name)
            if self.rows.pop(name, None) is not None and self.gate is not None:
                self.gate.remove(name)
            if self.limits.counts is not None:
                self.limits.counts.remove(name)
        if kind is not api.ListKind.CACHED:  # what was known at the start may be old
            for name in [name for name in self.journal.cold if name not in self.entries]:
                self.journal.record_warm(name)
        self.left = {name: at for name, at in self.left.items() if now - at <= LINGER_S}
        self.destinations |= dict.fromkeys((entry.destination for entry in self.entries.values()), now)
        for destination in [d for d, at in self.destinations.items() if now - at > LINGER_S]:
            del self.destinations[destination]
        self.note(api.EndpointListReceived(kind, int(news.get("version", 0)), tuple(entries)))

    def entry(self, row: dict[str, Any]) -> api.Entry:
        state, known = STATES[row["state"]], self.entries.get(row["id"])
        if state is State.GONE:  # nothing else of it need be told
            return replace(known, state=state) if known else api.Entry(str(row["id"]), 0, state=state)
        destination = int(row["cell"])
        codec = self.codecs.get(destination, PLATFORM)
        kind_of = self.kinds[row["kind"]]
        if codec.max_batch_size(int(self.all_kinds[kind_of].batch)) == 1:
            kind_of = self.kinds.get(row["kind"] + SINGLY, kind_of)
        entry = api.Entry(
            str(row["id"]),
            destination,
            kind_of,
            self.zones[row["zone"]],
            state,
            float(row.get("weight", 0.0)),
        )
        if self.gate is not None and self.gate.covers(entry.destination):
            self.rows[entry.endpoint] = row
            self.gate.place(entry.endpoint)
            if entry.state is State.READY and not self.gate.open(entry.endpoint):
                entry = replace(entry, state=State.DRAINING)
        kind = self.all_kinds[entry.kind]
        lane = self.lane_of(entry)
        place = EndpointEntry(parse_address(row["addr"]), lane, int(kind.batch), entry.state, codec)
        self.endpoints.place(entry.endpoint, place)
        self.entries[entry.endpoint], self.servers[entry.endpoint] = entry, row
        if self.limits.counts is not None:
            self.limits.counts.place(entry.endpoint, entry.destination, kind.apart)
        return entry

    def named(self, row: Any) -> list[api.Entry]:
        """What holds of an endpoint whose entry makes no sense: that it is listed, as it was known, and not
        gone; that it drains or is gone where its state can be read. Nothing of one that was not known."""
        name = row.get("id") if isinstance(row, dict) else None
        if not isinstance(name, str) or (known := self.entries.get(name)) is None:
            return []
        state = row.get("state")
        told = STATES.get(state, State.READY) if isinstance(state, str) else State.READY
        if told is State.READY:  # no reason to take back a drain either
            return [known]
        if told is State.DRAINING:
            known = self.entries[name] = replace(known, state=told)
            self.endpoints.drain(name)
        return [replace(known, state=told)]

    def lane_of(self, entry: api.Entry) -> int | str:
        """What the decision module calls the endpoint's lane."""
        return entry.endpoint if self.all_kinds[entry.kind].apart else entry.destination

    def reapply_gate(self, endpoint: str) -> None:
        """The gate has changed its mind on the endpoint."""
        if (row := self.rows.get(endpoint)) is not None:
            self.apply_update({"full": False, "servers": [row]})

    def gated_lanes(self) -> dict[str, int | str]:
        """The lanes of the endpoints that the gate covers."""
        return {name: self.lane_of(self.entries[name]) for name in self.rows if name in self.entries}
