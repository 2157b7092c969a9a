"""A new configuration in a running node: taken as a whole or not at all, while what is open goes on as it was."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from flintshift.core.counters import Counters
from flintshift.core.decisions import Decisions
from flintshift.core.ports import Log
from flintshift.interface import Settings
from flintshift.lifecycle.config import Config, ConfigError, IncompleteFileError, UnreadableFileError
from flintshift.settings.shape import lost
from flintshift.wire.names import NameService
from flintshift.wire.pool import PoolLink
from flintshift.wire.vault import VaultLink

AGAIN_S, AGAIN_MOST_S = 0.5, 30.0  # the waits before a file is read once more: the first, and the longest

STANDING = ("name", "listen", "control", "seed", "limits", "gauge_names", "operators")
"""Of a configuration: what a running node can't change. A new one that differs in it is taken without it."""


class Follower(Protocol):
    """A part that goes by the settings beside the decisions."""

    def refuses(self, settings: Settings) -> str | None:
        """Why it can't go by these; None: it can."""

    def change(self, settings: Settings) -> None:
        """Go by these from now on."""


class Reconfiguration:
    """``reread`` gives the configuration as it stands now; ``tell_lists`` has the node's lists told anew."""

    def __init__(
        self,
        reread: Callable[[], Config],
        decisions: Decisions,
        pool: PoolLink,
        vault: VaultLink,
        names: NameService,
        tell_lists: Callable[[], None],
        counters: Counters,
        log: Log,
        warn: Callable[[str], None],
    ) -> None:
        self.reread, self.decisions = reread, decisions
        self.pool, self.vault, self.names = pool, vault, names
        self.tell_lists, self.counters, self.log, self.warn = tell_lists, counters, log, warn
        self.followers: list[Follower] = []
        self.again_s: float | None = None  # after how long to read once more what could not be read, or was not whole

    def reload(self, before: Config) -> Config:
        """Take the configuration as it stands now; returns the one that the node goes by from now on."""
        try:
            config = self.reread()
            self._change(before, config)
        except ConfigError as error:
            self.again_s = self._later(error)
            self.warn(f"the configuration stays: {error}")
            self.log("error", "node.configuration_stays", cause=str(error))
            self.counters.add("reload.unreadable")
            return before
        self.again_s = None
        self.counters.add("reload.taken")
        self.log("info", "node.configuration_taken", classes=sorted(self.decisions.catalogue.active_classes))
        self._move(config)
        self._tell_of_what_stays(before, config)
        return replace(config, **{name: getattr(before, name) for name in STANDING})

    def _later(self, error: ConfigError) -> float | None:
        """Whether reading it once more may help, and when: soon at first, as whoever writes a file is soon done."""
        if not isinstance(error, UnreadableFileError | IncompleteFileError):
            return None
        return AGAIN_S if self.again_s is None else min(2 * self.again_s, AGAIN_MOST_S)

    def _change(self, before: Config, config: Config) -> None:
        """Go by other settings.

        Raises:
            ConfigError: they can't be taken, and nothing of them was.
        """
        missing = lost(config.told, before.told)
        if missing is not None:
            raise ConfigError(missing)
        for follower in self.followers:
            wrong = follower.refuses(config.settings)
            if wrong is not None:
                raise ConfigError(wrong)
        wrong = self.decisions.change(config.settings)
        if wrong is not None:
            raise ConfigError(wrong)
        for follower in self.followers:
            follower.change(config.settings)

    def _move(self, config: Config) -> None:
        """Use the addresses that it names."""
        if config.pool != self.pool.address:
            self.pool.move(config.pool)
        self.vault.move(config.vault)
        if config.naming != self.names.address:
            self.names.move(config.naming)
            if self.decisions.serving_status.workers_up:
                self.tell_lists()

    def _tell_of_what_stays(self, before: Config, config: Config) -> None:
        for name in STANDING:
            if getattr(config, name) != getattr(before, name):
                self.warn(f"{name} stays as it was at the start: it can't change while the node runs")
                self.log("warning", "node.setting_stays", setting=name)
