"""Client connections taken over from another process: their state is whole before anything is read."""

import asyncio
import socket
import struct
from types import SimpleNamespace

import pytest
from doubles import run
from test_fronts_resp2 import ADD, Acceptor

from rushhitch.fronts.client_connection import TransferredConnection
from rushhitch.fronts.listener import ConnectionManager
from rushhitch.fronts.resp2 import Resp2Connection

pytestmark = pytest.mark.usefixtures("each_loop")

PING = b"*1\r\n$4\r\nPING\r\n"
BODY = PING * 3  # a body may hold any bytes, also requests
REQUEST = b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in (*ADD[:4], BODY))
HEAD_BYTES = REQUEST.index(BODY)
HANDLE = 7  # of a message whose acceptance the client may not have received


class Takeover:
    """A connection whose client end is `client`, and the manager that takes over the other end."""

    def __init__(self, max_connections: int) -> None:
        self.acceptor = Acceptor()
        self.acceptor.set_client_check = lambda handle, check_client: None
        self.manager = ConnectionManager(self.acceptor, max_connections)
        self.manager.listen(("127.0.0.1", 0), "resp2", Resp2Connection)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.client = socket.create_connection(listener.getsockname())
            self.transferred, _ = listener.accept()
        self.client.setblocking(False)

    def adopt(self, tail: bytes = b"", front: str = "resp2") -> None:
        heard_at = asyncio.get_running_loop().time()
        self.manager.adopt(
            self.transferred, front, TransferredConnection(tail, True, heard_at, unconfirmed=[HANDLE])
        )

    async def receive(self) -> bytes:
        return await asyncio.get_running_loop().sock_recv(self.client, 1000)

    def reset(self) -> None:
        self.client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.client.close()

    async def abandoned(self) -> int:
        return await asyncio.wait_for(self.acceptor.abandoned.get(), 1.0)


def with_takeover(max_connections=16):
    def decorate(test):
        async def work():
            takeover = Takeover(max_connections)
            await test(takeover)
            takeover.client.close()
            takeover.manager.stop_listening()
            takeover.manager.close_all()
            await asyncio.sleep(0.01)

        run(work())

    return decorate


def test_what_has_arrived_is_read_behind_the_part_that_the_other_process_had_read():
    # Guards against requests found in a body: the loop read before the part that was transferred was known.
    @with_takeover()
    async def _(takeover):
        takeover.client.send(REQUEST[HEAD_BYTES:])
        takeover.adopt(tail=REQUEST[:HEAD_BYTES])
        submission, _ = await asyncio.wait_for(takeover.acceptor.offers.get(), 1.0)
        assert submission.body == BODY
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(takeover.receive(), 0.05)


def test_a_reset_before_the_connection_is_set_up_abandons_its_unconfirmed_messages():
    @with_takeover()
    async def _(takeover):
        takeover.reset()
        takeover.adopt(tail=REQUEST[:HEAD_BYTES])
        assert await takeover.abandoned() == HANDLE
        assert not takeover.manager.clients


def test_an_end_of_input_before_the_connection_is_set_up_is_followed_by_the_reset():
    @with_takeover()
    async def _(takeover):
        takeover.client.shutdown(socket.SHUT_WR)
        takeover.adopt()
        await asyncio.sleep(0.01)
        takeover.reset()
        assert await takeover.abandoned() == HANDLE


def test_a_connection_without_room_is_told_so_once_and_keeps_its_unconfirmed_messages():
    @with_takeover(max_connections=0)
    async def _(takeover):
        takeover.client.send(REQUEST[HEAD_BYTES:])
        takeover.adopt(tail=REQUEST[:HEAD_BYTES])
        assert (await takeover.receive()).startswith(b"-ERR too many clients")
        assert takeover.acceptor.offers.empty() and takeover.acceptor.abandoned.empty()


@pytest.mark.parametrize("unread", [b"", PING], ids=["all read", "unread input"])
@pytest.mark.parametrize("why", ["no such front", "no transport"])
def test_a_connection_that_cannot_be_taken_over_abandons_what_its_close_may_leave_unheard(why, unread):
    # A close over unread input is a reset, which discards answers that the client has not read.
    @with_takeover()
    async def _(takeover):
        async def fail(factory, sock):
            raise OSError("injected fault")

        loop = asyncio.get_running_loop()
        if why == "no transport":
            takeover.manager.loop = SimpleNamespace(
                connect_accepted_socket=fail, create_task=loop.create_task, remove_reader=loop.remove_reader
            )
        takeover.client.send(unread)
        takeover.adopt(front="resp2" if why == "no transport" else "cloudevents")
        if unread:
            assert await takeover.abandoned() == HANDLE
        else:
            assert await takeover.receive() == b"" and takeover.acceptor.abandoned.empty()


def test_an_answer_that_no_longer_counts_as_buffered_outlasts_the_abort_of_its_transport():
    # Guards against a handover that drops what an event loop has not written yet.
    @with_takeover()
    async def _(takeover):
        takeover.adopt()
        await asyncio.sleep(0.01)
        (connection,) = takeover.manager.clients
        connection.transport.write(b"+OK\r\n")
        while connection.transport.get_write_buffer_size():
            await asyncio.sleep(0)
        passed_on = takeover.transferred.dup()
        connection.transport.abort()
        assert await asyncio.wait_for(takeover.receive(), 1.0) == b"+OK\r\n"
        passed_on.close()
