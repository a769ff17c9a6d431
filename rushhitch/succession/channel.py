"""The channel between two processes of one dispatcher: JSON messages that may carry descriptors."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import logging
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

log = logging.getLogger(__name__)

NAME = "succession"  # of the socket in the folder
FRAME = 60_000  # bytes of one packet at most: well under the least buffer of a socket
MOST_FDS = 64  # with one message: the kernel takes 253
RETRY_S = 0.01  # until another try where the kernel holds too many descriptors on their way
LAST, MORE = b"\x00", b"\x01"  # first byte of a packet: is it the end of its message?
MOST_PATH = 100  # bytes: the address of a Unix socket has room for 107
GONE = b"NAK the process that answers this has gone: ask the other one\n"
CREDENTIALS = struct.Struct("3i")

Heard = Callable[[dict[str, Any], list[int]], None]


class Channel:
    """One end. `heard` gets each message and owns its descriptors; `lost` is called once, at the end of it,
    after all that the other side said."""

    def __init__(self, sock: socket.socket, heard: Heard, lost: Callable[[], None]) -> None:
        self.sock, self.heard, self.lost = sock, heard, lost
        self.loop = asyncio.get_running_loop()
        self.queue: deque[tuple[bytes, list[int]]] = deque()
        self.parts: list[bytes] = []
        self.open = True
        self.empty = asyncio.Event()
        self.empty.set()
        sock.setblocking(False)
        self.loop.add_reader(sock, self.receive)

    def send(self, message: dict[str, Any], fds: list[int] | None = None) -> None:
        """Queue it; the descriptors are ours and are closed once they are on their way."""
        data = json.dumps(message, separators=(",", ":")).encode()
        if not self.open:
            close_all(fds or [])
            return
        starts = range(0, max(len(data), 1), FRAME)
        for start in starts:
            last = start + FRAME >= len(data)
            part = (LAST if last else MORE) + data[start : start + FRAME]
            self.queue.append((part, (fds or []) if last else []))
        self.empty.clear()
        self.flush()

    def flush(self) -> None:
        while self.queue and self.open:
            data, fds = self.queue[0]
            try:
                socket.send_fds(self.sock, [data], fds)
            except BlockingIOError:
                self.loop.add_writer(self.sock, self.flush)
                return
            except OSError as error:
                if error.errno == errno.ETOOMANYREFS:
                    self.loop.remove_writer(self.sock)
                    self.loop.call_later(RETRY_S, self.flush)
                    return
                self.close()
                return
            self.queue.popleft()
            close_all(fds)
        if self.open:
            self.loop.remove_writer(self.sock)
        self.empty.set()

    def receive(self) -> None:
        for _ in range(64):  # then others have a turn
            if not self.open:
                return
            try:
                data, fds, _, _ = socket.recv_fds(self.sock, FRAME + 1, MOST_FDS, socket.MSG_CMSG_CLOEXEC)
            except BlockingIOError:
                return
            except OSError:
                data, fds = b"", []
            if not data:
                close_all(fds)
                self.close()
                return
            self.parts.append(data[1:])
            if data[:1] != LAST:
                close_all(fds)
                continue
            whole, self.parts = b"".join(self.parts), []
            try:
                message = json.loads(whole)
                if not isinstance(message, dict):
                    raise ValueError("not an object")
            except ValueError as error:
                log.error("succession: a message makes no sense: %s", error)
                close_all(fds)
                continue
            try:
                self.heard(message, fds)
            except Exception:
                log.exception("succession: a message was not carried out")

    def close(self) -> None:
        if not self.open:
            return
        self.open = False
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self.sock.close()
        for _, fds in self.queue:
            close_all(fds)
        self.queue.clear()
        self.empty.set()
        self.loop.call_soon(self.lost)


class Relay:
    """Operators' words that the other process answers, over one channel, and those of the other that this one
    does. `operate` carries one out here."""

    def __init__(self, operate: Callable[[bytes], bytes]) -> None:
        self.operate = operate
        self.channel: Channel | None = None
        self.asked: dict[int, asyncio.Future[bytes]] = {}
        self.asks = 0

    def ask(self, line: bytes) -> asyncio.Future[bytes]:
        """Its answer, or a no where the other process has gone."""
        self.asks += 1
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        if self.channel is None or not self.channel.open:
            future.set_result(GONE)
            return future
        self.asked[self.asks] = future
        self.channel.send({"t": "ask", "n": self.asks, "line": line.decode("ascii", "replace")})
        return future

    def heard(self, told: dict[str, Any]) -> bool:
        """Whether the message was one of these."""
        if told.get("t") == "ask" and self.channel is not None:
            said = self.operate(str(told["line"]).encode())
            self.channel.send({"t": "said", "n": told["n"], "text": said.decode()})
        elif told.get("t") == "said":
            future = self.asked.pop(told["n"], None)
            if future is not None and not future.done():
                future.set_result(str(told["text"]).encode())
        else:
            return False
        return True

    def lost(self) -> None:
        """The channel has ended, and with it all that was asked."""
        self.channel = None
        for future in self.asked.values():
            if not future.done():
                future.set_result(GONE)
        self.asked.clear()


def close_all(fds: list[int]) -> None:
    for fd in fds:
        os.close(fd)


@contextlib.contextmanager
def socket_at(folder: Path) -> Iterator[tuple[socket.socket, str]]:
    """A socket and the address in the folder. One too long goes by the folder's descriptor."""
    name, fd = str(folder / NAME), -1
    if len(name.encode()) > MOST_PATH:
        fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        name = f"/proc/self/fd/{fd}/{NAME}"
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        yield sock, name
    except BaseException:
        sock.close()
        raise
    finally:
        if fd >= 0:
            os.close(fd)


def listen(folder: Path) -> socket.socket:
    """The old one's socket, for the holder of the folder's lock. An `OSError` where it cannot be."""
    with socket_at(folder) as (sock, name):
        (folder / NAME).unlink(missing_ok=True)  # of one that was killed
        sock.bind(name)
        os.chmod(folder / NAME, 0o600)
        sock.listen(4)
        sock.setblocking(False)
    return sock


def connect(folder: Path) -> socket.socket:
    """To the old one; an `OSError` where nobody is there."""
    with socket_at(folder) as (sock, name):
        sock.settimeout(1.0)
        sock.connect(name)
    return sock


def same_user(sock: socket.socket) -> bool:
    """Guards against others on the machine: descriptors and messages go to our own user only."""
    _, uid, _ = CREDENTIALS.unpack(sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size))
    return uid == os.getuid()
