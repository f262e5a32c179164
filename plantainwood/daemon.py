"""Daemon that runs a node's services and drains them on SIGTERM or SIGINT."""

import asyncio
import signal
import sys

import aiohttp
from absl import app, flags
from mode import Service

from plantainwood import __version__
from plantainwood.admin import AdminServer
from plantainwood.callers import CallerServer
from plantainwood.clientguard import ClientWatch
from plantainwood.core.messages import NodeState
from plantainwood.documents import InvalidYamlError
from plantainwood.duties import Billing, NodeLeaseRenewer, OrderIssuer
from plantainwood.dutycalls import DutyCaller
from plantainwood.engines import (
    OpenAiEngine,
    PlainClient,
    make_single_connection_config,
)
from plantainwood.httpclient import make_session
from plantainwood.links import PeerLinks
from plantainwood.logs import log_event, setup_logs
from plantainwood.node import Clients, Node, make_node
from plantainwood.platform import HttpPlatform
from plantainwood.poller import Poller
from plantainwood.procedures import Driver
from plantainwood.settings import Settings, SettingsError, load_settings
from plantainwood.shares import ShareRequester
from plantainwood.standstills import Beats
from plantainwood.store import EtcdClient
from plantainwood.usageflow import UsageReplicator
from plantainwood.watcher import CatalogueWatcher

EXIT_OK = 0
EXIT_DRAIN_TIMEOUT = 1
EXIT_BAD_SETTINGS = 2
DRAIN_POLL_MS = 50
UNLIMITED_CONNECTIONS = 0
"""aiohttp treats a connection limit of 0 as no limit."""

_SETTINGS = flags.DEFINE_string("settings", None, "Path of the YAML settings.")
_CHECK = flags.DEFINE_bool("check_settings", False, "Check the settings and exit.")


class Daemon:
    """Run all services of one node."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.node: Node = make_node(settings)
        self._sessions: list[aiohttp.ClientSession] = []
        self._services: list[Service] = []
        self._lease_renewers: list[NodeLeaseRenewer] = []
        self._usage_replicator: UsageReplicator
        self._links: PeerLinks
        self._caller_server: CallerServer

    async def start(self) -> None:
        """Start all services; the callers' server starts last."""
        node = self.node
        self._make_clients()
        self._links = PeerLinks(node)
        self._usage_replicator = UsageReplicator(node, self._links.send)
        self._caller_server = CallerServer(node)
        self._services = [
            Beats(node.standstills),
            self._links,
            CatalogueWatcher(node),
            Poller(node, self._links.learn_address),
            ShareRequester(node, self._links.send),
            self._usage_replicator,
            OrderIssuer(node, self._links.send),
            Billing(node),
            ClientWatch(node.client_guard),
            AdminServer(node),
            self._caller_server,
        ]
        for lease in node.leases.values():
            self._lease_renewers.append(NodeLeaseRenewer(node, lease))
        self._services[2:2] = self._lease_renewers
        for service in self._services:
            await service.start()
        log_event("started", node=self.settings.node, version=__version__)

    def _make_clients(self) -> None:
        settings = self.settings
        general = make_session(
            connector=aiohttp.TCPConnector(limit=UNLIMITED_CONNECTIONS),
        )
        plain = make_session(
            connector=aiohttp.TCPConnector(
                limit=UNLIMITED_CONNECTIONS, force_close=True
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[make_single_connection_config()],
        )
        self._sessions = [general, plain]
        store = EtcdClient(
            general,
            settings.store.endpoints,
            settings.store.timeout_ms,
            settings.store.calls_per_s,
            self.node.clock,
            self.node.metrics,
        )
        platform = HttpPlatform(
            general,
            DutyCaller(self.node.clock, settings.platform.timeout_ms),
            settings.platform.orders_url,
            settings.platform.reports_url,
            settings.platform.vms_url,
        )
        self.node.clients = Clients(
            Driver(store, platform), OpenAiEngine(general), PlainClient(plain)
        )

    async def drain(self) -> bool:
        """Finish all requests; return whether that was done within drain.bound_ms.

        For drain.linger_ms callers are no longer sent here, while those that still
        have the address are served. Then new requests are refused and the running
        ones finish. Last, usage is flushed and the leases are released.
        """
        node = self.node
        node.state = NodeState.LEAVING
        node.send_now.set()
        log_event("draining", running=len(node.broker.active_requests))
        await asyncio.sleep(self.settings.drain.linger_ms / 1_000)
        node.broker.dispatcher.state.draining = True
        deadline_ms = node.clock.now_ms() + self.settings.drain.bound_ms
        while self._is_busy() and node.clock.now_ms() < deadline_ms:
            await asyncio.sleep(DRAIN_POLL_MS / 1_000)
        clean = not self._is_busy()
        while (
            not await self._usage_replicator.flush()
            and node.clock.now_ms() < deadline_ms
        ):
            await asyncio.sleep(DRAIN_POLL_MS / 1_000)
        self._usage_replicator.send_copies()
        await asyncio.gather(*(renewer.hand_over() for renewer in self._lease_renewers))
        return clean

    def _is_busy(self) -> bool:
        return bool(self.node.broker.active_requests or self.node.background_tasks)

    async def stop(self) -> None:
        """Stop all services and close all connections."""
        for service in reversed(self._services):
            await service.stop()
        for session in self._sessions:
            await session.close()


async def serve(settings: Settings) -> int:
    """Run a daemon until SIGTERM or SIGINT; return its exit code."""
    daemon = Daemon(settings)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    await daemon.start()
    await stop.wait()
    clean = await daemon.drain()
    await daemon.stop()
    log_event("stopped", clean=clean)
    return EXIT_OK if clean else EXIT_DRAIN_TIMEOUT


def main(_: list[str]) -> None:
    """Load the settings and run the daemon, or only check them if asked to."""
    if not _SETTINGS.value:
        print("plantainwood: --settings is required", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    try:
        settings = load_settings(_SETTINGS.value)
    except (SettingsError, InvalidYamlError, OSError, UnicodeDecodeError) as error:
        print(f"{_SETTINGS.value}: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if _CHECK.value:
        print("settings are valid")
        sys.exit(EXIT_OK)
    setup_logs(settings.logs.level, settings.logs.json)
    sys.exit(asyncio.run(serve(settings)))


def run() -> None:
    """Run the plantainwood command."""
    app.run(main)


if __name__ == "__main__":
    run()
