"""Bounds on what all clients of a process hold together.

Checked at intervals, and when a connection or bytes come that do not fit. An interval
counts as its nominal length, however late the check comes, so that clients
are not refused because the VM was busy.
"""

import asyncio
import logging
import resource
from typing import Callable, Iterable

from mode import Service

from plantainwood.bodyroom import BodyRoom
from plantainwood.chunkturns import ChunkTurns
from plantainwood.clienthandler import ClientHandler
from plantainwood.core.clientlimits import ClientLimits, compute_client_limits
from plantainwood.core.errors import ErrorCode, RequestError
from plantainwood.core.pools import Pool
from plantainwood.guardedtask import guarded_task
from plantainwood.logs import log_event
from plantainwood.metrics import Metrics

CHECK_MS = 250
BODY_GRACE_MS = 10_000
"""How long a body may come more slowly than at MIN_BODY_BYTES_PER_S."""
MIN_BODY_BYTES_PER_S = 8_192
UNREAD_MS = 10_000
"""How long a client may read nothing of a response that waits for it."""
ROOM_WAIT_S = 0.5
"""Room is short once something has waited for it this long."""
SLOT_WAIT_MS = 500
"""Slots are short once a request has waited for one this long."""
QUIET_MS = 750
"""How long a client that holds room or a slot may be quiet while these are short."""
EVICTED_PART = 16
"""The part of the connections that is dropped together, so that sorting is rare."""
MIN_EVICTED_MS = 500
"""A connection for whose client this node has waited less is not dropped in favour of a
new one."""
LINGERING_PART = 4
"""The part of the connections that may be ending."""
SMALL_RELIEF_PART = 4
LOG_MS = 1_000
"""Refusals are logged once in this time, with their number."""


