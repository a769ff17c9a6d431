"""No effect of a request follows its end: kills behind answers, half-closed clients, the exit."""

import asyncio
import signal

from doubles import ROOT, Program, playing

CLIENTS = 18
QUIET_S = 1.0  # a restarted process sends what it resumes well within this

KILL_BEHIND_ANSWER = """import os, signal, socket

plain, left = socket.socket.send, [{nth}]


def send(self, data, *flags):
    sent = plain(self, data, *flags)
    if bytes(data).startswith(b"+OK"):
        left[0] -= 1
        if not left[0]:
            os.kill(os.getpid(), signal.SIGKILL)
    return sent


socket.socket.send = send
"""


def with_shim(folder, monkeypatch, source):
    """Run the program with this module loaded into it at its start."""
    (folder / "sitecustomize.py").write_text(source)
    monkeypatch.setenv("PYTHONPATH", f"{folder}:{ROOT}")


def without_shim(folder):
    (folder / "sitecustomize.py").unlink()


async def all_at_once(program, clients, cls="pay"):
    """Each client hands in one message; all are read in the same tick, since the process stands still."""
    program.process.send_signal(signal.SIGSTOP)
    for number, client in enumerate(clients):
        client.send(b"OUT.ADD", b"0" * 16, b"m%d" % number, f"c={cls},d=6000,dest=7".encode(), b"hello")
    await asyncio.sleep(0.05)
    program.process.send_signal(signal.SIGCONT)


async def answer_of(client):
    """The client's answer; nothing where its connection ends without one."""
    try:
        return await client.line()
    except ConnectionError:
        return b""


async def sent_within(program, seconds):
    """The ids of all messages that reach the partner meanwhile; each call is answered."""
    ids = []
    try:
        async with asyncio.timeout(seconds):
            while True:
                request = await program.partner.next()
                ids.append(request.headers["x-correlation-id"].encode())
                request.answer(200)
    except TimeoutError:
        return ids


def test_after_a_kill_behind_an_answer_only_what_was_answered_goes_out(tmp_path, monkeypatch):
    # Guards against one record for a whole tick: clients that never had an answer would be served by the
    # next process, and have handed their messages in anew by then.
    for nth in (1, 2, 9, 17):
        folder = tmp_path / str(nth)
        folder.mkdir()
        with_shim(folder, monkeypatch, KILL_BEHIND_ANSWER.format(nth=nth))

        @playing(Program(folder), started=False)
        async def _(program, folder=folder, nth=nth):
            await program.start()
            clients = [await program.client() for _ in range(CLIENTS)]
            await all_at_once(program, clients)
            answers = [await answer_of(client) for client in clients]
            await program.process.wait()
            heard = {b"m%d" % number for number, answer in enumerate(answers) if answer == b"+OK\r\n"}
            assert len(heard) == nth
            without_shim(folder)
            await program.start()
            assert set(await sent_within(program, QUIET_S)) == heard


def test_a_client_that_ends_its_sending_after_its_request_gets_an_answer(tmp_path):
    @playing(Program(tmp_path))
    async def _(program):
        clients = [await program.client() for _ in range(CLIENTS)]
        await all_at_once(program, clients)
        for client in clients:
            client.writer.write_eof()
        answers = [await answer_of(client) for client in clients]
        taken = {b"m%d" % number for number, answer in enumerate(answers) if answer == b"+OK\r\n"}
        assert all(answer.startswith((b"+OK", b"-BUSY")) for answer in answers)
        assert set(await sent_within(program, QUIET_S)) == taken


def test_a_request_that_comes_whole_in_the_last_moment_before_the_exit_gets_an_answer(tmp_path):
    # Each client sends half a request before its connection could be closed between requests, and the rest
    # at its own moment around the exit. A reset tells it that its request was not read; an end does not.
    @playing(Program(tmp_path))
    async def _(program):
        clients = [await program.client() for _ in range(60)]
        head = b"*5\r\n$7\r\nOUT.ADD\r\n$2\r\n00\r\n"
        started = asyncio.get_running_loop().time()
        program.process.send_signal(signal.SIGTERM)

        async def one(number, client):
            await asyncio.sleep(started + 1.8 - asyncio.get_running_loop().time())
            client.writer.write(head)
            await asyncio.sleep(started + 3.25 + number * 0.004 - asyncio.get_running_loop().time())
            name = b"m%d" % number
            rest = b"$%d\r\n%s\r\n$19\r\nc=pay,d=6000,dest=7\r\n$2\r\nhi\r\n" % (len(name), name)
            try:
                client.writer.write(rest)
                return await client.line()
            except ConnectionError:
                return b"reset"

        answers = await asyncio.gather(*(one(number, client) for number, client in enumerate(clients)))
        await program.process.wait()
        assert not [number for number, answer in enumerate(answers) if answer == b""]
