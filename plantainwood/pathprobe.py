"""Probes that tell a failed upstream from a lost path between this node and all."""

import asyncio
import random
from typing import Callable

from mode import Service

from plantainwood.attempterrors import AttemptError
from plantainwood.awakewaits import limit_awake
from plantainwood.broker import RequestBroker
from plantainwood.connectionpool import ConnectionPool
from plantainwood.connections import Connection
from plantainwood.core import events as ev
from plantainwood.core.clock import Clock
from plantainwood.core.loads import UpstreamLoad
from plantainwood.guardedtask import guarded_task
from plantainwood.logs import log_event

PROBE_TIMEOUT_MS = 250
WITNESSES_PER_POOL = 2
MAX_WITNESSES = 4
RESULT_LIFETIME_MS = 200
"""How long a result holds for further failures."""
CHECK_INTERVAL_MS = 400
MAX_PROBE_PAUSE_MS = 1_200
"""Below the time for which an upstream counts as out of reach after a probe."""
CHECKS_TO_REGAIN = 2
"""How many probes in a row must find the path before it is used again."""


class PathProber:
    """Open connections to other upstreams after an attempt at one has failed.

    If none of them accepts a connection, the path of this node is at fault and not the
    upstream. Failures at the same time share one probe. How long a probe may take is
    measured with `awake_clock`.
    """

    def __init__(
        self,
        broker: RequestBroker,
        connection_pool: ConnectionPool,
        clock: Clock,
        awake_clock: Clock,
    ) -> None:
        self._broker = broker
        self._connection_pool = connection_pool
        self._clock = clock
        self._awake_clock = awake_clock
        self._random = random.Random()
        self._probe: asyncio.Task[bool] | None = None
        self._probed_ms = -RESULT_LIFETIME_MS
        self._has_path = True
        self._checks: set[asyncio.Task[bool]] = set()
        self._checked_ms: dict[str, int] = {}
        """When a silent upstream was last probed, by address."""
        self.found_lost = asyncio.Event()
        """Set when the path is found to be lost."""

    async def has_path(self, failed_address: str) -> bool:
        """Return whether this node reaches upstreams other than the failed one.

        Without other upstreams nothing is known, and the path counts as working.
        """
        if self._clock.now_ms() - self._probed_ms < RESULT_LIFETIME_MS:
            return self._has_path
        if self._probe is None:
            self._probe = asyncio.create_task(self._run_probe(failed_address))
        return await asyncio.shield(self._probe)

    async def has_crashed(self, connection: Connection) -> bool:
        """Return whether an upstream that broke a connection has crashed.

        If no other upstream can be reached either, this node's path is at fault. Of one
        that fell silent it is not known.
        """
        address = connection.address
        if not await self._connection_pool.probe_refused(address):
            return False
        has_path = await self.has_path(address)
        return has_path and not connection.timed_out

    async def probe_again(self) -> bool:
        """Return whether one upstream, drawn at random, accepts a connection."""
        witnesses = self._choose_witnesses("")
        if not witnesses:
            return True
        address = self._random.choice(witnesses).entry.address
        self._has_path = await self._accepts_connection(address)
        self._probed_ms = self._clock.now_ms()
        return self._has_path

    async def _run_probe(self, failed_address: str) -> bool:
        try:
            witnesses = self._choose_witnesses(failed_address)
            self._has_path = not witnesses or await self._any_accepts(witnesses)
            self._probed_ms = self._clock.now_ms()
            log_event(
                "path_probed",
                failed=failed_address,
                witnesses=",".join(load.name for load in witnesses) or "-",
                accepted=self._has_path,
            )
            if not self._has_path:
                self._broker.feed(ev.PathProbed(lost=True))
                self.found_lost.set()
            return self._has_path
        finally:
            self._probe = None

    async def _any_accepts(self, witnesses: list[UpstreamLoad]) -> bool:
        """Return whether an upstream accepts a connection, as soon as one does."""
        probes = [
            asyncio.ensure_future(self._accepts_connection(load.entry.address))
            for load in witnesses
        ]
        try:
            for probe in asyncio.as_completed(probes):
                if await probe:
                    return True
            return False
        finally:
            for probe in probes:
                probe.cancel()

    async def probe_upstream(self, load: UpstreamLoad) -> bool:
        """Find out whether an upstream accepts a connection, and tell the dispatcher.

        Idle connections to one that accepts none may be dead without a reset.
        """
        address = load.entry.address
        reached = await self._accepts_connection(address)
        if not reached:
            self._connection_pool.drop(address)
        self._broker.feed(ev.UpstreamProbed(load.name, reached))
        log_event("upstream_probed", upstream=load.name, reached=reached)
        return reached

    def check_silent(self, address: str) -> None:
        """Find out in the background whether a silent upstream accepts connections.

        Attempts that are silent at the same time share one probe.
        """
        now_ms = self._clock.now_ms()
        for checked, checked_ms in list(self._checked_ms.items()):
            if now_ms - checked_ms >= RESULT_LIFETIME_MS:
                del self._checked_ms[checked]
        if address in self._checked_ms:
            return
        self._checked_ms[address] = now_ms
        for load in self._broker.dispatcher.state.loads.values():
            if load.entry.address != address or load.leaving:
                continue
            task = asyncio.create_task(self.probe_upstream(load))
            self._checks.add(task)
            task.add_done_callback(self._checks.discard)

    def list_unreached(self) -> list[UpstreamLoad]:
        """Return the upstreams out of this node's reach that stay."""
        now_ms = self._clock.now_ms()
        found: list[UpstreamLoad] = []
        for load in self._broker.dispatcher.state.loads.values():
            if load.is_unreached(now_ms) and not load.leaving:
                found.append(load)
        return found

    def _choose_witnesses(self, failed_address: str) -> list[UpstreamLoad]:
        """Return some upstreams of each pool, but not the failed one.

        Those known to be out of reach tell nothing new unless all of them are.
        """
        now_ms = self._clock.now_ms()
        chosen: list[UpstreamLoad] = []
        pools = list(self._broker.dispatcher.state.pools.values())
        self._random.shuffle(pools)
        for pool in pools:
            others = [
                load
                for load in pool.group
                if not load.leaving and load.entry.address != failed_address
            ]
            reached = [load for load in others if not load.is_unreached(now_ms)]
            others = reached or others
            count = min(WITNESSES_PER_POOL, len(others))
            chosen.extend(self._random.sample(others, count))
        return chosen[:MAX_WITNESSES]

    async def _accepts_connection(self, address: str) -> bool:
        try:
            async with limit_awake(PROBE_TIMEOUT_MS, self._awake_clock):
                connection = await self._connection_pool.acquire(address, fresh=True)
        except (AttemptError, TimeoutError):
            return False
        connection.close()
        return True


