"""Event streams: only whole events are relayed, and their bytes are unchanged."""

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
    assert (splitter.event_count, splitter.last_id, splitter.partial) == (3, "3", b"")


def test_a_partial_event_is_held_back_and_can_be_discarded():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert splitter.last_id == "1"
    splitter.begin_attempt()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


def test_an_event_above_the_size_limit_is_refused():
    with pytest.raises(EventTooLong):
        EventSplitter().feed(b"x" * (MAX_EVENT_BYTES + 1))
