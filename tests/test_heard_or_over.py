"""Unlikely orders of events around acceptances that were not received and answers that end a message."""

import asyncio
import signal

from doubles import run_with_program
from leavers import (
    ACCEPTED,
    LAST_BYTE_DELAY,
    Endpoint,
    ManyMessagesProgram,
    RawClient,
    ids_of,
    submission,
    suspended,
    with_shim,
)
from test_client_gone import ONE_EVENT_A_POLL
from test_succession import with_pair

OTHER_CLIENTS = 40
HELD_S = 0.4
NOTICED_S = 0.05  # for the program to notice a lost connection
SERVED_S = 5.0


def test_an_id_submitted_again_after_its_delivery_does_not_run_again(tmp_path):
    # Ends must be remembered by id not only for abandoned messages, but also for those that were delivered
    # before the client's connection broke: the client submits the same message again.
    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:
            first = RawClient(program, b"m0", "pay")
            first.submit()
            assert await endpoint.wait_for(lambda: b"m0" in endpoint.delivered, SERVED_S)
            await asyncio.sleep(NOTICED_S)
            first.close()  # with `+OK` unread
            second = RawClient(program, b"m0", "pay")
            second.submit()
            assert await second.read_answer() == ACCEPTED
            await endpoint.settle()
            assert endpoint.count() == {b"m0": 1}


def test_an_id_submitted_again_after_it_failed_does_not_run_again(tmp_path):
    # As above for a message that failed although its only attempt may have run.
    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        async with Endpoint(program, lambda request: request.answer(500)) as endpoint:
            first = RawClient(program, b"m0", "pay")
            first.submit()
            assert await endpoint.wait_for(lambda: endpoint.notices_by_message(), SERVED_S)
            await asyncio.sleep(NOTICED_S)
            first.close()
            endpoint.answer = endpoint.deliver
            second = RawClient(program, b"m0", "pay")
            second.submit()
            await second.read_answer()
            await endpoint.settle()
            assert endpoint.count() == {b"m0": 1}


def test_an_answer_to_a_repeated_id_does_not_count_as_received(tmp_path, monkeypatch):
    # A second `+OK` must not count as received once it is written: neither client read its own.
    with_shim(tmp_path, monkeypatch, LAST_BYTE_DELAY.format(seconds=HELD_S))

    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:
            clients = [RawClient(program, b"m0"), RawClient(program, b"m0")]
            for client in clients:
                client.submit()
                await client.answered()
            for client in clients:
                client.close()  # with `+OK` unread
            await asyncio.sleep(HELD_S)
            await endpoint.settle()
            assert endpoint.count() == {}


def test_a_half_close_and_reset_after_a_second_request_means_the_first_answer_was_not_read(
    tmp_path, monkeypatch
):
    # A half-close does not prove that the earlier answer was read: a client may close in two steps. Without a
    # further request it has 10 ms for the second.
    with_shim(tmp_path, monkeypatch, LAST_BYTE_DELAY.format(seconds=HELD_S))

    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:
            client = RawClient(program, b"m0")
            client.submit()
            await client.answered()
            client.sock.sendall(submission(b"m1"))
            client.half_close()
            await asyncio.sleep(0.003)
            client.close()  # with `+OK` unread: a reset
            await asyncio.sleep(HELD_S)
            await endpoint.settle()
            assert endpoint.count() == {}


UNCONFIRMED = """from rushhitch.fronts import client_connection

client_connection.unacknowledged = lambda sock: 5  # the client is cut off: nothing is acknowledged
"""


def test_a_message_is_not_sent_once_a_cut_off_client_has_timed_out(tmp_path, monkeypatch):
    # An unacknowledged answer must not stay in doubt for ever: the client waits 0.4 s, and by then its TCP
    # stack has received no byte of it.
    with_shim(tmp_path, monkeypatch, UNCONFIRMED + LAST_BYTE_DELAY.format(seconds=0.7))

    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:
            client = RawClient(program, b"m0")
            client.submit()
            await asyncio.sleep(0.7)
            await endpoint.settle()
            assert endpoint.count() == {}


