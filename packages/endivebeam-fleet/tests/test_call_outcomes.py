"""Tests of the outcomes that nodes keep for callers' nodes that lost a reply."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from endivebeam_fleet import CallOutcomes, CallState, SendId

IDS = st.integers(1, 6).map(SendId)
# Longer than any retention.
LONG_S = 1000.0


class OutcomeRules(RuleBasedStateMachine):
    """Any order of arrivals, ends, questions and pauses against a naive history.

    A call that was declared as not arrived never runs, and one that arrived is never
    declared as such.
    """

    @initialize()
    def start(self) -> None:
        self.outcomes: CallOutcomes[str] = CallOutcomes()
        self.now = 0.0
        self.sent_at: dict[SendId, float] = {}
        self.running: set[SendId] = set()
        self.arrived: set[SendId] = set()
        self.disowned: set[SendId] = set()

    @rule(send_id=IDS)
    def send(self, send_id: SendId) -> None:
        self.sent_at.setdefault(send_id, self.now)

    @rule(send_id=IDS)
    def arrive(self, send_id: SendId) -> None:
        if send_id not in self.sent_at or send_id in self.arrived:
            return
        admitted = self.outcomes.begin(send_id)
        assert admitted == (send_id not in self.disowned)
        if admitted:
            self.arrived.add(send_id)
            self.running.add(send_id)

    @rule(send_id=IDS, size=st.integers(0, 3 << 20))
    def end(self, send_id: SendId, size: int) -> None:
        if send_id in self.running:
            self.running.remove(send_id)
            reply = f"reply {send_id}"
            self.outcomes.end(send_id, reply, reply_bytes=size, now=self.now)

    @rule(send_id=IDS)
    def ask(self, send_id: SendId) -> None:
        if send_id not in self.sent_at:
            return
        age_s = self.now - self.sent_at[send_id]
        outcome = self.outcomes.find(send_id, sent_age_s=age_s, now=self.now)
        match outcome.state:
            case CallState.RUNNING:
                assert send_id in self.running
            case CallState.ENDED:
                assert send_id in self.arrived
                assert outcome.reply == f"reply {send_id}"
            case CallState.NOT_ARRIVED:
                assert send_id not in self.arrived
                self.disowned.add(send_id)
            case CallState.UNKNOWN:
                assert send_id not in self.running

    @rule(seconds=st.sampled_from([0.1, 6.0, 26.0, LONG_S]))
    def wait(self, seconds: float) -> None:
        self.now += seconds


TestOutcomeRules = OutcomeRules.TestCase


class TestCallOutcomes:
    def test_reply_is_found_after_the_end(self):
        outcomes: CallOutcomes[str] = CallOutcomes()
        assert outcomes.begin(SendId(1))
        outcomes.end(SendId(1), "reply", reply_bytes=5, now=1.0)
        found = outcomes.find(SendId(1), sent_age_s=2.0, now=2.0)
        assert (found.state, found.reply) == (CallState.ENDED, "reply")

    def test_same_send_is_admitted_once(self):
        outcomes: CallOutcomes[str] = CallOutcomes()
        assert outcomes.begin(SendId(1))
        assert not outcomes.begin(SendId(1))

    def test_disowned_call_is_not_admitted_after_any_pause(self):
        outcomes: CallOutcomes[str] = CallOutcomes()
        found = outcomes.find(SendId(1), sent_age_s=1.0, now=1.0)
        assert found.state is CallState.NOT_ARRIVED
        outcomes.find(SendId(2), sent_age_s=0.0, now=LONG_S)
        assert not outcomes.begin(SendId(1))

    def test_bytes_of_replies_are_limited(self):
        outcomes: CallOutcomes[str] = CallOutcomes()
        for number in range(1, 11):
            outcomes.begin(SendId(number))
            outcomes.end(SendId(number), "r", reply_bytes=1 << 20, now=0.0)
        states = [
            outcomes.find(SendId(number), sent_age_s=0.0, now=0.0).state
            for number in range(1, 11)
        ]
        assert states == [CallState.UNKNOWN] * 6 + [CallState.ENDED] * 4
