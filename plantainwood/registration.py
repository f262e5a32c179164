"""Registration of this VM's link address in the store, where other VMs find it."""

import asyncio
from abc import ABC, abstractmethod

from mode import Service

from plantainwood.core.errors import StoreError
from plantainwood.edge import Edge
from plantainwood.guardedtask import guarded_task
from plantainwood.logs import log_event

VMS_PREFIX = "vms/"
REGISTRATION_RETRY_MS = 500
REGISTRATION_LIFETIME_MS = 300_000


class RegistrationStore(ABC):
    """The part of the store that registrations need."""

    @abstractmethod
    async def put(self, key: str, value: bytes, lifetime_ms: int) -> int:
        """Write a key, which is deleted after its lifetime; return its revision."""


class Registration(Service):
    """Keep this VM's link address registered in the store."""

    def __init__(self, edge: Edge, store: RegistrationStore, **kwargs) -> None:
        self.edge = edge
        self._store = store
        super().__init__(**kwargs)

    @guarded_task
    async def _run(self) -> None:
        edge = self.edge
        key = VMS_PREFIX + edge.settings.node
        value = f"tcp://{edge.settings.addresses.links}".encode()
        while not self.should_stop:
            pause_ms = REGISTRATION_LIFETIME_MS // 2
            era = edge.mirror.era
            try:
                await self._store.put(key, value, REGISTRATION_LIFETIME_MS)
            except StoreError as error:
                log_event("registration_failed", reason=str(error))
                pause_ms = REGISTRATION_RETRY_MS
            await self._wait(pause_ms, era)

    async def _wait(self, pause_ms: int, era: int) -> None:
        """Wait for some time, or until the store is known to be in another era."""
        edge = self.edge
        until_ms = edge.clock.now_ms() + pause_ms
        while edge.clock.now_ms() < until_ms:
            if edge.mirror.era != era:
                return
            await asyncio.sleep(min(pause_ms, REGISTRATION_RETRY_MS) / 1_000)
