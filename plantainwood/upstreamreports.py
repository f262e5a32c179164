"""What the head of an upstream's answer says of the upstream itself."""

from plantainwood.answerparser import ResponseHead
from plantainwood.broker import RequestBroker
from plantainwood.calls import AttemptResult, Codec
from plantainwood.core import events as ev
from plantainwood.core.coldupstreams import ColdSource
from plantainwood.core.loads import TIERS
from plantainwood.logs import log_event

FOREIGN_PAUSE_MS = 5_000
"""How long this node sends nothing to an address where no upstream answered."""
MAX_REMEMBERED = 1_000
"""Names of upstreams whose unreadable pace was logged."""


class ReportRecorder:
    """Tell the dispatcher, and the log, what answers say of their upstreams."""

    __slots__ = ("_broker", "_codec", "_unreadable_paces")

    def __init__(self, broker: RequestBroker, codec: Codec) -> None:
        self._broker = broker
        self._codec = codec
        self._unreadable_paces: set[str] = set()

    def record(
        self, upstream: str, request_id: str, response: ResponseHead
    ) -> AttemptResult:
        """Record what a head says of its upstream; return what it says of the attempt.

        The answer of another process at the address, or one that is not to be relied
        on, says nothing of the upstream.
        """
        result = self._codec.classify_response(response)
        if result in (AttemptResult.WRONG_INSTANCE, AttemptResult.INVALID):
            return result
        if result is AttemptResult.FOREIGN:
            self._broker.feed(ev.PauseNamed(upstream, FOREIGN_PAUSE_MS))
            return result
        self._record_load(upstream, response)
        self._record_limit(upstream, request_id, response)
        self._record_brittleness(upstream, request_id, response)
        self._record_cold(upstream, response)
        self._record_leaving(upstream, request_id, response)
        self._record_pause(upstream, request_id, response)
        return result

    def record_elsewhere(
        self, upstream: str, request_id: str, response: ResponseHead
    ) -> None:
        """Record what the head of an answer to another VM says of its upstream.

        A pause that it names concerns only that VM.
        """
        self._record_leaving(upstream, request_id, response)
        if upstream not in self._broker.dispatcher.state.loads:
            return
        self._record_limit(upstream, request_id, response)
        self._record_brittleness(upstream, request_id, response)
        self._record_cold(upstream, response)

    def _record_load(self, upstream: str, response: ResponseHead) -> None:
        load = self._codec.read_load(response)
        if load is None:
            return
        running, waiting = load
        by_tier = (0,) * (TIERS - 1) + (running + waiting,)
        pace = self._codec.read_pace(response)
        self._broker.feed(ev.LoadReported(upstream, by_tier, 0, pace or 0))
        self._log_pace(upstream, pace == 0)

    def _log_pace(self, upstream: str, is_unreadable: bool) -> None:
        """Log once that an upstream's pace can't be read, until it can be again."""
        if not is_unreadable:
            self._unreadable_paces.discard(upstream)
            return
        if upstream in self._unreadable_paces:
            return
        if len(self._unreadable_paces) >= MAX_REMEMBERED:
            self._unreadable_paces.clear()
        self._unreadable_paces.add(upstream)
        log_event("upstream_pace_unreadable", upstream=upstream)

    def _record_limit(
        self, upstream: str, request_id: str, response: ResponseHead
    ) -> None:
        """Record what an answer says of its upstream's rate limit; log a change."""
        per_s = self._codec.read_rate_limit(response)
        limits = self._broker.dispatcher.state.upstream_limits
        before = limits.find_limit(upstream)
        self._broker.feed(ev.LimitNamed(upstream, per_s))
        if limits.find_limit(upstream) != before:
            log_event(
                "upstream_limit",
                upstream=upstream,
                request=request_id,
                per_s=per_s,
                before=before,
            )

    def _record_brittleness(
        self, upstream: str, request_id: str, response: ResponseHead
    ) -> None:
        """Record whether an answer says that its upstream is brittle; log a change."""
        rejections_per_s = self._codec.read_brittleness(response)
        load = self._broker.dispatcher.state.loads.get(upstream)
        before = load.room if load is not None else None
        is_brittle = rejections_per_s is not None
        self._broker.feed(ev.BrittlenessNamed(upstream, is_brittle))
        if load is not None and load.room != before:
            log_event(
                "upstreams_brittle",
                upstream=upstream,
                request=request_id,
                rejections_per_s=rejections_per_s,
                room=load.room,
            )

    def _record_cold(self, upstream: str, response: ResponseHead) -> None:
        """Record how much longer an upstream is cold; a change is logged for all."""
        remaining_ms = self._codec.read_cold_ms(response)
        event = ev.ColdNamed(upstream, ColdSource.RESPONSE, remaining_ms)
        if remaining_ms is not None:
            self._broker.feed(event)
        elif upstream in self._broker.dispatcher.state.cold_sources:
            self._broker.feed(event)

    def _record_leaving(
        self, upstream: str, request_id: str, response: ResponseHead
    ) -> None:
        """Send nothing new to an upstream whose answer says that it leaves.

        That its entry says so too, or has lapsed, may not last; its own word does.
        """
        if not self._codec.is_leaving(response):
            return
        if self._broker.dispatcher.state.has_said_it_leaves(upstream):
            return
        self._broker.feed(ev.UpstreamLeaving(upstream))
        log_event("upstream_leaving", upstream=upstream, request=request_id)

    def _record_pause(
        self, upstream: str, request_id: str, response: ResponseHead
    ) -> None:
        """Send nothing to an upstream for as long as its rejection asks for."""
        pause_ms = self._codec.read_pause_ms(response)
        if pause_ms is None:
            return
        self._broker.feed(ev.PauseNamed(upstream, pause_ms))
        log_event(
            "upstream_paused",
            upstream=upstream,
            request=request_id,
            pause_ms=pause_ms,
        )
