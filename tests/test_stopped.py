"""Requests read behind a stop of the process, whose clients have timed out and closed."""

import asyncio
import signal

import pytest
from doubles import Program, run_with_program


@pytest.mark.parametrize("round_", range(5))
def test_requests_whose_clients_gave_up_while_the_process_stood_still_are_not_sent(tmp_path, round_):
    @run_with_program(Program(tmp_path))
    async def _(program):
        kept = [await program.client() for _ in range(20)]  # connections that are up
        warm = await program.client()
        warm.send(b"OUT.ADD", b"0" * 16, b"warm", b"c=note,d=6000,dest=7", b"x")  # a turn is under way
        await warm.writer.drain()
        await asyncio.sleep(0.002 * round_ / 4)
        program.process.send_signal(signal.SIGSTOP)
        for at, client in enumerate(kept):
            client.send(b"OUT.ADD", b"0" * 16, b"old%d" % at, b"c=note,d=6000,dest=7", b"x")
            await client.writer.drain()
        await asyncio.sleep(0.42)
        for client in kept:
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
