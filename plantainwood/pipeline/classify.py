"""Classify: determine a request's service class and pool of upstreams."""

import msgspec

from plantainwood.core.decoding import MalformedError, decode_json
from plantainwood.core.errors import ErrorCode, RequestError
from plantainwood.core.routes import make_service_pool
from plantainwood.pipeline.exchange import ApiKind, Exchange, Filter, Proceed

CLASS_HEADER = "Service-Class"


class ChatBody(msgspec.Struct):
    """The fields of a chat or completions body that the router reads."""

    model: str
    messages: list[dict] | None = None
    prompt: str | None = None
    stream: bool = False
    max_tokens: int | None = None


class Classify(Filter):
    """Read the body and the class header; refuse what the customer may not use."""

    name = "classify"

    async def apply(self, exchange: Exchange, proceed: Proceed) -> None:
        """Set the pool and the class, then proceed."""
        if exchange.kind is ApiKind.PLAIN:
            _set_service_pool(exchange)
        else:
            _set_model_pool(exchange)
        _set_class(exchange)
        await proceed()


def _set_service_pool(exchange: Exchange) -> None:
    name = exchange.request.match_info["service"]
    service = exchange.node.catalogue.services.get(name)
    if service is None:
        raise RequestError(ErrorCode.UNKNOWN_SERVICE, f"no service {name!r}")
    exchange.pool = make_service_pool(name)
    exchange.repeatable = service.repeatable


def _set_model_pool(exchange: Exchange) -> None:
    try:
        body = decode_json(exchange.body, ChatBody)
        exchange.parsed_body = decode_json(exchange.body, dict)
    except MalformedError as error:
        message = f"the body is not as expected: {error}"
        raise RequestError(ErrorCode.BAD_REQUEST, message) from error
    if (body.messages if exchange.kind is ApiKind.CHAT else body.prompt) is None:
        field = "messages" if exchange.kind is ApiKind.CHAT else "prompt"
        raise RequestError(ErrorCode.BAD_REQUEST, f"the body needs {field!r}")
    model = exchange.node.catalogue.models.get(body.model)
    if model is None:
        raise RequestError(ErrorCode.UNKNOWN_MODEL, f"no model {body.model!r}")
    if body.max_tokens is not None and not 0 < body.max_tokens <= model.max_tokens:
        message = f"max_tokens must be within 1 to {model.max_tokens}"
        raise RequestError(ErrorCode.BAD_REQUEST, message)
    exchange.pool = f"model/{body.model}"


def _set_class(exchange: Exchange) -> None:
    catalogue = exchange.node.catalogue
    customer = catalogue.customers.get(exchange.identity.customer)
    if customer is None:
        message = "open routes need a customer named 'open' in the catalogue"
        raise RequestError(ErrorCode.FORBIDDEN_CLASS, message)
    name = exchange.request.headers.get(CLASS_HEADER, customer.classes[0])
    if name not in customer.classes:
        allowed = ", ".join(customer.classes)
        message = f"the customer may use these classes: {allowed}"
        raise RequestError(ErrorCode.FORBIDDEN_CLASS, message)
    exchange.class_name = name
    exchange.service_class = catalogue.classes[name]
    exchange.repeatable = exchange.repeatable and exchange.service_class.repeatable
