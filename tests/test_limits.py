"""Size limits of the decision module's source."""

from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_module_stays_within_its_size_limits():
    lines = (ROOT / "crowpier" / "logic.py").read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 1200
    assert max(map(len, lines)) <= 110
    assert "interface.py" in lines[0]
