"""Clients that disconnect: a message is not delivered if its client cannot have received the acceptance, and
reaches an end if it has."""

import asyncio
import random

import pytest
from doubles import run_with_program
from leavers import (
    ACCEPTED,
    LAST_BYTE_DELAY,
    AnswerBreakpoint,
    Endpoint,
    LateEndpoint,
    ManyMessagesProgram,
    RawClient,
    clients_of,
    submission,
    submit_together,
    suspended,
    wait_until_accepted,
    with_noted_checks,
    with_shim,
    without_shim,
)

pytestmark = pytest.mark.usefixtures("each_loop")

CLIENTS = 200
WAYS = ("close", "reset", "shut")  # of disconnecting
BURST, BURSTS = 48, 24  # messages of one client in one write, and number of such clients
WORKERS = 8  # clients in parallel, where the timing of each matters
HELD = 20  # messages in calls whose last byte is held back
HELD_S = 0.4  # delay of the last byte
SERVED_S = 5.0  # limit for clients that stay connected
LEFT_MS = 4000
NOTICED_S = 0.05  # for the program to notice a lost connection
ALL_NOTICED_S = 0.5  # to notice many, under load
SUSPENDED_S = 0.6  # longer than clients wait for an answer
CONNECT_RETRY_S = 2.0  # the kernel retries a connect after 1 s

ONE_EVENT_A_POLL = """import selectors


class OneEventPoll:
    # An epoll that reports one ready descriptor at a time, as the kernel may.
    def __init__(self, epoll):
        self.epoll = epoll

    def __getattr__(self, name):
        return getattr(self.epoll, name)

    def poll(self, timeout, most):
        return self.epoll.poll(timeout, 1)


original = selectors.EpollSelector.__init__


def init(self):
    original(self)
    self._selector = OneEventPoll(self._selector)


selectors.EpollSelector.__init__ = init
"""

KILL_BEHIND_LOSS = """import os, signal

from rushhitch import connection
from rushhitch.fronts.client_connection import ClientConnection

connection.MIN_LAST_BYTE_DELAY_S = connection.MAX_LAST_BYTE_DELAY_S = 5.0
original = ClientConnection.connection_lost


def lost(self, error):
    original(self, error)
    if error is not None:
        self.loop.call_soon(os.kill, os.getpid(), signal.SIGKILL)


ClientConnection.connection_lost = lost
"""


async def check_others_served(program, endpoint):
    """Check that other clients are still served, after all earlier submissions; returns the calls expected
    for their messages."""
    staying = [RawClient(program, b"stays-" + cls.encode(), cls) for cls in ("note", "pay")]
    for client in staying:
        client.submit()
        assert await client.read_answer() == ACCEPTED
    served = {client.name for client in staying}
    assert await endpoint.wait_for(lambda: served <= endpoint.delivered, SERVED_S)
    await endpoint.settle()
    return dict.fromkeys(served, 1)


async def check_all_delivered_once(endpoint, clients):
    """Check that each client read `+OK` and that its message was delivered by one call."""
    names = {client.name for client in clients}
    await endpoint.wait_for(
        lambda: names <= endpoint.delivered and all(c.received for c in clients), SERVED_S
    )
    assert [client.received for client in clients] == [ACCEPTED] * len(clients)
    assert endpoint.count() == dict.fromkeys(names, 1), endpoint.notices_by_message()


# Before the answer


def test_a_message_is_not_sent_if_its_client_closed_before_the_answer(tmp_path, monkeypatch):
    # A successful write of `+OK` proves no acceptance: the client may have closed, and its FIN may be queued
    # behind the request.
    with_shim(tmp_path, monkeypatch, ONE_EVENT_A_POLL)

    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        clients = [
            RawClient(program, b"m%d" % number, ("note", "pay")[number % 2]) for number in range(CLIENTS)
        ]
        staying = await program.client()
        async with Endpoint(program) as endpoint:
            assert await staying.ask(b"PING") == b"+PONG\r\n"  # all are accepted by now
            async with suspended(program):
                for client in clients:
                    client.submit()
                    client.close()
            assert await staying.add(b"stays") == b"+OK\r\n"
            await endpoint.wait_for(lambda: endpoint.count()[b"stays"] == 1, 5.0)
            await endpoint.settle()
            assert endpoint.count() == {b"stays": 1}


