"""Runs the daemon with ``python -m endivebeam_node``."""

from ._main import main

main()