class ProbePauses:
    """When to probe each upstream next; the pause doubles with each failure.

    Many VMs may probe one upstream, so an outage must not bring ever more connections.
    """

    __slots__ = ("_due_ms", "_pause_ms")

    def __init__(self) -> None:
        self._due_ms: dict[str, int] = {}
        self._pause_ms: dict[str, int] = {}

    def is_due(self, name: str, now_ms: int) -> bool:
        """Tell whether to probe an upstream now."""
        return now_ms >= self._due_ms.get(name, 0)

    def record(self, name: str, reached: bool, now_ms: int) -> None:
        """Record the result of a probe."""
        if reached:
            self.forget(name)
            return
        pause_ms = self._pause_ms.get(name, CHECK_INTERVAL_MS)
        self._due_ms[name] = now_ms + pause_ms
        self._pause_ms[name] = min(MAX_PROBE_PAUSE_MS, 2 * pause_ms)

    def keep_only(self, names: set[str]) -> None:
        """Forget the upstreams that are no longer out of reach."""
        for name in self._due_ms.keys() - names:
            self.forget(name)

    def forget(self, name: str) -> None:
        """Start with the shortest pause when an upstream is out of reach again."""
        self._due_ms.pop(name, None)
        self._pause_ms.pop(name, None)


class ReachWatch(Service):
    """Probe the upstreams out of reach until they accept connections again.

    So no request of a caller is spent on finding out.
    """

    def __init__(self, prober: PathProber, clock: Clock, **kwargs) -> None:
        self._prober = prober
        self._clock = clock
        self._pauses = ProbePauses()
        super().__init__(**kwargs)

    @guarded_task
    async def _run(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1_000)
            unreached = self._prober.list_unreached()
            self._pauses.keep_only({load.name for load in unreached})
            now_ms = self._clock.now_ms()
            due = [load for load in unreached if self._pauses.is_due(load.name, now_ms)]
            await asyncio.gather(*(self._probe(load) for load in due))

    async def _probe(self, load: UpstreamLoad) -> None:
        reached = await self._prober.probe_upstream(load)
        self._pauses.record(load.name, reached, self._clock.now_ms())


class PathWatch(Service):
    """Tell the fleet when the path is lost, and probe a lost path until it is back."""

    def __init__(
        self,
        broker: RequestBroker,
        prober: PathProber,
        on_change: Callable[[], None],
        **kwargs,
    ) -> None:
        self._broker = broker
        self._prober = prober
        self._on_change = on_change
        self._told_lost = False
        self._found_in_a_row = 0
        super().__init__(**kwargs)

    @guarded_task
    async def _run(self) -> None:
        while not self.should_stop:
            state = self._broker.dispatcher.state
            if not state.path_lost:
                await self._prober.found_lost.wait()
            self._prober.found_lost.clear()
            while state.path_lost:
                self._tell(lost=True)
                await asyncio.sleep(CHECK_INTERVAL_MS / 1_000)
                await self._check()

    async def _check(self) -> None:
        """Probe a lost path once."""
        if not await self._prober.probe_again():
            self._found_in_a_row = 0
            return
        self._found_in_a_row += 1
        if self._found_in_a_row < CHECKS_TO_REGAIN:
            return
        self._broker.feed(ev.PathProbed(lost=False))
        self._tell(lost=False)

    def _tell(self, lost: bool) -> None:
        if lost == self._told_lost:
            return
        self._told_lost = lost
        self._found_in_a_row = 0
        log_event("path_lost" if lost else "path_regained")
        self._on_change()
