"""An upgrade while clients write bodies in pieces: what is in a body is taken for requests of its own."""

import asyncio
import random
import sys
from contextlib import AsyncExitStack
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "second"))
import rig  # noqa: E402

HERE = Path(__file__).resolve().parent
CLIENTS, PIECES, GAP_S, LEFT_MS = 16, 250, 0.005, 20_000  # some 1.5 s to write: DAYS has 2 s
TERM_AFTER_S = 0.6  # from the first piece
DISPATCHERS = 5  # of the deployment: each is upgraded once, one behind the other, until one breaks the rule
DEST = 3
TOML = """
[process]
loop = "uvloop"
"""


def command(name: str, body: bytes) -> list[bytes]:
    """An OUT.ADD, as the bytes before its body, and the body with its end."""
    words = [
        b"OUT.ADD",
        b"0000000000000000",
        name.encode(),
        f"c=payment-order,d={LEFT_MS},dest={DEST}".encode(),
    ]
    head = b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)
    return [head + b"$%d\r\n" % len(body), body + b"\r\n"]


async def upgrade(record: rig.Record, scratch: Path, stack: AsyncExitStack, turn: int) -> list[str]:
    """One dispatcher, with its partner and its clients."""
    chance, ran = random.Random(turn), dict[str, bytes]()

    async def works(request: rig.Request) -> rig.Answer:
        name = request.headers["x-correlation-id"]
        record.add("partner runs", name, f"{len(request.body)} bytes")
        ran[name] = request.body
        return rig.Answer(200)

    partner = await rig.HttpServer(works).start()
    stack.callback(partner.stop)
    rows = [rig.ENTRY | {"id": "s-1", "addr": partner.address, "cell": DEST}]
    platform = await rig.Platform(record, rows).start()
    stack.callback(platform.stop)
    old = rig.Dispatcher(scratch, record, f"n{turn}", platform.port, rig.settings())
    old.config["known"] = platform.listing()
    old.toml = TOML
    stack.push_async_callback(old.kill)
    await old.start()
    if rig.TROUBLE:
        new = old.successor()
        stack.push_async_callback(new.kill)
        await new.start()

    sent: dict[str, bytes] = {}
    accepted: list[str] = []

    async def client(number: int) -> None:
        """Its body is a list of commands, as text; it writes one at a time."""
        name = f"list-{turn}-{number}"
        lines = [b"".join(command(f"quoted-{turn}-{number}-{n}", b"12.50")) for n in range(PIECES)]
        sent[name] = b"".join(lines)
        head, _ = command(name, sent[name])
        await asyncio.sleep(GAP_S * number / CLIENTS)
        reader, writer = await asyncio.open_connection(rig.HOST, old.port)
        try:
            record.add("client writes", name, f"{len(sent[name])} bytes, in {PIECES} pieces")
            writer.write(head)
            for line in [*lines, b"\r\n"]:
                writer.write(line)
                await asyncio.sleep(GAP_S * chance.uniform(0.5, 1.5))
            async with asyncio.timeout(2.0):
                answer = (await reader.readline()).decode().strip()
            record.add("client hears", name, answer or "its end")
            if answer.startswith("+"):
                accepted.append(name)
        except (OSError, TimeoutError) as error:
            record.add("client hears", name, repr(error))
        finally:
            writer.close()

    tasks = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(TERM_AFTER_S)
    if rig.TROUBLE:
        old.send(rig.signal.SIGTERM)
    await asyncio.gather(*tasks)
    await asyncio.sleep(3.0)
    if not ran:
        raise rig.CannotRun("nothing came to the partner")
    nobodys = sorted(name for name in ran if name not in sent)
    other = sorted(name for name, body in ran.items() if name in sent and body != sent[name])
    broken = [f"{name} ran at the partner; no client handed it in" for name in nobodys]
    broken += [f"{name} ran with another body than its client sent" for name in other]
    never = [name for name in accepted if name not in ran and name not in platform.notices]
    if broken and never:
        record.add("accepted, and neither run nor ended yet:", *never)
    return broken


async def play(record: rig.Record, scratch: Path, stack: AsyncExitStack) -> list[str]:
    for turn in range(1, DISPATCHERS + 1):
        async with AsyncExitStack() as own:
            if broken := await upgrade(record, scratch, own, turn):
                return broken
    return []


rig.main(play, HERE)
