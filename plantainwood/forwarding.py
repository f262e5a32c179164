"""Forwarding of opaque calls as the dispatcher decides, with bodies byte for byte."""

import asyncio
from typing import Awaitable, TypeVar

from plantainwood.answerends import EndRecorder
from plantainwood.answerparser import ResponseHead
from plantainwood.answerreader import EventReader, read_whole_answer
from plantainwood.attempterrors import (
    AttemptError,
    make_not_run_error,
    make_unreached_error,
)
from plantainwood.attemptlogs import SilenceLog, log_dispatch, log_failure
from plantainwood.attempts import AttemptRunner
from plantainwood.broker import ActiveRequest, RequestBroker
from plantainwood.calls import (
    AttemptResult,
    Call,
    CallSummary,
    Codec,
    OutgoingAttempt,
    Sink,
    StartObserver,
    make_arrival,
)
from plantainwood.connectionpool import ConnectionPool
from plantainwood.connections import Connection
from plantainwood.core import events as ev
from plantainwood.core.awake import AwakeClock
from plantainwood.core.catalogue import DiscoveredUpstream
from plantainwood.core.clock import Clock
from plantainwood.core.errors import ErrorCode, Outcome, RequestError
from plantainwood.core.eventstream import EventSplitter
from plantainwood.core.keys import Identity
from plantainwood.core.routes import RetrySafety
from plantainwood.core.servingvms import is_serving_vm
from plantainwood.core.stalls import (
    compute_first_byte_stall_ms,
    compute_gap_stall_ms,
    may_retry,
)
from plantainwood.pathprobe import PathProber
from plantainwood.silence import SilenceObserver, SilenceWatch
from plantainwood.spans import Spans
from plantainwood.upstreamreports import ReportRecorder
from plantainwood.vmcalls import (
    encode_call,
    read_refusal,
    resume_call,
    take_served_upstream,
)

BUSY_PAUSE_MS = 150
"""How long this node sends no attempt to an upstream that was at capacity."""
WRONG_INSTANCE_PAUSE_MS = 1_000
TIMEOUT_RETRY_AFTER_MS = 150
"""When to retry a request for which no upstream was available in time."""
TIMEOUT_MARGIN_MS = 20
"""How long before a call's deadline the timeout error is returned."""
STREAM_STATUS = 200
VM_STALL_FACTOR = 2
"""How much longer another VM may be silent than an upstream: that VM acts first."""

Result = TypeVar("Result")


class Forwarder:
    """Forward calls to upstreams according to the dispatcher's decisions."""

    def __init__(
        self,
        broker: RequestBroker,
        connection_pool: ConnectionPool,
        path_prober: PathProber,
        codec: Codec,
        start_observer: StartObserver,
        end_recorder: EndRecorder,
        spans: Spans,
        node: str,
        secret: str,
        awake_clock: AwakeClock,
    ) -> None:
        self.spans = spans
        self.node = node
        self.secret = secret
        """Authenticates calls between the VMs of the fleet."""
        self.broker = broker
        self.connection_pool = connection_pool
        self.path_prober = path_prober
        self.codec = codec
        self.report_recorder = ReportRecorder(broker, codec)
        self.start_observer = start_observer
        self.end_recorder = end_recorder
        self.awake_clock = awake_clock
        """For what judges others; it leaves out the standstills of this process."""

    async def forward(self, call: Call, sink: Sink, clock: Clock) -> CallSummary:
        """Send the complete answer to the sink, or raise RequestError.

        The error's outcome never claims more than is proved about whether the
        request ran.
        """
        forwarded = ForwardedCall(self, call, sink, clock)
        try:
            return await forwarded.serve()
        except BaseException as error:
            self.end_recorder.record(
                call, forwarded.summary, sink, forwarded.is_via_vm, error
            )
            raise


class SentAttempt(SilenceObserver):
    """An attempt on its connection, and the watch over its silence."""

    __slots__ = ("dispatch", "connection", "via_vm", "watch", "_forwarder")

    def __init__(
        self,
        forwarder: Forwarder,
        dispatch: ev.Dispatch,
        connection: Connection,
        via_vm: bool,
    ) -> None:
        self._forwarder = forwarder
        self.dispatch = dispatch
        self.connection = connection
        self.via_vm = via_vm
        self.watch = SilenceWatch(forwarder.awake_clock, self)

    async def examine_silence(self) -> None:
        """Find out whether an upstream or the path to all of them is out of reach."""
        if self.via_vm:
            return
        prober = self._forwarder.path_prober
        prober.check_silent(self.connection.address)
        await prober.has_path(self.connection.address)

    def report_silence(self, silent_ms: int) -> None:
        """Let the dispatcher decide whether the silent attempt goes on."""
        # What has come would still be relayed once the attempt is replaced.
        if not self.connection.is_waited_for:
            return
        broker = self._forwarder.broker
        dispatch = self.dispatch
        state = broker.dispatcher.state
        if state.find_running(dispatch.request_id, dispatch.attempt) is None:
            return
        broker.feed(ev.AttemptSilent(dispatch.request_id, dispatch.attempt, silent_ms))
        if state.find_running(dispatch.request_id, dispatch.attempt) is None:
            self.connection.hold()


