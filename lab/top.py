"""How fast the lab itself is: its clients and partners at full speed round a dispatcher that decides nothing.

That dispatcher is a few processes that answer +OK and pass each message on in one call; what they lose at a
kill is lost. The figure says from where on a measurement with the lab measures the lab.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from lab.clients import Ask, Clients
from lab.history import ACCEPTED, History
from lab.partners import Partners, Spec

ROOT = Path(__file__).parent.parent
PROCESSES = 4
OUT = 128  # messages on their way at once, by process


async def pass_on(port: int) -> None:
    """One straight dispatcher; prints its port."""
    import hiredis

    loop = asyncio.get_running_loop()

    class Call(asyncio.Protocol):
        def connection_made(self, transport):
            self.transport, self.data = transport, b""

        def data_received(self, data):
            self.data += data
            if b"\r\n\r\n" in self.data:
                self.data = b""
                idle.append(self)

    class Front(asyncio.Protocol):
        def connection_made(self, transport):
            self.transport, self.reader = transport, hiredis.Reader()

        def data_received(self, data):
            self.reader.feed(data)
            while (words := self.reader.gets()) is not False:
                self.transport.write(b"+OK\r\n")
                loop.create_task(deliver(words[2], words[4]))

    idle: list[Call] = []

    async def deliver(name: bytes, body: bytes) -> None:
        call = idle.pop() if idle else (await loop.create_connection(Call, "127.0.0.1", port))[1]
        head = b"POST /receive HTTP/1.1\r\nX-Correlation-Id: %s\r\nContent-Length: %d\r\n\r\n" % (
            name,
            len(body),
        )
        call.transport.write(head + body)

    server = await loop.create_server(Front, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


async def run(seconds: float) -> float:
    history = History()
    names = [f"p{number}" for number in range(PROCESSES)]
    many = 10_000
    spec = Spec("fast", 1, zones=("a",), slots=many, queue=many, call_ms=0.001, spread=0.0, connections=many)
    partners = await Partners([spec], names, history, 1).start()
    clients = Clients(history, 1)
    processes = []
    try:
        for name in names:
            port = partners.endpoints["fast-1"].port(name)
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "lab.top", str(port), cwd=ROOT, stdout=asyncio.subprocess.PIPE
            )
            processes.append(process)
            assert process.stdout is not None
            clients.serves(name, int(await process.stdout.readline()))
        began, handed, seen, done = history.now(), 0, 0, 0
        while history.now() - began < seconds * 1000.0:
            for event in history.events[seen:]:
                if event["what"] == "reply":
                    done += sum(end == ACCEPTED for end in event["ends"].values())
            seen = len(history.events)
            while handed - done < OUT * PROCESSES:
                clients.hand_in(Ask("note", 1, 6000.0, b"x" * 300))
                handed += 1
            await asyncio.sleep(0)
        return done / (history.now() - began) * 1000.0
    finally:
        for process in processes:
            process.kill()
            await process.wait()
        clients.stop()
        partners.stop()


def measure(seconds: float) -> float:
    """Messages a second from a client's hand-in to the partner's answer."""
    return asyncio.run(run(seconds))


if __name__ == "__main__":
    asyncio.run(pass_on(int(sys.argv[1])))
