"""A file short of `group` is taken at SIGHUP: keyed messages then go where their key is not known."""

import asyncio
import json
import sys
from contextlib import AsyncExitStack
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "second"))
import rig  # noqa: E402

HERE = Path(__file__).resolve().parent
CLASS = {"name": "transfer", "effect": "by_key", "group": "zone", "windowMs": 8000.0}
CLASS |= {"aimMs": 2000.0, "hardLimitMs": 10000.0, "lateWorth": 0.5, "value": 2.0, "streamed": False}
MESSAGES, GAP_S, LEFT_MS = 12, 0.5, 10_000
FAILS_OF_TEN = 9  # 0.9: BRIEF has 43 to 91% of the calls


class Zone:
    """The endpoint of one building. It remembers the keys of messages, here their ids, for itself alone."""

    def __init__(self, name: str, record: rig.Record, fails: int) -> None:
        self.name, self.record, self.fails = name, record, fails
        self.calls = 0
        self.ran: set[str] = set()

    async def handle(self, request: rig.Request) -> rig.Answer:
        name = request.headers.get("idempotency-key", "?")
        self.calls += 1
        status = 500 if self.calls % 10 < self.fails else 200
        how = "drops a repeat of" if name in self.ran else "runs"
        self.ran.add(name)
        await asyncio.sleep(0.03)
        self.record.add(f"zone {self.name}", how, name, "and answers", status)
        return rig.Answer(status)


async def play(record: rig.Record, scratch: Path, stack: AsyncExitStack) -> list[str]:
    zones = [Zone("a", record, FAILS_OF_TEN), Zone("b", record, 0)]
    rows = []
    for zone in zones:
        server = await rig.HttpServer(zone.handle).start()
        stack.callback(server.stop)
        row = {"id": f"s-{zone.name}", "addr": server.address, "cell": 3, "zone": zone.name}
        rows.append(rig.ENTRY | row)
    platform = await rig.Platform(record, rows).start()
    stack.callback(platform.stop)
    told = rig.settings(categories=[CLASS])
    dispatcher = rig.Dispatcher(scratch, record, "n1", platform.port, told)
    dispatcher.config["known"] = platform.listing()
    stack.push_async_callback(dispatcher.kill)
    await dispatcher.start()
    await asyncio.sleep(1.0)

    broken = json.loads(json.dumps(told))
    if rig.TROUBLE:
        del broken["categories"][0]["group"]
    dispatcher.config["settings"] = broken
    dispatcher.write()
    dispatcher.send(rig.signal.SIGHUP)
    await asyncio.sleep(1.5)
    record.add("INFO", await dispatcher.say("INFO"))

    clients = rig.Clients(record, dispatcher.port)
    for number in range(MESSAGES):
        name = f"transfer-{number}"
        await clients.send(name, "transfer", 3, LEFT_MS, more=f",k={name}")
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(max(clients.accepted.values(), default=0.0) + 0.5 - record.now())
    if not clients.accepted or not zones[0].ran:
        raise rig.CannotRun("nothing was accepted, or nothing came to zone a")
    both = sorted(zones[0].ran & zones[1].ran)
    return [f"{name} took effect in zone a and in zone b" for name in both]


rig.main(play, HERE)