def test_a_truncated_response_with_status_410_ends_the_message(tmp_path):
    # The status line 410 ends the message even if the rest of the response never arrives.
    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        def answer(request):
            ids_of(request)
            request.writer.write(b"HTTP/1.1 410 Gone\r\nContent-Length: 9\r\n\r\nx")

        async with Endpoint(program, answer) as endpoint:
            client = RawClient(program, b"m0")
            client.submit(2000)
            assert await client.read_answer() == ACCEPTED
            await endpoint.wait_for(lambda: endpoint.notices_by_message(), 3.0)
            await endpoint.settle()
            assert endpoint.count() == {b"m0": 1}


def test_a_reset_while_reading_is_paused_is_noticed(tmp_path, monkeypatch):
    # While reading is paused the loop has not read all input: the timer must not count the acceptance as
    # received while a reset is pending on the socket.
    with_shim(tmp_path, monkeypatch, LAST_BYTE_DELAY.format(seconds=0.8))

    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:
            client = RawClient(program, b"m0")
            client.submit()
            await client.answered()
            await asyncio.sleep(0.39)
            client.sock.sendall(b"*1\r\n$3\r\nFOO\r\n")  # an error: nothing is read for 0.1 s
            await asyncio.sleep(0.02)
            client.close()  # with `+OK` unread, 0.41 s after it
            await asyncio.sleep(0.6)
            await endpoint.settle()
            assert endpoint.count() == {}


def test_a_message_accepted_in_a_batch_has_ended_whatever_time_the_others_have_left(tmp_path):
    # A complete response ends its accepted messages even if another message of the batch has less than 0.1 s
    # left.
    @run_with_program(ManyMessagesProgram(tmp_path, batch=4))
    async def _(program):
        out = []

        async def play():
            clients = [RawClient(program, b"short"), RawClient(program, b"long")]
            async with suspended(program):
                clients[0].submit(500)
                clients[1].submit(6000)
            for client in clients:
                assert await client.read_answer() == ACCEPTED
            assert await endpoint.wait_for(lambda: out, SERVED_S)
            assert sorted(ids_of(out[0])) == [b"long", b"short"]
            endpoint.answer = endpoint.deliver
            await asyncio.sleep(0.43)
            endpoint.deliver(out[0])
            await endpoint.settle(3.0)
            assert endpoint.count()[b"long"] == 1

        async with Endpoint(program, out.append) as endpoint:
            await play()


def test_after_an_upgrade_the_client_is_still_checked_right_before_the_last_byte(tmp_path, monkeypatch):
    # The check of the client must survive the handover to another process: the reset is pending on the
    # socket, behind input of other clients, when the last byte is due.
    with_shim(tmp_path, monkeypatch, ONE_EVENT_A_POLL + LAST_BYTE_DELAY.format(seconds=0.25))

    @with_pair(tmp_path)
    async def _(pair):
        await pair.second()
        await pair.ready()
        client, others = RawClient(pair, b"m0"), [RawClient(pair, b"-") for _ in range(OTHER_CLIENTS)]
        async with Endpoint(pair) as endpoint:
            client.submit()
            await client.answered()
            pair.others[-1][0].send_signal(signal.SIGTERM)
            await pair.log_line(" is ready on ")
            await asyncio.sleep(0.05)
            async with suspended(pair):
                for other in others:
                    other.sock.sendall(b"*1\r\n$4\r\nPING\r\n")
                client.close()  # with `+OK` unread
                await asyncio.sleep(0.25)
            await endpoint.settle()
            assert endpoint.count() == {}


def test_an_early_response_withholds_the_last_byte(tmp_path, monkeypatch):
    # A call must not be completed after the endpoint has already answered that the message is over.
    with_shim(tmp_path, monkeypatch, LAST_BYTE_DELAY.format(seconds=HELD_S))

    @run_with_program(ManyMessagesProgram(tmp_path), started=False)
    async def _(program):
        received = bytearray()

        async def serve(reader, writer):
            received.extend(await reader.readuntil(b"\r\n\r\n"))
            writer.write(b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n")
            while data := await reader.read(1000):
                received.extend(data)

        server = await asyncio.start_server(serve, program.partner.host, 0)
        program.partner.address = server.sockets[0].getsockname()
        await program.start()
        client = RawClient(program, b"m0")
        client.submit(2000)
        assert await client.read_answer() == ACCEPTED
        await asyncio.sleep(1.0)
        assert bytes(received).endswith(b"hell"), bytes(received)[-20:]
