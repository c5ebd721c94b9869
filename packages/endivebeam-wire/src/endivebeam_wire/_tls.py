"""TLS contexts that are loaded from files and reloaded while connections are open."""

import hashlib
import ssl
from pathlib import Path

import msgspec
from loguru import logger


class TlsFiles(msgspec.Struct, frozen=True, kw_only=True):
    """PEM files of one port: certificate chain, private key and authority.

    With an authority, the remote side must present a certificate issued by it.
    """

    certificate: Path
    key: Path
    authority: Path | None = None


class TlsContext:
    """An SSL context of one side, which ``reload`` updates from its files.

    A new certificate is loaded into the same ``context``, so that listeners that
    use the context present it on their next connection. A changed authority needs
    a new context, because an authority cannot be removed from a context: read
    ``context`` again for each connection when ``files`` has an authority. The client
    side does not check host names, so the authority must certify nodes only. Raises
    ``OSError``, which includes ``ssl.SSLError``, when the files cannot be used.
    """

    def __init__(self, *, files: TlsFiles, server_side: bool) -> None:
        self._files = files
        self._server_side = server_side
        self._digests = _read_digests(files)
        self.context = _build_context(files, server_side=server_side)

    def reload(self) -> bool:
        """Load the files if one changed; return whether they are in use.

        Files that cannot be used are logged as an error. The previous certificate
        stays in use, and the next call tries again.

        >>> while True:  # doctest: +SKIP
        ...     tls.reload()
        ...     await anyio.sleep(60)
        """
        try:
            digests = _read_digests(self._files)
            if digests == self._digests:
                return True
            # Loaded into a new context first, because a failed load could leave
            # the old one with a certificate that does not match its key.
            fresh = _build_context(self._files, server_side=self._server_side)
            if digests[2:] != self._digests[2:]:
                self.context = fresh
            else:
                _load_certificate(self.context, self._files)
        except OSError as error:
            logger.error(
                "node: {} cannot be reloaded; keeping the previous certificate: {}",
                self._files.certificate,
                error,
            )
            return False
        self._digests = digests
        logger.info("node: reloaded {}", self._files.certificate)
        return True


def check_tls_files(files: TlsFiles) -> str | None:
    """Return why the files cannot be used, or None when they can."""
    try:
        _build_context(files, server_side=True)
    except OSError as error:
        return str(error)
    return None


def _read_digests(files: TlsFiles) -> list[bytes]:
    # Compares contents and not modification times, because a file may be replaced
    # within the resolution of its time, or by a file with an older time.
    paths = [files.certificate, files.key]
    if files.authority is not None:
        paths.append(files.authority)
    return [hashlib.sha256(path.read_bytes()).digest() for path in paths]


def _build_context(files: TlsFiles, *, server_side: bool) -> ssl.SSLContext:
    protocol = ssl.PROTOCOL_TLS_SERVER if server_side else ssl.PROTOCOL_TLS_CLIENT
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False
    if files.authority is not None:
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(files.authority)
    _load_certificate(context, files)
    return context


def _load_certificate(context: ssl.SSLContext, files: TlsFiles) -> None:
    # Without a password argument OpenSSL would prompt for one on the terminal.
    context.load_cert_chain(files.certificate, files.key, password="")