def test_a_message_is_not_sent_if_its_client_reset_before_the_answer(tmp_path, monkeypatch):
    # As above with a reset, which may be seen before the request, after it or when the answer is written.
    with_shim(tmp_path, monkeypatch, ONE_EVENT_A_POLL)

    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        clients = clients_of(program, CLIENTS)
        async with Endpoint(program) as endpoint:
            async with suspended(program):
                for client in clients:
                    client.submit()
                    client.reset()
            served = await check_others_served(program, endpoint)
            assert endpoint.count() == served


def test_a_half_closed_client_gets_a_correct_answer(tmp_path, monkeypatch):
    # A half-close may be refused as a disconnect, but then the client must read that refusal.
    with_shim(tmp_path, monkeypatch, ONE_EVENT_A_POLL)

    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        clients = clients_of(program, CLIENTS)
        async with Endpoint(program) as endpoint:
            async with suspended(program):
                for client in clients:
                    client.submit()
                    client.half_close()
            answers = [await client.read_answer() for client in clients]
            assert all(answer.startswith((b"+OK", b"-BUSY")) for answer in answers)
            taken = {client.name for client in clients if client.received == ACCEPTED}
            await endpoint.wait_for(lambda: taken <= endpoint.delivered, SERVED_S)
            served = await check_others_served(program, endpoint)
            assert endpoint.count() == dict.fromkeys(taken, 1) | served


# In the loop iteration of the answer


@pytest.mark.parametrize("moment", ["before", "behind"])
@pytest.mark.parametrize("how", WAYS)
def test_a_message_is_not_sent_if_its_client_disconnects_in_the_iteration_of_its_answer(
    tmp_path, monkeypatch, moment, how
):
    # One check before the answer is not enough: the client may disconnect between that check and the system
    # call, or between the call and the next loop iteration.
    with AnswerBreakpoint(moment, lambda client: client.disconnect(how)) as breakpoint_at_answer:
        with_shim(tmp_path, monkeypatch, breakpoint_at_answer.shim)

        @run_with_program(ManyMessagesProgram(tmp_path))
        async def _(program):
            clients = clients_of(program, CLIENTS)
            breakpoint_at_answer.expect(clients)
            async with Endpoint(program) as endpoint:
                await submit_together(program, clients)
                served = await check_others_served(program, endpoint)
                assert breakpoint_at_answer.action_count == CLIENTS, (
                    "not each answer was written by `socket.send`"
                )
                assert endpoint.count() == served


@pytest.mark.parametrize("moment", ["before", "behind"])
def test_a_client_that_half_closes_in_the_iteration_of_its_answer_is_served(tmp_path, monkeypatch, moment):
    # A half-close is no disconnect: the client reads its `+OK` a moment later.
    with AnswerBreakpoint(moment, lambda client: client.half_close()) as breakpoint_at_answer:
        with_shim(tmp_path, monkeypatch, breakpoint_at_answer.shim)

        @run_with_program(ManyMessagesProgram(tmp_path))
        async def _(program):
            clients = clients_of(program, CLIENTS)
            breakpoint_at_answer.expect(clients)
            async with Endpoint(program) as endpoint:
                await submit_together(program, clients)
                for client in clients:
                    await client.read_answer()
                await check_all_delivered_once(endpoint, clients)


def read_and_close(client):
    """Both while the program is stopped at the answer."""
    client.received = client.sock.recv(64)
    client.close()


def test_a_client_that_reads_its_answer_and_closes_in_the_same_iteration_is_served(tmp_path, monkeypatch):
    # A close does not mean that the answer was lost: this client has read it.
    with AnswerBreakpoint("behind", read_and_close) as breakpoint_at_answer:
        with_shim(tmp_path, monkeypatch, breakpoint_at_answer.shim)

        @run_with_program(ManyMessagesProgram(tmp_path))
        async def _(program):
            clients = clients_of(program, CLIENTS)
            breakpoint_at_answer.expect(clients)
            async with Endpoint(program) as endpoint:
                await submit_together(program, clients)
                await check_all_delivered_once(endpoint, clients)


