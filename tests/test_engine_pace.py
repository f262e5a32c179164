"""Engines of unequal speed: what is learned of them, and what they get.

The plays run 90 VMs in front of 24 engines at 0.6, 1.0 and 1.6 of the usual speed in
virtual time (tests/unevenengines.py), with prompts of 1,500 to 8,500 tokens and answers
of 40, against the choice by tokens as it was before.
"""

import random

import msgspec
import pytest

from bridge.codec import RunnerCodec
from fakes.runner import make_response
from plantainwood.answerparser import ResponseHead
from plantainwood.core.affinity import PrefixHints
from plantainwood.core.catalogue import ServiceClass
from plantainwood.core.enginepace import (
    MAX_SLOWNESS,
    MIN_SLOWNESS,
    NOTABLE_SLOWNESS,
    PACE_LIFETIME_MS,
    PERIOD_MS,
    SAMPLE_LIFETIME_MS,
    EnginePaces,
    ReportedPace,
)
from plantainwood.core.promptrouter import make_prompt_router
from plantainwood.core.prompts import Part
from plantainwood.core.router import LESS_URGENT_WEIGHT, FewChoicesRouter
from plantainwood.metrics import Metrics
from plantainwood.pacereports import report_paces
from tests.edgesite import run
from tests.samples import make_heartbeat
from tests.test_prompt_router import POOL, make_load, make_request
from tests.unevenengines import (
    STEP_MS,
    Fleet,
    make_options,
    make_token_router,
)

UNEVEN_SPEEDS = [0.6, 1.0, 1.6] * 8
FIRST_TOKEN_TARGET_MS = 1_500
MAX_OVER_MEAN = 1.4


def make_paces(engines: int = 6) -> EnginePaces:
    """Return the paces of a pool without samples."""
    paces = EnginePaces()
    paces.set_pool(POOL, {f"e{number}" for number in range(engines)})
    return paces


def record_rounds(paces: EnginePaces, slowness: dict[str, float], rounds: int) -> int:
    """Record first tokens on six engines, one in each period; return the time."""
    generator = random.Random(3)
    for turn in range(rounds):
        for number in range(6):
            name = f"e{number}"
            tokens = generator.randrange(2_000, 12_000)
            took_ms = tokens / 40 * slowness.get(name, 1.0)
            took_ms *= generator.uniform(0.9, 1.1)
            paces.record_own(name, tokens, round(took_ms), turn * PERIOD_MS)
    return rounds * PERIOD_MS


