"""Tests of which responses of the platform's store a node accepts."""

import pytest

from endivebeam_model import UNKNOWN_ERA, StoreEra
from endivebeam_sidecar import StoreUnavailableError
from endivebeam_sidecar._metrics import SidecarMetrics
from endivebeam_sidecar._store_access import StoreAccessLog
from endivebeam_sidecar._store_eras import StoreEras


def make_log() -> StoreAccessLog:
    eras = StoreEras(on_restored=lambda: None)
    return StoreAccessLog(metrics=SidecarMetrics(), eras=eras)


class TestEras:
    def test_late_response_of_an_earlier_era_is_rejected(self):
        # Guards against rows and positions of a store that is gone, in a response on a
        # connection that was silent.
        access = make_log()
        for era in (1, 1, 2):
            access.record_response(StoreEra(era))
        with pytest.raises(StoreUnavailableError):
            access.record_response(StoreEra(1))
        access.record_response(StoreEra(2))

    def test_response_that_tells_none_is_rejected_once_one_is_known(self):
        access = make_log()
        access.record_response(UNKNOWN_ERA)
        access.record_response(StoreEra(1))
        with pytest.raises(StoreUnavailableError):
            access.record_response(UNKNOWN_ERA)


class TestKnownEra:
    def test_restore_is_noticed_once_by_whoever_tells_it_first(self):
        # Guards against a node that writes its row for the first era that it hears of,
        # or for each of the nodes that tell it a new one.
        noticed: list[int] = []
        eras = StoreEras(on_restored=lambda: noticed.append(eras.current))
        for era in (UNKNOWN_ERA, 3, 3, 4, 4, 3, 6):
            eras.record(StoreEra(era))
        assert noticed == [4, 6]
