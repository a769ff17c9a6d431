"""What the suite may pass over: `KNOWN-RED.txt` alone, in runs of a small suite of its own."""

from pathlib import Path

import pytest

SUITE = """
import pytest

def test_green(): pass
def test_red(): assert not "red"
def test_other(): assert not "other"
def test_skipped(): pytest.skip("not here")
@pytest.fixture
def broken(): raise OSError("no such thing")
def test_broken(broken): pass
"""
RED, OTHER, BROKEN, GREEN = (f"tests/test_it.py::test_{name}" for name in ("red", "other", "broken", "green"))
ALL_RED = f"{RED} | slow disk | 7\n{OTHER} | lost word | 8\n\n{BROKEN} | no file | 9\n"


@pytest.fixture
def run(pytester):
    def run(listed, *args):
        pytester.makeconftest(f"""import sys
sys.path.insert(0, {str(Path(__file__).parent)!r})
pytest_plugins = ["known_red"]""")
        pytester.makepyfile(**{"tests/test_it": SUITE})
        pytester.makeini("[pytest]\ntestpaths = tests\n")
        if listed is not None:
            (pytester.path / "KNOWN-RED.txt").write_text(listed)
        return pytester.runpytest_inprocess("-p", "no:randomly", *args)

    return run


@pytest.mark.parametrize("workers", [(), ("-n", "1")])
def test_what_is_listed_is_passed_over_and_printed_with_its_cause(run, workers):
    ended = run(ALL_RED, *workers)
    assert ended.ret == 0
    assert f"known red: {RED} | slow disk | 7" in str(ended.stdout)
    assert f"known red: {BROKEN} | no file | 9" in str(ended.stdout)
    assert "3 xfailed" in str(ended.stdout) and "not red" not in str(ended.stdout)


def test_what_is_not_listed_fails(run):
    assert run(None).ret == 1
    assert run(f"{RED} | slow disk | 7\n{OTHER} | lost word | 8\n").ret == 1


@pytest.mark.parametrize(
    ("name", "workers"),
    [("no_such", ()), ("green", ()), ("skipped", ()), ("no_such", ("-n", "1"))],
)
def test_a_name_that_no_test_has_and_one_that_does_not_fail_any_more_fail_the_run(run, name, workers):
    rest = "".join(line for line in ALL_RED.splitlines(True) if OTHER not in line)
    ended = run(f"{rest}tests/test_it.py::test_{name} | mended | 1\n", "--deselect", OTHER, *workers)
    assert ended.ret == 1
    assert f"not red: tests/test_it.py::test_{name}" in str(ended.stdout)


def test_one_that_passes_again_fails_a_run_of_it_alone_too(run):
    assert run(f"{GREEN} | mended | 1\n", GREEN).ret == 1


def test_a_run_of_some_tests_is_not_asked_for_the_others(run):
    assert run(ALL_RED, GREEN).ret == 0
    assert run(ALL_RED, "-k", "green").ret == 0


@pytest.mark.parametrize(
    ("listed", "said"),
    [
        (f"{ALL_RED}{GREEN} | one more | 2\n", "lists 4 tests, 3 at most"),
        (f"{RED} | slow disk\n", "line 1: write 'test | cause | issue'"),
        (f"{RED} | | 7\n", "line 1: write 'test | cause | issue'"),
        (f"{RED} | slow disk | 7\n{RED} | slow disk | 7\n", "line 2"),
    ],
)
def test_a_fourth_and_a_line_without_cause_or_issue_end_the_run_at_once(run, listed, said):
    ended = run(listed)
    assert ended.ret == pytest.ExitCode.USAGE_ERROR
    assert said in str(ended.stderr)


def test_this_suite_has_the_plugin(request):
    assert request.config.pluginmanager.hasplugin("known_red")
