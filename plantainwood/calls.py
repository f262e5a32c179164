"""Opaque calls: what the core and an attempt need to know, and what carries them."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec

from plantainwood.connections import Headers, Response
from plantainwood.core.catalogue import DiscoveredUpstream
from plantainwood.core.events import Arrival
from plantainwood.core.prompts import Prompt
from plantainwood.core.routes import Route


class Call(msgspec.Struct):
    """A caller's request with all that the core and an attempt need to know."""

    request_id: str
    """The caller's own id, the same on all attempts."""
    local_id: str
    """Unique on this node, also where a caller repeats its id."""
    method: bytes
    target: bytes
    """Path and query as they came."""
    headers: Headers
    body: bytes
    route: Route
    service: str
    customer: str
    authenticated: bool
    tier: int
    prompt: Prompt
    fingerprint: str
    arrived_ms: int
    deadline_ms: int
    """When the caller gives up or the route's timeout comes, whichever is first."""
    last_event_id: str = ""
    """The last event that the caller has from an earlier request."""


def make_arrival(call: Call) -> Arrival:
    """Return what the core is told of a call that comes in."""
    return Arrival(
        request_id=call.local_id,
        customer=call.customer,
        class_name=call.route.name,
        pool=f"service/{call.service}",
        fingerprint=call.fingerprint,
        repeatable=call.route.idempotent,
        prompt=call.prompt,
        tier=call.tier,
        queue_deadline_ms=call.deadline_ms,
        max_attempts=call.route.attempts,
    )


class CallSummary:
    """What became of one call, for its log line."""

    __slots__ = ("attempts", "upstream", "first_byte_ms", "events", "status", "reasons")

    def __init__(self) -> None:
        self.attempts = 0
        self.upstream = ""
        self.first_byte_ms = -1
        self.events = 0
        self.status = 0
        self.reasons: list[str] = []


class OutgoingAttempt(msgspec.Struct, frozen=True):
    """What one attempt adds to its call."""

    entry: DiscoveredUpstream
    remaining_ms: int
    """How long the caller still waits."""
    last_event_id: str = ""
    """The last event that the caller has, if the attempt goes on after it."""
    kv_source_address: str = ""
    """The address of an upstream to fetch the prompt's memory from, if any."""


class AttemptResult(Enum):
    """What a response says about the attempt."""

    ANSWER = "answer"
    BUSY = "busy"
    """Not run: the upstream is full or refuses work for now."""
    WRONG_INSTANCE = "wrong_instance"
    """Not run: another process has the address."""
    FAILED = "failed"
    """Run, or perhaps run, and failed."""


class Codec(ABC):
    """The form in which upstreams are called."""

    id_header: bytes
    """The lower-case name of the header that matches a response to its request."""

    @abstractmethod
    def encode(self, call: Call, attempt: OutgoingAttempt) -> bytes:
        """Return the bytes of an attempt."""

    @abstractmethod
    def classify_response(self, response: Response) -> AttemptResult:
        """Return what a response's head says."""

    @abstractmethod
    def read_load(self, response: Response) -> tuple[int, int] | None:
        """Return (running, waiting) at the upstream, where the response tells."""


class Sink(ABC):
    """Where an answer goes."""

    started: bool
    """Whether a byte of the answer went to the caller."""

    @abstractmethod
    async def send_answer(self, response: Response, body: bytes) -> None:
        """Give a whole answer."""

    @abstractmethod
    async def start_stream(self, response: Response) -> None:
        """Give the head of a stream."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Give whole events."""

    @abstractmethod
    async def finish(self) -> None:
        """End a whole stream."""

    @abstractmethod
    def abort(self) -> None:
        """Break a stream off so that it can't be taken for a whole one."""


class StartObserver(ABC):
    """Told of each request that an upstream begins to run."""

    @abstractmethod
    def record_start(self, call: Call) -> None:
        """Count a request as begun now."""
