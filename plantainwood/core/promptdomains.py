"""The failure domain that a prompt's session belongs to, and the cost of the others.

A session stays in the domain whose engines have cached its own part, unless calls from
another domain have paid for the path as much as reading the part anew costs. The parts
before it are shared by many sessions: each domain reads them once, so it is no reason
to leave a domain that its engines don't have them yet.
"""

import copy
from collections import OrderedDict
from typing import Callable

import msgspec

from plantainwood.core.domainoverflow import DomainOverflow, DomainWaits, PoolOverflow
from plantainwood.core.enginestates import EngineStates
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.prompts import Prompt
from plantainwood.core.requests import Request

MAX_COMMON_TOKENS = 8_000
"""The tokens of parts shared by many sessions that each domain may read once."""
MAX_PAID_SESSIONS = 4_096


class DomainExtras(msgspec.Struct, frozen=True):
    """The preferred domain of a prompt and the extra cost of each; by default none."""

    preferred: str = ""
    """Empty if all domains are alike."""
    extra_ms: dict[str, float] = {}

    def list_preferred(self, loads: list[UpstreamLoad]) -> list[str]:
        """Return the sorted names of the engines in the preferred domain, else all."""
        names: list[str] = []
        for load in loads:
            if self.preferred in ("", load.entry.domain):
                names.append(load.name)
        return sorted(names)