# After the answer


async def in_parallel(clients, play):
    """Run `play` for each client, `WORKERS` at a time."""

    async def worker(mine):
        for client in mine:
            await play(client)

    await asyncio.gather(*(worker(clients[first::WORKERS]) for first in range(WORKERS)))


@pytest.mark.parametrize("how", WAYS)
def test_a_message_is_not_sent_after_its_client_disconnected_1_ms_after_its_unread_answer(
    tmp_path, monkeypatch, how
):
    # An answer in the receive buffer of the client was not read.
    with_noted_checks(tmp_path, monkeypatch)

    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:

            async def play(client):
                client.submit()
                await client.answered()
                await asyncio.sleep(0.001)
                client.disconnect(how)
                await endpoint.mark_disconnected(client)

            clients = clients_of(program, CLIENTS)
            await in_parallel(clients, play)
            await check_others_served(program, endpoint)
            assert not (sent := endpoint.sent_after_disconnect(clients)), len(sent)


@pytest.mark.parametrize("wait_s", [0.0005, 0.002])
def test_a_message_is_not_sent_after_its_half_closed_client_disconnected(tmp_path, monkeypatch, wait_s):
    # A half-close must not hide the reset that follows once the FIN was read.
    with_noted_checks(tmp_path, monkeypatch)

    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:

            async def play(client):
                client.submit()
                await client.answered()
                client.half_close()
                await asyncio.sleep(wait_s)
                client.close()
                await endpoint.mark_disconnected(client)

            clients = clients_of(program, CLIENTS)
            await in_parallel(clients, play)
            await check_others_served(program, endpoint)
            assert not (sent := endpoint.sent_after_disconnect(clients)), len(sent)


@pytest.mark.parametrize("wait_s", [0.0, 0.001, 0.01])
def test_messages_are_not_sent_after_their_client_disconnected_after_a_burst(tmp_path, monkeypatch, wait_s):
    # A lost connection must be noticed even while reading is paused between parts of a burst.
    with_noted_checks(tmp_path, monkeypatch)

    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:

            async def play(client):
                client.submit_burst(BURST)
                await client.answered()
                await asyncio.sleep(wait_s)
                client.disconnect(WAYS[int(client.name[1:]) % len(WAYS)])
                await endpoint.mark_disconnected(client)

            clients = clients_of(program, BURSTS)
            await in_parallel(clients, play)
            await check_others_served(program, endpoint)
            assert not (sent := endpoint.sent_after_disconnect(clients)), len(sent)


@pytest.mark.parametrize("seed", [52, 53])
def test_a_message_is_not_sent_after_its_client_disconnected_at_any_time(tmp_path, monkeypatch, seed):
    # Random times, 0 to 8 ms after the request, in each way of disconnecting. A third reads any answer first,
    # and its message must then reach an end.
    chance = random.Random(seed)

    with_noted_checks(tmp_path, monkeypatch)

    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:

            async def play(client):
                client.submit()
                await asyncio.sleep(chance.uniform(0.0, 0.008) * chance.randrange(2))
                if chance.randrange(3) == 0:
                    client.read_answer_if_present()
                client.disconnect(chance.choice(WAYS))
                await endpoint.mark_disconnected(client)

            clients = clients_of(program, CLIENTS)
            await in_parallel(clients, play)
            await check_others_served(program, endpoint)
            assert not (sent := endpoint.sent_after_disconnect(clients)), len(sent)
            assert not endpoint.unfinished(clients)


@pytest.mark.parametrize("wait_s", [0.0, 0.001, 0.05])
def test_a_client_that_reads_its_answer_and_closes_in_order_is_served(tmp_path, wait_s):
    # A message whose acceptance was read must not be dropped.
    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:

            async def play(client):
                client.submit()
                await client.read_answer()
                if wait_s:
                    await asyncio.sleep(wait_s)
                client.close()

            clients = clients_of(program, CLIENTS)
            await in_parallel(clients, play)
            await check_all_delivered_once(endpoint, clients)


