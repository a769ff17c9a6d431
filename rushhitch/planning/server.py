"""The planner process: a server for `Planner`. Run as `python -m rushhitch plan`."""

from __future__ import annotations

import asyncio
import json
import logging
import signal
from collections import deque
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from rushhitch.config.deployment import DeploymentSettings
from rushhitch.planning.planner import LIVENESS_TIMEOUT_MS, Planner
from rushhitch.planning.wire import Kind, Link, Role, WireError, decode_report, encode_grants, frame

if TYPE_CHECKING:
    from rushhitch.membership.server import Server as Member

log = logging.getLogger(__name__)

HANDSHAKE_TIMEOUT_S = 2.0  # then an unauthenticated connection is closed
IDLE_TIMEOUT_S = 10.0  # then a silent forwarder is disconnected
MAX_CONNECTIONS = 2_000
MAX_REMEMBERED_REPORTS = 64  # of a connection, to ignore one that comes again
MAX_UNSENT_BYTES = 8_388_608  # of answers; a forwarder that leaves more unread is disconnected


class Connection(asyncio.Protocol):
    """A connection of a forwarder or of `plan --show`."""

    def __init__(self, server: PlannerServer) -> None:
        self.server = server
        self.link = Link(Role.PLANNER, server.planner.name, server.secret)
        self.loop = asyncio.get_running_loop()
        self.heard_at = self.loop.time()
        self.recent_reports: deque[int] = deque(maxlen=MAX_REMEMBERED_REPORTS)  # numbers

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        if len(self.server.connections) >= MAX_CONNECTIONS:
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
                    self.transport.write(self.link.handshake(kind, payload))
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
            if report.number in self.recent_reports:
                log.info("report %d of %s came again", report.number, self.link.peer)
                return
            self.recent_reports.append(report.number)
            answer = self.server.planner.handle(self.loop.time() * 1000.0, report)
            if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
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
    """Accepts connections and closes idle ones."""

    def __init__(self, planner: Planner, secret: bytes) -> None:
        self.planner, self.secret = planner, secret
        self.connections: set[Connection] = set()
        self.server: asyncio.Server | None = None
        self.member: Member | None = None  # set if the planner takes part in membership

    async def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Connection(self), *address)
        loop.call_later(HANDSHAKE_TIMEOUT_S, self.sweep)
        return self.server.sockets[0].getsockname()[:2]

    def sweep(self) -> None:
        loop = asyncio.get_running_loop()
        for connection in list(self.connections):
            timeout = IDLE_TIMEOUT_S if connection.link.ready else HANDSHAKE_TIMEOUT_S
            if loop.time() - connection.heard_at > timeout:
                connection.refuse("nothing was heard for too long")
        loop.call_later(HANDSHAKE_TIMEOUT_S, self.sweep)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    def view(self) -> dict[str, Any]:
        """The state for `plan --show`: lanes with limit, kind, term, shares by forwarder, age of reports."""
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
            owned = self.planner.owner(lane.name) == self.planner.name
            state = (
                "another's" if not owned else "learning" if self.planner.learning(now, lane) else "planned"
            )
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
        summary = {"planner": self.planner.name, "up": sorted(self.planner.up), "forwarders": sorted(alive)}
        if self.member is not None:
            summary["members"] = self.member.report()["members"]
        return summary | {"lanes": lanes}


async def serve(deployment: DeploymentSettings, name: str) -> None:
    """Runs a planner until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    planner = Planner(
        name, list(deployment.planners), deployment.cold_from, deployment.warm_ms, deployment.fall_multiple
    )
    server = PlannerServer(planner, deployment.secret)
    if deployment.membership is not None:
        from rushhitch.membership.server import Server as Member  # imported on demand, with its library

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
