"""Discovery: the watch on the list, its reconnects, and the notices to the platform."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import random
import re
from collections.abc import Callable
from typing import Any

import h11

from rushhitch.connection import Connection

log = logging.getLogger(__name__)

# What discovery has to tell counts as told 6 s after it could be reached, whatever failed before. The most
# that a dispatcher waits, with one refusal and 1 s for the answer: 2 * PERIOD_S + 1 after any call in vain,
# CROWDED_S + AGAIN_S + 1 after one that was refused late, SILENCE_S + SOON_S + AGAIN_S + 1 after a watch fell
# silent. `docs/design/discovery.md` has what it takes.
PERIOD_S = 2.4  # from a call's beginning to the next one's, and the spread of those who ask together
CROWDED_S = 4.5  # the same where many ask and one was let wait and refused: it may tell of too many
CROWDED_CALLS = 12  # so many on end may as well be a discovery that is down and says so late
RARE_S, RARER_S, RAREST_S = 6.0, 3.0, 18.0  # then by chance: from the first on, the second more each time
DOWN_CALLS = 2  # so many that fail at once, on end: it is down and says so; one refused late stood in a queue
WAITED_S = 1.0  # from a request to its refusal: it stood in a queue
ANSWER_S = 6.0  # a call is waited for so long, beside later ones: a late answer is as good
BACKOFF_S = 0.2  # from a call's beginning to the next one's: doubled each time, up to the period
SHARE_S = 0.1  # for each other dispatcher: the least of it, and the spread of the first calls
SILENCE_S = 3.5  # a watch says something every 2 s: after so long without a whole word of it, it is dead
SOON_S, AGAIN_S = 1.05, 0.3  # the next is asked for within so long, and once more after a refusal
NOTICE_S, NOTICE_TOP_S = 0.15, 2.0  # notices are answered at once: after so long they are sent again on
NOTICE_ANSWER_TOP_S = 10.0  # the same where the request was written: who is slow to answer is heard, too
NOTICE_IDLE_S = 1.0  # a connection that idled longer may have been dropped unseen: an end would come late
NOTICE_ASIDE_S = 10.0  # one that could not be read is told again on its own: its end is owed still
NOTICE_REST_S = 0.05  # another connection, with more patience each time
MOST_LINE = 4_000_000
MOST_NOTICES = 100  # in one request
BROKEN = (OSError, TimeoutError, h11.ProtocolError, ValueError)


class ReconnectSchedule:
    """When to ask for a watch. Discovery is one service for all dispatchers and works through their calls in
    turn: where all ask at once, as after an outage of its own or a release, each call waits too long and all
    fail again. So those who lose their watch together are spread by chance over a period, and each keeps the
    place that it drew: from a call's beginning to the next it is a period, however the call failed."""

    def __init__(self, chance: random.Random, dispatchers: int = 1) -> None:
        self.chance, self.failures, self.late, self.at_once = chance, 0, 0, 0
        self.hurried, self.rested, self.placed = False, False, True
        self.resize(dispatchers)
        self.initial_spread_s = min(self.share_s, PERIOD_S)

    def resize(self, dispatchers: int) -> None:
        """So many ask from now on, this one among them."""
        self.share_s = SHARE_S * (dispatchers - 1)

    @property
    def many(self) -> bool:
        """Whether they may crowd discovery."""
        return self.share_s > PERIOD_S

    def initial_delay(self) -> float:
        """Seconds until the first of the process; one at a new address comes at once, the list may be old."""
        initial_spread_s, self.initial_spread_s = self.initial_spread_s, 0.0
        self.placed = initial_spread_s > 0.0 or self.share_s == 0.0
        return self.chance.random() * initial_spread_s

    def reset(self) -> None:
        """A watch told something: what failed before is over."""
        self.failures, self.late, self.at_once = 0, 0, 0
        self.hurried = self.rested = False

    def delay_after_silence(self) -> float:
        """Seconds until the one in place of a watch that fell silent: what it misses may count as told soon.
        Watches fall silent at moments of their own, so those who ask are spread by more than this."""
        self.hurried, self.placed = True, True
        return self.chance.random() * min(self.share_s, SOON_S)

    def delay_after_end(self, lasted_s: float) -> float:
        """Seconds until the one in place of a watch that ended `lasted_s` after it was asked for."""
        placed, self.placed = self.placed, True
        period_s = self.period()
        if placed and lasted_s < period_s:
            return period_s - lasted_s
        return self.chance.random() * period_s

    def delay_after_failure(self, waited_s: float = -math.inf) -> float:
        """Seconds from the beginning of one that failed to the next. Where discovery refused it, `waited_s`
        tells how long after the request. After a silence or a long rest, one that is refused comes again at
        once: discovery may be back, and have refused this one call."""
        hurried, self.hurried = self.hurried, False
        rested, self.rested = self.rested, False
        if hurried and waited_s >= 0.0:
            return AGAIN_S
        # Where many have come at once, a queue is told by less.
        if waited_s >= (WAITED_S if self.placed or not self.many else AGAIN_S):
            return self.crowded(waited_s)
        if rested and waited_s >= 0.0:
            return AGAIN_S
        self.at_once = 1 if self.late else self.at_once + 1
        self.late = 0
        return self.place(waited_s, self.period())

    def delay_to_parallel_call(self, waited_s: float = -math.inf) -> float:
        """Seconds from the beginning of one with no answer to one beside it; an older one was refused after
        `waited_s`."""
        if self.late:
            return CROWDED_S
        if waited_s >= WAITED_S and self.many:
            return self.chance.uniform(PERIOD_S, CROWDED_S)
        return PERIOD_S if self.placed else self.place(PERIOD_S, CROWDED_S)

    def period(self) -> float:
        """How far calls that fail are apart."""
        self.failures += 1
        return min(max(BACKOFF_S, self.share_s) * 2.0 ** min(self.failures - 1, 16), PERIOD_S)

    def place(self, from_s: float, to_s: float) -> float:
        """The end of that time; one that has come with all others, at once, draws its place in it first."""
        placed, self.placed = self.placed, True
        return to_s if placed else self.chance.uniform(min(max(from_s, 0.0), to_s), to_s)

    def crowded(self, waited_s: float) -> float:
        """The period after a call that was let wait: more may ask than discovery serves, and a call that it
        refuses late costs it as much as an answer. A discovery that is down may do so too, and is asked in
        time for its return; one that said at once that it was down is back, and asked the more rarely."""
        if not self.many:
            return self.place(waited_s, PERIOD_S)
        self.late += 1
        self.rested = True
        rarer = self.late if self.at_once >= DOWN_CALLS else self.late - CROWDED_CALLS
        if rarer > 0:
            self.placed = True
            return self.chance.uniform(RARE_S, min(RARE_S + RARER_S * rarer, RAREST_S))
        self.placed = self.placed and self.late > 1  # the first draws: they came in half of this time
        return self.place(waited_s, CROWDED_S)


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
        self.silence_s, self.schedule = silence_s, ReconnectSchedule(chance, dispatchers)

    def move(self, address: tuple[str, int]) -> None:
        """The next `run` opens its watch there at once, from the version known."""
        self.address = address
        self.schedule.reset()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.schedule.initial_delay())
        while True:
            connection, asked_at = await self.opened()
            try:
                await self.listen(connection)
            except Silent:
                log.info("watch ended: it fell silent")
                rest_s = self.schedule.delay_after_silence()
            except Exception as error:
                self.note(error)
                rest_s = self.schedule.delay_after_end(loop.time() - asked_at)
            finally:
                connection.close()
            await asyncio.sleep(rest_s)

    async def opened(self) -> tuple[Connection, float]:
        """Ask until a call is answered; gives its connection, and when the newest call began. One that has
        no answer when the next is due goes on beside it: given up, its answer would be told and not heard."""
        loop = asyncio.get_running_loop()
        calls: set[asyncio.Task[Connection | float]] = set()
        try:
            while True:
                began = loop.time()
                newest = loop.create_task(self.ask())
                calls.add(newest)
                due = began + PERIOD_S
                while calls and (left_s := due - loop.time()) > 0.0:
                    done, _ = await asyncio.wait(calls, timeout=left_s, return_when=asyncio.FIRST_COMPLETED)
                    for call in done:
                        calls.remove(call)
                        if not isinstance(answer := call.result(), float):
                            return answer, began
                        if call is newest:
                            due = began + self.schedule.delay_after_failure(answer)
                        elif newest in calls:  # with no word yet: what an older one heard counts
                            due = began + self.schedule.delay_to_parallel_call(answer)
                    if not done:
                        due = began + self.schedule.delay_to_parallel_call()
                await asyncio.sleep(due - loop.time())
        finally:
            for call in calls:
                if not (call.cancel() or call.cancelled() or isinstance(late := call.result(), float)):
                    late.close()

    async def ask(self) -> Connection | float:
        """One call for a watch: its connection once it is answered, or how long it waited to be refused."""
        loop = asyncio.get_running_loop()
        connection, written_at = None, math.inf
        try:
            async with asyncio.timeout(ANSWER_S):
                connection = await Connection.open(self.address)
                await connection.send("GET", f"/discovery/hosts?watch=1&from={self.version}", [])
                written_at = loop.time()
                response = await connection.response()
            if response.status_code != 200:
                raise ConnectionError(f"discovery answered {response.status_code}")
            answered, connection = connection, None
            return answered
        except Exception as error:
            self.note(error)
            return -math.inf if isinstance(error, TimeoutError) else loop.time() - written_at
        finally:
            if connection is not None:
                connection.close()

    @staticmethod
    def note(error: Exception) -> None:
        if isinstance(error, BROKEN):
            log.info("watch ended: %r", error)
        else:
            log.error("watch failed", exc_info=error)

    async def listen(self, connection: Connection) -> None:
        """Hear the watch, until it breaks or falls silent."""
        words = Words()
        while True:
            # From whole word to whole word: part of one, however it trickles, is no sign of life.
            try:
                async with asyncio.timeout(self.silence_s):
                    while not (lines := await self.more(connection, words)):
                        pass
            except TimeoutError:
                raise Silent from None
            self.schedule.reset()
            for line in lines:
                if line:
                    self.read(line)

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


