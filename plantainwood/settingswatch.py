"""Settings that change while a node runs: checked whole, applied or put off."""

import asyncio
import logging
from abc import ABC, abstractmethod

import msgspec
from mode import Service

from plantainwood.documents import DocumentError
from plantainwood.edgesettings import EdgeSettings, parse_edge_settings
from plantainwood.logs import log_event
from plantainwood.settings import SettingsError

CHECK_PAUSE_MS = 1_000
RELOADABLE_FIELDS = frozenset(
    ("store", "seeds", "cpu_share", "cores", "link_mbps", "retries", "drain", "logs")
)
"""What applies to a running node; the rest waits for the next start."""


class SettingsUpdate(msgspec.Struct, frozen=True):
    """The settings to use from now on."""

    settings: EdgeSettings
    applied: list[str]
    """Changed fields that are in force."""
    deferred: list[str]
    """Changed fields that wait for the next start."""


def merge_settings(current: EdgeSettings, changed: EdgeSettings) -> SettingsUpdate:
    """Return the current settings with what may change while running."""
    applied: list[str] = []
    deferred: list[str] = []
    for name in current.__struct_fields__:
        if getattr(current, name) == getattr(changed, name):
            continue
        (applied if name in RELOADABLE_FIELDS else deferred).append(name)
    values = {name: getattr(changed, name) for name in applied}
    return SettingsUpdate(msgspec.structs.replace(current, **values), applied, deferred)


class SettingsConsumer(ABC):
    """Whoever runs by the settings."""

    @property
    @abstractmethod
    def settings(self) -> EdgeSettings:
        """Return the settings in force."""

    @abstractmethod
    def apply_settings(self, settings: EdgeSettings) -> None:
        """Use changed settings from now on."""


class SettingsWatch(Service):
    """Look for changes of the settings file, at once after a signal."""

    def __init__(self, path: str, user: SettingsConsumer, **kwargs) -> None:
        self._path = path
        self._user = user
        self._asked = asyncio.Event()
        self._refused = ""
        self._text = ""
        """What was read last; parsed again only where it differs."""
        super().__init__(**kwargs)

    def check_now(self) -> None:
        """Look at the file now, as after SIGHUP."""
        self._refused = ""
        self._asked.set()

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            try:
                await asyncio.wait_for(self._asked.wait(), CHECK_PAUSE_MS / 1_000)
            except TimeoutError:
                pass
            asked = self._asked.is_set()
            self._asked.clear()
            self.check(asked)

    def check(self, asked: bool) -> None:
        """Read the file and use what changed; keep the settings if it is broken."""
        try:
            with open(self._path, encoding="utf-8") as file:
                text = file.read()
            if text == self._text and not asked:
                return
            self._text = text
            changed = parse_edge_settings(text)
        except (SettingsError, DocumentError, OSError, UnicodeDecodeError) as error:
            if str(error) != self._refused:
                self._refused = str(error)
                log_event("reload_refused", logging.WARNING, reason=str(error))
            return
        self._refused = ""
        reload = merge_settings(self._user.settings, changed)
        if reload.applied:
            self._user.apply_settings(reload.settings)
        if reload.applied or asked:
            log_event(
                "reloaded",
                applied=",".join(reload.applied) or "-",
                next_start=",".join(reload.deferred) or "-",
            )
