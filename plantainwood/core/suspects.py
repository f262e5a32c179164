"""What becomes of a request for the crashes under it or the parts of its prompt."""

from plantainwood.core.dispatcherstate import DispatcherState
from plantainwood.core.hashing import rank_members
from plantainwood.core.probation import PROBE_PAUSES_MS, Suspicion, Verdict, judge


def judge_request(
    state: DispatcherState,
    fingerprint: str,
    parts: tuple[str, ...],
    now_ms: int,
    own_id: str = "",
) -> Verdict:
    """Return the hardest verdict on a request; `own_id` is its id once admitted.

    Without probation, what is suspected is blocked.
    """
    verdict = Verdict.PASS
    for suspicion in _list_suspicions(state, fingerprint, parts, now_ms):
        if not state.options.probe_suspects:
            return Verdict.BLOCK
        is_prober = rank_members(suspicion.name, state.nodes)[0] == state.node
        is_open = _has_open(state, suspicion.name, own_id)
        probed_ms = state.probed_ms.get(suspicion.name)
        judged = judge(suspicion, is_prober, is_open, probed_ms, now_ms)
        verdict = max(verdict, judged, key=lambda item: item.value)
    return verdict


def record_probe(
    state: DispatcherState, fingerprint: str, parts: tuple[str, ...], now_ms: int
) -> None:
    """Record that a request is sent although it is suspected; do nothing if not."""
    for name, probed_ms in list(state.probed_ms.items()):
        if now_ms - probed_ms >= PROBE_PAUSES_MS[-1]:
            del state.probed_ms[name]
    for suspicion in _list_suspicions(state, fingerprint, parts, now_ms):
        state.probed_ms[suspicion.name] = now_ms


def _list_suspicions(
    state: DispatcherState, fingerprint: str, parts: tuple[str, ...], now_ms: int
) -> list[Suspicion]:
    found = (
        state.quarantine.find_suspicion(fingerprint, now_ms),
        state.part_quarantine.find_suspicion(parts, now_ms),
    )
    return [suspicion for suspicion in found if suspicion is not None]


def _has_open(state: DispatcherState, name: str, own_id: str) -> bool:
    """Tell whether another request has a fingerprint or part of this name."""
    for request in state.requests.values():
        if request.id == own_id:
            continue
        if request.fingerprint == name or name in request.shared_parts:
            return True
    return False
