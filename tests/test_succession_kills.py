"""Upgrades in which either process is killed at each step that it logs: every message has one outcome, and
unsafe messages are called once."""

import asyncio
import json
import signal

import pytest
from doubles import run
from test_succession import Pair

OLD_STEPS = ["a successor has come", "a successor is ready", "hands over,", "handed over,"]
NEW_STEPS = ["operators are answered on", "ready to take over", " is ready on "]


class UpgradeLogs:
    """Collects the logs of both processes, and kills one when its log has the text `trigger`."""

    def __init__(self, killed, trigger):
        self.killed, self.trigger = killed, trigger
        self.seen, self.tasks = {"old": [], "new": []}, []
        self.fired = asyncio.Event()

    def follow(self, name, process):
        self.tasks.append(asyncio.ensure_future(self.read(name, process)))

    async def read(self, name, process):
        while line := (await process.stderr.readline()).decode():
            self.seen[name].append(line)
            if name == self.killed and self.trigger in line and not self.fired.is_set():
                process.kill()
                self.fired.set()

    async def wait_for_line(self, name, trigger):
        while not any(trigger in line for line in self.seen[name]):
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("killed, trigger", [("old", w) for w in OLD_STEPS] + [("new", w) for w in NEW_STEPS])
def test_a_kill_at_any_step_loses_nothing_and_repeats_nothing_unsafe(killed, trigger, tmp_path):
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
                    request.answer(200)  # the first call of each stays outstanding during the upgrade

        async def platform():
            while True:
                request = await pair.platform.next()
                if request.target == "/status":
                    notices.extend(json.loads(line)["ref"] for line in request.body.splitlines())
                    request.answer(204)

        double_tasks = [asyncio.ensure_future(partner()), asyncio.ensure_future(platform())]
        logs = UpgradeLogs(killed, trigger)
        try:
            client = await pair.client()
            assert await client.add(b"note") == b"+OK\r\n"
            assert await client.add(b"pay", "pay", 24000) == b"+OK\r\n"
            while len(calls) < 2:
                await asyncio.sleep(0.01)
            old = pair.process
            logs.follow("old", old)
            new = await pair.spawn()
            pair.others = [(old, None), (new, None)]
            logs.follow("new", new)
            waits = [
                asyncio.ensure_future(w)
                for w in (logs.wait_for_line("new", "ready to take over"), logs.fired.wait())
            ]
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            if old.returncode is None:
                old.send_signal(signal.SIGTERM)
            await asyncio.wait_for(logs.fired.wait(), 5.0)
            await asyncio.wait(
                [asyncio.ensure_future(p.wait()) for p in (old, *([new] if killed == "new" else []))]
            )
            if killed == "new":
                await pair.start()  # the old one has ended too: plain start
            else:
                await logs.wait_for_line("new", " is ready on ")
            while calls.count("note") < 2 or "pay" not in notices:
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.2)
            assert calls.count("pay") == 1, "an unsafe message was sent twice"
            assert notices.count("pay") == 1 and "note" not in notices
        finally:
            for task in (*double_tasks, *logs.tasks):
                task.cancel()
            await pair.end()

    run(work())
