"""Clients that leave: nothing is sent on for one that cannot have heard, and who heard has its end."""

import asyncio
import random

import pytest
from doubles import run_with_program
from leavers import (
    LONG_LOOK,
    TAKEN,
    Door,
    Endpoint,
    LateEndpoint,
    RawClient,
    Roomy,
    are_known,
    clients_of,
    hand_in_together,
    standing_still,
    with_shim,
    without_shim,
    words,
)

LEAVERS = 200
WAYS = ("close", "reset", "shut")  # of leaving
BURST, BURSTS = 48, 24  # messages of one client at once, and such clients
LANES = 8  # so many side by side, where the time of each counts
HELD = 20  # messages in calls that are held back
HELD_S = 0.4  # the last byte of a call is held back for so long, where a test needs that time
SERVED_S = 5.0  # whoever stays is served by then
LEFT_MS = 4000
NOTED_S = 0.05  # the program has read by then that a connection was lost
ALL_NOTED_S = 0.5  # and that many were, beside load
STOOD_S = 0.6  # a pause longer than clients wait for an answer
COMES_UP_S = 2.0  # the system tries again to connect after a second

ONE_EVENT_A_LOOK = """import selectors


class One:
    # An epoll that gives one of the ready at a time, in turn, as the system may.
    def __init__(self, epoll):
        self.epoll = epoll

    def __getattr__(self, name):
        return getattr(self.epoll, name)

    def poll(self, timeout, most):
        return self.epoll.poll(timeout, 1)


plain = selectors.EpollSelector.__init__


def init(self):
    plain(self)
    self._selector = One(self._selector)


selectors.EpollSelector.__init__ = init
"""

KILL_BEHIND_LOSS = """import os, signal
from asyncio import selector_events

from rushhitch import connection

connection.MIN_LAST_BYTE_DELAY_S = connection.MAX_LAST_BYTE_DELAY_S = 5.0
transport = selector_events._SelectorTransport
plain = transport._call_connection_lost


def lost(self, error):
    loop = self._loop
    plain(self, error)
    if error is not None:
        loop.call_soon(os.kill, os.getpid(), signal.SIGKILL)


transport._call_connection_lost = lost
"""


async def stay_and_are_served(program, endpoint):
    """Clients that stay are served as ever, behind all that was handed in before; gives their messages."""
    stays = [RawClient(program, b"stays-" + cls.encode(), cls) for cls in ("note", "pay")]
    for client in stays:
        client.hand_in()
        assert await client.hear() == TAKEN
    served = {client.name for client in stays}
    assert await endpoint.until(lambda: served <= endpoint.delivered, SERVED_S)
    await endpoint.rest()
    return dict.fromkeys(served, 1)


async def all_are_delivered_once(endpoint, clients):
    """Each heard that it is accepted, and was sent on."""
    names = {client.name for client in clients}
    await endpoint.until(lambda: names <= endpoint.delivered and all(c.heard for c in clients), SERVED_S)
    assert [client.heard for client in clients] == [TAKEN] * len(clients)
    assert endpoint.count() == dict.fromkeys(names, 1), endpoint.told()


# Before the answer


def test_a_client_that_left_before_its_answer_is_never_sent_on(tmp_path, monkeypatch):
    # Guards against an acceptance by what the node wrote: its `+OK` goes whole into a connection whose client
    # has closed, and the end of it waits to be read behind the request.
    with_shim(tmp_path, monkeypatch, ONE_EVENT_A_LOOK)

    @run_with_program(Roomy(tmp_path))
    async def _(program):
        clients = [
            RawClient(program, b"m%d" % number, ("note", "pay")[number % 2]) for number in range(LEAVERS)
        ]
        stays = await program.client()
        async with Endpoint(program) as endpoint:
            assert await stays.ask(b"PING") == b"+PONG\r\n"  # all are accepted by now
            async with standing_still(program):
                for client in clients:
                    client.hand_in()
                    client.close()
            assert await stays.add(b"stays") == b"+OK\r\n"
            await endpoint.until(lambda: endpoint.count()[b"stays"] == 1, 5.0)
            await endpoint.rest()
            assert endpoint.count() == {b"stays": 1}


