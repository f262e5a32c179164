"""Stand-in for the key-value service: the etcd v3 JSON API, in memory."""

import base64
import math
import time
from collections import Counter

from aiohttp import web

from standins.faults import FAULTS, drop_connection, make_app

STORE = web.AppKey("store", "KeyValueStore")


class Item:
    """A value, the revision of its last write, and the end of its lease."""

    __slots__ = ("value", "revision", "expires_at")

    def __init__(self, value: str, revision: int, expires_at: float) -> None:
        self.value = value
        self.revision = revision
        self.expires_at = expires_at


class KeyValueStore:
    """Keys and base64 values under one increasing revision."""

    def __init__(self) -> None:
        self.items: dict[bytes, Item] = {}
        self.revision = 1
        self.call_counts: Counter[str] = Counter()
        self.leases: dict[str, float] = {}

    def grant(self, body: dict) -> dict:
        """Return a new lease; keys put with it are dropped when it ends."""
        lease = str(len(self.leases) + 1)
        self.leases[lease] = time.monotonic() + int(body["TTL"])
        return {"ID": lease, "TTL": body["TTL"]}

    def drop_expired(self) -> None:
        """Drop the keys whose lease has ended."""
        now = time.monotonic()
        for key in [k for k, item in self.items.items() if item.expires_at <= now]:
            del self.items[key]

    def select_items(self, body: dict) -> list[tuple[bytes, Item]]:
        """Return the items that a range request selects."""
        self.drop_expired()
        start = base64.b64decode(body["key"])
        if "range_end" not in body:
            item = self.items.get(start)
            return [(start, item)] if item is not None else []
        end = base64.b64decode(body["range_end"])
        found: list[tuple[bytes, Item]] = []
        for key in sorted(self.items):
            if start <= key < end:
                found.append((key, self.items[key]))
        return found

    def put(self, body: dict) -> dict:
        """Write one key."""
        key = base64.b64decode(body["key"])
        expires_at = self.leases[body["lease"]] if "lease" in body else math.inf
        self.items[key] = Item(body.get("value", ""), self.revision, expires_at)
        return {"response_put": {"header": {"revision": str(self.revision)}}}

    def transact(self, body: dict) -> dict:
        """Apply a transaction; all its writes share one revision."""
        self.drop_expired()
        self.revision += 1
        return self._apply_transaction(body)

    def _apply_transaction(self, body: dict) -> dict:
        """Apply one level; nested transactions have conditions of their own."""
        succeeded = all(self._is_met(item) for item in body.get("compare", []))
        operations = body.get("success" if succeeded else "failure", [])
        responses: list[dict] = []
        for operation in operations:
            responses.append(self._apply_operation(operation))
        return {
            "header": {"revision": str(self.revision)},
            "succeeded": succeeded,
            "responses": responses,
        }

    def _is_met(self, compare: dict) -> bool:
        item = self.items.get(base64.b64decode(compare["key"]))
        revision = item.revision if item is not None else 0
        return revision == int(compare.get("mod_revision", 0))

    def _apply_operation(self, operation: dict) -> dict:
        if "request_put" in operation:
            return self.put(operation["request_put"])
        if "request_txn" in operation:
            return {"response_txn": self._apply_transaction(operation["request_txn"])}
        return {"response_range": self.make_range_response(operation["request_range"])}

    def make_range_response(self, body: dict) -> dict:
        """Return the response to a range request."""
        kvs = [make_item_json(key, item) for key, item in self.select_items(body)]
        if body.get("keys_only"):
            for kv in kvs:
                del kv["value"]
        return {
            "header": {"revision": str(self.revision)},
            "kvs": kvs,
            "count": str(len(kvs)),
        }


def make_item_json(key: bytes, item: Item) -> dict:
    """Return the JSON form of one item."""
    return {
        "key": base64.b64encode(key).decode(),
        "value": item.value,
        "mod_revision": str(item.revision),
    }


async def handle_range(request: web.Request) -> web.Response:
    """Answer /v3/kv/range."""
    store = request.app[STORE]
    store.call_counts["range"] += 1
    return web.json_response(store.make_range_response(await request.json()))


async def handle_txn(request: web.Request) -> web.Response:
    """Answer /v3/kv/txn; `lose_replies` drops the reply after it took effect."""
    store = request.app[STORE]
    store.call_counts["txn"] += 1
    response = store.transact(await request.json())
    faults = request.app[FAULTS]
    if faults.lose_replies > 0:
        faults.lose_replies -= 1
        drop_connection(request)
    return web.json_response(response)


async def handle_grant(request: web.Request) -> web.Response:
    """Answer /v3/lease/grant."""
    store = request.app[STORE]
    store.call_counts["grant"] += 1
    return web.json_response(store.grant(await request.json()))


async def handle_calls(request: web.Request) -> web.Response:
    """Answer /calls with the number of calls by kind."""
    return web.json_response(dict(request.app[STORE].call_counts))


def build_app() -> web.Application:
    """Return the key-value stand-in as a web application."""
    app = make_app()
    app[STORE] = KeyValueStore()
    app.router.add_post("/v3/kv/range", handle_range)
    app.router.add_post("/v3/kv/txn", handle_txn)
    app.router.add_post("/v3/lease/grant", handle_grant)
    app.router.add_get("/calls", handle_calls)
    return app
