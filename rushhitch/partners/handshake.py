"""Runs the webhook handshake: the I/O for `Agreements`. Imported only if it is configured."""

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

STATED_LIMITS_INTERVAL_S = 0.4  # the decision module drops stated limits that are a second old
MAX_REQUESTS = 8  # in flight, so that a start with many partners does not take all connections


class Handshake:
    """A `partners.gate.Gate`: an endpoint of `destinations` gets no call until it has agreed, and no more
    calls than it states. `ask` sends a request (endpoint, method, path, headers)."""

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
        self.requests: set[asyncio.Task[None]] = set()
        self.woken = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.run()), loop.create_task(self.refresh_stated_limits())]

    def stop(self) -> None:
        for task in (*self.tasks, *self.requests):
            task.cancel()

    # Gate

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
            self.apply_change(endpoint)

    # Requests

    @staticmethod
    def now() -> float:
        return time.monotonic() * 1000.0

    async def run(self) -> None:
        while True:
            self.woken.clear()
            wait_s = (self.agreements.next_at() - self.now()) / 1000.0
            if wait_s > 0 or len(self.requests) >= MAX_REQUESTS:
                try:
                    async with asyncio.timeout(wait_s if 0 < wait_s < math.inf else None):
                        await self.woken.wait()
                except TimeoutError:
                    pass
                continue
            for endpoint in self.agreements.due(self.now(), MAX_REQUESTS - len(self.requests)):
                task = asyncio.get_running_loop().create_task(self.ask(endpoint))
                self.requests.add(task)
                task.add_done_callback(self.request_done)

    def request_done(self, task: asyncio.Task[None]) -> None:
        self.requests.discard(task)
        self.woken.set()

    async def ask(self, endpoint: str) -> None:
        """Send one request. Any failure must reach `Agreements`, or the endpoint is never asked again."""
        headers = self.agreements.request_headers()
        try:
            answer = await self.ask_endpoint(endpoint, "OPTIONS", self.path, headers)
        except Exception as error:
            log.debug("handshake with %s failed: %r", endpoint, error)
            self.agreements.unanswered(self.now(), endpoint, f"no answer: {error!r}")
            return
        if self.agreements.answered(self.now(), endpoint, answer.status_code, answer.headers):
            self.apply_change(endpoint)

    def apply_change(self, endpoint: str) -> None:
        known = self.agreements.known[endpoint]
        if known.agreed:
            rate = f"{known.per_s * 60.0:.0f} requests a minute" if known.per_s < math.inf else "any rate"
            log.info("%s accepts events: %s", endpoint, rate)
        else:
            log.warning("%s does not accept events: %s", endpoint, known.reason)
        self.set_stated_limits(self.rates())  # before the first call can go
        self.covered.reapply_gate(endpoint)

    # Stated limits

    async def refresh_stated_limits(self) -> None:
        while True:
            self.set_stated_limits(self.rates())
            await asyncio.sleep(STATED_LIMITS_INTERVAL_S)

    def rates(self) -> dict[int | str, float]:
        """Stated limits in calls a second by lane. The lowest counts if endpoints share a lane: none of them
        may get more than it allows."""
        rates: dict[int | str, float] = {}
        for endpoint, lane in self.covered.gated_lanes().items():
            per_s = self.agreements.per_s(endpoint)
            if per_s < math.inf:
                rates[lane] = min(rates.get(lane, math.inf), per_s)
        return rates
