"""Admission control and scheduling for a server behind load balancers that others operate.

The decision module is imported at its first use, because a node first blocks its signals (`flintshift/__main__.py`).
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from flintshift.control import Controller

__all__ = ["Controller"]


def __getattr__(name: str) -> object:
    if name != "Controller":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from flintshift.control import Controller

    return Controller
