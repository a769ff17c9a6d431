"""Discovery: watching the endpoint list, and reconnecting."""

from __future__ import annotations

import asyncio
import hashlib
import json
import logging
import math
import random
import re
from collections import deque
from collections.abc import Callable
from typing import Any

import h11

from rushhitch.connection import Connection
from rushhitch.notices import NoticeSender

log = logging.getLogger(__name__)

# What discovery has must be received within 6 s after discovery becomes reachable, whatever failed before.
# The longest waits, with one refusal and 1 s for the answer, are: 2 * PERIOD_S + 1 after any failed call,
# CROWDED_PERIOD_S + QUICK_RETRY_S + 1 after one that was refused late, and
# SILENCE_S + SILENCE_RECONNECT_S + QUICK_RETRY_S + 1 after a watch fell silent. `docs/design/discovery.md`
# has what discovery must serve for that.
PERIOD_S = 2.4  # between the starts of calls, and the spread of dispatchers that call at the same time
CROWDED_PERIOD_S = 4.5  # the same in a large fleet after a late refusal, which may mean too many callers
MAX_CROWDED_CALLS = 12  # late refusals in a row before backing off: discovery may be down and refuse late
# Back-off after that: drawn between the first and a bound that grows by the second per call, up to the third.
OVERLOAD_BACKOFF_S, OVERLOAD_BACKOFF_STEP_S, MAX_OVERLOAD_BACKOFF_S = 6.0, 3.0, 18.0
MIN_FAST_FAILURES = 2  # in a row: discovery is down and refuses at once, so a late refusal means a queue
QUEUED_S = 1.0  # a refusal this long after its request had waited in a queue
ANSWER_S = 6.0  # time-out of a call; it stays open beside later calls, since a late answer is as good
MIN_PERIOD_S = 0.2  # after the first failure; doubled with each, up to PERIOD_S
SPREAD_PER_DISPATCHER_S = 0.1  # for each other one: spread of the first calls, and least period of later ones
SILENCE_S = 3.5  # a watch sends something every 2 s: after this long without a complete item it is dead
SILENCE_RECONNECT_S, QUICK_RETRY_S = 1.05, 0.3  # limit of the delay after a silence; then after one refusal
MAX_LINE_BYTES = 4_000_000
MAX_REMEMBERED_LINES = 256  # of a watch, to tell a copy of an older line from a discovery that began anew
DIGEST_BYTES = 16  # of a line
EXPECTED_ERRORS = (OSError, TimeoutError, h11.ProtocolError, ValueError)


