"""Real dispatchers as processes of their own: started, killed, stopped, started again on the same folder."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import select
import signal
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

from lab.history import History

ROOT = Path(__file__).parent.parent
READY_S = 30.0  # a start that takes longer has failed
BEHIND_S = 2.0  # for so long the answers are waited for behind which it is killed
TERM_S, AGAIN_S = (
    3.7,
    0.6,
)  # from SIGTERM to SIGKILL, and from there to the next start, as the platform has it


SignalSeries = list[tuple[float, int]]  # seconds behind the one before, and the signal


IGNORING_RELOADS = ("/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh")  # as the deploy file's command does


def send_signal(process: asyncio.subprocess.Process, number: int) -> None:
    """Send it, if the process has not been seen to end. Not by its own `send_signal`, which takes the exit
    code of one that has just ended away from the event loop."""
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, number)


class EndTime:
    """When a process ended, by the clock that is given; `at` is infinite until then. A thread of its own
    waits for it, since the event loop may be late."""

    def __init__(self, pid: int, clock: Callable[[], float]) -> None:
        self.clock, self.at = clock, math.inf
        try:
            descriptor = os.pidfd_open(pid)
        except ProcessLookupError:  # it has ended and been waited for
            self.at = clock()
            return
        threading.Thread(target=self.wait, args=(descriptor,), daemon=True).start()

    def wait(self, descriptor: int) -> None:
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        poll.poll()
        self.at = self.clock()
        os.close(descriptor)


class Dispatcher:
    """One dispatcher's process, its folder and its configuration."""

    def __init__(self, name: str, folder: Path, config: dict[str, Any], history: History, toml: Path) -> None:
        self.name, self.folder, self.config, self.history, self.toml = name, folder, config, history, toml
        self.state = folder / "state"
        self.state.mkdir(parents=True, exist_ok=True)
        self.process: asyncio.subprocess.Process | None = None
        self.reading: asyncio.Task[float] | None = None  # gives when it was seen to end
        self.port = self.event_port = self.control = 0
        self.ready = asyncio.Event()
        self.room = folder / "room"  # holds the bytes that its disk has, where the scenario fills it
        self.clock = folder / "clock"  # holds the seconds by which its wall clock is stepped, if any
        self.behind = folder / "kill_behind"  # holds which of its answers it is killed behind, if any
        self.kill_at = folder / "kill_at"  # holds at which of its system calls it is killed, if any
        self.answers_left = 0  # acceptances until it is killed from outside
        self.dies_behind = False  # a fault of the scenario does that
        self.dies_at_calls = False  # likewise at its system calls
        self.steps_clock = False  # a fault of the scenario does
        self.log = (folder / "log").open("ab")
        self.turn = asyncio.Lock()  # held by whoever stops it and starts it again
        self.words: tuple[str, ...] = ()  # of its command line
        self.profile: Path | None = None  # where it tells, at its end, where its CPU time went
        self.crashed = False
        self.serving: asyncio.subprocess.Process | None = None  # the newest that was ready
        self.wanted = False
        self.known: Callable[[str], dict[str, Any]] = lambda name: {"version": 0, "servers": []}
        self.serves: Callable[..., None] = lambda name, port, event_port=0: None

    async def start(self) -> None:
        """Start it and wait until it serves."""
        await self.spawn()
        async with asyncio.timeout(READY_S):
            await self.ready.wait()
        if not self.port:
            self.log.flush()
            log = Path(self.log.name).read_text(errors="replace")[-600:]
            raise RuntimeError(f"{self.name} did not start; its log ends: {log}")
        self.history.add("ready", dispatcher=self.name)
        self.serves(self.name, self.port, self.event_port)

    async def spawn(self) -> None:
        self.config["known"] = self.known(self.name)
        path = self.write_config()
        env = {
            key: value for key, value in os.environ.items() if not key.startswith(("ROUTER_", "RUSHHITCH_"))
        }
        env |= {"ROUTER_CONFIG": str(path), "ROUTER_STATE": str(self.state), "RUSHHITCH_TOML": str(self.toml)}
        env["RUSHHITCH_LAB_ROOM"] = str(self.room)
        env["RUSHHITCH_LAB_KILL_AT"] = str(self.kill_at) if self.dies_at_calls else ""
        if self.dies_behind:
            env["RUSHHITCH_LAB_KILL_BEHIND"] = str(self.behind)
        if self.steps_clock:
            env["RUSHHITCH_LAB_CLOCK"] = str(self.clock)
        if self.profile is not None:
            env["RUSHHITCH_LAB_PROFILE"] = str(self.profile)
        self.ready.clear()
        self.wanted = True
        self.process = await asyncio.create_subprocess_exec(
            *IGNORING_RELOADS,
            sys.executable,
            "-m",
            "lab.dispatcher",
            *self.words,
            cwd=ROOT,
            env=env,
            stderr=asyncio.subprocess.PIPE,
        )
        end_time = EndTime(self.process.pid, self.history.now)
        self.reading = asyncio.get_running_loop().create_task(self.read(self.process, end_time))

    async def upgrade(self) -> None:
        """Start another beside it, wait for its yes, tell the old one to end: to clients, one dispatcher."""
        old, reading = self.process, self.reading
        if old is None or old.returncode is not None:
            return
        self.control = 0
        await self.spawn()
        async with asyncio.timeout(READY_S):
            while not self.control or await self.say("PING") != "ACK":
                await asyncio.sleep(0.02)
            send_signal(old, signal.SIGTERM)
            await self.ready.wait()
        self.history.add("upgraded", dispatcher=self.name)
        try:
            async with asyncio.timeout(TERM_S):
                code = await old.wait()
        except TimeoutError:
            send_signal(old, signal.SIGKILL)
            code = await old.wait() and 0
        self.crashed |= code != 0
        if reading is not None:
            await reading

    async def say(self, line: str) -> str:
        """A call to the control address; its answer's first line, or nothing."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.control)
        except OSError:
            return ""
        try:
            writer.write(line.encode() + b"\n")
            return (await reader.readline()).decode().strip()
        except OSError:
            return ""
        finally:
            writer.close()

    async def read(self, process: asyncio.subprocess.Process, end_time: EndTime) -> float:
        """Follow its log to the end; when it ended, by the history's clock."""
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.log.write(line)
            if b"CloudEvents are taken on " in line:
                self.event_port = int(line.rpartition(b":")[2])
            if b"operators are answered on " in line:
                self.control = int(line.rpartition(b":")[2])
            if b" is ready on " in line:
                self.port = int(line.split(b" is ready on ")[1].split(b",")[0].rpartition(b":")[2])
                self.serving = process
                self.ready.set()
        log_ended_at = self.history.now()
        code = await process.wait()
        died_at = min(log_ended_at, end_time.at)
        if process is self.process:
            self.history.add("ended", at=died_at, dispatcher=self.name, kill=code == -signal.SIGKILL)
            self.serves(self.name, None)
            if self.wanted and code not in (0,):
                self.crashed = True
            self.port = 0
            self.ready.set()
        return died_at

    async def kill_behind(self, nth: int) -> None:
        """SIGKILL in the step of its n-th answer from now on that accepts a message, or after a while."""
        if self.process is None or self.process.returncode is not None:
            return
        self.wanted = False
        self.behind.write_text(str(nth))
        try:
            async with asyncio.timeout(BEHIND_S):
                await self.process.wait()
        except TimeoutError:
            await self.kill()
        self.behind.unlink(missing_ok=True)
        if self.reading is not None:
            await self.reading

    async def kill_outside(self, nth: int) -> None:
        """SIGKILL from this process as the n-th acceptance from now on is read, or after a while."""
        if self.process is None or self.process.returncode is not None:
            return
        self.wanted = False
        self.answers_left = nth
        await self.ended_by(BEHIND_S)
        self.answers_left = 0

    def taken(self) -> None:
        """A client reads that its message is accepted."""
        self.answers_left -= 1
        if self.answers_left == 0 and self.process is not None and self.process.returncode is None:
            self.history.add("stopping", dispatcher=self.name)
            send_signal(self.process, signal.SIGKILL)

    async def kill(self) -> None:
        """SIGKILL."""
        if self.process is not None and self.process.returncode is None:
            self.wanted = False
            self.history.add("stopping", dispatcher=self.name)
            send_signal(self.process, signal.SIGKILL)
            await self.ended_by(READY_S)

    async def ended_by(self, seconds: float) -> None:
        """Until the process has ended; it is killed where that takes longer."""
        assert self.process is not None, "it was started"
        try:
            async with asyncio.timeout(seconds):
                await self.process.wait()
        except TimeoutError:
            send_signal(self.process, signal.SIGKILL)
            await self.process.wait()
        if self.reading is not None:
            await self.reading

    async def restart(self) -> None:
        """A planned restart."""
        await self.signals([(0.0, signal.SIGTERM)], [])

    async def signals(self, series: SignalSeries, at_start: SignalSeries) -> None:
        """Signals in series, each so many seconds behind the one before. With SIGTERM among them it is a
        planned restart: SIGKILL at the earliest moment, and then signals at a start that is not ready."""
        if self.process is None or self.process.returncode is not None:
            return
        self.wanted = all(number != signal.SIGTERM for _, number in series)
        ends_at = math.inf
        loop = asyncio.get_running_loop()
        for gap_s, number in series:
            await asyncio.sleep(gap_s)
            if number == signal.SIGTERM and ends_at == math.inf:
                ends_at = loop.time() + TERM_S
                self.history.add("stopping", dispatcher=self.name)
            send_signal(self.process, number)
        if ends_at == math.inf:
            return
        await self.ended_by(max(ends_at - loop.time(), 0.0))
        if at_start:
            await asyncio.sleep(AGAIN_S)
            await self.disturbed_start(at_start)
        await asyncio.sleep(AGAIN_S)
        await self.start()

    async def disturbed_start(self, series: SignalSeries) -> None:
        """A start that is told to end, or to read its configuration again, before it serves."""
        await self.spawn()
        self.wanted = False
        assert self.process is not None, "it was spawned"
        for gap_s, number in series:
            await asyncio.sleep(gap_s)
            send_signal(self.process, number)
        send_signal(self.process, signal.SIGTERM)
        await self.ended_by(TERM_S)

    def reload(self, **changes: Any) -> None:
        """A new configuration file, in the place of the old one at once, and SIGHUP."""
        self.config |= changes
        self.write_config()
        self.send(signal.SIGHUP)

    def write_config(self) -> Path:
        """A process that starts just now reads either the old file or the new one."""
        path, new = self.folder / "config.json", self.folder / "config.json.new"
        new.write_text(json.dumps(self.config))
        new.replace(path)
        return path

    def send(self, number: int) -> None:
        """To the one that serves, as long as it lives: one that is starting beside it may not listen yet."""
        serving = self.serving if self.serving and self.serving.returncode is None else None
        process = serving or self.process
        if process is not None:
            send_signal(process, number)

    def rss_mb(self) -> float:
        """Resident memory, in megabytes."""
        try:
            text = Path(f"/proc/{self.process.pid}/statm").read_text() if self.process else "0 0"
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def cpu_s(self) -> float:
        """CPU time so far, in seconds."""
        return cpu_of(self.process.pid) if self.process else 0.0


