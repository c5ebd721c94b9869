"""What a node that starts waits for before it takes the store's word."""

from endivebeam_model import NodeId
from endivebeam_sidecar._others_heard import ALL_STARTED_REPLIES, OthersHeard


def record_uninformed(heard: OthersHeard, *, count: int) -> None:
    """Record the replies of nodes that have just started as well."""
    for number in range(count):
        heard.record_reply(NodeId(f"node-{number}"), is_informed=False)


class TestOthersHeard:
    def test_is_complete_after_the_reply_of_an_informed_node(self):
        heard = OthersHeard()
        heard.record_reply(NodeId("node-0"), is_informed=True)
        assert heard.is_complete

    def test_is_complete_without_another_node(self):
        heard = OthersHeard()
        heard.record_others(0)
        assert heard.is_complete

    def test_waits_after_replies_of_uninformed_nodes(self):
        """Guards against nodes that start together and take each other's word."""
        heard = OthersHeard()
        heard.record_others(40)
        record_uninformed(heard, count=ALL_STARTED_REPLIES - 1)
        assert not heard.is_complete

    def test_waits_until_the_number_of_others_is_known(self):
        """Guards against a node that takes the first one that it hears for all."""
        heard = OthersHeard()
        record_uninformed(heard, count=1)
        assert not heard.is_complete
        heard.record_others(2)
        assert not heard.is_complete

    def test_counts_an_uninformed_node_once(self):
        heard = OthersHeard()
        heard.record_others(40)
        for _ in range(ALL_STARTED_REPLIES):
            record_uninformed(heard, count=1)
        assert not heard.is_complete

    def test_is_complete_once_all_nodes_seem_to_have_started(self):
        """Guards against waits in vain after all machines were off."""
        heard = OthersHeard()
        heard.record_others(40)
        record_uninformed(heard, count=ALL_STARTED_REPLIES)
        assert heard.is_complete

    def test_is_complete_once_no_other_node_is_informed(self):
        heard = OthersHeard()
        heard.record_others(3)
        record_uninformed(heard, count=3)
        assert heard.is_complete
