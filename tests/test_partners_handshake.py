"""The webhook handshake: what each response means, and that nothing is sent without an agreement."""

import asyncio
import math
import random

import pytest
from doubles import run
from test_node import OFFER, Bench

from crowpier.interface import SendAllowance
from rushhitch.partners import handshake
from rushhitch.partners.agreements import BACK_OFF_MS, MAX_BACK_OFF_MS, REFUSED_MS, RENEW_MS, Agreements
from rushhitch.partners.cloudevents import CloudEvents
from rushhitch.partners.handshake import Handshake
from rushhitch.planning.counts import LaneCounts
from rushhitch.planning.guidance import Allowance

ORIGIN = "sender.example.com"
YES = [(b"webhook-allowed-origin", ORIGIN.encode())]


def rate(value):
    return (b"webhook-allowed-rate", value)


def agreements(*endpoints, **options):
    made = Agreements(ORIGIN, chance=random.Random(1), **options)
    for endpoint in endpoints:
        made.place(endpoint)
    return made


# Agreements


def test_a_new_endpoint_is_asked_at_once_and_only_once_until_it_answers():
    made = agreements("a", "b", "c")
    assert made.due(0.0, 2) == ["a", "b"] and made.due(0.0, 2) == ["c"] and made.due(1e9, 2) == []
    assert made.next_at() == math.inf and not made.agreed("a")


def test_silent_endpoints_do_not_hold_up_one_that_never_failed_to_answer():
    # Guards against endpoints that were listed late and never asked while many others are silent.
    made, now = agreements(), 0.0
    for number in range(100):
        made.place(f"silent{number}")
    asked = set()
    for _ in range(13 * 4):
        endpoints = made.due(now, 8)
        asked |= set(endpoints)
        for endpoint in endpoints:
            made.unanswered(now + 5_000.0, endpoint, "no answer")
        now += 5_000.0
    assert len(asked) == 100, "each gets its turn"
    made.place("well")
    assert "well" in made.due(now, 8)


@pytest.mark.parametrize(
    ("status", "headers", "per_s"),
    [
        (200, YES, math.inf),
        (204, [(b"webhook-allowed-origin", b"*")], math.inf),
        (200, [(b"webhook-allowed-origin", b"Sender.Example.COM")], math.inf),
        (200, [*YES, rate(b"120")], 2.0),
        (200, [*YES, rate(b"*")], math.inf),
        (200, [*YES, rate(b" 6 ")], 0.1),
    ],
)
def test_who_names_our_origin_agrees_and_may_state_a_rate(status, headers, per_s):
    made = agreements("a")
    made.due(0.0, 9)
    assert made.answered(0.0, "a", status, headers)
    assert made.agreed("a") and made.per_s("a") == pytest.approx(per_s)
    assert 0.8 * RENEW_MS <= made.next_at() <= 1.2 * RENEW_MS, "it is asked again some time"


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (200, []),
        (200, [(b"webhook-allowed-origin", b"other.example.com")]),
        (200, [(b"webhook-allowed-origin", b"")]),
        (200, [*YES, *YES]),
        (200, [*YES, rate(b"0")]),
        (200, [*YES, rate(b"-5")]),
        (200, [*YES, rate(b"1e9")]),
        (200, [*YES, rate(b"99999999999")]),
        (200, [*YES, rate(b"60"), rate(b"60")]),
        (301, YES),
        (403, YES),
        (405, []),
        (410, YES),
    ],
)
def test_all_else_is_a_no_and_asked_again_ever_more_rarely(status, headers):
    made = agreements("a")
    now, rests = 0.0, []
    for _ in range(3):
        assert made.due(now, 9) == ["a"]
        assert not made.answered(now, "a", status, headers), "it had not agreed before either"
        rests.append(made.next_at() - now)
        now = made.next_at()
    assert not made.agreed("a") and made.known["a"].reason
    for rest, factor in zip(rests, (1, 2, 4), strict=True):
        assert 0.8 * factor * REFUSED_MS <= rest <= 1.2 * factor * REFUSED_MS


@pytest.mark.parametrize("status", [500, 503, 429, 408, 0])
def test_what_is_no_answer_changes_nothing_and_is_asked_again_soon(status):
    made = agreements("a", "b")
    made.due(0.0, 9)
    made.answered(0.0, "a", 200, [*YES, rate(b"60")])
    now = 0.0
    for name in "ab":
        for _ in range(12):
            arguments = (now, name, status, YES) if status else (now, name, "time-out")
            assert not (made.answered if status else made.unanswered)(*arguments)
            rest = made.known[name].ask_at - now
            assert 0.8 * BACK_OFF_MS <= rest <= 1.2 * MAX_BACK_OFF_MS
    assert made.agreed("a") and made.per_s("a") == 1.0, "an agreement outlasts an outage"
    assert not made.agreed("b")


