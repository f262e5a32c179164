"""Planning, limits, stragglers, gossip partners, placement and retry budgets."""

from hypothesis import given
from hypothesis import strategies as st

from plantainwood.core.catalogue import Customer, Upstream, UpstreamKind
from plantainwood.core.hashing import pick_subset
from plantainwood.core.limits import SHARE_LIFETIME_MS, CustomerLimit, ShareAllocator
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.membership import pick_partners, select_serving_domains
from plantainwood.core.placement import Candidate, pick_addresses
from plantainwood.core.planner import (
    STOP_AFTER_MS,
    CostPlanner,
    Demand,
    UpstreamState,
)
from plantainwood.core.retries import SharedRetryBudget
from plantainwood.core.stragglers import update_ejections
from tests.seeds import pin_seed

DOMAINS = ["d0", "d1", "d2", "d3"]


def make_states(running: set[str]) -> list[UpstreamState]:
    """Return two upstreams that can't be evicted, in one domain, and two cheap ones."""
    states: list[UpstreamState] = []
    for name, cost, cheap in (("a", 4, 0), ("b", 4, 0), ("c", 1, 1), ("d", 1, 1)):
        domain = "d1" if cheap else "d0"
        state = UpstreamState(name, domain, 8, cost, bool(cheap), name in running)
        states.append(state)
    return states


def test_the_planner_covers_urgent_demand_by_upstreams_that_can_not_be_evicted():
    plan = CostPlanner().plan(make_states(set()), Demand(6, 14), 0)
    assert set(plan.start) & {"a", "b"}
    assert set(plan.start) & {"c", "d"}


def test_the_planner_stops_surplus_only_after_a_delay_and_never_the_last():
    planner = CostPlanner()
    running = {"a", "b", "c", "d"}
    assert planner.plan(make_states(running), Demand(0, 0), 0).stop == []
    stopped = planner.plan(make_states(running), Demand(0, 0), STOP_AFTER_MS).stop
    assert stopped and set(stopped) < running


def test_the_planner_replaces_unavailable_cheap_upstreams():
    planner = CostPlanner()
    planner.record_unavailable("c", 0)
    planner.record_unavailable("d", 0)
    plan = planner.plan(make_states(set()), Demand(0, 14), 1)
    assert set(plan.start) == {"a", "b"}


@pin_seed("test_shares_in_force_never_exceed_the_limit")
@given(
    calls=st.lists(
        st.tuples(
            st.sampled_from("abc"),
            st.floats(0, 1_000),
            st.integers(0, SHARE_LIFETIME_MS),
            st.booleans(),
        ),
        max_size=40,
    )
)
def test_shares_in_force_never_exceed_the_limit(calls):
    """Nodes use a share for its lifetime after they get it; replies may be lost."""
    allocator = ShareAllocator()
    now = 0
    shares_in_force: dict[str, tuple[float, int]] = {}
    for node, demand, elapsed_ms, lost in calls:
        now += elapsed_ms
        share = allocator.grant(node, demand, now)
        if not lost:
            shares_in_force[node] = (share, now + SHARE_LIFETIME_MS)
        total = sum(value for value, until in shares_in_force.values() if until > now)
        assert total <= 1.0 + 1e-9


@pin_seed("test_a_node_admits_no_more_than_its_share")
@given(
    arrivals=st.lists(st.integers(0, 300), min_size=1, max_size=200),
    share=st.floats(0.05, 1.0),
)
def test_a_node_admits_no_more_than_its_share(arrivals, share):
    """At most the burst and what the rate allows since the start are admitted."""
    customer = Customer("p", [], requests_per_s=20, tokens_per_s=1e9, concurrent=10**6)
    limit = CustomerLimit(customer, 0)
    now = 0
    admitted = 0
    for elapsed_ms in arrivals:
        now += elapsed_ms
        limit.set_share(share, now)
        admitted += limit.admit(0.0, now) is None
    burst = max(1.0, 20 * share * 2)
    assert admitted <= burst + 20 * share * now / 1_000 + 1


