"""The embedding example of the README runs unchanged."""

import re
from pathlib import Path


def test_the_embedding_example_admits_and_runs_a_request(capsys):
    text = (Path(__file__).parent.parent / "README.md").read_text(encoding="utf-8")
    example = re.search(r"```python\n(.*?)```", text, re.DOTALL)
    assert example
    exec(example.group(1), {})
    assert "Run(request='r1')" in capsys.readouterr().out
