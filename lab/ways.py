"""The network between forwarders and planners: one way for each pair, which can be cut, fall silent in one
direction, deliver late, and repeat or reorder frames.

A way stands between two sockets and knows where frames begin (`rushhitch.planning.wire`). TCP itself neither
repeats nor reorders; proxies and reconnects do, and the two sides must not care. The handshake passes as it
is.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from rushhitch.planning.wire import FRAME, Kind

SHAKES = frozenset({Kind.HELLO, Kind.PROOF})
UP, DOWN = "up", "down"  # from forwarder to planner, and back


@dataclass(frozen=True, slots=True)
class WayFaults:
    """What is wrong with a way. `silent`: "up", "down" or "both"; what was sent meanwhile stalls, as TCP has
    it. `repeat` and `reorder` are shares of frames."""

    cut: bool = False
    silent: str = ""
    late_ms: float = 0.0
    repeat: float = 0.0
    reorder: float = 0.0

    def stalls(self, direction: str) -> bool:
        return self.silent in (direction, "both")


class Way:
    """One forwarder's way to one planner."""

    def __init__(self, upstream: tuple[str, int], seed: str) -> None:
        self.upstream = upstream
        self.chance = random.Random(f"way {seed}")
        self.faults = WayFaults()
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.late_until = {UP: 0.0, DOWN: 0.0}
        self.passed = self.repeated = self.reordered = self.refused = self.carried = 0

    async def start(self) -> int:
        """Listen; the port that the forwarder is told."""
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    def strike(self, faults: WayFaults) -> None:
        self.faults = faults
        self.changed.set()
        self.changed = asyncio.Event()
        if faults.cut:
            for pair in list(self.pairs):
                self.end(pair)

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for pair in list(self.pairs):
            self.end(pair)
        for task in self.tasks:
            task.cancel()

    def end(self, pair: tuple[asyncio.StreamWriter, asyncio.StreamWriter]) -> None:
        self.pairs.discard(pair)
        for writer in pair:
            if writer.transport is not None:
                writer.transport.abort()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.faults.cut:
            self.refused += 1
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.upstream)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self.pairs.add(pair)
        pumps = [(reader, far_writer, UP), (far_reader, writer, DOWN)]
        for source, sink, direction in pumps:
            task = asyncio.get_running_loop().create_task(self.pump(source, sink, direction, pair))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        direction: str,
        pair: tuple[asyncio.StreamWriter, asyncio.StreamWriter],
    ) -> None:
        try:
            while True:
                head = await source.readexactly(FRAME.size)
                length, kind = FRAME.unpack(head)
                data = head + await source.readexactly(length - 1)
                while self.faults.stalls(direction):  # nothing is read meanwhile: the sender's buffers fill
                    await self.changed.wait()
                self.deliver(sink, direction, data, kind in SHAKES)
        except (asyncio.IncompleteReadError, OSError):
            self.end(pair)

    def deliver(self, sink: asyncio.StreamWriter, direction: str, data: bytes, shake: bool) -> None:
        faults, loop = self.faults, asyncio.get_running_loop()
        self.passed += 1
        self.carried += len(data)  # bytes
        at = loop.time() + self.chance.uniform(0.0, faults.late_ms) / 1000.0
        if not shake and self.chance.random() < faults.reorder:
            self.reordered += 1
            at += 0.001 + self.chance.uniform(0.0, 0.6)  # those after it overtake it
        else:
            at = self.late_until[direction] = max(at, self.late_until[direction])
        self.write(loop, sink, at, data)
        if not shake and self.chance.random() < faults.repeat:
            self.repeated += 1
            self.write(loop, sink, at + self.chance.uniform(0.0, 0.3), data)

    @staticmethod
    def write(loop: asyncio.AbstractEventLoop, sink: asyncio.StreamWriter, at: float, data: bytes) -> None:
        def act() -> None:
            if not sink.transport.is_closing():
                sink.write(data)

        if at <= loop.time():
            act()
        else:
            loop.call_at(at, act)
