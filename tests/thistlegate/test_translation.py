"""Tests of the parsers of the platform's settings, documents and announcements."""

from pathlib import Path

import msgspec
import pytest

from endivebeam_fleet import AccountUse, ConfigIndex, TargetPhase
from endivebeam_model import Semantics
from endivebeam_sidecar import Resources
from thistlegate import (
    AnnouncementFormatError,
    ConfigFormatError,
    SettingsError,
    read_announcement,
    read_config_document,
    read_settings,
    reload_resources,
)

SETTINGS = """\
localNode.nodeName=side-a-1
localNode.zone=zone-a
localNode.region=land
localNode.service=stock
localNode.appAddr=10.1.0.1:8500
localNode.new.field=ignored
network.listen.inbound=10.1.0.1:8501
network.listen.outbound=10.1.0.1:8502
network.listen.readiness=10.1.0.1:8503
network.listen.controlPlane=10.1.0.1:8504
network.portRange=7000,7015
platform.platform.address=10.2.0.1:8545
terms.bounds.revokeS=4
terms.bounds.graceS=7.5
"""

ANNOUNCEMENT = {
    "address": "10.1.0.1:8500",
    "born": 1700,
    "info": {"service": "stock", "version": "v1", "zone": "z", "slots": 8},
    "status": {"state": "ready", "seq": 4, "coldLeftS": 1.5},
}


Document = dict[str, object]


def encode(document: object) -> bytes:
    return msgspec.json.encode(document)


class TestSettings:
    def test_are_translated(self):
        settings = read_settings(SETTINGS)
        assert settings.sidecar.node_id == "side-a-1"
        assert settings.sidecar.callers.port == 8502
        assert settings.sidecar.metrics.port == 7001
        assert settings.sidecar.bounds.key_withdrawal_s == 4
        assert settings.sidecar.bounds.stop_s == 7.5
        assert settings.store.port == 8545

    def test_bound_of_changes_is_read(self):
        # Guards against a bound that a constant stands in for.
        text = SETTINGS + "terms.bounds.configPropagationS=15\n"
        assert read_settings(text).sidecar.bounds.propagation_s == 15

    def test_bound_of_zero_is_not_in_force(self):
        # Guards against a node that doesn't start, or watches without a pause.
        text = SETTINGS.replace("revokeS=4", "revokeS=0")
        text += "terms.bounds.configPropagationS=0\n"
        bounds = read_settings(text).sidecar.bounds
        assert bounds.propagation_s > 0
        assert bounds.key_withdrawal_s > 0

    @pytest.mark.parametrize("value", ["-1", "nan", "inf"])
    def test_bound_that_is_no_duration_is_an_error(self, value: str):
        text = SETTINGS + f"terms.bounds.configPropagationS={value}\n"
        with pytest.raises(SettingsError):
            read_settings(text)

    def test_all_errors_are_reported_together(self):
        text = SETTINGS.replace("localNode.zone=zone-a\n", "").replace("=7.5", "=x")
        text = text.replace("8501", "port")
        with pytest.raises(SettingsError) as error:
            read_settings(text)
        for name in ("localNode.zone", "graceS", "network.listen.inbound"):
            assert name in str(error.value)


