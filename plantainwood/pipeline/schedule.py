"""Schedule: let the dispatcher decide on the request until it ends."""

import hashlib

from plantainwood.broker import ActiveRequest
from plantainwood.core import events as ev
from plantainwood.pipeline.exchange import ApiKind, Exchange, Filter, Proceed

PREFIX_BYTES = 1_024
FINGERPRINT_CHARS = 16


class Schedule(Filter):
    """Keep the request registered while the later filters run."""

    name = "schedule"

    async def apply(self, exchange: Exchange, proceed: Proceed) -> None:
        """Feed the arrival, proceed, and cancel what still waits or runs."""
        broker = exchange.node.broker
        exchange.active_request = ActiveRequest(
            exchange.request_id, exchange.identity, exchange.open_to_all
        )
        exchange.request.protocol.call_id = exchange.request_id
        broker.register(exchange.active_request)
        try:
            broker.feed(make_arrival(exchange))
            await proceed()
        finally:
            broker.unregister(exchange.active_request)


def make_arrival(exchange: Exchange) -> ev.Arrival:
    """Return the arrival event of an exchange, with hashes instead of its texts."""
    customer = exchange.identity.customer
    prefix = ""
    if exchange.kind is not ApiKind.PLAIN:
        prefix = _hash(customer, exchange.body[:PREFIX_BYTES])
    return ev.Arrival(
        request_id=exchange.request_id,
        customer=customer,
        class_name=exchange.class_name,
        pool=exchange.pool,
        fingerprint=make_fingerprint(exchange),
        prefix=prefix,
        repeatable=exchange.repeatable,
    )


def make_fingerprint(exchange: Exchange) -> str:
    """Return what names a customer's requests with the same body."""
    return _hash(exchange.identity.customer, exchange.body)


def _hash(customer: str, data: bytes) -> str:
    digest = hashlib.sha256(customer.encode() + b"\0" + data)
    return digest.hexdigest()[:FINGERPRINT_CHARS]
