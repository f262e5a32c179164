"""Client of the platform's interfaces for orders, usage reports and the VM list."""

import asyncio
import socket
import struct
from abc import ABC, abstractmethod
from types import SimpleNamespace

import aiohttp
import msgspec

from plantainwood.core.clock import Clock
from plantainwood.core.decoding import MalformedError, decode_json
from plantainwood.core.effects import SendDesiredCount, SendOrder, SendReport
from plantainwood.core.errors import NotAppliedError, StoreError

KEEPALIVE_S = 20.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Linger for no time: the option's two fields, as the kernel reads them."""


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

    @abstractmethod
    async def list_vms(self) -> dict[str, Vm] | None:
        """Return the listed VMs by node name, or None if there is no list."""


class DeadlinePassed(Exception):
    """Report that the lease behind a request ended before the request was written."""


def make_deadline_trace_config(clock: Clock) -> aiohttp.TraceConfig:
    """Return trace hooks that stop a request whose deadline passed while connecting.

    aiohttp writes a request as soon as it has a connection, so this check is the
    last one before the write.
    """

    async def check(
        session: aiohttp.ClientSession, context: SimpleNamespace, params: object
    ) -> None:
        deadline_ms = (context.trace_request_ctx or {}).get("deadline_ms")
        if deadline_ms is not None and clock.now_ms() >= deadline_ms:
            raise DeadlinePassed()

    config = aiohttp.TraceConfig()
    config.on_connection_create_end.append(check)
    config.on_connection_reuseconn.append(check)
    return config


def make_resetting_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """Return a TCP socket whose close drops what is not delivered yet.

    An orderly close lets the kernel go on sending, for many seconds if a link is cut.
    """
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return sock


def make_platform_session(clock: Clock) -> aiohttp.ClientSession:
    """Return a session for orders and reports: none is sent after its deadline.

    A call that is given up resets its connection, so that it can't arrive later.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            keepalive_timeout=KEEPALIVE_S,
            socket_factory=make_resetting_socket,
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        trace_configs=[make_deadline_trace_config(clock)],
    )


class HttpPlatform(PlatformClient):
    """Call the platform with JSON over HTTP."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        orders_url: str,
        reports_url: str,
        vms_url: str,
        timeout_ms: int,
    ) -> None:
        self._session = session
        self._orders_url = orders_url
        self._reports_url = reports_url
        self._vms_url = vms_url
        self._timeout = aiohttp.ClientTimeout(total=timeout_ms / 1_000)

    async def send_order(self, order: SendOrder, checks_fencing: bool) -> bool:
        """Post an order as JSON."""
        body = {
            "action": order.action,
            "upstream": order.upstream,
            "domain": order.domain,
            "fence": order.fence,
            "checks_fencing": checks_fencing,
        }
        return await self._post(
            self._orders_url, msgspec.json.encode(body), order.deadline_ms
        )

    async def send_report(self, report: SendReport) -> bool:
        """Post the frozen body of a report unchanged."""
        return await self._post(self._reports_url, report.body, report.deadline_ms)

    async def _post(self, url: str, body: bytes, deadline_ms: int) -> bool:
        if not url:
            raise NotAppliedError("the platform's address is not set")
        try:
            async with self._session.post(
                url,
                data=body,
                headers={"Content-Type": "application/json"},
                timeout=self._timeout,
                trace_request_ctx={"deadline_ms": deadline_ms},
            ) as response:
                return response.status == 200
        except (aiohttp.ClientConnectorError, DeadlinePassed) as error:
            raise NotAppliedError(repr(error)) from error
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise StoreError(repr(error)) from error

    async def list_vms(self) -> dict[str, Vm] | None:
        """Fetch the list of VMs; None if it is not configured or cannot be read."""
        if not self._vms_url:
            return None
        try:
            async with self._session.get(
                self._vms_url, timeout=self._timeout
            ) as response:
                data = await response.read()
            return decode_json(data, dict[str, Vm])
        except (aiohttp.ClientError, asyncio.TimeoutError, MalformedError):
            return None
