"""The decision module stays small, and names its interface in its first lines."""

from pathlib import Path

PACKAGE = Path(__file__).parent.parent / "flintshift"
DECISION_MODULE = PACKAGE / "control.py"
DECISION_FILES = (DECISION_MODULE, PACKAGE / "caller_patience.py", PACKAGE / "tick_interval.py")


def test_the_decision_module_stays_small_enough_to_audit():
    lines = DECISION_MODULE.read_text(encoding="utf-8").splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 500
    assert max(len(line) for file in DECISION_FILES for line in file.read_text(encoding="utf-8").splitlines()) <= 110


def test_the_decision_module_names_its_interface_at_the_top():
    first_lines = DECISION_MODULE.read_text(encoding="utf-8").splitlines()[:5]
    assert any("flintshift/interface.py" in line for line in first_lines)
