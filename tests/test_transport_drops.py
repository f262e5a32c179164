"""Frames that are dropped because nobody takes them, as the log tells of them."""

import logging

from plantainwood.core.fleetmessages import PartsClearedNotice
from plantainwood.messenger import make_messenger
from plantainwood.metrics import Metrics
from plantainwood.transport import SEND_BUFFER_MESSAGES
from standins.ports import find_ports


# Guards against a full link that no log line tells of.
def test_dropped_frames_are_logged_once_with_their_count(caplog):
    caplog.set_level(logging.INFO, logger="plantainwood")
    own_port, dead_port = find_ports(2)
    messenger = make_messenger("127.0.0.1", own_port, "0" * 16, Metrics())
    address = f"tcp://127.0.0.1:{dead_port}"
    try:
        for _ in range(2 * SEND_BUFFER_MESSAGES):
            messenger.send([address], PartsClearedNotice("vm-1", ["a1"]))
        messenger.close_idle({address})
        messenger.close_idle({address})
    finally:
        messenger.close()
    records = [r for r in caplog.records if r.getMessage() == "link_full"]
    assert [r.levelno for r in records] == [logging.WARNING]
    assert records[0].dropped >= SEND_BUFFER_MESSAGES - 1
