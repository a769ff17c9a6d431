import fcntl
import sys
from pathlib import Path

import pytest
from hypothesis import settings

from rushhitch.config.deployment import LOOPS

sys.path.insert(0, str(Path(__file__).parent))
pytest_plugins = ["known_red", "pytester"]

# Reproducible examples; no deadline, since a busy machine is slow.
settings.register_profile("rushhitch", derandomize=True, deadline=None)
settings.load_profile("rushhitch")


SLOW_FILES = (  # tests that start processes or take seconds: they run first, so that no worker ends late
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
    """Order the slow files first, with neighbouring tests on different workers, and tests marked `alone`
    last."""
    workers = getattr(config, "workerinput", {}).get("workercount", 1)
    slow_first = sorted(items, key=lambda item: item.path.name not in SLOW_FILES)
    spread = [item for first in range(workers) for item in slow_first[first::workers]]
    items[:] = sorted(spread, key=lambda item: item.get_closest_marker("alone") is not None)


@pytest.fixture(autouse=True)
def exclusive_run(request, tmp_path_factory):
    """Run a test marked `alone` by itself, and all others concurrently. All workers of a run use one lock
    file: exclusive for tests marked `alone`, shared for the others."""
    folder = tmp_path_factory.getbasetemp()
    if hasattr(request.config, "workerinput"):
        folder = folder.parent  # the run's folder, which contains the worker's
    with (folder / "cores.lock").open("w") as lock:
        alone = request.node.get_closest_marker("alone") is not None
        fcntl.flock(lock, fcntl.LOCK_EX if alone else fcntl.LOCK_SH)
        yield


@pytest.fixture(params=LOOPS)
def each_loop(request, tmp_path_factory, monkeypatch):
    """Run the test on each event loop: in this process with `doubles.run`, and in the programs it starts."""
    import doubles  # not before the path to it is set

    deployment = tmp_path_factory.mktemp("loop") / "rushhitch.toml"
    deployment.write_text(f'[process]\nloop = "{request.param}"\n')
    monkeypatch.setenv("RUSHHITCH_TOML", str(deployment))
    monkeypatch.setattr(doubles, "loop_name", request.param)


def pytest_terminal_summary(terminalreporter):
    """Print the table of protocols by scenario if that suite was run."""
    suite = sys.modules.get("test_protocols")
    if suite is not None and suite.FOUND:
        terminalreporter.section("protocols")
        for line in suite.table():
            terminalreporter.write_line(line)
