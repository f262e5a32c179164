"""Client of the platform's interfaces for orders, usage reports and the VM list."""

import asyncio
from abc import ABC, abstractmethod

import aiohttp
import msgspec

from plantainwood.core.decoding import MalformedError, decode_json
from plantainwood.core.effects import SendDesiredCount, SendOrder, SendReport
from plantainwood.core.errors import NotAppliedError
from plantainwood.dutycalls import DutyCaller
from plantainwood.httpclient import read_body

OK = 200


class Vm(msgspec.Struct, frozen=True):
    """One VM as the platform lists it; the list lags behind the actual state."""

    domain: str
    link_address: str
    leaving: bool = False


class PlatformClient(ABC):
    """Send orders and reports, and read the list of VMs."""

    @abstractmethod
    async def send_order(self, order: SendOrder, checks_fencing: bool) -> bool:
        """Send an order before its deadline; return whether it was accepted."""

    @abstractmethod
    async def send_report(self, report: SendReport) -> bool:
        """Send a report before its deadline; return whether it was accepted."""

    async def send_count(self, order: SendDesiredCount) -> bool:
        """Order a number of upstreams, where the platform supports this.

        Raise NotAppliedError where it does not.
        """
        raise NotAppliedError("this platform does not support orders by count")

    async def wait_until_quiet(self) -> None:
        """Return once no order or report is under way that could still arrive."""

    @abstractmethod
    async def list_vms(self) -> dict[str, Vm] | None:
        """Return the listed VMs by node name, or None if there is no list."""


class HttpPlatform(PlatformClient):
    """Call the platform with JSON over HTTP."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        caller: DutyCaller,
        orders_url: str,
        reports_url: str,
        vms_url: str,
    ) -> None:
        self._session = session
        self._caller = caller
        self._orders_url = orders_url
        self._reports_url = reports_url
        self._vms_url = vms_url

    async def send_order(self, order: SendOrder, checks_fencing: bool) -> bool:
        """Post an order as JSON."""
        body = {
            "action": order.action,
            "upstream": order.upstream,
            "domain": order.domain,
            "fence": order.fence,
            "checks_fencing": checks_fencing,
        }
        return await self._post(self._orders_url, msgspec.json.encode(body), order)

    async def send_report(self, report: SendReport) -> bool:
        """Post the frozen body of a report unchanged."""
        return await self._post(self._reports_url, report.body, report)

    async def _post(self, url: str, body: bytes, call: SendOrder | SendReport) -> bool:
        if not url:
            raise NotAppliedError("the platform's address is not set")
        status = await self._caller.post(
            url, {}, body, call.deadline_ms, call.arrive_by_ms
        )
        return status == OK

    async def wait_until_quiet(self) -> None:
        """Return once no order or report is under way that could still arrive."""
        await self._caller.wait_until_quiet()

    async def list_vms(self) -> dict[str, Vm] | None:
        """Fetch the list of VMs; None if it is not configured or cannot be read."""
        if not self._vms_url:
            return None
        timeout = aiohttp.ClientTimeout(total=self._caller.timeout_ms / 1_000)
        try:
            async with self._session.get(self._vms_url, timeout=timeout) as response:
                data = await read_body(response)
            return decode_json(data, dict[str, Vm])
        except (aiohttp.ClientError, asyncio.TimeoutError, MalformedError):
            return None
