"""Tests of TLS contexts and their reload, over memory buffers."""

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
    """Write a new certificate of an authority to the files."""
    leaf = authority.issue_cert("127.0.0.1")
    files.certificate.write_bytes(b"".join(p.bytes() for p in leaf.cert_chain_pems))
    files.key.write_bytes(leaf.private_key_pem.bytes())


def make_files(directory: Path, name: str, authority: trustme.CA) -> TlsFiles:
    """Write a node's files."""
    files = TlsFiles(
        certificate=directory / f"{name}.pem",
        key=directory / f"{name}.key",
        authority=directory / f"{name}-authority.pem",
    )
    assert files.authority is not None
    authority.cert_pem.write_to_path(files.authority)
    issue(authority, files)
    return files


class Link:
    """A TLS connection between two contexts in memory."""

    def __init__(self, server: ssl.SSLContext, client: ssl.SSLContext) -> None:
        up, down = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.client = client.wrap_bio(down, up)
        self.server = server.wrap_bio(up, down, server_side=True)
        waiting = [self.client, self.server]
        while waiting:
            for end in list(waiting):
                try:
                    end.do_handshake()
                    waiting.remove(end)
                except ssl.SSLWantReadError:
                    pass

    def send(self, data: bytes) -> bytes:
        """Send bytes to the server and return what it read."""
        self.client.write(data)
        return self.server.read(len(data))


class TestReload:
    def test_the_next_connection_gets_the_new_certificate(self, tmp_path: Path):
        """Guards against a restart, or lost streams, for each new certificate."""
        authority = trustme.CA()
        files = make_files(tmp_path, "node", authority)
        server = TlsContext(files=files, server_side=True)
        client = TlsContext(files=files, server_side=False)
        held = server.context
        old = Link(held, client.context)
        issue(authority, files)
        assert server.reload()
        new = Link(held, client.context)
        assert new.client.getpeercert(True) != old.client.getpeercert(True)
        assert old.send(b"still open") == b"still open"

    @pytest.mark.parametrize("broken", ["no file", "garbage", "other key", "half"])
    def test_broken_files_keep_the_old_certificate(self, tmp_path: Path, broken: str):
        """Guards against a port that stops serving after a wrong deployment."""
        authority = trustme.CA()
        files = make_files(tmp_path, "node", authority)
        server = TlsContext(files=files, server_side=True)
        client = TlsContext(files=files, server_side=False)
        before = Link(server.context, client.context).client.getpeercert(True)
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
        after = Link(server.context, client.context).client.getpeercert(True)
        assert after == before
        issue(authority, files)
        assert server.reload()

    def test_a_removed_authority_is_forgotten(self, tmp_path: Path):
        """Guards against certificates of a replaced authority being accepted."""
        old, new = trustme.CA(), trustme.CA()
        files = make_files(tmp_path, "node", old)
        stale = make_files(tmp_path, "stale", old)
        server = TlsContext(files=files, server_side=True)
        client = TlsContext(files=stale, server_side=False)
        assert Link(server.context, client.context).send(b"x") == b"x"
        make_files(tmp_path, "node", new)
        assert server.reload()
        # A new client accepts the server, so that only the server can refuse.
        assert stale.authority is not None
        new.cert_pem.write_to_path(stale.authority)
        client = TlsContext(files=stale, server_side=False)
        with pytest.raises(ssl.SSLCertVerificationError):
            Link(server.context, client.context).send(b"x")

    @given(
        st.lists(st.sampled_from(["renew", "break certificate", "break key", "reload"]))
    )
    def test_the_last_usable_files_that_were_loaded_are_in_force(
        self, steps: list[str]
    ):
        """Guards against an order of changes and reloads that mixes two files."""
        with TemporaryDirectory() as directory:
            files = make_files(Path(directory), "node", AUTHORITY)
            server = TlsContext(files=files, server_side=True)
            client = TlsContext(files=files, server_side=False)
            # The naive version: what a new context would read now.
            on_disk, whole = files.certificate.read_bytes(), True
            in_force = on_disk
            for step in steps:
                if step == "renew":
                    issue(AUTHORITY, files)
                    on_disk, whole = files.certificate.read_bytes(), True
                elif step == "break certificate":
                    files.certificate.write_bytes(files.certificate.read_bytes()[:200])
                    whole = False
                elif step == "break key":
                    files.key.write_bytes(OTHER_KEY)
                    whole = False
                else:
                    assert server.reload() is whole
                    in_force = on_disk if whole else in_force
                shown = Link(server.context, client.context).client.getpeercert(True)
                assert shown is not None
                assert ssl.DER_cert_to_PEM_cert(shown) == in_force.decode()


class TestVersions:
    def test_old_protocol_versions_are_refused(self, tmp_path: Path):
        """Guards against connections over TLS 1.1 and older."""
        files = make_files(tmp_path, "node", trustme.CA())
        for server_side in (True, False):
            tls = TlsContext(files=files, server_side=server_side)
            assert tls.context.minimum_version is ssl.TLSVersion.TLSv1_2
            assert tls.context.verify_mode is ssl.CERT_REQUIRED