class ClientGuard:
    """Hold the connections of a process's clients and drop those that hold too much."""

    def __init__(
        self, memory_mb: float | None, descriptors: float | None, metrics: Metrics
    ) -> None:
        soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.limits: ClientLimits = compute_client_limits(
            memory_mb, min(descriptors or soft_limit, soft_limit)
        )
        self.body_room = BodyRoom(self.limits.body_bytes)
        self.answer_room = BodyRoom(self.limits.answer_bytes)
        self.body_room.small_bytes = self.limits.small_bytes
        self.body_room.on_counted = self._relieve_small
        self.chunk_turns = ChunkTurns()
        self.list_short_pools: Callable[[int], Iterable[Pool]] = lambda wait_ms: ()
        """Returns the pools in which a request has waited longer for a slot."""
        self._metrics = metrics
        self._connections: set[ClientHandler] = set()
        self._refusals: dict[str, int] = {}
        self._since_log_ms = 0

    def add(self, connection: ClientHandler) -> None:
        """Add a new connection; drop others, or it, if there are too many."""
        self._connections.add(connection)
        excess = len(self._connections) - self.limits.connections
        if excess <= 0:
            return
        batch = excess + self.limits.connections // EVICTED_PART
        if not self._evict(batch):
            self._drop(connection, "connections")

    def remove(self, connection: ClientHandler) -> None:
        """Forget a closed connection."""
        self._connections.discard(connection)

    def note_refusal(self, reason: str) -> None:
        """Count a refusal for the metric and the next log line."""
        self._metrics.refused_clients.inc({"reason": reason})
        self._refusals[reason] = self._refusals.get(reason, 0) + 1

    def check(self) -> None:
        """Look at all connections once; refuse or drop those out of bounds."""
        unread_bytes = 0
        for connection in list(self._connections):
            connection.observe(CHECK_MS)
            unread_bytes += connection.count_unread()
            self._check_rate(connection)
        if self.body_room.compute_wait_s() > ROOM_WAIT_S:
            self._free_body_room()
        if self.answer_room.compute_wait_s() > ROOM_WAIT_S:
            self._free_answer_room()
        self._free_slots()
        self._relieve_unread(unread_bytes)
        self._report(unread_bytes)

    def _check_rate(self, connection: ClientHandler) -> None:
        """Refuse a body that is too slow, drop a client that does not read."""
        if connection.count_unread():
            if connection.quiet_ms >= UNREAD_MS:
                self._drop(connection, "unread")
            return
        if not connection.may_refuse_body():
            return
        late_ms = connection.waited_ms - BODY_GRACE_MS
        if connection.count_body() * 1_000 < MIN_BODY_BYTES_PER_S * late_ms:
            self._refuse_body(connection, "slow", ErrorCode.BODY_TIMEOUT)

    def _free_body_room(self) -> None:
        """Refuse the bodies that hold room and do not come."""
        for connection in list(self._connections):
            reservation = connection.reservation
            if reservation is None or not reservation.is_granted:
                continue
            if connection.quiet_ms < QUIET_MS:
                continue
            if connection.may_refuse_body():
                self._refuse_body(connection, "stalled", ErrorCode.BODY_TIMEOUT)
            elif connection.count_unread():
                self._drop(connection, "unread")

    def _free_answer_room(self) -> None:
        """Drop the clients that hold an answer and do not read."""
        for connection in list(self._connections):
            if connection.count_unread() and connection.quiet_ms >= QUIET_MS:
                self._drop(connection, "unread")

    def _free_slots(self) -> None:
        """Drop clients that hold slots and do not read, as many as wait for these."""
        quiet: dict[str, ClientHandler] = {}
        for connection in self._connections:
            is_quiet = connection.count_unread() and connection.quiet_ms >= QUIET_MS
            if is_quiet and connection.call_id:
                quiet[connection.call_id] = connection
        if not quiet:
            return
        for pool in self.list_short_pools(SLOT_WAIT_MS):
            holders = [quiet[name] for name in pool.running if name in quiet]
            holders.sort(key=lambda each: each.quiet_ms, reverse=True)
            for connection in holders[: pool.count_waiting()]:
                self._drop(connection, "unread")

    def _relieve_small(self) -> None:
        """Refuse incomplete bodies if those without a reservation hold too much."""
        limit = self.limits.small_bytes
        if self.body_room.counted_bytes <= limit:
            return
        for connection in self._rank_bodies():
            if self.body_room.counted_bytes <= limit - limit // SMALL_RELIEF_PART:
                return
            reservation = connection.reservation
            if reservation is not None and not reservation.is_granted:
                self._refuse_body(connection, "memory", ErrorCode.OVERLOADED)

    def _relieve_unread(self, unread_bytes: int) -> None:
        """Drop clients that do not read if their responses hold too much."""
        limit = self.limits.unread_bytes
        if unread_bytes <= limit:
            return
        unread = [each for each in self._connections if each.count_unread()]
        unread.sort(key=lambda each: each.count_unread() * each.quiet_ms, reverse=True)
        for connection in unread:
            if unread_bytes <= limit or connection.quiet_ms < QUIET_MS:
                return
            unread_bytes -= connection.count_unread()
            self._drop(connection, "unread")

    def _rank_bodies(self) -> list[ClientHandler]:
        """Return the connections with incomplete bodies; most for longest first."""
        found: list[ClientHandler] = []
        for connection in self._connections:
            if connection.may_refuse_body():
                found.append(connection)
        found.sort(key=lambda each: each.count_body() * each.waited_ms, reverse=True)
        return found

    def _evict(self, count: int) -> int:
        """Drop at most that many connections; return how many.

        Connections that never sent a whole request go before idle ones that did;
        those whose request was read and is being served stay.
        """
        found: list[ClientHandler] = []
        for connection in self._connections:
            is_old = connection.waited_ms >= MIN_EVICTED_MS
            if is_old and connection.is_waiting_for_client():
                found.append(connection)
        found.sort(key=_rank_for_eviction)
        for connection in found[:count]:
            self._drop(connection, "connections")
        return min(count, len(found))

    def may_linger(self) -> bool:
        """Return whether one more connection may be read while it is ending."""
        ending = sum(1 for each in self._connections if each.is_ending)
        return ending <= self.limits.connections // LINGERING_PART

    def _refuse_body(
        self, connection: ClientHandler, reason: str, code: ErrorCode
    ) -> None:
        self.note_refusal(reason)
        connection.refuse_body(make_refusal(code))

    def _drop(self, connection: ClientHandler, reason: str) -> None:
        self.note_refusal(reason)
        self._connections.discard(connection)
        connection.drop()

    def _report(self, unread_bytes: int) -> None:
        held = self._metrics.client_bytes
        held.set({"kind": "bodies"}, self.body_room.held_bytes)
        held.set({"kind": "answers"}, self.answer_room.held_bytes)
        held.set({"kind": "unread"}, unread_bytes)
        self._metrics.client_connections.set({}, len(self._connections))
        self._since_log_ms += CHECK_MS
        if self._since_log_ms < LOG_MS or not self._refusals:
            return
        self._since_log_ms = 0
        refusals, self._refusals = self._refusals, {}
        log_event(
            "clients_refused",
            logging.WARNING,
            open=len(self._connections),
            body_bytes=self.body_room.held_bytes,
            **refusals,
        )


class ClientWatch(Service):
    """Let the guard look at all connections at intervals."""

    def __init__(self, guard: ClientGuard, **kwargs) -> None:
        self.guard = guard
        super().__init__(**kwargs)

    @guarded_task
    async def _run(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(CHECK_MS / 1_000)
            self.guard.check()


def _rank_for_eviction(connection: ClientHandler) -> tuple[bool, int]:
    was_served = connection.is_idle() and connection.request_count > 0
    return was_served, -connection.waited_ms


def make_refusal(code: ErrorCode) -> RequestError:
    """Return the error of a request whose body was not read to its end."""
    if code is ErrorCode.OVERLOADED:
        return RequestError(code, "no memory for the body", retry_after_ms=1_000)
    return RequestError(code, "the body did not come fast enough")
