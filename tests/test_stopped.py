"""Requests that are read after a pause (SIGSTOP), when their clients have timed out and closed."""

import asyncio
import signal

import pytest
from doubles import Program, run_with_program


@pytest.mark.parametrize("step", range(5))
def test_requests_whose_clients_gave_up_while_the_process_was_stopped_are_not_sent(tmp_path, step):
    @run_with_program(Program(tmp_path))
    async def _(program):
        clients = [await program.client() for _ in range(20)]  # established connections
        warm = await program.client()
        warm.send(b"OUT.ADD", b"0" * 16, b"warm", b"c=note,d=6000,dest=7", b"x")  # a batch is being processed
        await warm.writer.drain()
        await asyncio.sleep(0.002 * step / 4)
        program.process.send_signal(signal.SIGSTOP)
        for number, client in enumerate(clients):
            client.send(b"OUT.ADD", b"0" * 16, b"old%d" % number, b"c=note,d=6000,dest=7", b"x")
            await client.writer.drain()
        await asyncio.sleep(0.42)
        for client in clients:
            client.writer.transport.abort()
        await asyncio.sleep(0.1)
        program.process.send_signal(signal.SIGCONT)
        seen = []
        try:
            async with asyncio.timeout(1.5):
                while True:
                    request = await program.partner.next()
                    seen.append(request.headers["x-correlation-id"])
                    request.answer(200)
        except TimeoutError:
            pass
        assert [name for name in seen if name != "warm"] == [], f"{len(seen) - 1} of 20"
