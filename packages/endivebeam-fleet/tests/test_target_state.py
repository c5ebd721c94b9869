"""Tests of which announcements of a target are accepted."""

from endivebeam_fleet import Announcement, TargetPhase, TargetRecord
from endivebeam_model import Address, ServiceName


def make_announcement(
    instance: str = "i-1",
    born_ms: int = 1000,
    sequence: int = 1,
    phase: TargetPhase = TargetPhase.READY,
) -> Announcement:
    return Announcement(
        instance=instance,
        address=Address("10.0.0.1", 80),
        service=ServiceName("stock"),
        slots=8,
        phase=phase,
        born_ms=born_ms,
        sequence=sequence,
    )


class TestTargetRecord:
    def test_late_announcement_does_not_undo_a_drain(self):
        # An earlier announcement in phase READY may arrive seconds late.
        record = TargetRecord()
        record.announce(make_announcement(sequence=1))
        record.announce(make_announcement(sequence=3, phase=TargetPhase.DRAINING))
        assert not record.announce(make_announcement(sequence=2))
        assert not record.accepts_work

    def test_announcement_of_an_earlier_target_is_ignored(self):
        record = TargetRecord()
        record.announce(make_announcement(instance="i-2", born_ms=2000))
        assert not record.announce(make_announcement(sequence=9))
        assert record.current is not None
        assert record.current.instance == "i-2"

    def test_restarted_target_accepts_work_again(self):
        record = TargetRecord()
        record.announce(make_announcement(sequence=8, phase=TargetPhase.DRAINING))
        assert record.announce(make_announcement(born_ms=3000, sequence=1))
        assert record.accepts_work

    def test_draining_target_accepts_no_work_before_a_restart(self):
        record = TargetRecord()
        record.announce(make_announcement(sequence=2, phase=TargetPhase.DRAINING))
        assert not record.announce(make_announcement(sequence=3))
        assert not record.accepts_work

    def test_target_that_left_without_draining_accepts_no_work(self):
        record = TargetRecord()
        record.announce(make_announcement())
        assert record.process_leave("i-1")
        assert not record.accepts_work
        assert not record.announce(make_announcement(sequence=5))

    def test_leave_message_of_another_target_is_ignored(self):
        record = TargetRecord()
        record.announce(make_announcement())
        assert not record.process_leave("i-0")
        assert record.accepts_work

    def test_late_announcement_of_an_unknown_target_that_left_is_ignored(self):
        # The node restarted between the target's announcements and its leave message.
        record = TargetRecord()
        record.process_leave("i-1")
        assert not record.announce(make_announcement(sequence=7))
        assert record.announce(make_announcement(born_ms=5000, sequence=1))
