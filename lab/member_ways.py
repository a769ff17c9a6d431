"""Ways between any two members that faults can hit, and a watch on what each member holds.

Each member advertises an address of the lab's; the lab passes datagrams and streams on to where it listens.
The receiver of a datagram sees it come from its sender's advertised address, so that answers take the same
way back. What each member holds is asked of it directly, past the ways.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lab.addresses import free_address, own_host
from lab.membership import Held, History, Life, both_ways
from rushhitch.membership.show import fetch

POLL_S = 0.15
SECRET = b"a secret of the lab, long enough"
STATES = {"alive": 0, "suspect": 1, "gone": 2, "left": 3}


@dataclass(frozen=True, slots=True)
class WayFault:
    """Of the way from one member to another."""

    loss: float = 0.0
    late_ms: float = 0.0
    reorder: float = 0.0  # share that comes up to 0.3 s later than the rest
    repeat: float = 0.0
    cut: bool = False


FINE = WayFault()


class Ways:
    """Between all members. `fault` tells how the way from one to another is just now."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(f"ways {seed}")
        self.fault: Callable[[str, str], WayFault] = lambda sender, receiver: FINE
        self.real: dict[str, tuple[str, int]] = {}  # where it listens, by name
        self.by_real: dict[tuple[str, int], str] = {}
        self.by_host: dict[str, str] = {}
        self.advertised: dict[str, socket.socket] = {}
        self.servers: list[asyncio.Server] = []
        self.loop = asyncio.get_running_loop()
        self.passed = self.lost = 0
        self.recorded: list[tuple[str, str, bytes]] | None = None  # where a test wants them
        self.seen: Callable[[str, str], None] = lambda sender, receiver: None  # each, before it goes on
        second, third, _ = own_host().split(".")[1:]
        self.hosts = (f"127.{int(second) + 64}.{third}.{number + 1}" for number in range(250))
        self.addresses: dict[str, tuple[tuple[str, int], tuple[str, int]]] = {}

    async def add(self, name: str) -> tuple[tuple[str, int], tuple[str, int]]:
        """Where that member is to listen, and what it is to advertise. Its host is its own: streams are told
        apart by that. A name that comes again has moved."""
        host = next(self.hosts)
        with socket.socket() as tcp:
            tcp.bind((host, 0))
            listen = tcp.getsockname()
        address = free_address()
        sock = socket.socket(type=socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(address)
        self.real[name], self.by_real[listen], self.by_host[host] = listen, name, name
        self.advertised[name] = sock
        self.loop.add_reader(sock, self.readable, name, sock)
        self.servers.append(await asyncio.start_server(lambda r, w: self.stream(name, r, w), *address))
        self.addresses[name] = (listen, address)
        return self.addresses[name]

    def toml(self, name: str, secret: str, fleet: int, building: str = "a", more: str = "") -> str:
        """The section of that member's own settings."""
        listen, advertised = self.addresses[name]
        seeds = [f'"{host}:{port}"' for _, (host, port) in list(self.addresses.values())[:3]]
        return (
            f'[membership]\nlisten = "{listen[0]}:{listen[1]}"\n'
            f'advertise = "{advertised[0]}:{advertised[1]}"\nseeds = [{", ".join(seeds)}]\n'
            f'building = "{building}"\nsecret_file = "{secret}"\nfleet = {fleet}\n{more}'
        )

    def readable(self, receiver: str, sock: socket.socket) -> None:
        for _ in range(64):
            try:
                data, source = sock.recvfrom(65_536)
            except OSError:
                return
            sender = self.by_real.get(source)
            if sender is not None:
                self.pass_on(sender, receiver, data)

    def pass_on(self, sender: str, receiver: str, data: bytes) -> None:
        self.seen(sender, receiver)
        fault = self.fault(sender, receiver)
        if self.recorded is not None:
            self.recorded.append((sender, receiver, data))
        if fault.cut or self.chance.random() < fault.loss:
            self.lost += 1
            return
        for _ in range(2 if self.chance.random() < fault.repeat else 1):
            late = fault.late_ms / 1000.0
            if self.chance.random() < fault.reorder:
                late += self.chance.uniform(0.0, 0.3)
            if late:
                self.loop.call_later(late, self.put, sender, receiver, data)
            else:
                self.put(sender, receiver, data)

    def put(self, sender: str, receiver: str, data: bytes) -> None:
        self.passed += 1
        with contextlib.suppress(OSError):
            self.advertised[sender].sendto(data, self.real[receiver])

    async def stream(self, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A stream is cut where either direction is."""
        sender = self.by_host.get(writer.get_extra_info("peername")[0], "")
        try:
            if self.fault(sender, receiver).cut or self.fault(receiver, sender).cut:
                return
            far_reader, far_writer = await asyncio.open_connection(*self.real[receiver])
            await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))
        except OSError:
            pass
        finally:
            writer.close()

    def stop(self) -> None:
        for server in self.servers:
            server.close()
        for sock in self.advertised.values():
            self.loop.remove_reader(sock)
            sock.close()


async def pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
    writer.close()


class Watch:
    """Asks each member that runs what it holds, again and again, and keeps the `History` that the checker
    goes over. `now` is the clock of that history."""

    def __init__(self, ways: Ways, now: Callable[[], float], every_s: float = POLL_S) -> None:
        self.ways, self.now, self.every_s = ways, now, every_s
        self.history = History()
        self.lives: dict[str, Life] = {}  # of those that run, or ran last
        self.reports: dict[str, dict[str, Any]] = {}  # the newest of each that runs
        self.rows: dict[tuple[str, str], tuple[int, int, int]] = {}
        self.apart: dict[str, float] = {}  # who is out of reach of half or more, and since when

    def began(self, name: str) -> None:
        """Its process serves; one before it that was not told as ended is over with that."""
        if name in self.lives and self.lives[name].end > self.now():
            self.lives[name].end = self.now()
        self.lives[name] = Life(name, 0, self.now())
        self.history.lives.append(self.lives[name])

    def ended(self, name: str, killed: bool) -> None:
        life = self.lives[name]
        if life.end > self.now():
            life.end, life.killed = self.now(), killed
        self.reports.pop(name, None)

    def stands_still(self, name: str, seconds: float) -> None:
        self.lives[name].still.append((self.now(), self.now() + seconds))

    def strike(self, fault: Callable[[str, str], WayFault]) -> None:
        """The ways are so from now on. Who cannot be reached both ways by more than half is noted."""
        self.ways.fault = fault
        names = list(self.ways.real)
        groups = both_ways(names, lambda a, b: fault(a, b).cut)
        for name in names:
            apart = 2 * groups[name] <= len(names)
            if apart:
                self.apart.setdefault(name, self.now())
            elif name in self.apart:
                self.history.out_of_reach.append((name, self.apart.pop(name), self.now()))

    async def quiet(self, seconds: float) -> None:
        """There are no more faults: wait until all views are alike, for so long at most."""
        self.history.quiet_from = self.now()
        while self.now() < self.history.quiet_from + seconds:
            if self.alike():
                self.history.equal_at = self.now()
                return
            await asyncio.sleep(POLL_S)

    def close(self) -> History:
        """The history, with what was still on told to its end."""
        self.history.out_of_reach += [(name, since, self.now()) for name, since in self.apart.items()]
        self.apart.clear()
        self.history.end = self.now()
        return self.history

    async def run(self) -> None:
        """Who is slow to answer keeps nobody waiting but itself."""
        asked: dict[str, asyncio.Task[None]] = {}
        async with asyncio.TaskGroup() as group:
            while True:
                for name, life in self.lives.items():
                    if life.end > self.now() and (name not in asked or asked[name].done()):
                        asked[name] = group.create_task(self.poll(name))
                await asyncio.sleep(self.every_s)

    async def poll(self, name: str) -> None:
        life = self.lives[name]
        if any(begun <= self.now() <= over for begun, over in life.still):
            return
        try:
            report = await fetch(self.ways.real[name], SECRET)
        except (OSError, TimeoutError, ValueError, EOFError):
            return
        if life is not self.lives[name] or life.end <= self.now():
            return
        life.process = report["process"]
        self.reports[name] = report
        for row in report["members"]:
            held = (row["incarnation"], row["process"], STATES[row["held"]])
            if self.rows.get((name, row["name"])) != held:
                self.rows[name, row["name"]] = held
                self.history.held.append(Held(self.now(), name, row["name"], *held))

    def states(self, by: str) -> dict[str, str]:
        """How it holds each, as it last told."""
        report = self.reports.get(by)
        return {row["name"]: row["state"] for row in report["members"]} if report else {}

    def alike(self) -> bool:
        """Whether all that run hold each other alive, in one view."""
        up = [name for name, life in self.lives.items() if life.end > self.now()]
        views = [self.reports.get(name) for name in up]
        return (
            all(views)
            and len({view["digest"] for view in views if view}) == 1
            and all(self.states(by).get(name) == "alive" for by in up for name in up)
        )
