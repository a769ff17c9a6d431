"""Discovery: the watch on the list, its reconnects, and the notices to the platform."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import re
from collections.abc import Callable
from typing import Any

import h11

from rushhitch.connection import Connection

log = logging.getLogger(__name__)

SILENCE_S = 3.5  # a watch says something every 2 s: after so long without a whole word of it, it is dead.
SOON_S = 1.2  # The next is asked for within so long: 6 s after the silence began all it misses counts as told
CONNECT_S, ANSWER_S = 1.0, 3.0
BACKOFF_S, BACKOFF_TOP_S = 0.2, 2.0  # between two watches: doubled each time, and stretched by chance
SHARE_S = 0.1  # for each other dispatcher: the least rest between two watches, and the spread of the first
LONGEST_S = 4.5  # but no rest is longer: one who does not ask for 10 s counts as told of everything
NOTICE_S, NOTICE_TOP_S = 0.15, 2.0  # notices are answered at once: after so long they are sent again on
NOTICE_IDLE_S = 1.0  # a connection that idled longer may have been dropped unseen: an end would come late
NOTICE_REST_S = 0.05  # another connection, with more patience each time
MOST_LINE = 4_000_000
MOST_NOTICES = 100  # in one request
BROKEN = (OSError, TimeoutError, h11.ProtocolError, ValueError)


class Asks:
    """When to ask for a watch. Discovery is one service for all dispatchers and works through their calls in
    turn: where all ask at once, as after an outage of its own or a release, each call waits too long and all
    fail again. So rests grow with the number of dispatchers, and the first ask waits too: a list is known."""

    def __init__(self, chance: random.Random, dispatchers: int = 1) -> None:
        self.chance, self.failures = chance, 0
        self.resize(dispatchers)
        self.spread_s = min(self.share_s, LONGEST_S)

    def resize(self, dispatchers: int) -> None:
        """So many ask from now on, this one among them."""
        self.share_s = SHARE_S * (dispatchers - 1)

    def first(self) -> float:
        """Seconds until the first of the process; one at a new address comes at once, the list may be old."""
        spread_s, self.spread_s = self.spread_s, 0.0
        return self.chance.random() * spread_s

    def soon(self) -> float:
        """Seconds until the one in place of a watch that fell silent: what it misses may count as told soon.
        Watches fall silent at moments of their own, so those who ask are spread by more than this."""
        self.failures = 0
        return self.chance.random() * min(self.share_s, SOON_S)

    def rest(self) -> float:
        """Seconds until the next one after one that ended or failed."""
        least = max(BACKOFF_S, min(self.share_s, LONGEST_S / 2.0))
        top = max(BACKOFF_TOP_S, min(2.0 * self.share_s, LONGEST_S))
        rest = min(least * 2.0 ** min(self.failures, 16), top)
        self.failures += 1
        return rest * self.chance.uniform(0.5, 1.5)


class Silent(Exception):
    """The watch says nothing whole any more, and its connection stays open."""


class Words:
    """Takes a watch's bytes apart: an object each, over one line or several, and empty lines between them."""

    MARKS = re.compile(rb'[{}\n]|"(?:[^"\\]|\\.)*"|"', re.DOTALL)  # a text as a whole: it may hold braces

    def __init__(self) -> None:
        self.held = b""  # of an object that has not come whole
        self.depth = self.at = 0  # braces open in it, and how far it was gone over

    def feed(self, data: bytes) -> list[bytes]:
        """What is whole now: objects, and an empty one for an empty line. A `ValueError` for any other."""
        held, start, words = self.held + data, 0, []
        while mark := self.MARKS.search(held, self.at):
            if mark[0] == b'"':  # a text whose end has not come
                self.at = mark.start()
                break
            self.at = mark.end()
            if mark[0] == b"{":
                self.depth += 1
            elif mark[0] == b"}":
                self.depth -= 1
            if self.depth > 0 or mark[0] not in b"}\n":
                continue
            word, start = held[start : self.at].strip(), self.at
            if word and not word.startswith(b"{"):
                raise ValueError(f"no object: {word[:80]!r}")
            words.append(word)
        else:
            self.at = len(held)
        self.held, self.at = held[start:], self.at - start
        if len(self.held) > MOST_LINE:
            raise ValueError(f"an object of more than {MOST_LINE} bytes")
        if not self.depth and not b"{".startswith(self.held.lstrip()[:1]):
            raise ValueError(f"no object: {self.held[:80]!r}")
        return words


