"""One HTTP/1.1 connection of a client: h11 on a plain socket, so that it is known what was written."""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Awaitable, Callable

import h11

READ_SIZE = 65_536
MOST_FIRST_LINE = 1_024
MOST_INTERIM = 20  # 1xx answers before the answer proper
MIN_LAST_BYTE_DELAY_S, MAX_LAST_BYTE_DELAY_S = (
    0.002,
    0.05,
)  # before a request's last byte, the connection is watched for at least, at most
LOOK_CONNECTS = (
    2.0  # times what it took to come up: what went out has reached the other side, and word of it us
)
INTERIM = re.compile(rb"HTTP/1\.[01] 1")
Headers = list[tuple[bytes, bytes]]


def parse_address(text: str) -> tuple[str, int]:
    """`host:port` as a pair."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) > 65_535:
        raise ValueError(f"not an address of the form host:port: {text!r}")
    return host, int(port)


class NotSent(Exception):
    """The last byte of a request was held back: by then something spoke against it. It has not been sent."""


Commit = Callable[[], None]  # asked in the step of the last byte; raises `NotSent` to hold it back
Record = Callable[[], Awaitable[bool]]  # before that step, and in it where it does not wait; whether it did


class Connection:
    """Sends requests one at a time. `written` says whether the last byte of the newest one has gone out,
    `response_start` how its answer begins, past any 1xx."""

    def __init__(self, sock: socket.socket, address: tuple[str, int], came_up_s: float = 0.0) -> None:
        self.sock, self.address, self.http = sock, address, h11.Connection(h11.CLIENT)
        self.last_byte_delay_s = min(
            max(LOOK_CONNECTS * came_up_s, MIN_LAST_BYTE_DELAY_S), MAX_LAST_BYTE_DELAY_S
        )
        self.loop = asyncio.get_running_loop()
        self.written, self.response_start, self.interim = False, b"", 0
        self.on_response_start: Callable[[], None] | None = None  # called as an answer proper begins

    @classmethod
    async def open(cls, address: tuple[str, int]) -> Connection:
        """Connect, for as long as the caller lets it."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await loop.sock_connect(sock, address)
        except BaseException:
            sock.close()
            raise
        return cls(sock, address, loop.time() - started)

    async def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes = b"",
        commit: Commit | None = None,
        record: Record | None = None,
    ) -> None:
        """Write a whole request; it has not been sent if this raises.

        With `commit` the last byte waits a moment. It guards against connections that are dead without our
        knowing, dropped as idle or reset as the request comes in: without its last byte the request cannot
        have run, and even one that must not run twice may be sent anew. It costs each request that moment.
        `record` then writes down that the request is sent, and `commit` is asked whether it still is to be,
        in the same step as the system call that writes the byte.
        """
        self.written, self.response_start, self.interim = False, b"", 0
        headers = [(b"Host", "{}:{}".format(*self.address).encode()), *headers]
        if method == "POST":
            headers.append((b"Content-Length", b"%d" % len(body)))
        parts = [self.http.send(h11.Request(method=method, target=target, headers=headers))]
        if body:
            parts.append(self.http.send(h11.Data(data=body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        data = b"".join(part for part in parts if part)
        if commit is None:
            await self.loop.sock_sendall(self.sock, data)
        else:
            await self.loop.sock_sendall(self.sock, data[:-1])
            await self.confirm_alive()
            if record is not None and await record():
                await self.confirm_alive()  # the record took its time
            await self.write_last(data[-1:], commit)
        self.written = True

    async def write_last(self, byte: bytes, commit: Commit) -> None:
        """Write the last byte once the system takes it; `commit` is asked anew before each try."""
        while True:
            commit()
            try:
                self.sock.send(byte)
                return
            except (BlockingIOError, InterruptedError):
                await self.writable()

    async def writable(self) -> None:
        """Until the system takes more."""
        ready = self.loop.create_future()
        self.loop.add_writer(self.sock, lambda: ready.done() or ready.set_result(None))
        try:
            await ready
        finally:
            self.loop.remove_writer(self.sock)

    async def confirm_alive(self) -> None:
        """Watch the connection for a moment; raise if it ends, or if an answer comes before its request is
        whole: it may say that nothing more is wanted."""
        stirred = self.loop.create_future()
        timer = self.loop.call_later(
            self.last_byte_delay_s, lambda: stirred.done() or stirred.set_result(None)
        )
        self.loop.add_reader(self.sock, lambda: stirred.done() or stirred.set_result(None))
        try:
            await stirred
        finally:
            timer.cancel()
            self.loop.remove_reader(self.sock)
        try:
            early = self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        what = "an answer came" if early else "the connection ended"
        raise ConnectionResetError(f"{what} before its request was written")

    async def event(self) -> h11.Response | h11.Data | h11.EndOfMessage:
        """The next part of the answer; an early end of the connection is a `ConnectionResetError`."""
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                data = await self.loop.sock_recv(self.sock, READ_SIZE)
                if not data and not self.response_start:
                    raise ConnectionResetError("the connection ended before its answer")
                if len(self.response_start) < MOST_FIRST_LINE:
                    self.starts(data)
                self.http.receive_data(data)
            elif isinstance(event, (h11.Response, h11.Data, h11.EndOfMessage)):
                return event
            elif isinstance(event, h11.InformationalResponse) and self.interim < MOST_INTERIM:
                self.interim, self.response_start = self.interim + 1, b""
                self.starts(self.http.trailing_data[0])
            else:
                raise h11.RemoteProtocolError(f"no answer, but {event!r}")

    def starts(self, data: bytes) -> None:
        """Keep how the answer begins; h11 may reject it, and its first line holds all the same."""
        first, self.response_start = not self.response_start, self.response_start + data[:MOST_FIRST_LINE]
        if (
            first
            and self.response_start
            and self.on_response_start is not None
            and not INTERIM.match(self.response_start)
        ):
            self.on_response_start()

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

    def prepare_next_request(self) -> bool:
        """Make ready for another request; False if either side wants the connection closed."""
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return not self.http.trailing_data[0]

    def has_no_input(self) -> bool:
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