class ReconnectSchedule:
    """When to call discovery for a watch. Discovery is one service for all dispatchers and serves their calls
    one after another: if all call at once, as after an outage or a release, each call waits too long and all
    fail again. Dispatchers that lose their watch together are therefore spread at random over a period, and
    each keeps its offset, since calls start one period apart however they fail. Delays are in seconds."""

    def __init__(self, chance: random.Random, dispatchers: int = 1) -> None:
        self.chance, self.failures, self.queued_refusals, self.fast_failures = chance, 0, 0, 0
        self.after_silence, self.after_long_delay, self.spread_out = False, False, True
        self.resize(dispatchers)
        self.initial_spread_s = min(self.fleet_spread_s, PERIOD_S)

    def resize(self, dispatchers: int) -> None:
        """Set the size of the fleet, this dispatcher included."""
        self.fleet_spread_s = SPREAD_PER_DISPATCHER_S * (dispatchers - 1)

    @property
    def may_crowd(self) -> bool:
        """Whether the fleet is large enough to overload discovery."""
        return self.fleet_spread_s > PERIOD_S

    def initial_delay(self) -> float:
        """Before the first call. After a change of address it is 0, since the list may be outdated."""
        initial_spread_s, self.initial_spread_s = self.initial_spread_s, 0.0
        self.spread_out = initial_spread_s > 0.0 or self.fleet_spread_s == 0.0
        return self.chance.random() * initial_spread_s

    def reset(self) -> None:
        """Forget earlier failures: a watch has delivered something."""
        self.failures, self.queued_refusals, self.fast_failures = 0, 0, 0
        self.after_silence = self.after_long_delay = False

    def delay_after_silence(self) -> float:
        """Before the call that replaces a silent watch. It is short, since part of the 6 s is already spent;
        watches fall silent at different times, which spreads the calls further."""
        self.after_silence, self.spread_out = True, True
        return self.chance.random() * min(self.fleet_spread_s, SILENCE_RECONNECT_S)

    def delay_after_end(self, lasted_s: float) -> float:
        """Before the call that replaces a watch that ended `lasted_s` after its call began."""
        spread_out, self.spread_out = self.spread_out, True
        period_s = self.next_period()
        if spread_out and lasted_s < period_s:
            return period_s - lasted_s
        return self.chance.random() * period_s

    def delay_after_failure(self, waited_s: float = -math.inf) -> float:
        """From the start of a failed call to the next. If discovery refused it, `waited_s` is the time from
        request to refusal. The first refusal after a silence or a long delay is retried quickly: discovery
        may be back and have refused only this call."""
        after_silence, self.after_silence = self.after_silence, False
        after_long_delay, self.after_long_delay = self.after_long_delay, False
        if after_silence and waited_s >= 0.0:
            return QUICK_RETRY_S
        # If all have called at once, a shorter wait already means a queue.
        if waited_s >= (QUEUED_S if self.spread_out or not self.may_crowd else QUICK_RETRY_S):
            return self.delay_when_crowded(waited_s)
        if after_long_delay and waited_s >= 0.0:
            return QUICK_RETRY_S
        self.fast_failures = 1 if self.queued_refusals else self.fast_failures + 1
        self.queued_refusals = 0
        return self.spread_delay(waited_s, self.next_period())

    def delay_to_parallel_call(self, waited_s: float = -math.inf) -> float:
        """From the start of a call without an answer to the next, parallel one. `waited_s` is given if an
        older call was refused after that time."""
        if self.queued_refusals:
            return CROWDED_PERIOD_S
        if waited_s >= QUEUED_S and self.may_crowd:
            return self.chance.uniform(PERIOD_S, CROWDED_PERIOD_S)
        return PERIOD_S if self.spread_out else self.spread_delay(PERIOD_S, CROWDED_PERIOD_S)

    def next_period(self) -> float:
        """Count a failure and return the time between starts of calls."""
        self.failures += 1
        return min(max(MIN_PERIOD_S, self.fleet_spread_s) * 2.0 ** min(self.failures - 1, 16), PERIOD_S)

    def spread_delay(self, from_s: float, to_s: float) -> float:
        """Return `to_s`, or a random delay up to it if this dispatcher has not been spread out yet."""
        spread_out, self.spread_out = self.spread_out, True
        return to_s if spread_out else self.chance.uniform(min(max(from_s, 0.0), to_s), to_s)

    def delay_when_crowded(self, waited_s: float) -> float:
        """After a late refusal: there may be more callers than discovery serves, and a late refusal costs it
        as much as an answer. A discovery that is down may also refuse late, so back-off begins only after
        `MAX_CROWDED_CALLS`; one that refused at once while it was down is back, and back-off begins now."""
        if not self.may_crowd:
            return self.spread_delay(waited_s, PERIOD_S)
        self.queued_refusals += 1
        self.after_long_delay = True
        backoff_steps = (
            self.queued_refusals
            if self.fast_failures >= MIN_FAST_FAILURES
            else self.queued_refusals - MAX_CROWDED_CALLS
        )
        if backoff_steps > 0:
            self.spread_out = True
            return self.chance.uniform(
                OVERLOAD_BACKOFF_S,
                min(OVERLOAD_BACKOFF_S + OVERLOAD_BACKOFF_STEP_S * backoff_steps, MAX_OVERLOAD_BACKOFF_S),
            )
        # The first one draws, since calls were spread over only half of this time.
        self.spread_out = self.spread_out and self.queued_refusals > 1
        return self.spread_delay(waited_s, CROWDED_PERIOD_S)


class WatchSilent(Exception):
    """The watch delivers no complete item any more although its connection stays open."""


class JsonFramer:
    """Splits a watch's bytes into JSON objects, each on one line or several, and empty lines between them."""

    # Strings are matched as a whole, since they may contain braces.
    MARKS = re.compile(rb'[{}\n]|"(?:[^"\\]|\\.)*"|"', re.DOTALL)

    def __init__(self) -> None:
        self.buffer = b""  # an incomplete object
        self.depth = self.at = 0  # open braces in it, and how far it was scanned

    def feed(self, data: bytes) -> list[bytes]:
        """The items complete by now: objects, and b"" for an empty line. Raises `ValueError` for other input,
        or an object of more than `MAX_LINE_BYTES`."""
        buffer, start, objects = self.buffer + data, 0, []
        while mark := self.MARKS.search(buffer, self.at):
            if mark[0] == b'"':  # an unterminated string
                self.at = mark.start()
                break
            self.at = mark.end()
            if mark[0] == b"{":
                self.depth += 1
            elif mark[0] == b"}":
                self.depth -= 1
            if self.depth > 0 or mark[0] not in b"}\n":
                continue
            text, start = buffer[start : self.at].strip(), self.at
            if text and not text.startswith(b"{"):
                raise ValueError(f"no object: {text[:80]!r}")
            objects.append(text)
        else:
            self.at = len(buffer)
        self.buffer, self.at = buffer[start:], self.at - start
        if len(self.buffer) > MAX_LINE_BYTES:
            raise ValueError(f"discovery update exceeds {MAX_LINE_BYTES} bytes")
        if not self.depth and not b"{".startswith(self.buffer.lstrip()[:1]):
            raise ValueError(f"no object: {self.buffer[:80]!r}")
        return objects


class VersionsFell(ConnectionError):
    """A watch went on with a version below one that it has sent: discovery may have begun anew."""


