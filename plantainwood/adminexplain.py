"""The answer of the administration API to where a request would be routed now."""

from typing import Any, Mapping

from plantainwood.core import events as ev
from plantainwood.core.errors import ErrorCode, RequestError
from plantainwood.core.explanations import Refusal
from plantainwood.core.routes import make_service_pool
from plantainwood.explainquery import (
    FieldError,
    read_fields,
    render_explanation,
    require_field,
)
from plantainwood.node import Node

FIELDS = ("model", "service", "class", "customer")
REQUEST_ID = "explained"


def explain_query(node: Node, query: Mapping[str, str]) -> dict[str, Any]:
    """Return the explanation for a query; raise RequestError if there is none."""
    fields = read_fields(query, FIELDS)
    customer = require_field(fields, "customer")
    pool = _read_pool(fields)
    class_name = require_field(fields, "class")
    if node.catalogue.revision == 0:
        message = "this VM has no catalogue yet; use another"
        raise RequestError(ErrorCode.CATALOGUE_MISSING, message)
    _check_names(node, pool, customer, class_name)
    arrival = ev.Arrival(REQUEST_ID, customer, class_name, pool)
    explanation = node.broker.dispatcher.explain(arrival, node.clock.now_ms())
    if not node.may_serve():
        explanation.refusal = Refusal(
            ErrorCode.ISOLATED.value, "this VM may be cut off", None
        )
    return render_explanation(
        explanation,
        node=node.settings.node,
        domain=node.settings.domain,
        revision=node.catalogue.revision,
    )


def _read_pool(fields: dict[str, str]) -> str:
    """Return the pool of the model or the service that a query names."""
    if "service" not in fields:
        return f"model/{require_field(fields, 'model')}"
    if "model" in fields:
        raise FieldError("model", "given with a service")
    return make_service_pool(require_field(fields, "service"))


def _check_names(node: Node, pool: str, customer: str, class_name: str) -> None:
    """Raise RequestError for names that the catalogue does not have.

    They are not repeated: a key may have been given instead of a name.
    """
    catalogue = node.catalogue
    kind, _, name = pool.partition("/")
    known = catalogue.models if kind == "model" else catalogue.services
    if name not in known:
        raise RequestError(ErrorCode.NOT_FOUND, f"no {kind} has this name")
    found = catalogue.customers.get(customer)
    if found is None:
        raise RequestError(ErrorCode.NOT_FOUND, "no customer has this name")
    if class_name not in found.classes:
        message = "the customer may not use this class"
        raise RequestError(ErrorCode.FORBIDDEN_CLASS, message)
