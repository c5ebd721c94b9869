"""The capacity page agrees with the recorded results of the benchmark."""

from benchmarks.capacity import PAGE, render


class TestCapacityPage:
    def test_tables_are_computed_from_the_slopes(self):
        """Guards against figures on the page that differ from the measurements."""
        page = PAGE.read_text()
        assert "| sum with a share |" in page
        assert render(page) == page
