"""Notices to the platform: over loopback, and in virtual time through disruptions of the platform."""

import asyncio
import json
import random
from types import SimpleNamespace

import pytest
from directories import run_on_virtual_time
from doubles import Peer, run

from rushhitch import notices as notices_module
from rushhitch.notices import MAX_NOTICES_PER_REQUEST, MAX_OPEN_REQUESTS, Notice, NoticeSchedule, NoticeSender


def with_notices(test):
    async def work():
        platform, acknowledged = await Peer().start(), asyncio.Queue()
        notices = NoticeSender(platform.address, acknowledged.put_nowait)
        task = asyncio.create_task(notices.run())
        await test(platform, notices, acknowledged)
        task.cancel()

    run(work())


def test_a_notice_is_sent_until_its_204():
    # Reset, silence and 503 acknowledge nothing.
    @with_notices
    async def _(platform, notices, acknowledged):
        notices.add(1, b"m1", "bounced", 500.0)
        (await platform.next()).reset()
        silent = await platform.next()
        again = await platform.next()
        again.answer(503)
        last = await platform.next()
        assert acknowledged.empty()
        assert json.loads(last.body) == {"ref": "m1", "result": "bounced", "wait_ms": 500}
        last.answer(204)
        assert await acknowledged.get() == 1
        await notices.empty.wait()
        assert await silent.ended(), "nothing is left that its answer could acknowledge"


def test_each_request_with_notices_has_a_connection_of_its_own():
    # One that idled may have been dropped unnoticed, and a 204 on one that was used may be a copy.
    @with_notices
    async def _(platform, notices, acknowledged):
        for connection in (1, 2, 3):
            notices.add(1, b"m1", "dead", 0.0)
            request = await platform.next()
            assert request.connection == connection
            request.answer(204)
            request.answer(204)
            await acknowledged.get()
            assert await request.ended()


def test_notices_that_are_due_together_go_together():
    @with_notices
    async def _(platform, notices, acknowledged):
        notices.add(1, b"m1", "dead", 0.0)
        notices.add(2, b"m2", "bounced", 0.0)
        request = await platform.next()
        assert (request.method, request.target) == ("POST", "/status")
        assert [json.loads(line) for line in request.body.splitlines()] == [
            {"ref": "m1", "result": "dead"},
            {"ref": "m2", "result": "bounced"},
        ]
        request.answer(204)
        assert [await acknowledged.get(), await acknowledged.get()] == [1, 2]


def test_an_unreadable_notice_does_not_block_the_others():
    @with_notices
    async def _(platform, notices, acknowledged):
        notices.add(9, b"bad", "dead", 0.0)
        notices.add(2, b"m2", "dead", 0.0)
        (await platform.next()).answer(400)
        (await platform.next()).answer(400)  # to the bad one, sent alone
        request = await platform.next()
        assert json.loads(request.body)["ref"] == "m2"
        request.answer(204)
        assert await acknowledged.get() == 2


# In virtual time

LATE_S = 0.35  # protocol: 300 ms past a message's time, and 50 ms more on sockets
ROUND_TRIP_S = 0.002
DOWN_AT_S, ENDS_S, SETTLE_S = 2.0, 4.0, 30.0  # the disruption begins; notices go on for so long behind it
GAP_S = 0.037  # between two ends


class SimulatedPlatform:
    """Hears notices and answers 204, but for a disruption of `seconds` from `DOWN_AT_S` on: answers get lost
    ("lost") or come `SLOW_S` late ("slow"), connections never come up ("cut") or are refused ("refused"), or
    requests are answered 503, unheard ("503")."""

    SLOW_S = 5.0

    def __init__(self, disruption, seconds):
        self.disruption, self.back_at = disruption, DOWN_AT_S + seconds
        self.heard = {}  # when each notice was first heard, and
        self.times_heard = {}
        self.open = self.most_open = self.connects = 0

    def disrupted_by(self, *disruptions):
        now = asyncio.get_running_loop().time()
        return self.disruption in disruptions and DOWN_AT_S <= now < self.back_at

    def hear(self, body):
        for line in body.splitlines():
            ref = json.loads(line)["ref"]
            self.heard.setdefault(ref, asyncio.get_running_loop().time())
            self.times_heard[ref] = self.times_heard.get(ref, 0) + 1


class SimulatedConnection:
    """Replaces `Connection`; its address is the platform."""

    def __init__(self, platform):
        self.platform = platform
        platform.open += 1
        platform.most_open = max(platform.most_open, platform.open)

    @classmethod
    async def open(cls, platform):
        platform.connects += 1
        if platform.disrupted_by("cut"):
            await asyncio.sleep(3600.0)
        await asyncio.sleep(ROUND_TRIP_S)
        if platform.disrupted_by("refused"):
            raise ConnectionRefusedError("nobody listens")
        return cls(platform)

    async def send(self, method, target, headers, body):
        self.delay_s = ROUND_TRIP_S
        if self.platform.disrupted_by("lost"):
            self.delay_s = 3600.0
        elif self.platform.disrupted_by("slow"):
            self.delay_s = SimulatedPlatform.SLOW_S
        self.status = 503 if self.platform.disrupted_by("503") else 204
        if self.status == 204:
            self.platform.hear(body)

    async def response(self):
        await asyncio.sleep(self.delay_s)
        return SimpleNamespace(status_code=self.status)

    async def body(self, max_bytes):
        return b""

    def close(self):
        self.platform.open -= 1


