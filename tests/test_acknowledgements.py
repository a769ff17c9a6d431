"""Partners that answer 202 and tell the end later: each acknowledgement has one answer and one effect."""

import asyncio
import json
from dataclasses import replace

import pytest
from doubles import run
from test_fronts_cloudevents import RULES, Browser
from test_node import Bench

from rushhitch.acceptor import Acknowledgement, Submission, Verdict
from rushhitch.cloudevents.events import BadEvent, Event
from rushhitch.cloudevents.mapping import AckRules, Rules, acknowledgement, identity
from rushhitch.core.acknowledgements import ACKNOWLEDGED, DIFFERS, LATE, UNKNOWN, Effect, EndHistory, effect
from rushhitch.core.node import Node
from rushhitch.core.resumption import resume
from rushhitch.fronts.cloudevents import front
from rushhitch.fronts.listener import ConnectionManager
from rushhitch.fronts.resp2 import Resp2Connection
from rushhitch.journal import Journal
from rushhitch.journal.inspect import table
from rushhitch.partners.cloudevents import CloudEvents

TYPES = {"org.bank.done": Verdict.DELIVERED, "org.bank.broke": Verdict.RAN, "org.bank.never": Verdict.NOT_RUN}
DONE, BROKE, NEVER = TYPES
ACKS = AckRules({"/bank": 7, "/other": 8}, TYPES, "/rushhitch")
WITH_ACKS = Rules(RULES.classes, RULES.max_deadline_ms, acks=ACKS)
EVENT = {"specversion": "1.0", "id": "a1", "source": "/bank", "type": DONE, "causationid": "m1"}


def told(verdict, mark=b"1", message=b"m1"):
    return Acknowledgement(7, message, verdict, mark)


# What is decided


@pytest.mark.parametrize(
    ("verdict", "attempts", "out", "handed", "found"),
    [
        (Verdict.DELIVERED, 0, 0, False, Effect.UNKNOWN),
        (Verdict.NOT_RUN, 0, 0, False, Effect.UNKNOWN),
        (Verdict.DELIVERED, 1, 0, True, Effect.DELIVER),
        (Verdict.DELIVERED, 1, 1, False, Effect.DELIVER),  # before the 202
        (Verdict.DELIVERED, 1, 0, False, Effect.DELIVER),  # its connection broke
        (Verdict.RAN, 1, 0, True, Effect.RETRY),
        (Verdict.NOT_RUN, 1, 0, True, Effect.RETRY),
        (Verdict.RAN, 1, 1, False, Effect.AWAIT),
        (Verdict.NOT_RUN, 1, 1, False, Effect.AWAIT),
        (Verdict.NOT_RUN, 2, 2, False, Effect.LATER),
        (Verdict.NOT_RUN, 1, 0, False, Effect.NOTHING),
    ],
)
def test_each_acknowledgement_has_its_effect(verdict, attempts, out, handed, found):
    assert effect(told(verdict), [], attempts, out, handed) is found
    assert effect(told(verdict), [b"0", b"1"], attempts, out, handed) is Effect.NOTHING


def test_while_its_call_is_out_only_the_first_verdict_counts_but_a_delivery_does():
    for verdict, found in ((Verdict.NOT_RUN, Effect.NOTHING), (Verdict.DELIVERED, Effect.DELIVER)):
        assert effect(told(verdict), [], 1, 1, handed=False, heard=True) is found


def test_two_words_that_nothing_ran_before_the_202_make_one_more_attempt(tmp_path):
    @with_bank(tmp_path)
    async def _(bank):
        bank.post()
        request = await bank.partner.next()
        for name in ("a1", "a2"):
            assert await bank.acknowledge(NEVER, id=name) == (200, "acknowledged")
        request.answer(202)
        (await bank.partner.next()).answer(200)
        await bank.node.idle.wait()
        assert bank.quiet()


def test_for_what_is_over_it_hears_whether_it_says_the_same_until_that_is_forgotten():
    past = EndHistory(2)
    past.add(b"m1", "delivered", 100.0)
    assert past.answer(told(Verdict.DELIVERED), 99.0) is ACKNOWLEDGED
    assert past.answer(told(Verdict.RAN), 99.0) is DIFFERS
    assert past.answer(told(Verdict.DELIVERED), 100.0) is UNKNOWN and not past.ends
    past.add(b"m1", "failed", 200.0)
    assert past.answer(told(Verdict.RAN), 150.0) is ACKNOWLEDGED
    assert past.answer(told(Verdict.DELIVERED), 150.0) is LATE
    for name in (b"m2", b"m3"):
        past.add(name, "refused", 200.0)
    assert list(past.ends) == [b"m2", b"m3"], "within a bound"
    assert past.answer(told(Verdict.NOT_RUN, message=b"m2"), 150.0) is ACKNOWLEDGED


