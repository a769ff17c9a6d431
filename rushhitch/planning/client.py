"""The forwarder's connections to the planners: sends reports and receives grants."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from rushhitch.planning.guidance import Allowance, Guidance
from rushhitch.planning.messages import Grants, LaneReport, Report
from rushhitch.planning.wire import Kind, Link, Role, WireError, decode_grants, encode_report, frame

log = logging.getLogger(__name__)

REPORT_S = 0.25  # between reports
HEARD_S = 1.0  # since the last answer, after which a planner is not reported as heard
CONNECT_S = 1.0
BACKOFF_S, MAX_BACKOFF_S = 0.2, 1.0  # between connection attempts: exponential, with jitter
# A link that is silent for so long is opened anew: the planner's machine may have vanished, and the longer it
# was gone the further apart are the system's own retries of what was written, if there are any.
SILENCE_S = 3.0
MAX_UNSENT_BYTES = 1_048_576  # reports are skipped while a planner leaves more than this unread


class PlannerLink(asyncio.Protocol):
    """The connection to one planner, re-established when it is lost."""

    def __init__(self, client: PlannerClient, name: str, address: tuple[str, int]) -> None:
        self.client, self.name, self.address = client, name, address
        self.link: Link | None = None
        self.transport: asyncio.Transport | None = None
        self.lost = asyncio.Event()
        self.answered_at = -1e9
        self.silent_s = 0.0  # since anything was received, without the times when this process stood still
        self.asked: dict[int, float] = {}  # send time by report number, in milliseconds

    async def run(self) -> None:
        failures = 0
        loop = asyncio.get_running_loop()
        while True:
            self.lost.clear()
            try:
                async with asyncio.timeout(CONNECT_S):
                    await loop.create_connection(lambda: self, *self.address)
                await self.lost.wait()
                failures = 0 if self.link is not None and self.link.ready else failures
            except (OSError, TimeoutError) as error:
                log.debug("planner %s is not reached: %r", self.name, error)
            rest = min(BACKOFF_S * 2.0 ** min(failures, 8), MAX_BACKOFF_S)
            failures += 1
            await asyncio.sleep(rest * random.uniform(0.5, 1.5))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.link = Link(Role.FORWARDER, self.client.name, self.client.secret)
        self.asked.clear()
        self.silent_s = 0.0
        transport.write(self.link.greeting())  # type: ignore[attr-defined]

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.lost.set()

    def data_received(self, data: bytes) -> None:
        if self.link is None or self.transport is None:
            return
        self.silent_s = 0.0
        try:
            for kind, payload in self.link.receive(data):
                if not self.link.ready:
                    self.transport.write(self.link.handshake(kind, payload))
                    peer = (self.link.peer_role, self.link.peer)
                    if self.link.ready and peer != (Role.PLANNER, self.name):
                        raise WireError(f"{self.link.peer!r} answers where planner {self.name!r} should")
                elif kind is Kind.GRANTS:
                    self.take(decode_grants(payload))
                else:
                    raise WireError(f"a frame {kind.name} from a planner")
        except WireError as error:
            log.error("planner %s: %s", self.name, error)
            self.transport.abort()

    def take(self, grants: Grants) -> None:
        asked_at = self.asked.pop(grants.number, None)
        if asked_at is None or grants.planner != self.name:
            return  # ignores answers to reports that were not sent on this connection
        for number in [n for n in self.asked if n < grants.number]:
            del self.asked[number]
        self.answered_at = self.client.loop.time()
        self.client.granted(asked_at, grants)

    def report(self, report: Report) -> None:
        if self.link is None or self.transport is None:
            return
        self.silent_s += min(report.elapsed_ms / 1000.0, REPORT_S)
        if self.silent_s > SILENCE_S:
            log.info("planner %s is silent: connecting anew", self.name)
            self.transport.abort()
            return
        if not self.link.ready:
            return
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return
        self.asked[report.number] = self.client.loop.time() * 1000.0
        self.transport.write(frame(Kind.REPORT, encode_report(report)))


class PlannerClient:
    """Connections of a forwarder to all planners. `collect` returns the counts per lane since its last call,
    without the fields on grants; `tell` passes an allowance to the decision module."""

    def __init__(
        self,
        name: str,
        planners: dict[str, tuple[str, int]],
        secret: bytes,
        collect: Callable[[float], list[LaneReport]],
        tell: Callable[[Allowance], None],
        report_s: float = REPORT_S,
    ) -> None:
        self.name, self.secret, self.collect, self.tell = name, secret, collect, tell
        self.loop = asyncio.get_running_loop()
        self.guidance = Guidance()
        self.links = [PlannerLink(self, planner, address) for planner, address in planners.items()]
        self.report_s = report_s
        self.number = 0
        self.reported_at = self.loop.time()
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        self.tasks = [self.loop.create_task(link.run()) for link in self.links]
        self.tasks.append(self.loop.create_task(self.run()))

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        for link in self.links:
            if link.transport is not None:
                link.transport.abort()

    async def run(self) -> None:
        while True:
            await asyncio.sleep(self.report_s * random.uniform(0.9, 1.1))  # avoids reports in step
            try:
                self.step()
            except Exception:
                log.exception("a report failed")

    def step(self) -> None:
        """Sends one report to all planners, then passes on allowances that are due."""
        now = self.loop.time()
        elapsed, self.reported_at = (now - self.reported_at) * 1000.0, now
        lanes = self.collect(elapsed)
        for lane in lanes:
            self.guidance.fill(now * 1000.0, lane)
        heard = [link.name for link in self.links if now - link.answered_at < HEARD_S]
        self.number += 1
        report = Report(self.name, self.number, elapsed, heard, lanes)
        for link in self.links:
            link.report(report)
        self.pass_on()

    def granted(self, asked_at: float, grants: Grants) -> None:
        self.guidance.take(self.loop.time() * 1000.0, asked_at, grants)
        self.pass_on()

    def pass_on(self) -> None:
        for allowance in self.guidance.allowances(self.loop.time() * 1000.0):
            self.tell(allowance)
