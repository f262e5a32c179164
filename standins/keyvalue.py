"""Stand-in for the key-value service: the etcd v3 JSON form, in memory."""

import base64
import math
import time
from collections import Counter

from aiohttp import web

from standins.faults import FAULTS, drop_connection, make_app

STORE = web.AppKey("store", "KeyValueStore")


class Item:
    """A value with the revision of its last write."""

    __slots__ = ("value", "revision", "until")

    def __init__(self, value: str, revision: int, until: float) -> None:
        self.value = value
        self.revision = revision
        self.until = until


class KeyValueStore:
    """Hold base64 keys and values under one rising revision."""

    def __init__(self) -> None:
        self.items: dict[bytes, Item] = {}
        self.revision = 1
        self.calls: Counter[str] = Counter()
        self.leases: dict[str, float] = {}

    def grant(self, body: dict) -> dict:
        """Return a new lease; keys put with it go when it ends."""
        lease = str(len(self.leases) + 1)
        self.leases[lease] = time.monotonic() + int(body["TTL"])
        return {"ID": lease, "TTL": body["TTL"]}

    def expire(self) -> None:
        """Drop the keys whose lease has ended."""
        now = time.monotonic()
        for key in [k for k, item in self.items.items() if item.until <= now]:
            del self.items[key]

    def select(self, body: dict) -> list[tuple[bytes, Item]]:
        """Return the items that a range request names."""
        self.expire()
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
        until = self.leases[body["lease"]] if "lease" in body else math.inf
        self.items[key] = Item(body.get("value", ""), self.revision, until)
        return {"response_put": {"header": {"revision": str(self.revision)}}}

    def transact(self, body: dict) -> dict:
        """Apply a transaction; all its writes share one revision."""
        self.expire()
        self.revision += 1
        return self._transact(body)

    def _transact(self, body: dict) -> dict:
        """Apply one level; nested transactions carry conditions of their own."""
        succeeded = all(self._holds(item) for item in body.get("compare", []))
        branch = body.get("success" if succeeded else "failure", [])
        responses: list[dict] = []
        for operation in branch:
            responses.append(self._apply(operation))
        return {
            "header": {"revision": str(self.revision)},
            "succeeded": succeeded,
            "responses": responses,
        }

    def _holds(self, compare: dict) -> bool:
        item = self.items.get(base64.b64decode(compare["key"]))
        revision = item.revision if item is not None else 0
        return revision == int(compare.get("mod_revision", 0))

    def _apply(self, operation: dict) -> dict:
        if "request_put" in operation:
            return self.put(operation["request_put"])
        if "request_txn" in operation:
            return {"response_txn": self._transact(operation["request_txn"])}
        return {"response_range": self.render(operation["request_range"])}

    def render(self, body: dict) -> dict:
        """Return the response to a range request."""
        kvs = [render_item(key, item) for key, item in self.select(body)]
        if body.get("keys_only"):
            for kv in kvs:
                del kv["value"]
        return {
            "header": {"revision": str(self.revision)},
            "kvs": kvs,
            "count": str(len(kvs)),
        }


def render_item(key: bytes, item: Item) -> dict:
    """Return the JSON form of one item."""
    return {
        "key": base64.b64encode(key).decode(),
        "value": item.value,
        "mod_revision": str(item.revision),
    }


async def handle_range(request: web.Request) -> web.Response:
    """Answer /v3/kv/range."""
    store = request.app[STORE]
    store.calls["range"] += 1
    return web.json_response(store.render(await request.json()))


async def handle_txn(request: web.Request) -> web.Response:
    """Answer /v3/kv/txn; its reply may get lost after it took effect."""
    store = request.app[STORE]
    store.calls["txn"] += 1
    answer = store.transact(await request.json())
    faults = request.app[FAULTS]
    if faults.lose_replies > 0:
        faults.lose_replies -= 1
        drop_connection(request)
    return web.json_response(answer)


async def handle_grant(request: web.Request) -> web.Response:
    """Answer /v3/lease/grant."""
    store = request.app[STORE]
    store.calls["grant"] += 1
    return web.json_response(store.grant(await request.json()))


async def handle_calls(request: web.Request) -> web.Response:
    """Answer /calls with the number of calls by kind."""
    return web.json_response(dict(request.app[STORE].calls))


def build_app() -> web.Application:
    """Return the stand-in as an application."""
    app = make_app()
    app[STORE] = KeyValueStore()
    app.router.add_post("/v3/kv/range", handle_range)
    app.router.add_post("/v3/kv/txn", handle_txn)
    app.router.add_post("/v3/lease/grant", handle_grant)
    app.router.add_get("/calls", handle_calls)
    return app
