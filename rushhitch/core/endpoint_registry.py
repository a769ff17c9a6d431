"""The listed endpoints: applies updates from discovery and passes them to decisions and endpoint pool."""

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

STATE_BY_NAME = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}
DESTINATION_RETENTION_S = (
    60.0  # a destination without endpoints stays known this long: its next may be about to come
)
UNBATCHED_SUFFIX = ", one message a call"  # suffix of a kind's name


def with_unbatched_kinds(settings: Settings) -> Settings:
    """The settings with an unbatched variant of each kind that takes batches, for endpoints whose protocol
    has no batches. Otherwise the decision module would count several calls as one."""
    singles = tuple(
        replace(kind, name=kind.name + UNBATCHED_SUFFIX, batch=1) for kind in settings.kinds if kind.batch > 1
    )
    return replace(settings, kinds=settings.kinds + singles)


class EndpointRegistry:
    """The endpoints in the order of the list. `codecs` is by destination; all others use the platform's
    protocol. Kinds and zones are those of the settings at the start; they change only with a restart."""

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
        self.destinations: dict[int, float] = {}  # with the loop time when each last had an endpoint
        self.servers: dict[str, dict[str, Any]] = {}  # listed endpoints in the format of discovery
        self.recently_removed: dict[str, float] = {}  # loop time of removal, by endpoint
        self.gate: Gate | None = None  # set if partners must agree before they are sent anything
        self.rows: dict[str, dict[str, Any]] = {}  # listed rows of the endpoints that the gate covers

    def apply_update(self, update: dict[str, Any], cached: bool = False) -> None:
        """Apply a full list or a delta in the format of discovery. Invalid entries are skipped; an endpoint
        that is already known stays known. `cached` marks the list kept from an earlier process."""
        full = bool(update.get("full"))
        kind = api.ListKind.CACHED if cached else api.ListKind.FULL if full else api.ListKind.DELTA
        entries = []
        for row in update.get("servers", ()):
            try:
                entries.append(self.entry(row))
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                log.warning(
                    "endpoint list: invalid entry skipped: %s: %s: %r", type(error).__name__, error, row
                )
                entries += self.entry_of_invalid_row(row)
        gone = {entry.endpoint for entry in entries if entry.state is State.GONE}
        if kind is not api.ListKind.DELTA:
            gone |= self.entries.keys() - {entry.endpoint for entry in entries}
        now = self.loop.time()
        for name in gone:
            self.servers.pop(name, None)
            if self.entries.pop(name, None) is not None:
                self.recently_removed[name] = now
            self.endpoints.remove_endpoint(name)
            if self.rows.pop(name, None) is not None and self.gate is not None:
                self.gate.remove(name)
            if self.limits.counts is not None:
                self.limits.counts.remove(name)
        if kind is not api.ListKind.CACHED:  # the cached list may be outdated
            for name in [name for name in self.journal.cold if name not in self.entries]:
                self.journal.record_warm(name)
        self.recently_removed = {
            name: at for name, at in self.recently_removed.items() if now - at <= DESTINATION_RETENTION_S
        }
        self.destinations |= dict.fromkeys((entry.destination for entry in self.entries.values()), now)
        for destination in [d for d, at in self.destinations.items() if now - at > DESTINATION_RETENTION_S]:
            del self.destinations[destination]
        self.note(api.EndpointListReceived(kind, int(update.get("version", 0)), tuple(entries)))

    def entry(self, row: dict[str, Any]) -> api.Entry:
        state, known = STATE_BY_NAME[row["state"]], self.entries.get(row["id"])
        if state is State.GONE:  # such a row needs no other field
            return replace(known, state=state) if known else api.Entry(str(row["id"]), 0, state=state)
        destination = int(row["cell"])
        codec = self.codecs.get(destination, PLATFORM)
        kind_of = self.kinds[row["kind"]]
        if codec.max_batch_size(int(self.all_kinds[kind_of].batch)) == 1:
            kind_of = self.kinds.get(row["kind"] + UNBATCHED_SUFFIX, kind_of)
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
        pool_entry = EndpointEntry(parse_address(row["addr"]), lane, int(kind.batch), entry.state, codec)
        self.endpoints.set_endpoint(entry.endpoint, pool_entry)
        self.entries[entry.endpoint], self.servers[entry.endpoint] = entry, row
        if self.limits.counts is not None:
            self.limits.counts.place(entry.endpoint, entry.destination, kind.apart)
        return entry

    def entry_of_invalid_row(self, row: Any) -> list[api.Entry]:
        """The entry of a known endpoint whose new row is invalid: as before, but draining or gone if the row
        has a readable state that says so. Empty for an unknown endpoint."""
        name = row.get("id") if isinstance(row, dict) else None
        if not isinstance(name, str) or (known := self.entries.get(name)) is None:
            return []
        state = row.get("state")
        new_state = STATE_BY_NAME.get(state, State.READY) if isinstance(state, str) else State.READY
        if new_state is State.READY:  # an unreadable state does not end a drain either
            return [known]
        if new_state is State.DRAINING:
            known = self.entries[name] = replace(known, state=new_state)
            self.endpoints.drain(name)
        return [replace(known, state=new_state)]

    def lane_of(self, entry: api.Entry) -> int | str:
        """The decision module's key for the lane of the endpoint."""
        return entry.endpoint if self.all_kinds[entry.kind].apart else entry.destination

    def reapply_gate(self, endpoint: str) -> None:
        """Called when the gate opens or closes for the endpoint."""
        if (row := self.rows.get(endpoint)) is not None:
            self.apply_update({"full": False, "servers": [row]})

    def gated_lanes(self) -> dict[str, int | str]:
        """The lane of each endpoint that the gate covers."""
        return {name: self.lane_of(self.entries[name]) for name in self.rows if name in self.entries}
