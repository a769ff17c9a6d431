import fcntl
import sys
from pathlib import Path

import pytest
from hypothesis import settings

sys.path.insert(0, str(Path(__file__).parent))
pytest_plugins = ["known_red", "pytester"]

# The same examples each time, and no deadline: a busy machine is slow.
settings.register_profile("rushhitch", derandomize=True, deadline=None)
settings.load_profile("rushhitch")


LONG = (  # files of tests that start processes, or take seconds: they begin first, so that the end is short
    "test_lab_run.py",
    "test_lab_soak.py",
    "test_kill_points.py",
    "test_membership_cases.py",
    "test_membership_faults.py",
    "test_membership_processes.py",
    "test_sharing_processes.py",
    "test_clients_page.py",
    "test_journal_crash.py",
    "test_fleet.py",
)


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config, items):
    """The long ones first, and neighbours to different workers, so that they are shared out. Those marked
    `alone` come last."""
    workers = getattr(config, "workerinput", {}).get("workercount", 1)
    long_first = sorted(items, key=lambda item: item.path.name not in LONG)
    spread = [item for first in range(workers) for item in long_first[first::workers]]
    items[:] = sorted(spread, key=lambda item: item.get_closest_marker("alone") is not None)


@pytest.fixture(autouse=True)
def cores(request, tmp_path_factory):
    """A test marked `alone` waits until no other is at work and keeps the others from beginning; the rest run
    side by side. One lock for all workers of a run: shared by the others, exclusive for it."""
    folder = tmp_path_factory.getbasetemp()
    if hasattr(request.config, "workerinput"):
        folder = folder.parent  # a worker's own folder lies in the run's
    with (folder / "cores.lock").open("w") as lock:
        alone = request.node.get_closest_marker("alone") is not None
        fcntl.flock(lock, fcntl.LOCK_EX if alone else fcntl.LOCK_SH)
        yield


def pytest_terminal_summary(terminalreporter):
    """The table of protocols by scenario, where that suite was run."""
    suite = sys.modules.get("test_protocols")
    if suite is not None and suite.FOUND:
        terminalreporter.section("protocols")
        for line in suite.table():
            terminalreporter.write_line(line)
