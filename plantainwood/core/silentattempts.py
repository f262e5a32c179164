"""Silent attempts: one is held until the next one begins, or goes on after all."""

from plantainwood.core import events as ev
from plantainwood.core.dispatcherstate import DispatcherState
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.requests import HeldAttempt, Request
from plantainwood.core.retries import RetryObstacle
from plantainwood.core.retryrules import avoid_upstream, find_retry_obstacle
from plantainwood.core.scheduling import choose_elsewhere, dispatch, dispatch_waiting
from plantainwood.core.servingvms import is_serving_vm


class _Constraints:
    """What a request had to keep to before a further attempt was considered."""

    __slots__ = ("_upstream", "_domain", "_version", "_version_unknown")

    def __init__(self, request: Request) -> None:
        self._upstream = request.avoid_upstream
        self._domain = request.avoid_domain
        self._version = request.version
        self._version_unknown = request.version_unknown

    def restore(self, request: Request) -> None:
        """Let them hold again: what is known now may be no longer true later."""
        request.avoid_upstream = self._upstream
        request.avoid_domain = self._domain
        request.version = self._version
        request.version_unknown = self._version_unknown


def handle_silent(
    state: DispatcherState, event: ev.AttemptSilent, now_ms: int, decisions: list
) -> None:
    """Replace a silent attempt if the next one is granted and can start at once.

    It is held until the next one begins. Otherwise it goes on: its upstream may be
    sound, and it may be the last attempt that the request gets.
    """
    request = state.find_running(event.request_id, event.attempt)
    if request is None:
        return
    silent = state.loads[request.upstream]
    silent.record_silence(now_ms)
    before = _Constraints(request)
    found = _find_replacement(state, request, silent, now_ms)
    obstacle = found if isinstance(found, RetryObstacle) else None
    begun = request.first_token_ms > 0
    decisions.append(
        ev.SilenceJudged(
            request.id,
            request.running_attempt,
            silent.name,
            event.silent_ms,
            begun,
            obstacle,
        )
    )
    if isinstance(found, RetryObstacle):
        before.restore(request)
        return
    pool = state.pools[request.pool]
    state.budget.spend(request.tier)
    request.held = HeldAttempt(request)
    state.detach_attempt(request, now_ms, decisions)
    dispatch(state, pool, request, found, now_ms, decisions)
    dispatch_waiting(state, pool, now_ms, decisions)


def return_to_held(
    state: DispatcherState, request: Request, now_ms: int, decisions: list
) -> bool:
    """Go on with the held attempt of a request whose next one has failed, if possible.

    Nothing is sent to its upstream, which may be leaving. Return whether it goes on.
    """
    held = request.held
    request.held = None
    load = state.loads.get(held.upstream) if held is not None else None
    if held is None or load is None:
        return False
    request.upstream = held.upstream
    request.running_attempt = held.attempt
    request.dispatched_ms = held.dispatched_ms
    request.first_token_ms = held.first_token_ms
    request.stood_still_ms = held.stood_still_ms
    load.record_return(request.priority, now_ms)
    if not request.first_token_ms:
        load.unstarted_attempts += 1
    state.pools[request.pool].running[request.id] = request
    state.running_by_upstream.setdefault(load.name, {})[request.id] = request
    decisions.append(ev.ReturnToHeld(request.id, held.attempt, load.name))
    return True


def _find_replacement(
    state: DispatcherState, request: Request, silent: UpstreamLoad, now_ms: int
) -> UpstreamLoad | RetryObstacle:
    """Return the upstream that takes a request now, or why the silent one keeps it.

    Sets the constraints under which the request would go there.
    """
    obstacle = find_retry_obstacle(state, request, silent, now_ms)
    if obstacle is not None:
        return obstacle
    # It would have to wait for a reservation of its next upstream.
    if state.is_suspect(request, now_ms):
        return RetryObstacle.SUSPECT
    if not state.budget.has_left(request.tier):
        return RetryObstacle.NO_BUDGET
    avoid_upstream(state, request, silent)
    found = choose_elsewhere(state, request, now_ms)
    if found is None:
        return RetryObstacle.NO_UPSTREAM
    if state.path_lost and not is_serving_vm(found):
        return RetryObstacle.NO_PATH
    return found
