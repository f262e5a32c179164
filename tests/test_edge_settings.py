"""Settings of an edge node: validation and the platform's template."""

import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

from plantainwood.edgesettings import EdgeCold, parse_edge_settings
from plantainwood.settings import SettingsError

ROOT = Path(__file__).resolve().parent.parent
VALID = """
node: vm-1
domain: a
domains: [a, b]
addresses:
  callers: 10.0.0.1:80
  ready: 10.0.0.1:81
  directory: 10.0.0.1:82
  links: 10.0.0.1:83
  metrics_port: 9464
store: {address: "10.0.1.1:80", orders_address: "10.0.1.2:80"}
fleet: 10.0.1.1:80/10.0.1.2:80
seeds: ["10.0.0.2:85"]
duties: {enabled: [usage_reporting, scaling], window_ms: 5000}
"""


def test_valid_settings_are_parsed_with_the_links_of_the_seeds():
    settings = parse_edge_settings(VALID)
    assert settings.list_seed_links() == ["10.0.0.2:83"]
    assert settings.duties.window_ms == 5_000


def test_every_problem_is_reported_with_its_path():
    text = VALID.replace("metrics_port: 9464", "metrics_port: 99999")
    text = text.replace("domain: a\n", "domian: a\n").replace(":81", "")
    with pytest.raises(SettingsError) as caught:
        parse_edge_settings(text)
    found = "\n".join(caught.value.problems)
    for part in ("addresses.metrics_port", "domian", "domain: is required", "ready"):
        assert part in found, found


@pytest.mark.parametrize(
    ("text", "code"), [(VALID, 0), (VALID.replace("node: vm-1", ""), 2), ("{", 2)]
)
def test_check_settings_exits_with_0_only_for_valid_settings(tmp_path, text, code):
    path = tmp_path / "settings.yaml"
    path.write_text(text)
    result = subprocess.run(
        [sys.executable, "platform/main.py", "--check_settings", "--settings", path],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        env=os.environ,
    )
    assert result.returncode == code, result.stderr


def render_sections(text: str, values: dict[str, str]) -> str:
    """Return a template with the sections of the bounds of cold upstreams rendered.

    A section without a value is left out.
    """
    for name in ("bounds.coldOverage", "bounds.coldSlack"):
        value = values.get(name)
        start, end = "{{#%s}}" % name, "{{/%s}}" % name
        assert start in text and end in text
        pattern = f"{re.escape(start)}(.*?){re.escape(end)}"
        text = re.sub(pattern, "" if value is None else r"\1", text)
        text = text.replace("{{%s}}" % name, value or "")
    return text


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ({}, EdgeCold()),
        ({"bounds.coldOverage": "1.5"}, EdgeCold(overage=1.5)),
        ({"bounds.coldSlack": "5"}, EdgeCold(slack=5.0)),
        ({"bounds.coldOverage": "1.5", "bounds.coldSlack": "5"}, EdgeCold(1.5, 5.0)),
    ],
)
def test_the_template_names_only_settings_that_exist(values, expected):
    lines = (ROOT / "deploy/settings.yaml").read_text().splitlines()
    text = render_sections("\n".join(lines), values)
    for name in ("node", "domain", "domains", "addresses", "store", "fleet", "duties"):
        assert f"{name}:" in text
    filled = (
        text.replace('[{{#zones}}"{{@}}"{{,}}{{/zones}}]', '["a"]')
        .replace('{{#zones}}"{{@}}": "{{.}}"{{,}}{{/zones}}', '"a": "north"')
        .replace('[{{#seeds}}"{{.}}"{{,}}{{/seeds}}]', "[]")
        .replace("{{cloud.duties|json}}{{^cloud.duties}}[]{{/cloud.duties}}", "[]")
        .replace("{{#bootstrap}}true{{/bootstrap}}", "")
        .replace("{{^bootstrap}}false{{/bootstrap}}", "false")
        .replace("{{node}}", "vm-1")
        .replace("{{zone}}", "a")
        .replace("{{ip}}:{{internalPorts.0}}", "10.0.0.1:83")
        .replace("{{ip}}:{{internalPorts.1}}", "10.0.0.1:84")
    )
    for name in ("listen.front", "listen.ready", "listen.directory"):
        filled = filled.replace("{{%s}}" % name, "10.0.0.1:80")
    for name in ("platform.address", "cloud.address"):
        filled = filled.replace("{{%s}}" % name, "10.0.1.1:80")
    for name in (
        "limits.cpuShare",
        "limits.cores",
        "limits.linkMbps",
        "bounds.usageWindowS",
        "bounds.usageLateS",
        "bounds.leaseMs",
        "bounds.retryBudgetRatio",
        "bounds.budgetSlack",
        "bounds.graceS",
    ):
        filled = filled.replace("{{%s}}" % name, "1")
    for name in ("limits.memoryMb", "limits.fileDescriptors"):
        filled = filled.replace("{{%s}}" % name, "1638")
    assert "{{" not in filled
    assert parse_edge_settings(filled).node == "vm-1"
    assert not parse_edge_settings(filled).bootstrap
    assert parse_edge_settings(filled).cold == expected


# Guards against a bound that is no number, which would break the division of rates.
@pytest.mark.parametrize("value", ["-1", ".nan", ".inf", "1e9", "true", '"5"'])
@pytest.mark.parametrize("name", ["overage", "slack"])
def test_a_bound_of_cold_upstreams_out_of_range_is_named(name, value):
    with pytest.raises(SettingsError) as caught:
        parse_edge_settings(VALID + f"cold: {{{name}: {value}}}\n")
    assert f"cold.{name}" in "\n".join(caught.value.problems)
