"""The mirror of the store and the choice of its readers."""

from hypothesis import given
from hypothesis import strategies as st

from plantainwood.core.mirror import Item, Mirror
from plantainwood.core.storereaders import READER_COUNT, is_reader
from tests.seeds import pin_seed


def put(key: str, revision: int, value: bytes | None = b"v") -> Item:
    """Return an item."""
    return Item(key, revision, value)


def test_changes_apply_only_where_all_before_them_are_known():
    mirror = Mirror()
    assert mirror.apply(5, 7, [put("a", 7)]) is None
    assert mirror.revision == 0
    assert mirror.apply(0, 7, [put("a", 7)]) == [put("a", 7)]
    assert mirror.apply(5, 9, [put("b", 9)]) == [put("b", 9)]


def test_an_older_value_never_replaces_a_newer_one():
    mirror = Mirror()
    mirror.apply(0, 9, [put("a", 9, b"new")])
    assert mirror.apply(0, 5, [put("a", 5, b"old")]) == []
    assert mirror.items["a"].value == b"new"
    assert mirror.revision == 9


def test_a_deleted_key_does_not_come_back_from_late_news():
    mirror = Mirror()
    mirror.apply(0, 3, [put("a", 3)])
    mirror.apply(3, 4, [put("a", 4, None)])
    assert mirror.apply(0, 3, [put("a", 3)]) == []
    assert "a" not in mirror.items


def test_a_whole_reading_tells_what_has_gone_meanwhile():
    mirror = Mirror()
    mirror.apply(0, 3, [put("a", 2), put("b", 3)])
    news = mirror.replace(8, [put("b", 3), put("c", 7)])
    assert news == [Item("a", 8, None), put("c", 7)]


def test_a_whole_reading_that_is_older_changes_nothing():
    mirror = Mirror()
    mirror.apply(0, 9, [put("a", 9)])
    assert mirror.replace(5, []) is None
    assert "a" in mirror.items


def test_a_rewritten_equal_value_is_no_news():
    mirror = Mirror()
    mirror.apply(0, 3, [put("a", 3, b"x")])
    assert mirror.apply(3, 4, [put("a", 4, b"x")]) == []
    assert mirror.items["a"].revision == 4


@pin_seed("test_mirrors_agree_whatever_order_and_repetition_the_news_have")
@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=30),
    st.randoms(use_true_random=False),
)
def test_mirrors_agree_whatever_order_and_repetition_the_news_have(writes, generator):
    items: list[Item] = []
    for revision, (key, deleted) in enumerate(writes, start=1):
        items.append(put(key, revision, None if deleted else b"%d" % revision))
    straight = Mirror()
    straight.apply(0, len(items), items)
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
    assert straight.items == shuffled.items


def test_few_nodes_read_and_the_others_only_when_told_nothing():
    names = [f"vm-{number}" for number in range(20)]
    reading = [name for name in names if is_reader(name, names, 300)]
    assert len(reading) == READER_COUNT
    assert all(is_reader(name, names, 10_000) for name in names)
    assert is_reader("vm-3", names, None)


def test_silent_readers_are_replaced_one_after_the_other():
    names = [f"vm-{number}" for number in range(20)]
    soon = [name for name in names if is_reader(name, names, 1_300)]
    assert READER_COUNT < len(soon) < 6


def test_late_news_do_not_bring_back_what_a_whole_reading_no_longer_had():
    mirror = Mirror()
    mirror.replace(11, [])
    assert mirror.apply(5, 6, [Item("servers/i-1", 6, b"old")]) == []
    assert mirror.items == {}
    assert mirror.revision == 11


def test_an_older_item_replaces_none_that_a_reading_saw_before_its_turn():
    mirror = Mirror()
    mirror.replace(4, [put("a", 6, b"new")])
    assert mirror.apply(4, 5, [put("a", 5, b"old")]) == []
    assert mirror.items["a"].value == b"new"
