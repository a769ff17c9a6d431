"""The CloudEvents front over loopback, on the real core: accepted, refused, awaited and rejected events."""

import asyncio
import json

import pytest
from doubles import Client as Resp2Client
from doubles import run
from test_node import Bench

from rushhitch.acceptor import DELIVERED, FAILED
from rushhitch.cloudevents.http import BATCH, MAX_BATCH_BYTES, STRUCTURED
from rushhitch.cloudevents.mapping import Rules
from rushhitch.core.node import Node
from rushhitch.core.remembered_ends import End, RememberedEnds
from rushhitch.core.resumption import resume
from rushhitch.fronts import admission, cloudevents
from rushhitch.fronts.cloudevents import front, preferred_wait
from rushhitch.fronts.listener import ConnectionManager
from rushhitch.fronts.resp2 import Resp2Connection
from rushhitch.journal import Journal
from rushhitch.journal.inspect import table

pytestmark = pytest.mark.usefixtures("each_loop")

front_of = front
RULES = Rules({"com.example.note": "note", "com.example.pay": "pay"}, {"note": 6000.0, "pay": 24000.0})
EVENT = {"specversion": "1.0", "id": "1", "source": "/books", "type": "com.example.note", "subject": "7"}


class Front:
    """A core with both fronts, and one partner that the test plays."""

    async def start(self, folder, most=16, max_incomplete_bytes=4_000_000):
        self.core = await Bench().start(folder)
        self.partner, self.node = self.core.partner, self.core.node
        self.clients = ConnectionManager(self.node, most, max_incomplete_bytes)
        self.http = self.clients.listen(("127.0.0.1", 0), "cloudevents", front(RULES))
        self.resp2 = self.clients.listen(("127.0.0.1", 0), "resp2", Resp2Connection)
        return self

    async def connect(self):
        return Browser(*await asyncio.open_connection(*self.http))


