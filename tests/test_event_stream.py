"""Event streams: only whole events are relayed, and their bytes are unchanged."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainwood.core.eventstream import MAX_EVENT_BYTES, EventSplitter, EventTooLong
from tests.seeds import pin_seed

STREAM = b"id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\nversion: 3\nid: 3\ndata: x\n\n"


@pin_seed("test_any_split_of_the_bytes_gives_the_same_events")
@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_any_split_of_the_bytes_gives_the_same_events(cuts):
    splitter = EventSplitter()
    boundaries = [0, *sorted(cuts), len(STREAM)]
    output = b""
    for start, end in zip(boundaries, boundaries[1:]):
        output += splitter.feed(STREAM[start:end])
    assert output == STREAM
    assert (splitter.event_count, splitter.last_id) == (3, "3")
    assert splitter.held_bytes == 0 and not splitter.is_inside_event


COMMENTED = b":a\n\n\n" + STREAM[:16] + b": b\r\n\r\n:c\n" + STREAM[16:] + b"\n:d\n\n"


@pin_seed("test_comments_and_empty_lines_are_no_events")
@given(st.lists(st.integers(0, len(COMMENTED)), max_size=12))
def test_comments_and_empty_lines_are_no_events(cuts):
    splitter = EventSplitter()
    boundaries = [0, *sorted(cuts), len(COMMENTED)]
    output = b""
    for start, end in zip(boundaries, boundaries[1:]):
        count = splitter.event_count
        events = splitter.feed(COMMENTED[start:end])
        assert bool(events) == (splitter.event_count > count)
        output += events
    assert not splitter.is_inside_event
    assert output + splitter.take_rest() == COMMENTED
    assert (splitter.event_count, splitter.last_id) == (3, "3")


# Guards against an upstream that sends what is no event without end: it held a stream
# until its deadline, as each comment counted as an event.
@pytest.mark.parametrize("unit", [b"\n", b":\n\n", b":\r\n\r\n", b"\r", b": x"])
def test_what_is_no_event_has_a_bound(unit):
    splitter = EventSplitter()
    splitter.feed(STREAM)
    begin_s = time.process_time()
    with pytest.raises(EventTooLong):
        for _ in range(2 * MAX_EVENT_BYTES // 32_768):
            assert splitter.feed(unit * (32_768 // len(unit))) == b""
    assert time.process_time() - begin_s < 2.0


# Guards against an event that comes in tiny pieces: with each, all of it was copied and
# searched again, which held up the whole process.
@pytest.mark.parametrize("piece", [b"x" * 64, b"data: x\n" * 8])
def test_an_event_in_many_pieces_is_searched_once(piece):
    splitter = EventSplitter()
    begin_s = time.process_time()
    for _ in range(MAX_EVENT_BYTES // len(piece) - 1):
        assert splitter.feed(piece) == b""
    assert len(splitter.feed(b"\n\n")) > MAX_EVENT_BYTES - 128
    assert time.process_time() - begin_s < 1.0


def test_a_partial_event_is_held_back_and_can_be_discarded():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert splitter.last_id == "1"
    splitter.begin_attempt()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


def test_an_event_above_the_size_limit_is_refused():
    with pytest.raises(EventTooLong):
        EventSplitter().feed(b"x" * (MAX_EVENT_BYTES + 1))
