"""The share of the node's limits that one of its processes may use, and the settings that follow from it.

During an upgrade two processes stand for one node: each decides by settings that are scaled to its share.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from flintshift.interface import Settings

LEAST_MEMORY = 1e-3  # settings with no memory at all would be none


@dataclass(frozen=True, slots=True)
class LimitShare:
    """Shares from 0 to 1 of the running requests, the memory and the calls below that the node may have."""

    crowd: float = 1.0
    memory: float = 1.0
    calls: float = 1.0


WHOLE = LimitShare()


def scaled(settings: Settings, share: LimitShare) -> Settings:
    """The settings for a process that has this share of the node's limits."""
    if share == WHOLE:
        return settings
    return replace(
        settings,
        concurrency_share=share.crowd,
        memory_kb=settings.memory_kb * max(share.memory, LEAST_MEMORY),
        call_share=settings.call_share * share.calls,
    )


def share_of(settings: Settings, crowd: float, memory_kb: float, calls_ms: float) -> LimitShare:
    """What so much use comes to as a share of the node's limits: ``crowd`` is one already, ``calls_ms`` the time that
    calls below took within their window."""
    most_calls_ms = settings.call_share * settings.call_window_ms
    return LimitShare(crowd, memory_kb / settings.memory_kb, calls_ms / most_calls_ms if most_calls_ms else 0.0)
