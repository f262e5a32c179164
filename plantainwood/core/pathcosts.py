"""The cost of traffic between failure domains, in milliseconds of a request's wait."""

import msgspec

from plantainwood.core.requests import Request

BYTES_PER_PROMPT_TOKEN = 4
BYTES_PER_OUTPUT_TOKEN = 160
"""One event of a stream."""


class PathOptions(msgspec.Struct, frozen=True):
    """The latency and the price of traffic between failure domains."""

    path_ms: float = 1.0
    """The latency between two failure domains, one way."""
    price_per_gb: float | None = None
    """The price of 10^9 bytes between domains; None: only time counts."""
    wait_price_per_s: float = 0.01
    """The price of one second that a request waits, in the same currency."""
    request_bytes: int = 16_384
    """The bytes of a request without a prompt, with its answer."""
    kv_token_bytes: int = 0
    """The bytes of one token's KV cache in a transfer."""


def compute_request_cost_ms(options: PathOptions, request: Request) -> float:
    """Return the cost of sending a request and its answer between two domains."""
    prompt = request.prompt
    size = options.request_bytes
    if prompt.tokens:
        size = BYTES_PER_PROMPT_TOKEN * prompt.tokens
        size += BYTES_PER_OUTPUT_TOKEN * prompt.output_tokens
    return 2 * options.path_ms + _convert_bytes(options, size)


def compute_fetch_cost_ms(options: PathOptions, tokens: int) -> float:
    """Return the cost of a KV transfer between two domains."""
    return 2 * options.path_ms + _convert_bytes(
        options, options.kv_token_bytes * tokens
    )


def _convert_bytes(options: PathOptions, size: int) -> float:
    """Return the price of bytes between domains, as ms of waiting."""
    if options.price_per_gb is None:
        return 0.0
    price = size / 1e9 * options.price_per_gb
    return 1_000 * price / options.wait_price_per_s