def make_load(name: str, first_ms: float) -> UpstreamLoad:
    """Return the load of an upstream with measured latencies."""
    entry = Upstream("p", UpstreamKind.ENGINE, "http://x", "d0")
    load = UpstreamLoad(name, entry)
    load.samples = 10
    load.first_token_ms = first_ms
    load.between_tokens_ms = 30.0
    return load


def test_a_straggler_is_ejected_and_restored():
    group = [make_load(f"e{n}", 100.0) for n in range(6)]
    group[2].first_token_ms = 900.0
    update_ejections(group)
    assert [load.name for load in group if load.ejected] == ["e2"]
    group[2].first_token_ms = 110.0
    update_ejections(group)
    assert not any(load.ejected for load in group)


@pin_seed("test_at_most_a_third_is_ejected")
@given(st.lists(st.floats(1, 10_000), min_size=1, max_size=12))
def test_at_most_a_third_is_ejected(times):
    group = [make_load(f"e{n}", ms) for n, ms in enumerate(times)]
    update_ejections(group)
    assert sum(load.ejected for load in group) <= len(group) / 3


@pin_seed("test_partners_are_few_and_mutual_and_reach_all_nodes")
@given(st.integers(1, 60), st.integers(1, 8))
def test_partners_are_few_and_mutual_and_reach_all_nodes(count, domain_count):
    domains = {f"vm-{n}": f"d{n % domain_count}" for n in range(count)}
    partners = {name: pick_partners(name, domains) for name in domains}
    seen = {"vm-0"}
    frontier = ["vm-0"]
    while frontier:
        for other in partners[frontier.pop()]:
            if other not in seen:
                seen.add(other)
                frontier.append(other)
    assert seen == set(domains)
    for name, chosen in partners.items():
        assert len(chosen) <= 6
        assert all(name in partners[other] for other in chosen)


def test_an_upstream_is_served_from_two_of_many_domains_or_all_of_few():
    many = [f"d{n}" for n in range(8)]
    for number in range(50):
        served = select_serving_domains(f"runner-{number}", many)
        assert len(set(served)) == 2
        assert select_serving_domains(f"runner-{number}", DOMAINS) == DOMAINS


def test_subsets_are_bounded_and_spread():
    members = {f"e{n}": f"d{n % 4}" for n in range(100)}
    subset = pick_subset("vm-1", members, 16)
    assert len(set(subset)) == 16
    counts = [sum(members[name] == domain for name in subset) for domain in DOMAINS]
    assert counts == [4, 4, 4, 4]


def test_picked_addresses_prefer_the_domain_and_keep_a_conversation_on_one_vm():
    candidates = [
        Candidate(f"vm-{n}", f"http://vm-{n}", DOMAINS[n % 4], 10) for n in range(8)
    ]
    first = pick_addresses(candidates, "norte", "d1", 8)
    weights = {item.address: item.weight for item in first}
    assert weights["http://vm-1"] == 2 * weights["http://vm-0"]
    heaviest = [
        max(
            pick_addresses(candidates, "norte", "", 3, conversation),
            key=lambda item: item.weight,
        ).address
        for conversation in ("k1", "k1", "k2", "k3", "k4")
    ]
    assert heaviest[0] == heaviest[1]
    assert len(set(heaviest)) > 1


@pin_seed("test_the_fleets_retries_stay_within_ratio_and_slack")
@given(
    arrivals=st.lists(st.integers(0, 3), min_size=1, max_size=200),
    nodes=st.integers(1, 8),
)
def test_the_fleets_retries_stay_within_ratio_and_slack(arrivals, nodes):
    ratio, slack = 0.2, 50.0
    budgets = [SharedRetryBudget(ratio, slack) for _ in range(nodes)]
    for budget in budgets:
        budget.set_nodes(nodes)
    retries = 0
    for position, wanted in enumerate(arrivals):
        budget = budgets[position % nodes]
        budget.earn(0)
        for _ in range(wanted * 5):
            retries += budget.spend(0)
    assert retries <= ratio * len(arrivals) + max(slack, nodes)
