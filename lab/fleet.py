"""Real dispatchers with membership on, with nothing round them but the ways between them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from lab.member_ways import POLL_S, SECRET, Watch, Ways

ROOT = Path(__file__).parent.parent


class MemberFleet:
    """So many dispatchers, each a process of the program. `settings` is the platform's settings object."""

    def __init__(
        self,
        folder: Path,
        size: int,
        settings: dict[str, Any],
        seed: int = 1,
        buildings: int = 1,
        forget_s: float = 600.0,
        discovery: str = "127.0.0.1:9",
        known: dict[str, Any] | None = None,
        member: bool = True,
        control: bool = False,
        floor: float | None = None,
        every_s: float = POLL_S,
    ) -> None:
        self.folder, self.settings, self.seed, self.forget_s = folder, settings, seed, forget_s
        self.discovery = discovery
        self.known = known or {"version": 1, "full": True, "servers": []}
        self.member, self.control = member, control
        self.floor = floor  # of budgets that are shared, where they are
        self.names = [f"d{number}" for number in range(size)]
        self.building = {name: "ab"[n % buildings] for n, name in enumerate(self.names)}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.claims: dict[str, str] = {}  # the member that a process says it is, where that is another
        self.logs: dict[str, list[str]] = {name: [] for name in self.names}
        self.ill: dict[str, dict[str, Any]] = {}  # `lab.ill`, by name, from the next start
        self.secrets: dict[str, bytes] = {}  # of members of another fleet
        self.controls: dict[str, int] = {}
        self.ways = Ways(seed)
        self.watch = Watch(self.ways, lambda: self.now, every_s)
        self.history = self.watch.history
        self.tasks: list[asyncio.Task[None]] = []
        self.began = time.monotonic()

    @property
    def now(self) -> float:
        return time.monotonic() - self.began

    async def __aenter__(self) -> MemberFleet:
        (self.folder / "secret").write_bytes(SECRET)
        for name in self.names:
            await self.ways.add(name)
        await asyncio.gather(*(self.start(name) for name in self.names))
        self.tasks.append(asyncio.get_running_loop().create_task(self.watch.run()))
        return self

    async def __aexit__(self, *error: object) -> None:
        for task in self.tasks:
            task.cancel()
        for name in self.names:
            process = self.processes.get(name)
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        self.ways.stop()
        self.watch.close()

    def toml(self, name: str) -> str:
        if not self.member:
            return ""
        more = f'name = "{self.claims.get(name, name)}"\nforget_s = {self.forget_s}\n'
        secret = self.folder / "secret"
        if name in self.secrets:
            secret = self.folder / f"{name}.secret"
            secret.write_bytes(self.secrets[name])
        words = (str(secret), len(self.names), self.building[name], more)
        shared = f"[sharing]\nfloor = {self.floor}\n" if self.floor is not None else ""
        return self.ways.toml(name, *words) + shared

    async def start(self, name: str) -> None:
        """Start its process, with the folder that it had."""
        state, toml, config = (self.folder / f"{name}{end}" for end in ("", ".toml", ".json"))
        state.mkdir(exist_ok=True)
        toml.write_text(self.toml(name))
        told = {
            "name": name,
            "listen": "127.0.0.1:0",
            "discovery": self.discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 3},
            "known": self.known,
            "settings": self.settings,
        }
        if self.control:
            told["control"] = "127.0.0.1:0"
        config.write_text(json.dumps(told))
        env = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")}
        env |= {"ROUTER_CONFIG": str(config), "ROUTER_STATE": str(state), "RUSHHITCH_TOML": str(toml)}
        module = "rushhitch"
        if name in self.ill:
            module, env["RUSHHITCH_LAB_ILL"] = "lab.ill", str(self.folder / f"{name}.ill")
            self.falls_ill(name, **self.ill[name])
        self.processes[name] = process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE
        )
        self.watch.began(name)
        while line := (await process.stderr.readline()).decode():
            self.logs[name].append(line)
            if "operators are answered" in line:
                self.controls[name] = int(line.rsplit(":", 1)[1])
            if " is ready on " in line:
                break
        else:
            raise AssertionError(f"{name} did not start: {self.logs[name][-5:]}")
        self.tasks.append(asyncio.get_running_loop().create_task(self.follow(name, process)))

    async def follow(self, name: str, process: asyncio.subprocess.Process) -> None:
        while line := (await process.stderr.readline()).decode():
            self.logs[name].append(line)

    def falls_ill(self, name: str, **told: Any) -> None:
        """From now on, and well with nothing told; of one that was in `ill` at its start."""
        fresh = self.folder / f"{name}.ill.new"
        fresh.write_text(json.dumps(told))
        fresh.rename(self.folder / f"{name}.ill")

    async def kill(self, name: str) -> None:
        self.processes[name].kill()
        await self.processes[name].wait()
        self.watch.ended(name, killed=True)

    async def leave(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGTERM)
        await self.processes[name].wait()
        self.watch.ended(name, killed=False)

    async def stand_still(self, name: str, seconds: float) -> None:
        """SIGSTOP, and SIGCONT after so long."""
        process = self.processes[name]
        self.watch.stands_still(name, seconds)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send_signal(signal.SIGCONT)

    def up(self) -> list[str]:
        return [name for name in self.names if self.processes[name].returncode is None]

    # What they hold

    @property
    def reports(self) -> dict[str, dict[str, Any]]:
        return self.watch.reports

    def states(self, by: str) -> dict[str, str]:
        return self.watch.states(by)

    def all_there(self) -> bool:
        return self.watch.alike()

    async def until(self, true: Callable[[], bool], seconds: float = 10.0) -> float:
        """Wait for it; the seconds that it took. An `AssertionError` where it does not come."""
        begun = self.now
        while not true():
            if self.now - begun > seconds:
                held = {name: self.states(name) for name in self.up()}
                raise AssertionError(f"it did not come to that within {seconds} s: {held}")
            await asyncio.sleep(0.03)
        return self.now - begun
