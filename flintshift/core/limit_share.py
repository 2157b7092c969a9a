"""The share of the node's limits that one of its processes may use, and the settings that follow from it.

During an upgrade two processes make up one node: each decides by settings that are scaled to its share.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from flintshift.interface import Settings

MIN_MEMORY_SHARE = 1e-3  # settings without any memory would be invalid


@dataclass(frozen=True, slots=True)
class LimitShare:
    """Shares, from 0 to 1, of the node's limits on running requests, memory and calls to the vault."""

    concurrency: float = 1.0
    memory: float = 1.0
    calls: float = 1.0


FULL_SHARE = LimitShare()


def scale_settings(settings: Settings, share: LimitShare) -> Settings:
    """The settings for a process that has this share of the node's limits."""
    if share == FULL_SHARE:
        return settings
    return replace(
        settings,
        concurrency_share=share.concurrency,
        memory_kb=settings.memory_kb * max(share.memory, MIN_MEMORY_SHARE),
        call_share=settings.call_share * share.calls,
    )


def usage_share(settings: Settings, concurrency: float, memory_kb: float, calls_ms: float) -> LimitShare:
    """The share of the node's limits that this much use amounts to. ``concurrency`` is a share already; ``calls_ms`` is
    the time that calls to the vault took within their window."""
    max_calls_ms = settings.call_share * settings.call_window_ms
    return LimitShare(concurrency, memory_kb / settings.memory_kb, calls_ms / max_calls_ms if max_calls_ms else 0.0)
