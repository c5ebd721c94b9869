"""Runs the tool with ``python -m endivebeam_cli``."""

from ._main import main

main()
