"""A request and its answer as they pass through the filters."""

from abc import ABC, abstractmethod
from enum import Enum
from typing import Any, Awaitable, Callable

from aiohttp import web

from plantainwood.bodyroom import BodyReservation
from plantainwood.broker import ActiveRequest
from plantainwood.core.catalogue import ServiceClass
from plantainwood.core.keys import Identity
from plantainwood.core.relay import Answer
from plantainwood.engines import PlainAnswer
from plantainwood.node import Node


class ApiKind(Enum):
    """The API that a route serves: chat, text completion or a plain service."""

    CHAT = "chat"
    COMPLETION = "completion"
    PLAIN = "plain"


class Exchange:
    """A caller's request, and what the filters have set on it so far."""

    __slots__ = (
        "node",
        "request",
        "request_id",
        "kind",
        "body",
        "parsed_body",
        "identity",
        "class_name",
        "service_class",
        "pool",
        "open_to_all",
        "repeatable",
        "active_request",
        "answer",
        "sink",
        "plain_answer",
        "arrived_ms",
        "first_token_ms",
        "attempts",
        "upstream",
        "replayed",
        "answer_reservation",
    )

    def __init__(
        self,
        node: Node,
        request: web.Request,
        request_id: str,
        kind: ApiKind,
        body: bytes,
    ) -> None:
        self.node = node
        self.request = request
        self.request_id = request_id
        self.kind = kind
        self.body = body
        self.parsed_body: dict[str, Any] = {}
        self.identity: Identity
        self.class_name = ""
        self.service_class: ServiceClass
        self.pool = ""
        self.open_to_all = False
        self.repeatable = True
        self.active_request: ActiveRequest
        self.answer = Answer()
        self.sink: TokenSink
        self.plain_answer: PlainAnswer | None = None
        self.arrived_ms = node.clock.now_ms()
        self.first_token_ms = 0
        self.attempts = 0
        self.upstream = ""
        self.replayed = False
        self.answer_reservation = BodyReservation(node.client_guard.answer_room)


class TokenSink(ABC):
    """The destination of an answer's tokens."""

    @abstractmethod
    async def write(self, token: str) -> None:
        """Write one token."""

    @abstractmethod
    async def finish(self, answer: Answer) -> None:
        """Finish an answer of which all tokens were written."""


Proceed = Callable[[], Awaitable[None]]


class Filter(ABC):
    """One step of the pipeline: refuse by raising RequestError, or proceed."""

    name: str

    @abstractmethod
    async def apply(self, exchange: Exchange, proceed: Proceed) -> None:
        """Do this filter's work; awaiting `proceed` runs the later filters."""