def test_a_client_that_half_closes_1_ms_after_its_answer_is_served(tmp_path):
    # A half-close is no disconnect: the client reads its `+OK` a moment later.
    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:

            async def play(client):
                client.submit()
                await client.answered()
                await asyncio.sleep(0.001)
                client.half_close()
                await client.read_answer()

            clients = clients_of(program, CLIENTS)
            await in_parallel(clients, play)
            await check_all_delivered_once(endpoint, clients)


# Between the answer and the last byte of the call, which is held back


def test_a_held_back_call_is_not_completed_if_its_client_left_the_answer_unread(tmp_path, monkeypatch):
    # One check at the start of the call is not enough: the client disconnects with its `+OK` unread while the
    # last byte is held back. Some clients send another request before.
    with_shim(tmp_path, monkeypatch, LAST_BYTE_DELAY.format(seconds=HELD_S))

    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        clients = clients_of(program, HELD)
        async with Endpoint(program) as endpoint:
            await submit_together(program, clients)
            for client in clients:
                await client.answered()
            for number, client in enumerate(clients):
                if number % 4 == 1:
                    client.name = b"again-" + client.name
                    client.submit()
                client.disconnect(WAYS[number % 3])
            served = await check_others_served(program, endpoint)
            assert endpoint.count() == served


@pytest.mark.parametrize("wait_s", [0.0, 0.05])
def test_clients_that_disconnect_while_the_process_is_suspended_are_noticed_before_its_next_call(
    tmp_path, monkeypatch, wait_s
):
    # An old answer must not count as received just because time passed while nothing was read: a SIGSTOP
    # interrupts the poll, which then returns no events, so that timers run before the input is read.
    with_shim(tmp_path, monkeypatch, LAST_BYTE_DELAY.format(seconds=HELD_S))

    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        clients = clients_of(program, HELD)
        async with Endpoint(program) as endpoint:
            await submit_together(program, clients)
            for client in clients:
                await client.answered()
            await asyncio.sleep(wait_s)
            async with suspended(program):
                for number, client in enumerate(clients):
                    client.disconnect(WAYS[number % 3])
                await asyncio.sleep(SUSPENDED_S)
            served = await check_others_served(program, endpoint)
            assert endpoint.count() == served


def test_a_message_between_calls_is_bounced_if_its_client_disconnects(tmp_path):
    # A lost connection must also stop later calls, not only the first one.
    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        def answer(request):
            request.answer(429, X_Come_Back_Ms="700")

        for number, how in enumerate(WAYS):
            client = RawClient(program, b"m%d" % number, ("note", "pay")[number % 2])
            async with Endpoint(program, answer) as endpoint:
                client.submit(LEFT_MS)
                assert await endpoint.wait_for(lambda: endpoint.calls, SERVED_S)  # noqa: B023
                await asyncio.sleep(NOTICED_S)
                client.disconnect(how)
                await endpoint.settle()
                assert endpoint.count() == {client.name: 1}
                assert endpoint.notices_by_message() == {client.name: ["bounced"]}


def test_a_message_reaches_an_end_if_its_client_read_the_answer_and_reset(tmp_path, monkeypatch):
    # The client has read the acceptance, so a reset must not drop its message.
    with_shim(tmp_path, monkeypatch, LAST_BYTE_DELAY.format(seconds=HELD_S))

    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        clients = clients_of(program, HELD)
        async with Endpoint(program) as endpoint:
            await submit_together(program, clients, LEFT_MS)
            for client in clients:
                assert await client.read_answer() == ACCEPTED
                client.reset()
            await endpoint.wait_for(lambda: not endpoint.unfinished(clients), LEFT_MS / 1000.0 + 1.0)
            assert not (unfinished := endpoint.unfinished(clients)), len(unfinished)


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_client_that_disconnects_after_a_second_request_withdraws_only_that_one(tmp_path, monkeypatch, how):
    # A disconnect must not withdraw every request of the connection: the first one was accepted and read.
    # After a close that is certain; after a reset it is not, but the message must still reach an end.
    with_shim(tmp_path, monkeypatch, LAST_BYTE_DELAY.format(seconds=HELD_S))

    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        clients = clients_of(program, HELD)
        async with Endpoint(program) as endpoint:
            await submit_together(program, clients, LEFT_MS)
            for client in clients:
                assert await client.read_answer() == ACCEPTED
            for client in clients:
                client.sock.sendall(submission(b"last-" + client.name, client.cls, LEFT_MS))
                client.disconnect(how)
            await endpoint.wait_for(lambda: not endpoint.unfinished(clients), LEFT_MS / 1000.0 + 1.0)
            await endpoint.settle()
            first = {client.name for client in clients}
            assert endpoint.count().keys() <= first
            assert endpoint.delivered | endpoint.notices_by_message().keys() >= first
            assert how == "reset" or endpoint.delivered == first


