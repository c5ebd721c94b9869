"""Messages that send request counts to the node that writes them for its domain."""

from collections.abc import Sequence
from typing import Annotated

import msgspec

from endivebeam_model import AccountCounts

from ._base import PeerMessage, ShortText

MAX_COUNTS = 2048


class WriteCountsRequest(PeerMessage, frozen=True, kw_only=True, tag=50):
    """Sends the counts of one minute to the writer of the sender's failure domain."""

    request_id: int
    sender: ShortText
    minute: int
    counts: Annotated[Sequence[AccountCounts], msgspec.Meta(max_length=MAX_COUNTS)]


class WriteCountsReply(PeerMessage, frozen=True, kw_only=True, tag=51):
    """Reports whether the counts are in the object store."""

    request_id: int
    stored: bool