class PromptDomains:
    """Choose the domains of prompts for one VM, by sessions and cached parts."""

    __slots__ = (
        "overflow",
        "_engine_states",
        "_estimate_wait_ms",
        "_tokens_per_ms",
        "_fetch_cost_ratio",
        "_paid_ms",
        "_engine_domains",
    )

    def __init__(
        self,
        overflow: DomainOverflow,
        engine_states: EngineStates,
        estimate_wait_ms: Callable[[UpstreamLoad, int], float],
        tokens_per_ms: float,
        fetch_cost_ratio: float,
    ) -> None:
        self.overflow = overflow
        self._engine_states = engine_states
        self._estimate_wait_ms = estimate_wait_ms
        self._tokens_per_ms = tokens_per_ms
        self._fetch_cost_ratio = fetch_cost_ratio
        self._paid_ms: OrderedDict[str, float] = OrderedDict()
        """What calls of this VM's domain paid to reach a session's engine elsewhere."""
        self._engine_domains: dict[str, str] = {}
        """The failure domains of engines, which may be sources of KV transfers."""

    def copy(
        self,
        overflow: DomainOverflow,
        engine_states: EngineStates,
        estimate_wait_ms: Callable[[UpstreamLoad, int], float],
        members: list[UpstreamLoad],
    ) -> "PromptDomains":
        """Return an object for a pool with these members that uses copied figures.

        It is for choices alone: what `record_sent` changes is shared.
        """
        found = copy.copy(self)
        found.overflow = overflow
        found._engine_states = engine_states
        found._estimate_wait_ms = estimate_wait_ms
        found._engine_domains = {}
        found.set_pool_upstreams(members)
        return found

    def set_pool_upstreams(self, loads: list[UpstreamLoad]) -> None:
        """Record the failure domains of a pool's engines."""
        for load in loads:
            self._engine_domains[load.name] = load.entry.domain

    def forget(self, engine: str) -> None:
        """Delete the state of an engine that has stopped."""
        self._engine_domains.pop(engine, None)

    def compute_ms(
        self, extras: DomainExtras, load: UpstreamLoad, source: str, tokens: int
    ) -> float:
        """Return the cost of an engine's domain and of fetching from a source."""
        fetch_ms = self._compute_fetch_ms(load, source, tokens)
        return extras.extra_ms.get(load.entry.domain, 0.0) + fetch_ms

    def pays_fetch(self, load: UpstreamLoad, source: str, tokens: int) -> bool:
        """Tell whether an engine fetches tokens for less than it reads them itself."""
        read_ms = tokens / self._tokens_per_ms
        fetch_ms = self._compute_fetch_ms(load, source, tokens)
        return fetch_ms + self._fetch_cost_ratio * read_ms < read_ms

    def _compute_fetch_ms(self, load: UpstreamLoad, source: str, tokens: int) -> float:
        """Return the cost of the path of a KV transfer from a source to an engine."""
        source_domain = self._engine_domains.get(source, "")
        return self.overflow.compute_fetch_ms(source_domain, load.entry.domain, tokens)

    def find_extras(
        self,
        request: Request,
        partition: list[UpstreamLoad],
        usable_count: int,
        key: str,
        now_ms: int,
    ) -> DomainExtras:
        """Return the preferred domain for a prompt and the extra costs.

        `partition` are the engines that may take it, of `usable_count` in the pool;
        `key` names the pool and the partition.
        """
        overflow = self.overflow
        pool = overflow.get_or_create_pool(key, now_ms)
        if overflow.is_due(pool, request, now_ms):
            self._update_pool(pool, request, partition, usable_count, now_ms)
        domains = {load.entry.domain for load in partition}
        mapped = overflow.map_session(pool, _make_mapping_key(request), domains)
        mapped = self._keep_session(request, partition, mapped, now_ms)
        extra_ms = overflow.compute_extra_ms(pool, request, mapped, now_ms)
        unread_ms = self._find_unread_common_ms(request.prompt, partition, mapped)
        if unread_ms:
            for domain in domains - {mapped}:
                extra_ms[domain] = extra_ms.get(domain, 0.0) + unread_ms
        return DomainExtras(mapped, extra_ms)

    def _update_pool(
        self,
        pool: PoolOverflow,
        request: Request,
        partition: list[UpstreamLoad],
        usable_count: int,
        now_ms: int,
    ) -> None:
        """Make the plan of the engines in a partition.

        The heartbeats report the demand for all of a pool's engines; it is taken to
        divide among the partitions as the engines do.
        """
        waits: dict[str, DomainWaits] = {}
        for load in partition:
            found = waits.setdefault(load.entry.domain, DomainWaits())
            found.add(self._estimate_wait_ms(load, now_ms))
        demand_share = len(partition) / max(1, usable_count)
        self.overflow.update_pool(
            pool, request, waits, self._tokens_per_ms, demand_share, now_ms
        )

    def _keep_session(
        self,
        request: Request,
        partition: list[UpstreamLoad],
        mapped: str,
        now_ms: int,
    ) -> str:
        """Return the domain that has cached a session's own part, if it pays to use it.

        A session that is to be served elsewhere goes there. One of the own domain is
        served where its part is cached, until the calls from here have paid as much
        for the path as fetching the part once costs.
        """
        if mapped != self.overflow.own:
            return mapped
        held = self._find_session_tokens(request.prompt, partition)
        if not held or mapped in held:
            return mapped
        best = min(held, key=lambda domain: (-held[domain], domain))
        saved_ms = self._fetch_cost_ratio * held[best] / self._tokens_per_ms
        away_ms = self.overflow.compute_away_ms(request, best, now_ms)
        paid_ms = self._paid_ms.get(request.prompt.session, 0.0)
        return best if paid_ms + away_ms <= saved_ms else mapped

    def _find_session_tokens(
        self, prompt: Prompt, partition: list[UpstreamLoad]
    ) -> dict[str, int]:
        """Return the cached tokens of a session's own part, by domain, without zeros.

        The parts before it must be cached by the same engine.
        """
        own_part = prompt.parts[-2:-1]
        if not own_part:
            return {}
        through = sum(part.tokens for part in prompt.shared_parts)
        held: dict[str, int] = {}
        for load in partition:
            cached = self._engine_states.count_cached_tokens(load.name, prompt)
            if cached >= through:
                held[load.entry.domain] = own_part[0].tokens
        return held

    def _find_unread_common_ms(
        self, prompt: Prompt, partition: list[UpstreamLoad], domain: str
    ) -> float:
        """Return the time to read what a domain lacks of the common parts, once."""
        common_tokens = sum(part.tokens for part in prompt.parts[:-2])
        if not common_tokens or common_tokens > MAX_COMMON_TOKENS:
            return 0.0
        most = 0
        for load in partition:
            if load.entry.domain != domain:
                continue
            cached = self._engine_states.count_cached_tokens(load.name, prompt)
            most = max(most, min(cached, common_tokens))
        return (common_tokens - most) / self._tokens_per_ms

    def record_sent(
        self, request: Request, load: UpstreamLoad, source: str, now_ms: int
    ) -> None:
        """Count an attempt, and what its session has paid for the path."""
        domain = load.entry.domain
        self.overflow.record_sent(domain, self._engine_domains.get(source, ""))
        session = request.prompt.session
        if domain == self.overflow.own or not session:
            return
        away_ms = self.overflow.compute_away_ms(request, domain, now_ms)
        self._paid_ms[session] = self._paid_ms.get(session, 0.0) + away_ms
        self._paid_ms.move_to_end(session)
        while len(self._paid_ms) > MAX_PAID_SESSIONS:
            self._paid_ms.popitem(last=False)


def _make_mapping_key(request: Request) -> str:
    """Return what maps a prompt to a domain: its session, if it has one of its own.

    The only part that a prompt of two parts shares may be that of all prompts, which
    would then all be mapped alike.
    """
    prompt = request.prompt
    return prompt.session if len(prompt.parts) > 2 else request.id