def test_a_message_with_its_answer_unread_is_not_sent_to_an_endpoint_that_is_late_to_accept(tmp_path):
    # The check must be repeated for a call that was decided before the disconnect and waits to connect.
    @run_with_program(ManyMessagesProgram(tmp_path), started=False)
    async def _(program):
        delayed = LateEndpoint(program.partner.host)
        program.partner.address = delayed.address
        await program.start()
        clients = clients_of(program, 8)
        async with Endpoint(program) as endpoint:
            await submit_together(program, clients)
            for client in clients:
                await client.answered()
            await asyncio.sleep(NOTICED_S)
            for client in clients:
                client.close()
            await asyncio.sleep(NOTICED_S)
            await delayed.start_accepting(program.partner)
            await endpoint.wait_for(lambda: program.partner.connections > 0, CONNECT_RETRY_S)
            served = await check_others_served(program, endpoint)
            assert endpoint.count() == served


def test_a_held_back_batch_is_sent_without_the_message_of_a_disconnected_client(tmp_path, monkeypatch):
    # The disconnect must drop its own message from the batch, and no other.
    with_shim(tmp_path, monkeypatch, LAST_BYTE_DELAY.format(seconds=HELD_S))

    @run_with_program(ManyMessagesProgram(tmp_path, batch=4))
    async def _(program):
        clients = clients_of(program, 4)
        await wait_until_accepted(clients)
        leaving = clients[1:3]
        async with Endpoint(program) as endpoint:
            await submit_together(program, clients)
            for client in clients:
                await (client.answered() if client in leaving else client.read_answer())
            for client in leaving:
                client.close()
            await endpoint.wait_for(lambda: len(endpoint.delivered) >= 2, SERVED_S)
            await endpoint.settle()
            assert endpoint.count() == {b"m0": 1, b"m3": 1}
            assert not endpoint.notices_by_message().keys() - {client.name for client in leaving}


# While a call is open


OUTCOMES = {  # outcome of a call whose client has disconnected, and the results in its notices
    "200": [],
    "410": ["bounced"],
    "429": ["bounced"],
    "503": ["bounced"],
    "500": ["dead"],
    "reset": ["dead"],
}


def answer_with(request, outcome):
    if outcome == "reset":
        request.reset()
    elif outcome == "429":
        request.answer(429, X_Come_Back_Ms="100")
    else:
        request.answer(int(outcome))


@pytest.mark.parametrize("cls", ["note", "pay"])
@pytest.mark.parametrize("outcomes", [("200", "500"), ("410", "reset"), ("429", "503")])
def test_an_open_call_of_a_disconnected_client_ends_the_message_by_its_outcome(tmp_path, outcomes, cls):
    # Neither a retry for a client that is gone, nor a notice for a delivered message.
    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        clients = [RawClient(program, outcome.encode(), cls) for outcome in outcomes]
        out = []
        async with Endpoint(program, out.append) as endpoint:
            await submit_together(program, clients)
            assert await endpoint.wait_for(lambda: len(out) == len(clients), SERVED_S)
            for client in clients:
                client.close()  # with its answer unread
            await asyncio.sleep(NOTICED_S)
            endpoint.answer = endpoint.deliver
            for request in out:
                answer_with(request, request.headers["x-correlation-id"])
            await endpoint.settle()
            assert endpoint.count() == {client.name: 1 for client in clients}
            notices = endpoint.notices_by_message()
            assert [notices.get(outcome.encode(), []) for outcome in outcomes] == [
                OUTCOMES[o] for o in outcomes
            ]


