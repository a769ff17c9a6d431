"""The control address: a thin server round `words.answer`, within bounds on callers and their time."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from rushhitch.control.commands import MOST_LINE, refusal, whole

log = logging.getLogger(__name__)

MOST_CALLERS = 16  # at once: operators and their tools are few, and each takes a descriptor
CALL_S = 10.0  # a caller that has not finished its line by then is sent away
BACKLOG = 64  # callers that may wait to be accepted


class Caller(asyncio.Protocol):
    """One connection: a line in, an answer out, and the end."""

    def __init__(self, server: Control) -> None:
        self.server, self.data, self.asking = server, b"", False
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.timer = asyncio.get_running_loop().call_later(CALL_S, self.send_away)
        self.server.enter(self)

    def connection_lost(self, error: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.server.callers.pop(self, None)

    def data_received(self, data: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.data = (self.data + data)[: MOST_LINE + 1]
        if whole(self.data):
            self.reply()

    def eof_received(self) -> bool:
        """A caller that ends its sending has said all that it will, and still hears the answer."""
        if self.transport is not None and not self.transport.is_closing():
            self.reply()
        return True

    def reply(self) -> None:
        if self.asking:
            return
        self.asking = True
        try:
            said = self.server.answer(self.data)
        except Exception:
            log.exception("a control call failed")
            said = refusal("an error of the dispatcher: see its log")
        if isinstance(said, bytes):
            self.say(said)
        else:
            said.add_done_callback(lambda done: self.say(done.result()))

    def say(self, said: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(said)
            self.transport.close()

    def send_away(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Control:
    """The listener and its callers, in the order in which they came. `answer` gives the reply to a line, or
    a future of it."""

    def __init__(self, answer: Callable[[bytes], bytes | asyncio.Future[bytes]]) -> None:
        self.answer = answer
        self.callers: dict[Caller, None] = {}
        self.server: asyncio.Server | None = None

    async def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """asyncio accepts as many in one step as its `backlog` says, before any has given way: here one, or a
        crowd of callers takes everybody's descriptors. The system's queue is longer."""
        loop, listener = asyncio.get_running_loop(), socket.create_server(address)
        try:
            self.server = await loop.create_server(lambda: Caller(self), sock=listener, backlog=1)
        except BaseException:
            listener.close()
            raise
        listener.listen(BACKLOG)
        return listener.getsockname()

    def enter(self, caller: Caller) -> None:
        """Guards against callers who connect and say nothing: the oldest of them gives way."""
        self.callers[caller] = None
        if len(self.callers) > MOST_CALLERS:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.send_away()

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for caller in list(self.callers):
            caller.send_away()
