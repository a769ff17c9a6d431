"""A bank that answers 202 and acknowledges later, by events to the front of the dispatcher that called. It
tries until its word is taken, since the dispatcher may be down; some words it says twice."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import Protocol

from lab.history import ACCEPTED
from lab.http import Request
from rushhitch.cloudevents.http import decode

KIND = "org.example.bank."  # and one of the verdicts
SOURCE = "/bank/"  # and the destination
TRY_S, ANSWER_S = 0.2, 2.0  # between two tries; for one
TWICE = 0.2  # share of its words that it says again


class Terms(Protocol):
    """How a partner acknowledges: after how long, what share it denies, and its destination's number."""

    dest: int
    acknowledges_ms: float
    denies: float


class Bank:
    """The acknowledgements of all partners of a run; `reply` tells the history what became of a message."""

    def __init__(self, chance: random.Random, reply: Callable[[int, list[str], str], None]) -> None:
        self.chance, self.reply = chance, reply
        self.numbers = itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()
        self.ports: dict[str, int] = {}  # of the fronts that serve, by dispatcher

    def serves(self, dispatcher: str, event_port: int) -> None:
        """A dispatcher is up, with its front there, or (0) it is not."""
        self.ports.pop(dispatcher, None)
        if event_port:
            self.ports[dispatcher] = event_port

    def owe(self, spec: Terms, request: Request, call: int, ids: list[str]) -> None:
        headers = [
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in request.headers.items()
        ]
        _, events = decode(headers, request.body)
        dispatcher = request.connection.dispatcher
        for name, event in zip(ids, events, strict=True):
            chance = self.chance
            verdict = "not-run" if chance.random() < spec.denies else "delivered"
            twice = chance.random() < TWICE
            work = self.tell(spec, dispatcher, call, name, event.identity, verdict, twice)  # type: ignore[union-attr]
            task = asyncio.get_running_loop().create_task(work)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def tell(
        self,
        spec: Terms,
        dispatcher: str,
        call: int,
        name: str,
        identity: tuple[str, str],
        verdict: str,
        twice: bool,
    ) -> None:
        """Say it until it is heard; then the history has what became of the message."""
        chance = self.chance
        await asyncio.sleep(spec.acknowledges_ms / 1000.0 * chance.uniform(0.2, 1.8))
        if verdict == "not-run":  # it says so only of what it will never do: no effect from here on
            self.reply(call, [name], "denied")
        number, status, unanswered = next(self.numbers), 0, False
        while status in (0, 503):
            status = await self.post(dispatcher, number, spec.dest, identity, verdict)
            if status in (0, 503):
                unanswered |= status == 0
                await asyncio.sleep(TRY_S)
        if verdict == "delivered":  # one that was heard by a process which was killed then is not known later
            heard = status == 200 or (status == 404 and unanswered)
            self.reply(call, [name], ACCEPTED if heard else "error")
        if twice:
            await asyncio.sleep(TRY_S)
            await self.post(dispatcher, number, spec.dest, identity, verdict)

    async def post(
        self, dispatcher: str, number: int, dest: int, identity: tuple[str, str], verdict: str
    ) -> int:
        """The status that it is answered with; 0 where there is none."""
        source, event_id = identity
        headers = {
            "Host": "lab",
            "Content-Length": "0",
            "ce-specversion": "1.0",
            "ce-id": f"ack-{number}",
            "ce-source": f"{SOURCE}{dest}",
            "ce-type": KIND + verdict,
            "ce-causationid": event_id,
            "ce-causationsource": source,
        }
        lines = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
        try:
            async with asyncio.timeout(ANSWER_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[dispatcher])
                try:
                    writer.write(f"POST / HTTP/1.1\r\n{lines}\r\n".encode("latin-1"))
                    return int((await reader.readline()).split(b" ")[1])
                finally:
                    writer.close()
        except (OSError, TimeoutError, KeyError, IndexError):
            return 0

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()


def toml(dests: list[int]) -> str:
    """Its line in the section of a dispatcher's own file."""
    sources = ", ".join(f'"{SOURCE}{dest}" = {dest}' for dest in dests)
    types = ", ".join(f'"{KIND}{verdict}" = "{verdict}"' for verdict in ("delivered", "not-run"))
    return f"acknowledgements = {{ sources = {{ {sources} }}, types = {{ {types} }} }}\n"
