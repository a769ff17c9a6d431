"""The RESP2 server over loopback: answers in order, bad input, closing between requests."""

import asyncio

import pytest
from doubles import Client, run
from hypothesis import given, settings
from hypothesis import strategies as st

from rushhitch.clients import MOST_BODY, BadRequest, Clients, parse_offer


class Taker:
    """Takes every offer and leaves its answer to the test."""

    def __init__(self):
        self.offers = asyncio.Queue()
        self.withdrawn = asyncio.Queue()
        self.handles = 0

    def offer(self, offer, answer):
        self.handles += 1
        self.offers.put_nowait((offer, answer))
        return self.handles

    def withdraw(self, handle):
        self.withdrawn.put_nowait(handle)


def with_server(most=16):
    def decorate(test):
        async def work():
            taker = Taker()
            server = Clients(taker, most)
            await server.listen(("127.0.0.1", 0))
            await test(server, taker)

        run(work())

    return decorate


async def connect(server):
    return Client(*await asyncio.open_connection(*server.address))


ADD = (b"OUT.ADD", b"00", b"m1", b"c=note,d=8000,dest=7,r=1,again=1", b"body")


def test_an_offer_is_read_as_it_was_sent():
    offer = parse_offer(list(ADD))
    assert (offer.id, offer.cls, offer.destination, offer.left_ms) == (b"m1", "note", 7, 8000.0)
    assert (offer.body, offer.key, offer.again) == (b"body", 0, True)


def test_answers_go_out_in_the_order_of_the_requests():
    @with_server()
    async def _(server, taker):
        client = await connect(server)
        client.send(*ADD)
        client.send(b"PING")
        client.send(*ADD)
        _, first = await taker.offers.get()
        _, second = await taker.offers.get()
        second(b"-BUSY 300\r\n")
        first(b"+OK\r\n")
        assert [await client.line() for _ in range(3)] == [b"+OK\r\n", b"+PONG\r\n", b"-BUSY 300\r\n"]


@pytest.mark.parametrize(
    "data",
    [
        b"PING\r\n",
        b"*-5\r\n",
        b"*1\r\n$-7\r\n",
        b"*1\r\n$9999999\r\n" + bytes(80_000),
        b"\x00\xff\x00\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
def test_what_is_not_resp_gets_an_error_and_costs_its_own_connection_only(data):
    @with_server()
    async def _(server, taker):
        good, bad = await connect(server), await connect(server)
        bad.writer.write(data)
        assert (await bad.line()).startswith(b"-ERR ")
        try:
            assert await bad.line() == b""
        except ConnectionResetError:  # what it sent beyond that was not read
            pass
        assert await good.ask(b"PING") == b"+PONG\r\n"


@pytest.mark.parametrize(
    ("words", "says"),
    [
        ([b"SET", b"a", b"b"], b"SET"),
        ([b"OUT.ADD", b"0"], b"words"),
        ([b"OUT.ADD", b"0", b"m 1", b"c=note,d=1,dest=1", b""], b"id"),
        ([b"OUT.ADD", b"0", b"m\r\n1", b"c=note,d=1,dest=1", b""], b"id"),
        ([b"OUT.ADD", b"xyz", b"m1", b"c=note,d=1,dest=1", b""], b"key"),
        ([b"OUT.ADD", b"0", b"m1", b"d=1,dest=1", b""], b"field c"),
        ([b"OUT.ADD", b"0", b"m1", b"c=note,d=-1,dest=1", b""], b"d must"),
        ([b"OUT.ADD", b"0", b"m1", b"c=note,d=1,dest=north", b""], b"dest must"),
        ([b"OUT.ADD", b"0", b"m1", b"c=note,d=1,dest=1", bytes(MOST_BODY + 1)], b"65536"),
    ],
)
def test_a_request_that_makes_no_sense_gets_an_error_and_the_next_is_served(words, says):
    @with_server()
    async def _(server, taker):
        client = await connect(server)
        line = await client.ask(*words)
        assert line.startswith(b"-ERR ") and says in line
        assert await client.ask(b"PING") == b"+PONG\r\n"
        assert taker.offers.empty()


@given(st.lists(st.binary(max_size=20), min_size=5, max_size=5))
@settings(derandomize=True, deadline=None)
def test_any_words_are_an_offer_or_a_bad_request(words):
    try:
        offer = parse_offer(words)
    except BadRequest as error:
        assert str(error)
    else:
        assert offer.id == words[2] and offer.body == words[4]


def test_a_client_that_goes_without_its_answer_withdraws_its_message():
    # Guards against delivering under an id that the client has given up and hands in anew.
    @with_server()
    async def _(server, taker):
        client = await connect(server)
        client.send(*ADD)
        await taker.offers.get()
        client.writer.close()
        assert await taker.withdrawn.get() == 1


def test_one_client_too_many_is_told_so():
    @with_server(most=1)
    async def _(server, taker):
        first = await connect(server)
        first.send(*ADD)
        _, answer = await taker.offers.get()
        second = await connect(server)
        assert b"too many clients" in await second.line()
        assert await second.line() == b""
        answer(b"+OK\r\n")
        assert await first.line() == b"+OK\r\n"


def test_the_client_that_has_been_silent_longest_gives_way():
    # Guards against a table full of connections whose clients vanished without a word.
    @with_server(most=2)
    async def _(server, taker):
        first, second = await connect(server), await connect(server)
        for client in (first, second, first):
            assert await client.ask(b"PING") == b"+PONG\r\n"
        third = await connect(server)
        assert await third.ask(b"PING") == b"+PONG\r\n"
        assert await second.line() == b""
        assert await first.ask(b"PING") == b"+PONG\r\n"


def test_a_request_that_waits_to_be_read_is_answered_before_its_connection_is_closed():
    @with_server()
    async def _(server, taker):
        client = await connect(server)
        assert await client.ask(b"PING") == b"+PONG\r\n"
        client.send(b"PING")  # in the kernel by now, and not read while this does not wait
        server.finish()
        assert await client.line() == b"+PONG\r\n" and await client.line() == b""


def test_a_client_that_takes_no_answers_is_not_read_on():
    # Guards against answers that pile up in memory.
    @with_server()
    async def _(server, taker):
        client = await connect(server)
        assert await client.ask(b"PING") == b"+PONG\r\n"
        (served,) = server.clients
        served.pause_writing()
        assert not served.transport.is_reading()
        client.send(b"PING")
        served.resume_writing()
        assert await client.line() == b"+PONG\r\n"


def test_connections_are_closed_between_requests_only():
    # Guards against ending a connection with a request on it, which would lose the message.
    @with_server()
    async def _(server, taker):
        idle, asking, writing = [await connect(server) for _ in range(3)]
        asking.send(*ADD)
        _, answer = await taker.offers.get()
        writing.writer.write(b"*1\r\n$4\r\nPI")
        assert await idle.ask(b"PING") == b"+PONG\r\n"
        while not any(client.partial for client in server.clients):
            await asyncio.sleep(0)
        server.stop_listening()
        server.finish()
        assert await idle.line() == b""
        answer(b"+OK\r\n")
        assert await asking.line() == b"+OK\r\n" and await asking.line() == b""
        writing.writer.write(b"NG\r\n")
        assert await writing.line() == b"+PONG\r\n" and await writing.line() == b""
