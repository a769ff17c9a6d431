"""Sinks: the dispatcher reports the end of an event by one of its own, also after restarts and when full."""

import asyncio
import json

import pytest
from doubles import run
from test_fronts_cloudevents import EVENT, RULES, Browser
from test_node import Bench

from rushhitch.acceptor import FAILED
from rushhitch.cloudevents.events import BadEvent, Event
from rushhitch.cloudevents.mapping import Rules
from rushhitch.cloudevents.sinks import Sinks
from rushhitch.core.lifecycle import Effect
from rushhitch.core.node import Node
from rushhitch.core.resumption import resume
from rushhitch.fronts.cloudevents import front
from rushhitch.fronts.listener import ConnectionManager
from rushhitch.journal import Journal
from rushhitch.partners.cloudevents import CloudEvents

SINKS = Sinks({"books": 9}, "note", "/rushhitch")
WITH_SINKS = Rules(RULES.classes, RULES.max_deadline_ms, sinks=SINKS)
ATTRIBUTES = json.dumps(EVENT | {"endsink": "books"}).encode()


def test_notices_of_the_same_end_are_the_same():
    one, again = (SINKS.end_notice(ATTRIBUTES, "failed", f"2026-12-01T10:00:0{n}Z") for n in (1, 2))
    assert one.id == again.id and one.destination == 9 and one.cls == "note"
    notice = json.loads(one.attributes)
    assert notice["type"] == "org.rushhitch.message.failed" and notice["subject"] == "1"
    assert (notice["causationid"], notice["causationsource"], notice["source"]) == (
        "1",
        "/books",
        "/rushhitch",
    )
    assert json.loads(one.body) == {"source": "/books", "id": "1", "type": EVENT["type"], "state": "failed"}


def test_only_a_configured_sink_can_be_named():
    assert SINKS.named(ATTRIBUTES) and not SINKS.named(json.dumps(EVENT).encode()) and not SINKS.named(b"")
    SINKS.check(Event(EVENT, None))
    with pytest.raises(BadEvent, match="endsink: no sink is called 'http://a/': use books"):
        SINKS.check(Event(EVENT | {"endsink": "http://a/"}, None))
    assert not SINKS.named(json.dumps(EVENT | {"endsink": "x", "data": "endsink"}).encode())


class SinkBench(Bench):
    """A core with a partner (7), a sink (9) and the CloudEvents front."""

    async def start(self, folder, slots=None):
        await super().start(folder, slots)
        self.sink = await self.add("e9", 9)
        self.sink_row = self.row | {"id": "e9", "addr": "{}:{}".format(*self.sink.address), "cell": 9}
        await self.open(self.node)
        return self

    async def open(self, node):
        self.node = node
        node.sinks = SINKS
        node.registry.codecs = {9: CloudEvents("structured", "/rushhitch", {})}
        node.registry.apply_update({"version": 42, "full": False, "servers": [self.row, self.sink_row]})
        self.clients = ConnectionManager(node, 16)
        self.http = self.clients.listen(("127.0.0.1", 0), "cloudevents", front(WITH_SINKS))

    async def restart(self, folder):
        self.clients.stop_listening()
        for message in list(self.node.messages.values()):
            message.watchdog.cancel()
        self.journal.close()
        self.journal = Journal(folder / "state", 3e6)
        settings, old = self.node.settings, self.node
        await self.open(Node(settings, type(old.dispatcher)(settings, 1), self.journal, old.notify))
        resume(self.node)

    async def post(self, **changes):
        browser = Browser(*await asyncio.open_connection(*self.http))
        browser.binary(type="com.example.pay", endsink="books", **changes)
        answer = await browser.answer()
        browser.writer.close()
        return answer

    async def next_notice(self):
        """Accept the next notice at the sink and return it."""
        request = await self.sink.next()
        request.answer(200)
        return json.loads(request.body)


def with_bench(folder):
    def decorate(test):
        async def work():
            bench = await SinkBench().start(folder)
            try:
                await test(bench)
            finally:
                bench.clients.stop_listening()
                bench.journal.close()

        run(work())

    return decorate


