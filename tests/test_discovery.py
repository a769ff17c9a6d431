"""The watch and the notices over loopback."""

import asyncio
import json
import random

import pytest
from doubles import Peer, run

from rushhitch import discovery
from rushhitch.discovery import NoticeSender, PlatformClient, Watch


def with_watch(silence_s=30.0):
    def decorate(test):
        async def work():
            platform, told = await Peer().start(), asyncio.Queue()
            watch = Watch(platform.address, 41, told.put_nowait, random.Random(1), silence_s)
            task = asyncio.create_task(watch.run())
            await test(platform, told)
            task.cancel()

        run(work())

    return decorate


def news(version):
    return {"version": version, "full": False, "servers": []}


def test_a_watch_hands_on_what_changes():
    @with_watch()
    async def _(platform, told):
        request = await platform.next()
        assert request.target == "/discovery/hosts?watch=1&from=41"
        request.start_watch()
        request.chunk("")
        text = json.dumps(news(42))
        request.writer.write(b"%x\r\n%s\r\n" % (len(text[:10]), text[:10].encode()))  # a line in two chunks
        request.chunk(text[10:])
        assert await told.get() == news(42)


def test_a_silent_watch_is_dead_and_is_opened_again_from_the_last_version():
    # Guards against a machine that vanished: its connection stays open and says nothing.
    @with_watch(silence_s=0.3)
    async def _(platform, told):
        request = await platform.next()
        request.start_watch()
        request.chunk(json.dumps(news(50)))
        assert await told.get() == news(50)
        assert (await platform.next()).target.endswith("from=50")
        assert await request.ended()


@pytest.mark.parametrize("indent", [None, 2, "\t"])
@pytest.mark.parametrize("step", [1, 7, 1000])
def test_lists_are_read_however_they_are_indented_and_cut_up(indent, step):
    row = {"id": 's-"}{\\', "addr": "[1]\n", "more": [{"a": {}}, "\\"]}
    told = [{"version": version, "full": False, "servers": [row] * version} for version in range(3)]
    data = b"\n" + b"\n".join(json.dumps(one, indent=indent).encode() + b"\n" for one in told)
    words, found = discovery.JsonFramer(), []
    for at in range(0, len(data), step):
        found += words.feed(data[at : at + step])
    assert [json.loads(word) for word in found if word] == told and b"" in found
    assert not words.buffer


@pytest.mark.parametrize("data", [b"x", b"}\n", b"[1]\n", b'"a"\n', b'{"a":1}}\n', b"7\n"])
def test_what_is_no_object_is_refused(data):
    with pytest.raises(ValueError, match="no object"):
        discovery.JsonFramer().feed(data)


def test_an_indented_list_is_told_from_a_watch():
    @with_watch()
    async def _(platform, told):
        request = await platform.next()
        request.start_watch()
        request.chunk(json.dumps(news(42), indent=2))
        assert await told.get() == news(42)


def test_a_watch_that_trickles_half_an_object_is_dead_and_is_opened_again():
    # Guards against a silence that looks like life: nothing whole comes any more, byte after byte.
    @with_watch(silence_s=0.3)
    async def _(platform, told):
        request = await platform.next()
        request.start_watch()
        request.chunk(json.dumps(news(50)))

        async def trickle():
            request.chunk('{"version":51,"note":"')
            while True:
                await asyncio.sleep(0.05)
                request.writer.write(b"1\r\nx\r\n")

        trickling = asyncio.create_task(trickle())
        assert (await platform.next()).target.endswith("from=50")
        assert await request.ended()
        trickling.cancel()


@pytest.mark.parametrize("dispatchers", [1, 5, 200, 5000])
def test_what_a_silent_watch_misses_is_asked_for_before_it_counts_as_told(dispatchers):
    # A watch says its last word up to 2 s before its silence can begin to count; 1 s is left for the answer.
    asks = discovery.ReconnectSchedule(random.Random(1), dispatchers)
    latest = max(asks.delay_after_silence() for _ in range(1000))
    assert discovery.SILENCE_S + latest + 1.0 <= 6.0
    assert discovery.SILENCE_S > 2.0 + 1.0, "one late word is no silence"
    if dispatchers >= 200:
        assert latest > 1.0, "all ask in step"


def test_a_watch_that_fails_or_ends_or_talks_nonsense_is_opened_again():
    @with_watch()
    async def _(platform, told):
        (await platform.next()).answer(503)
        (await platform.next()).reset()
        ended = await platform.next()
        ended.start_watch()
        ended.writer.write(b"0\r\n\r\n")
        broken = await platform.next()
        broken.start_watch()
        broken.chunk("}")
        nameless = await platform.next()
        nameless.start_watch()
        nameless.chunk('{"servers":[]}')
        empty = await platform.next()
        empty.start_watch()
        empty.chunk('{"version":43,"full":true}')
        request = await platform.next()
        request.start_watch()
        request.chunk(json.dumps(news(44)))
        assert await told.get() == news(44)