def play(monkeypatch, platform, seed=1):
    """Ends at random times, until some time behind the disruption. Returns when each notice was added, which
    messages were acknowledged, and the sender."""
    monkeypatch.setattr(notices_module, "Connection", SimulatedConnection)
    added, acknowledged, chance = {}, [], random.Random(seed)

    async def work():
        loop = asyncio.get_running_loop()
        sender = NoticeSender(platform, acknowledged.append)
        running = loop.create_task(sender.run())
        while loop.time() < platform.back_at + ENDS_S:
            number = len(added)
            added[f"m{number}"] = loop.time()
            sender.add(number, b"m%d" % number, "dead", 0.0)
            await asyncio.sleep(chance.uniform(0.0, 2.0 * GAP_S))
        await asyncio.wait_for(sender.empty.wait(), SETTLE_S)
        running.cancel()
        await asyncio.sleep(0.0)
        return sender

    senders = []

    async def keep():
        senders.append(await work())

    run_on_virtual_time(keep)
    assert sorted(acknowledged) == list(range(len(added))), "each is acknowledged once"
    return added, senders[0]


@pytest.mark.parametrize("seconds", [0.3, 1.7, 6.0, 25.0])
@pytest.mark.parametrize("disruption", ["lost", "slow", "cut", "refused", "503"])
def test_nothing_that_befell_the_platform_delays_a_notice_once_it_can_be_heard(
    monkeypatch, disruption, seconds
):
    # Guards against a notice that waits for the answer to an earlier request, which was lost.
    platform = SimulatedPlatform(disruption, seconds)
    added, _ = play(monkeypatch, platform)
    hears = disruption in ("lost", "slow")
    for ref, at in added.items():
        reachable_at = at if hears or not DOWN_AT_S <= at < platform.back_at else platform.back_at
        assert platform.heard[ref] - reachable_at <= LATE_S, f"{ref}, added at {at:.2f} s"
    assert platform.most_open <= MAX_OPEN_REQUESTS


def test_without_trouble_each_notice_is_sent_once(monkeypatch):
    platform = SimulatedPlatform("none", 6.0)
    added, sender = play(monkeypatch, platform)
    assert set(platform.times_heard.values()) == {1}
    assert (sender.schedule.sent, sender.schedule.repeated) == (len(added), 0)


def test_a_platform_that_refuses_for_minutes_is_called_no_faster_than_the_pace(monkeypatch):
    platform = SimulatedPlatform("refused", 300.0)
    play(monkeypatch, platform)
    most = 300.0 / notices_module.PACE_S
    assert platform.connects <= most + (DOWN_AT_S + ENDS_S) / GAP_S * 2.0


def test_a_slow_platform_is_not_flooded_with_repeats(monkeypatch):
    platform = SimulatedPlatform("slow", 60.0)
    added, sender = play(monkeypatch, platform)
    assert sender.schedule.sent <= 3.0 * len(added)


# The schedule


def filled(count):
    schedule = NoticeSchedule()
    for number in range(count):
        schedule.add(Notice(number, b"%d\n" % number))
    return schedule


def numbers(request):
    return [notice.number for notice in request.notices]


def test_an_acknowledgement_sends_again_what_was_last_sent_before_it():
    schedule = filled(3)
    first = schedule.begin(0.0)
    assert schedule.next_start() == notices_module.PACE_S
    schedule.add(Notice(3, b"3\n"))
    second = schedule.begin(0.2)
    assert numbers(first) == [0, 1, 2] and numbers(second) == [3]
    assert schedule.acknowledged(second) == [3]
    assert schedule.next_start() < 0.0
    assert numbers(schedule.begin(0.21)) == [0, 1, 2]
    assert schedule.acknowledged(first) == [0, 1, 2], "its answer was only late"
    assert schedule.next_start() is None


def test_a_probe_carries_the_notice_that_was_sent_least_recently():
    schedule = filled(3)
    schedule.begin(0.0)
    assert numbers(schedule.begin(0.2)) == [0]
    assert numbers(schedule.begin(0.4)) == [1]


def test_a_request_holds_a_bounded_number_of_notices_and_bytes():
    schedule = filled(MAX_NOTICES_PER_REQUEST + 1)
    assert len(schedule.begin(0.0).notices) == MAX_NOTICES_PER_REQUEST
    schedule = NoticeSchedule()
    for number in range(10):
        schedule.add(Notice(number, bytes(20_000)))
    assert len(schedule.begin(0.0).notices) == 3


def test_an_answer_to_a_request_of_an_earlier_address_changes_nothing():
    schedule = filled(1)
    request = schedule.begin(0.0)
    schedule.restart()
    assert schedule.acknowledged(request) == [] and schedule.rejected(request) is None
    assert numbers(schedule.begin(0.0)) == [0]


def test_a_rejected_request_is_halved_until_the_unreadable_notice_is_found():
    schedule, requests = filled(100), 0
    while (start := schedule.next_start()) is not None:
        assert start < 0.0
        request, requests = schedule.begin(0.0), requests + 1
        if 63 not in numbers(request):
            schedule.acknowledged(request)
        elif (aside := schedule.rejected(request)) is not None:
            assert aside.number == 63
    assert requests <= 15  # 1 + 2 * log2(100)


def test_new_notices_go_before_those_that_were_rejected_together():
    schedule = filled(4)
    schedule.rejected(schedule.begin(0.0))
    schedule.add(Notice(9, b"9\n"))
    assert [numbers(schedule.begin(0.0)) for _ in range(3)] == [[9], [0, 1], [2, 3]]
