"""Links of an edge node: heartbeats to all, store news from the readers to all."""

import asyncio
from typing import Callable, Iterable

from mode import Service

from plantainwood.core import events as ev
from plantainwood.core.messages import (
    CountsTold,
    CrashTold,
    Message,
    StoreAsk,
    StoreCopy,
    StoreNews,
    VmBeat,
)
from plantainwood.core.mirror import Item
from plantainwood.core.vms import find_beat_ms, find_share
from plantainwood.edge import Edge
from plantainwood.logs import log_event
from plantainwood.messenger import Messenger, make_messenger

ASK_PAUSE_MS = 400


class Fleet(Service):
    """Exchange soft state with all other VMs."""

    def __init__(
        self, edge: Edge, on_items: Callable[[list[Item]], None], **kwargs
    ) -> None:
        self.edge = edge
        self._messenger: Messenger | None = None
        self._on_items = on_items
        self._urgent = asyncio.Event()
        self._asked_ms = -ASK_PAUSE_MS
        self._live: set[str] = set()
        super().__init__(**kwargs)

    async def on_start(self) -> None:
        """Listen for the other VMs."""
        settings = self.edge.settings
        host, _, port = settings.addresses.links.rpartition(":")
        self._messenger = make_messenger(
            host, int(port), settings.fleet, self.edge.metrics
        )

    async def on_stop(self) -> None:
        """Close the sockets."""
        if self._messenger is not None:
            self._messenger.close()

    def hurry(self) -> None:
        """Send a heartbeat now."""
        self._urgent.set()

    def send(self, name: str, message: Message) -> None:
        """Send a message to a VM by name; drop it where its address is not known."""
        address = self.edge.vms.addresses().get(name)
        if address is not None:
            self._send([address], message)

    def broadcast(self, message: Message) -> None:
        """Send a message to every VM that may exist."""
        addresses = set(self.edge.vms.addresses().values())
        if not addresses or self.edge.mirror.revision == 0:
            addresses.update(
                f"tcp://{seed}" for seed in self.edge.settings.seed_links()
            )
        addresses.discard(f"tcp://{self.edge.settings.addresses.links}")
        self._send(addresses, message)

    def _send(self, addresses: Iterable[str], message: Message) -> None:
        if self._messenger is not None:
            self._messenger.send(addresses, message)

    @Service.task
    async def _beat(self) -> None:
        edge = self.edge
        while not self.should_stop:
            now_ms = edge.clock.now_ms()
            for name in edge.vms.find_gone(now_ms):
                log_event("vm_forgotten", vm=name)
            live = edge.vms.live(now_ms)
            self._log_changes({beat.sender for beat in live})
            edge.time.settle({beat.sender for beat in live})
            edge.budget.set_nodes(len(live) + 1)
            edge.board.dispatcher.set_connection_share(
                find_share(edge.settings.strength_percent, live)
            )
            self.broadcast(edge.make_beat())
            if self._messenger is not None:
                self._messenger.close_idle(set(edge.vms.addresses().values()))
            pause_s = find_beat_ms(len(live)) / 1_000
            try:
                await asyncio.wait_for(self._urgent.wait(), pause_s)
            except TimeoutError:
                pass
            self._urgent.clear()

    def _log_changes(self, live: set[str]) -> None:
        """Log the VMs whose heartbeats have stopped or are back."""
        for name in sorted(self._live - live):
            log_event("vm_lost", vm=name, live=len(live))
        for name in sorted(live - self._live):
            log_event("vm_live", vm=name, live=len(live))
        self._live = live

    @Service.task
    async def _tell_crashes(self) -> None:
        while not self.should_stop:
            news = await self.edge.crash_news.get()
            self.broadcast(CrashTold(self.edge.settings.node, news))

    @Service.task
    async def _receive(self) -> None:
        assert self._messenger is not None
        async for message in self._messenger.receive():
            self.take(message)

    def take(self, message: Message) -> None:
        """Act on one message from another VM."""
        match message:
            case VmBeat():
                self._take_beat(message)
            case StoreNews():
                self._take_news(message)
            case StoreAsk():
                self._answer_ask(message)
            case StoreCopy():
                self._take_copy(message)
            case CrashTold():
                mark = message.mark
                event = ev.CrashHeard(mark.fingerprint, mark.upstream, mark.lifted)
                self.edge.board.feed(event)
            case CountsTold():
                for record in message.records:
                    self.edge.totals.put(record)

    def _take_beat(self, beat: VmBeat) -> None:
        edge = self.edge
        now_ms = edge.clock.now_ms()
        if edge.vms.note(beat, now_ms):
            log_event("vm_heard", vm=beat.sender, domain=beat.domain)
            self.hurry()
        edge.time.note(beat.sender, beat.steady_ms, now_ms)
        edge.note_demand(beat.demand)
        edge.router.engines.note_remote(beat.sender, beat.unread, beat.read, now_ms)
        if beat.revision > edge.mirror.revision and edge.mirror.revision == 0:
            self._ask(beat.sender)

    def _ask(self, name: str) -> None:
        """Ask a VM for its whole mirror, not too often."""
        edge = self.edge
        now_ms = edge.clock.now_ms()
        if now_ms - self._asked_ms < ASK_PAUSE_MS:
            return
        self._asked_ms = now_ms
        addresses = edge.settings.addresses
        self.send(
            name,
            StoreAsk(
                edge.settings.node, f"tcp://{addresses.links}", edge.mirror.revision
            ),
        )

    def _take_news(self, news: StoreNews) -> None:
        edge = self.edge
        found = edge.mirror.apply(news.base, news.revision, news.items)
        if found is None:
            self._ask(news.sender)
            return
        edge.mirror.confirm(news.revision, edge.clock.now_ms() - news.age_ms)
        if found:
            self._on_items(found)

    def _answer_ask(self, ask: StoreAsk) -> None:
        edge = self.edge
        if edge.mirror.revision <= ask.revision:
            return
        age_ms = edge.mirror.age_ms(edge.clock.now_ms())
        if age_ms is None:
            return
        copy = StoreCopy(
            edge.settings.node, edge.mirror.revision, age_ms, edge.mirror.all()
        )
        self._send([ask.link_address], copy)

    def _take_copy(self, copy: StoreCopy) -> None:
        edge = self.edge
        found = edge.mirror.replace(copy.revision, copy.items)
        if found is None:
            return
        edge.mirror.confirm(copy.revision, edge.clock.now_ms() - copy.age_ms)
        if found:
            self._on_items(found)

    def tell_news(self, base: int, items: list[Item], age_ms: int) -> None:
        """Pass on what was just read from the store."""
        edge = self.edge
        self.broadcast(
            StoreNews(edge.settings.node, base, edge.mirror.revision, age_ms, items)
        )
