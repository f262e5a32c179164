"""Routing of prompts: affinity, dedicated engines, tokens awaiting prefill as load."""

import random

from plantainwood.core.affinity import PrefixHints
from plantainwood.core.catalogue import (
    DiscoveredUpstream,
    ServiceClass,
    UpstreamKind,
)
from plantainwood.core.dedicatedengines import find_dedicated_engines
from plantainwood.core.events import Arrival
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.promptrouter import make_prompt_router
from plantainwood.core.prompts import Part, PartCache, Prompt
from plantainwood.core.requests import Request
from plantainwood.core.stragglers import update_ejections

POOL = "service/pool"
TIGHT_GAP_MS = 150
LOOSE_GAP_MS = 600


def make_load(name: str) -> UpstreamLoad:
    """Return the load of an engine without requests."""
    entry = DiscoveredUpstream(
        owner="",
        kind=UpstreamKind.ENGINE,
        address="10.0.0.1:80",
        domain="d0",
        service="pool",
        slots=64,
        memory_tokens=400_000,
    )
    return UpstreamLoad(name, entry)


def make_request(
    serial: int, session: str, tokens: int, gap_ms: int = LOOSE_GAP_MS
) -> Request:
    """Return a request of a session with a shared part of 4,000 tokens."""
    parts = (Part("shared", 1_000), Part(session, 3_000), Part(f"own{serial}", tokens))
    prompt = Prompt(parts, 4_000 + tokens, 50)
    service_class = ServiceClass(owner="", tier=1, between_tokens_ms=gap_ms)
    arrival = Arrival(f"r{serial}", "c", "k", POOL, prompt=prompt)
    return Request(arrival, service_class, True, 0)


def make_router(engines: int):
    """Return a router with two gap targets, and the loads of its engines."""
    router = make_prompt_router(random.Random(1), PrefixHints())
    router.set_gap_targets(POOL, {TIGHT_GAP_MS, LOOSE_GAP_MS})
    group = [make_load(f"e{number}") for number in range(engines)]
    router.set_pool_upstreams(POOL, group)
    return router, group


def test_a_session_stays_on_its_engine_while_that_has_no_backlog():
    router, group = make_router(6)
    chosen = set()
    for serial in range(20):
        request = make_request(serial, "s1", 200)
        load = router.choose(request, group, 0)
        router.record_dispatch(request, load, 0)
        router.record_started(request, load)
        chosen.add(load.name)
    assert len(chosen) == 1


def test_two_nodes_send_one_session_to_the_same_engine():
    first, group = make_router(6)
    second, others = make_router(6)
    for session in ("s1", "s2", "s3", "s4"):
        request = make_request(1, session, 200)
        found = first.choose(request, group, 0)
        assert found.name == second.choose(request, others, 0).name


def test_a_backlog_that_costs_more_than_a_fetch_moves_a_session():
    router, group = make_router(6)
    request = make_request(1, "s1", 200)
    preferred = router.choose(request, group, 0)
    router.engine_states.record_remote("vm-2", {preferred.name: 300}, {}, 0)
    assert router.choose(request, group, 0) is preferred
    router.engine_states.record_remote("vm-2", {preferred.name: 3_000}, {}, 0)
    assert router.choose(request, group, 0) is not preferred


def test_the_reported_backlog_of_a_silent_node_expires():
    router, group = make_router(2)
    router.engine_states.record_remote("vm-2", {"e0": 30_000}, {}, 0)
    assert router.engine_states.count_backlog_tokens("e0", 0) == 30_000
    assert router.engine_states.count_backlog_tokens("e0", 10_000) == 0


def test_gap_sensitive_requests_and_long_prompts_never_share_an_engine_under_load():
    router, group = make_router(5)
    gap_sensitive = set()
    others = set()
    for serial in range(200):
        gap_ms = TIGHT_GAP_MS if serial % 3 == 0 else LOOSE_GAP_MS
        request = make_request(serial, f"s{serial % 17}", 2_000, gap_ms)
        load = router.choose(request, group, 0)
        router.record_dispatch(request, load, 0)
        (gap_sensitive if gap_ms == TIGHT_GAP_MS else others).add(load.name)
    assert gap_sensitive and others and not gap_sensitive & others
    assert gap_sensitive == set(
        find_dedicated_engines(POOL, [load.name for load in group])
    )


def test_gap_sensitive_requests_use_any_engine_while_the_dedicated_ones_are_paused():
    router, group = make_router(5)
    for load in group:
        if load.name in find_dedicated_engines(POOL, [item.name for item in group]):
            load.paused_until_ms = 1_000
    load = router.choose(make_request(1, "s1", 200, TIGHT_GAP_MS), group, 0)
    assert load is not None and load.paused_until_ms == 0


def test_classes_with_one_gap_target_share_all_engines():
    router, group = make_router(5)
    router.set_gap_targets(POOL, {LOOSE_GAP_MS})
    names = set()
    for serial in range(60):
        request = make_request(serial, f"s{serial}", 2_000)
        names.add(router.choose(request, group, 0).name)
    assert len(names) == 5


