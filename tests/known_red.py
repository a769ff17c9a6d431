"""Passes over the tests that `KNOWN-RED.txt` lists, and over no others: a plugin for pytest.

A line of the list is `test | cause | issue`, the test by its pytest id (`tests/test_x.py::test_y`). At most
`MOST` may stand there. A listed test is still run, and has to fail: a run of the whole suite fails where one
passes, is skipped or does not exist, so that the list cannot rot. No file, or an empty one: no exceptions.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"  # at the root
MOST = 3  # more faults than these are mended first


class Red(NamedTuple):
    test: str
    cause: str
    issue: str


def read(path: Path) -> dict[str, Red]:
    """The tests of the list, by id. Raises `pytest.UsageError` with the line and the remedy."""
    lines = path.read_text().splitlines() if path.exists() else []
    listed: dict[str, Red] = {}
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        red = Red(*parts) if len(parts := [part.strip() for part in line.split("|")]) == 3 else None
        if red is None or not all(red):
            raise pytest.UsageError(f"{FILE}, line {number}: write 'test | cause | issue': {line!r}")
        if red.test in listed:
            raise pytest.UsageError(f"{FILE}, line {number}: {red.test} stands there twice; drop one")
        listed[red.test] = red
    if len(listed) > MOST:
        raise pytest.UsageError(f"{FILE} lists {len(listed)} tests, {MOST} at most: mend one first")
    return listed


class KnownRed:
    """Marks what is listed, sees how it ends, and tells of it at the end of the run."""

    def __init__(self, listed: dict[str, Red], whole: bool) -> None:
        self.listed, self.whole = listed, whole  # `whole`: the run is of the whole suite
        self.failed: set[str] = set()

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        for item in items:
            if red := self.listed.get(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=f"{red.cause} ({red.issue})", strict=True))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.nodeid in self.listed and report.skipped and hasattr(report, "wasxfail"):
            self.failed.add(report.nodeid)

    def rotten(self) -> list[str]:
        """What is listed and did not fail, in a run of the whole suite."""
        return [test for test in self.listed if test not in self.failed] if self.whole else []

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        if self.rotten() and session.exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        if not self.listed:
            return
        terminalreporter.section(FILE)
        for test in self.listed:
            terminalreporter.write_line(f"known red: {' | '.join(self.listed[test])}")
        for test in self.rotten():
            terminalreporter.write_line(f"not red: {test}: no such test, or it does not fail: drop its line")


def pytest_configure(config: pytest.Config) -> None:
    option = config.option
    picked = config.args_source != pytest.Config.ArgsSource.TESTPATHS or option.keyword or option.markexpr
    worker = hasattr(config, "workerinput")  # the run's own process is the one that judges
    config.pluginmanager.register(KnownRed(read(config.rootpath / FILE), not picked and not worker))