@pytest.mark.parametrize(("status", "end"), [(200, "delivered"), (500, "failed")])
def test_the_sink_is_notified_of_the_end(tmp_path, status, end):
    @with_bench(tmp_path)
    async def _(bench):
        assert (await bench.post())[0] == 202
        (await bench.partner.next()).answer(status)
        notice = await bench.next_notice()
        assert notice["type"] == f"org.rushhitch.message.{end}" and notice["data"]["state"] == end
        assert (notice["causationsource"], notice["causationid"]) == ("/books", "1")
        await bench.node.idle.wait()
        assert bench.sink.requests.empty() and bench.ends.empty() is (end == "delivered")


def test_only_a_refusal_after_acceptance_is_reported_to_the_sink(tmp_path):
    @with_bench(tmp_path)
    async def _(bench):
        bench.node.registry.apply_update(
            {"version": 43, "full": False, "servers": [bench.row | {"state": "DRAINING"}]}
        )
        soon = "2099-01-01T00:00:00Z"
        assert (await bench.post(expirytime=soon))[0] == 202
        message = bench.node.messages[1]
        bench.node.finish(message, "bounced", 0.0)
        bench.node.commit()
        assert (await bench.next_notice())["data"]["state"] == "refused"
        object.__setattr__(bench.node.settings, "max_held", 0)
        assert (await bench.post(id="2"))[0] == 503
        await bench.node.idle.wait()
        assert bench.sink.requests.empty()


def test_an_unknown_sink_is_refused_with_its_attribute(tmp_path):
    @with_bench(tmp_path)
    async def _(bench):
        browser = Browser(*await asyncio.open_connection(*bench.http))
        browser.binary(endsink="nobody")
        status, _, problem = await browser.answer()
        assert status == 400 and problem["attribute"] == "endsink" and not bench.node.by_id


def test_an_undelivered_notice_survives_a_restart_and_is_delivered_once(tmp_path):
    @with_bench(tmp_path)
    async def _(bench):
        await bench.post()
        (await bench.partner.next()).answer(200)
        first = await bench.sink.next()  # left unanswered until the restart
        await bench.restart(tmp_path)
        again = await bench.sink.next()
        again.answer(200)
        assert json.loads(first.body)["id"] == json.loads(again.body)["id"]
        await bench.node.idle.wait()
        await bench.restart(tmp_path)
        assert bench.node.idle.is_set() and bench.sink.requests.empty()


def test_a_crash_between_the_records_of_notice_and_end_sends_one_notice(tmp_path):
    # The journal has the notice, but not yet the end that it reports.
    @with_bench(tmp_path)
    async def _(bench):
        await bench.post()
        await bench.partner.next()
        message = bench.node.messages[1]
        bench.node.notify_sink(message, FAILED)
        bench.journal.flush()
        bench.journal.pending.clear()
        await bench.restart(tmp_path)
        assert (await bench.ends.get())[2] == "dead", "it was in flight at the crash and must not run twice"
        assert [kept.destination for kept in bench.journal.live.values()].count(9) == 1
        assert (await bench.next_notice())["data"]["state"] == "failed"
        await bench.node.idle.wait()
        assert bench.sink.requests.empty()


def test_the_sink_is_notified_when_the_acknowledgement_arrives(tmp_path):
    @with_bench(tmp_path)
    async def _(bench):
        bench.node.registry.codecs[7] = CloudEvents("binary", "/rushhitch", {}, acknowledged=True)
        bench.node.registry.apply_update({"version": 43, "full": False, "servers": [bench.row]})
        await bench.post()
        (await bench.partner.next()).answer(202)
        while not bench.node.messages[1].handed:
            await asyncio.sleep(0.005)
        assert bench.sink.requests.empty()
        bench.node.close(bench.node.messages[1], Effect.DELIVER)
        bench.node.commit()
        assert (await bench.next_notice())["data"]["state"] == "delivered"


def test_room_for_the_notice_is_reserved_at_acceptance(tmp_path, monkeypatch):
    @with_bench(tmp_path)
    async def _(bench):
        asked = []
        monkeypatch.setattr(Journal, "has_room", lambda self, size: asked.append(size) or True)
        await bench.post()
        (await bench.partner.next()).answer(200)
        await bench.next_notice()
        await bench.node.idle.wait()
        browser = Browser(*await asyncio.open_connection(*bench.http))
        browser.binary(id="2")
        await browser.answer()
        assert asked[0] > asked[1] + SINKS.room