class NoticeSender:
    """Tells the platform of each end until it has heard: 204 is its word for that."""

    def __init__(self, address: tuple[str, int], heard: Callable[[int], None]) -> None:
        self.address, self.heard = address, heard
        self.due: dict[int, dict[str, Any]] = {}  # by the message's number: its id may have come again
        self.wake, self.empty = asyncio.Event(), asyncio.Event()
        self.empty.set()
        self.connection: Connection | None = None
        self.used_at = 0.0
        self.be_quick()

    def be_quick(self) -> None:
        """Another connection is tried soon, whatever was waited for before."""
        self.write_s = self.answer_s = NOTICE_S

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

    async def run(self) -> None:
        try:
            await self.tell()
        finally:
            self.drop_connection()

    async def tell(self) -> None:
        most = MOST_NOTICES
        self.be_quick()
        self.wake.set()  # an earlier `run` may have been stopped with some under way
        while True:
            await self.wake.wait()
            self.wake.clear()
            while self.due:
                try:
                    await self.post(list(self.due)[:most])
                    self.be_quick()
                    continue
                except Unreadable as error:
                    # Guards against one bad notice that keeps all others from being told: one by one, until
                    # it is found.
                    if most == 1:
                        self.set_aside(next(iter(self.due)), error)
                    most = 1 if most > 1 else MOST_NOTICES
                except BROKEN as error:
                    log.info("notices are sent again: %r", error)
                except Exception:
                    log.exception("notices failed")
                self.drop_connection()
                await asyncio.sleep(NOTICE_REST_S)
            most = MOST_NOTICES
            self.empty.set()

    def set_aside(self, number: int, error: Unreadable) -> None:
        """The journal keeps it; until it is told again it holds up no other, nor the end of the process."""
        notice = self.due.pop(number)
        log.error("a notice is told again in %g s: %s: %r", NOTICE_ASIDE_S, error, notice)
        asyncio.get_running_loop().call_later(NOTICE_ASIDE_S, self.tell_again, number, notice)

    def tell_again(self, number: int, notice: dict[str, Any]) -> None:
        self.due.setdefault(number, notice)
        self.empty.clear()
        self.wake.set()

    async def post(self, numbers: list[int]) -> None:
        told = {number: self.due[number] for number in numbers}
        body = b"".join(json.dumps(notice).encode() + b"\n" for notice in told.values())
        connection = await self.write(body)
        response = await self.answer(connection)
        if response.status_code == 400:
            raise Unreadable("the platform answered 400")
        if response.status_code != 204:
            raise ConnectionError(f"a notice was answered {response.status_code}")
        self.used_at = asyncio.get_running_loop().time()
        for number, notice in told.items():
            if self.due[number] is notice:  # another that came meanwhile is not heard yet
                del self.due[number]
                self.heard(number)
        if not connection.prepare_next_request():
            self.drop_connection()

    async def write(self, body: bytes) -> Connection:
        """Send the request; gives its connection."""
        try:
            async with asyncio.timeout(self.write_s):
                idled = asyncio.get_running_loop().time() - self.used_at
                if self.connection is not None and (
                    idled > NOTICE_IDLE_S or not self.connection.has_no_input()
                ):
                    self.drop_connection()
                if self.connection is None:
                    self.connection = await Connection.open(self.address)
                await self.connection.send("POST", "/status", [], body)
                return self.connection
        except TimeoutError:
            self.write_s = min(2.0 * self.write_s, NOTICE_TOP_S)
            raise

    async def answer(self, connection: Connection) -> h11.Response:
        """The head of its answer. Guards against a platform that hears and never is heard: it is waited for
        longer each time, as long as the connection comes up."""
        try:
            async with asyncio.timeout(self.answer_s):
                response = await connection.response()
                await connection.body(MOST_LINE)
                return response
        except TimeoutError:
            self.answer_s = min(2.0 * self.answer_s, NOTICE_ANSWER_TOP_S)
            raise

    def drop_connection(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None


class PlatformClient:
    """The watch and the notices at work, at one address at a time."""

    def __init__(self, watch: Watch, notices: NoticeSender) -> None:
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
