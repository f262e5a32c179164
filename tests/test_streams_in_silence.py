"""Streams whose runners fall silent, or whose VM stood still, are answered whole."""

import pytest

from tests.streamdisruptions import (
    configure,
    hang_up,
    join,
    release,
    silence,
    stop_vms,
    trouble_store,
)
from tests.streamplay import Plan, run_play

SHORT = {"seconds": 1.0, "events": 24, "event_s": 0.1}
SMALL_BUDGET = "retries:\n  ratio: 0.0\n  slack: 4.0\n"
"""So that the few streams of a test need more than there is."""
RUNNERS = 4
ALL = [0, 1, 2, 3]


def check_whole(play) -> None:
    """Check that all streams came whole, in order and from one version."""
    assert play.list_mixed() == []
    assert play.list_cut() == []


# Guards against begun streams that are closed since their runners, which run on, send
# nothing for a while and no attempt is left in the budget (LOST).
@pytest.mark.parametrize("through_others", [False, True])
def test_streams_of_silent_runners_end_whole(through_others, tmp_path):
    play = run_play(
        Plan(through_others=through_others, **SHORT),
        silence(1.7, ALL, [1.0]),
        tmp_path,
        runners=RUNNERS,
        more_settings=SMALL_BUDGET,
    )
    served = sum(len(vm.list_events("vm_call_served")) for vm in play.site.vms)
    assert served or not through_others, "nothing went through another VM"
    check_whole(play)


# Guards against begun streams that are closed since the last runner of their version
# is silent, and no other may go on with them (LOST).
def test_streams_of_the_last_runner_of_their_version_end_whole(tmp_path):
    play = run_play(
        Plan(**{**SHORT, "events": 40}),
        release(1.0, silent_s=1.7),
        tmp_path,
        runners=RUNNERS,
    )
    check_whole(play)


# Guards against a VM that stood still and takes all its runners for silent, though
# their events wait in its sockets: their streams are closed or begun anew (LOST).
def test_streams_of_a_vm_that_stood_still_end_whole(tmp_path):
    play = run_play(
        Plan(**SHORT),
        stop_vms(2.2, [0], [1.0]),
        tmp_path,
        runners=RUNNERS,
        more_settings=SMALL_BUDGET,
    )
    check_whole(play)
    failed = [line for vm in play.site.vms for line in vm.list_events("attempt_failed")]
    assert failed == []


# Guards against begun streams that are cut with a new configuration, by a SIGHUP, by
# trouble of the store or by a runner that drains, alone or at once (LOST).
@pytest.mark.parametrize(
    "disturb",
    [
        join(configure(many_routes=True), hang_up(0.3)),
        join(configure(), trouble_store(), release(0.5)),
    ],
    ids=["configurations-and-hangups", "store-and-release"],
)
def test_streams_around_planned_work_end_whole(disturb, tmp_path):
    play = run_play(Plan(**SHORT), disturb, tmp_path, runners=RUNNERS)
    check_whole(play)
