"""Daemons of this build and of an earlier one side by side, on the own interface."""

import time

import pytest

from plantainwood.node import MARKS_WAIT_MS
from standins.fleet import Fleet
from tests.calls import CHAT_PATH, make_chat, send
from tests.test_duties import CRASHING_PROMPT
from tests.test_two_builds import unpack_build

EARLIER_BUILD = "013f7cb"
"""The landing before crash marks were sent back to whom they came from."""
EARLIER_NODE = "vm-2"


@pytest.fixture
def fleet(tmp_path):
    """Run a fleet of which one daemon is of the earlier build."""
    running = Fleet(nodes=3, engines=4)
    running.roots[EARLIER_NODE] = unpack_build(tmp_path, EARLIER_BUILD)
    try:
        running.start()
        running.load_catalogue()
        yield running
    finally:
        running.stop()


# Guards against crash marks that one build sends and the other does not understand.
@pytest.mark.parametrize("first_node", ["vm-1", EARLIER_NODE])
def test_both_builds_learn_of_a_crashing_request(fleet, first_node):
    key, _ = fleet.grant()
    for name in fleet.engines:
        fleet.control(name, crash_on=CRASHING_PROMPT)
    first = send(fleet, CHAT_PATH, make_chat(CRASHING_PROMPT), key, first_node)
    assert first.get_error()["code"] == "crash_suspect"
    if first_node == EARLIER_NODE:
        time.sleep(MARKS_WAIT_MS / 1_000)
    for node in fleet.nodes:
        again = send(fleet, CHAT_PATH, make_chat(CRASHING_PROMPT), key, node)
        assert again.get_error()["code"] == "crash_suspect"
    lost = [name for name in fleet.engines if fleet.processes[name].poll() is not None]
    assert len(lost) <= 2
    for node in fleet.nodes:
        assert "frame_dropped" not in fleet.read_log(node)
