"""Clients of the platform's key-value service: the interface and etcd's v3 JSON API."""

import asyncio
import base64
from abc import ABC, abstractmethod

import aiohttp

from plantainwood.core.clock import Clock
from plantainwood.core.decoding import decode_json
from plantainwood.core.effects import StoredValue
from plantainwood.core.errors import NotAppliedError, StoreError
from plantainwood.core.limits import Bucket
from plantainwood.httpclient import read_body
from plantainwood.metrics import Metrics

GROUP_WAIT_MS = 2
MAX_GROUP = 64
LEASES_PER_LIFETIME = 10


class StoreClient(ABC):
    """Read and conditionally write keys."""

    @abstractmethod
    async def read(self, key: str) -> StoredValue | None:
        """Return a key's value and revision, or None if the key does not exist."""

    @abstractmethod
    async def read_revision(self, key: str) -> int:
        """Return only the revision of a key, or 0 if the key does not exist."""

    @abstractmethod
    async def scan(self, prefix: str) -> dict[str, StoredValue]:
        """Return all keys with a prefix and their values."""

    @abstractmethod
    async def scan_keys(self, prefix: str) -> set[str]:
        """Return the names of all keys with a prefix."""

    @abstractmethod
    async def compare_and_swap(
        self, key: str, value: bytes, expected: int, lifetime_ms: int = 0
    ) -> int:
        """Write a key if its revision is the expected one; return the new one or 0.

        Raise NotAppliedError if the write certainly had no effect, StoreError if its
        effect is unknown.
        """


class PendingWrite:
    """A conditional write that waits to be sent in a group."""

    __slots__ = ("key", "operation", "result")

    def __init__(self, key: str, operation: dict, result: asyncio.Future) -> None:
        self.key = key
        self.operation = operation
        self.result = result


