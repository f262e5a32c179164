"""Opaque calls, whose bodies are not interpreted, and the interfaces to carry them."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec

from plantainwood import web
from plantainwood.answerparser import Headers, ResponseHead
from plantainwood.core.catalogue import DiscoveredUpstream
from plantainwood.core.endcauses import EndCause
from plantainwood.core.events import Arrival
from plantainwood.core.prompts import Prompt
from plantainwood.core.regions import Regions
from plantainwood.core.routes import RetrySafety, Route, make_service_pool


class Call(msgspec.Struct):
    """A caller's request with everything that the dispatcher and its attempts need."""

    request_id: str
    """The id that the caller sent; the same for all attempts."""
    local_id: str
    """Unique on this node, even if a caller reuses its request id."""
    method: bytes
    target: bytes
    """Path and query exactly as received."""
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
    """When the caller gives up or the route's timeout expires, whichever is earlier."""
    last_event_id: str = ""
    """The id of the last event that the caller received on an earlier request."""
    resumes: str = ""
    """The id of the caller's request that began the stream which this one continues."""
    from_vm: str = ""
    """The VM that sent the call, if another one has taken it from the caller."""
    allowed_regions: Regions | None = None
    """Where it may be served, by its route and its customer; None: everywhere."""


def make_arrival(call: Call) -> Arrival:
    """Return the arrival event that tells the dispatcher of a call."""
    is_stream = call.route.retry_safety is RetrySafety.STREAM
    return Arrival(
        request_id=call.local_id,
        customer=call.customer,
        class_name=call.route.name,
        pool=make_service_pool(call.service),
        fingerprint=call.fingerprint,
        repeatable=call.route.repeatable,
        prompt=call.prompt,
        tier=call.tier,
        queue_deadline_ms=call.deadline_ms,
        max_attempts=call.route.attempts,
        stream=(call.resumes or call.request_id) if is_stream else "",
        resumed=is_stream and bool(call.resumes),
        from_vm=bool(call.from_vm),
        allowed_regions=call.allowed_regions,
    )


class CallSummary:
    """The result of one call, for its log line and metrics."""

    __slots__ = ("attempts", "upstream", "first_byte_ms", "events", "status", "reasons")

    def __init__(self) -> None:
        self.attempts = 0
        self.upstream = ""
        self.first_byte_ms = -1
        self.events = 0
        self.status = 0
        self.reasons: list[str] = []


class OutgoingAttempt(msgspec.Struct, frozen=True):
    """The data that one attempt adds to its call."""

    entry: DiscoveredUpstream
    remaining_ms: int
    """How long the caller still waits for the answer."""
    last_event_id: str = ""
    """The id of the last event that the caller has, if the attempt resumes after it."""
    kv_source_address: str = ""
    """The address of an upstream to fetch the prompt's KV cache from; empty if none."""


class AttemptResult(Enum):
    """What the head of a response says about its attempt."""

    ANSWER = "answer"
    BUSY = "busy"
    """Not run: the upstream is at capacity or temporarily rejects requests."""
    WRONG_INSTANCE = "wrong_instance"
    """Not run: a different process now listens at the address."""
    FOREIGN = "foreign"
    """It is no upstream's: a process of another kind listens at the address."""
    INVALID = "invalid"
    """Nothing to rely on: a success that is not signed, or a body that is encoded."""
    UNPROVED = "unproved"
    """Its status says that the request did not run, without the upstream's proof."""
    FAILED = "failed"
    """Failed, and has or may have run."""


class Codec(ABC):
    """Encode requests to upstreams and interpret the heads of responses."""

    id_header: bytes
    """The lower-case name of the header that matches a response to its request."""

    @abstractmethod
    def encode(self, call: Call, attempt: OutgoingAttempt) -> bytes:
        """Return an attempt's request as it is written to the connection."""

    @abstractmethod
    def classify_response(self, response: ResponseHead) -> AttemptResult:
        """Return what a response's head says about its attempt."""

    @abstractmethod
    def read_load(self, response: ResponseHead) -> tuple[int, int] | None:
        """Return (running, waiting) at the upstream; None if the response omits it."""

    @abstractmethod
    def read_pace(self, response: ResponseHead) -> int | None:
        """Return how long work takes at the upstream now, in percent of usual.

        None if the response does not say, 0 if it can't be read.
        """

    @abstractmethod
    def read_rate_limit(self, response: ResponseHead) -> float | None:
        """Return the requests per second that the upstream takes from all nodes.

        None if the response names no limit.
        """

    @abstractmethod
    def read_brittleness(self, response: ResponseHead) -> int | None:
        """Return the rejections in a second above which the upstream crashes.

        None if the response names no such bound.
        """

    @abstractmethod
    def is_leaving(self, response: ResponseHead) -> bool:
        """Return whether a response says that its upstream is leaving."""

    @abstractmethod
    def read_cold_ms(self, response: ResponseHead) -> int | None:
        """Return how much longer, in ms, the upstream is cold; 0 if it is warm.

        None if the response doesn't say so.
        """

    @abstractmethod
    def read_pause_ms(self, response: ResponseHead) -> int | None:
        """Return for how long, in ms, the upstream wants no request from this node.

        None if the response asks for no pause.
        """


class Sink(ABC):
    """The destination of an answer: the caller's connection."""

    started: bool
    """Whether sending the answer to the caller has begun."""
    upstream: str
    """The upstream whose answer is sent; set before the answer begins."""
    last_event_ms: int | None = None
    """When the last part of the answer was sent; None before."""

    @abstractmethod
    async def send_answer(self, response: ResponseHead, body: bytes) -> None:
        """Send a complete answer."""

    @abstractmethod
    async def start_stream(self, response: ResponseHead) -> None:
        """Send the head of a stream."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send complete events."""

    @abstractmethod
    async def finish(self) -> None:
        """End a complete stream."""

    @abstractmethod
    def abort(self) -> None:
        """Cut a stream off so that the caller can't mistake it for a complete one."""

    def find_closing(self) -> EndCause:
        """Return why the connection to the receiver was closed under an answer."""
        return EndCause.CLIENT_LEFT


class ResponseSink(Sink):
    """A sink that answers an HTTP request; `response` is None until it has started."""

    response: web.StreamResponse | None

    async def reserve(self, size_bytes: int) -> None:
        """Wait for room for an answer of this size; by default there is always room."""

    def release(self) -> None:
        """Give back the room for the answer."""


class StartObserver(ABC):
    """Be notified of each request that an upstream starts to run."""

    @abstractmethod
    def record_start(self, call: Call) -> None:
        """Record that an upstream started the request now."""
