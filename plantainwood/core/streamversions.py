"""Which software version began a stream, as far as the fleet knows.

What two versions write does not fit together, so a stream goes on only at the version
that began it, also if its caller takes it up at another VM. VMs tell each other of the
streams that they began, but only while a pool has had more than one version lately. The
store records these versions, for VMs that start after all others were lost.
"""

from collections import OrderedDict

STREAM_LIFETIME_MS = 60_000
"""How long a stream may be taken up after it began."""
VERSION_LIFETIME_MS = 30_000
"""How long a version without upstreams still counts, since callers may hold streams
that it began."""
MAX_STREAMS = 16_384
MAX_STREAMS_TOLD = 400
"""Streams in one heartbeat; the others are in the next ones."""


class BegunStream:
    """A stream that has begun: its pool, empty if another VM told of it, and when."""

    __slots__ = ("version", "pool", "began_ms")

    def __init__(self, version: str, pool: str, began_ms: int) -> None:
        self.version = version
        self.pool = pool
        self.began_ms = began_ms


class PoolVersions:
    """The versions of a pool's upstreams, and when the others were last there."""

    __slots__ = ("current", "left_ms")

    def __init__(self) -> None:
        self.current: set[str] = set()
        self.left_ms: dict[str, int] = {}

    def list_recent(self, now_ms: int) -> set[str]:
        """Return the versions that serve, or did within VERSION_LIFETIME_MS."""
        found = set(self.current)
        for version, left_ms in self.left_ms.items():
            if now_ms - left_ms < VERSION_LIFETIME_MS:
                found.add(version)
        return found


class StreamVersions:
    """The versions of the streams that this VM or others began, by stream.

    A stream is named by the id of the caller's request that brought its first event.
    """

    __slots__ = ("is_registry_current", "_streams", "_untold", "_pools")

    def __init__(self) -> None:
        self.is_registry_current = True
        """Whether all versions that serve are known; not so on a VM that is cut off."""
        self._streams: OrderedDict[str, BegunStream] = OrderedDict()
        self._untold: OrderedDict[str, BegunStream] = OrderedDict()
        """Streams that this VM began and has told no other VM of."""
        self._pools: dict[str, PoolVersions] = {}

    def set_versions(self, versions: dict[str, set[str]], now_ms: int) -> None:
        """Set the versions of each pool's upstreams, the leaving ones included."""
        for pool in versions:
            self._pools.setdefault(pool, PoolVersions())
        for pool, known in self._pools.items():
            current = versions.get(pool, set())
            for version in known.current - current:
                known.left_ms[version] = now_ms
            known.current = current

    def add_recorded(self, pool: str, versions: set[str], now_ms: int) -> None:
        """Add the versions that the store records for a pool.

        One that is not registered counts as having left now, unless it is known since
        when it has been gone.
        """
        known = self._pools.setdefault(pool, PoolVersions())
        for version in versions - known.current:
            known.left_ms.setdefault(version, now_ms)

    def list_recent(self, pool: str, now_ms: int) -> set[str]:
        """Return the versions of a pool whose streams may still be taken up."""
        known = self._pools.get(pool)
        return known.list_recent(now_ms) if known is not None else set()

    def record_start(self, stream: str, pool: str, version: str, now_ms: int) -> None:
        """Record a stream whose first event came from an upstream of a version."""
        begun = BegunStream(version, pool, now_ms)
        self._add(stream, begun)
        self._untold[stream] = begun
        while len(self._untold) > MAX_STREAMS:
            self._untold.popitem(last=False)

    def record_remote(self, streams: dict[str, list[str]], now_ms: int) -> None:
        """Record streams that other VMs began, by version."""
        for version, names in streams.items():
            for stream in names:
                self._add(stream, BegunStream(version, "", now_ms))

    def _add(self, stream: str, begun: BegunStream) -> None:
        self._streams[stream] = begun
        self._streams.move_to_end(stream)
        while len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)

    def find(self, stream: str, pool: str, now_ms: int) -> str | None:
        """Return the version that began a stream; None if nothing tells which.

        An unknown stream is of the only version that the pool has had lately, or of
        any (empty) if upstreams don't register their versions. Nothing tells this on a
        VM whose registry is not current.
        """
        begun = self._find_begun(stream, now_ms)
        if begun is not None:
            return begun.version
        recent = self.list_recent(pool, now_ms)
        if len(recent) > 1 or (recent and not self.is_registry_current):
            return None
        return next(iter(recent), "")

    def _find_begun(self, stream: str, now_ms: int) -> BegunStream | None:
        """Return what is known of a stream's start; None if it began too long ago."""
        begun = self._streams.get(stream)
        if begun is None or now_ms - begun.began_ms >= STREAM_LIFETIME_MS:
            return None
        return begun

    def is_guess(self, stream: str, pool: str, now_ms: int) -> bool:
        """Return whether a stream would be continued as one of the only version."""
        if self._find_begun(stream, now_ms) is not None:
            return False
        return len(self.list_recent(pool, now_ms)) == 1

    def _list_mixed_pools(self, now_ms: int) -> set[str]:
        found: set[str] = set()
        for pool, known in self._pools.items():
            if len(known.list_recent(now_ms)) > 1:
                found.add(pool)
        return found

    def take_untold(self, now_ms: int) -> dict[str, list[str]]:
        """Return some streams by version that other VMs must be told of, once each.

        Streams of pools with a single version are kept until it gets a second one.
        """
        mixed = self._list_mixed_pools(now_ms)
        taken: list[str] = []
        found: dict[str, list[str]] = {}
        for stream, begun in self._untold.items():
            if now_ms - begun.began_ms >= STREAM_LIFETIME_MS:
                taken.append(stream)
                continue
            if begun.pool not in mixed or len(taken) >= MAX_STREAMS_TOLD:
                continue
            taken.append(stream)
            found.setdefault(begun.version, []).append(stream)
        for stream in taken:
            del self._untold[stream]
        return found

    def list_streams(self, now_ms: int) -> dict[str, list[str]]:
        """Return all known streams by version, for a VM that was told of none.

        There are none while every pool has had a single version lately.
        """
        found: dict[str, list[str]] = {}
        if not self._list_mixed_pools(now_ms):
            return found
        for stream, begun in self._streams.items():
            if now_ms - begun.began_ms < STREAM_LIFETIME_MS:
                found.setdefault(begun.version, []).append(stream)
        return found
