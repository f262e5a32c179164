"""Settings that are reloaded while a node runs."""

import msgspec

from plantainwood.edge import RETRY_BUDGET_SHARE, make_edge
from plantainwood.edgesettings import EdgeDrain, EdgeRetries, EdgeSettings
from plantainwood.settingswatch import SettingsConsumer, SettingsWatch, merge_settings
from tests.samples import SETTINGS

TEXT = """
node: "vm-1"
domain: "a"
domains: ["a", "b"]
addresses: {callers: "h:1", ready: "h:2", directory: "h:3", links: "h:4",
            metrics_port: 5}
store: {address: "h:6", orders_address: "h:7"}
fleet: "0123456789abcdef"
"""


class RecordingConsumer(SettingsConsumer):
    """Record the settings that were applied."""

    def __init__(self) -> None:
        self._settings = SETTINGS

    @property
    def settings(self) -> EdgeSettings:
        """Return the settings in force."""
        return self._settings

    def apply_settings(self, settings: EdgeSettings) -> None:
        """Replace the settings in force."""
        self._settings = settings


def test_reloadable_fields_apply_and_others_wait_for_the_next_start():
    changed = msgspec.structs.replace(
        SETTINGS, drain=EdgeDrain(4_000), retries=EdgeRetries(0.1, 20), node="vm-9"
    )
    update = merge_settings(SETTINGS, changed)
    assert sorted(update.applied) == ["drain", "retries"]
    assert update.deferred == ["node"]
    assert update.settings.node == "vm-1"
    assert update.settings.drain.grace_ms == 4_000


def test_a_changed_file_is_applied_without_a_signal(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(TEXT + "drain: {grace_ms: 5000}\n")
    consumer = RecordingConsumer()
    SettingsWatch(str(path), consumer).reload_if_changed(forced=False)
    assert consumer.settings.drain.grace_ms == 5_000


def test_an_invalid_or_missing_file_changes_nothing(tmp_path):
    path = tmp_path / "settings.yaml"
    consumer = RecordingConsumer()
    watch = SettingsWatch(str(path), consumer)
    watch.reload_if_changed(forced=True)
    path.write_text(TEXT + "drain: {grace_ms: -1}\n")
    watch.reload_if_changed(forced=True)
    assert consumer.settings is SETTINGS


def test_a_changed_retry_budget_is_in_force_at_once():
    edge = make_edge(SETTINGS)
    edge.apply_settings(msgspec.structs.replace(SETTINGS, retries=EdgeRetries(0.0, 10)))
    spent = 0
    while edge.retry_budget.spend(0):
        spent += 1
    assert spent <= 10 * RETRY_BUDGET_SHARE