def test_one_that_takes_its_agreement_back_is_obeyed_and_may_agree_anew():
    made = agreements("a")
    made.due(0.0, 9)
    made.answered(0.0, "a", 200, YES)
    assert made.withdrawn(5.0, "a") and not made.agreed("a")
    assert not made.withdrawn(6.0, "a"), "it is known already"
    assert made.next_at() >= 5.0 + 0.8 * REFUSED_MS
    made.due(1e9, 9)
    assert made.answered(1e9, "a", 200, YES) and made.agreed("a")
    made.due(2e9, 9)
    assert made.answered(2e9, "a", 200, []) and not made.agreed("a"), "by a later answer as well"


def test_a_changed_rate_is_news_and_one_that_is_gone_is_forgotten():
    made = agreements("a")
    made.answered(0.0, "a", 200, [*YES, rate(b"60")])
    assert not made.answered(0.0, "a", 200, [*YES, rate(b"60")])
    assert made.answered(0.0, "a", 200, [*YES, rate(b"30")]) and made.per_s("a") == 0.5
    made.remove("a")
    assert not made.agreed("a") and not made.answered(0.0, "a", 200, YES) and not made.withdrawn(0.0, "a")
    assert not made.unanswered(0.0, "a", "late")


def test_the_question_names_us_and_the_rate_that_is_asked_for():
    assert agreements().request_headers() == [(b"WebHook-Request-Origin", ORIGIN.encode())]
    assert (b"WebHook-Request-Rate", b"600") in agreements(rate=600).request_headers()


# Handshake and core, with the test as the partner


class Gated:
    """A core with a handshake for destination 7."""

    async def start(self, folder):
        self.bench = await Bench().start(folder)
        self.node, self.partner = self.bench.node, self.bench.partner
        self.node.registry.codecs = {7: CloudEvents("binary", "/rushhitch", {})}
        seams = (self.node.endpoints.ask, self.node.limits.set_stated_limits, self.node.registry)
        self.gate = Handshake(*seams, agreements(), {7}, "/in")
        self.node.set_gate(self.gate)
        self.relist()
        self.gate.start()
        return self

    def relist(self, **changes):
        self.node.registry.apply_update({"version": 42, "full": False, "servers": [self.bench.row | changes]})

    async def asked(self):
        request = await self.partner.next()
        assert (request.method, request.target) == ("OPTIONS", "/in")
        assert request.headers["webhook-request-origin"] == ORIGIN
        return request

    async def post(self):
        request = await self.partner.next()
        assert request.method == "POST"
        return request

    def ask_again(self):
        """Make the next request due now."""
        self.gate.agreements.known["e1"].ask_at = -math.inf
        self.gate.woken.set()


def gated(folder):
    def decorate(test):
        async def work():
            made = await Gated().start(folder)
            try:
                await test(made)
            finally:
                made.gate.stop()
                made.bench.journal.close()

        run(work())

    return decorate


def test_nothing_is_sent_until_the_partner_has_agreed(tmp_path):
    @gated(tmp_path)
    async def _(made):
        made.bench.offer()
        (await made.asked()).answer(403)
        while made.gate.agreements.known["e1"].refused == 0:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        assert made.partner.requests.empty() and made.node.by_id
        made.ask_again()
        (await made.asked()).answer(200, WebHook_Allowed_Origin="*")
        (await made.post()).answer(202)
        await made.node.idle.wait()
        assert made.bench.ends.empty()


def test_a_message_for_a_partner_that_never_agrees_ends_as_one_that_never_ran(tmp_path):
    @gated(tmp_path)
    async def _(made):
        (await made.asked()).answer(405)
        made.bench.offer(type(OFFER)(b"m1", "note", 7, 500.0, b"hello"))
        assert (await made.bench.ends.get())[2] == "bounced"
        assert made.partner.requests.empty()


def test_a_partner_that_says_gone_gets_nothing_more_until_it_agrees_anew(tmp_path):
    @gated(tmp_path)
    async def _(made):
        (await made.asked()).answer(200, WebHook_Allowed_Origin="*")
        made.bench.offer()
        (await made.post()).answer(410)
        while made.gate.open("e1"):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        assert made.partner.requests.empty(), "the message waits, though it may go again"
        made.ask_again()
        (await made.asked()).answer(204, WebHook_Allowed_Origin=ORIGIN)
        (await made.post()).answer(202)
        await made.node.idle.wait()


