"""Client of the administration API."""

import json
import ssl
import urllib.error
import urllib.request
from typing import Any

TIMEOUT_S = 10.0


class ApiError(Exception):
    """Report an error response, or that there was no response."""

    def __init__(self, code: str, message: str, problems: list[dict]) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
        self.problems = problems


class Client:
    """Call the first VM that accepts the connection.

    Its administration API needs a key; the metrics address is asked without one.
    """

    def __init__(self, addresses: list[str], key: str, ca_file: str = "") -> None:
        self._addresses = addresses
        self._key = key
        self._tls_context = None
        if ca_file:
            self._tls_context = ssl.create_default_context(cafile=ca_file)

    def get(self, path: str) -> dict[str, Any]:
        """Return the JSON response to a GET; raise ApiError if there is none."""
        return self._call("GET", path, None)

    def post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Return the JSON response to a POST; raise ApiError if there is none."""
        return self._call("POST", path, body)

    def _call(self, method: str, path: str, body: dict | None) -> dict[str, Any]:
        """Try each address in turn until one accepts the connection."""
        data = json.dumps(body).encode() if body is not None else None
        reason = "no address given"
        for address in self._addresses:
            request = urllib.request.Request(address + path, data, method=method)
            if self._key:
                request.add_header("Authorization", f"Bearer {self._key}")
            request.add_header("Content-Type", "application/json")
            try:
                with urllib.request.urlopen(
                    request, timeout=TIMEOUT_S, context=self._tls_context
                ) as response:
                    return json.load(response)
            except urllib.error.HTTPError as error:
                raise _make_error(error) from error
            except urllib.error.URLError as error:
                reason = f"{address}: {error.reason}"
                continue
            except TimeoutError as error:
                raise ApiError("unreachable", f"{address}: timed out", []) from error
        raise ApiError("unreachable", reason, [])


def _make_error(error: urllib.error.HTTPError) -> ApiError:
    try:
        body = json.load(error)["error"]
    except (ValueError, KeyError):
        return ApiError("http", f"HTTP status {error.code}", [])
    return ApiError(body["code"], body["message"], body.get("problems", []))
