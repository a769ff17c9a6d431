"""The channel between two processes of one dispatcher: JSON frames that may carry file descriptors."""

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

SOCKET_NAME = "succession"  # in the state folder
MAX_PACKET_BYTES = 60_000  # well below the smallest socket buffer
MAX_FDS = 64  # per frame; the kernel allows 253
FD_RETRY_S = 0.01  # before another try if the kernel has too many descriptors in flight
LAST, MORE = b"\x00", b"\x01"  # first byte of a packet: whether its frame ends with it
MAX_SOCKET_PATH_BYTES = 100  # a Unix socket address has room for 107
PEER_GONE_REPLY = b"NAK the process that answers this has gone: ask the other one\n"
CREDENTIALS = struct.Struct("3i")

FrameHandler = Callable[[dict[str, Any], list[int]], None]


class Channel:
    """One end of the channel. `handle_frame` is called with each frame and owns its descriptors;
    `channel_lost` is called once, after the channel has closed and every frame has been handled."""

    def __init__(
        self, sock: socket.socket, handle_frame: FrameHandler, channel_lost: Callable[[], None]
    ) -> None:
        self.sock, self.handle_frame, self.channel_lost = sock, handle_frame, channel_lost
        self.loop = asyncio.get_running_loop()
        self.queue: deque[tuple[bytes, list[int]]] = deque()
        self.parts: list[bytes] = []
        self.open = True
        self.drained = asyncio.Event()
        self.drained.set()
        sock.setblocking(False)
        self.loop.add_reader(sock, self.receive)

    def send(self, frame: dict[str, Any], fds: list[int] | None = None) -> None:
        """Queue a frame. Takes ownership of the descriptors and closes them once they are sent."""
        data = json.dumps(frame, separators=(",", ":")).encode()
        if not self.open:
            close_descriptors(fds or [])
            return
        starts = range(0, max(len(data), 1), MAX_PACKET_BYTES)
        for start in starts:
            last = start + MAX_PACKET_BYTES >= len(data)
            part = (LAST if last else MORE) + data[start : start + MAX_PACKET_BYTES]
            self.queue.append((part, (fds or []) if last else []))
        self.drained.clear()
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
                    self.loop.call_later(FD_RETRY_S, self.flush)
                    return
                self.close()
                return
            self.queue.popleft()
            close_descriptors(fds)
        if self.open:
            self.loop.remove_writer(self.sock)
        self.drained.set()

    def receive(self) -> None:
        for _ in range(64):  # then yield to the rest of the loop
            if not self.open:
                return
            try:
                data, fds, _, _ = socket.recv_fds(
                    self.sock, MAX_PACKET_BYTES + 1, MAX_FDS, socket.MSG_CMSG_CLOEXEC
                )
            except BlockingIOError:
                return
            except OSError:
                data, fds = b"", []
            if not data:
                close_descriptors(fds)
                self.close()
                return
            self.parts.append(data[1:])
            if data[:1] != LAST:
                close_descriptors(fds)
                continue
            encoded, self.parts = b"".join(self.parts), []
            try:
                frame = json.loads(encoded)
                if not isinstance(frame, dict):
                    raise ValueError("not an object")
            except ValueError as error:
                log.error("succession: malformed frame: %s", error)
                close_descriptors(fds)
                continue
            try:
                self.handle_frame(frame, fds)
            except Exception:
                log.exception("succession: handling a frame failed")

    def close(self) -> None:
        if not self.open:
            return
        self.open = False
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self.sock.close()
        for _, fds in self.queue:
            close_descriptors(fds)
        self.queue.clear()
        self.drained.set()
        self.loop.call_soon(self.channel_lost)


class Relay:
    """Relays operators' commands to the other process over the channel, and runs those that the other relays
    with `run_command`."""

    def __init__(self, run_command: Callable[[bytes], bytes]) -> None:
        self.run_command = run_command
        self.channel: Channel | None = None
        self.pending: dict[int, asyncio.Future[bytes]] = {}
        self.last_id = 0

    def ask(self, line: bytes) -> asyncio.Future[bytes]:
        """Relay a command line; the future has the reply, or a NAK if the other process has gone."""
        self.last_id += 1
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        if self.channel is None or not self.channel.open:
            future.set_result(PEER_GONE_REPLY)
            return future
        self.pending[self.last_id] = future
        self.channel.send({"t": "ask", "n": self.last_id, "line": line.decode("ascii", "replace")})
        return future

    def handle_frame(self, frame: dict[str, Any]) -> bool:
        """Handle a frame of the relay; False if it is some other frame."""
        if frame.get("t") == "ask" and self.channel is not None:
            reply = self.run_command(str(frame["line"]).encode())
            self.channel.send({"t": "said", "n": frame["n"], "text": reply.decode()})
        elif frame.get("t") == "said":
            future = self.pending.pop(frame["n"], None)
            if future is not None and not future.done():
                future.set_result(str(frame["text"]).encode())
        else:
            return False
        return True

    def channel_lost(self) -> None:
        """The channel has closed: answers all pending commands with a NAK."""
        self.channel = None
        for future in self.pending.values():
            if not future.done():
                future.set_result(PEER_GONE_REPLY)
        self.pending.clear()


def close_descriptors(fds: list[int]) -> None:
    for fd in fds:
        os.close(fd)


@contextlib.contextmanager
def socket_at(folder: Path) -> Iterator[tuple[socket.socket, str]]:
    """A socket and its address in the folder. A path too long for an address goes through the folder's
    descriptor in /proc."""
    name, fd = str(folder / SOCKET_NAME), -1
    if len(name.encode()) > MAX_SOCKET_PATH_BYTES:
        fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        name = f"/proc/self/fd/{fd}/{SOCKET_NAME}"
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
    """The listening socket of the incumbent, which holds the folder's lock. Raises `OSError`."""
    with socket_at(folder) as (sock, name):
        (folder / SOCKET_NAME).unlink(missing_ok=True)  # left behind by a killed process
        sock.bind(name)
        os.chmod(folder / SOCKET_NAME, 0o600)
        sock.listen(4)
        sock.setblocking(False)
    return sock


def connect(folder: Path) -> socket.socket:
    """Connect to the incumbent. Raises `OSError` if none listens."""
    with socket_at(folder) as (sock, name):
        sock.settimeout(1.0)
        sock.connect(name)
    return sock


def same_user(sock: socket.socket) -> bool:
    """Whether the peer runs as our user: descriptors and messages must not go to anyone else."""
    _, uid, _ = CREDENTIALS.unpack(sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size))
    return uid == os.getuid()
