"""An upgrade in which either process is killed at each step that it tells of: every message has one end, and
what must not run twice is called once."""

import asyncio
import json
import signal

import pytest
from doubles import run
from test_succession import Pair

OLD = ["a successor has come", "a successor is ready", "hands over,", "handed over,"]
NEW = ["operators are answered on", "ready to take over", " is ready on "]


class Story:
    """Both processes' logs, and the kill at a word of one of them."""

    def __init__(self, killed, word):
        self.killed, self.word = killed, word
        self.seen, self.tasks = {"old": [], "new": []}, []
        self.struck = asyncio.Event()

    def follow(self, name, process):
        self.tasks.append(asyncio.ensure_future(self.read(name, process)))

    async def read(self, name, process):
        while line := (await process.stderr.readline()).decode():
            self.seen[name].append(line)
            if name == self.killed and self.word in line and not self.struck.is_set():
                process.kill()
                self.struck.set()

    async def told(self, name, word):
        while not any(word in line for line in self.seen[name]):
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("killed, word", [("old", w) for w in OLD] + [("new", w) for w in NEW])
def test_a_kill_at_a_step_loses_nothing_and_repeats_nothing_unsafe(killed, word, tmp_path):
    async def work():
        pair = await Pair(tmp_path).start_doubles()
        await pair.start()
        calls, notices = [], []

        async def partner():
            while True:
                request = await pair.partner.next()
                name = request.headers["x-correlation-id"]
                calls.append(name)
                if name != "pay" and calls.count(name) > 1:
                    request.answer(200)  # the first call of each stays out over the upgrade

        async def platform():
            while True:
                request = await pair.platform.next()
                if request.target == "/status":
                    notices.extend(json.loads(line)["ref"] for line in request.body.splitlines())
                    request.answer(204)

        beside = [asyncio.ensure_future(partner()), asyncio.ensure_future(platform())]
        story = Story(killed, word)
        try:
            client = await pair.client()
            assert await client.add(b"note") == b"+OK\r\n"
            assert await client.add(b"pay", "pay", 24000) == b"+OK\r\n"
            while len(calls) < 2:
                await asyncio.sleep(0.01)
            old = pair.process
            story.follow("old", old)
            new = await pair.spawn()
            pair.others = [(old, None), (new, None)]
            story.follow("new", new)
            waits = [
                asyncio.ensure_future(w)
                for w in (story.told("new", "ready to take over"), story.struck.wait())
            ]
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            if old.returncode is None:
                old.send_signal(signal.SIGTERM)
            await asyncio.wait_for(story.struck.wait(), 5.0)
            await asyncio.wait(
                [asyncio.ensure_future(p.wait()) for p in (old, *([new] if killed == "new" else []))]
            )
            if killed == "new":
                await pair.start()  # the old one has ended too: a plain start
            else:
                await story.told("new", " is ready on ")
            while calls.count("note") < 2 or "pay" not in notices:
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.2)
            assert calls.count("pay") == 1, "an unsafe message went twice"
            assert notices.count("pay") == 1 and "note" not in notices
        finally:
            for task in (*beside, *story.tasks):
                task.cancel()
            await pair.end()

    run(work())
