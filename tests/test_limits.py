"""The limits on the decision module's size, and where it names its interface."""

from pathlib import Path

PROGRAM = Path(__file__).parent.parent / "flintshift"
MODULE = PROGRAM / "control.py"
PARTS = (MODULE, PROGRAM / "caller_patience.py", PROGRAM / "tick_interval.py")


def test_module_stays_small_enough_to_audit():
    lines = MODULE.read_text(encoding="utf-8").splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 500
    assert max(len(line) for part in PARTS for line in part.read_text(encoding="utf-8").splitlines()) <= 110


def test_module_names_its_interface_at_the_top():
    head = MODULE.read_text(encoding="utf-8").splitlines()[:5]
    assert any("flintshift/interface.py" in line for line in head)
