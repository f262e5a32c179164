"""The filters in the order in which a request passes them."""

from functools import partial

from plantainwood.pipeline.authenticate import Authenticate
from plantainwood.pipeline.claim import Claim
from plantainwood.pipeline.classify import Classify
from plantainwood.pipeline.exchange import Exchange, Filter
from plantainwood.pipeline.gate import Gate
from plantainwood.pipeline.meter import Meter
from plantainwood.pipeline.relay import Relay
from plantainwood.pipeline.schedule import Schedule

FILTERS: tuple[Filter, ...] = (
    Gate(),
    Authenticate(),
    Classify(),
    Meter(),
    Claim(),
    Schedule(),
    Relay(),
)
"""Gate: whether this node may serve. Authenticate: the customer of the key. Classify:
class and pool. Meter: recording of the outcome. Claim: at most one run of a call that
may not be repeated. Schedule: admission, queueing and choice of an upstream, by the
dispatcher. Relay: attempts, and the answer to the caller."""


async def run_filters(exchange: Exchange) -> None:
    """Run all filters on an exchange, with a span for each."""
    await _run_from(exchange, 0)


async def _run_from(exchange: Exchange, index: int) -> None:
    if index == len(FILTERS):
        return
    current_filter = FILTERS[index]
    with exchange.node.tracer.start_as_current_span(current_filter.name):
        await current_filter.apply(exchange, partial(_run_from, exchange, index + 1))
