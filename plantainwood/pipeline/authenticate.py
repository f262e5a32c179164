"""Authenticate: identify the customer by the API key alone."""

from plantainwood.core.errors import ErrorCode, RequestError
from plantainwood.core.keys import Identity, check_key
from plantainwood.pipeline.exchange import ApiKind, Exchange, Filter, Proceed

OPEN_CUSTOMER = "open"


class Authenticate(Filter):
    """Look up the identity of the key, anew for every request."""

    name = "authenticate"

    async def apply(self, exchange: Exchange, proceed: Proceed) -> None:
        """Proceed with an identity; refuse a key that is also in the body or URL."""
        catalogue = exchange.node.catalogue
        authorization = exchange.request.headers.get("Authorization")
        if _is_open_to_all(exchange) and authorization is None:
            exchange.open_to_all = True
            exchange.identity = Identity(OPEN_CUSTOMER, "")
            await proceed()
            return
        exchange.identity = check_key(catalogue, authorization)
        secret = authorization.rpartition("_")[2].strip() if authorization else ""
        if secret.encode() in exchange.body or secret in exchange.request.raw_path:
            message = "the key must stand in the Authorization header only"
            raise RequestError(ErrorCode.BAD_REQUEST, message)
        await proceed()


def _is_open_to_all(exchange: Exchange) -> bool:
    """Return whether the request is for a plain service that needs no key."""
    if exchange.kind is not ApiKind.PLAIN:
        return False
    name = exchange.request.match_info["service"]
    service = exchange.node.catalogue.services.get(name)
    return service is not None and service.open_to_all
