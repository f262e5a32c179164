"""Settings and catalogues: all problems are reported by line, no secret is printed."""

import subprocess
import sys

import pytest
import yaml

from plantainwood.catalogue_texts import CatalogueTextError, parse_catalogue
from plantainwood.settings import SettingsError, load_settings, parse_settings
from standins.fleet import ROOT

VALID_SETTINGS = """
node: vm-1
domain: ba-norte
callers: {host: 127.0.0.1, port: 8000}
admin: {host: 127.0.0.1, port: 8001, key: "env:ADMIN_KEY"}
links: {host: 127.0.0.1, port: 8002, secret: "0123456789abcdef"}
store: {endpoints: ["http://127.0.0.1:2379"]}
"""
ENVIRONMENT = {"ADMIN_KEY": "a key from the environment"}


def test_secrets_come_from_the_environment_and_are_never_printed():
    settings = parse_settings(VALID_SETTINGS, ENVIRONMENT)
    assert settings.admin.key == ENVIRONMENT["ADMIN_KEY"]
    assert ENVIRONMENT["ADMIN_KEY"] not in repr(settings)
    assert "0123456789abcdef" not in repr(settings)


def test_every_problem_is_named_at_once(snapshot):
    text = VALID_SETTINGS.replace("port: 8000", "port: 70000, colour: red")
    text = text.replace("node: vm-1", "node: 7")
    text = text.replace("store:", "stores:")
    with pytest.raises(SettingsError) as error:
        parse_settings(text, ENVIRONMENT)
    assert "\n".join(error.value.problems) == snapshot


@pytest.mark.parametrize("secret", ["env:MISSING", "short"])
def test_bad_secrets_are_refused(secret):
    with pytest.raises(SettingsError):
        parse_settings(VALID_SETTINGS.replace("env:ADMIN_KEY", secret), ENVIRONMENT)


def run_daemon(path, *flags: str) -> subprocess.CompletedProcess:
    """Run the daemon's command on a settings file."""
    command = [sys.executable, "-m", "plantainwood", "--settings", str(path), *flags]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True)


def test_exit_codes_of_check_settings(tmp_path):
    path = tmp_path / "vm.yaml"
    path.write_text(VALID_SETTINGS.replace("env:ADMIN_KEY", "a key of some length"))
    assert run_daemon(path, "--check_settings").returncode == 0
    path.write_text(VALID_SETTINGS.replace("port: 8000", "port: no"))
    result = run_daemon(path, "--check_settings")
    assert result.returncode == 2
    assert "callers.port" in result.stderr


def test_the_examples_are_valid():
    settings = load_settings(str(ROOT / "examples/vm-1.yaml"))
    assert settings.node == "vm-1"
    text = (ROOT / "examples/catalogue.yaml").read_text()
    assert parse_catalogue(text).sections["classes"]


CATALOGUE_PROBLEMS = {
    "unknown section": {"colours": {"red": {}}},
    "unknown name": {"models": {"m": {"owner": "p", "colour": "red"}}},
    "wrong type": {"models": {"m": {"owner": "p", "max_tokens": "many"}}},
    "unknown class": {"customers": {"c": {"owner": "p", "classes": ["x"]}}},
    "no weight": {"customers": {"c": {"owner": "p", "classes": [], "weight": 0}}},
    "share": {"classes": {"c": {"owner": "p", "tier": 1, "min_share": 0.9}}},
}


@pytest.mark.parametrize("name", CATALOGUE_PROBLEMS)
def test_bad_catalogues_are_refused_with_their_line(name, snapshot):
    text = "# a comment\n" + yaml.safe_dump(CATALOGUE_PROBLEMS[name])
    with pytest.raises(CatalogueTextError) as error:
        parse_catalogue(text)
    assert "\n".join(error.value.problems) == snapshot


def test_a_duplicate_name_is_refused_with_its_line():
    with pytest.raises(CatalogueTextError, match="line 3"):
        parse_catalogue("models:\n  m: {owner: p}\n  m: {owner: q}\n")
