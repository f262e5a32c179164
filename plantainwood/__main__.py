"""Run the daemon as `python -m plantainwood`."""

from plantainwood.daemon import run

run()
