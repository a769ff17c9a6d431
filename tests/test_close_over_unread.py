"""Acceptances that the kernel has taken but that never reach the client."""

import asyncio
import contextlib
import socket

import pytest
from doubles import run

from rushhitch.acceptor import ACCEPTED
from rushhitch.fronts.listener import ConnectionManager
from rushhitch.fronts.resp2 import Resp2Connection

pytestmark = pytest.mark.usefixtures("each_loop")

PING = b"*1\r\n$4\r\nPING\r\n"
ADD = b"*5\r\n$7\r\nOUT.ADD\r\n$2\r\n00\r\n$2\r\nm1\r\n$20\r\nc=note,d=6000,dest=7\r\n$4\r\nbody\r\n"


class Acceptor:
    """Accepts each submission at once if its client is reachable, else refuses it."""

    def __init__(self):
        self.accepted = []  # whether the kernel took each answer

    def offer(self, offer, answer, ended=None, reachable=None):
        if reachable():
            self.accepted.append(answer(ACCEPTED) is not False)
        else:
            from rushhitch.acceptor import Reply

            answer(Reply("refused"))
        return 1

    def withdraw(self, handle):
        pass


async def unread_client(address, pings):
    """A client with a small receive window that sends PINGs and reads no answer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, address)
    for _ in range(pings // 20):
        await loop.sock_sendall(sock, PING * 20)
    return sock


async def all_of(sock):
    loop, got = asyncio.get_running_loop(), b""
    with contextlib.suppress(OSError):
        while data := await asyncio.wait_for(loop.sock_recv(sock, 65536), 5):
            got += data
    return got


def test_an_answer_held_back_by_a_full_window_does_not_count_as_received():
    # The client reads nothing: the kernel takes `+OK` into its buffer, and no byte of it is sent.
    async def work():
        acceptor = Acceptor()
        server = ConnectionManager(acceptor, 16)
        server.listen(("127.0.0.1", 0), "resp2", Resp2Connection)
        sock = await unread_client(server.address, 4000)
        await asyncio.sleep(1.0)
        await asyncio.get_running_loop().sock_sendall(sock, ADD)
        await asyncio.sleep(0.3)
        sock.close()  # it has waited 400 ms
        assert acceptor.accepted in ([], [False]), "accepted, but the client cannot have received the answer"

    run(work())


def test_a_close_with_unread_input_does_not_discard_an_acceptance():
    # A bad pipelined request closes the connection, and the reset overtakes answers held back by the window.
    async def work():
        acceptor = Acceptor()
        server = ConnectionManager(acceptor, 16)
        server.listen(("127.0.0.1", 0), "resp2", Resp2Connection)
        sock = await unread_client(server.address, 4000)
        loop = asyncio.get_running_loop()
        await asyncio.sleep(1.0)
        await loop.sock_sendall(sock, ADD)
        await asyncio.sleep(0.1)
        with contextlib.suppress(OSError):
            await asyncio.wait_for(loop.sock_sendall(sock, b"\x00junk" + bytes(400_000)), 1)
        await asyncio.sleep(0.3)
        got = await all_of(sock)
        assert b"+OK" in got or True not in acceptor.accepted, f"accepted; read {len(got)} bytes, no +OK"

    run(work())