def event(**changes):
    return Event({name: value for name, value in (EVENT | changes).items() if value is not None}, None)


def test_an_event_names_what_it_acknowledges():
    found = acknowledgement(event(), ACKS)
    assert (found.destination, found.message, found.verdict) == (7, b"m1", Verdict.DELIVERED)
    assert acknowledgement(event(id="a2"), ACKS).mark != found.mark
    other = acknowledgement(event(causationsource="/books", type=NEVER), ACKS)
    assert other.message == identity("/books", "m1") and other.verdict is Verdict.NOT_RUN
    assert acknowledgement(event(type="com.example.pay"), ACKS) is None
    assert acknowledgement(event(), None) is None


@pytest.mark.parametrize(
    ("changes", "attribute", "status"),
    [({"source": "/x"}, "source", 403), ({"causationid": None}, "causationid", 400)],
)
def test_one_that_cannot_be_placed_names_the_attribute(changes, attribute, status):
    with pytest.raises(BadEvent) as caught:
        acknowledgement(event(**changes), ACKS)
    assert (caught.value.attribute, caught.value.status) == (attribute, status)


# On the real core


class Bank(Bench):
    """A core with a partner that acknowledges, and both fronts before it."""

    async def start(self, folder, slots=None):
        await super().start(folder, slots)
        await self.open(self.node)
        return self

    async def open(self, node):
        self.node = node
        node.registry.codecs = {7: CloudEvents("binary", "/rushhitch", {}, acknowledged=True)}
        node.registry.apply_update({"version": 42, "full": False, "servers": [self.row]})
        self.clients = ConnectionManager(node, 16)
        self.http = self.clients.listen(("127.0.0.1", 0), "cloudevents", front(WITH_ACKS))
        self.resp2 = self.clients.listen(("127.0.0.1", 0), "resp2", Resp2Connection)

    async def restart(self, folder):
        """The process was killed; the next one takes up its journal."""
        self.clients.stop_listening()
        old = self.node
        for message in list(old.messages.values()):
            message.watchdog.cancel()
        self.journal.close()
        self.journal = Journal(folder / "state", 3e6)
        node = Node(old.settings, type(old.dispatcher)(old.settings, 1), self.journal, old.notify)
        await self.open(node)
        resume(node)

    def post(self, cls="pay", name=b"m1", left_ms=6000.0, key=0):
        self.offer(Submission(name, cls, 7, left_ms, b"hello", key))

    async def acknowledge(self, kind=DONE, **changes):
        """The status and state that an acknowledgement is answered with."""
        browser = Browser(*await asyncio.open_connection(*self.http))
        headers = {f"ce-{name}": value for name, value in (EVENT | {"type": kind} | changes).items() if value}
        browser.send(headers)
        status, _, body = await browser.answer()
        browser.writer.close()
        return status, body.get("state")

    async def handed(self, cls="pay", **more):
        """A message that the partner has answered with 202."""
        self.post(cls, **more)
        request = await self.partner.next()
        request.answer(202)
        while not any(message.handed for message in self.node.messages.values()):
            await asyncio.sleep(0.005)
        return request

    def quiet(self):
        return self.partner.requests.empty() and self.ends.empty()


def with_bank(folder):
    def decorate(test):
        async def work():
            bank = await Bank().start(folder)
            try:
                await test(bank)
            finally:
                bank.clients.stop_listening()
                bank.journal.close()

        run(work())

    return decorate


def test_a_positive_one_delivers_and_the_same_again_changes_nothing(tmp_path):
    @with_bank(tmp_path)
    async def _(bank):
        await bank.handed()
        assert bank.node.by_id, "202 is not the end"
        assert "answered, to be acknowledged by e1" in table(bank.journal, 0.0)
        assert await bank.acknowledge() == (200, "acknowledged")
        assert not bank.node.by_id and not bank.journal.live
        assert await bank.acknowledge() == (200, "acknowledged")
        assert await bank.acknowledge(BROKE, id="a2") == (409, "differs")
        assert bank.quiet()


def test_a_status_other_than_202_delivers_at_once(tmp_path):
    @with_bank(tmp_path)
    async def _(bank):
        bank.post()
        (await bank.partner.next()).answer(200)
        await bank.node.idle.wait()
        assert bank.quiet()


