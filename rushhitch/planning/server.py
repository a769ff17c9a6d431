"""The planner's process: a listener round `Planner`. Run as `python -m rushhitch plan`."""

from __future__ import annotations

import asyncio
import json
import logging
import signal
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from rushhitch.config.deployment import DeploymentSettings
from rushhitch.planning.planner import LIVENESS_TIMEOUT_MS, Planner
from rushhitch.planning.wire import Kind, Link, Role, WireError, decode_report, encode_grants, frame

if TYPE_CHECKING:
    from rushhitch.membership.server import Server as Member

log = logging.getLogger(__name__)

SHAKE_S = 2.0  # a connection that has not proved itself by then is closed
SILENT_S = 10.0  # a forwarder that says nothing for so long is gone
MOST_CONNECTIONS = 2_000
MOST_UNSENT = 8_388_608  # bytes of answers that a forwarder does not take: it is dropped


class Connection(asyncio.Protocol):
    """A forwarder, or somebody who wants to see the view."""

    def __init__(self, server: PlannerServer) -> None:
        self.server = server
        self.link = Link(Role.PLANNER, server.planner.name, server.secret)
        self.loop = asyncio.get_running_loop()
        self.heard_at = self.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        if len(self.server.connections) >= MOST_CONNECTIONS:
            self.refuse("too many connections")
            return
        self.server.connections.add(self)
        self.transport.write(self.link.greeting())

    def connection_lost(self, error: Exception | None) -> None:
        self.server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        self.heard_at = self.loop.time()
        try:
            for kind, payload in self.link.receive(data):
                if not self.link.ready:
                    self.transport.write(self.link.shake(kind, payload))
                else:
                    self.take(kind, payload)
        except WireError as error:
            log.warning("%s is refused: %s", self.link.peer or "a stranger", error)
            self.refuse(str(error))

    def take(self, kind: Kind, payload: bytes) -> None:
        if kind is Kind.REPORT and self.link.peer_role is Role.FORWARDER:
            report = decode_report(payload)
            if report.forwarder != self.link.peer:
                raise WireError(f"{self.link.peer} reports as {report.forwarder!r}")
            answer = self.server.planner.handle(self.loop.time() * 1000.0, report)
            if self.transport.get_write_buffer_size() > MOST_UNSENT:
                raise WireError("it does not take its answers")
            self.transport.write(frame(Kind.GRANTS, encode_grants(answer)))
        elif kind is Kind.SHOW and self.link.peer_role is Role.SHOW:
            self.transport.write(frame(Kind.VIEW, json.dumps(self.server.view()).encode()))
        else:
            raise WireError(f"a frame {kind.name} from a {self.link.peer_role.name}")

    def refuse(self, text: str) -> None:
        if not self.transport.is_closing():
            self.transport.write(frame(Kind.REFUSAL, text.encode()[:400]))
            self.transport.close()


class PlannerServer:
    """Listens, and drops what falls silent."""

    def __init__(self, planner: Planner, secret: bytes) -> None:
        self.planner, self.secret = planner, secret
        self.connections: set[Connection] = set()
        self.server: asyncio.Server | None = None
        self.member: Member | None = None  # where the planner is a member too

    async def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Connection(self), *address)
        loop.call_later(SHAKE_S, self.sweep)
        return self.server.sockets[0].getsockname()[:2]

    def sweep(self) -> None:
        loop = asyncio.get_running_loop()
        for connection in list(self.connections):
            patience = SILENT_S if connection.link.ready else SHAKE_S
            if loop.time() - connection.heard_at > patience:
                connection.refuse("nothing was heard for too long")
        loop.call_later(SHAKE_S, self.sweep)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    def view(self) -> dict[str, Any]:
        """For people: lane, learned limit and its kind, shares by forwarder, age of reports, term."""
        now = asyncio.get_running_loop().time() * 1000.0
        lanes = []
        for lane in sorted(self.planner.lanes.values(), key=lambda lane: lane.name):
            shares = [
                {
                    "forwarder": name,
                    "holding": share.report.holding,
                    "promised": share.promised(now),
                    "demand": share.report.demand,
                    "age_ms": now - share.heard_at,
                }
                for name, share in sorted(lane.shares.items())
            ]
            mine = self.planner.owner(lane.name) == self.planner.name
            state = "another's" if not mine else "learning" if self.planner.learning(now, lane) else "planned"
            limit = lane.limit.per_s
            lanes.append(
                {
                    "lane": lane.name,
                    "state": state,
                    "limit": None if limit == float("inf") else limit,
                    "kind": lane.limit.kind,
                    "cold": lane.recovery.cold,
                    "wait_ms": max(lane.wait_until - now, 0.0),
                    "term": lane.term,
                    "owner": self.planner.owner(lane.name),
                    "shares": shares,
                }
            )
        alive = [name for name, at in self.planner.forwarders.items() if now - at < LIVENESS_TIMEOUT_MS]
        told = {"planner": self.planner.name, "up": sorted(self.planner.up), "forwarders": sorted(alive)}
        if self.member is not None:
            told["members"] = self.member.report()["members"]
        return told | {"lanes": lanes}


async def serve(deployment: DeploymentSettings, name: str) -> None:
    """Plan until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    planner = Planner(
        name, list(deployment.planners), deployment.cold_from, deployment.warm_ms, deployment.fall_multiple
    )
    server = PlannerServer(planner, deployment.secret)
    if deployment.membership is not None:
        from rushhitch.membership.server import Server as Member  # with its library: only where it is on

        named = replace(deployment.membership, name=deployment.membership.name or name)
        server.member = Member(named, deployment.membership.fleet or 1)
        server.member.start()
    address = await server.listen(deployment.planners[name])
    log.info("planner %s is ready on %s:%d", planner.name, *address)
    await stop.wait()
    if server.member is not None:
        server.member.stop()
    server.close()
    log.info("planner %s ends", planner.name)
