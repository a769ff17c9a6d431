"""For 6 s the platform's answers get lost. Ends of later messages are told seconds past their time."""

import asyncio
import sys
from contextlib import AsyncExitStack
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "second"))
import rig  # noqa: E402

HERE = Path(__file__).resolve().parent
LOST_FROM_S, LOST_FOR_S = 3.0, 6.0  # STANDING: "for 6 s"
SENDS_S, GAP_S, LEFT_MS = 14.0, 0.25, 1_500
DRAINING, SERVING = 3, 4  # destinations


class Proxy:
    """Passes everything on; while `losing`, nothing that comes from the platform."""

    def __init__(self, record: rig.Record, to: int) -> None:
        self.record, self.to, self.losing = record, to, False
        self.port = rig.free_port()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            back, forth = await asyncio.open_connection(rig.HOST, self.to)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.copy(reader, forth, False), self.copy(back, writer, True))

    async def copy(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, answers: bool) -> None:
        try:
            while data := await source.read(65_536):
                if answers and self.losing:
                    self.record.add("lost:", data[:60].split(b"\r\n")[0].decode("latin-1"))
                    continue
                sink.write(data)
                await sink.drain()
        except OSError:
            pass
        finally:
            if not (answers and self.losing):
                sink.close()


async def play(record: rig.Record, scratch: Path, stack: AsyncExitStack) -> list[str]:
    async def works(request: rig.Request) -> rig.Answer:
        record.add("partner runs", request.headers.get("x-correlation-id"))
        delivered.add(request.headers.get("x-correlation-id", ""))
        return rig.Answer(200)

    delivered: set[str] = set()
    partner = await rig.HttpServer(works).start()
    stack.callback(partner.stop)
    rows = [rig.ENTRY | {"id": "s-1", "addr": partner.address, "cell": SERVING}]
    rows.append(rig.ENTRY | {"id": "s-2", "addr": f"{rig.HOST}:1", "cell": DRAINING, "state": "DRAINING"})
    platform = await rig.Platform(record, rows).start()
    stack.callback(platform.stop)
    proxy = Proxy(record, platform.port)
    server = await asyncio.start_server(proxy.serve, rig.HOST, proxy.port)
    stack.callback(server.close)
    dispatcher = rig.Dispatcher(scratch, record, "n1", proxy.port, rig.settings())
    dispatcher.config["known"] = platform.listing()
    stack.push_async_callback(dispatcher.kill)
    await dispatcher.start()

    clients = rig.Clients(record, dispatcher.port)
    began, over_at, number = record.now(), 0.0, 0
    while (passed := record.now() - began) < SENDS_S:
        losing = rig.TROUBLE and LOST_FROM_S <= passed < LOST_FROM_S + LOST_FOR_S
        if losing != proxy.losing:
            proxy.losing = losing
            over_at = record.add("answers of the platform get lost" if losing else "answers come again")
        cls = ("balance-update", "payment-order")[number % 2]
        await clients.send(f"m-{number}", cls, (DRAINING, SERVING)[number % 4 == 3], LEFT_MS)
        number += 1
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(12.0)
    broken = []
    for name, due in clients.accepted.items():
        if name in delivered or due - LEFT_MS / 1000.0 < over_at:
            continue  # only what came in behind the disruption is judged
        at, result = platform.notices.get(name, (float("inf"), "nothing"))
        if at > due + rig.HELD:
            broken.append(f"{name} was accepted; its end ({result}) came {at - due:.2f} s past its time")
    if len(clients.accepted) < 20 or not platform.notices:
        raise rig.CannotRun("too little was accepted, or no notice came at all")
    return broken


rig.main(play, HERE)
