"""Driver of the core's procedures: performs the effects that they yield."""

from typing import Any

from plantainwood.core.catalogue import Catalogue
from plantainwood.core.effects import (
    CompareAndSwap,
    Effect,
    Procedure,
    Read,
    Scan,
    ScanKeys,
    SendDesiredCount,
    SendOrder,
    SendReport,
)
from plantainwood.core.errors import StoreError
from plantainwood.platform import PlatformClient
from plantainwood.store import StoreClient


class Driver:
    """Perform effects with the store's and the platform's clients."""

    __slots__ = ("store", "platform", "catalogue")

    def __init__(self, store: StoreClient, platform: PlatformClient) -> None:
        self.store = store
        self.platform = platform
        self.catalogue = Catalogue()

    async def run(self, procedure: Procedure) -> Any:
        """Run a procedure to its end and return its result.

        A StoreError of an effect is raised in the procedure, at its yield.
        """
        reply: object = None
        failure: StoreError | None = None
        while True:
            try:
                effect = procedure.throw(failure) if failure else procedure.send(reply)
            except StopIteration as stop:
                return stop.value
            failure = None
            try:
                reply = await self._perform(effect)
            except StoreError as error:
                failure = error

    async def _perform(self, effect: Effect) -> object:
        match effect:
            case Read(key):
                return await self.store.read(key)
            case Scan(prefix):
                return await self.store.scan(prefix)
            case ScanKeys(prefix):
                return await self.store.scan_keys(prefix)
            case CompareAndSwap(key, value, expected, lifetime_ms):
                return await self.store.compare_and_swap(
                    key, value, expected, lifetime_ms
                )
            case SendOrder():
                entry = self.catalogue.upstreams.get(effect.upstream)
                checks_fencing = entry.checks_fencing if entry is not None else False
                return await self.platform.send_order(effect, checks_fencing)
            case SendDesiredCount():
                return await self.platform.send_count(effect)
            case SendReport():
                return await self.platform.send_report(effect)
        raise TypeError(f"unknown effect {effect!r}")