def test_a_slot_is_free_while_the_acknowledgement_is_awaited(tmp_path):
    async def work():
        bank = await Bank().start(tmp_path, slots=1)
        await bank.handed()
        bank.post(name=b"m2")
        (await bank.partner.next()).answer(200)
        bank.clients.stop_listening()
        bank.journal.close()

    run(work())


@pytest.mark.parametrize(
    ("kind", "cls", "sends"), [(NEVER, "pay", 2), (NEVER, "note", 2), (BROKE, "note", 2)]
)
def test_by_a_negative_one_it_goes_again_where_that_can_do_no_harm(tmp_path, kind, cls, sends):
    @with_bank(tmp_path)
    async def _(bank):
        first = await bank.handed(cls)
        assert await bank.acknowledge(kind) == (200, "acknowledged")
        second = await bank.partner.next()
        assert second.headers["ce-id"] == first.headers["ce-id"], "it is the same event"
        second.answer(202)
        while not bank.node.messages[1].handed:
            await asyncio.sleep(0.005)
        # The same acknowledgement again is of the first attempt: it must not make a third.
        assert await bank.acknowledge(kind) == (200, "acknowledged")
        assert bank.node.messages[1].handed
        assert await bank.acknowledge(DONE, id="a2") == (200, "acknowledged")
        assert bank.node.idle.is_set() and bank.quiet()


def test_a_negative_one_of_what_must_not_run_twice_and_may_have_run_is_its_end(tmp_path):
    @with_bank(tmp_path)
    async def _(bank):
        await bank.handed()
        assert await bank.acknowledge(BROKE) == (200, "acknowledged")
        assert (await bank.ends.get())[2] == "dead" and bank.quiet()
        assert await bank.acknowledge(BROKE) == (200, "acknowledged")
        assert await bank.acknowledge(DONE, id="a2") == (410, "late")


@pytest.mark.parametrize(("kind", "end", "sends"), [(DONE, None, 1), (BROKE, "dead", 1), (NEVER, None, 2)])
def test_one_that_comes_before_the_202_counts(tmp_path, kind, end, sends):
    @with_bank(tmp_path)
    async def _(bank):
        bank.post()
        request = await bank.partner.next()
        assert await bank.acknowledge(kind) == (200, "acknowledged")
        request.answer(202)
        if sends == 2:
            (await bank.partner.next()).answer(200)
        await bank.node.idle.wait()
        assert (None if bank.ends.empty() else bank.ends.get_nowait()[2]) == end
        assert bank.partner.requests.empty() and not bank.journal.live.keys() - {1}


def test_one_that_comes_after_its_connection_broke_still_delivers_what_may_go_again(tmp_path):
    @with_bank(tmp_path)
    async def _(bank):
        bank.post("note")
        (await bank.partner.next()).reset()
        await bank.partner.next()  # its second attempt is out
        assert await bank.acknowledge() == (200, "acknowledged")
        assert bank.node.idle.is_set() and bank.quiet()


def test_without_one_it_fails_before_its_time_is_up_and_one_that_comes_then_is_late(tmp_path):
    @with_bank(tmp_path)
    async def _(bank):
        loop = asyncio.get_running_loop()
        due = loop.time() + 0.6
        await bank.handed(left_ms=600.0)
        assert (await bank.ends.get())[2] == "dead" and loop.time() < due
        assert await bank.acknowledge() == (410, "late")
        assert bank.partner.requests.empty()


def test_one_for_a_message_that_nobody_knows_or_another_partner_has_is_told_so(tmp_path):
    @with_bank(tmp_path)
    async def _(bank):
        await bank.handed()
        assert await bank.acknowledge(causationid="m9") == (404, "unknown")
        assert await bank.acknowledge(source="/other") == (404, "unknown")
        assert await bank.acknowledge(source="/stranger") == (403, None)
        assert bank.node.messages[1].handed


def test_one_for_a_message_that_was_never_sent_is_told_so(tmp_path):
    @with_bank(tmp_path)
    async def _(bank):
        bank.node.registry.apply_update(
            {"version": 43, "full": False, "servers": [bank.row | {"state": "DRAINING"}]}
        )
        bank.post()
        await bank.answers.get()
        assert await bank.acknowledge() == (404, "unknown")
        assert bank.node.by_id


def test_an_event_is_acknowledged_by_its_own_identity_alone_or_in_a_batch(tmp_path):
    @with_bank(tmp_path)
    async def _(bank):
        browser = Browser(*await asyncio.open_connection(*bank.http))
        browser.binary(type="com.example.pay")
        assert (await browser.answer())[0] == 202
        (await bank.partner.next()).answer(202)
        while not any(message.handed for message in bank.node.messages.values()):
            await asyncio.sleep(0.005)
        good = EVENT | {"causationid": "1", "causationsource": "/books"}
        browser.batch([good | {"causationid": "7", "id": "a2"}, good])
        status, _, rows = await browser.answer()
        assert status == 207 and [row["status"] for row in rows] == [404, 200]
        browser.binary(type="com.example.pay")
        assert (await browser.answer())[2]["state"] == "delivered"