def test_a_reported_pace_decays_to_the_usual_one():
    pace = ReportedPace()
    assert pace.compute_slowness(0) == 1.0
    pace.record(250, 1_000)
    assert pace.compute_slowness(1_000) == 2.5
    assert pace.compute_slowness(1_000 + PACE_LIFETIME_MS // 2) == 1.75
    assert pace.compute_slowness(1_000 + PACE_LIFETIME_MS) == 1.0
    pace.record(100_000, 5_000)
    assert pace.compute_slowness(5_000) == MAX_SLOWNESS


def test_slow_and_fast_engines_are_learned_relative_to_the_median():
    paces = make_paces()
    now_ms = record_rounds(paces, {"e0": 1 / 0.6, "e1": 1 / 1.6}, 30)
    assert 1.4 < paces.compute_slowness("e0", now_ms) < 1.75
    assert 0.6 < paces.compute_slowness("e1", now_ms) < 0.75
    assert paces.compute_slowness("e2", now_ms) == 1.0
    assert paces.compute_slowness("unknown", now_ms) == 1.0


def test_an_error_in_the_assumed_speed_changes_nothing():
    paces = make_paces()
    wrong = {f"e{number}": 7.0 for number in range(6)}
    now_ms = record_rounds(paces, wrong, 30)
    for number in range(6):
        assert paces.compute_slowness(f"e{number}", now_ms) == 1.0


def test_a_stall_that_delays_many_first_tokens_at_once_changes_little():
    paces = make_paces()
    now_ms = record_rounds(paces, {}, 30)
    for _ in range(30):
        paces.record_own("e0", 4_000, 2_100, now_ms)
    assert paces.compute_slowness("e0", now_ms + 1_000) == 1.0


def test_a_wrong_estimate_decays_with_new_samples_and_without():
    paces = make_paces()
    now_ms = record_rounds(paces, {"e0": 2.0}, 8)
    assert paces.compute_slowness("e0", now_ms) > 1.3
    silent_ms = now_ms + SAMPLE_LIFETIME_MS + PERIOD_MS
    assert paces.compute_slowness("e0", silent_ms) == 1.0
    paces = make_paces()
    record_rounds(paces, {"e0": 2.0}, 8)
    now_ms = record_rounds(paces, {}, 40)
    assert paces.compute_slowness("e0", now_ms + 1_000) == 1.0


def test_one_sample_moves_an_estimate_little_and_no_estimate_leaves_its_bounds():
    paces = make_paces()
    for number in range(1, 6):
        paces.record_own(f"e{number}", 4_000, 100, 0)
    paces.record_own("e0", 4_000, 200, 0)
    assert paces.compute_slowness("e0", 0) == 1.0
    now_ms = record_rounds(paces, {"e0": 50.0, "e1": 0.01}, 30)
    assert paces.compute_slowness("e0", now_ms) == MAX_SLOWNESS
    assert paces.compute_slowness("e1", now_ms) == MIN_SLOWNESS


def test_samples_of_other_vms_count_and_are_not_passed_on():
    learning, other = make_paces(), make_paces()
    for turn in range(30):
        for number in range(6):
            took_ms = 200 if number == 0 else 100
            other.record_own(f"e{number}", 4_000, took_ms, turn * PERIOD_MS)
        learning.record_remote(other.take_own(), turn * PERIOD_MS)
    assert learning.compute_slowness("e0", 30 * PERIOD_MS) > 1.6
    assert learning.take_own() == {}


def test_impossible_samples_of_others_are_ignored():
    paces = make_paces(2)
    timings = {"e0": (0, 50, 1), "e1": (100, -5, 1), "gone": (100, 5, 1)}
    paces.record_remote(timings, 0)
    assert paces.compute_slowness("e0", 0) == 1.0
    assert paces.find_extremes(0) == (1.0, 1.0)


def test_an_engine_that_left_or_serves_several_pools_fails_nothing():
    paces = make_paces()
    paces.set_pool("service/other", {"e0", "e9"})
    now_ms = record_rounds(paces, {"e0": 2.0}, 20)
    paces.set_pool(POOL, {"e1", "e2"})
    assert paces.compute_slowness("e3", now_ms + 1_000) == 1.0
    paces.forget("e1")
    assert paces.compute_slowness("e1", now_ms + 2_000) == 1.0
    paces.set_pool("service/other", set())
    assert paces.take_changes(now_ms + 3_000) == []


def test_a_change_of_pace_is_logged_once_and_measured(caplog):
    paces = make_paces()
    metrics = Metrics()
    now_ms = record_rounds(paces, {"e0": 2.0}, 20)
    with caplog.at_level("INFO"):
        report_paces(paces, metrics, now_ms)
        report_paces(paces, metrics, now_ms)
    lines = [line for line in caplog.records if line.getMessage() == "engine_pace"]
    assert [line.upstream for line in lines] == ["e0"]
    assert b'pw_engine_slowness{engine="slowest"} 1.' in metrics.render([])[0]


@pytest.mark.parametrize(
    "text,pace",
    [
        (b"1,2,8", None),
        (b"1,2,8,250", 250),
        (b"1, 2, 8, 60", 60),
        (b"1,2,8,250,7", 250),
        (b"1,2,8,", 0),
        (b"1,2,8,-4", 0),
        (b"1,2,8,2.5", 0),
        (b"1,2,8," + b"9" * 500, 0),
        (b"1,2,8,999999999", 100_000),
    ],
)
def test_the_pace_is_the_fourth_figure_of_server_load(text, pace):
    response = ResponseHead(200, [(b"Server-Load", text)])
    assert RunnerCodec().read_pace(response) == pace
    assert RunnerCodec().read_load(response) == (1, 2)


@pytest.mark.parametrize("figure,slowness", [("250", 2.5), ("fast", 1.0)])
def test_the_pace_in_a_runners_answer_is_applied(figure, slowness, caplog):
    async def script(request, writer) -> None:
        extra = f"Server-Load: 1,0,8,{figure}\r\n"
        writer.write(make_response(request, b"", extra=extra))

    async def scenario(site):
        for _ in range(3):
            assert (await site.call("GET", "/r/x"))[0] == 200
        loads = site.daemon.edge.broker.dispatcher.state.loads.values()
        found = [load.reported_pace._slowness for load in loads]
        assert found == [slowness]

    with caplog.at_level("INFO"):
        run(scenario, script=script)
    events = [record.getMessage() for record in caplog.records]
    unreadable = 0 if slowness != 1.0 else 1
    assert events.count("upstream_pace_unreadable") == unreadable


def test_heartbeats_carry_own_samples_once_and_those_of_others_are_learned():
    async def scenario(site):
        edge = site.daemon.edge
        assert (await site.call("GET", "/r/x"))[0] == 200
        engine = next(iter(edge.broker.dispatcher.state.loads))
        edge.router.paces.record_own(engine, 4_000, 100, edge.clock.now_ms())
        assert edge.make_heartbeat().engine_timings == {engine: (4_000, 100, 1)}
        assert edge.make_heartbeat().engine_timings == {}
        timings = {engine: (8_000, 400, 2), "unknown": (8_000, 400, 2)}
        heartbeat = msgspec.structs.replace(
            make_heartbeat("vm-2", 100), engine_timings=timings
        )
        site.daemon._fleet_links.handle_message(heartbeat)
        found = edge.router.paces._timings
        assert set(found) == {engine}
        assert sum(period.tokens for period in found[engine]._periods) == 12_000
        assert sum(period.took_ms for period in found[engine]._periods) == 500
        assert edge.make_heartbeat().engine_timings == {}

    run(scenario)


def make_random_case(seed: int):
    """Return two routers with the same state, the engines, and a request."""
    generator = random.Random(seed)
    group = [make_load(f"e{number}") for number in range(generator.randrange(1, 9))]
    routers = []
    for make in (make_token_router, make_prompt_router):
        router = make(random.Random(seed), PrefixHints())
        router.set_pool_upstreams(POOL, group)
        router.set_first_token_target(POOL, 500)
        routers.append(router)
    for load in group:
        load.ejected = generator.random() < 0.1
        for _ in range(generator.randrange(6)):
            load.record_dispatch(1, 0)
    for vm in range(3):
        backlogs = {}
        parts = {}
        for load in group:
            backlogs[load.name] = generator.choice((0, 300, 400, 9_000, 20_000))
            if generator.random() < 0.4:
                sizes = (("shared", 1_000), (f"s{generator.randrange(3)}", 3_000))
                parts[load.name] = [Part(name, tokens) for name, tokens in sizes]
        for router in routers:
            router.engine_states.record_remote(f"vm-{vm}", backlogs, parts, 0)
    request = make_request(1, f"s{generator.randrange(3)}", generator.randrange(9_000))
    return routers, group, request


def test_engines_of_one_pace_are_chosen_as_by_tokens_on_random_cases():
    waiting = 0
    for seed in range(600):
        (by_tokens, by_time), group, request = make_random_case(seed)
        expected = by_tokens.choose(request, group, 0)
        assert by_time.choose(request, group, 0) is expected, seed
        source = by_tokens.find_kv_source(request)
        assert by_time.find_kv_source(request) == source, seed
        waiting += expected is None
    assert 0 < waiting < 300


def make_uneven_router(generator_seed: int = 1):
    """Return a router that knows e0 as slow, its engines, and the time."""
    router = make_prompt_router(random.Random(generator_seed), PrefixHints())
    group = [make_load(f"e{number}") for number in range(6)]
    router.set_pool_upstreams(POOL, group)
    router.set_first_token_target(POOL, 500)
    now_ms = record_rounds(router.paces, {"e0": 1 / 0.6}, 30)
    return router, group, now_ms


def test_the_limit_of_a_backlog_is_in_time():
    router, group, now_ms = make_uneven_router()
    for load in group[2:]:
        load.leaving = True
    group[1].paused_until_ms = now_ms + 1
    router.engine_states.record_remote("vm-2", {"e0": 16_000}, {}, now_ms)
    assert router.choose(make_request(1, "s", 100), group, now_ms) is None
    group[1].paused_until_ms = 0
    router.engine_states.record_remote("vm-2", {"e1": 16_000}, {}, now_ms)
    group[0].paused_until_ms = now_ms + 1
    assert router.choose(make_request(1, "s", 100), group, now_ms) is group[1]


def test_a_momentary_pace_moves_prompts_away_until_it_is_over():
    router, group, _ = make_uneven_router()
    router.paces = make_paces()
    chosen = router.choose(make_request(1, "s", 3_000), group, 0)
    chosen.reported_pace.record(250, 0)
    assert router.choose(make_request(2, "s", 3_000), group, 0) is not chosen
    later_ms = PACE_LIFETIME_MS + 1
    assert router.choose(make_request(3, "s", 3_000), group, later_ms) is chosen


def test_plain_services_get_less_at_a_slow_pace_and_the_same_without_one():
    counts = {"e0": 0, "e1": 0, "e2": 0}
    router = FewChoicesRouter(random.Random(5), PrefixHints())
    group = [make_load(name) for name in counts]
    for load in group:
        load.record_dispatch(1, 0)
    request = make_request(1, "s", 0)
    group[0].reported_pace.record(250, 0)
    for _ in range(100):
        counts[router.choose(request, group, 0).name] += 1
    assert counts["e0"] == 0
    for _ in range(100):
        now_ms = PACE_LIFETIME_MS + 1
        counts[router.choose(request, group, now_ms).name] += 1
    assert counts["e0"] > 10


def choose_without_pace(request, group):
    """Return the choice of a plain service as it was before paces were read."""
    scores = []
    for load in group:
        used = load.estimate_in_flight(request.priority, 0)
        if used >= load.entry.slots:
            continue
        score = used / load.entry.slots
        score += LESS_URGENT_WEIGHT * min(
            1.0, load.estimate_in_flight(9, 0) / load.entry.slots
        )
        score += load.unstarted_attempts / load.entry.slots
        scores.append((score, load.name))
    return min(scores)[0]


def test_plain_services_without_a_pace_are_chosen_as_before_on_random_cases():
    for seed in range(300):
        generator = random.Random(seed)
        group = [make_load(f"e{number}") for number in range(3)]
        for load in group:
            slots = generator.choice((8, 64))
            load.entry = msgspec.structs.replace(load.entry, slots=slots)
            load.unstarted_attempts = generator.randrange(4)
            for _ in range(generator.randrange(7)):
                load.record_dispatch(generator.randrange(3), 0)
        request = make_request(1, "s", 0)
        router = FewChoicesRouter(random.Random(seed), PrefixHints())
        chosen = router.choose(request, group, 0)
        others = [load for load in group if load is chosen]
        best = choose_without_pace(request, group)
        assert choose_without_pace(request, others) == best, seed


def play(make_router, speeds: list[float], per_s: int, shared: int = 0) -> Fleet:
    """Run 90 VMs for nine seconds; every `shared`-th engine has a momentary pace."""
    classes = {
        "k": ServiceClass(
            owner="",
            tier=1,
            first_token_ms=FIRST_TOKEN_TARGET_MS,
            completion_ms=20_000,
            queue_timeout_ms=20_000,
        )
    }
    fleet = Fleet(90, speeds, classes, make_options(make_router), seed=1)
    if shared:
        fleet.shared_engines = list(fleet.engines.values())[::shared]
    generator = random.Random(1)
    due = 0.0
    for _ in range(9_000 // STEP_MS):
        due += generator.expovariate(1.0) * per_s * STEP_MS / 1_000
        while due >= 1:
            due -= 1
            tokens = 500 + int(1_000 * 8 ** generator.random())
            session = f"s{generator.randrange(40)}"
            fleet.arrive("k", "c0", tokens, 40, session=session, shared_tokens=500)
        fleet.advance()
    return fleet


def list_first_token_times(fleet: Fleet) -> list[int]:
    """Return the sorted times to first token after the first three seconds."""
    found = []
    for caller in fleet.callers.values():
        age_ms = caller.arrives_ms - fleet.began_ms
        if not 3_000 < age_ms < 7_000:
            continue
        missing_ms = fleet.now_ms + 10_000
        found.append((caller.first_ms or missing_ms) - caller.arrives_ms)
    return sorted(found)


def compute_max_over_mean(fleet: Fleet) -> float:
    """Return the busy time of the busiest engine relative to the mean."""
    busy_ms = [engine.busy_ms for engine in fleet.engines.values()]
    return max(busy_ms) * len(busy_ms) / sum(busy_ms)


@pytest.mark.parametrize("shared", [0, 3])
def test_90_vms_meet_more_targets_and_do_not_all_follow_one_figure(shared):
    before = play(make_token_router, UNEVEN_SPEEDS, 150, shared)
    after = play(make_prompt_router, UNEVEN_SPEEDS, 150, shared)
    times_before = list_first_token_times(before)
    times_after = list_first_token_times(after)
    last = int(0.95 * len(times_after))
    assert compute_max_over_mean(after) <= MAX_OVER_MEAN
    assert times_after[last] < 0.8 * times_before[last]
    on_time_before = sum(1 for ms in times_before if ms <= FIRST_TOKEN_TARGET_MS)
    on_time_after = sum(1 for ms in times_after if ms <= FIRST_TOKEN_TARGET_MS)
    assert on_time_after >= on_time_before


def test_in_a_play_with_engines_alike_none_is_taken_for_slow_or_fast():
    before = play(make_token_router, [1.0] * 24, 50)
    after = play(make_prompt_router, [1.0] * 24, 50)
    for dispatcher in after.dispatchers:
        extremes = dispatcher.state.router.paces.find_extremes(after.now_ms)
        assert 1 / NOTABLE_SLOWNESS < extremes[0] <= extremes[1] < NOTABLE_SLOWNESS
    first_before = [caller.first_ms for caller in before.callers.values()]
    first_after = [caller.first_ms for caller in after.callers.values()]
    same = sum(1 for pair in zip(first_before, first_after) if pair[0] == pair[1])
    assert same > 0.7 * len(first_before)
