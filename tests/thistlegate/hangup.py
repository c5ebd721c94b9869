"""Runs a program and sends SIGHUP to the process at each module that it imports.

The first argument is the path of the program. Modules that are imported before its
first line don't count.
"""

import os
import signal
import sys


def hang_up(event: str, arguments: tuple[object, ...]) -> None:
    """Send SIGHUP to this process if an audit event tells of an import."""
    if event == "import" and arguments[0] != "signal":
        os.kill(os.getpid(), signal.SIGHUP)


path = sys.argv[1]
with open(path) as file:
    program = compile(file.read(), path, "exec")
sys.path[0] = os.path.dirname(path)
sys.addaudithook(hang_up)
exec(program, {"__name__": "__main__", "__file__": path})