def test_a_cached_part_counts_only_if_all_earlier_parts_are_cached():
    cache = PartCache(10_000)
    cache.add([Part("b", 500)])
    assert cache.count_cached_tokens([Part("a", 100), Part("b", 500)]) == 0
    cache.add([Part("a", 100)])
    assert (
        cache.count_cached_tokens([Part("a", 100), Part("b", 500), Part("c", 1)]) == 600
    )


def test_the_least_recently_used_parts_are_evicted():
    cache = PartCache(1_000)
    for name in ("a", "b"):
        cache.add([Part(name, 500)])
    cache.add([Part("a", 500)])
    cache.add([Part("c", 500)])
    assert cache.count_cached_tokens([Part("a", 500)]) == 500
    assert cache.count_cached_tokens([Part("b", 500)]) == 0


def dispatch(router, request, group, started=True):
    """Dispatch to the chosen engine; return it and the engine to fetch from."""
    load = router.choose(request, group, 0)
    source = router.find_kv_source(request)
    router.record_dispatch(request, load, 0)
    if started:
        router.record_started(request, load)
    return load, source


def test_a_prompt_that_moves_off_a_busy_engine_is_fetched_from_there():
    router, group = make_router(6)
    preferred, _ = dispatch(router, make_request(0, "s1", 200), group)
    router.engine_states.record_remote("vm-2", {preferred.name: 8_000}, {}, 0)
    load, source = dispatch(router, make_request(9, "s1", 200), group, started=False)
    assert load is not preferred
    assert source == preferred.name
    assert router.engine_states.count_own_backlogs()[load.name] < 1_000


def test_parts_that_are_not_prefilled_yet_are_not_fetched():
    router, group = make_router(6)
    preferred, _ = dispatch(router, make_request(0, "s1", 200), group, started=False)
    router.engine_states.record_remote("vm-2", {preferred.name: 8_000}, {}, 0)
    load, source = dispatch(router, make_request(1, "s1", 200), group, started=False)
    assert load is not preferred
    assert router.engine_states.count_own_backlogs()[load.name] == 4_200


def test_nothing_is_fetched_by_the_engine_that_has_cached_the_prompt():
    router, group = make_router(6)
    preferred, _ = dispatch(router, make_request(0, "s1", 200), group)
    assert dispatch(router, make_request(1, "s1", 200), group) == (preferred, "")


def test_a_leaving_engine_is_fetched_from_until_it_is_removed():
    router, group = make_router(6)
    preferred, _ = dispatch(router, make_request(0, "s1", 200), group)
    preferred.leaving = True
    staying = [load for load in group if load is not preferred]
    load, source = dispatch(router, make_request(1, "s1", 200), staying)
    assert (load in staying, source) == (True, preferred.name)
    router.set_pool_upstreams(POOL, staying)
    router.forget(preferred.name)
    other, source = dispatch(router, make_request(2, "s1", 200), staying)
    assert other is load or source == load.name


def test_a_session_follows_another_nodes_choice_of_engine():
    router, group = make_router(6)
    request = make_request(1, "s1", 200)
    preferred = router.choose(request, group, 0)
    other = next(load for load in group if load is not preferred)
    router.engine_states.record_remote(
        "vm-2", {}, {other.name: list(request.prompt.parts)}, 0
    )
    later = make_request(2, "s1", 200)
    assert router.choose(later, group, 0) is other


def test_the_parts_sent_since_the_last_heartbeat_are_reported_once():
    router, group = make_router(6)
    preferred, _ = dispatch(router, make_request(0, "s1", 200), group)
    sent_parts = router.engine_states.take_sent_parts()
    assert [part.id for part in sent_parts[preferred.name]] == ["shared", "s1", "own0"]
    assert router.engine_states.take_sent_parts() == {}


def time_first_tokens(router, group, slow=None) -> None:
    """Record first tokens of six prompts on each of four engines.

    The second engine gets long prompts only; `slow` runs at a fifth of the speed.
    """
    router.set_gap_targets(POOL, {LOOSE_GAP_MS})
    for serial in range(24):
        tokens = 20_000 if serial % 4 == 1 else 100
        request = make_request(serial, f"s{serial % 4}", tokens)
        load = group[serial % 4]
        router.record_dispatch(request, load, 0)
        took_ms = (25 + (4_000 + tokens) // 40) * (5 if load is slow else 1)
        load.record_first_token(took_ms, router.find_prefill_tokens(request))
        router.record_end(request, load)
    update_ejections(group)


def test_long_prompts_do_not_make_an_engine_look_slow_beside_short_ones():
    router, group = make_router(6)
    time_first_tokens(router, group)
    assert not any(load.ejected for load in group)


def test_an_engine_at_a_fifth_of_its_speed_is_a_straggler_with_any_prompts():
    router, group = make_router(6)
    time_first_tokens(router, group, slow=group[0])
    assert [load for load in group if load.ejected] == [group[0]]


def test_streams_beside_short_prompts_do_not_make_a_dedicated_engine_look_slow():
    group = [make_load(f"e{number}") for number in range(4)]
    for _ in range(10):
        group[0].record_first_token(90, 700.0)
        for load in group[1:]:
            load.record_first_token(200, 8_000.0)
    update_ejections(group)
    assert not any(load.ejected for load in group)