class Watch:
    """Keeps a watch open from the version known; hands each line of it to `told`."""

    def __init__(
        self,
        address: tuple[str, int],
        version: int,
        told: Callable[[dict[str, Any]], None],
        chance: random.Random,
        silence_s: float = SILENCE_S,
        dispatchers: int = 1,
    ) -> None:
        self.address, self.version, self.told = address, version, told
        self.silence_s, self.asks = silence_s, Asks(chance, dispatchers)

    def move(self, address: tuple[str, int]) -> None:
        """The next `run` opens its watch there at once, from the version known."""
        self.address, self.asks.failures = address, 0

    async def run(self) -> None:
        await asyncio.sleep(self.asks.first())
        while True:
            rest = self.asks.rest
            try:
                await self.watch()
            except Silent:
                log.info("watch ended: it fell silent")
                rest = self.asks.soon
            except BROKEN as error:
                log.info("watch ended: %r", error)
            except Exception:
                log.exception("watch failed")
            await asyncio.sleep(rest())

    async def watch(self) -> None:
        """One watch, until it breaks or falls silent."""
        async with asyncio.timeout(CONNECT_S):
            connection = await Connection.open(self.address)
        try:
            await connection.send("GET", f"/discovery/hosts?watch=1&from={self.version}", [])
            async with asyncio.timeout(ANSWER_S):
                response = await connection.response()
            if response.status_code != 200:
                raise ConnectionError(f"discovery answered {response.status_code}")
            words = Words()
            while True:
                # From whole word to whole word: part of one, however it trickles, is no sign of life.
                try:
                    async with asyncio.timeout(self.silence_s):
                        while not (lines := await self.more(connection, words)):
                            pass
                except TimeoutError:
                    raise Silent from None
                self.asks.failures = 0
                for line in lines:
                    if line:
                        self.read(line)
        finally:
            connection.close()

    @staticmethod
    async def more(connection: Connection, words: Words) -> list[bytes]:
        event = await connection.event()
        if not isinstance(event, h11.Data):
            raise ConnectionError("discovery ended the watch")
        return words.feed(bytes(event.data))

    def read(self, line: bytes) -> None:
        news = json.loads(line)
        if not isinstance(news.get("version"), int) or not isinstance(news.get("servers"), list):
            raise ValueError(f"a word of the watch has no version or no servers: {line[:80]!r}")
        self.told(news)
        self.version = news["version"]


class Unreadable(Exception):
    """The platform cannot read what it was sent."""


class Notices:
    """Tells the platform of each end until it has heard: 204 is its word for that."""

    def __init__(self, address: tuple[str, int], heard: Callable[[int], None]) -> None:
        self.address, self.heard = address, heard
        self.due: dict[int, dict[str, Any]] = {}  # by the message's number: its id may have come again
        self.wake, self.empty = asyncio.Event(), asyncio.Event()
        self.empty.set()
        self.connection: Connection | None = None
        self.used_at = 0.0

    def add(self, number: int, message: bytes, result: str, wait_ms: float) -> None:
        notice: dict[str, Any] = {"ref": message.decode("latin-1"), "result": result}
        if wait_ms > 0:
            notice["wait_ms"] = int(wait_ms)
        self.due[number] = notice
        self.empty.clear()
        self.wake.set()

    def move(self, address: tuple[str, int]) -> None:
        """The next `run` sends there all that is due, also what the old address may have heard."""
        self.address = address
        self.wake.set()

    async def run(self) -> None:
        try:
            await self.tell()
        finally:
            self.drop_connection()

    async def tell(self) -> None:
        most, patience = MOST_NOTICES, NOTICE_S
        while True:
            await self.wake.wait()
            self.wake.clear()
            while self.due:
                try:
                    await self.post(list(self.due)[:most], patience)
                    most, patience = MOST_NOTICES, NOTICE_S
                    continue
                except Unreadable as error:
                    # Guards against one bad notice that keeps all others from being told.
                    if most == 1:
                        log.error("a notice is given up: %s: %r", error, self.due.pop(next(iter(self.due))))
                    most = 1
                except BROKEN as error:
                    patience = min(2.0 * patience, NOTICE_TOP_S)
                    log.info("notices are sent again: %r", error)
                except Exception:
                    log.exception("notices failed")
                self.drop_connection()
                await asyncio.sleep(NOTICE_REST_S)
            self.empty.set()

    async def post(self, numbers: list[int], patience: float) -> None:
        body = b"".join(json.dumps(self.due[number]).encode() + b"\n" for number in numbers)
        async with asyncio.timeout(patience):
            idled = asyncio.get_running_loop().time() - self.used_at
            if self.connection is not None and (idled > NOTICE_IDLE_S or not self.connection.quiet()):
                self.drop_connection()
            if self.connection is None:
                self.connection = await Connection.open(self.address)
            await self.connection.send("POST", "/status", [], body)
            response = await self.connection.response()
            await self.connection.body(MOST_LINE)
        if response.status_code == 400:
            raise Unreadable("the platform answered 400")
        if response.status_code != 204:
            raise ConnectionError(f"a notice was answered {response.status_code}")
        self.used_at = asyncio.get_running_loop().time()
        for number in numbers:
            del self.due[number]
            self.heard(number)
        if not self.connection.next_cycle():
            self.drop_connection()

    def drop_connection(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None


class Platform:
    """The watch and the notices at work, at one address at a time."""

    def __init__(self, watch: Watch, notices: Notices) -> None:
        self.watch, self.notices = watch, notices
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.watch.run()), loop.create_task(self.notices.run())]

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()

    def move(self, address: tuple[str, int]) -> None:
        """Go on at the new address at once; the connections to the old one are closed."""
        self.stop()
        self.watch.move(address)
        self.notices.move(address)
        self.start()
