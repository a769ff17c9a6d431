"""A small HTTP/1.1 server for stand-ins: it may misbehave in any way, so it is written on bytes."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lab.repeats import SPLIT_S, Repeats

MOST_HEAD = 16_384  # bytes: what stands in for a partner need not take more


@dataclass(slots=True)
class Request:
    """A whole request; `began_ms` is when its first byte came."""

    connection: HttpConnection
    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    began_ms: float


class HttpConnection(asyncio.Protocol):
    """One connection of a client of the stand-in. `handler` gets each whole request; `lost` the end."""

    def __init__(
        self,
        clock: Callable[[], float],
        handler: Callable[[Request], None],
        lost: Callable[[HttpConnection], None] = lambda connection: None,
        made: Callable[[HttpConnection], None] = lambda connection: None,
    ) -> None:
        self.clock, self.handler, self.lost, self.made = clock, handler, lost, made
        self.buffer = bytearray()
        self.began_ms = 0.0
        self.transport: Any = None
        self.state: Any = None  # whatever the stand-in keeps of the connection
        self.answered: Any = None  # likewise, of its newest answer
        self.dispatcher = ""  # whose it is, where the stand-in tells them apart
        self.used_ms = clock()
        self.repeats: Repeats | None = None  # a fault of the network, if the stand-in plays it
        self.behind_next: list[bytes] = []  # come again behind the next request
        self.with_next = b""  # comes again before the next answer
        self.last = False  # the newest request asked for the connection to be closed behind its answer
        self.read_to_end = False  # the client has read the last answer and closed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.made(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.lost(self)

    def eof_received(self) -> None:
        self.read_to_end = self.last
        self.transport.close()

    def data_received(self, data: bytes) -> None:
        if not self.buffer:
            self.began_ms = self.clock()
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            first, *lines = bytes(self.buffer[:end]).split(b"\r\n")
            pairs = (line.partition(b":") for line in lines)
            headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
            size = int(headers.get(b"content-length", b"0"))
            if len(self.buffer) < end + 4 + size:
                return
            body = bytes(self.buffer[end + 4 : end + 4 + size])
            del self.buffer[: end + 4 + size]
            method, target, _ = first.split(b" ", 2)
            self.used_ms = self.clock()
            self.last = headers.get(b"connection", b"").lower() == b"close"
            self.repeat_behind_request()
            self.handler(Request(self, method, target, headers, body, self.began_ms))
            self.began_ms = self.clock()
            if self.transport.is_closing():
                return
        if len(self.buffer) > MOST_HEAD and b"\r\n\r\n" not in self.buffer:
            self.transport.abort()

    def answer(self, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        """`headers` are whole lines. Ends the sending where the request was the connection's last."""
        length = b"" if status == 204 else b"Content-Length: %d\r\n" % len(body)
        last = b"Connection: close\r\n" if self.last else b""
        data = b"HTTP/1.1 %d x\r\n%s%s%s\r\n%s" % (status, length, last, headers, body)
        way = self.repeats.draw() if self.repeats is not None else None
        before, self.with_next = self.with_next, b""
        self.transport.write(before + data + (data if way == "at_once" else b""))
        self.used_ms = self.clock()
        if self.last:
            with contextlib.suppress(OSError):  # the client has reset the connection
                self.transport.write_eof()
        elif way is not None:
            self.repeat(data, way)

    def repeat(self, data: bytes, way: str) -> None:
        """Let an answer come again, in one of the ways of `lab.repeats`."""
        assert self.repeats is not None, "the way was drawn from it"
        loop, later_s = asyncio.get_running_loop(), self.repeats.later_s()
        match way:
            case "later":
                loop.call_later(later_s, self.send_again, data)
            case "split":
                middle = len(data) // 2
                loop.call_later(later_s, self.send_again, data[:middle])
                loop.call_later(later_s + SPLIT_S, self.send_again, data[middle:])
            case "behind_next":
                self.behind_next.append(data)
            case "several":
                self.behind_next += [data] * 3
            case "with_next":
                self.with_next = data

    def repeat_behind_request(self) -> None:
        held, self.behind_next = self.behind_next, []
        for data in held:
            assert self.repeats is not None, "the way was drawn from it"
            asyncio.get_running_loop().call_later(self.repeats.behind_request_s(), self.send_again, data)

    def send_again(self, data: bytes) -> None:
        if not self.transport.is_closing() and not self.ended_sending():
            self.transport.write(data)

    def ended_sending(self) -> bool:
        """Whether the last answer has been written, behind which nothing can be sent."""
        return self.last and self.state is None

    def closed_by_client(self) -> bool:
        """Whether the client has closed already, though the event loop may not have told yet: it will never
        read what is written from now on."""
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))  # hang-ups and errors are told unasked

    def reset(self) -> None:
        """End the connection with an RST."""
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()


async def serve(make: Callable[[], HttpConnection], port: int = 0) -> asyncio.Server:
    """Listen on loopback; port 0 takes any."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(make, "127.0.0.1", port, backlog=512)


def port_of(server: asyncio.Server) -> int:
    return server.sockets[0].getsockname()[1]