def test_a_call_with_no_answer_goes_on_beside_the_next_and_the_first_answer_is_heard(monkeypatch):
    # Guards against giving up what is about to come: it would be told, and nobody would hear it.
    monkeypatch.setattr(discovery, "PERIOD_S", 0.2)

    @with_watch()
    async def _(platform, told):
        first, second = await platform.next(), await platform.next()
        assert (first.connection, second.connection) == (1, 2)
        first.start_watch()
        first.chunk(json.dumps(news(42)))
        assert await told.get() == news(42)
        assert await second.ended()
        first.chunk(json.dumps(news(43)))
        assert await told.get() == news(43)


def test_a_watch_that_is_stopped_closes_all_its_calls(monkeypatch):
    monkeypatch.setattr(discovery, "PERIOD_S", 0.2)
    monkeypatch.setattr(discovery, "ANSWER_S", 60.0)

    async def work():
        platform = await Peer().start()
        watch = Watch(platform.address, 41, lambda news: None, random.Random(1))
        task = asyncio.create_task(watch.run())
        first, second = await platform.next(), await platform.next()
        task.cancel()
        assert await first.ended() and await second.ended()

    run(work())


def with_notices(test):
    async def work():
        platform, heard = await Peer().start(), asyncio.Queue()
        notices = NoticeSender(platform.address, heard.put_nowait)
        task = asyncio.create_task(notices.run())
        await test(platform, notices, heard)
        task.cancel()

    run(work())


def test_a_notice_is_told_until_its_204(monkeypatch):
    # Guards against an end that nobody hears: reset, silence and 503 are no answer.
    monkeypatch.setattr(discovery, "NOTICE_S", 1.0)

    @with_notices
    async def _(platform, notices, heard):
        notices.add(1, b"m1", "bounced", 500.0)
        (await platform.next()).reset()
        silent = await platform.next()
        again = await platform.next()
        assert await silent.ended()
        again.answer(503)
        last = await platform.next()
        assert heard.empty()
        assert json.loads(last.body) == {"ref": "m1", "result": "bounced", "wait_ms": 500}
        last.answer(204)
        assert await heard.get() == 1
        await notices.empty.wait()


def test_a_connection_that_idled_is_not_trusted_with_a_notice(monkeypatch):
    # Guards against one that was dropped unseen: the end would come too late.
    @with_notices
    async def _(platform, notices, heard):
        for connection in (1, 1, 2):
            monkeypatch.setattr(discovery, "NOTICE_IDLE_S", 30.0 if connection == 1 else -1.0)
            notices.add(1, b"m1", "dead", 0.0)
            request = await platform.next()
            assert request.connection == connection
            request.answer(204)
            await heard.get()


def test_notices_that_are_due_together_go_together():
    @with_notices
    async def _(platform, notices, heard):
        notices.add(1, b"m1", "dead", 0.0)
        notices.add(2, b"m2", "bounced", 0.0)
        request = await platform.next()
        assert (request.method, request.target) == ("POST", "/status")
        assert [json.loads(line) for line in request.body.splitlines()] == [
            {"ref": "m1", "result": "dead"},
            {"ref": "m2", "result": "bounced"},
        ]
        request.answer(204)
        assert [await heard.get(), await heard.get()] == [1, 2]


def test_one_notice_that_cannot_be_read_does_not_hold_up_the_others():
    @with_notices
    async def _(platform, notices, heard):
        notices.add(9, b"bad", "dead", 0.0)
        notices.add(2, b"m2", "dead", 0.0)
        (await platform.next()).answer(400)
        (await platform.next()).answer(400)  # the bad one alone
        request = await platform.next()
        assert json.loads(request.body)["ref"] == "m2"
        request.answer(204)
        assert await heard.get() == 2


def test_a_move_goes_on_at_the_new_address_at_once_and_closes_the_old_connections(monkeypatch):
    # Guards against waiting out a backoff, or a patience, that the old address has earned.
    monkeypatch.setattr(discovery, "NOTICE_S", 30.0)

    async def work():
        old, new = await Peer().start(), await Peer().start()
        told, heard = asyncio.Queue(), asyncio.Queue()
        watch = Watch(old.address, 41, told.put_nowait, random.Random(1))
        notices = NoticeSender(old.address, heard.put_nowait)
        platform = PlatformClient(watch, notices)
        platform.start()
        request = await old.next()
        request.start_watch()
        request.chunk(json.dumps(news(42)))
        await told.get()
        notices.add(1, b"m1", "dead", 0.0)
        unanswered = await old.next()
        watch.schedule.failures = 16
        platform.move(new.address)
        requests = {request.target: request for request in (await new.next(), await new.next())}
        assert set(requests) == {"/discovery/hosts?watch=1&from=42", "/status"}
        assert json.loads(requests["/status"].body)["ref"] == "m1"
        requests["/status"].answer(204)
        assert await heard.get() == 1
        assert await request.ended() and await unanswered.ended()
        assert watch.schedule.failures == 0
        platform.stop()

    run(work())
