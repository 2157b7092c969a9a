"""Counters of what the node received, sent and answered; printed on request and at exit."""

from __future__ import annotations

import json
from collections import Counter


class Counters(Counter[str]):
    """Counts by name, such as ``answered.served`` or ``pool.junk``."""

    def add(self, name: str, by: int = 1) -> None:
        """Increase the count of this name."""
        self[name] += by

    def to_json_line(self, name: str) -> str:
        """All counters as one line of JSON; ``name`` is the node's."""
        return json.dumps({"node": name, "counters": dict(sorted(self.items()))})