class TestConfiguration:
    def test_is_translated(self, document: Document):
        config = read_config_document(encode(document))
        index = ConfigIndex(config)
        assert config.version == 12
        assert config.limits.max_body_bytes == 4096
        route = index.find_route("shop.example", "/a/x")
        assert route is not None
        assert route.semantics is Semantics.AT_MOST_ONCE
        assert [d.weight for d in route.destinations] == [90, 10]
        assert route.timeout_s == 1.5
        account = index.find_account("k1")
        assert account is not None
        assert (account.rate_per_s, account.burst, account.rank) == (7, 9, 1)

    def test_route_whose_services_all_have_weight_0_leads_nowhere(
        self, document: Document
    ):
        """Guards against a route that falls back to a service it doesn't name."""
        hosts = msgspec.json.decode(encode(document["virtualHosts"]))
        path = hosts[0]["paths"][0]
        path["service"] = "stock"
        for weighted in path["weightedServices"]:
            weighted["weight"] = 0
        config = read_config_document(encode({**document, "virtualHosts": hosts}))
        assert config.routes[0].destinations == ()

    def test_keys_are_stored_only_as_digests(self, document: Document):
        config = read_config_document(encode(document))
        assert "k1" not in repr(config.accounts[0].key_digests)

    @pytest.mark.parametrize(
        ("change", "account_use", "count"),
        [
            ({}, AccountUse.REQUIRED, 1),
            ({"tenants": []}, AccountUse.REQUIRED, 0),
            ({"tenants": msgspec.UNSET}, AccountUse.NOT_REQUIRED, 0),
        ],
        ids=["accounts", "empty set", "no set"],
    )
    def test_accounts_are_required_unless_the_document_has_no_set_of_them(
        self, document: Document, change: Document, account_use: AccountUse, count: int
    ):
        """Guards against an empty set of accounts that is read as none required."""
        fields = {**document, **change}
        present = {k: v for k, v in fields.items() if v is not msgspec.UNSET}
        config = read_config_document(encode(present))
        assert (config.account_use, len(config.accounts)) == (account_use, count)

    @pytest.mark.parametrize("body", [b"{", b"\xff\x00", b'{"virtualHosts": []}'])
    def test_malformed_documents_raise(self, body: bytes):
        with pytest.raises(ConfigFormatError):
            read_config_document(body)

    @pytest.mark.parametrize(
        "change", [{"version": "xyz"}, {"virtualHosts": 3}, {"tenants": None}]
    )
    def test_values_of_other_types_raise(self, document: Document, change: Document):
        with pytest.raises(ConfigFormatError):
            read_config_document(encode({**document, **change}))


class TestAnnouncements:
    def test_are_translated(self):
        announcement = read_announcement("i-1", encode(ANNOUNCEMENT))
        assert announcement.phase is TargetPhase.READY
        assert (announcement.slots, announcement.sequence, announcement.born_ms) == (
            8,
            4,
            1700,
        )
        assert announcement.cold_left_s == 1.5

    @pytest.mark.parametrize(
        "body",
        [
            b"\xff",
            b"[]",
            encode({**ANNOUNCEMENT, "status": {"state": "sleeping", "seq": 1}}),
            encode({**ANNOUNCEMENT, "address": "nowhere"}),
            encode({**ANNOUNCEMENT, "info": {"service": "stock", "slots": "many"}}),
            encode({"address": "10.1.0.1:1"}),
        ],
    )
    def test_malformed_announcements_raise(self, body: bytes):
        with pytest.raises(AnnouncementFormatError):
            read_announcement("i-1", body)


class TestResources:
    @staticmethod
    def read(name: str, value: str) -> Resources:
        text = f"{SETTINGS}localNode.limits.{name}={value}\n"
        return read_settings(text).sidecar.resources

    def test_are_those_of_the_settings(self):
        assert self.read("memoryMb", "200").memory_bytes == 200_000_000
        assert self.read("maxFds", "600").descriptors == 600

    @pytest.mark.parametrize("value", ["", "0"])
    def test_that_are_not_known_are_those_of_a_usual_machine(self, value: str):
        assert self.read("memoryMb", value) == Resources()

    @pytest.mark.parametrize("value", ["-1", "nan", "inf", "much"])
    def test_that_are_no_sizes_are_an_error(self, value: str):
        with pytest.raises(SettingsError, match="memoryMb"):
            self.read("memoryMb", value)


class TestReload:
    def test_applies_the_resources_of_the_changed_file(self, tmp_path: Path):
        path = tmp_path / "settings.conf"
        path.write_text(f"{SETTINGS}localNode.limits.memoryMb=64\n")
        applied: list[Resources] = []
        reload_resources(path, applied.append)
        assert [r.memory_bytes for r in applied] == [64_000_000]

    @pytest.mark.parametrize("content", [b"", b"nonsense", b"\xff\xfe", None])
    def test_changes_nothing_if_the_file_is_not_usable(
        self, tmp_path: Path, content: bytes | None
    ):
        """Guards against a changed file that ends the process."""
        path = tmp_path / "settings.conf"
        if content is not None:
            path.write_bytes(content)
        applied: list[Resources] = []
        reload_resources(path, applied.append)
        assert applied == []
