"""Sinks: a client hears how its event ended by an event of ours, also over restarts and from a full house."""

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


def test_what_tells_an_end_is_the_same_for_the_same_end():
    one, again = (SINKS.end_notice(ATTRIBUTES, "failed", f"2026-12-01T10:00:0{n}Z") for n in (1, 2))
    assert one.id == again.id and one.destination == 9 and one.cls == "note"
    told = json.loads(one.attributes)
    assert told["type"] == "org.rushhitch.message.failed" and told["subject"] == "1"
    assert (told["causationid"], told["causationsource"], told["source"]) == ("1", "/books", "/rushhitch")
    assert json.loads(one.body) == {"source": "/books", "id": "1", "type": EVENT["type"], "state": "failed"}


def test_only_a_sink_that_is_set_can_be_named():
    assert SINKS.named(ATTRIBUTES) and not SINKS.named(json.dumps(EVENT).encode()) and not SINKS.named(b"")
    SINKS.check(Event(EVENT, None))
    with pytest.raises(BadEvent, match="endsink: unknown sink 'http://a/': use books"):
        SINKS.check(Event(EVENT | {"endsink": "http://a/"}, None))
    assert not SINKS.named(json.dumps(EVENT | {"endsink": "x", "data": "endsink"}).encode())


class Desk(Bench):
    """A core with a partner (7), a sink (9), and the front."""

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

    async def told(self):
        """What the sink hears next, which it takes."""
        request = await self.sink.next()
        request.answer(200)
        return json.loads(request.body)


def with_desk(folder):
    def decorate(test):
        async def work():
            desk = await Desk().start(folder)
            try:
                await test(desk)
            finally:
                desk.clients.stop_listening()
                desk.journal.close()

        run(work())

    return decorate


@pytest.mark.parametrize(("status", "end"), [(200, "delivered"), (500, "failed")])
def test_the_sink_hears_the_end_by_the_same_core(tmp_path, status, end):
    @with_desk(tmp_path)
    async def _(desk):
        assert (await desk.post())[0] == 202
        (await desk.partner.next()).answer(status)
        told = await desk.told()
        assert told["type"] == f"org.rushhitch.message.{end}" and told["data"]["state"] == end
        assert (told["causationsource"], told["causationid"]) == ("/books", "1")
        await desk.node.idle.wait()
        assert desk.sink.requests.empty() and desk.ends.empty() is (end == "delivered")


def test_a_refusal_after_it_was_taken_on_is_told_too_and_one_before_is_the_answer(tmp_path):
    @with_desk(tmp_path)
    async def _(desk):
        desk.node.registry.apply_update(
            {"version": 43, "full": False, "servers": [desk.row | {"state": "DRAINING"}]}
        )
        soon = "2099-01-01T00:00:00Z"
        assert (await desk.post(expirytime=soon))[0] == 202
        message = desk.node.messages[1]
        desk.node.finish(message, "bounced", 0.0)
        desk.node.commit()
        assert (await desk.told())["data"]["state"] == "refused"
        object.__setattr__(desk.node.settings, "max_held", 0)
        assert (await desk.post(id="2"))[0] == 503
        await desk.node.idle.wait()
        assert desk.sink.requests.empty()


def test_an_unknown_sink_is_told_with_its_attribute(tmp_path):
    @with_desk(tmp_path)
    async def _(desk):
        browser = Browser(*await asyncio.open_connection(*desk.http))
        browser.binary(endsink="nobody")
        status, _, problem = await browser.answer()
        assert status == 400 and problem["attribute"] == "endsink" and not desk.node.by_id


def test_an_end_that_is_owed_outlasts_the_process_and_is_told_once(tmp_path):
    @with_desk(tmp_path)
    async def _(desk):
        await desk.post()
        (await desk.partner.next()).answer(200)
        first = await desk.sink.next()  # it does not answer before the process is killed
        await desk.restart(tmp_path)
        again = await desk.sink.next()
        again.answer(200)
        assert json.loads(first.body)["id"] == json.loads(again.body)["id"]
        await desk.node.idle.wait()
        await desk.restart(tmp_path)
        assert desk.node.idle.is_set() and desk.sink.requests.empty()


def test_a_crash_between_the_two_records_tells_the_end_once(tmp_path):
    # The journal has the message for the sink, and not yet the end that it tells.
    @with_desk(tmp_path)
    async def _(desk):
        await desk.post()
        await desk.partner.next()
        message = desk.node.messages[1]
        desk.node.notify_sink(message, FAILED)
        desk.journal.flush()
        desk.journal.pending.clear()
        await desk.restart(tmp_path)
        assert (await desk.ends.get())[2] == "dead", "it was out at the crash, and must not run twice"
        assert [kept.destination for kept in desk.journal.live.values()].count(9) == 1
        assert (await desk.told())["data"]["state"] == "failed"
        await desk.node.idle.wait()
        assert desk.sink.requests.empty()


def test_an_event_that_waits_for_its_acknowledgement_is_told_with_it(tmp_path):
    @with_desk(tmp_path)
    async def _(desk):
        desk.node.registry.codecs[7] = CloudEvents("binary", "/rushhitch", {}, acknowledged=True)
        desk.node.registry.apply_update({"version": 43, "full": False, "servers": [desk.row]})
        await desk.post()
        (await desk.partner.next()).answer(202)
        while not desk.node.messages[1].handed:
            await asyncio.sleep(0.005)
        assert desk.sink.requests.empty()
        desk.node.close(desk.node.messages[1], Effect.DELIVER)
        desk.node.commit()
        assert (await desk.told())["data"]["state"] == "delivered"


def test_room_for_the_end_is_kept_when_the_event_is_taken_on(tmp_path, monkeypatch):
    @with_desk(tmp_path)
    async def _(desk):
        asked = []
        monkeypatch.setattr(Journal, "has_room", lambda self, size: asked.append(size) or True)
        await desk.post()
        (await desk.partner.next()).answer(200)
        await desk.told()
        await desk.node.idle.wait()
        browser = Browser(*await asyncio.open_connection(*desk.http))
        browser.binary(id="2")
        await browser.answer()
        assert asked[0] > asked[1] + SINKS.room