def test_one_that_stands_in_the_list_as_draining_is_not_opened_by_its_agreement(tmp_path):
    @gated(tmp_path)
    async def _(made):
        request = await made.asked()
        made.relist(state="DRAINING")
        request.answer(200, WebHook_Allowed_Origin="*")
        while not made.gate.open("e1"):
            await asyncio.sleep(0.01)
        made.bench.offer(type(OFFER)(b"m1", "note", 7, 400.0, b"hello"))
        assert (await made.bench.ends.get())[2] == "bounced" and made.partner.requests.empty()
        made.node.registry.apply_update({"version": 43, "full": True, "servers": []})
        assert not made.gate.agreements.known and not made.node.registry.rows, "one that is gone is forgotten"


def test_a_question_that_breaks_is_asked_again(tmp_path, monkeypatch):
    monkeypatch.setattr("rushhitch.endpoints.ASK_S", 0.3)

    @gated(tmp_path)
    async def _(made):
        (await made.asked()).reset()
        await made.asked()  # asked again after about a second; left unanswered until the time-out
        (await made.asked()).answer(200, WebHook_Allowed_Origin="*")
        made.bench.offer()
        (await made.post()).answer(202)
        await made.node.idle.wait()


def test_a_stated_rate_is_kept_to(tmp_path, monkeypatch):
    monkeypatch.setattr(handshake, "STATED_LIMITS_INTERVAL_S", 0.05)

    @gated(tmp_path)
    async def _(made):
        (await made.asked()).answer(200, WebHook_Allowed_Origin="*", WebHook_Allowed_Rate="300")
        while made.gate.rates() != {7: 5.0}:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        for number in range(8):
            made.bench.offer(type(OFFER)(b"m%d" % number, "note", 7, 6000.0, b""))
        loop, times = asyncio.get_running_loop(), []
        for _ in range(8):
            (await made.post()).answer(202)
            times.append(loop.time())
        assert times[-1] - times[0] >= 6 / 5.0, "five calls a second"


def test_of_a_stated_rate_and_a_planners_grant_the_lower_holds(tmp_path):
    @gated(tmp_path)
    async def _(made):
        node, notes = made.node, []
        made.gate.tasks[1].cancel()
        node.limits.counts = LaneCounts([1.0])
        node.limits.counts.place("e1", 7, False)
        node.limits.note = notes.append
        node.limits.set_stated_limits({7: 4.0})
        dealt = {"slots_ms": 700.0, "slot": 3, "slots": (10.0,)}
        node.limits.apply_allowance(Allowance("d7", 9.0, 3.0, 1000.0, 50.0, **dealt))
        node.limits.apply_allowance(Allowance("d7", 2.0, 1.0, 1000.0, **dealt))
        node.limits.set_stated_limits({7: 4.0})
        own, high, low = notes
        assert (own.lane, own.per_s, own.slots) == (7, 4.0, ())
        assert (high.per_s, high.burst, high.wait_ms, high.slots) == (4.0, 1.0, 50.0, ())
        assert (low.per_s, low.slots) == (2.0, (10.0,)), "and its moments with it"
        assert all(isinstance(note, SendAllowance) for note in notes)
        # A stated rate below the planner's grant applies at once; one above it changes nothing.
        notes.clear()
        node.limits.set_stated_limits({7: 1.0})
        assert [note.per_s for note in notes] == [1.0]
        node.limits.stated.clear()
        node.limits.set_stated_limits({7: 3.0})
        assert len(notes) == 1


def test_a_stated_rate_is_shared_by_all_dispatchers(tmp_path):
    @gated(tmp_path)
    async def _(made):
        notes = []
        made.gate.tasks[1].cancel()
        made.node.limits.note = notes.append
        made.node.limits.dispatchers = 4
        made.node.limits.set_stated_limits({7: 4.0})
        assert notes[0].per_s == 1.0


def test_a_stated_rate_is_a_budget_where_members_share_them(tmp_path):
    @gated(tmp_path)
    async def _(made):
        notes, asked, limits = [], [], made.node.limits
        made.gate.tasks[1].cancel()
        limits.note = notes.append
        limits.counts = LaneCounts([1.0])
        limits.counts.place("e1", 7, False)
        limits.shared = lambda name, per_s: asked.append((name, per_s)) or 3.0
        limits.set_stated_limits({7: 4.0})
        assert notes[0].per_s == 3.0 and asked == [("lane 7", 4.0)]
        for _ in range(5):
            limits.counts.arrived(7)
        ((name, need),) = limits.needs(0.5)
        assert name == "lane 7" and need > 0.0
