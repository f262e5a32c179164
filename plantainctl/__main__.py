"""Run the tool as `python -m plantainctl`."""

from plantainctl.main import run

run()
