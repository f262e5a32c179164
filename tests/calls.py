"""HTTP requests of a caller, for the tests over real processes."""

import http.client
import json
import threading
import urllib.error
import urllib.request
from typing import NamedTuple

from standins.fleet import Fleet

CHAT_PATH = "/v1/chat/completions"


class Response(NamedTuple):
    """Status, headers and body of an HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def get_error(self) -> dict:
        """Return the error object of the JSON body."""
        return json.loads(self.body)["error"]


def send(
    fleet: Fleet,
    path: str,
    body: bytes,
    key: str = "",
    node: str = "vm-1",
    method: str = "POST",
    **headers: str,
) -> Response:
    """Send one request on a new connection; return its response, whatever its status.

    Keyword arguments become headers, with underscores replaced by hyphens.
    """
    url = fleet.url(f"{node}/callers") + path
    request = urllib.request.Request(url, body, method=method)
    if key:
        request.add_header("Authorization", f"Bearer {key}")
    for name, value in headers.items():
        request.add_header(name.replace("_", "-"), value)
    try:
        with urllib.request.urlopen(request, timeout=60) as response:
            return Response(response.status, dict(response.headers), response.read())
    except urllib.error.HTTPError as error:
        return Response(error.code, dict(error.headers), error.read())


def make_chat(text: str = "hello", stream: bool = False, tokens: int = 10) -> bytes:
    """Return the body of a chat request."""
    body = {
        "model": "rounds",
        "messages": [{"role": "user", "content": text}],
        "stream": stream,
        "max_tokens": tokens,
    }
    return json.dumps(body).encode()


def send_booking(
    fleet: Fleet, key: str, name: str, node: str = "vm-1", method: str = "POST"
) -> Response:
    """Send a booking with its name as the body and as the idempotency key."""
    return send(
        fleet,
        "/services/booking/rounds",
        name.encode(),
        key,
        node,
        method,
        Service_Class="booking",
        Idempotency_Key=name,
    )


def parse_tokens(stream: bytes) -> list[str]:
    """Return the content tokens of a streamed chat response."""
    tokens: list[str] = []
    for line in stream.splitlines():
        if not line.startswith(b"data: {"):
            continue
        for choice in json.loads(line[6:]).get("choices", []):
            if choice["delta"].get("content"):
                tokens.append(choice["delta"]["content"])
    return tokens


def parse_token_indexes(tokens: list[str]) -> list[int]:
    """Return the index at the start of each token of the engine stand-in."""
    return [int(token.split("-")[0]) for token in tokens]


class StreamedChat(threading.Thread):
    """A streamed chat request that is sent and read in a thread of its own.

    `started` is set once the first bytes of the response or a failure have arrived.
    """

    def __init__(
        self, fleet: Fleet, key: str, text: str, tokens: int, node: str = "vm-1"
    ) -> None:
        super().__init__()
        port = fleet.ports[f"{node}/callers"]
        self.connection = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
        self.request_body = make_chat(text, True, tokens)
        self.key = key
        self.body = b""
        self.started = threading.Event()
        self.failure: Exception | None = None
        self.start()

    def run(self) -> None:
        """Send the request and read the response to its end."""
        try:
            headers = {"Authorization": f"Bearer {self.key}"}
            self.connection.request("POST", CHAT_PATH, self.request_body, headers)
            response = self.connection.getresponse()
            while True:
                chunk = response.read1(65_536)
                self.started.set()
                if not chunk:
                    return
                self.body += chunk
        except (OSError, http.client.HTTPException) as error:
            self.failure = error
            self.started.set()

    def wait_for_indexes(self) -> list[int]:
        """Wait for the end of the stream; return the indexes of the tokens received."""
        self.join(60)
        assert not self.is_alive(), "the stream did not end"
        return parse_token_indexes(parse_tokens(self.body))
