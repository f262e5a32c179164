"""Parser of the answers on one connection: what comes in is kept only within bounds.

Bytes that are no body of the expected answer (heads, interim answers, those to other
requests, chunk sizes and extensions, trailers) are drawn from one allowance, which each
byte of the body refills in part. So an upstream that sends such bytes without end, in
whatever state of the answer, is given up, and what they take meanwhile is bounded.
"""

import httptools

from plantainwood.core.decoding import MalformedError, parse_count

MAX_OVERHEAD_BYTES = 131_072
"""Bytes that are no body of the answer, before the next byte that is."""
OVERHEAD_PER_BODY_BYTE = 16
"""For each byte of the body, the bytes that go back to the allowance."""
MAX_FIELDS = 256
"""Fields of one head; each takes some 150 bytes beside its own."""
MAX_FOREIGN_ANSWERS = 4
BODILESS_STATUSES = (204, 304)

Headers = list[tuple[bytes, bytes]]


class AnswerError(Exception):
    """Bytes that are no answer, or too many of them."""


class ResponseHead:
    """The head of a response: its status and headers."""

    __slots__ = ("status", "headers", "may_be_earlier")

    def __init__(self, status: int, headers: Headers) -> None:
        self.status = status
        self.headers = headers
        self.may_be_earlier = False
        """Whether it may answer an earlier request, as it names none."""

    def get_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given in lower case; None if absent."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class AnswerParser:
    """Find the answer to one request at a time, by its id, and keep its unread body."""

    __slots__ = (
        "head",
        "is_complete",
        "is_partial",
        "ends_with_connection",
        "is_last",
        "body",
        "_parser",
        "_fields",
        "_in_head",
        "_is_skipping",
        "_error",
        "_body_bytes",
        "_overhead_bytes",
        "_foreign_answers",
        "_request_id",
        "_id_header",
        "_may_omit_id",
        "_is_bodiless",
        "_request_count",
        "_echoes_ids",
    )

    def __init__(self) -> None:
        self._parser: httptools.HttpResponseParser | None
        self._parser = httptools.HttpResponseParser(self)
        self._request_count = 0
        self._echoes_ids = False
        """Whether an answer on this connection has named its request."""
        self.is_last = False
        """Whether no further request may be sent on the connection."""
        self._request_id = b""
        self._id_header = b""
        self._may_omit_id = False
        self._is_bodiless = False
        self._begin_answer()

    def expect(
        self,
        request_id: bytes,
        id_header: bytes,
        may_omit_id: bool = False,
        is_bodiless: bool = False,
    ) -> None:
        """Begin with the answer to the next request.

        If that is HEAD, its answer `is_bodiless`, whatever length its head states; the
        connection isn't used again, as the library's parser waits for a body.
        """
        self._request_count += 1
        self._request_id = request_id
        self._id_header = id_header
        self._may_omit_id = may_omit_id
        self._is_bodiless = is_bodiless
        self._begin_answer()

    def _begin_answer(self) -> None:
        self.head: ResponseHead | None = None
        self.body = bytearray()
        """What was received of the body and not taken."""
        self.is_partial = False
        """Whether an answer has begun and not ended."""
        self.is_complete = False
        self.ends_with_connection = False
        """Whether the body has neither a length nor chunks."""
        self._fields: Headers = []
        self._in_head = False
        self._is_skipping = False
        self._error: str | None = None
        self._body_bytes = 0
        self._overhead_bytes = 0
        self._foreign_answers = 0

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raise AnswerError if they are not of an answer."""
        if self._parser is None:
            return
        body_bytes = self._body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise AnswerError(f"malformed HTTP response: {error}") from error
        except Exception as error:
            raise AnswerError(f"failed to parse the response: {error!r}") from error
        if self._error is not None:
            raise AnswerError(self._error)
        self._count_overhead(len(data), self._body_bytes - body_bytes)

    def _count_overhead(self, received_bytes: int, body_bytes: int) -> None:
        refill_bytes = (1 + OVERHEAD_PER_BODY_BYTE) * body_bytes
        self._overhead_bytes = max(
            0, self._overhead_bytes + received_bytes - refill_bytes
        )
        if self._overhead_bytes > MAX_OVERHEAD_BYTES and not self.is_complete:
            message = f"over {MAX_OVERHEAD_BYTES} bytes that are no body of the answer"
            raise AnswerError(message)

    def end(self) -> None:
        """Take the end of the connection; it may be that of the body."""
        if self.is_partial and self.ends_with_connection:
            self.is_complete = True
            self.is_last = True

    def stop(self) -> None:
        """Parse no more; what was received of the body can still be taken.

        The library's parser refers back to this one, so both would stay in memory until
        a garbage collection.
        """
        self._parser = None
        self._fields = []

    def take_body(self) -> bytes:
        """Return what was received of the body since the last call."""
        data, self.body = bytes(self.body), bytearray()
        return data

    @property
    def may_follow(self) -> bool:
        """Return whether another request may be sent: all was read and in order."""
        is_read = self.is_complete and not self.body and not self._is_skipping
        is_framed = not self.ends_with_connection and not self._foreign_answers
        return is_read and is_framed and not self.is_last

    def on_message_begin(self) -> None:
        """Start an answer; one after the complete answer belongs to no request."""
        if self.is_complete:
            self.is_last = True
            return
        self.is_partial = True
        self._in_head = True
        self._fields = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one field of a head; fields after a body are not looked at."""
        if not self._in_head:
            return
        if len(self._fields) >= MAX_FIELDS:
            self._error = f"over {MAX_FIELDS} fields in a head"
            return
        self._fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Finish a head; skip the answer if it is that to another request."""
        self._in_head = False
        if self.is_complete:
            return
        status = self._parser.get_status_code()
        if status < 200:
            return
        response = ResponseHead(status, self._fields)
        self._is_skipping = self._is_foreign(response)
        if self._is_skipping:
            self._foreign_answers += 1
            if self._foreign_answers > MAX_FOREIGN_ANSWERS:
                self._error = "too many responses to other requests"
            return
        self._take_head(response)

    def _take_head(self, response: ResponseHead) -> None:
        chunked = (
            response.get_header(b"transfer-encoding") or b""
        ).lower() == b"chunked"
        has_length = response.get_header(b"content-length") is not None
        self.ends_with_connection = not (
            chunked or has_length or response.status in BODILESS_STATUSES
        )
        if (response.get_header(b"connection") or b"").lower() == b"close":
            self.is_last = True
        self.head = response
        if self._is_bodiless:
            self.ends_with_connection = False
            self.is_complete = True
            self.is_last = True

    def _is_foreign(self, response: ResponseHead) -> bool:
        """Tell whether a response is not that to the current request.

        That is so if it names another one, or none where others did.
        """
        if not self._id_header:
            return False
        given = response.get_header(self._id_header)
        if given is None and self._may_omit_id:
            return False
        if given is None:
            response.may_be_earlier = self._request_count > 1
            return self._echoes_ids
        self._echoes_ids = True
        return given != self._request_id

    def on_body(self, data: bytes) -> None:
        """Keep a piece of the expected answer's body."""
        if self._is_skipping or self.is_complete:
            return
        self.body += data
        self._body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Mark the answer as complete, or end the skipping of a foreign one."""
        if self.is_complete or self._parser.get_status_code() < 200:
            return
        if self._is_skipping:
            self._is_skipping = False
            self.is_partial = False
            return
        self.is_complete = True

    def read_keep_alive_ms(self) -> int | None:
        """Return how long the upstream keeps an idle connection; None if not said."""
        keep_alive = self.head.get_header(b"keep-alive") if self.head else None
        if keep_alive is None:
            return None
        for item in keep_alive.split(b","):
            name, _, value = item.strip().partition(b"=")
            if name.lower() != b"timeout":
                continue
            try:
                return parse_count(value) * 1_000
            except MalformedError:
                return None
        return None
