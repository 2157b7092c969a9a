"""Applies a new configuration to a running node, completely or not at all; open requests continue as before."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from flintshift.core.counters import Counters
from flintshift.core.decisions import Decisions
from flintshift.core.ports import Log
from flintshift.interface import Settings
from flintshift.lifecycle.config import Config, ConfigError, IncompleteFileError, UnreadableFileError
from flintshift.settings.platform_schema import missing_key
from flintshift.wire.names import NameService
from flintshift.wire.pool import PoolLink
from flintshift.wire.vault import VaultLink

REREAD_DELAY_S, MAX_REREAD_DELAY_S = 0.5, 30.0  # before a file is read again: the first delay and the longest

FIXED_FIELDS = ("name", "listen", "control", "seed", "limits", "gauge_names", "operators")
"""The fields of a configuration that a running node can't change: a new configuration is applied without them."""


class SettingsFollower(Protocol):
    """A part that works by the settings, besides the decisions."""

    def rejection_reason(self, settings: Settings) -> str | None:
        """Return why the part can't work by these settings; None: it can."""

    def change(self, settings: Settings) -> None:
        """Work by these settings from now on."""


class Reconfiguration:
    """Reloads the configuration of a node.

    ``reread`` loads the configuration as it is now; ``report_to_lists`` reports the node's state to its lists again."""

    def __init__(
        self,
        reread: Callable[[], Config],
        decisions: Decisions,
        pool: PoolLink,
        vault: VaultLink,
        names: NameService,
        report_to_lists: Callable[[], None],
        counters: Counters,
        log: Log,
        warn: Callable[[str], None],
    ) -> None:
        self.reread, self.decisions = reread, decisions
        self.pool, self.vault, self.names = pool, vault, names
        self.report_to_lists, self.counters, self.log, self.warn = report_to_lists, counters, log, warn
        self.followers: list[SettingsFollower] = []
        # The delay before a file that could not be read, or was not complete, is read again.
        self.reread_delay_s: float | None = None

    def reload(self, before: Config) -> Config:
        """Apply the configuration as it is now, and return the one that the node runs by from now on."""
        try:
            config = self.reread()
            self._apply_settings(before, config)
        except ConfigError as error:
            self.reread_delay_s = self._next_reread_delay_s(error)
            self.warn(f"the configuration stays: {error}")
            self.log("error", "node.configuration_stays", cause=str(error))
            self.counters.add("reload.unreadable")
            return before
        self.reread_delay_s = None
        self.counters.add("reload.taken")
        self.log("info", "node.configuration_taken", classes=sorted(self.decisions.catalogue.active_classes))
        self._apply_addresses(config)
        self._report_fixed_fields(before, config)
        return replace(config, **{name: getattr(before, name) for name in FIXED_FIELDS})

    def _next_reread_delay_s(self, error: ConfigError) -> float | None:
        """Return the delay before reading again, or None if that can't help.

        The first delay is short, as a file that is being written is soon complete."""
        if not isinstance(error, UnreadableFileError | IncompleteFileError):
            return None
        return REREAD_DELAY_S if self.reread_delay_s is None else min(2 * self.reread_delay_s, MAX_REREAD_DELAY_S)

    def _apply_settings(self, before: Config, config: Config) -> None:
        """Apply new settings to the decisions and to all followers.

        Raises:
            ConfigError: they can't be applied, and nothing of them was.
        """
        missing = missing_key(config.document, before.document)
        if missing is not None:
            raise ConfigError(missing)
        for follower in self.followers:
            problem = follower.rejection_reason(config.settings)
            if problem is not None:
                raise ConfigError(problem)
        problem = self.decisions.change(config.settings)
        if problem is not None:
            raise ConfigError(problem)
        for follower in self.followers:
            follower.change(config.settings)

    def _apply_addresses(self, config: Config) -> None:
        """Move the links to the addresses in the configuration."""
        if config.pool != self.pool.address:
            self.pool.move(config.pool)
        self.vault.move(config.vault)
        if config.naming != self.names.address:
            self.names.move(config.naming)
            if self.decisions.serving_status.workers_up:
                self.report_to_lists()

    def _report_fixed_fields(self, before: Config, config: Config) -> None:
        """Report the fields whose change is not applied."""
        for name in FIXED_FIELDS:
            if getattr(config, name) != getattr(before, name):
                self.warn(f"{name} stays as it was at the start: it can't change while the node runs")
                self.log("warning", "node.setting_stays", setting=name)