class PlannerProcess:
    """One planner's process."""

    def __init__(self, name: str, folder: Path, toml: Path) -> None:
        self.name, self.toml = name, toml
        folder.mkdir(parents=True, exist_ok=True)
        self.log = (folder / "log").open("ab")
        self.process: asyncio.subprocess.Process | None = None
        self.reading: asyncio.Task[None] | None = None
        self.cpu_before = 0.0

    async def start(self) -> None:
        """Start it and wait until it listens."""
        env = {key: value for key, value in os.environ.items() if not key.startswith("RUSHHITCH_")}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "rushhitch",
            "plan",
            self.name,
            cwd=ROOT,
            env=env | {"RUSHHITCH_TOML": str(self.toml)},
            stderr=asyncio.subprocess.PIPE,
        )
        assert self.process.stderr is not None
        async with asyncio.timeout(READY_S):
            while b" is ready on " not in (line := await self.process.stderr.readline()):
                self.log.write(line)
                if not line:
                    raise RuntimeError(f"planner {self.name} did not start: see {self.log.name}")
        self.reading = asyncio.get_running_loop().create_task(self.read(self.process))

    async def read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.log.write(line)

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.cpu_before += cpu_of(self.process.pid)
            send_signal(self.process, signal.SIGKILL)
            await self.process.wait()
            if self.reading is not None:
                await self.reading

    def send(self, number: int) -> None:
        if self.process is not None:
            send_signal(self.process, number)

    def cpu_s(self) -> float:
        return self.cpu_before + (cpu_of(self.process.pid) if self.process else 0.0)


def cpu_of(pid: int) -> float:
    """CPU time of a process so far, in seconds; 0 if it is gone."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return sum(map(int, fields[11:13])) / os.sysconf("SC_CLK_TCK")
