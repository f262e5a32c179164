"""Meter: count, log and bill the outcome of every classified request."""

import asyncio

from plantainwood.core.catalogue import ServiceClass
from plantainwood.core.errors import ErrorCode, Outcome, RequestError
from plantainwood.core.usage import UsageLine, make_line_key
from plantainwood.logs import log_event
from plantainwood.pipeline.exchange import Exchange, Filter, Proceed


class Meter(Filter):
    """Record the outcome of a request in metrics, log and usage."""

    name = "meter"

    async def apply(self, exchange: Exchange, proceed: Proceed) -> None:
        """Proceed, then record the outcome, also if it is an error."""
        outcome, code = Outcome.UNKNOWN, ErrorCode.INTERNAL.value
        try:
            await proceed()
            outcome, code = Outcome.RAN, "ok"
        except RequestError as error:
            outcome, code = error.outcome, error.code.value
            raise
        except asyncio.CancelledError:
            code = ErrorCode.CALLER_LEFT.value
            raise
        finally:
            _record(exchange, outcome, code)


def bill_tokens(exchange: Exchange, count: int) -> None:
    """Bill tokens as they are relayed, and count them for the next share request."""
    _bill(exchange, UsageLine(tokens=count))
    customer = exchange.identity.customer
    served = exchange.node.served_tokens
    served[customer] = served.get(customer, 0) + count


def _bill(exchange: Exchange, line: UsageLine) -> None:
    node = exchange.node
    customer = exchange.identity.customer
    entry = node.catalogue.customers.get(customer)
    firm = entry.owner if entry is not None else exchange.service_class.owner
    key = make_line_key(firm, customer, exchange.class_name)
    node.ledger.count(key, node.clock.wall_ms(), line)


def meets_targets(
    service_class: ServiceClass, first_ms: int, total_ms: int, tokens: int
) -> bool:
    """Return whether an answer met every latency target of its class."""
    if first_ms > service_class.first_token_ms:
        return False
    if total_ms > service_class.completion_ms:
        return False
    if tokens < 2:
        return True
    mean_gap_ms = (total_ms - first_ms) / (tokens - 1)
    return mean_gap_ms <= service_class.between_tokens_ms


def _record(exchange: Exchange, outcome: Outcome, code: str) -> None:
    node = exchange.node
    metrics = node.metrics
    labels = {"class": exchange.class_name}
    tokens = len(exchange.answer.tokens)
    if code == "ok" and not exchange.replayed:
        _bill(exchange, UsageLine(requests=1))
        metrics.tokens.add(labels, tokens)
    elif tokens:
        metrics.wasted_tokens.add(labels, tokens)
    metrics.requests.inc({**labels, "outcome": outcome.value, "code": code})
    metrics.customer_tokens.add({"customer": exchange.identity.customer}, tokens)
    now_ms = node.clock.now_ms()
    first_ms = (exchange.first_token_ms or now_ms) - exchange.arrived_ms
    if exchange.first_token_ms:
        metrics.first_token.observe(labels, first_ms / 1_000)
    if code == "ok" and meets_targets(
        exchange.service_class, first_ms, now_ms - exchange.arrived_ms, tokens
    ):
        metrics.met_targets.inc(labels)
    log_event(
        "request",
        request=exchange.request_id,
        customer=exchange.identity.customer,
        **labels,
        upstream=exchange.upstream or "-",
        attempts=exchange.attempts,
        tokens=tokens,
        outcome=outcome.value,
        code=code,
        first_ms=first_ms,
        total_ms=now_ms - exchange.arrived_ms,
    )
