"""Broker that passes events to the dispatcher and its decisions to requests."""

import asyncio
from typing import Callable

from plantainwood.core import events as ev
from plantainwood.core.awake import AwakeClock
from plantainwood.core.clock import Clock
from plantainwood.core.dispatcher import Dispatcher
from plantainwood.core.keys import Identity
from plantainwood.core.pools import Pool


class ActiveRequest:
    """A waiting or running request and the queue of decisions on it."""

    __slots__ = ("request_id", "identity", "open_to_all", "decisions")

    def __init__(self, request_id: str, identity: Identity, open_to_all: bool) -> None:
        self.request_id = request_id
        self.identity = identity
        self.open_to_all = open_to_all
        self.decisions: asyncio.Queue[ev.Decision] = asyncio.Queue()


class RequestBroker:
    """Feed events to one dispatcher and deliver its decisions."""

    __slots__ = (
        "dispatcher",
        "active_requests",
        "event_count",
        "_clock",
        "_awake_clock",
        "_on_fleet_decision",
    )

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Clock,
        awake_clock: AwakeClock,
        on_fleet_decision: Callable[[ev.FleetDecision], None],
    ) -> None:
        self.dispatcher = dispatcher
        self.active_requests: dict[str, ActiveRequest] = {}
        self.event_count = 0
        """The events since the start, as a measure of the work that is done."""
        self._clock = clock
        self._awake_clock = awake_clock
        self._on_fleet_decision = on_fleet_decision

    def register(self, request: ActiveRequest) -> None:
        """Register a request; this must precede the event of its arrival."""
        self.active_requests[request.request_id] = request

    def unregister(self, request: ActiveRequest) -> None:
        """Remove a request and cancel what it still has waiting or running."""
        if self.active_requests.pop(request.request_id, None) is None:
            return
        if request.request_id in self.dispatcher.state.requests:
            self.feed(ev.CallerLeft(request.request_id))

    def list_short_pools(self, wait_ms: int) -> list[Pool]:
        """Return the pools in which a request has been queued for longer."""
        return self.dispatcher.state.list_short_pools(wait_ms, self._clock.now_ms())

    def feed(self, event: ev.Event) -> None:
        """Let the dispatcher decide on an event and deliver its decisions at once."""
        self.event_count += 1
        self.dispatcher.state.stood_still_ms = self._awake_clock.count_left_out_ms()
        for decision in self.dispatcher.decide(event, self._clock.now_ms()):
            if isinstance(decision, ev.FleetDecision):
                self._on_fleet_decision(decision)
                continue
            request = self.active_requests.get(decision.request_id)
            if request is not None:
                request.decisions.put_nowait(decision)