class ListStream:
    """The versions of one watch. Its first line counts whatever its version, since discovery may have begun
    anew; from then on versions only rise, and an older line that comes again is not applied."""

    def __init__(self) -> None:
        self.newest: int | None = None
        self.recent: deque[bytes] = deque(maxlen=MAX_REMEMBERED_LINES)  # digests

    def accepts(self, version: int, line: bytes) -> bool:
        """Whether a line is newer than those before it, or the newest again. Raises `VersionsFell` for one
        that is older and no copy of a recent line."""
        digest = hashlib.blake2b(line, digest_size=DIGEST_BYTES).digest()
        if self.newest is not None and version < self.newest:
            if digest in self.recent:
                return False
            raise VersionsFell(f"version {version} behind {self.newest}")
        self.newest = version
        self.recent.append(digest)
        return True


class Watch:
    """Keeps a watch open from the last known version and passes each update to `on_update`."""

    def __init__(
        self,
        address: tuple[str, int],
        version: int,
        on_update: Callable[[dict[str, Any]], None],
        chance: random.Random,
        silence_s: float = SILENCE_S,
        dispatchers: int = 1,
    ) -> None:
        self.address, self.version, self.on_update = address, version, on_update
        self.silence_s, self.schedule = silence_s, ReconnectSchedule(chance, dispatchers)
        self.repeated_lines = 0  # older lists that came again behind newer ones

    def move(self, address: tuple[str, int]) -> None:
        """Use this address from the next `run` on, which connects at once from the last known version."""
        self.address = address
        self.schedule.reset()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.schedule.initial_delay())
        while True:
            connection, asked_at = await self.open_stream()
            try:
                await self.read_updates(connection)
            except WatchSilent:
                log.info("watch ended: it fell silent")
                delay_s = self.schedule.delay_after_silence()
            except Exception as error:
                self.log_failure(error)
                delay_s = self.schedule.delay_after_end(loop.time() - asked_at)
            finally:
                connection.close()
            await asyncio.sleep(delay_s)

    async def open_stream(self) -> tuple[Connection, float]:
        """Call until one is answered. Returns its connection and the start of the newest call. A call without
        an answer stays open beside the next: if it were cancelled, an answer in transit would be lost."""
        loop = asyncio.get_running_loop()
        calls: set[asyncio.Task[Connection | float]] = set()
        try:
            while True:
                began = loop.time()
                newest = loop.create_task(self.request_stream())
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
                        elif newest in calls:  # still open: the refusal of an older one counts
                            due = began + self.schedule.delay_to_parallel_call(answer)
                    if not done:
                        due = began + self.schedule.delay_to_parallel_call()
                await asyncio.sleep(due - loop.time())
        finally:
            for call in calls:
                if not (call.cancel() or call.cancelled() or isinstance(late := call.result(), float)):
                    late.close()

    async def request_stream(self) -> Connection | float:
        """One call for a watch. Returns its connection once it is answered, or how many seconds it waited for
        its refusal (-inf if there was none)."""
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
            self.log_failure(error)
            return -math.inf if isinstance(error, TimeoutError) else loop.time() - written_at
        finally:
            if connection is not None:
                connection.close()

    @staticmethod
    def log_failure(error: Exception) -> None:
        if isinstance(error, EXPECTED_ERRORS):
            log.info("watch ended: %r", error)
        else:
            log.error("watch failed", exc_info=error)

    async def read_updates(self, connection: Connection) -> None:
        """Read the watch until it breaks (raises the error) or falls silent (raises `WatchSilent`)."""
        framer, stream = JsonFramer(), ListStream()
        while True:
            # Only complete items count as a sign of life, not the bytes of one that trickles in.
            try:
                async with asyncio.timeout(self.silence_s):
                    while not (lines := await self.read_objects(connection, framer)):
                        pass
            except TimeoutError:
                raise WatchSilent from None
            self.schedule.reset()
            for line in lines:
                if line:
                    self.handle_update(line, stream)

    @staticmethod
    async def read_objects(connection: Connection, framer: JsonFramer) -> list[bytes]:
        event = await connection.event()
        if not isinstance(event, h11.Data):
            raise ConnectionError("discovery closed the watch")
        return framer.feed(bytes(event.data))

    def handle_update(self, line: bytes, stream: ListStream) -> None:
        update = json.loads(line)
        if not isinstance(update.get("version"), int) or not isinstance(update.get("servers"), list):
            raise ValueError(f"discovery update lacks version or servers: {line[:80]!r}")
        if not stream.accepts(update["version"], line):
            self.repeated_lines += 1
            log.info(
                "an older list came again", extra={"version": update["version"], "newest": stream.newest}
            )
            return
        self.on_update(update)
        self.version = update["version"]


class PlatformClient:
    """Runs the watch and the notice sender, both at one address at a time."""

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
        """Continue at the new address at once and close the connections to the old one."""
        self.stop()
        self.watch.move(address)
        self.notices.move(address)
        self.start()
