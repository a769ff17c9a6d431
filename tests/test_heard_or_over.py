"""What a client cannot have heard, and what an answer called over, is not sent on: the less likely orders."""

import asyncio
import signal

from doubles import run_with_program
from leavers import LONG_LOOK, TAKEN, Endpoint, RawClient, Roomy, ids_of, standing_still, with_shim, words
from test_client_gone import ONE_EVENT_A_LOOK
from test_succession import with_pair

DECOYS = 40
HELD_S = 0.4
NOTED_S = 0.05  # the program has read by then that a connection was lost
SERVED_S = 5.0


def test_an_id_that_is_sent_once_more_behind_its_delivery_does_not_run_again(tmp_path):
    # Guards against an end that is remembered where the message was abandoned alone: this one was delivered
    # before its client's connection broke under the request, and the client sends the same once more.
    @run_with_program(Roomy(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:
            first = RawClient(program, b"m0", "pay")
            first.hand_in()
            assert await endpoint.until(lambda: b"m0" in endpoint.delivered, SERVED_S)
            await asyncio.sleep(NOTED_S)
            first.close()  # over its unread `+OK`
            second = RawClient(program, b"m0", "pay")
            second.hand_in()
            assert await second.hear() == TAKEN
            await endpoint.rest()
            assert endpoint.count() == {b"m0": 1}


def test_an_id_that_is_sent_once_more_behind_an_end_as_failed_does_not_run_again(tmp_path):
    # Guards against the same where its only attempt may have run and it was failed.
    @run_with_program(Roomy(tmp_path))
    async def _(program):
        async with Endpoint(program, lambda request: request.answer(500)) as endpoint:
            first = RawClient(program, b"m0", "pay")
            first.hand_in()
            assert await endpoint.until(lambda: endpoint.told(), SERVED_S)
            await asyncio.sleep(NOTED_S)
            first.close()
            endpoint.answer = endpoint.deliver
            second = RawClient(program, b"m0", "pay")
            second.hand_in()
            await second.hear()
            await endpoint.rest()
            assert endpoint.count() == {b"m0": 1}


def test_an_answer_to_an_id_sent_once_more_is_not_taken_for_heard(tmp_path, monkeypatch):
    # Guards against a second `+OK` that counts as heard once it is written: neither client read its own.
    with_shim(tmp_path, monkeypatch, LONG_LOOK.format(seconds=HELD_S))

    @run_with_program(Roomy(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:
            clients = [RawClient(program, b"m0"), RawClient(program, b"m0")]
            for client in clients:
                client.hand_in()
                await client.answered()
            for client in clients:
                client.close()  # over its unread `+OK`
            await asyncio.sleep(HELD_S)
            await endpoint.rest()
            assert endpoint.count() == {}


def test_a_client_that_half_closes_under_a_request_and_resets_has_not_heard_the_one_before(
    tmp_path, monkeypatch
):
    # Guards against a doubt that ends with the end of the client's sending: a client that closes in two steps
    # has read nothing, and with no further request it has 10 ms for the second.
    with_shim(tmp_path, monkeypatch, LONG_LOOK.format(seconds=HELD_S))

    @run_with_program(Roomy(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:
            client = RawClient(program, b"m0")
            client.hand_in()
            await client.answered()
            client.sock.sendall(words(b"m1"))
            client.half_close()
            await asyncio.sleep(0.003)
            client.close()  # over its unread `+OK`: a reset
            await asyncio.sleep(HELD_S)
            await endpoint.rest()
            assert endpoint.count() == {}


UNCONFIRMED = """from rushhitch.fronts import client_connection

client_connection.unacknowledged = lambda sock: 5  # its system is cut off: it confirms nothing
"""


def test_what_a_cut_off_client_never_confirmed_is_not_sent_once_it_has_given_up(tmp_path, monkeypatch):
    # Guards against an answer that stays in doubt for good: a client waits 0.4 s, and by then its system had
    # not one byte of it.
    with_shim(tmp_path, monkeypatch, UNCONFIRMED + LONG_LOOK.format(seconds=0.7))

    @run_with_program(Roomy(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:
            client = RawClient(program, b"m0")
            client.hand_in()
            await asyncio.sleep(0.7)
            await endpoint.rest()
            assert endpoint.count() == {}


def test_a_spoilt_answer_with_410_in_its_first_line_is_the_last(tmp_path):
    # Guards against a further call for what an endpoint called over, since the rest of its answer never came.
    @run_with_program(Roomy(tmp_path))
    async def _(program):
        def answer(request):
            ids_of(request)
            request.writer.write(b"HTTP/1.1 410 Gone\r\nContent-Length: 9\r\n\r\nx")

        async with Endpoint(program, answer) as endpoint:
            client = RawClient(program, b"m0")
            client.hand_in(2000)
            assert await client.hear() == TAKEN
            await endpoint.until(lambda: endpoint.told(), 3.0)
            await endpoint.rest()
            assert endpoint.count() == {b"m0": 1}


def test_a_reset_that_comes_while_nothing_is_read_of_a_connection_is_seen(tmp_path, monkeypatch):
    # Guards against "all that had come was read" of a connection that rests: an acceptance is given for heard
    # by a timer, with the reset waiting in its socket.
    with_shim(tmp_path, monkeypatch, LONG_LOOK.format(seconds=0.8))

    @run_with_program(Roomy(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:
            client = RawClient(program, b"m0")
            client.hand_in()
            await client.answered()
            await asyncio.sleep(0.39)
            client.sock.sendall(b"*1\r\n$3\r\nFOO\r\n")  # an error: nothing is read for 0.1 s
            await asyncio.sleep(0.02)
            client.close()  # over its unread `+OK`, 0.41 s behind it
            await asyncio.sleep(0.6)
            await endpoint.rest()
            assert endpoint.count() == {}


def test_what_a_batch_accepts_is_over_whatever_time_its_fellow_has_left(tmp_path):
    # Guards against a further call for what a whole answer calls accepted, since another message of the call
    # has less than 0.1 s left.
    @run_with_program(Roomy(tmp_path, batch=4))
    async def _(program):
        out = []

        async def play():
            clients = [RawClient(program, b"short"), RawClient(program, b"long")]
            async with standing_still(program):
                clients[0].hand_in(500)
                clients[1].hand_in(6000)
            for client in clients:
                assert await client.hear() == TAKEN
            assert await endpoint.until(lambda: out, SERVED_S)
            assert sorted(ids_of(out[0])) == [b"long", b"short"]
            endpoint.answer = endpoint.deliver
            await asyncio.sleep(0.43)
            endpoint.deliver(out[0])
            await endpoint.rest(3.0)
            assert endpoint.count()[b"long"] == 1

        async with Endpoint(program, out.append) as endpoint:
            await play()


def test_behind_an_upgrade_the_client_is_looked_for_in_the_step_of_the_last_byte_too(tmp_path, monkeypatch):
    # Guards against a look that is lost with the process that answered: the reset waits in the socket, behind
    # what others have sent, as the last byte is due.
    with_shim(tmp_path, monkeypatch, ONE_EVENT_A_LOOK + LONG_LOOK.format(seconds=0.25))

    @with_pair(tmp_path)
    async def _(pair):
        await pair.second()
        await pair.ready()
        client, others = RawClient(pair, b"m0"), [RawClient(pair, b"-") for _ in range(DECOYS)]
        async with Endpoint(pair) as endpoint:
            client.hand_in()
            await client.answered()
            pair.others[-1][0].send_signal(signal.SIGTERM)
            await pair.log_line(" is ready on ")
            await asyncio.sleep(0.05)
            async with standing_still(pair):
                for other in others:
                    other.sock.sendall(b"*1\r\n$4\r\nPING\r\n")
                client.close()  # over its unread `+OK`
                await asyncio.sleep(0.25)
            await endpoint.rest()
            assert endpoint.count() == {}


def test_an_answer_that_comes_before_the_last_byte_holds_that_byte_back(tmp_path, monkeypatch):
    # Guards against a call that is completed behind the endpoint's word that the message is over.
    with_shim(tmp_path, monkeypatch, LONG_LOOK.format(seconds=HELD_S))

    @run_with_program(Roomy(tmp_path), started=False)
    async def _(program):
        came = bytearray()

        async def serve(reader, writer):
            came.extend(await reader.readuntil(b"\r\n\r\n"))
            writer.write(b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n")
            while data := await reader.read(1000):
                came.extend(data)

        server = await asyncio.start_server(serve, program.partner.host, 0)
        program.partner.address = server.sockets[0].getsockname()
        await program.start()
        client = RawClient(program, b"m0")
        client.hand_in(2000)
        assert await client.hear() == TAKEN
        await asyncio.sleep(1.0)
        assert bytes(came).endswith(b"hell"), bytes(came)[-20:]