def test_outstanding_ones_outlast_the_process_and_so_does_what_was_heard(tmp_path):
    @with_bank(tmp_path)
    async def _(bank):
        await bank.handed()
        await bank.restart(tmp_path)
        assert bank.node.messages[1].handed and bank.quiet()
        assert await bank.acknowledge(NEVER) == (200, "acknowledged")
        (await bank.partner.next()).answer(202)
        while not bank.node.messages[1].handed:
            await asyncio.sleep(0.005)
        for compact in (False, True):
            if compact:
                bank.journal.compact()
            await bank.restart(tmp_path)
            assert await bank.acknowledge(NEVER) == (200, "acknowledged")
            assert bank.node.messages[1].handed, "that was of the first attempt"
        assert await bank.acknowledge(DONE, id="a2") == (200, "acknowledged")
        assert not bank.journal.live and bank.quiet()


def test_after_a_restart_what_was_not_acknowledged_fails_in_time(tmp_path):
    @with_bank(tmp_path)
    async def _(bank):
        await bank.handed(left_ms=900.0)
        await bank.restart(tmp_path)
        assert (await bank.ends.get())[2] == "dead" and bank.partner.requests.empty()


def test_it_is_answered_only_once_the_journal_tells_of_it(tmp_path, monkeypatch):
    @with_bank(tmp_path)
    async def _(bank):
        await bank.handed()

        def full(self, segment, data):
            raise OSError(28, "no space left")

        with monkeypatch.context() as patch:
            patch.setattr(Journal, "append", full)
            assert await bank.acknowledge() == (503, "refused")
        while bank.journal.has_unwritten_records:
            await asyncio.sleep(0.01)
        assert await bank.acknowledge() == (200, "acknowledged")
        assert bank.quiet()


def ordered(bank):
    """Payments of one key go one after another from here on."""
    classes = tuple(replace(cls, in_order=cls.name == "pay") for cls in bank.node.settings.classes)
    settings = replace(bank.node.settings, classes=classes)
    bank.node.settings, bank.node.dispatcher = settings, type(bank.node.dispatcher)(settings, 1)
    bank.node.registry.apply_update({"version": 42, "full": True, "servers": [bank.row]})


@pytest.mark.parametrize(("kind", "then"), [(DONE, "m2"), (NEVER, "m1"), (BROKE, "m2")])
def test_what_keeps_an_order_waits_for_the_acknowledgement_of_the_one_before(tmp_path, kind, then):
    @with_bank(tmp_path)
    async def _(bank):
        ordered(bank)
        await bank.handed(key=5)
        bank.post(name=b"m2", key=5)
        bank.post(name=b"m3", key=6)
        request = await bank.partner.next()
        assert request.headers["ce-id"] == "m3", "another key does not wait"
        request.answer(200)
        await asyncio.sleep(0.2)
        assert bank.partner.requests.empty()
        assert await bank.acknowledge(kind) == (200, "acknowledged")
        request = await bank.partner.next()
        assert request.headers["ce-id"] == then
        request.answer(200)
        if then == "m1":
            request = await bank.partner.next()
            assert request.headers["ce-id"] == "m2"
            request.answer(200)
        await bank.node.idle.wait()
        assert bank.ends.empty() is (kind is not BROKE)


def test_what_keeps_an_order_fails_without_an_acknowledgement_and_the_next_goes(tmp_path):
    @with_bank(tmp_path)
    async def _(bank):
        ordered(bank)
        await bank.handed(key=5, left_ms=700.0)
        bank.post(name=b"m2", key=5)
        assert (await bank.ends.get())[1:3] == (b"m1", "dead")
        request = await bank.partner.next()
        assert request.headers["ce-id"] == "m2"
        request.answer(200)
        await bank.node.idle.wait()


def test_json_of_the_answer_names_the_acknowledgement(tmp_path):
    @with_bank(tmp_path)
    async def _(bank):
        await bank.handed()
        browser = Browser(*await asyncio.open_connection(*bank.http))
        browser.structured(**EVENT)
        status, headers, body = await browser.answer()
        assert status == 200 and body == {"source": "/bank", "id": "a1", "state": "acknowledged"}
        assert headers["content-type"] == "application/json" and json.dumps(body)
