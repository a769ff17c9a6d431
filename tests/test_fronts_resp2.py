"""The RESP2 server over loopback: answers in order, bad input, closing between requests."""

import asyncio
import socket
import struct

import pytest
from doubles import Client, run
from hypothesis import given, settings
from hypothesis import strategies as st

from rushhitch.acceptor import ACCEPTED, MAX_BODY_BYTES, BadRequest, Reply
from rushhitch.fronts import admission
from rushhitch.fronts import resp2 as resp2_front
from rushhitch.fronts.listener import ConnectionManager
from rushhitch.fronts.resp2 import Resp2Connection, parse_submission

pytestmark = pytest.mark.usefixtures("each_loop")


class Acceptor:
    """Takes every submission and leaves its answer to the test."""

    def __init__(self):
        self.offers = asyncio.Queue()
        self.withdrawn, self.abandoned = asyncio.Queue(), asyncio.Queue()
        self.handles = 0

    def offer(self, offer, answer, ended=None, reachable=None, check_client=None):
        self.handles += 1
        self.offers.put_nowait((offer, answer))
        return self.handles

    def withdraw(self, handle):
        self.withdrawn.put_nowait(handle)

    def abandon(self, handle, why):
        self.abandoned.put_nowait(handle)


def with_server(most=16):
    def decorate(test):
        async def work():
            acceptor = Acceptor()
            server = ConnectionManager(acceptor, most)
            server.listen(("127.0.0.1", 0), "resp2", Resp2Connection)
            await test(server, acceptor)

        run(work())

    return decorate


async def connect(server):
    return Client(*await asyncio.open_connection(*server.address))


ADD = (b"OUT.ADD", b"00", b"m1", b"c=note,d=8000,dest=7,r=1,again=1", b"body")


def test_an_offer_is_read_as_it_was_sent():
    offer = parse_submission(list(ADD))
    assert (offer.id, offer.cls, offer.destination, offer.left_ms) == (b"m1", "note", 7, 8000.0)
    assert (offer.body, offer.key, offer.again) == (b"body", 0, True)
    assert (offer.tenant, offer.idempotency) == ("", b"")


def test_the_tenant_and_the_key_of_repeats_are_read():
    offer = parse_submission([*ADD[:3], b"c=note,t=comune,d=8000,k=f59ace57a939f76f,dest=7", b"body"])
    assert (offer.tenant, offer.idempotency) == ("comune", b"f59ace57a939f76f")


@pytest.mark.parametrize("key", [b"a b", b"a\r\nX-Other: 1", b"\xff", b"x" * 129])
def test_a_key_of_repeats_that_would_break_the_request_to_its_endpoint_is_refused(key):
    with pytest.raises(BadRequest, match="k must be"):
        parse_submission([*ADD[:3], b"c=note,d=8000,dest=7,k=" + key, b"body"])


def test_answers_go_out_in_the_order_of_the_requests():
    @with_server()
    async def _(server, acceptor):
        client = await connect(server)
        client.send(*ADD)
        client.send(b"PING")
        client.send(*ADD)
        _, first = await acceptor.offers.get()
        _, second = await acceptor.offers.get()
        second(Reply("refused", 300.0))
        first(ACCEPTED)
        assert [await client.line() for _ in range(3)] == [b"+OK\r\n", b"+PONG\r\n", b"-BUSY 300\r\n"]


@pytest.mark.parametrize("how", ["close", "reset", "shut"])
def test_an_acceptance_fails_if_its_client_disconnected_right_after_the_check(how):
    # If `+OK` only went to a buffer of the transport, the message would count as accepted although the client
    # is gone.
    @with_server()
    async def _(server, acceptor):
        with socket.create_connection(server.address) as sock:
            sock.sendall(b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in ADD))
            _, answer = await acceptor.offers.get()
            if how == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            if how == "shut":
                sock.shutdown(socket.SHUT_WR)
            else:
                sock.close()
            assert answer(ACCEPTED) is False  # in the same loop iteration, so the close was not read yet
            if how == "shut":
                sock.setblocking(False)
                line = await asyncio.get_running_loop().sock_recv(sock, 100)
                assert line.startswith(b"-BUSY"), "a half-closed client must be told the refusal"


def test_a_repeat_of_an_accepted_message_is_answered_after_an_open_request():
    # This answer may wait its turn, since the message is already accepted.
    @with_server()
    async def _(server, acceptor):
        client = await connect(server)
        client.send(*ADD)
        _, first = await acceptor.offers.get()

        def offer(offer, answer, **_):
            assert answer(ACCEPTED)
            return 0

        acceptor.offer = offer
        client.send(*ADD)
        client.send(b"PING")
        first(Reply("refused", 300.0))
        assert [await client.line() for _ in range(3)] == [b"-BUSY 300\r\n", b"+OK\r\n", b"+PONG\r\n"]


