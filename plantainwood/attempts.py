"""Runner of a request's attempts, which follows the dispatcher's decisions on it."""

import asyncio
import logging
from abc import ABC, abstractmethod

from plantainwood.attempterrors import AttemptError
from plantainwood.broker import ActiveRequest, RequestBroker
from plantainwood.core import events as ev
from plantainwood.core.errors import ErrorCode, Outcome, RequestError
from plantainwood.logs import log_event


class Finished:
    """End the queue of a request's decisions once its answer is complete."""

    __slots__ = ()


class AttemptRunner(ABC):
    """Carry out the dispatcher's decisions on one request until it ends.

    At most one attempt runs at a time: an attempt is cancelled and has stopped
    writing before the next one starts.
    """

    def __init__(self, broker: RequestBroker, active_request: ActiveRequest) -> None:
        self.broker = broker
        self.active_request = active_request

    @abstractmethod
    async def perform_attempt(self, dispatch: ev.Dispatch) -> None:
        """Send one attempt and relay its answer; raise AttemptError if it fails.

        Raise RequestError if no further attempt may follow.
        """

    def record_failure(self, dispatch: ev.Dispatch, error: AttemptError) -> None:
        """Record a failed attempt; the default does nothing."""

    def record_silence(self, judged: ev.SilenceJudged) -> None:
        """Record what is done about a silent attempt; the default does nothing."""

    async def prepare_refusal(self) -> None:
        """Do what must be done before the caller is refused; by default nothing."""

    def find_outcome(self) -> Outcome:
        """Return whether the request may have run; by default nothing is known."""
        return Outcome.UNKNOWN

    async def follow_decisions(self) -> None:
        """Return after the complete answer; raise RequestError if refused."""
        attempt: asyncio.Task | None = None
        try:
            while True:
                decision = await self.active_request.decisions.get()
                if isinstance(decision, Finished):
                    return
                if isinstance(decision, ev.SilenceJudged):
                    self.record_silence(decision)
                    continue
                if attempt is not None:
                    await _cancel(attempt)
                    attempt = None
                if isinstance(decision, ev.Refuse):
                    await self.prepare_refusal()
                    try:
                        raise decision.error
                    finally:
                        # Its traceback holds this frame, and so the request's body.
                        del decision
                if isinstance(decision, ev.Dispatch):
                    attempt = asyncio.create_task(self._run_attempt(decision))
        finally:
            if attempt is not None:
                await _cancel(attempt)

    async def _run_attempt(self, dispatch: ev.Dispatch) -> None:
        """Run one attempt and report its result to the dispatcher."""
        try:
            await self.perform_attempt(dispatch)
        except AttemptError as error:
            self.record_failure(dispatch, error)
            self.broker.feed(
                ev.AttemptFailed(
                    dispatch.request_id,
                    dispatch.attempt,
                    error.crashed,
                    error.proved_not_run,
                    error.pause_ms,
                    error.reached,
                    error.broken,
                )
            )
            return
        except RequestError as error:
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
