"""The same event posted on two connections, one of which is lost."""

import asyncio
import socket
import struct

import pytest
from doubles import run
from test_fronts_cloudevents import Front

pytestmark = pytest.mark.usefixtures("each_loop")


def test_an_event_accepted_on_a_second_connection_survives_the_loss_of_the_first(tmp_path):
    # Ending the message because the first connection is lost would break the acceptance sent on the second.
    async def work():
        front = await Front().start(tmp_path)
        first, second = await front.connect(), await front.connect()
        first.binary()
        request = await front.partner.next()
        second.binary()
        assert (await second.answer())[0] == 202
        sock = first.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        first.writer.transport.abort()
        await asyncio.sleep(0.05)
        request.answer(503)
        (await front.partner.next()).answer(200)
        await front.node.idle.wait()
        assert front.core.ends.empty(), "the message was ended by a notice"
        front.clients.stop_listening()
        front.core.journal.close()

    run(work())


def test_an_event_whose_client_disconnected_around_its_202_is_delivered_once_and_recognised(tmp_path):
    # Posted again, it is recognised by its identity.
    async def work():
        front = await Front().start(tmp_path)
        for at in range(30):
            client = await front.connect()
            client.binary(id=f"e{at}")
            sock = client.writer.get_extra_info("socket")
            if at % 3 == 0:
                await asyncio.sleep(0)
            elif at % 3 == 1:
                await asyncio.sleep(0.003)
            else:
                await asyncio.sleep(0.007)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.writer.transport.abort()
        seen = []

        async def serve():
            while True:
                request = await front.partner.next()
                seen.append(request.headers["x-correlation-id"])
                request.answer(200)

        serving = asyncio.create_task(serve())
        await asyncio.sleep(0.2)
        delivered_early = len(seen)
        for at in range(30):
            client = await front.connect()
            client.binary(id=f"e{at}")
            assert (await client.answer())[0] in (200, 202)
        await asyncio.sleep(0.3)
        await front.node.idle.wait()
        print("delivered before the second post:", delivered_early, "of 30; in all", len(seen))
        assert len(seen) == len(set(seen)) == 30
        serving.cancel()
        front.clients.stop_listening()
        front.core.journal.close()

    run(work())