@pytest.mark.parametrize(
    "data",
    [
        b"PING\r\n",
        b"*-5\r\n",
        b"*1\r\n$-7\r\n",
        b"*1\r\n$9999999\r\n" + bytes(80_000),
        b"\x00\xff\x00\r\n",
        b"*0\r\n",
        b"*2000000000\r\n",
        b"*5\r\n*2000000000\r\n",
        b"*1\r\n$60000000\r\n",
        b"*1\r\n$3\r\nPING\r\n",
        b"*" + b"1" * 100,
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
def test_malformed_resp_gets_an_error_and_closes_only_its_own_connection(data):
    @with_server()
    async def _(server, acceptor):
        good, bad = await connect(server), await connect(server)
        bad.writer.write(data)
        assert (await bad.line()).startswith(b"-ERR ")
        try:
            assert await bad.line() == b""
        except ConnectionResetError:  # the rest of its input was not read
            pass
        assert await good.ask(b"PING") == b"+PONG\r\n"


@pytest.mark.parametrize(
    ("words", "expected_text"),
    [
        ([b"SET", b"a", b"b"], b"SET"),
        ([b"OUT.ADD", b"0"], b"words"),
        ([b"OUT.ADD", b"0", b"m 1", b"c=note,d=1,dest=1", b""], b"id"),
        ([b"OUT.ADD", b"0", b"m\r\n1", b"c=note,d=1,dest=1", b""], b"id"),
        ([b"OUT.ADD", b"xyz", b"m1", b"c=note,d=1,dest=1", b""], b"key"),
        ([b"OUT.ADD", b"-0x1", b"m1", b"c=note,d=1,dest=1", b""], b"key"),
        ([b"OUT.ADD", b"0" * 40, b"m1", b"c=note,d=1,dest=1", b""], b"key"),
        ([b"OUT.ADD", b"0", b"m1", b"d=1,dest=1", b""], b"field c"),
        ([b"OUT.ADD", b"0", b"m1", b"c=note,d=-1,dest=1", b""], b"d must"),
        ([b"OUT.ADD", b"0", b"m1", b"c=note,d=1,dest=north", b""], b"dest must"),
        ([b"OUT.ADD", b"0", b"m1", b"c=note,d=1,dest=1", bytes(MAX_BODY_BYTES + 1)], b"65536"),
    ],
)
def test_an_invalid_request_gets_an_error_and_the_next_is_served(words, expected_text):
    @with_server()
    async def _(server, acceptor):
        client = await connect(server)
        line = await client.ask(*words)
        assert line.startswith(b"-ERR ") and expected_text in line
        assert await client.ask(b"PING") == b"+PONG\r\n"
        assert acceptor.offers.empty()


@given(st.lists(st.binary(max_size=20), min_size=5, max_size=5))
@settings(derandomize=True, deadline=None)
def test_any_words_are_an_offer_or_a_bad_request(words):
    try:
        offer = parse_submission(words)
    except BadRequest as error:
        assert str(error)
    else:
        assert offer.id == words[2] and offer.body == words[4]


def test_a_client_that_disconnects_before_its_answer_withdraws_its_message():
    # It submits the message again under the same id, so the first submission must not be delivered.
    @with_server()
    async def _(server, acceptor):
        client = await connect(server)
        client.send(*ADD)
        await acceptor.offers.get()
        client.writer.close()
        assert await acceptor.withdrawn.get() == 1


def test_a_client_over_the_limit_gets_an_error():
    @with_server(most=1)
    async def _(server, acceptor):
        first = await connect(server)
        first.send(*ADD)
        _, answer = await acceptor.offers.get()
        second = await connect(server)
        assert b"too many clients" in await second.line()
        assert await second.line() == b""
        answer(ACCEPTED)
        assert await first.line() == b"+OK\r\n"


def test_the_least_recently_active_client_is_evicted():
    # Connections whose clients vanished must not fill the limit.
    @with_server(most=2)
    async def _(server, acceptor):
        first, second = await connect(server), await connect(server)
        for client in (first, second, first):
            assert await client.ask(b"PING") == b"+PONG\r\n"
        third = await connect(server)
        assert await third.ask(b"PING") == b"+PONG\r\n"
        assert await second.line() == b""
        assert await first.ask(b"PING") == b"+PONG\r\n"


def test_a_request_that_waits_to_be_read_is_answered_before_its_connection_is_closed():
    @with_server()
    async def _(server, acceptor):
        client = await connect(server)
        assert await client.ask(b"PING") == b"+PONG\r\n"
        client.send(b"PING")  # in the kernel by now; the loop reads it only when this awaits
        server.drain()
        assert await client.line() == b"+PONG\r\n" and await client.line() == b""


def test_reading_stops_for_a_client_that_reads_no_answers():
    # Otherwise unread answers would fill memory.
    @with_server()
    async def _(server, acceptor):
        client = await connect(server)
        assert await client.ask(b"PING") == b"+PONG\r\n"
        (served,) = server.clients
        served.pause_writing()
        assert not served.transport.is_reading()
        client.send(b"PING")
        served.resume_writing()
        assert await client.line() == b"+PONG\r\n"


def test_connections_are_closed_between_requests_only():
    # Closing a connection with an open request would lose the message.
    @with_server()
    async def _(server, acceptor):
        idle, asking, writing = [await connect(server) for _ in range(3)]
        asking.send(*ADD)
        _, answer = await acceptor.offers.get()
        writing.writer.write(b"*1\r\n$4\r\nPI")
        assert await idle.ask(b"PING") == b"+PONG\r\n"
        while not any(client.framing.size for client in server.clients):
            await asyncio.sleep(0)
        server.stop_listening()
        server.drain()
        assert await idle.line() == b""
        answer(ACCEPTED)
        assert await asking.line() == b"+OK\r\n" and await asking.line() == b""
        writing.writer.write(b"NG\r\n")
        assert await writing.line() == b"+PONG\r\n" and await writing.line() == b""


@pytest.mark.parametrize("sent", [b"", b"*1\r\n$4\r\nPI", b"*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nPI"])
def test_a_client_that_sends_nothing_or_a_partial_request_gets_an_error_and_is_closed(sent, monkeypatch):
    # Silent clients must not hold file descriptors for ever.
    monkeypatch.setattr(admission, "SILENT_S", 0.1)

    @with_server()
    async def _(server, acceptor):
        client = await connect(server)
        client.writer.write(sent)
        lines = (await client.reader.read()).splitlines()
        assert lines[:-1] == [b"+PONG"] * sent.count(b"PING") and lines[-1].startswith(b"-ERR ")


def test_a_connection_kept_for_good_is_closed_between_requests_only(monkeypatch):
    monkeypatch.setattr(admission, "SILENT_S", 0.1)
    monkeypatch.setattr(admission, "IDLE_S", 0.2)

    @with_server()
    async def _(server, acceptor):
        kept, asking = await connect(server), await connect(server)
        asking.send(*ADD)
        _, answer = await acceptor.offers.get()
        assert await kept.ask(b"PING") == b"+PONG\r\n" and await kept.line() == b""
        answer(ACCEPTED)
        assert await asking.line() == b"+OK\r\n" and await asking.line() == b""


def test_silent_connections_are_evicted_for_clients_with_requests():
    @with_server(most=4)
    async def _(server, acceptor):
        good = await connect(server)
        assert await good.ask(b"PING") == b"+PONG\r\n"
        crowd = [await connect(server) for _ in range(60)]
        late = await connect(server)
        assert await late.ask(b"PING") == b"+PONG\r\n" and await good.ask(b"PING") == b"+PONG\r\n"
        assert [await client.line() for client in crowd[:50]] == [b""] * 50


def test_memory_of_partial_requests_is_limited():
    @with_server()
    async def _(server, acceptor):
        server.max_incomplete_bytes = 100_000
        half = [await connect(server) for _ in range(2)]
        for client in half:
            client.writer.write(b"*1\r\n$65000\r\n" + bytes(60_000))
            while server.incomplete_bytes < 60_000:
                await asyncio.sleep(0)
        assert b"half sent" in await half[1].line() and await half[1].line() == b""
        while server.incomplete_bytes > 100_000:
            await asyncio.sleep(0)
        half[0].writer.write(bytes(5_000) + b"\r\n")
        assert (await half[0].line()).startswith(b"-ERR unknown command")
        assert server.incomplete_bytes == 0


def test_pipelined_requests_are_served_in_bursts_and_none_is_lost(monkeypatch):
    # One connection must not starve the others.
    monkeypatch.setattr(resp2_front, "MAX_BURST", 4)

    @with_server()
    async def _(server, acceptor):
        client = await connect(server)
        for _ in range(30):
            client.send(*ADD)
        for _ in range(30):
            _, answer = await acceptor.offers.get()
            assert acceptor.offers.qsize() < 4
            answer(ACCEPTED)
        assert [await client.line() for _ in range(30)] == [b"+OK\r\n"] * 30


def test_reading_pauses_after_an_error(monkeypatch):
    # A client must not repeat an invalid request in a busy loop.
    monkeypatch.setattr(resp2_front, "ERROR_PAUSE_S", 30.0)

    @with_server()
    async def _(server, acceptor):
        client, good = await connect(server), await connect(server)
        assert (await client.ask(b"GIVE")).startswith(b"-ERR ")
        client.send(b"PING")
        assert await good.ask(b"PING") == b"+PONG\r\n"
        (served,) = (client for client in server.clients if client.resting)
        assert not served.transport.is_reading() and served.has_unread_input()
        served.serve()
        assert await client.line() == b"+PONG\r\n"


def pack(words):
    return b"".join([b"*%d\r\n" % len(words), *(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)])


@given(st.lists(st.lists(st.binary(max_size=9), min_size=1, max_size=5), max_size=4), st.data())
@settings(derandomize=True, deadline=None)
def test_framing_passes_what_makes_sense_however_it_is_cut(requests, data):
    framing, at = resp2_front.Framing(), 0
    text = b"".join(map(pack, requests))
    while at < len(text):
        step = data.draw(st.integers(1, len(text)))
        piece = text[at : at + step]
        assert framing.accept_bytes(piece) == len(piece) and not framing.error
        at += step
    assert framing.size == 0
    assert framing.accept_bytes(b"*1\r\n$4\r\nPI") == 10 and framing.size == 10


def test_connections_in_the_queue_of_a_listener_that_closes_are_served():
    # Their connections are established and requests sent: closing the listener would reset them.
    @with_server(most=64)
    async def _(server, acceptor):
        server.pause_listening()
        waiting = [await connect(server) for _ in range(40)]
        for client in waiting:
            client.send(b"PING")
        await server.accept_backlog()
        server.stop_listening()
        for client in waiting:
            assert await client.line() == b"+PONG\r\n"


@pytest.mark.parametrize("rest", [b"", b"*1\r\n$4\r\nPI"], ids=["one whole", "one whole, one in part"])
def test_a_request_that_has_arrived_is_answered_at_shutdown_with_no_step_of_the_loop_between(rest):
    # Guards against counting on the step in which an event loop polls, and that in which it reads.
    @with_server()
    async def _(server, acceptor):
        loop = asyncio.get_running_loop()
        with socket.create_connection(server.address) as sock:
            sock.setblocking(False)
            await loop.sock_sendall(sock, b"*1\r\n$4\r\nPING\r\n")
            assert await loop.sock_recv(sock, 100) == b"+PONG\r\n"
            sock.send(pack(ADD) + rest)
            server.close_all()
            assert acceptor.withdrawn.qsize() == 1
            answers = b""
            while data := await loop.sock_recv(sock, 100):
                answers += data
            assert answers == b"-BUSY\r\n" * (2 if rest else 1)


def test_answers_are_sent_with_tcp_nodelay():
    # Without TCP_NODELAY, an answer that waits for an acknowledgement is lost if the connection is reset.
    @with_server()
    async def _(server, acceptor):
        client = await connect(server)
        assert await client.ask(b"PING") == b"+PONG\r\n"
        (connection,) = server.clients
        sock = connection.transport.get_extra_info("socket")
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


def test_sent_answers_survive_a_close_with_unread_input():
    # If a reset discarded an answer, the client would submit the message again. Requests that were not read
    # it sends on another connection.
    @with_server()
    async def _(server, acceptor):
        loop = asyncio.get_running_loop()
        with socket.create_connection(server.address) as sock:
            sock.setblocking(False)
            for _ in range(20):  # leaves quick-ack mode, so that acknowledgements are delayed
                await loop.sock_sendall(sock, b"*1\r\n$4\r\nPING\r\n")
                assert await loop.sock_recv(sock, 100) == b"+PONG\r\n"
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 0)
            await loop.sock_sendall(sock, 2 * pack(ADD))
            answers = [(await acceptor.offers.get())[1] for _ in range(2)]
            (connection,) = server.clients
            connection.draining = True
            sock.send(pack(ADD))  # at the same moment, and not read
            for answer in answers:
                answer(ACCEPTED)
            while server.clients:
                await asyncio.sleep(0)
            assert acceptor.offers.empty()
            sock.settimeout(5.0)
            assert sock.recv(100) == b"+OK\r\n+OK\r\n"
            with pytest.raises(ConnectionResetError):  # otherwise this run proves nothing
                sock.recv(100)
