"""A clump of payments for a bank goes out in calls with bodies of over 64 KiB, until all have failed."""

import asyncio
import sys
from contextlib import AsyncExitStack
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "second"))
import rig  # noqa: E402

HERE = Path(__file__).resolve().parent
MOST_BYTES = 65_536  # PROTOCOL: "Bodies hold at most 64 KiB"
CLUMP, BODY, LEFT_MS = 6, bytes(30_000), 24_000
GAP_S = 1.0  # between messages without the clump


class Bank:
    """Takes up to 20 messages a call, and bodies of up to 64 KiB; longer ones it answers 413, unread."""

    def __init__(self, record: rig.Record) -> None:
        self.record, self.ran = record, set[str]()
        self.too_long = 0

    async def handle(self, request: rig.Request) -> rig.Answer:
        if len(request.body) > MOST_BYTES:
            self.too_long += 1
            self.record.add("bank gets", request.target, f"with {len(request.body)} bytes and answers 413")
            return rig.Answer(413)
        if request.target != "/receive-many":
            ids = [request.headers["x-correlation-id"]]
        else:
            ids, rest = [], request.body
            while rest:
                line, _, rest = rest.partition(b"\r\n")
                name, _, size = line.split(b" ")
                ids.append(name.decode())
                rest = rest[int(size) + 2 :]
        await asyncio.sleep(0.2)
        self.ran.update(ids)
        self.record.add("bank runs", *ids, f"in a body of {len(request.body)} bytes")
        if request.target != "/receive-many":
            return rig.Answer(200)
        return rig.Answer(200, "".join(f"{name} accepted\r\n" for name in ids).encode())


async def play(record: rig.Record, scratch: Path, stack: AsyncExitStack) -> list[str]:
    bank = Bank(record)
    server = await rig.HttpServer(bank.handle).start()
    stack.callback(server.stop)
    platform = await rig.Platform(
        record, [rig.ENTRY | {"id": "s-1", "addr": server.address, "cell": 3}]
    ).start()
    stack.callback(platform.stop)
    told = rig.settings()
    told["familyInfo"] |= {"batchByKind": [20], "kindApart": [True]}
    dispatcher = rig.Dispatcher(scratch, record, "n1", platform.port, told)
    dispatcher.config["known"] = platform.listing()
    stack.push_async_callback(dispatcher.kill)
    await dispatcher.start()

    clients = rig.Clients(record, dispatcher.port)
    names = [f"pay-{number}" for number in range(CLUMP)]
    if rig.TROUBLE:
        await asyncio.gather(*(clients.send(name, "payment-order", 3, LEFT_MS, BODY) for name in names))
    else:
        for name in names:
            await clients.send(name, "payment-order", 3, LEFT_MS, BODY)
            await asyncio.sleep(GAP_S)
    await asyncio.sleep(LEFT_MS / 1000.0 + 1.0)
    if not clients.accepted:
        raise rig.CannotRun("nothing was accepted")
    broken = []
    for name in clients.accepted:
        if name not in bank.ran:
            at, result = platform.notices.get(name, (float("nan"), "nothing"))
            left = clients.accepted[name] - at
            broken.append(f"{name} was accepted and never ran; told as {result} with {left:.1f} s left")
    if broken:
        broken.append(f"{bank.too_long} calls had a body of over 64 KiB")
    return broken


rig.main(play, HERE)
