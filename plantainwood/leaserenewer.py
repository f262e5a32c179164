"""Renewing of a duty's lease, and its release once no call can arrive any more."""

import asyncio
from abc import abstractmethod

from mode import Service

from plantainwood.core.leases import Lease
from plantainwood.guardedtask import guarded_task
from plantainwood.logs import log_event
from plantainwood.metrics import Metrics
from plantainwood.procedures import Driver


class LeaseRenewer(Service):
    """Renew one duty's lease while it is held, else contend for it."""

    def __init__(self, lease: Lease, metrics: Metrics, **kwargs) -> None:
        self.lease = lease
        self._metrics = metrics
        self._procedure_lock = asyncio.Lock()
        """The lease's procedures run one after the other."""
        super().__init__(**kwargs)

    @abstractmethod
    def get_driver(self) -> Driver:
        """Return the driver of the lease's procedures."""

    @abstractmethod
    def may_try(self) -> bool:
        """Return whether to renew or acquire the lease now."""

    @abstractmethod
    def get_pause_ms(self, held: bool) -> int:
        """Return the pause before the next renewal, or the next try to acquire."""

    @guarded_task
    async def _renew(self) -> None:
        held = False
        while not self.should_stop:
            async with self._procedure_lock:
                self.lease.note_era()
                if self.may_try():
                    await self.get_driver().run(self.lease.renew_or_acquire())
            if self.lease.is_held() != held:
                held = not held
                log_event(
                    "lease",
                    duty=self.lease.duty,
                    held=held,
                    fence=self.lease.fence,
                    previous=self.lease.previous_holder or "-",
                )
            self._metrics.leases.set({"duty": self.lease.duty}, int(held))
            await asyncio.sleep(self.get_pause_ms(held) / 1_000)

    async def hand_over(self) -> None:
        """Stop acting for the duty, and release its lease.

        The next holder acts as soon as it sees the release, so that comes once no order
        or report of this process can arrive any more.
        """
        self.lease.retire()
        driver = self.get_driver()
        await driver.platform.wait_until_quiet()
        async with self._procedure_lock:
            released = await driver.run(self.lease.release())
        log_event("lease_released", duty=self.lease.duty, released=released)
