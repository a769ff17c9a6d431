"""Partners that answer 202 and acknowledge later: each acknowledgement has one answer and one effect."""

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


def acknowledgement_of(verdict, mark=b"1", message=b"m1"):
    return Acknowledgement(7, message, verdict, mark)


# The decision


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
    assert effect(acknowledgement_of(verdict), [], attempts, out, handed) is found
    assert effect(acknowledgement_of(verdict), [b"0", b"1"], attempts, out, handed) is Effect.NOTHING


def test_during_a_call_only_the_first_verdict_counts_except_a_delivery():
    for verdict, found in ((Verdict.NOT_RUN, Effect.NOTHING), (Verdict.DELIVERED, Effect.DELIVER)):
        assert effect(acknowledgement_of(verdict), [], 1, 1, handed=False, heard=True) is found


def test_two_not_run_acknowledgements_before_the_202_cause_one_retry(tmp_path):
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


def test_acknowledgement_of_an_ended_message_is_compared_with_its_end_until_expiry():
    history = EndHistory(2)
    history.add(b"m1", "delivered", 100.0)
    assert history.answer(acknowledgement_of(Verdict.DELIVERED), 99.0) is ACKNOWLEDGED
    assert history.answer(acknowledgement_of(Verdict.RAN), 99.0) is DIFFERS
    assert history.answer(acknowledgement_of(Verdict.DELIVERED), 100.0) is UNKNOWN and not history.ends
    history.add(b"m1", "failed", 200.0)
    assert history.answer(acknowledgement_of(Verdict.RAN), 150.0) is ACKNOWLEDGED
    assert history.answer(acknowledgement_of(Verdict.DELIVERED), 150.0) is LATE
    for name in (b"m2", b"m3"):
        history.add(name, "refused", 200.0)
    assert list(history.ends) == [b"m2", b"m3"], "the number of ends is not bounded"
    assert history.answer(acknowledgement_of(Verdict.NOT_RUN, message=b"m2"), 150.0) is ACKNOWLEDGED


def event(**changes):
    return Event({name: value for name, value in (EVENT | changes).items() if value is not None}, None)


def test_event_attributes_identify_the_acknowledged_message():
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
def test_invalid_acknowledgement_is_rejected_with_the_attribute_at_fault(changes, attribute, status):
    with pytest.raises(BadEvent) as caught:
        acknowledgement(event(**changes), ACKS)
    assert (caught.value.attribute, caught.value.status) == (attribute, status)


# With the real core


class Bank(Bench):
    """A core with an acknowledging partner and both fronts."""

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
        """Simulate a crash: a new node resumes the journal."""
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
        """Send an acknowledgement; returns status and state of its answer."""
        browser = Browser(*await asyncio.open_connection(*self.http))
        headers = {f"ce-{name}": value for name, value in (EVENT | {"type": kind} | changes).items() if value}
        browser.send(headers)
        status, _, body = await browser.answer()
        browser.writer.close()
        return status, body.get("state")

    async def handed(self, cls="pay", **more):
        """Submit a message that the partner answers with 202."""
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


def test_positive_acknowledgement_delivers_and_a_duplicate_has_no_effect(tmp_path):
    @with_bank(tmp_path)
    async def _(bank):
        await bank.handed()
        assert bank.node.by_id, "202 ended the message"
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
def test_negative_acknowledgement_causes_a_retry_if_that_is_safe(tmp_path, kind, cls, sends):
    @with_bank(tmp_path)
    async def _(bank):
        first = await bank.handed(cls)
        assert await bank.acknowledge(kind) == (200, "acknowledged")
        second = await bank.partner.next()
        assert second.headers["ce-id"] == first.headers["ce-id"], "the retry is another event"
        second.answer(202)
        while not bank.node.messages[1].handed:
            await asyncio.sleep(0.005)
        # A duplicate belongs to the first attempt and must not cause a third.
        assert await bank.acknowledge(kind) == (200, "acknowledged")
        assert bank.node.messages[1].handed
        assert await bank.acknowledge(DONE, id="a2") == (200, "acknowledged")
        assert bank.node.idle.is_set() and bank.quiet()


