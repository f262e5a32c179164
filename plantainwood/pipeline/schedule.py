"""Schedule: hand the request to the request core and take it back at the end."""

import hashlib

from plantainwood.broker import ActiveRequest
from plantainwood.core import events as ev
from plantainwood.pipeline.exchange import Exchange, Filter, Kind, Proceed

PREFIX_BYTES = 1_024
FINGERPRINT_CHARS = 16


class Schedule(Filter):
    """Register the request with the core for as long as it lives."""

    name = "schedule"

    async def apply(self, exchange: Exchange, proceed: Proceed) -> None:
        """Feed the arrival, proceed, and cancel whatever is left."""
        broker = exchange.node.broker
        exchange.active_request = ActiveRequest(
            exchange.request_id, exchange.identity, exchange.open_to_all
        )
        broker.register(exchange.active_request)
        try:
            broker.feed(make_arrival(exchange))
            await proceed()
        finally:
            broker.unregister(exchange.active_request)


def make_arrival(exchange: Exchange) -> ev.Arrival:
    """Return the core's view of an exchange; hashes stand for its texts."""
    customer = exchange.identity.customer
    prefix = ""
    if exchange.kind is not Kind.PLAIN:
        prefix = _hash(customer, exchange.body[:PREFIX_BYTES])
    return ev.Arrival(
        request_id=exchange.request_id,
        customer=customer,
        class_name=exchange.class_name,
        pool=exchange.pool,
        fingerprint=_hash(customer, exchange.body),
        prefix=prefix,
        repeatable=exchange.repeatable,
    )


def _hash(customer: str, data: bytes) -> str:
    digest = hashlib.sha256(customer.encode() + b"\0" + data)
    return digest.hexdigest()[:FINGERPRINT_CHARS]
