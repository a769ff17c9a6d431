"""The watch over loopback."""

import asyncio
import json
import random

import pytest
from doubles import Peer, run

from rushhitch import discovery
from rushhitch.discovery import PlatformClient, Watch
from rushhitch.notices import NoticeSender


def with_watch(silence_s=30.0):
    def decorate(test):
        async def work():
            platform, updates = await Peer().start(), asyncio.Queue()
            watch = Watch(platform.address, 41, updates.put_nowait, random.Random(1), silence_s)
            task = asyncio.create_task(watch.run())
            await test(platform, updates)
            task.cancel()

        run(work())

    return decorate


def update(version):
    return {"version": version, "full": False, "servers": []}


def test_a_watch_passes_on_updates():
    @with_watch()
    async def _(platform, updates):
        request = await platform.next()
        assert request.target == "/discovery/hosts?watch=1&from=41"
        request.start_watch()
        request.chunk("")
        text = json.dumps(update(42))
        request.writer.write(b"%x\r\n%s\r\n" % (len(text[:10]), text[:10].encode()))  # one line in two chunks
        request.chunk(text[10:])
        assert await updates.get() == update(42)


def test_a_silent_watch_is_reopened_from_the_last_version():
    # The machine has vanished: its connection stays open without any data.
    @with_watch(silence_s=0.3)
    async def _(platform, updates):
        request = await platform.next()
        request.start_watch()
        request.chunk(json.dumps(update(50)))
        assert await updates.get() == update(50)
        assert (await platform.next()).target.endswith("from=50")
        assert await request.ended()


@pytest.mark.parametrize("indent", [None, 2, "\t"])
@pytest.mark.parametrize("step", [1, 7, 1000])
def test_lists_are_read_however_they_are_indented_and_cut_up(indent, step):
    row = {"id": 's-"}{\\', "addr": "[1]\n", "more": [{"a": {}}, "\\"]}
    updates = [{"version": version, "full": False, "servers": [row] * version} for version in range(3)]
    data = b"\n" + b"\n".join(json.dumps(one, indent=indent).encode() + b"\n" for one in updates)
    framer, found = discovery.JsonFramer(), []
    for at in range(0, len(data), step):
        found += framer.feed(data[at : at + step])
    assert [json.loads(word) for word in found if word] == updates and b"" in found
    assert not framer.buffer


@pytest.mark.parametrize("data", [b"x", b"}\n", b"[1]\n", b'"a"\n', b'{"a":1}}\n', b"7\n"])
def test_input_that_is_no_object_is_rejected(data):
    with pytest.raises(ValueError, match="no object"):
        discovery.JsonFramer().feed(data)


def test_an_older_list_that_comes_again_behind_a_newer_one_is_not_applied():
    @with_watch()
    async def _(platform, updates):
        request = await platform.next()
        request.start_watch()
        older, newer = json.dumps(update(42)), json.dumps(update(43))
        for text in (older, newer, older, older, newer, json.dumps(update(44))):
            request.chunk(text)
        assert [(await updates.get())["version"] for _ in range(4)] == [42, 43, 43, 44]
        assert not await asyncio.sleep(0) and platform.requests.empty()


def test_a_discovery_that_begins_anew_is_believed():
    # On a new watch its first line counts; on one that goes on, the watch is opened anew.
    @with_watch()
    async def _(platform, updates):
        request = await platform.next()
        request.start_watch()
        request.chunk(json.dumps(update(43)))
        request.chunk(json.dumps(update(2) | {"full": True}))
        again = await platform.next()
        assert again.target.endswith("from=43") and await request.ended()
        again.start_watch()
        again.chunk(json.dumps(update(2) | {"full": True}))
        again.chunk(json.dumps(update(3)))
        assert [(await updates.get())["version"] for _ in range(3)] == [43, 2, 3]


def test_a_copy_that_is_no_longer_remembered_opens_the_watch_anew():
    stream = discovery.ListStream()
    for version in range(discovery.MAX_REMEMBERED_LINES + 1):
        assert stream.accepts(version, b"%d" % version)
    assert not stream.accepts(1, b"1")
    with pytest.raises(discovery.VersionsFell):
        stream.accepts(0, b"0")


