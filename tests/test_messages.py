"""Messages between daemons: authentication, other releases, merging in any order."""

import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainwood.core.catalogue import ServiceClass
from plantainwood.core.frames import (
    COMPRESSED_VERSION,
    HEADER_BYTES,
    MAX_MESSAGE_BYTES,
    FrameError,
    _compute_mac,
    decode_frame,
    encode_frame,
)
from plantainwood.core.gossip import GossipTable
from plantainwood.core.messages import (
    CatalogueRequest,
    CatalogueUpdate,
    CrashMark,
    GossipBatch,
    Heartbeat,
    LeavingNotice,
    LoadNotice,
    NodeDemand,
    NodeState,
    ShareGrant,
    ShareRequest,
    UsageCopy,
    UsageStored,
)
from plantainwood.core.usage import UsageLine, UsageRecord
from plantainwood.pipeline.meter import meets_targets
from tests.seeds import pin_seed

SECRET = b"a secret of the fleet"
BATCH = GossipBatch(
    "vm-1", 1, 2, 3, [Heartbeat("vm-1", 1, 2, NodeState.LIVE, 7, 40)], True
)


def make_frame(fields: list) -> bytes:
    """Return the signed frame of a message that is given as a list of fields."""
    payload = msgspec.msgpack.encode(fields)
    head = encode_frame(BATCH, SECRET)[:1]
    return head + _compute_mac(SECRET, payload) + payload


def test_a_newer_release_may_add_fields_and_an_older_one_lack_them():
    fields = msgspec.msgpack.decode(encode_frame(BATCH, SECRET)[HEADER_BYTES:])
    assert decode_frame(make_frame([*fields, "new"]), SECRET) == BATCH
    older = decode_frame(make_frame(fields[:-1]), SECRET)
    assert older == msgspec.structs.replace(BATCH, full=False)


MESSAGES = [
    BATCH,
    CatalogueUpdate("vm-1", b"{}"),
    CatalogueRequest("vm-1", 7),
    UsageCopy(
        "vm-1", UsageRecord("vm-1", 1, 2, 3, {"p/c/k": UsageLine(1, 2, 3)}, True)
    ),
    UsageStored("vm-1", "usage/2/vm-1.1", 3),
    ShareRequest("vm-1", {"c": 1.5}, {"c": 9}),
    ShareGrant("vm-1", {"c": 0.5}, {"c": 9}),
    NodeDemand("vm-1", {"model/m": (1, 0, 2)}, {"e": False}),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda item: type(item).__name__)
def test_every_message_decodes_to_what_was_encoded(message):
    assert decode_frame(encode_frame(message, SECRET), SECRET) == message


def make_compressed_frame(payload: bytes) -> bytes:
    """Return the signed frame of some bytes that claim to be a compressed message."""
    return bytes([COMPRESSED_VERSION]) + _compute_mac(SECRET, payload) + payload


# Guards against batches that fill the thin link of a VM which relays them.
def test_a_message_that_repeats_itself_is_compressed():
    records = [
        Heartbeat(f"front-fln-b-{number}", 1, 2, NodeState.LIVE, 7, 40)
        for number in range(74)
    ]
    message = GossipBatch("vm-1", 1, 2, 3, records, True)
    frame = encode_frame(message, SECRET)
    assert len(frame) < len(msgspec.msgpack.encode(message)) / 3
    assert decode_frame(frame, SECRET) == message


def test_a_broken_or_endless_compressed_message_is_dropped():
    data = zlib.compress(bytes(MAX_MESSAGE_BYTES + 1))
    for payload in (b"not compressed", data, data[:-4]):
        with pytest.raises(FrameError):
            decode_frame(make_compressed_frame(payload), SECRET)


def test_an_unknown_kind_of_message_is_dropped():
    with pytest.raises(FrameError):
        decode_frame(make_frame([99, "vm-1"]), SECRET)


@pin_seed("test_any_changed_byte_is_refused")
@given(position=st.integers(0, 40), change=st.integers(1, 255))
def test_any_changed_byte_is_refused(position, change):
    frame = bytearray(encode_frame(BATCH, SECRET))
    frame[position % len(frame)] ^= change
    with pytest.raises(FrameError):
        decode_frame(bytes(frame), SECRET)


GOSSIP_RECORDS = st.one_of(
    st.builds(
        Heartbeat,
        st.sampled_from(["a", "b"]),
        st.integers(1, 3),
        st.integers(1, 4),
        st.just(NodeState.LIVE),
        st.just(1),
        st.just(0),
    ),
    st.builds(LoadNotice, st.just("e"), st.just(1), st.integers(1, 4), st.just((1,))),
    st.builds(LeavingNotice, st.sampled_from(["e", "f"]), st.just("http://x")),
    st.builds(CrashMark, st.just("p"), st.sampled_from("ef"), st.booleans()),
)


@pin_seed("test_merging_does_not_depend_on_order_or_repetition")
@given(st.lists(GOSSIP_RECORDS, max_size=12), st.randoms(use_true_random=False))
def test_merging_does_not_depend_on_order_or_repetition(digests, shuffler):
    first, second = GossipTable(), GossipTable()
    for record in digests:
        first.merge(record, "x")
    repeated = digests * 2
    shuffler.shuffle(repeated)
    for record in repeated:
        second.merge(record, "y")
    versions = [
        {record.key: record.version for record in table.list_records()}
        for table in (first, second)
    ]
    assert versions[0] == versions[1]


def test_load_notices_stay_inside_the_failure_domain():
    table = GossipTable()
    table.set_partners(["near", "far"], {"near"})
    table.merge(LoadNotice("e", 1, 1, (1,)), "")
    table.merge(LeavingNotice("e", "http://x"), "")
    assert len(table.take_missing("near")) == 2
    assert len(table.take_missing("far")) == 1


@pytest.mark.parametrize(
    "first_ms,total_ms,tokens,met",
    [(100, 1_000, 20, True), (700, 1_000, 20, False), (100, 9_000, 20, False)],
)
def test_a_class_meets_its_targets_only_if_it_meets_each(
    first_ms, total_ms, tokens, met
):
    service_class = ServiceClass("p", 0, 600, 50, 8_000)
    assert meets_targets(service_class, first_ms, total_ms, tokens) is met
