"""Clients that disconnect around a handover without having read their answers."""

import asyncio
import signal
import socket
import struct

import pytest
from test_succession import with_pair

pytestmark = pytest.mark.usefixtures("each_loop")


@pytest.mark.parametrize("leave_ms", [3, 5, 10])
def test_messages_of_clients_that_disconnect_around_the_handover_are_not_sent(tmp_path, leave_ms):
    @with_pair(tmp_path)
    async def _(pair):
        clients = [await pair.client() for _ in range(20)]
        await pair.second()
        await pair.ready()
        assert (
            await pair.say(b"DETACH e1") == b"ACK\n"
        )  # accepted messages are held: the incumbent sends none
        old = pair.others[0][0]
        for client in clients:
            client.writer.transport.pause_reading()  # never reads its answer
        for number, client in enumerate(clients):
            client.send(b"OUT.ADD", b"0" * 16, b"gone%d" % number, b"c=note,d=6000,dest=7", b"x")
        old.send_signal(signal.SIGTERM)
        await asyncio.sleep(leave_ms / 1000)
        for client in clients:
            sock = client.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.writer.transport.abort()
        await pair.log_line(" is ready on ")
        assert await pair.say(b"ATTACH e1") == b"ACK\n"
        seen = 0
        try:
            async with asyncio.timeout(3.0):
                while True:
                    request = await pair.partner.next()
                    seen += 1
                    request.answer(200)
        except TimeoutError:
            pass
        print(f"disconnected {leave_ms} ms after SIGTERM: {seen} sent")
        assert seen == 0