class Browser:
    """A minimal HTTP client."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    def send(self, headers, body=b"", length=None):
        lines = [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body) if length is None else length}")
        head = "\r\n".join(["POST / HTTP/1.1", "Host: x", *lines, "", ""])
        self.writer.write(head.encode("latin-1") + body)

    def binary(self, body=b"hello", more=None, **changes):
        headers = {f"ce-{name}": value for name, value in (EVENT | changes).items() if value is not None}
        self.send(headers | (more or {}), body)

    def structured(self, more=None, **changes):
        self.send({"Content-Type": STRUCTURED} | (more or {}), json.dumps(EVENT | changes).encode())

    def batch(self, events, more=None):
        self.send({"Content-Type": BATCH} | (more or {}), json.dumps(events).encode())

    async def head(self):
        lines = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
        return int(lines[0].split()[1]), headers

    async def answer(self):
        status, headers = await self.head()
        return status, headers, json.loads(await self.reader.readexactly(int(headers["content-length"])))

    async def closed(self):
        return await self.reader.read() == b""


def with_front(folder, **options):
    def decorate(test):
        async def work():
            front = await Front().start(folder, **options)
            try:
                await test(front)
            finally:
                front.clients.stop_listening()
                front.core.journal.close()

        run(work())

    return decorate


def test_an_event_is_accepted_and_its_data_is_sent_to_the_partner(tmp_path):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        client.binary(b"hello")
        status, _, answer_body = await client.answer()
        assert status == 202 and answer_body == {"source": "/books", "id": "1", "state": "taken"}
        request = await front.partner.next()
        assert request.body == b"hello"
        client.structured(id="2", data={"a": 1})  # on the same connection
        assert (await client.answer())[0] == 202
        request.answer(200)
        assert (await front.partner.next()).body == b'{"a": 1}'


def test_it_is_answered_only_once_the_journal_tells_of_it(tmp_path):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        client.binary()
        assert (await client.answer())[0] == 202
        (kept,) = front.core.journal.live.values()
        assert kept.body == b"hello" and kept.cls == "note"


def test_the_same_event_again_is_the_same_message_even_after_its_end(tmp_path):
    @with_front(tmp_path)
    async def _(front):
        client, other = await front.connect(), await front.connect()
        client.binary(type="com.example.pay")
        assert (await client.answer())[0] == 202
        other.structured(type="com.example.pay", data="hello")
        assert (await other.answer())[0] == 202
        assert len(front.node.by_id) == 1
        (await front.partner.next()).answer(200)
        await front.node.idle.wait()
        client.binary(type="com.example.pay")
        status, _, answer_body = await client.answer()
        assert status == 200 and answer_body["state"] == "delivered"
        assert not front.node.by_id and front.partner.requests.empty()


def test_an_event_that_is_being_accepted_may_be_posted_again_soon(tmp_path):
    @with_front(tmp_path)
    async def _(front):
        one, two = await front.connect(), await front.connect()
        one.binary()
        two.binary()
        answers = [await one.answer(), await two.answer()]
        assert sorted(status for status, _, _ in answers) in ([202, 202], [202, 503])
        for status, headers, _ in answers:
            assert (status == 503) == ("retry-after" in headers)
        assert len(front.node.by_id) == 1


@pytest.mark.parametrize(
    ("cls", "answer", "status", "state"),
    [("note", 200, 200, "delivered"), ("pay", 200, 200, "delivered"), ("pay", 500, 502, "failed")],
)
def test_a_waiting_client_gets_the_outcome(tmp_path, cls, answer, status, state):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        client.binary(more={"Prefer": "wait=30"}, type=f"com.example.{cls}")
        (await front.partner.next()).answer(answer)
        answer_status, headers, answer_body = await client.answer()
        assert (answer_status, answer_body["state"]) == (status, state)
        assert headers["preference-applied"] == "wait=30"


def test_an_expired_wait_is_answered_with_the_current_state(tmp_path):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        client.binary(more={"Prefer": "respond-async, wait=1"})
        status, _, answer_body = await client.answer()
        assert status == 202 and answer_body["state"] == "taken"
        (await front.partner.next()).answer(200)
        await front.node.idle.wait()


def test_a_full_dispatcher_refuses_with_retry_after_and_the_event_may_be_repeated(tmp_path):
    @with_front(tmp_path)
    async def _(front):
        most = front.node.settings.max_held
        front.node.by_id.update({b"%d" % n: None for n in range(most)})
        client = await front.connect()
        client.binary()
        status, headers, answer_body = await client.answer()
        assert status == 503 and headers["retry-after"] == "1" and answer_body["state"] == "refused"
        assert headers["content-type"] == "application/problem+json"
        front.node.by_id.clear()
        client.binary()
        assert (await client.answer())[0] == 202


def test_in_a_batch_each_event_has_its_own_status_and_one_identity_is_one_event(tmp_path):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        bad = EVENT | {"id": "2", "specversion": "9"}
        client.batch([EVENT, bad, EVENT | {"data": "again"}, EVENT | {"id": "3", "type": "com.example.x"}])
        status, _, answer_body = await client.answer()
        assert status == 207 and [row["status"] for row in answer_body] == [202, 400, 202, 400]
        assert answer_body[1]["attribute"] == "specversion" and answer_body[3]["attribute"] == "type"
        assert len(front.node.by_id) == 1
        client.batch([])
        assert (await client.answer())[2] == []


def test_a_waiting_batch_gets_each_outcome(tmp_path):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        client.batch([EVENT, EVENT, EVENT | {"id": "2", "type": "com.example.pay"}], {"Prefer": "wait=30"})
        for _ in range(2):
            request = await front.partner.next()
            paid = int(request.headers["x-time-left-ms"]) > 6000  # payments have more time
            request.answer(500 if paid else 200)
        status, _, answer_body = await client.answer()
        assert status == 207 and [row["status"] for row in answer_body] == [200, 200, 502]
        assert answer_body[0] == answer_body[1] and answer_body[2]["state"] == "failed"


@pytest.mark.parametrize(
    ("changes", "attribute"),
    [
        ({"type": "com.example.other"}, "type"),
        ({"subject": "bank"}, "subject"),
        ({"subject": None}, "subject"),
        ({"expirytime": "2020-01-01T00:00:00Z"}, "expirytime"),
        ({"source": "a b"}, "source"),
        ({"id": None}, "id"),
    ],
)
def test_a_problem_names_the_attribute_and_the_connection_serves_on(tmp_path, changes, attribute):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        client.binary(**changes)
        status, headers, answer_body = await client.answer()
        assert status == 400 and answer_body["attribute"] == attribute and answer_body["status"] == 400
        assert headers["content-type"] == "application/problem+json"
        client.binary()
        assert (await client.answer())[0] == 202


def test_an_unknown_destination_is_reported(tmp_path):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        client.binary(subject="8")
        status, _, answer_body = await client.answer()
        assert status == 400 and answer_body["detail"] == "unknown destination 8"


def test_a_malformed_event_does_not_affect_a_valid_one(tmp_path):
    # In a pipeline on one connection, and at the same instant on two.
    @with_front(tmp_path)
    async def _(front):
        client, other = await front.connect(), await front.connect()
        client.binary(**{"id": "bad%zz"})
        client.structured(id="good", data="x")
        other.structured(id="better", data="x")
        answers = [await client.answer(), await client.answer(), await other.answer()]
        assert [status for status, _, _ in answers] == [400, 202, 202]
        assert answers[0][2]["attribute"] == "id"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"*1\r\n$4\r\nPING\r\n\r\n", 400),
        (b"\x00\xff\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", 405),
        (b"POST / HTTP/1.1\r\n\r\n", 400),  # no Host
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9999999999\r\n\r\n", 413),
        (b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n", 501),
        (b"POST / HTTP/1.1\r\nHost: x\r\n" + b"a: b\r\n" * 20_000, 431),
        (b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
    ],
)
def test_malformed_http_gets_an_error_and_its_connection_is_closed(tmp_path, data, status):
    @with_front(tmp_path)
    async def _(front):
        client, good = await front.connect(), await front.connect()
        client.writer.write(data)
        answer_status, headers, problem = await client.answer()
        assert answer_status == status and headers["connection"] == "close" and problem["detail"]
        assert await client.closed()
        good.binary()
        assert (await good.answer())[0] == 202


HEAD = "POST / HTTP/1.1\r\nHost: x\r\n" + "".join(f"ce-{name}: {value}\r\n" for name, value in EVENT.items())


@pytest.mark.parametrize(
    ("data", "statuses"),
    [
        # Content-Length with chunks: request smuggling (RFC 9112, section 6.1).
        (HEAD + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", [400]),
        (HEAD + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", [400]),
        # Content-Length too short: the event ends there, the rest is not a request.
        (HEAD + "Content-Length: 3\r\n\r\nhello\r\n\r\n", [202, 400]),
        # A folded header counts as one line, with a space (RFC 9112, section 5.2).
        (HEAD.replace("ce-id: 1", "ce-id: 1\r\n 2") + "Content-Length: 0\r\n\r\n", [202]),
        # A `ce-` header that is duplicated or malformed.
        (HEAD + "ce-id: 2\r\nContent-Length: 0\r\n\r\n", [400]),
        (HEAD + "CE-Id: 1\r\nContent-Length: 0\r\n\r\n", [400]),
        (HEAD + "ce-name: %C3%28\r\nContent-Length: 0\r\n\r\n", [400]),
        (HEAD + "ce-name: \xff\r\nContent-Length: 0\r\n\r\n", [400]),
        (HEAD + "ce name: 1\r\nContent-Length: 0\r\n\r\n", [400]),
        # Too large, rejected before the body is sent: no 100 Continue.
        (HEAD + "Expect: 100-continue\r\nContent-Length: 9999999\r\n\r\n", [413]),
    ],
)
def test_ambiguously_framed_requests_are_refused(tmp_path, data, statuses):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        client.writer.write(data.encode("latin-1"))
        for status in statuses:
            assert (await client.answer())[0] == status
        assert len(front.node.by_id) == statuses.count(202)


def test_a_content_length_that_is_too_long_times_out(tmp_path, monkeypatch):
    monkeypatch.setattr(admission, "SILENT_S", 0.3)

    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        client.writer.write((HEAD + "Content-Length: 9\r\n\r\nhello").encode())
        assert (await client.answer())[0] == 408 and not front.node.by_id


def test_data_is_read_as_its_content_type_has_it(tmp_path):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        for number, (kind, data, body) in enumerate(
            [
                ("application/json", "text", b'"text"'),
                ("text/plain", "text", b"text"),
                ("application/vnd.x+json", {"a": 1}, b'{"a": 1}'),
            ]
        ):
            client.structured(id=str(number), datacontenttype=kind, data=data)
            assert (await client.answer())[0] == 202
            request = await front.partner.next()
            assert request.body == body
            request.answer(200)
        client.structured(id="9", datacontenttype="text/plain", data={"a": 1})
        status, _, answer_body = await client.answer()
        assert status == 400 and answer_body["attribute"] == "data"


def test_a_client_that_waits_over_a_restart_gets_the_outcome_when_it_posts_again(tmp_path):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        client.binary(more={"Prefer": "wait=30"})  # repeatable
        await front.partner.next()
        client.writer.transport.abort()  # as if the process were killed
        front.clients.stop_listening()
        for message in front.node.messages.values():
            message.watchdog.cancel()
        front.core.journal.close()
        front.core.journal = Journal(tmp_path / "state", 3e6)
        old = front.node
        front.node = Node(old.settings, type(old.dispatcher)(old.settings, 1), front.core.journal, old.notify)
        front.node.registry.apply_update({"version": 42, "full": True, "servers": [front.core.row]})
        resume(front.node)
        front.clients = ConnectionManager(front.node, 16)
        front.http = front.clients.listen(("127.0.0.1", 0), "cloudevents", front_of(RULES))
        client = await front.connect()
        client.binary(more={"Prefer": "wait=30"})
        (await front.partner.next()).answer(200)
        status, headers, answer_body = await client.answer()
        assert (
            status == 200
            and answer_body["state"] == "delivered"
            and headers["preference-applied"] == "wait=30"
        )


def test_an_endless_body_is_rejected(tmp_path):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        client.writer.write(b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
        chunk = b"10000\r\n" + bytes(65_536) + b"\r\n"
        for _ in range(MAX_BATCH_BYTES // 65_536 + 1):
            client.writer.write(chunk)
        assert (await client.answer())[0] == 413
        assert front.clients.incomplete_bytes == 0


def test_a_chunked_body_and_expect_continue_are_served(tmp_path):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        head = "".join(f"ce-{name}: {value}\r\n" for name, value in EVENT.items())
        start = (
            f"POST / HTTP/1.1\r\nHost: x\r\n{head}Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n"
        )
        client.writer.write(start.encode())
        assert (await client.head())[0] == 100
        client.writer.write(b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n")
        assert (await client.answer())[0] == 202
        assert (await front.partner.next()).body == b"hello"


def test_a_half_closed_client_still_gets_all_answers(tmp_path):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        for number in range(3):
            client.binary(id=f"{number}")
        client.writer.write_eof()
        assert [(await client.answer())[0] for _ in range(3)] == [202, 202, 202]
        assert await client.closed()


def test_an_event_over_the_size_limit_is_rejected_and_one_at_the_limit_accepted(tmp_path):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        client.binary(bytes(65_537))
        status, _, answer_body = await client.answer()
        assert status == 413 and answer_body["attribute"] == "data"
        client.binary(bytes(65_536))
        assert (await client.answer())[0] == 202


def test_a_batch_of_ten_thousand_events_is_refused_whole(tmp_path):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        client.send({"Content-Type": BATCH}, b"[" + b",".join([b"{}"] * 10_000) + b"]")
        assert (await client.answer())[0] == 413
        assert not front.node.by_id


@pytest.mark.parametrize("sent", [b"", b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhal"])
def test_a_client_that_sends_nothing_or_a_partial_request_gets_an_error_and_is_closed(
    tmp_path, monkeypatch, sent
):
    monkeypatch.setattr(admission, "SILENT_S", 0.1)

    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        client.writer.write(sent)
        assert (await client.answer())[0] == 408
        assert await client.closed() and front.clients.incomplete_bytes == 0


def test_bytes_of_partial_requests_are_limited_across_both_fronts(tmp_path):
    @with_front(tmp_path, max_incomplete_bytes=50_000)
    async def _(front):
        raw = Resp2Client(*await asyncio.open_connection(*front.resp2))
        raw.writer.write(b"*5\r\n$60000\r\n" + bytes(40_000))
        while front.clients.incomplete_bytes < 40_000:
            await asyncio.sleep(0.01)
        client = await front.connect()
        client.writer.write(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n" + bytes(20_000))
        status, headers, _ = await client.answer()
        assert status == 503 and headers["retry-after"] == "1"


def test_input_pipelined_by_a_waiting_client_is_limited(tmp_path):
    # It would fill memory while the client waits.
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        client.binary(more={"Prefer": "wait=30"})
        request = await front.partner.next()
        client.writer.write(bytes(8_000_000))
        (served,) = front.clients.clients
        while served.size <= cloudevents.MAX_PIPELINED_BYTES:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        assert len(served.http.trailing_data[0]) < 1_000_000
        request.answer(200)
        assert (await client.answer())[2]["state"] == "delivered"
        assert (await client.answer())[0] == 400


def test_connections_are_limited_across_both_fronts(tmp_path):
    @with_front(tmp_path, most=2)
    async def _(front):
        first, second = await front.connect(), await front.connect()
        for number, client in enumerate((first, second)):  # both have an open request, so neither is evicted
            client.binary(more={"Prefer": "wait=30"}, id=f"{number}")
            await front.partner.next()
        raw = Resp2Client(*await asyncio.open_connection(*front.resp2))
        assert (await raw.line()).startswith(b"-ERR too many clients")
        third = await front.connect()
        assert (await third.answer())[0] == 503


def test_a_client_that_disconnects_before_its_answer_withdraws_its_event(tmp_path, monkeypatch):
    @with_front(tmp_path)
    async def _(front):
        # The node processes no event yet.
        monkeypatch.setattr(front.node, "note", lambda event: front.node.events.append(event))
        client = await front.connect()
        client.binary()
        while not front.node.by_id:
            await asyncio.sleep(0.01)
        client.writer.transport.abort()
        while front.node.by_id:
            await asyncio.sleep(0.01)


def test_a_client_that_disconnects_while_it_waits_keeps_its_event(tmp_path):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        client.binary(more={"Prefer": "wait=30"})
        request = await front.partner.next()
        client.writer.transport.abort()
        request.answer(200)
        await front.node.idle.wait()
        again = await front.connect()
        again.binary()
        assert (await again.answer())[2]["state"] == "delivered"


def test_an_event_with_an_open_call_at_a_restart_is_failed_and_never_runs_again(tmp_path):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        client.binary(type="com.example.pay")
        assert (await client.answer())[0] == 202
        await front.partner.next()  # not answered

    for life in range(2):  # in the second the platform has the notice

        @with_front(tmp_path)
        async def _(front, life=life):
            if not life:
                number, _, result, _ = await front.core.ends.get()
                assert result == "dead"
                front.node.notice_heard(number)
            client = await front.connect()
            client.binary(type="com.example.pay")
            status, _, answer_body = await client.answer()
            assert (status, answer_body["state"]) == (502, "failed")
            assert front.partner.requests.empty() and front.core.ends.empty()


def test_a_delivered_event_is_known_after_a_restart(tmp_path):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        client.binary(type="com.example.pay")
        assert (await client.answer())[0] == 202
        (await front.partner.next()).answer(200)
        await front.node.idle.wait()

    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        client.binary(type="com.example.pay")
        status, _, answer_body = await client.answer()
        assert (status, answer_body["state"]) == (200, "delivered")
        assert front.partner.requests.empty() and front.core.ends.empty()


def test_an_identity_is_forgotten_some_time_after_its_expiry_also_at_a_restart(tmp_path, monkeypatch):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        client.binary(type="com.example.pay")
        assert (await client.answer())[0] == 202
        (await front.partner.next()).answer(200)
        await front.node.idle.wait()
        assert "nothing: remembered as delivered" in table(front.core.journal, 0.0)

    init = Node.__init__

    def long_after(self, *args):
        init(self, *args, keep_s=-100.0)  # as if it had ended long ago

    monkeypatch.setattr(Node, "__init__", long_after)

    @with_front(tmp_path)
    async def _(front):
        assert not front.core.journal.live
        client = await front.connect()
        client.binary(type="com.example.pay")
        assert (await client.answer())[0] == 202
        assert (await front.partner.next()).body == b"hello"


def test_a_refused_event_may_be_repeated(tmp_path):
    @with_front(tmp_path)
    async def _(front):
        client = await front.connect()
        front.partner.server.close()
        client.binary(expirytime="2999-01-01T00:00:00Z", type="com.example.pay")
        assert (await client.answer())[0] == 202
        message = front.node.by_id[next(iter(front.node.by_id))]
        front.node.finish(message, "bounced", 300.0)
        front.node.commit()
        assert front.node.remembered_ends.ends == {}


def test_events_are_refused_and_no_identity_forgotten_if_no_more_can_be_remembered(tmp_path):
    # If an old identity were forgotten to make room, a payment posted again would run twice.
    @with_front(tmp_path)
    async def _(front):
        front.node.remembered_ends.most = 2
        client = await front.connect()
        for number in range(2):
            client.binary(id=f"{number}")
            assert (await client.answer())[0] == 202
            (await front.partner.next()).answer(200)
            await front.node.idle.wait()
        client.binary(id="2")
        status, headers, _ = await client.answer()
        assert status == 503 and headers["retry-after"] == "1"
        client.binary(id="0")
        assert (await client.answer())[2]["state"] == "delivered"
        raw = Resp2Client(*await asyncio.open_connection(*front.resp2))
        assert await raw.add(b"m1") == b"+OK\r\n"  # RESP2 messages are not remembered


def test_ends_are_remembered_for_a_while_and_within_a_bound():
    ended = RememberedEnds(most=2)
    ended.add(b"a", End(1, DELIVERED, 10.0))
    assert ended.get(b"a", 9.0) == DELIVERED and ended.get(b"a", 10.0) is None
    ended.add(b"b", End(2, FAILED, 11.0))
    assert ended.forget(9.0) == []
    assert ended.full(0) and ended.get(b"a", 3.0) == DELIVERED
    assert ended.forget(10.0) == [1] and ended.get(b"a", 3.0) is None and ended.get(b"b", 3.0) == FAILED
    assert not ended.full(0) and ended.full(1)
    assert ended.forget(11.5) == [2] and not ended.numbers


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        ("wait=5", 5.0),
        ("respond-async, wait=10", 10.0),
        ('WAIT="7"; x', 7.0),
        ("wait=99999", cloudevents.MAX_WAIT_S),
        ("await=5", 0.0),
        ("wait=-1", 0.0),
        ("", 0.0),
    ],
)
def test_the_preference_to_wait_is_read(value, seconds):
    assert preferred_wait([("prefer", value)]) == seconds
