"""Tests of TLS contexts and their reload over in-memory connections."""

import ssl
from pathlib import Path
from tempfile import TemporaryDirectory

import pytest
import trustme
from hypothesis import given
from hypothesis import strategies as st
from loguru import logger

from endivebeam_wire import TlsContext, TlsFiles

AUTHORITY = trustme.CA()
OTHER_KEY = AUTHORITY.issue_cert("127.0.0.1").private_key_pem.bytes()


def issue(authority: trustme.CA, files: TlsFiles) -> None:
    """Issue a certificate by an authority and write it to the files."""
    leaf = authority.issue_cert("127.0.0.1")
    files.certificate.write_bytes(b"".join(p.bytes() for p in leaf.cert_chain_pems))
    files.key.write_bytes(leaf.private_key_pem.bytes())


def make_files(directory: Path, name: str, authority: trustme.CA) -> TlsFiles:
    """Write certificate, key and authority files of a node."""
    files = TlsFiles(
        certificate=directory / f"{name}.pem",
        key=directory / f"{name}.key",
        authority=directory / f"{name}-authority.pem",
    )
    assert files.authority is not None
    authority.cert_pem.write_to_path(files.authority)
    issue(authority, files)
    return files


class Connection:
    """An in-memory TLS connection between two contexts."""

    def __init__(self, server: ssl.SSLContext, client: ssl.SSLContext) -> None:
        client_to_server, server_to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.client = client.wrap_bio(server_to_client, client_to_server)
        self.server = server.wrap_bio(
            client_to_server, server_to_client, server_side=True
        )
        waiting = [self.client, self.server]
        while waiting:
            for side in list(waiting):
                try:
                    side.do_handshake()
                    waiting.remove(side)
                except ssl.SSLWantReadError:
                    pass

    def send(self, data: bytes) -> bytes:
        """Send bytes to the server and return what it read."""
        self.client.write(data)
        return self.server.read(len(data))


class TestReload:
    def test_next_connection_uses_the_new_certificate(self, tmp_path: Path):
        """Guards against a restart or lost streams for each new certificate."""
        authority = trustme.CA()
        files = make_files(tmp_path, "node", authority)
        server = TlsContext(files=files, server_side=True)
        client = TlsContext(files=files, server_side=False)
        shared_context = server.context
        old = Connection(shared_context, client.context)
        issue(authority, files)
        assert server.reload()
        new = Connection(shared_context, client.context)
        assert new.client.getpeercert(True) != old.client.getpeercert(True)
        assert old.send(b"still open") == b"still open"

    @pytest.mark.parametrize("broken", ["no file", "garbage", "other key", "half"])
    def test_unusable_files_leave_the_old_certificate_in_use(
        self, tmp_path: Path, broken: str
    ):
        """Guards against a port that stops serving after a faulty deployment."""
        authority = trustme.CA()
        files = make_files(tmp_path, "node", authority)
        server = TlsContext(files=files, server_side=True)
        client = TlsContext(files=files, server_side=False)
        before = Connection(server.context, client.context).client.getpeercert(True)
        if broken == "no file":
            files.certificate.unlink()
        elif broken == "garbage":
            files.certificate.write_text("no certificate")
        elif broken == "half":
            files.key.write_bytes(files.key.read_bytes()[:100])
        else:
            other = make_files(tmp_path, "other", authority)
            files.certificate.write_bytes(other.certificate.read_bytes())
        lines: list[str] = []
        sink = logger.add(lambda line: lines.append(str(line)), level="ERROR")
        assert not server.reload()
        logger.remove(sink)
        assert len(lines) == 1
        assert "cannot be reloaded" in lines[0]
        after = Connection(server.context, client.context).client.getpeercert(True)
        assert after == before
        issue(authority, files)
        assert server.reload()

    def test_replaced_authority_is_no_longer_trusted(self, tmp_path: Path):
        """Guards against accepting certificates of a replaced authority."""
        old, new = trustme.CA(), trustme.CA()
        files = make_files(tmp_path, "node", old)
        stale_files = make_files(tmp_path, "stale", old)
        server = TlsContext(files=files, server_side=True)
        client = TlsContext(files=stale_files, server_side=False)
        assert Connection(server.context, client.context).send(b"x") == b"x"
        make_files(tmp_path, "node", new)
        assert server.reload()
        # The new client trusts the server, so that only the server can reject.
        assert stale_files.authority is not None
        new.cert_pem.write_to_path(stale_files.authority)
        client = TlsContext(files=stale_files, server_side=False)
        with pytest.raises(ssl.SSLCertVerificationError):
            Connection(server.context, client.context).send(b"x")

    @given(
        st.lists(st.sampled_from(["renew", "break certificate", "break key", "reload"]))
    )
    def test_last_usable_files_that_were_loaded_are_in_use(self, steps: list[str]):
        """Guards against a mix of old and new files after some order of changes."""
        with TemporaryDirectory() as directory:
            files = make_files(Path(directory), "node", AUTHORITY)
            server = TlsContext(files=files, server_side=True)
            client = TlsContext(files=files, server_side=False)
            # The reference: the files that a new context would load now.
            on_disk, usable = files.certificate.read_bytes(), True
            in_force = on_disk
            for step in steps:
                if step == "renew":
                    issue(AUTHORITY, files)
                    on_disk, usable = files.certificate.read_bytes(), True
                elif step == "break certificate":
                    files.certificate.write_bytes(files.certificate.read_bytes()[:200])
                    usable = False
                elif step == "break key":
                    files.key.write_bytes(OTHER_KEY)
                    usable = False
                else:
                    assert server.reload() is usable
                    in_force = on_disk if usable else in_force
                presented = Connection(
                    server.context, client.context
                ).client.getpeercert(True)
                assert presented is not None
                assert ssl.DER_cert_to_PEM_cert(presented) == in_force.decode()


class TestVersions:
    def test_old_protocol_versions_are_rejected(self, tmp_path: Path):
        """Guards against connections with TLS 1.1 or older."""
        files = make_files(tmp_path, "node", trustme.CA())
        for server_side in (True, False):
            tls = TlsContext(files=files, server_side=server_side)
            assert tls.context.minimum_version is ssl.TLSVersion.TLSv1_2
            assert tls.context.verify_mode is ssl.CERT_REQUIRED