def test_the_answer_to_a_batch_ends_only_the_messages_of_disconnected_clients(tmp_path):
    # Neither a retry of the whole batch, nor an end of its other messages.
    @run_with_program(ManyMessagesProgram(tmp_path, batch=4))
    async def _(program):
        out = []
        clients = clients_of(program, 4)
        await wait_until_accepted(clients)
        async with Endpoint(program, out.append) as endpoint:
            await submit_together(program, clients)
            assert await endpoint.wait_for(lambda: len(out) == 1, SERVED_S)
            assert set(endpoint.calls[0].ids) == {client.name for client in clients}
            for client in clients[:2]:
                client.close()  # with its answer unread
            await asyncio.sleep(NOTICED_S)
            endpoint.answer = endpoint.deliver
            out[0].answer(200, b"".join(b"%s deferred\r\n" % client.name for client in clients))
            await endpoint.wait_for(lambda: len(endpoint.delivered) == 2, SERVED_S)
            await endpoint.settle()
            assert endpoint.count() == {b"m0": 1, b"m1": 1, b"m2": 2, b"m3": 2}
            assert endpoint.notices_by_message() == {b"m0": ["bounced"], b"m1": ["bounced"]}


# With a kill of the process


def test_an_open_call_of_a_disconnected_client_is_not_repeated_after_a_kill(tmp_path):
    # A repeatable message that may have run must not be repeated for a client that is gone.
    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        clients = clients_of(program, 2)
        async with Endpoint(program, lambda request: None) as endpoint:
            await submit_together(program, clients)
            assert await endpoint.wait_for(lambda: len(endpoint.calls) == 2, SERVED_S)
            for client in clients:
                client.close()  # with its answer unread
            await asyncio.sleep(ALL_NOTICED_S)
            program.process.kill()
            await program.process.wait()
            endpoint.answer = endpoint.deliver
            await program.start()
            served = await check_others_served(program, endpoint)
            assert endpoint.count() == served | {b"m0": 1, b"m1": 1}
            assert endpoint.notices_by_message() == {b"m0": ["dead"], b"m1": ["dead"]}


def test_a_message_abandoned_before_a_kill_is_not_sent_by_the_next_process(tmp_path, monkeypatch):
    # The abandonment must be journaled: otherwise the journal still says that the message is accepted.
    with_shim(tmp_path, monkeypatch, LAST_BYTE_DELAY.format(seconds=5.0))

    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        clients = clients_of(program, 20)
        async with Endpoint(program) as endpoint:
            await submit_together(program, clients)
            for client in clients:
                await client.answered()
            for client in clients:
                client.close()
            await asyncio.sleep(ALL_NOTICED_S)
            program.process.kill()
            await program.process.wait()
            without_shim(tmp_path)
            await program.start()
            served = await check_others_served(program, endpoint)
            assert endpoint.count() == served
            assert endpoint.notices_by_message() == {client.name: ["bounced"] for client in clients}


def test_a_message_whose_answer_was_read_before_a_kill_is_sent_by_the_next_process(tmp_path, monkeypatch):
    # The opposite case: a client that read its answer and closed keeps its message.
    with_shim(tmp_path, monkeypatch, LAST_BYTE_DELAY.format(seconds=5.0))

    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        clients = clients_of(program, 20)
        async with Endpoint(program) as endpoint:
            await submit_together(program, clients)
            for client in clients:
                await client.read_answer()
                client.close()
            await asyncio.sleep(ALL_NOTICED_S)
            await program.kill()
            without_shim(tmp_path)
            await program.start()
            await check_all_delivered_once(endpoint, clients)


def test_a_message_is_not_sent_after_a_kill_right_after_the_loss_of_its_client(tmp_path, monkeypatch):
    # The abandonment must be journaled at once: the kill comes right after the loss.
    with_shim(tmp_path, monkeypatch, KILL_BEHIND_LOSS)

    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        clients = clients_of(program, 20)
        async with Endpoint(program) as endpoint:
            await submit_together(program, clients)
            for client in clients:
                await client.answered()
            async with suspended(program):
                for client in clients:
                    client.close()
            await program.process.wait()
            without_shim(tmp_path)
            await program.start()
            served = await check_others_served(program, endpoint)
            assert endpoint.count() == served
            assert endpoint.notices_by_message().keys() == {client.name for client in clients}
