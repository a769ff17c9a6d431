"""Asks partners whether they want events: the I/O round `Agreements`. Imported only where it is on."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Awaitable, Callable, Collection, Mapping

import h11

from rushhitch.connection import Headers
from rushhitch.partners.agreements import Agreements
from rushhitch.partners.gate import Covered

log = logging.getLogger(__name__)

STATE_S = 0.4  # between two words on stated limits: each holds for a second in the decision module
MOST_OUT = 8  # questions at a time: a start with many partners does not take all connections


class Handshake:
    """The gate of a node (`partners.gate.Gate`): its destinations get nothing until their endpoints have
    agreed, and no more than they state."""

    def __init__(
        self,
        ask: Callable[[str, str, str, Headers], Awaitable[h11.Response]],
        set_stated_limits: Callable[[Mapping[int | str, float]], None],
        covered: Covered,
        agreements: Agreements,
        destinations: Collection[int],
        path: str,
    ) -> None:
        self.ask_endpoint, self.set_stated_limits, self.covered = ask, set_stated_limits, covered
        self.agreements, self.path = agreements, path
        self.destinations = frozenset(destinations)
        self.out: set[asyncio.Task[None]] = set()
        self.woken = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.run()), loop.create_task(self.state())]

    def stop(self) -> None:
        for task in (*self.tasks, *self.out):
            task.cancel()

    # What the node asks

    def covers(self, destination: int) -> bool:
        return destination in self.destinations

    def place(self, endpoint: str) -> None:
        self.agreements.place(endpoint)
        self.woken.set()

    def remove(self, endpoint: str) -> None:
        self.agreements.remove(endpoint)

    def open(self, endpoint: str) -> bool:
        return self.agreements.agreed(endpoint)

    def withdrawn(self, endpoint: str) -> None:
        if self.agreements.withdrawn(self.now(), endpoint):
            self.tell(endpoint)

    # Questions

    @staticmethod
    def now() -> float:
        return time.monotonic() * 1000.0

    async def run(self) -> None:
        while True:
            self.woken.clear()
            rest = (self.agreements.next_at() - self.now()) / 1000.0
            if rest > 0 or len(self.out) >= MOST_OUT:
                try:
                    async with asyncio.timeout(rest if 0 < rest < math.inf else None):
                        await self.woken.wait()
                except TimeoutError:
                    pass
                continue
            for endpoint in self.agreements.due(self.now(), MOST_OUT - len(self.out)):
                task = asyncio.get_running_loop().create_task(self.ask(endpoint))
                self.out.add(task)
                task.add_done_callback(self.asked)

    def asked(self, task: asyncio.Task[None]) -> None:
        self.out.discard(task)
        self.woken.set()

    async def ask(self, endpoint: str) -> None:
        """One question; whatever goes wrong, the agreements hear of it, or it would never be asked again."""
        headers = self.agreements.question()
        try:
            answer = await self.ask_endpoint(endpoint, "OPTIONS", self.path, headers)
        except Exception as error:
            log.debug("the question to %s broke: %r", endpoint, error)
            self.agreements.unanswered(self.now(), endpoint, f"no answer: {error!r}")
            return
        if self.agreements.answered(self.now(), endpoint, answer.status_code, answer.headers):
            self.tell(endpoint)

    def tell(self, endpoint: str) -> None:
        known = self.agreements.known[endpoint]
        if known.agreed:
            rate = f"{known.per_s * 60.0:.0f} requests a minute" if known.per_s < math.inf else "any rate"
            log.info("%s agrees to be sent events: %s", endpoint, rate)
        else:
            log.warning("%s does not agree to be sent events: %s", endpoint, known.why)
        self.set_stated_limits(self.rates())  # before the first call can go
        self.covered.reapply_gate(endpoint)

    # Stated limits

    async def state(self) -> None:
        while True:
            self.set_stated_limits(self.rates())
            await asyncio.sleep(STATE_S)

    def rates(self) -> dict[int | str, float]:
        """Calls a second by lane, of those that state a limit: the lowest where endpoints share one, so that
        no endpoint gets more than it allows."""
        found: dict[int | str, float] = {}
        for endpoint, lane in self.covered.gated_lanes().items():
            per_s = self.agreements.per_s(endpoint)
            if per_s < math.inf:
                found[lane] = min(found.get(lane, math.inf), per_s)
        return found
