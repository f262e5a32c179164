"""Runner of a request's attempts, which follows the dispatcher's decisions on it."""

import asyncio
import logging
from abc import ABC, abstractmethod

from plantainwood.attempterrors import AttemptError
from plantainwood.broker import ActiveRequest, RequestBroker
from plantainwood.core import events as ev
from plantainwood.core.errors import ErrorCode, Outcome, RequestError
from plantainwood.logs import log_event

MAX_HOLD_MS = 250
"""How long two upstreams may work on a request, until the earlier is given up."""


class Finished:
    """End the queue of a request's decisions once its answer is complete."""

    __slots__ = ()


class AttemptRunner(ABC):
    """Carry out the dispatcher's decisions on one request until it ends.

    At most one attempt writes at a time: an attempt is cancelled or held, and has
    stopped writing, before the next one starts. A silent one is held until the next one
    begins, and goes on if that one fails before.
    """

    def __init__(self, broker: RequestBroker, active_request: ActiveRequest) -> None:
        self.broker = broker
        self.active_request = active_request
        self._attempt: asyncio.Task | None = None
        self._held: asyncio.Task | None = None
        """The silent attempt that the running one is to replace."""
        self._hold_timer: asyncio.TimerHandle | None = None

    @abstractmethod
    async def perform_attempt(self, dispatch: ev.Dispatch) -> None:
        """Send one attempt and relay its answer; raise AttemptError if it fails.

        Raise RequestError if no further attempt may follow.
        """

    def record_failure(self, dispatch: ev.Dispatch, error: AttemptError) -> None:
        """Record a failed attempt; the default does nothing."""

    def record_silence(self, judged: ev.SilenceJudged) -> None:
        """Record what is done about a silent attempt; the default does nothing."""

    def end_hold(self) -> None:
        """Note that the held attempt is given up; the default does nothing."""

    def go_on_with_held(self, decision: ev.ReturnToHeld) -> None:
        """Let the held attempt go on; the default does nothing."""

    async def prepare_refusal(self) -> None:
        """Do what must be done before the caller is refused; by default nothing."""

    def find_outcome(self) -> Outcome:
        """Return whether the request may have run; by default nothing is known."""
        return Outcome.UNKNOWN

    async def follow_decisions(self) -> None:
        """Return after the complete answer; raise RequestError if refused."""
        try:
            while True:
                decision = await self.active_request.decisions.get()
                if isinstance(decision, Finished):
                    return
                if isinstance(decision, ev.SilenceJudged):
                    self.record_silence(decision)
                    continue
                if isinstance(decision, ev.ReturnToHeld):
                    await self._return_to_held(decision)
                    continue
                if isinstance(decision, ev.Dispatch) and decision.holds_earlier:
                    self._held, self._attempt = self._attempt, None
                else:
                    await self._cancel_attempts()
                if isinstance(decision, ev.Refuse):
                    await self.prepare_refusal()
                    try:
                        raise decision.error
                    finally:
                        # Its traceback holds this frame, and so the request's body.
                        del decision
                if isinstance(decision, ev.Dispatch):
                    self._attempt = asyncio.create_task(self._run_attempt(decision))
        finally:
            await self._cancel_attempts()

    async def _cancel_attempts(self) -> None:
        """Cancel what runs or is held, and wait until it has stopped writing."""
        attempts = (self._attempt, self._held)
        self._attempt = None
        self._stop_hold_timer()
        if self._held is not None:
            self._held = None
            self.end_hold()
        for attempt in attempts:
            if attempt is not None:
                await _cancel(attempt)

    async def _return_to_held(self, decision: ev.ReturnToHeld) -> None:
        """Let the held attempt run in the place of the one that has failed."""
        failed, self._attempt, self._held = self._attempt, self._held, None
        if failed is not None:
            await _cancel(failed)
        self.go_on_with_held(decision)

    def limit_hold(self) -> None:
        """Hold an attempt for MAX_HOLD_MS from now on: its successor is being sent."""
        if self._held is not None:
            loop = asyncio.get_running_loop()
            self._hold_timer = loop.call_later(MAX_HOLD_MS / 1_000, self.give_up_held)

    def give_up_held(self) -> None:
        """Cancel the held attempt, which closes its connection; it writes nothing."""
        self._stop_hold_timer()
        if self._held is not None:
            self._held.cancel()
            self._held = None
            self.end_hold()

    async def _run_attempt(self, dispatch: ev.Dispatch) -> None:
        """Run one attempt and report its result to the dispatcher."""
        try:
            await self.perform_attempt(dispatch)
        except AttemptError as error:
            self.record_failure(dispatch, error)
            self._stop_hold_timer()
            self.broker.feed(
                ev.AttemptFailed(
                    dispatch.request_id,
                    dispatch.attempt,
                    error.crashed,
                    error.proved_not_run,
                    error.pause_ms,
                    error.reached,
                    error.broken,
                    holds_earlier=self._held is not None,
                )
            )
            return
        except RequestError as error:
            if self._held is not None:
                self._stop_hold_timer()
                self._report_refused(dispatch, error)
                return
            self._put_refusal(dispatch, error)
            return
        except ConnectionError:
            message = "the caller closed the connection"
            self._refuse(dispatch, ErrorCode.CALLER_LEFT, message)
            return
        except Exception as error:
            log_event(
                "attempt_error",
                logging.ERROR,
                request=dispatch.request_id,
                error=repr(error),
            )
            self._refuse(dispatch, ErrorCode.INTERNAL, "the router failed")
            return
        self.broker.feed(ev.AttemptDone(dispatch.request_id, dispatch.attempt))
        self.active_request.decisions.put_nowait(Finished())

    def _stop_hold_timer(self) -> None:
        """Hold an attempt until the next decision, however long that takes."""
        if self._hold_timer is not None:
            self._hold_timer.cancel()
            self._hold_timer = None

    def _report_refused(self, dispatch: ev.Dispatch, error: RequestError) -> None:
        """Report an attempt that another VM has refused while one is held."""
        is_not_run = error.outcome is Outcome.NOT_RUN
        failure = AttemptError(error.message, False, is_not_run, pause_ms=0)
        self.record_failure(dispatch, failure)
        self.broker.feed(
            ev.AttemptFailed(
                dispatch.request_id,
                dispatch.attempt,
                failure.crashed,
                failure.proved_not_run,
                failure.pause_ms,
                holds_earlier=True,
            )
        )

    def _refuse(self, dispatch: ev.Dispatch, code: ErrorCode, message: str) -> None:
        self._put_refusal(dispatch, RequestError(code, message, self.find_outcome()))

    def _put_refusal(self, dispatch: ev.Dispatch, error: RequestError) -> None:
        refusal = ev.Refuse(dispatch.request_id, error)
        self.active_request.decisions.put_nowait(refusal)


async def _cancel(task: asyncio.Task) -> None:
    """Cancel an attempt and wait until it has stopped writing."""
    task.cancel()
    await asyncio.wait([task])
    if not task.cancelled() and task.exception() is not None:
        raise task.exception()
