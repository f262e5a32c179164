"""Reloading of settings: checked as a whole, then applied or deferred."""

import asyncio
import logging
from abc import ABC, abstractmethod

import msgspec
from mode import Service

from plantainwood.documents import InvalidYamlError
from plantainwood.edgesettings import EdgeSettings, parse_edge_settings
from plantainwood.guardedtask import guarded_task
from plantainwood.logs import log_event
from plantainwood.settings import SettingsError

CHECK_PAUSE_MS = 1_000
RELOADABLE_FIELDS = frozenset(
    (
        "store",
        "seeds",
        "cpu_share",
        "cores",
        "link_mbps",
        "retries",
        "drain",
        "cold",
        "logs",
    )
)
"""Fields that can change in a running node; the others need a restart."""


class SettingsUpdate(msgspec.Struct, frozen=True):
    """The settings to use from now on, and the names of the changed fields."""

    settings: EdgeSettings
    applied: list[str]
    """Changed fields that take effect now."""
    deferred: list[str]
    """Changed fields that take effect at the next start."""


def merge_settings(current: EdgeSettings, changed: EdgeSettings) -> SettingsUpdate:
    """Return the current settings, updated in the fields that may be reloaded."""
    applied: list[str] = []
    deferred: list[str] = []
    for name in current.__struct_fields__:
        if getattr(current, name) == getattr(changed, name):
            continue
        (applied if name in RELOADABLE_FIELDS else deferred).append(name)
    values = {name: getattr(changed, name) for name in applied}
    return SettingsUpdate(msgspec.structs.replace(current, **values), applied, deferred)


class SettingsConsumer(ABC):
    """The component to which changed settings are applied."""

    @property
    @abstractmethod
    def settings(self) -> EdgeSettings:
        """Return the settings in force."""

    @abstractmethod
    def apply_settings(self, settings: EdgeSettings) -> None:
        """Apply changed settings."""


class SettingsWatch(Service):
    """Reload the settings file when it changes, and at once after a signal."""

    def __init__(self, path: str, consumer: SettingsConsumer, **kwargs) -> None:
        self._path = path
        self._consumer = consumer
        self._check_requested = asyncio.Event()
        self._last_error = ""
        self._last_text = ""
        """The text last read; parsed again only if it differs or a check is forced."""
        super().__init__(**kwargs)

    def check_now(self) -> None:
        """Check the file now, as after SIGHUP, and log an error even if repeated."""
        self._last_error = ""
        self._check_requested.set()

    @guarded_task
    async def _run(self) -> None:
        while not self.should_stop:
            try:
                await asyncio.wait_for(
                    self._check_requested.wait(), CHECK_PAUSE_MS / 1_000
                )
            except TimeoutError:
                pass
            forced = self._check_requested.is_set()
            self._check_requested.clear()
            self.reload_if_changed(forced)

    def reload_if_changed(self, forced: bool) -> None:
        """Read the file and apply changes; keep the settings if it is invalid."""
        try:
            with open(self._path, encoding="utf-8") as file:
                text = file.read()
            if text == self._last_text and not forced:
                return
            self._last_text = text
            changed = parse_edge_settings(text)
        except (SettingsError, InvalidYamlError, OSError, UnicodeDecodeError) as error:
            if str(error) != self._last_error:
                self._last_error = str(error)
                log_event("reload_refused", logging.WARNING, reason=str(error))
            return
        self._last_error = ""
        update = merge_settings(self._consumer.settings, changed)
        if update.applied:
            self._consumer.apply_settings(update.settings)
        if update.applied or forced:
            log_event(
                "reloaded",
                applied=",".join(update.applied) or "-",
                next_start=",".join(update.deferred) or "-",
            )
