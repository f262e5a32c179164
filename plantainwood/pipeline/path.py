"""The order of the filters; read the path of a request here."""

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
"""Gate: may this VM serve? Authenticate: whose key is it? Classify: which class and
pool? Meter: count the outcome. Claim: first run of a call that may not be repeated?
Schedule: admission, queueing and choice of an upstream, by the request core. Relay:
attempts, and the answer to the caller."""


async def run_filters(exchange: Exchange) -> None:
    """Send an exchange through all filters, with a span for each."""
    await _run_from(exchange, 0)


async def _run_from(exchange: Exchange, index: int) -> None:
    if index == len(FILTERS):
        return
    step = FILTERS[index]
    with exchange.node.tracer.start_as_current_span(step.name):
        await step.apply(exchange, partial(_run_from, exchange, index + 1))
