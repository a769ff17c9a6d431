"""One HTTP/1.1 connection of a client: h11 on a plain socket, so that it is known what was written."""

from __future__ import annotations

import asyncio
import socket

import h11

READ_SIZE = 65_536
Headers = list[tuple[bytes, bytes]]


def parse_address(text: str) -> tuple[str, int]:
    """`host:port` as a pair."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) > 65_535:
        raise ValueError(f"not an address of the form host:port: {text!r}")
    return host, int(port)


class Connection:
    """Sends requests one at a time; `written` says whether the last byte of the newest one has gone out."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.http = sock, h11.Connection(h11.CLIENT)
        self.loop = asyncio.get_running_loop()
        self.written = False

    @classmethod
    async def open(cls, address: tuple[str, int]) -> Connection:
        """Connect, for as long as the caller lets it."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await asyncio.get_running_loop().sock_connect(sock, address)
        except BaseException:
            sock.close()
            raise
        return cls(sock)

    async def send(self, method: str, target: str, headers: Headers, body: bytes = b"") -> None:
        """Write a whole request; it has not been sent if this raises."""
        self.written = False
        host, port = self.sock.getpeername()
        headers = [(b"Host", b"%s:%d" % (host.encode(), port)), *headers]
        if method == "POST":
            headers.append((b"Content-Length", b"%d" % len(body)))
        parts = [self.http.send(h11.Request(method=method, target=target, headers=headers))]
        if body:
            parts.append(self.http.send(h11.Data(data=body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        await self.loop.sock_sendall(self.sock, b"".join(part for part in parts if part))
        self.written = True

    async def event(self) -> h11.Response | h11.Data | h11.EndOfMessage:
        """The next part of the answer; an early end of the connection is a `ConnectionResetError`."""
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(await self.loop.sock_recv(self.sock, READ_SIZE))
            elif isinstance(event, (h11.Response, h11.Data, h11.EndOfMessage)):
                return event
            elif not isinstance(event, h11.InformationalResponse):
                raise ConnectionResetError("the connection ended before its answer")

    async def response(self) -> h11.Response:
        """The head of the answer."""
        event = await self.event()
        assert isinstance(event, h11.Response)  # h11 gives the head first, or raises
        return event

    async def body(self, most: int) -> bytes:
        """The rest of the answer; one of more than `most` bytes is broken."""
        body = bytearray()
        while isinstance(event := await self.event(), h11.Data):
            body += event.data
            if len(body) > most:
                raise h11.RemoteProtocolError(f"an answer of more than {most} bytes")
        return bytes(body)

    def next_cycle(self) -> bool:
        """Make ready for another request; False if either side wants the connection closed."""
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return not self.http.trailing_data[0]

    def quiet(self) -> bool:
        """True if nothing has come while the connection was idle: neither an end nor stray bytes."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def close(self) -> None:
        self.sock.close()