def test_a_client_that_reset_before_its_answer_is_never_sent_on(tmp_path, monkeypatch):
    # Guards against the same by a reset, which may be read before the request, behind it, or at the answer.
    with_shim(tmp_path, monkeypatch, ONE_EVENT_A_LOOK)

    @run_with_program(Roomy(tmp_path))
    async def _(program):
        clients = clients_of(program, LEAVERS)
        async with Endpoint(program) as endpoint:
            async with standing_still(program):
                for client in clients:
                    client.hand_in()
                    client.reset()
            served = await stay_and_are_served(program, endpoint)
            assert endpoint.count() == served


def test_a_half_closed_client_hears_the_truth(tmp_path, monkeypatch):
    # Guards against a half-close taken for a leave behind its back: what it reads holds, whichever it is.
    with_shim(tmp_path, monkeypatch, ONE_EVENT_A_LOOK)

    @run_with_program(Roomy(tmp_path))
    async def _(program):
        clients = clients_of(program, LEAVERS)
        async with Endpoint(program) as endpoint:
            async with standing_still(program):
                for client in clients:
                    client.hand_in()
                    client.half_close()
            heard = [await client.hear() for client in clients]
            assert all(answer.startswith((b"+OK", b"-BUSY")) for answer in heard)
            taken = {client.name for client in clients if client.heard == TAKEN}
            await endpoint.until(lambda: taken <= endpoint.delivered, SERVED_S)
            served = await stay_and_are_served(program, endpoint)
            assert endpoint.count() == dict.fromkeys(taken, 1) | served


# Within the step of the answer


@pytest.mark.parametrize("moment", ["before", "behind"])
@pytest.mark.parametrize("how", WAYS)
def test_a_client_that_leaves_in_the_step_of_its_answer_is_never_sent_on(tmp_path, monkeypatch, moment, how):
    # Guards against a look before the answer as the only one: the client goes between it and the system call,
    # or between that and the next step.
    with Door(moment, lambda client: client.leave(how)) as door:
        with_shim(tmp_path, monkeypatch, door.shim)

        @run_with_program(Roomy(tmp_path))
        async def _(program):
            clients = clients_of(program, LEAVERS)
            door.expect(clients)
            async with Endpoint(program) as endpoint:
                await hand_in_together(program, clients)
                served = await stay_and_are_served(program, endpoint)
                assert door.acted == LEAVERS, "not each answer was written by `socket.send`"
                assert endpoint.count() == served


@pytest.mark.parametrize("moment", ["before", "behind"])
def test_a_client_that_half_closes_in_the_step_of_its_answer_is_served(tmp_path, monkeypatch, moment):
    # Guards against a half-close taken for a leave: it reads its `+OK` a moment later.
    with Door(moment, lambda client: client.half_close()) as door:
        with_shim(tmp_path, monkeypatch, door.shim)

        @run_with_program(Roomy(tmp_path))
        async def _(program):
            clients = clients_of(program, LEAVERS)
            door.expect(clients)
            async with Endpoint(program) as endpoint:
                await hand_in_together(program, clients)
                for client in clients:
                    await client.hear()
                await all_are_delivered_once(endpoint, clients)


def hear_and_close(client):
    """All in the step of its answer."""
    client.heard = client.sock.recv(64)
    client.close()


def test_a_client_that_reads_its_answer_and_closes_within_its_step_is_served(tmp_path, monkeypatch):
    # Guards against any end of a connection taken for "not heard": this one acknowledged its answer.
    with Door("behind", hear_and_close) as door:
        with_shim(tmp_path, monkeypatch, door.shim)

        @run_with_program(Roomy(tmp_path))
        async def _(program):
            clients = clients_of(program, LEAVERS)
            door.expect(clients)
            async with Endpoint(program) as endpoint:
                await hand_in_together(program, clients)
                await all_are_delivered_once(endpoint, clients)


# Behind the answer, by time


async def in_lanes(clients, play):
    """Each client plays its part, some side by side."""

    async def lane(mine):
        for client in mine:
            await play(client)

    await asyncio.gather(*(lane(clients[first::LANES]) for first in range(LANES)))


