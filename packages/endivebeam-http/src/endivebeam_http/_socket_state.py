"""What the kernel knows of a connection, whichever call asked before."""

import array
import fcntl
import os
import socket
import termios

# ``tcpi_state`` is the first byte of ``TCP_INFO``.
STATE_BYTES = 1
# State of a connection that was reset. After a regular end of the peer only, a
# connection that was not closed on this side is in another state.
CLOSED_STATE = 7


def read_end_error(raw: socket.socket) -> Exception | None:
    """Return the error of an ended connection, or None after a regular end.

    The kernel reports an error to one call only. A read after it reports a regular
    end, so the state of the connection is looked at too.
    """
    try:
        os.read(raw.fileno(), 1)
    except BlockingIOError:
        return None
    except OSError as error:
        return error
    if _read_state(raw) == CLOSED_STATE:
        return ConnectionResetError("the connection was reset")
    return None


def count_unacknowledged_bytes(raw: socket.socket) -> int:
    """Return how many sent bytes the peer's kernel has not confirmed; 0 if unknown."""
    size = array.array("i", [0])
    try:
        fcntl.ioctl(raw.fileno(), termios.TIOCOUTQ, size)
    except (OSError, ValueError):
        # The socket is closed on this side.
        return 0
    return size[0]


def _read_state(raw: socket.socket) -> int | None:
    try:
        return raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, STATE_BYTES)[0]
    except OSError:
        return None
