"""Streams that callers take up at a VM which did not see them begin.

If the VM knows a single version of the pool, the stream is of that version, unless the
VM is out of step: it may have stood still or been cut off while another one came. So it
first waits for a word, later than the caller's, that it has missed no change.
"""

import asyncio

from plantainwood.calls import Call
from plantainwood.core.arrivalchecks import RETRY_NO_VERSION_MS
from plantainwood.core.errors import ErrorCode, RequestError
from plantainwood.core.routes import make_service_pool
from plantainwood.edge import Edge
from plantainwood.logs import log_event

MAX_WAIT_MS = 1_200
"""Beyond the time from one read of the store to the end of the next."""
POLL_MS = 10


async def confirm_version(edge: Edge, call: Call) -> None:
    """Return once the version that may continue a call's stream is sure.

    Raise RequestError (not run) if it can't be within MAX_WAIT_MS, in which this
    process ran, or by the call's deadline.
    """
    if not call.resumes or not _is_guess(edge, call):
        return
    until_ms = edge.awake_clock.now_ms() + MAX_WAIT_MS
    state = edge.broker.dispatcher.state
    while not edge.is_registry_confirmed(call.arrived_ms):
        is_late = edge.clock.now_ms() >= call.deadline_ms
        if state.draining or is_late or edge.awake_clock.now_ms() >= until_ms:
            log_event("take_up_unconfirmed", request=call.request_id)
            message = "it is not known whether another version began the stream"
            raise RequestError(
                ErrorCode.NO_UPSTREAM, message, retry_after_ms=RETRY_NO_VERSION_MS
            )
        await asyncio.sleep(POLL_MS / 1_000)


def _is_guess(edge: Edge, call: Call) -> bool:
    """Return whether nothing but the list of versions tells a stream's version."""
    versions = edge.broker.dispatcher.state.stream_versions
    pool = make_service_pool(call.service)
    return versions.is_guess(call.resumes, pool, edge.clock.now_ms())