@pytest.mark.parametrize("how", WAYS)
def test_a_client_that_leaves_1_ms_behind_its_answer_unread_is_not_sent_on_after_that(tmp_path, how):
    # Guards against an answer in the client's system taken for heard: nobody read it.
    @run_with_program(Roomy(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:

            async def play(client):
                client.hand_in()
                await client.answered()
                await asyncio.sleep(0.001)
                client.leave(how)
                await endpoint.caught_up_at_leave(client)

            clients = clients_of(program, LEAVERS)
            await in_lanes(clients, play)
            await stay_and_are_served(program, endpoint)
            assert not (late := endpoint.late(clients)), len(late)


@pytest.mark.parametrize("wait_s", [0.0005, 0.002])
def test_a_half_closed_client_that_leaves_is_not_sent_on_after_that(tmp_path, wait_s):
    # Guards against a half-close that hides the leave behind it: the reset comes when its end was read.
    @run_with_program(Roomy(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:

            async def play(client):
                client.hand_in()
                await client.answered()
                client.half_close()
                await asyncio.sleep(wait_s)
                client.close()
                await endpoint.caught_up_at_leave(client)

            clients = clients_of(program, LEAVERS)
            await in_lanes(clients, play)
            await stay_and_are_served(program, endpoint)
            assert not (late := endpoint.late(clients)), len(late)


@pytest.mark.parametrize("wait_s", [0.0, 0.001, 0.01])
def test_a_client_that_leaves_behind_a_burst_is_not_sent_on_after_that(tmp_path, wait_s):
    # Guards against a loss that is not read while the connection rests between parts of a burst.
    @run_with_program(Roomy(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:

            async def play(client):
                client.hand_in_burst(BURST)
                await client.answered()
                await asyncio.sleep(wait_s)
                client.leave(WAYS[int(client.name[1:]) % len(WAYS)])
                await endpoint.caught_up_at_leave(client)

            clients = clients_of(program, BURSTS)
            await in_lanes(clients, play)
            await stay_and_are_served(program, endpoint)
            assert not (late := endpoint.late(clients)), len(late)


@pytest.mark.parametrize("seed", [52, 53])
def test_a_client_that_leaves_at_any_moment_is_not_sent_on_after_that(tmp_path, seed):
    # Guards against the moments that nobody thought of: 0 to 8 ms behind the request, by each way of leaving;
    # a third reads what is there before, and is owed an end then.
    chance = random.Random(seed)

    @run_with_program(Roomy(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:

            async def play(client):
                client.hand_in()
                await asyncio.sleep(chance.uniform(0.0, 0.008) * chance.randrange(2))
                if chance.randrange(3) == 0:
                    client.hear_if_there()
                client.leave(chance.choice(WAYS))
                await endpoint.caught_up_at_leave(client)

            clients = clients_of(program, LEAVERS)
            await in_lanes(clients, play)
            await stay_and_are_served(program, endpoint)
            assert not (late := endpoint.late(clients)), len(late)
            assert not endpoint.endless(clients)


@pytest.mark.parametrize("wait_s", [0.0, 0.001, 0.05])
def test_a_client_that_reads_its_answer_and_closes_in_order_is_served(tmp_path, wait_s):
    # Guards against a mend that drops what was heard: worse than the fault.
    @run_with_program(Roomy(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:

            async def play(client):
                client.hand_in()
                await client.hear()
                if wait_s:
                    await asyncio.sleep(wait_s)
                client.close()

            clients = clients_of(program, LEAVERS)
            await in_lanes(clients, play)
            await all_are_delivered_once(endpoint, clients)


def test_a_client_that_half_closes_1_ms_behind_its_answer_is_served(tmp_path):
    # Guards against a half-close taken for a leave: it reads its `+OK` a moment later.
    @run_with_program(Roomy(tmp_path))
    async def _(program):
        async with Endpoint(program) as endpoint:

            async def play(client):
                client.hand_in()
                await client.answered()
                await asyncio.sleep(0.001)
                client.half_close()
                await client.hear()

            clients = clients_of(program, LEAVERS)
            await in_lanes(clients, play)
            await all_are_delivered_once(endpoint, clients)


# Between the answer and the call, which is held back


def test_what_a_client_left_unread_is_not_sent_by_a_call_that_is_held_back(tmp_path, monkeypatch):
    # Guards against a look as the call begins as the only one: the client goes over its unread `+OK` while
    # the last byte is held back; some ask once more before.
    with_shim(tmp_path, monkeypatch, LONG_LOOK.format(seconds=HELD_S))

    @run_with_program(Roomy(tmp_path))
    async def _(program):
        clients = clients_of(program, HELD)
        async with Endpoint(program) as endpoint:
            await hand_in_together(program, clients)
            for client in clients:
                await client.answered()
            for number, client in enumerate(clients):
                if number % 4 == 1:
                    client.name = b"again-" + client.name
                    client.hand_in()
                client.leave(WAYS[number % 3])
            served = await stay_and_are_served(program, endpoint)
            assert endpoint.count() == served


@pytest.mark.parametrize("wait_s", [0.0, 0.05])
def test_clients_that_leave_while_the_process_stands_still_are_noticed_before_its_next_call(
    tmp_path, monkeypatch, wait_s
):
    # Guards against "so long ago that it was heard", by a clock that ran on while nothing was read: a stop
    # interrupts the wait for events, which then gives none, and timers run before anything is read.
    with_shim(tmp_path, monkeypatch, LONG_LOOK.format(seconds=HELD_S))

    @run_with_program(Roomy(tmp_path))
    async def _(program):
        clients = clients_of(program, HELD)
        async with Endpoint(program) as endpoint:
            await hand_in_together(program, clients)
            for client in clients:
                await client.answered()
            await asyncio.sleep(wait_s)
            async with standing_still(program):
                for number, client in enumerate(clients):
                    client.leave(WAYS[number % 3])
                await asyncio.sleep(STOOD_S)
            served = await stay_and_are_served(program, endpoint)
            assert endpoint.count() == served


def test_a_message_that_waits_for_its_next_call_is_given_back_as_its_client_leaves(tmp_path):
    # Guards against a loss that counts before the first call only.
    @run_with_program(Roomy(tmp_path))
    async def _(program):
        def answer(request):
            request.answer(429, X_Come_Back_Ms="700")

        for number, how in enumerate(WAYS):
            client = RawClient(program, b"m%d" % number, ("note", "pay")[number % 2])
            async with Endpoint(program, answer) as endpoint:
                client.hand_in(LEFT_MS)
                assert await endpoint.until(lambda: endpoint.calls, SERVED_S)  # noqa: B023
                await asyncio.sleep(NOTED_S)
                client.leave(how)
                await endpoint.rest()
                assert endpoint.count() == {client.name: 1}
                assert endpoint.told() == {client.name: ["bounced"]}


def test_what_a_client_had_read_before_it_reset_has_its_end(tmp_path, monkeypatch):
    # Guards against a message that is dropped as unheard: its client was told that an end is owed.
    with_shim(tmp_path, monkeypatch, LONG_LOOK.format(seconds=HELD_S))

    @run_with_program(Roomy(tmp_path))
    async def _(program):
        clients = clients_of(program, HELD)
        async with Endpoint(program) as endpoint:
            await hand_in_together(program, clients, LEFT_MS)
            for client in clients:
                assert await client.hear() == TAKEN
                client.reset()
            await endpoint.until(lambda: not endpoint.endless(clients), LEFT_MS / 1000.0 + 1.0)
            assert not (endless := endpoint.endless(clients)), len(endless)


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_client_that_asks_once_more_and_leaves_takes_back_the_last_request_alone(
    tmp_path, monkeypatch, how
):
    # Guards against a loss that is laid to every request of its connection: the first was heard, since the
    # client closes in order; behind a reset nobody can tell, and the end that was promised is owed.
    with_shim(tmp_path, monkeypatch, LONG_LOOK.format(seconds=HELD_S))

    @run_with_program(Roomy(tmp_path))
    async def _(program):
        clients = clients_of(program, HELD)
        async with Endpoint(program) as endpoint:
            await hand_in_together(program, clients, LEFT_MS)
            for client in clients:
                assert await client.hear() == TAKEN
            for client in clients:
                client.sock.sendall(words(b"last-" + client.name, client.cls, LEFT_MS))
                client.leave(how)
            await endpoint.until(lambda: not endpoint.endless(clients), LEFT_MS / 1000.0 + 1.0)
            await endpoint.rest()
            first = {client.name for client in clients}
            assert endpoint.count().keys() <= first
            assert endpoint.delivered | endpoint.told().keys() >= first
            assert how == "reset" or endpoint.delivered == first


def test_what_a_client_left_unread_is_not_sent_to_an_endpoint_that_comes_up_late(tmp_path):
    # Guards against a call that was decided before the loss, and waits for its connection only.
    @run_with_program(Roomy(tmp_path), started=False)
    async def _(program):
        late = LateEndpoint(program.partner.host)
        program.partner.address = late.address
        await program.start()
        clients = clients_of(program, 8)
        async with Endpoint(program) as endpoint:
            await hand_in_together(program, clients)
            for client in clients:
                await client.answered()
            await asyncio.sleep(NOTED_S)
            for client in clients:
                client.close()
            await asyncio.sleep(NOTED_S)
            await late.comes_up(program.partner)
            await endpoint.until(lambda: program.partner.connections > 0, COMES_UP_S)
            served = await stay_and_are_served(program, endpoint)
            assert endpoint.count() == served


def test_a_batch_that_is_held_back_goes_without_the_message_of_a_client_that_left(tmp_path, monkeypatch):
    # Guards against a loss that takes its fellows along, and against fellows that carry it out.
    with_shim(tmp_path, monkeypatch, LONG_LOOK.format(seconds=HELD_S))

    @run_with_program(Roomy(tmp_path, batch=4))
    async def _(program):
        clients = clients_of(program, 4)
        await are_known(clients)
        leaves = clients[1:3]
        async with Endpoint(program) as endpoint:
            await hand_in_together(program, clients)
            for client in clients:
                await (client.answered() if client in leaves else client.hear())
            for client in leaves:
                client.close()
            await endpoint.until(lambda: len(endpoint.delivered) >= 2, SERVED_S)
            await endpoint.rest()
            assert endpoint.count() == {b"m0": 1, b"m3": 1}
            assert not endpoint.told().keys() - {client.name for client in leaves}


# While a call is out


OUTCOMES = {  # what comes back of a call whose client has left meanwhile, and the notice that then ends it
    "200": [],
    "410": ["bounced"],
    "429": ["bounced"],
    "503": ["bounced"],
    "500": ["dead"],
    "reset": ["dead"],
}


def fares(request, outcome):
    if outcome == "reset":
        request.reset()
    elif outcome == "429":
        request.answer(429, X_Come_Back_Ms="100")
    else:
        request.answer(int(outcome))


@pytest.mark.parametrize("cls", ["note", "pay"])
@pytest.mark.parametrize("outcomes", [("200", "500"), ("410", "reset"), ("429", "503")])
def test_a_call_that_is_out_as_its_client_leaves_decides_by_its_outcome(tmp_path, outcomes, cls):
    # Guards against a retry for nobody, and against a notice for what was delivered.
    @run_with_program(Roomy(tmp_path))
    async def _(program):
        clients = [RawClient(program, outcome.encode(), cls) for outcome in outcomes]
        out = []
        async with Endpoint(program, out.append) as endpoint:
            await hand_in_together(program, clients)
            assert await endpoint.until(lambda: len(out) == len(clients), SERVED_S)
            for client in clients:
                client.close()  # over its unread answer
            await asyncio.sleep(NOTED_S)
            endpoint.answer = endpoint.deliver
            for request in out:
                fares(request, request.headers["x-correlation-id"])
            await endpoint.rest()
            assert endpoint.count() == {client.name: 1 for client in clients}
            told = endpoint.told()
            assert [told.get(outcome.encode(), []) for outcome in outcomes] == [OUTCOMES[o] for o in outcomes]


def test_the_answer_to_a_batch_ends_the_message_of_a_client_that_left_and_no_other(tmp_path):
    # Guards against a retry of the whole batch, and against an end that takes its fellows along.
    @run_with_program(Roomy(tmp_path, batch=4))
    async def _(program):
        out = []
        clients = clients_of(program, 4)
        await are_known(clients)
        async with Endpoint(program, out.append) as endpoint:
            await hand_in_together(program, clients)
            assert await endpoint.until(lambda: len(out) == 1, SERVED_S)
            assert set(endpoint.calls[0].ids) == {client.name for client in clients}
            for client in clients[:2]:
                client.close()  # over its unread answer
            await asyncio.sleep(NOTED_S)
            endpoint.answer = endpoint.deliver
            out[0].answer(200, b"".join(b"%s deferred\r\n" % client.name for client in clients))
            await endpoint.until(lambda: len(endpoint.delivered) == 2, SERVED_S)
            await endpoint.rest()
            assert endpoint.count() == {b"m0": 1, b"m1": 1, b"m2": 2, b"m3": 2}
            assert endpoint.told() == {b"m0": ["bounced"], b"m1": ["bounced"]}


# And a kill


def test_a_call_that_is_out_as_its_client_leaves_is_not_repeated_by_the_process_after_a_kill(tmp_path):
    # Guards against a repeatable message that goes again since it "may have run": nobody wants it.
    @run_with_program(Roomy(tmp_path))
    async def _(program):
        clients = clients_of(program, 2)
        async with Endpoint(program, lambda request: None) as endpoint:
            await hand_in_together(program, clients)
            assert await endpoint.until(lambda: len(endpoint.calls) == 2, SERVED_S)
            for client in clients:
                client.close()  # over its unread answer
            await asyncio.sleep(ALL_NOTED_S)
            program.process.kill()
            await program.process.wait()
            endpoint.answer = endpoint.deliver
            await program.start()
            served = await stay_and_are_served(program, endpoint)
            assert endpoint.count() == served | {b"m0": 1, b"m1": 1}
            assert endpoint.told() == {b"m0": ["dead"], b"m1": ["dead"]}


def test_what_was_lost_before_a_kill_is_not_sent_by_the_next_process(tmp_path, monkeypatch):
    # Guards against a stage that dies with the process: its journal says "accepted".
    with_shim(tmp_path, monkeypatch, LONG_LOOK.format(seconds=5.0))

    @run_with_program(Roomy(tmp_path))
    async def _(program):
        clients = clients_of(program, 20)
        async with Endpoint(program) as endpoint:
            await hand_in_together(program, clients)
            for client in clients:
                await client.answered()
            for client in clients:
                client.close()
            await asyncio.sleep(ALL_NOTED_S)
            program.process.kill()
            await program.process.wait()
            without_shim(tmp_path)
            await program.start()
            served = await stay_and_are_served(program, endpoint)
            assert endpoint.count() == served
            assert endpoint.told() == {client.name: ["bounced"] for client in clients}


def test_what_was_heard_before_a_kill_is_sent_by_the_next_process(tmp_path, monkeypatch):
    # Guards against the opposite: a client that closes in order takes nothing back.
    with_shim(tmp_path, monkeypatch, LONG_LOOK.format(seconds=5.0))

    @run_with_program(Roomy(tmp_path))
    async def _(program):
        clients = clients_of(program, 20)
        async with Endpoint(program) as endpoint:
            await hand_in_together(program, clients)
            for client in clients:
                await client.hear()
                client.close()
            await asyncio.sleep(ALL_NOTED_S)
            await program.kill()
            without_shim(tmp_path)
            await program.start()
            await all_are_delivered_once(endpoint, clients)


def test_a_kill_right_behind_the_loss_of_a_client_sends_nothing_of_it_on(tmp_path, monkeypatch):
    # Guards against a stage that is written down later: the kill comes in the step behind the loss.
    with_shim(tmp_path, monkeypatch, KILL_BEHIND_LOSS)

    @run_with_program(Roomy(tmp_path))
    async def _(program):
        clients = clients_of(program, 20)
        async with Endpoint(program) as endpoint:
            await hand_in_together(program, clients)
            for client in clients:
                await client.answered()
            async with standing_still(program):
                for client in clients:
                    client.close()
            await program.process.wait()
            without_shim(tmp_path)
            await program.start()
            served = await stay_and_are_served(program, endpoint)
            assert endpoint.count() == served
            assert endpoint.told().keys() == {client.name for client in clients}
