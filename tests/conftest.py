import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))


def pytest_terminal_summary(terminalreporter):
    """The table of protocols by scenario, where that suite was run."""
    suite = sys.modules.get("test_protocols")
    if suite is not None and suite.FOUND:
        terminalreporter.section("protocols")
        for line in suite.table():
            terminalreporter.write_line(line)
