"""A VM that does not follow the store says so, in its log and its metrics."""

import logging

from plantainwood.core.mirror import Item
from plantainwood.edge import make_edge
from plantainwood.storewatch import UNCONFIRMED_AFTER_MS, StoreWatch
from tests.samples import SETTINGS

CONFIG = Item("op/config", 5, b"{}")


def list_events(caplog) -> list[str]:
    """Return the names of the captured events."""
    return [record.getMessage() for record in caplog.records]


# Guards against a VM that silently goes on with what it knew, as in issue 38.
def test_a_vm_says_once_that_it_does_not_follow_the_store_and_once_that_it_does(caplog):
    caplog.set_level(logging.INFO, logger="plantainwood")
    edge = make_edge(SETTINGS)
    edge.mirror.replace(5, [CONFIG])
    edge.mirror.confirm(5, edge.clock.now_ms() - UNCONFIRMED_AFTER_MS - 1)
    watch = StoreWatch(edge)
    watch.check()
    watch.check()
    assert list_events(caplog) == ["store_unconfirmed"]
    assert caplog.records[0].mirror == 5
    edge.mirror.confirm(5, edge.clock.now_ms())
    watch.check()
    assert list_events(caplog) == ["store_unconfirmed", "store_confirmed"]


def test_metrics_show_the_known_revision_and_the_one_in_force():
    edge = make_edge(SETTINGS)
    edge.mirror.replace(5, [CONFIG])
    edge.mirror.confirm(5, edge.clock.now_ms())
    StoreWatch(edge).check()
    text = edge.metrics.render(["text/plain"])[0].decode()
    assert "pw_mirror_revision 5" in text
    assert "pw_catalogue_revision 0" in text
    assert "pw_confirm_age_seconds 0" in text
