"""Pytest plugin: tests listed in `KNOWN-RED.txt` are expected to fail, and no others.

Each line is `test | cause | issue`, with the pytest id of the test (`tests/test_x.py::test_y`); at most
`MAX_LISTED` are allowed. A listed test is still run and has to fail: a run of the whole suite fails if one
passes, is skipped or does not exist, so that the list stays current. One whose cause begins with `sometimes:`
fails now and then and is not traced: it may pass as well. A missing or empty file lists nothing.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"  # in the root folder
SOMETIMES = "sometimes:"
MAX_LISTED = 3  # with more, one has to be fixed first


class KnownFailure(NamedTuple):
    test: str
    cause: str
    issue: str

    @property
    def sometimes(self) -> bool:
        """Whether the test may pass as well."""
        return self.cause.startswith(SOMETIMES)


def read(path: Path) -> dict[str, KnownFailure]:
    """Parse the list into entries by test id. Raises `pytest.UsageError` with the line and the remedy."""
    lines = path.read_text().splitlines() if path.exists() else []
    listed: dict[str, KnownFailure] = {}
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        entry = (
            KnownFailure(*parts) if len(parts := [part.strip() for part in line.split("|")]) == 3 else None
        )
        if entry is None or not all(entry):
            raise pytest.UsageError(f"{FILE}, line {number}: write 'test | cause | issue': {line!r}")
        if entry.test in listed:
            raise pytest.UsageError(f"{FILE}, line {number}: {entry.test} stands there twice; drop one")
        listed[entry.test] = entry
    if len(listed) > MAX_LISTED:
        raise pytest.UsageError(f"{FILE} lists {len(listed)} tests, {MAX_LISTED} at most: mend one first")
    return listed


class KnownRed:
    """Marks the listed tests as expected failures and reports on them at the end of the run."""

    def __init__(self, listed: dict[str, KnownFailure], full_run: bool) -> None:
        self.listed, self.full_run = listed, full_run  # `full_run`: of the whole suite
        self.failed: set[str] = set()
        self.ran: set[str] = set()

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        for item in items:
            if entry := self.listed.get(item.nodeid):
                reason = f"{entry.cause} ({entry.issue})"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=not entry.sometimes))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.nodeid in self.listed and hasattr(report, "wasxfail"):
            self.ran.add(report.nodeid)
            if report.skipped:
                self.failed.add(report.nodeid)

    def stale(self) -> list[str]:
        """Listed tests that did not fail, in a run of the whole suite."""
        if not self.full_run:
            return []
        passing = (test for test in self.listed if test not in self.failed)
        return [test for test in passing if not self.listed[test].sometimes or test not in self.ran]

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        if self.stale() and session.exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        if not self.listed:
            return
        terminalreporter.section(FILE)
        for test in self.listed:
            terminalreporter.write_line(f"known red: {' | '.join(self.listed[test])}")
        for test in self.stale():
            terminalreporter.write_line(f"not red: {test}: no such test, or it does not fail: drop its line")


def pytest_configure(config: pytest.Config) -> None:
    option = config.option
    selected = config.args_source != pytest.Config.ArgsSource.TESTPATHS or option.keyword or option.markexpr
    worker = hasattr(config, "workerinput")  # only the main process judges the run
    config.pluginmanager.register(KnownRed(read(config.rootpath / FILE), not selected and not worker))
