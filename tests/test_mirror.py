"""The mirror of the store, and the selection of the nodes that read the store."""

from hypothesis import given
from hypothesis import strategies as st

from plantainwood.core.mirror import Item, Mirror
from plantainwood.core.storereaders import READER_COUNT, is_reader
from tests.seeds import pin_seed


def make_item(key: str, revision: int, value: bytes | None = b"v") -> Item:
    """Return an item; None as its value means a deletion."""
    return Item(key, revision, value)


def test_changes_apply_only_if_all_earlier_ones_are_known():
    mirror = Mirror()
    assert mirror.apply(5, 7, [make_item("a", 7)]) is None
    assert mirror.revision == 0
    assert mirror.apply(0, 7, [make_item("a", 7)]) == [make_item("a", 7)]
    assert mirror.apply(5, 9, [make_item("b", 9)]) == [make_item("b", 9)]


def test_an_older_value_never_replaces_a_newer_one():
    mirror = Mirror()
    mirror.apply(0, 9, [make_item("a", 9, b"new")])
    assert mirror.apply(0, 5, [make_item("a", 5, b"old")]) == []
    assert mirror.items["a"].value == b"new"
    assert mirror.revision == 9


def test_a_late_update_does_not_restore_a_deleted_key():
    mirror = Mirror()
    mirror.apply(0, 3, [make_item("a", 3)])
    mirror.apply(3, 4, [make_item("a", 4, None)])
    assert mirror.apply(0, 3, [make_item("a", 3)]) == []
    assert "a" not in mirror.items


def test_a_full_read_reports_keys_deleted_meanwhile():
    mirror = Mirror()
    mirror.apply(0, 3, [make_item("a", 2), make_item("b", 3)])
    changes = mirror.replace(8, [make_item("b", 3), make_item("c", 7)])
    assert changes == [Item("a", 8, None), make_item("c", 7)]


def test_an_older_full_read_changes_nothing():
    mirror = Mirror()
    mirror.apply(0, 9, [make_item("a", 9)])
    assert mirror.replace(5, []) is None
    assert "a" in mirror.items


def test_rewriting_an_equal_value_reports_no_change():
    mirror = Mirror()
    mirror.apply(0, 3, [make_item("a", 3, b"x")])
    assert mirror.apply(3, 4, [make_item("a", 4, b"x")]) == []
    assert mirror.items["a"].revision == 4


@pin_seed("test_mirrors_agree_for_any_order_and_repetition_of_updates")
@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=30),
    st.randoms(use_true_random=False),
)
def test_mirrors_agree_for_any_order_and_repetition_of_updates(writes, generator):
    items: list[Item] = []
    for revision, (key, deleted) in enumerate(writes, start=1):
        items.append(make_item(key, revision, None if deleted else b"%d" % revision))
    in_order = Mirror()
    in_order.apply(0, len(items), items)
    shuffled = Mirror()
    ranges = [(base, base + 1) for base in range(len(items))]
    for _ in items:
        base = generator.randrange(len(items))
        ranges.append((base, generator.randint(base, len(items))))
    while shuffled.revision < len(items):
        generator.shuffle(ranges)
        for base, revision in ranges:
            shuffled.apply(base, revision, items[base:revision])
    for base, revision in ranges:
        shuffled.apply(base, revision, items[base:revision])
    assert in_order.items == shuffled.items


def test_few_nodes_read_and_all_read_once_updates_stop():
    names = [f"vm-{number}" for number in range(20)]
    weights = dict.fromkeys(names, 100)
    readers = [name for name in names if is_reader(name, weights, 300)]
    assert len(readers) == READER_COUNT
    assert all(is_reader(name, weights, 10_000) for name in names)
    assert is_reader("vm-3", weights, None)


# Guards against updates to all VMs that fill the thin link of the VM which reads them.
def test_vms_with_thin_links_leave_the_reading_to_stronger_ones():
    names = [f"vm-{number}" for number in range(20)]
    weights = {name: 20 for name in names}
    weights["vm-4"] = weights["vm-11"] = 215
    readers = [name for name in names if is_reader(name, weights, 300)]
    assert readers == ["vm-4", "vm-11"]


def test_failed_readers_are_replaced_one_by_one():
    names = [f"vm-{number}" for number in range(20)]
    readers = [
        name for name in names if is_reader(name, dict.fromkeys(names, 100), 1_300)
    ]
    assert READER_COUNT < len(readers) < 6


def test_a_late_update_does_not_restore_a_key_that_a_full_read_lacked():
    mirror = Mirror()
    mirror.replace(11, [])
    assert mirror.apply(5, 6, [Item("servers/i-1", 6, b"old")]) == []
    assert mirror.items == {}
    assert mirror.revision == 11


def test_an_older_update_does_not_replace_a_newer_item_of_a_full_read():
    mirror = Mirror()
    mirror.replace(4, [make_item("a", 6, b"new")])
    assert mirror.apply(4, 5, [make_item("a", 5, b"old")]) == []
    assert mirror.items["a"].value == b"new"