class EtcdClient(StoreClient):
    """Use etcd's v3 JSON API; conditional writes are sent in groups.

    Each write of a group is a nested transaction with its own condition, so one
    call carries many independent writes.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        endpoints: list[str],
        timeout_ms: int,
        calls_per_s: int,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._session = session
        self._endpoints = endpoints
        self._timeout = aiohttp.ClientTimeout(total=timeout_ms / 1_000)
        self._rate = float(calls_per_s)
        self._clock = clock
        self._metrics = metrics
        self._bucket = Bucket(2.0 * calls_per_s, clock.now_ms())
        self._group: list[PendingWrite] = []
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task] = set()
        self._leases: dict[int, tuple[str, int]] = {}

    async def read(self, key: str) -> StoredValue | None:
        """Return a key's value and revision."""
        response = await self._call("kv/range", {"key": _encode_base64(key.encode())})
        for item in response.get("kvs", []):
            return _decode_item(item)
        return None

    async def read_revision(self, key: str) -> int:
        """Return the revision of a key without its value."""
        body = {"key": _encode_base64(key.encode()), "keys_only": True}
        response = await self._call("kv/range", body)
        for item in response.get("kvs", []):
            return int(item["mod_revision"])
        return 0

    async def scan(self, prefix: str) -> dict[str, StoredValue]:
        """Return all keys with a prefix and their values."""
        response = await self._call("kv/range", _make_prefix_range(prefix))
        found: dict[str, StoredValue] = {}
        for item in response.get("kvs", []):
            key = base64.b64decode(item["key"]).decode()
            found[key] = _decode_item(item)
        return found

    async def scan_keys(self, prefix: str) -> set[str]:
        """Return the names of all keys with a prefix."""
        response = await self._call(
            "kv/range", {**_make_prefix_range(prefix), "keys_only": True}
        )
        found: set[str] = set()
        for item in response.get("kvs", []):
            found.add(base64.b64decode(item["key"]).decode())
        return found

    async def compare_and_swap(
        self, key: str, value: bytes, expected: int, lifetime_ms: int = 0
    ) -> int:
        """Write a key with the next group if its revision is the expected one."""
        encoded = _encode_base64(key.encode())
        put = {"key": encoded, "value": _encode_base64(value)}
        if lifetime_ms:
            put["lease"] = await self._get_lease(lifetime_ms)
        operation = {
            "compare": [
                {
                    "target": "MOD",
                    "result": "EQUAL",
                    "key": encoded,
                    "mod_revision": str(expected),
                }
            ],
            "success": [{"request_put": put}],
        }
        if any(item.key == key for item in self._group):
            # etcd rejects a transaction that puts the same key twice.
            self._send_group()
        loop = asyncio.get_running_loop()
        pending = PendingWrite(key, operation, loop.create_future())
        self._group.append(pending)
        if len(self._group) >= MAX_GROUP:
            self._send_group()
        elif self._timer is None:
            self._timer = loop.call_later(GROUP_WAIT_MS / 1_000, self._send_group)
        return await pending.result

    async def _get_lease(self, lifetime_ms: int) -> str:
        """Return an etcd lease that lasts at least as long as given.

        All writes within a tenth of the lifetime share one lease, so there are few.
        """
        now_ms = self._clock.now_ms()
        lease_id, until_ms = self._leases.get(lifetime_ms, ("", 0))
        if now_ms < until_ms:
            return lease_id
        shared_ms = lifetime_ms // LEASES_PER_LIFETIME
        body = {"TTL": str((lifetime_ms + shared_ms) // 1_000 + 1)}
        try:
            response = await self._call("lease/grant", body)
            lease_id = response["ID"]
        except (StoreError, KeyError) as error:
            raise NotAppliedError(
                "could not get a lease for the key's lifetime"
            ) from error
        self._leases[lifetime_ms] = (lease_id, now_ms + shared_ms)
        return lease_id

    def _send_group(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        group = self._group
        self._group = []
        if not group:
            return
        task = asyncio.get_running_loop().create_task(self._write_group(group))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write_group(self, group: list[PendingWrite]) -> None:
        body = {"success": [{"request_txn": item.operation} for item in group]}
        try:
            response = await self._call("kv/txn", body)
            results = [_read_written_revision(item) for item in response["responses"]]
        except (StoreError, KeyError, ValueError) as error:
            if not isinstance(error, StoreError):
                error = StoreError(f"malformed response: {error!r}")
            for item in group:
                if not item.result.done():
                    item.result.set_exception(error)
            return
        for item, revision in zip(group, results, strict=True):
            if not item.result.done():
                item.result.set_result(revision)

    async def _call(self, kind: str, body: dict) -> dict:
        """Post one call if the rate limit allows it, and count it in the metrics."""
        self._bucket.refill(self._rate, self._clock.now_ms())
        if self._bucket.level < 1.0:
            self._count(kind, "over_rate")
            raise NotAppliedError("the rate of key-value calls is used up")
        self._bucket.level -= 1.0
        try:
            response = await self._post(f"/v3/{kind}", body)
        except NotAppliedError:
            self._count(kind, "unsent")
            raise
        except StoreError:
            self._count(kind, "unknown")
            raise
        self._count(kind, "ok")
        return response

    async def _post(self, path: str, body: dict) -> dict:
        for endpoint in self._endpoints:
            try:
                url = endpoint + path
                async with self._session.post(
                    url, json=body, timeout=self._timeout
                ) as response:
                    if response.status != 200:
                        raise StoreError(f"status {response.status}")
                    return decode_json(await read_body(response), dict)
            except aiohttp.ClientConnectorError:
                continue
            except (
                aiohttp.ClientError,
                asyncio.TimeoutError,
                ValueError,
            ) as error:
                raise StoreError(repr(error)) from error
        raise NotAppliedError("no endpoint accepts connections")

    def _count(self, kind: str, result: str) -> None:
        self._metrics.store_calls.inc({"kind": kind, "result": result})


def _encode_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _make_prefix_range(prefix: str) -> dict:
    """Return the range request for all keys with a prefix."""
    start = prefix.encode()
    end = start[:-1] + bytes([start[-1] + 1])
    return {"key": _encode_base64(start), "range_end": _encode_base64(end)}


def _decode_item(item: dict) -> StoredValue:
    try:
        value = base64.b64decode(item.get("value", ""))
        return StoredValue(value, int(item["mod_revision"]))
    except (KeyError, ValueError) as error:
        raise StoreError(f"malformed item: {error!r}") from error


def _read_written_revision(item: dict) -> int:
    """Return the revision that a nested transaction wrote, or 0 if it wrote nothing."""
    response = item["response_txn"]
    if not response.get("succeeded"):
        return 0
    put = response["responses"][0]["response_put"]
    return int(put["header"]["revision"])