def test_negative_acknowledgement_ends_an_unsafe_message_that_may_have_run(tmp_path):
    @with_bank(tmp_path)
    async def _(bank):
        await bank.handed()
        assert await bank.acknowledge(BROKE) == (200, "acknowledged")
        assert (await bank.ends.get())[2] == "dead" and bank.quiet()
        assert await bank.acknowledge(BROKE) == (200, "acknowledged")
        assert await bank.acknowledge(DONE, id="a2") == (410, "late")


@pytest.mark.parametrize(("kind", "end", "sends"), [(DONE, None, 1), (BROKE, "dead", 1), (NEVER, None, 2)])
def test_acknowledgement_before_the_202_counts(tmp_path, kind, end, sends):
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


def test_acknowledgement_after_a_broken_connection_still_delivers(tmp_path):
    @with_bank(tmp_path)
    async def _(bank):
        bank.post("note")
        (await bank.partner.next()).reset()
        await bank.partner.next()  # its second attempt is out
        assert await bank.acknowledge() == (200, "acknowledged")
        assert bank.node.idle.is_set() and bank.quiet()


def test_missing_acknowledgement_fails_the_message_before_its_deadline(tmp_path):
    @with_bank(tmp_path)
    async def _(bank):
        loop = asyncio.get_running_loop()
        due = loop.time() + 0.6
        await bank.handed(left_ms=600.0)
        assert (await bank.ends.get())[2] == "dead" and loop.time() < due
        assert await bank.acknowledge() == (410, "late")
        assert bank.partner.requests.empty()


def test_acknowledgement_of_an_unknown_or_foreign_message_is_rejected(tmp_path):
    @with_bank(tmp_path)
    async def _(bank):
        await bank.handed()
        assert await bank.acknowledge(causationid="m9") == (404, "unknown")
        assert await bank.acknowledge(source="/other") == (404, "unknown")
        assert await bank.acknowledge(source="/stranger") == (403, None)
        assert bank.node.messages[1].handed


def test_acknowledgement_of_an_unsent_message_is_rejected(tmp_path):
    @with_bank(tmp_path)
    async def _(bank):
        bank.node.registry.apply_update(
            {"version": 43, "full": False, "servers": [bank.row | {"state": "DRAINING"}]}
        )
        bank.post()
        await bank.answers.get()
        assert await bank.acknowledge() == (404, "unknown")
        assert bank.node.by_id


def test_event_is_acknowledged_by_its_identity_alone_or_in_a_batch(tmp_path):
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


def test_pending_and_received_acknowledgements_survive_a_restart(tmp_path):
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
            assert bank.node.messages[1].handed, "the duplicate acknowledged the second attempt"
        assert await bank.acknowledge(DONE, id="a2") == (200, "acknowledged")
        assert not bank.journal.live and bank.quiet()


def test_unacknowledged_message_fails_in_time_after_a_restart(tmp_path):
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
    """From now on payments with the same key are delivered in order."""
    classes = tuple(replace(cls, in_order=cls.name == "pay") for cls in bank.node.settings.classes)
    settings = replace(bank.node.settings, classes=classes)
    bank.node.settings, bank.node.dispatcher = settings, type(bank.node.dispatcher)(settings, 1)
    bank.node.registry.apply_update({"version": 42, "full": True, "servers": [bank.row]})


@pytest.mark.parametrize(("kind", "then"), [(DONE, "m2"), (NEVER, "m1"), (BROKE, "m2")])
def test_ordered_message_waits_for_the_acknowledgement_of_its_predecessor(tmp_path, kind, then):
    @with_bank(tmp_path)
    async def _(bank):
        ordered(bank)
        await bank.handed(key=5)
        bank.post(name=b"m2", key=5)
        bank.post(name=b"m3", key=6)
        request = await bank.partner.next()
        assert request.headers["ce-id"] == "m3", "a message with another key waited"
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


def test_unacknowledged_ordered_message_fails_and_the_next_is_sent(tmp_path):
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


def test_json_answer_identifies_the_acknowledgement(tmp_path):
    @with_bank(tmp_path)
    async def _(bank):
        await bank.handed()
        browser = Browser(*await asyncio.open_connection(*bank.http))
        browser.structured(**EVENT)
        status, headers, body = await browser.answer()
        assert status == 200 and body == {"source": "/bank", "id": "a1", "state": "acknowledged"}
        assert headers["content-type"] == "application/json" and json.dumps(body)
