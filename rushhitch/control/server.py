"""Server for the control address, with bounds on the number of connections and their duration."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from rushhitch.control.commands import MAX_LINE_BYTES, is_complete, refusal

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 16  # at once; each takes a descriptor, and operators and their tools are few
LINE_TIMEOUT_S = 10.0  # until the whole line must have come
BACKLOG = 64  # connections that may wait to be accepted


class ControlConnection(asyncio.Protocol):
    """One connection: reads a line, writes the reply and closes."""

    def __init__(self, server: ControlServer) -> None:
        self.server, self.data, self.replied = server, b"", False
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.timer = asyncio.get_running_loop().call_later(LINE_TIMEOUT_S, self.abort)
        self.server.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.server.connections.pop(self, None)

    def data_received(self, data: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.data = (self.data + data)[: MAX_LINE_BYTES + 1]
        if is_complete(self.data):
            self.reply()

    def eof_received(self) -> bool:
        """The end of input ends the line too; the reply is still sent."""
        if self.transport is not None and not self.transport.is_closing():
            self.reply()
        return True

    def reply(self) -> None:
        if self.replied:
            return
        self.replied = True
        try:
            response = self.server.answer(self.data)
        except Exception:
            log.exception("control command failed")
            response = refusal("an error of the dispatcher: see its log")
        if isinstance(response, bytes):
            self.send(response)
        else:
            response.add_done_callback(lambda done: self.send(done.result()))

    def send(self, response: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(response)
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class ControlServer:
    """The listener and its connections, oldest first. `answer` returns the reply to a line, or a future of
    it."""

    def __init__(self, answer: Callable[[bytes], bytes | asyncio.Future[bytes]]) -> None:
        self.answer = answer
        self.connections: dict[ControlConnection, None] = {}
        self.server: asyncio.Server | None = None

    async def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen on `address` and return the bound one. asyncio accepts up to `backlog` connections in one
        step, before any can be evicted, so it is 1 here: a burst would use up the process's descriptors. The
        kernel's queue is longer."""
        loop, listener = asyncio.get_running_loop(), socket.create_server(address)
        try:
            self.server = await loop.create_server(lambda: ControlConnection(self), sock=listener, backlog=1)
        except BaseException:
            listener.close()
            raise
        listener.listen(BACKLOG)
        return listener.getsockname()

    def add(self, connection: ControlConnection) -> None:
        """Evicts the oldest connection beyond the limit, so that idle ones cannot shut out new ones."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.abort()

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.abort()
