"""How the kernel finds out that the peer of a connection is gone."""

import socket
from enum import Enum

# Time without acknowledgement, or with a closed window, after which the kernel aborts a
# connection, so that writes to a machine that lost power do not hang.
TCP_USER_TIMEOUT_MS = 5000
# An idle peer that answers none of the probes counts as gone after the same time.
PROBE_IDLE_S = 3
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2


class LossDetection(Enum):
    """What counts as the loss of a peer.

    ``UNTAKEN_DATA``: it takes no sent data for some seconds. A living peer that reads
    nothing for as long is lost too, so this is for peers that always read, like nodes.
    ``UNANSWERED_PROBES``: it answers no keep-alive probe. A peer that reads slowly
    stays connected, so the owner of the connection bounds what is held for it. The
    kernel sends no probes while data is unacknowledged, so the owner bounds that time
    too.
    """

    UNTAKEN_DATA = "untaken_data"
    UNANSWERED_PROBES = "unanswered_probes"


def set_loss_detection(raw: socket.socket, detection: LossDetection) -> None:
    """Set the options of a socket; they may be changed at any time."""
    probes = detection is LossDetection.UNANSWERED_PROBES
    timeout_ms = 0 if probes else TCP_USER_TIMEOUT_MS
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, int(probes))
    if probes:
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
