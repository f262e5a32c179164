"""Gate: refuse new requests while this node has no catalogue or may be isolated."""

from plantainwood.core.errors import ErrorCode, RequestError
from plantainwood.pipeline.exchange import Exchange, Filter, Proceed

RETRY_AFTER_MS = 2_000


class Gate(Filter):
    """Refuse if this node can't know that its catalogue is current."""

    name = "gate"

    async def apply(self, exchange: Exchange, proceed: Proceed) -> None:
        """Proceed if there is a catalogue and its revision is confirmed."""
        node = exchange.node
        if node.catalogue.revision == 0:
            message = "this VM has no catalogue yet; use another"
            raise RequestError(
                ErrorCode.CATALOGUE_MISSING, message, retry_after_ms=RETRY_AFTER_MS
            )
        if not node.may_serve():
            message = "this VM may be cut off; use another"
            raise RequestError(
                ErrorCode.ISOLATED, message, retry_after_ms=RETRY_AFTER_MS
            )
        await proceed()
