"""The example in the README runs."""

from __future__ import annotations

import re
from pathlib import Path


def test_the_example_in_the_readme_runs() -> None:
    text = (Path(__file__).resolve().parent.parent / "README.md").read_text()
    examples = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    assert len(examples) == 1
    exec(compile(examples[0], "README.md", "exec"), {})