class ForwardedCall(AttemptRunner):
    """One call from its arrival to its answer."""

    def __init__(
        self, forwarder: Forwarder, call: Call, sink: Sink, clock: Clock
    ) -> None:
        identity = Identity(call.customer, "")
        active_request = ActiveRequest(call.local_id, identity, not call.authenticated)
        super().__init__(forwarder.broker, active_request)
        self.forwarder = forwarder
        self.call = call
        self.sink = sink
        self.clock = clock
        self.summary = CallSummary()
        self.splitter = EventSplitter()
        self._may_have_run = False
        """Whether an attempt was sent that is not proved not to have run."""
        self._via_vm = False
        """Whether another VM serves the running attempt."""
        self._refused_by: set[str] = set()
        """The upstreams that have said that they did not run this call."""
        self._sent: SentAttempt
        """The attempt that was sent last, or returned to."""
        self._held_sent: SentAttempt | None = None
        """The silent attempt that is held until the next one begins."""
        self._silences = SilenceLog(call)

    @property
    def is_via_vm(self) -> bool:
        """Return whether another VM serves the running attempt, or served the last."""
        return self._via_vm

    async def serve(self) -> CallSummary:
        """Register the call, follow the decisions on it, end before its deadline."""
        broker = self.broker
        broker.register(self.active_request)
        left_ms = self.call.deadline_ms - self.clock.now_ms() - TIMEOUT_MARGIN_MS
        try:
            async with asyncio.timeout(max(0, left_ms) / 1_000):
                broker.feed(make_arrival(self.call))
                await self.follow_decisions()
        except TimeoutError as error:
            raise self._make_timeout_error() from error
        finally:
            broker.unregister(self.active_request)
        return self.summary

    def _make_timeout_error(self) -> RequestError:
        if self._may_have_run:
            message = "no whole answer came in the time of the route"
            return RequestError(ErrorCode.UPSTREAM_TIMEOUT, message, Outcome.UNKNOWN)
        message = "no upstream was free in the time of the route"
        return RequestError(
            ErrorCode.QUEUE_TIMEOUT, message, Outcome.NOT_RUN, TIMEOUT_RETRY_AFTER_MS
        )

    async def perform_attempt(self, dispatch: ev.Dispatch) -> None:
        """Open a span and run an attempt in it; raise AttemptError if it fails."""
        self.summary.attempts += 1
        self.summary.upstream = dispatch.upstream
        state = self.broker.dispatcher.state
        load = state.loads.get(dispatch.upstream)
        if load is None:
            raise make_unreached_error("the upstream is no longer known")
        log_dispatch(
            self.call,
            dispatch,
            load,
            state,
            self.splitter.last_id or self.call.last_event_id,
            self.clock.now_ms(),
        )
        self._via_vm = is_serving_vm(load)
        with self.forwarder.spans.open("attempt", upstream=dispatch.upstream):
            await self._perform_on_connection(dispatch, load.entry)

    def record_failure(self, dispatch: ev.Dispatch, error: AttemptError) -> None:
        """Log a failed attempt, and record whether it may have run."""
        self.summary.reasons.append(str(error))
        log_failure(self.call, dispatch, error, self._has_begun(dispatch))
        if not error.proved_not_run:
            self._may_have_run = True

    def record_silence(self, judged: ev.SilenceJudged) -> None:
        """Log what is done about a silent attempt; note one that is to be replaced."""
        self._silences.record(judged)
        if judged.obstacle is None:
            self._held_sent = self._sent
            self.summary.reasons.append(f"silent for {judged.silent_ms} ms")

    def end_hold(self) -> None:
        """Forget the held attempt, which is given up."""
        self._held_sent = None

    def go_on_with_held(self, decision: ev.ReturnToHeld) -> None:
        """Relay the held attempt again, beginning with what has come meanwhile."""
        held, self._held_sent = self._held_sent, None
        assert held is not None
        self._sent = held
        self._via_vm = held.via_vm
        self.summary.upstream = self.sink.upstream or decision.upstream
        self._silences.record_return(decision)
        held.connection.go_on()

    def find_outcome(self) -> Outcome:
        """Return whether the call may have run: not before an attempt was sent."""
        return Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN

    def _has_begun(self, dispatch: ev.Dispatch) -> bool:
        """Tell whether the upstream began to answer the running attempt."""
        state = self.broker.dispatcher.state
        request = state.find_running(dispatch.request_id, dispatch.attempt)
        return request is not None and request.first_token_ms > 0

    async def _perform_on_connection(
        self, dispatch: ev.Dispatch, entry: DiscoveredUpstream
    ) -> None:
        """Send an attempt on a connection and relay its answer."""
        connection = await self._connect(dispatch.upstream, entry.address)
        sent = SentAttempt(self.forwarder, dispatch, connection, self._via_vm)
        self._sent = sent
        succeeded = False
        may_have_run_before = self._may_have_run
        try:
            data = self._encode(dispatch, entry)
            self._may_have_run = True
            self.limit_hold()
            # The refusals of other VMs name no request.
            connection.send(
                data,
                self.call.request_id.encode(),
                self.forwarder.codec.id_header,
                may_omit_id=self._via_vm,
                is_bodiless=self.call.method == b"HEAD" and not self._via_vm,
            )
            if self._via_vm:
                response = await self._read_head_from_vm(connection)
            else:
                response = await self._read_head(connection, dispatch)
                self.sink.upstream = dispatch.upstream
            self.give_up_held()
            await self._relay(connection, response, dispatch)
            succeeded = True
        except AttemptError as error:
            if error.proved_not_run:
                self._may_have_run = may_have_run_before
            raise
        except RequestError as error:
            if error.outcome is Outcome.NOT_RUN and may_have_run_before:
                error.outcome = Outcome.UNKNOWN
                error.code = ErrorCode.UPSTREAM_FAILED
            raise
        finally:
            sent.watch.close()
            if succeeded:
                self.forwarder.connection_pool.release(connection)
            else:
                connection.close()

    def _encode(self, dispatch: ev.Dispatch, entry: DiscoveredUpstream) -> bytes:
        """Return the attempt's request, to an upstream or to another VM."""
        if self._via_vm:
            return self._encode_for_vm(dispatch)
        outgoing = OutgoingAttempt(
            entry,
            self.call.deadline_ms - self.clock.now_ms(),
            self.splitter.last_id or self.call.last_event_id,
            self._get_address(dispatch.source),
        )
        return self.forwarder.codec.encode(self.call, outgoing)

    def _encode_for_vm(self, dispatch: ev.Dispatch) -> bytes:
        """Return the request to another VM; a stream that has begun is resumed."""
        call = resume_call(self.call, self.splitter.last_id)
        state = self.broker.dispatcher.state
        request = state.find_running(dispatch.request_id, dispatch.attempt)
        made_before = request.attempts_made - 1 if request is not None else 0
        return encode_call(
            call,
            self.forwarder.node,
            dispatch.attempt,
            call.route.attempts - made_before,
            self.clock.now_ms(),
            self.forwarder.secret,
        )

    async def _read_head_from_vm(self, connection: Connection) -> ResponseHead:
        """Return the head of the answer that another VM got; raise if it refused.

        Raise AttemptError if a further VM may serve the call, else RequestError.
        """
        stall_ms = compute_first_byte_stall_ms(self.call.route, self.summary.attempts)
        response = await self._read(connection.read_head(), connection, stall_ms)
        upstream = take_served_upstream(response)
        if not upstream:
            raise await read_refusal(connection)
        # The other VM may be of an earlier build, which passes on what does not count.
        result = self.forwarder.codec.classify_response(response)
        _check_reliable(result, response)
        if result is AttemptResult.FAILED and self._held is not None:
            raise AttemptError(f"status {response.status}", False, False)
        self.summary.upstream = upstream
        self.sink.upstream = upstream
        self.forwarder.report_recorder.record_elsewhere(
            upstream, self.call.request_id, response
        )
        return response

    async def _connect(self, upstream: str, address: str) -> Connection:
        """Return a connection; if none opens, find out whether the path is lost.

        It is a new one to an upstream that has refused this call: on a kept one that
        refusal, written once more, could not be told from an answer to the next try.
        """
        fresh = upstream in self._refused_by
        try:
            return await self.forwarder.connection_pool.acquire(address, fresh)
        except AttemptError as error:
            if not self._via_vm:
                error.broken = isinstance(error.__cause__, ConnectionRefusedError)
                await self.forwarder.path_prober.has_path(address)
            raise

    def _get_address(self, upstream: str) -> str:
        """Return an upstream's address; empty if it is gone or none is given."""
        load = self.broker.dispatcher.state.loads.get(upstream)
        return load.entry.address if load is not None else ""

    async def _read_head(
        self, connection: Connection, dispatch: ev.Dispatch
    ) -> ResponseHead:
        """Return the head to relay; raise AttemptError if the attempt failed."""
        route = self.call.route
        stall_ms = compute_first_byte_stall_ms(route, self.summary.attempts)
        response = await self._read(connection.read_head(), connection, stall_ms)
        result = self.forwarder.report_recorder.record(
            dispatch.upstream, self.call.request_id, response
        )
        if result in (AttemptResult.BUSY, AttemptResult.WRONG_INSTANCE):
            if response.may_be_earlier:
                raise AttemptError("a refusal that names no request", False, False)
            self._refused_by.add(dispatch.upstream)
        _check_reliable(result, response)
        if result is AttemptResult.BUSY:
            raise make_not_run_error("the upstream is at capacity", BUSY_PAUSE_MS)
        if result is AttemptResult.WRONG_INSTANCE:
            raise make_not_run_error(
                "another process listens at the address", WRONG_INSTANCE_PAUSE_MS
            )
        is_replaceable = self._held is not None or may_retry(
            route, self.summary.attempts
        )
        if result is AttemptResult.FAILED and is_replaceable:
            raise AttemptError(f"status {response.status}", False, False)
        return response

    async def _read(
        self, reading: Awaitable[Result], connection: Connection, stall_ms: int
    ) -> Result:
        """Return what is read; raise AttemptError if that fails.

        A silence of more than `stall_ms` is reported, but only the call's deadline
        ends the wait here.
        """
        if self._via_vm:
            stall_ms *= VM_STALL_FACTOR
        try:
            with self._sent.watch.watch(stall_ms):
                return await reading
        except AttemptError as error:
            prober = self.forwarder.path_prober
            lost = error.crashed and not connection.timed_out
            error.broken = lost and not self._via_vm
            error.crashed = not self._via_vm and await prober.has_crashed(connection)
            raise

    async def _relay(
        self, connection: Connection, response: ResponseHead, dispatch: ev.Dispatch
    ) -> None:
        is_stream = self.call.route.retry_safety is RetrySafety.STREAM
        if is_stream and response.status == STREAM_STATUS:
            await self._relay_stream(connection, response, dispatch)
            return
        if self.sink.started:
            reason = f"status {response.status} in place of the rest of a stream"
            raise AttemptError(reason, False, proved_not_run=False)
        body = await read_whole_answer(connection, self.sink.reserve)
        self._report_progress(dispatch, 0)
        self.summary.status = response.status
        await self.sink.send_answer(response, body)

    async def _reserve(self, size_bytes: int) -> None:
        """Wait for room for a large event; the upstream is not read meanwhile."""
        with self._sent.watch.suspend():
            await self.sink.reserve(size_bytes)

    async def _relay_stream(
        self, connection: Connection, response: ResponseHead, dispatch: ev.Dispatch
    ) -> None:
        """Relay complete events only; a failed attempt leaves no partial event."""
        events = EventReader(connection, self.splitter, self._reserve)
        self.summary.status = response.status
        stall_ms = compute_gap_stall_ms(self.call.route, self.summary.attempts)
        is_first = True
        while True:
            events_before = self.splitter.event_count
            complete_events = await self._read(events.read(), connection, stall_ms)
            if not complete_events:
                break
            if not self.sink.started:
                await self.sink.start_stream(response)
            self._report_progress(
                dispatch, self.splitter.event_count - events_before, is_first
            )
            is_first = False
            await self.sink.write(complete_events)
        if not self.sink.started:
            await self.sink.start_stream(response)
        await self.sink.finish()

    def _report_progress(
        self, dispatch: ev.Dispatch, events: int, is_first: bool = True
    ) -> None:
        broker = self.broker
        if is_first:
            if self.summary.first_byte_ms < 0:
                self.summary.first_byte_ms = self.clock.now_ms() - self.call.arrived_ms
                if not self._via_vm:
                    self.forwarder.start_observer.record_start(self.call)
            served_by = self.summary.upstream if self._via_vm else ""
            broker.feed(
                ev.AttemptStarted(dispatch.request_id, dispatch.attempt, served_by)
            )
        if events:
            self.summary.events += events
            broker.feed(ev.TokensRelayed(dispatch.request_id, dispatch.attempt, events))


def _check_reliable(result: AttemptResult, response: ResponseHead) -> None:
    """Raise AttemptError for a response that is no answer and proves nothing."""
    if result is AttemptResult.FOREIGN:
        reason = "the answer is no upstream's"
    elif result is AttemptResult.INVALID:
        reason = f"status {response.status} without a seal, or encoded"
    elif result is AttemptResult.UNPROVED:
        reason = f"status {response.status} without proof that the call did not run"
    else:
        return
    raise AttemptError(reason, crashed=False, proved_not_run=False)
