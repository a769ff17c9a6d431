"""HTTP/1.1 client connection: h11 on a plain socket, so that the caller knows what was written."""

from __future__ import annotations

import asyncio
import itertools
import re
import socket
from collections.abc import Awaitable, Callable

import h11

from rushhitch.exchanges import ExchangeSequence, closes_connection

READ_BYTES = 65_536
MAX_RESPONSE_START_BYTES = 1_024
MAX_INTERIM_RESPONSES = 20  # 1xx, before the final response
MAX_UNATTRIBUTED_RESPONSES = 20  # that belong to no request, before the one to the latest
MAX_UNATTRIBUTED_BYTES = 65_536  # of the body of one
MIN_LAST_BYTE_DELAY_S, MAX_LAST_BYTE_DELAY_S = 0.002, 0.05  # watching for a close before the last byte
DELAY_PER_CONNECT_TIME = 2.0  # lets the bytes reach the peer and a reset come back
SERIALS = itertools.count(1)  # of the connections of this process, for the log
INTERIM_STATUS_LINE = re.compile(rb"HTTP/1\.[01] 1")
Headers = list[tuple[bytes, bytes]]


def parse_address(text: str) -> tuple[str, int]:
    """Parse `host:port`. Raises `ValueError` if the text has another form."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) > 65_535:
        raise ValueError(f"not an address of the form host:port: {text!r}")
    return host, int(port)


class NotSent(Exception):
    """The last byte of a request was withheld by `Commit`, so the request has not been sent."""


Commit = Callable[[], None]  # called right before the last byte is written; raises `NotSent` to withhold it
Record = Callable[[], Awaitable[bool]]  # journals the send before the last byte; whether it had to wait


class Connection:
    """Sends requests one at a time. `written` tells whether the last byte of the latest one was sent;
    `response_start` holds the first bytes of its response, after any 1xx. `serial` identifies the connection
    in the log; `exchanges` decides which response belongs to which request."""

    def __init__(self, sock: socket.socket, address: tuple[str, int], connect_s: float = 0.0) -> None:
        self.sock, self.address, self.http = sock, address, h11.Connection(h11.CLIENT)
        self.last_byte_delay_s = min(
            max(DELAY_PER_CONNECT_TIME * connect_s, MIN_LAST_BYTE_DELAY_S), MAX_LAST_BYTE_DELAY_S
        )
        self.loop = asyncio.get_running_loop()
        self.serial, self.exchanges = next(SERIALS), ExchangeSequence()
        self.written, self.response_start, self.interim_count = False, b"", 0
        self.on_response_start: Callable[[], None] | None = None  # called as the final response begins
        # Called with a response that belongs to no request and was passed over, and its first bytes.
        self.on_unattributed: Callable[[h11.Response, bytes], None] | None = None

    @classmethod
    async def open(cls, address: tuple[str, int]) -> Connection:
        """Connect; the caller sets the time-out."""
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
        """Write a whole request. If this raises, the request has not been sent.

        With `commit` the last byte is held back for `last_byte_delay_s`, at the cost of that delay. This
        detects connections that were dropped while idle or are reset by the request: without its last byte
        the request cannot have run, so even one that must not run twice may be sent again. Then `record`
        journals the send, and `commit` is called right before the system call that writes the byte, with no
        other code run in between.
        """
        self.written, self.response_start, self.interim_count = False, b"", 0
        headers = [(b"Host", "{}:{}".format(*self.address).encode()), *headers]
        if self.exchanges.begin():
            headers.append((b"Connection", b"close"))
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
                await self.confirm_alive()  # time has passed since the first check
            await self.write_last_byte(data[-1:], commit)
        self.written = True

    async def write_last_byte(self, byte: bytes, commit: Commit) -> None:
        """Write the last byte once the kernel takes it; `commit` is called again before each attempt."""
        while True:
            commit()
            try:
                self.sock.send(byte)
                return
            except (BlockingIOError, InterruptedError):
                await self.wait_writable()

    async def wait_writable(self) -> None:
        """Wait until the socket is writable."""
        ready = self.loop.create_future()
        self.loop.add_writer(self.sock, lambda: ready.done() or ready.set_result(None))
        try:
            await ready
        finally:
            self.loop.remove_writer(self.sock)

    async def confirm_alive(self) -> None:
        """Watch the connection for `last_byte_delay_s`. Raises `ConnectionResetError` if it closes, or if a
        response arrives before the request is complete, as it may reject the request."""
        woken = self.loop.create_future()
        timer = self.loop.call_later(self.last_byte_delay_s, lambda: woken.done() or woken.set_result(None))
        self.loop.add_reader(self.sock, lambda: woken.done() or woken.set_result(None))
        try:
            await woken
        finally:
            timer.cancel()
            self.loop.remove_reader(self.sock)
        try:
            early = self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        event_text = "response received" if early else "connection closed"
        raise ConnectionResetError(f"{event_text} before the request was fully written")

    async def event(self) -> h11.Response | h11.Data | h11.EndOfMessage:
        """The next part of the response. Raises `ConnectionResetError` if the connection closes before it,
        `h11.RemoteProtocolError` if the response is malformed."""
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                data = await self.receive()
                if not data and not self.response_start:
                    raise ConnectionResetError("connection closed before the response")
                if len(self.response_start) < MAX_RESPONSE_START_BYTES:
                    self.note_response_start(data)
                self.http.receive_data(data)
            elif isinstance(event, (h11.Response, h11.Data, h11.EndOfMessage)):
                return event
            elif isinstance(event, h11.InformationalResponse) and self.interim_count < MAX_INTERIM_RESPONSES:
                self.interim_count, self.response_start = self.interim_count + 1, b""
                self.note_response_start(self.http.trailing_data[0])
            else:
                raise h11.RemoteProtocolError(f"unexpected HTTP event instead of a response: {event!r}")

    async def receive(self) -> bytes:
        """The next bytes, none once the peer has closed. Unlike the event loop's `sock_recv`, it loses none
        when it is cancelled: they are read in the step in which they are returned."""
        while True:
            try:
                return self.sock.recv(READ_BYTES)
            except (BlockingIOError, InterruptedError):
                await self.wait_readable()

    async def wait_readable(self) -> None:
        """Wait until the socket is readable."""
        ready = self.loop.create_future()
        self.loop.add_reader(self.sock, lambda: ready.done() or ready.set_result(None))
        try:
            await ready
        finally:
            self.loop.remove_reader(self.sock)

    def note_response_start(self, data: bytes) -> None:
        """Keep the first bytes of the response: its status line is valid even if h11 rejects the rest."""
        first, self.response_start = (
            not self.response_start,
            self.response_start + data[:MAX_RESPONSE_START_BYTES],
        )
        if (
            first
            and self.response_start
            and self.on_response_start is not None
            and not INTERIM_STATUS_LINE.match(self.response_start)
        ):
            self.on_response_start()

    async def response(self) -> h11.Response:
        """The head of the response to the latest request. Responses that belong to none are passed over."""
        while True:
            event = await self.event()
            assert isinstance(event, h11.Response)  # h11 yields the head first, or raises
            if self.exchanges.accept(closes_connection(event)):
                return event
            await self.body(MAX_UNATTRIBUTED_BYTES)
            self.pass_over(event)

    def pass_over(self, response: h11.Response) -> None:
        """The response that was read belongs to no request: expect that to the latest request behind it.
        Raises `h11.RemoteProtocolError` after too many."""
        if self.exchanges.unattributed > MAX_UNATTRIBUTED_RESPONSES:
            raise h11.RemoteProtocolError("too many responses that belong to no request")
        start, (rest, _) = self.response_start, self.http.trailing_data
        self.http = h11.Connection(h11.CLIENT)
        self.http.send(h11.Request(method="GET", target="/", headers=[(b"Host", b"unused")]))
        self.http.send(h11.EndOfMessage())
        self.response_start, self.interim_count = b"", 0
        if self.on_unattributed is not None:
            self.on_unattributed(response, start)
        if rest:
            self.note_response_start(rest)
            self.http.receive_data(rest)

    async def body(self, max_bytes: int) -> bytes:
        """The rest of the response. Raises `h11.RemoteProtocolError` if it exceeds `max_bytes`."""
        body = bytearray()
        while isinstance(event := await self.event(), h11.Data):
            body += event.data
            if len(body) > max_bytes:
                raise h11.RemoteProtocolError(f"response body exceeds {max_bytes} bytes")
        return bytes(body)

    def prepare_next_request(self) -> bool:
        """Reset for another request; False if the connection cannot be reused."""
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return not self.http.trailing_data[0]

    def has_no_input(self) -> bool:
        """Whether neither a close nor stray bytes arrived while the connection was idle."""
        return self.peek() is None

    def peek(self) -> bytes | None:
        """The first bytes received and not yet read: empty if the peer closed the connection, None if nothing
        came."""
        try:
            return self.sock.recv(MAX_RESPONSE_START_BYTES, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def unrequested(self) -> bytes:
        """The first bytes received behind the latest response, none if it was the last thing that came."""
        return self.http.trailing_data[0][:MAX_RESPONSE_START_BYTES] or self.peek() or b""

    def close(self) -> None:
        self.sock.close()