def test_an_indented_list_is_read_from_a_watch():
    @with_watch()
    async def _(platform, updates):
        request = await platform.next()
        request.start_watch()
        request.chunk(json.dumps(update(42), indent=2))
        assert await updates.get() == update(42)


def test_a_watch_that_trickles_a_partial_object_is_reopened():
    # Bytes of an item that never completes are no sign of life.
    @with_watch(silence_s=0.3)
    async def _(platform, updates):
        request = await platform.next()
        request.start_watch()
        request.chunk(json.dumps(update(50)))

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
def test_an_update_missed_by_a_silent_watch_is_requested_before_its_deadline(dispatchers):
    # The last item may be up to 2 s old when an update is missed; 1 s is left for the answer.
    schedule = discovery.ReconnectSchedule(random.Random(1), dispatchers)
    latest = max(schedule.delay_after_silence() for _ in range(1000))
    assert discovery.SILENCE_S + latest + 1.0 <= 6.0
    assert discovery.SILENCE_S > 2.0 + 1.0, "one late item is no silence"
    if dispatchers >= 200:
        assert latest > 1.0, "calls are not spread"


def test_a_watch_that_fails_or_ends_or_sends_malformed_data_is_reopened():
    @with_watch()
    async def _(platform, updates):
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
        request.chunk(json.dumps(update(44)))
        assert await updates.get() == update(44)


def test_a_call_without_answer_stays_open_beside_the_next_and_the_first_answer_is_used(monkeypatch):
    # If the call were cancelled, an answer in transit would be lost.
    monkeypatch.setattr(discovery, "PERIOD_S", 0.2)

    @with_watch()
    async def _(platform, updates):
        first, second = await platform.next(), await platform.next()
        assert (first.connection, second.connection) == (1, 2)
        first.start_watch()
        first.chunk(json.dumps(update(42)))
        assert await updates.get() == update(42)
        assert await second.ended()
        first.chunk(json.dumps(update(43)))
        assert await updates.get() == update(43)


def test_a_watch_that_is_stopped_closes_all_its_calls(monkeypatch):
    monkeypatch.setattr(discovery, "PERIOD_S", 0.2)
    monkeypatch.setattr(discovery, "ANSWER_S", 60.0)

    async def work():
        platform = await Peer().start()
        watch = Watch(platform.address, 41, lambda update: None, random.Random(1))
        task = asyncio.create_task(watch.run())
        first, second = await platform.next(), await platform.next()
        task.cancel()
        assert await first.ended() and await second.ended()

    run(work())


def test_a_change_of_address_takes_effect_at_once_and_closes_the_old_connections(monkeypatch):
    # Back-off and the pace reached at the old address must not apply to the new one.
    monkeypatch.setattr("rushhitch.notices.PACE_S", 30.0)

    async def work():
        old, new = await Peer().start(), await Peer().start()
        updates, acknowledged = asyncio.Queue(), asyncio.Queue()
        watch = Watch(old.address, 41, updates.put_nowait, random.Random(1))
        notices = NoticeSender(old.address, acknowledged.put_nowait)
        platform = PlatformClient(watch, notices)
        platform.start()
        request = await old.next()
        request.start_watch()
        request.chunk(json.dumps(update(42)))
        await updates.get()
        notices.add(1, b"m1", "dead", 0.0)
        unanswered = await old.next()
        watch.schedule.failures = 16
        platform.move(new.address)
        requests = {request.target: request for request in (await new.next(), await new.next())}
        assert set(requests) == {"/discovery/hosts?watch=1&from=42", "/status"}
        assert json.loads(requests["/status"].body)["ref"] == "m1"
        requests["/status"].answer(204)
        assert await acknowledged.get() == 1
        assert await request.ended() and await unanswered.ended()
        assert watch.schedule.failures == 0
        platform.stop()

    run(work())
