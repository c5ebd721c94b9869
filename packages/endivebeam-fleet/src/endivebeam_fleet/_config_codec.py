"""Encoding in which nodes transfer a configuration to each other.

Nodes of an earlier version send and expect no ``account_use``. They open all routes
for an empty set of accounts, so they are sent an account without keys in its place.
What they send without accounts may mean either and is not accepted.
"""

import zlib

import msgspec

from endivebeam_model import DECODE_ERRORS, AccountId, ConfigVersion

from ._config import AccountTerms, AccountUse, FleetConfig, RequestLimits, RouteRule

# Maximum uncompressed size of a configuration that a node accepts from another one.
MAX_CONFIG_BYTES = 16 << 20
# The fastest level already saves most of the bytes.
COMPRESSION_LEVEL = 1
# Stands for an empty set of accounts.
NO_ACCOUNT = AccountTerms(account=AccountId(""), key_digests=())

_encoder = msgspec.msgpack.Encoder()


class UnreadableConfigError(Exception):
    """Bytes received from another node are not a valid configuration."""


class _EncodedConfig(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration as it is transferred."""

    version: ConfigVersion
    routes: tuple[RouteRule, ...]
    account_use: AccountUse | None = None
    accounts: tuple[AccountTerms, ...]
    limits: RequestLimits


def encode_config(config: FleetConfig) -> bytes:
    """Return the compressed encoding in which nodes transfer a configuration."""
    accounts = config.accounts
    if config.account_use is AccountUse.REQUIRED:
        accounts = accounts or (NO_ACCOUNT,)
    encoded = _EncodedConfig(
        version=config.version,
        routes=config.routes,
        account_use=config.account_use,
        accounts=accounts,
        limits=config.limits,
    )
    return zlib.compress(_encoder.encode(encoded), COMPRESSION_LEVEL)


def decode_config(data: bytes) -> FleetConfig:
    """Return the configuration that another node encoded.

    Raises ``UnreadableConfigError`` for invalid, truncated or oversized data, and for
    a configuration that doesn't tell whether accounts are required.
    """
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, MAX_CONFIG_BYTES)
        if not decompressor.eof:
            raise UnreadableConfigError(
                "configuration is truncated or exceeds the size limit"
            )
        encoded = msgspec.msgpack.decode(plain, type=_EncodedConfig)
    except (zlib.error, *DECODE_ERRORS) as error:
        raise UnreadableConfigError(str(error)) from error
    return FleetConfig(
        version=encoded.version,
        routes=encoded.routes,
        account_use=_find_account_use(encoded),
        accounts=tuple(terms for terms in encoded.accounts if terms != NO_ACCOUNT),
        limits=encoded.limits,
    )


def _find_account_use(encoded: _EncodedConfig) -> AccountUse:
    use = encoded.account_use
    if use is None and not encoded.accounts:
        raise UnreadableConfigError("it isn't told whether accounts are required")
    if use is AccountUse.NOT_REQUIRED and encoded.accounts:
        raise UnreadableConfigError("accounts are listed but not required")
    return use or AccountUse.REQUIRED
