"""Settings of a node."""

from pathlib import Path
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field


class SeedAddress(BaseModel):
    """Peer address of a node through which this node may join the fleet."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: str
    port: int = Field(ge=1, le=65535)


class Operator(BaseModel):
    """An operator and the digest of the token that authenticates them.

    An operator with the role ``read`` has read-only access.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str
    token_sha256: str = Field(
        pattern="^[0-9a-f]{64}$",
        description="use the token's SHA-256 digest in 64 lower-case hex digits",
    )
    role: Literal["admin", "read"] = "admin"


class PortTlsSettings(BaseModel):
    """PEM files of a port that uses TLS: certificate chain and private key."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    certificate: Path
    key: Path


class PeerTlsSettings(PortTlsSettings):
    """PEM files of the peer port, including the fleet's certificate authority."""

    authority: Path


class TlsSettings(BaseModel):
    """PEM files by port; a port without files uses plain TCP."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    peer: PeerTlsSettings | None = None
    caller: PortTlsSettings | None = None
    admin: PortTlsSettings | None = None


class Settings(BaseModel):
    """Settings of one node.

    For a port of 0 the kernel chooses a free port, which is logged and, if
    ``ports_file`` is set, written to that file as JSON.

    ``domains`` lists all failure domains of the fleet, by default only the
    node's own. It and ``share_groups`` must be equal on all nodes, because they
    determine how rates are split. ``share_ttl_s`` is the duration of a share
    lease.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    node_id: str = Field(min_length=1, max_length=128)
    region: str = Field(min_length=1, max_length=64)
    domain: str = Field(min_length=1, max_length=64)
    host: str = "127.0.0.1"
    caller_port: int = Field(default=0, ge=0, le=65535)
    local_port: int = Field(default=0, ge=0, le=65535)
    peer_port: int = Field(default=0, ge=0, le=65535)
    admin_port: int = Field(default=0, ge=0, le=65535)
    platform_url: str = Field(
        pattern="^https?://[^/]",
        description="use the platform's base URL, as http://10.0.0.1:7000",
    )
    seeds: list[SeedAddress] = []
    operators: list[Operator] = []
    tls: TlsSettings = TlsSettings()
    ports_file: Path | None = None
    log_level: Literal["TRACE", "DEBUG", "INFO", "WARNING", "ERROR"] = Field(
        default="INFO", description="use TRACE, DEBUG, INFO, WARNING or ERROR"
    )
    log_format: Literal["text", "json"] = Field(
        default="text", description="use text or json"
    )
    domains: list[str] = []
    share_groups: int = Field(default=8, ge=1, le=4096)
    share_ttl_s: float = Field(default=20.0, ge=1, le=86400)
    drain_timeout_s: float = Field(default=30.0, gt=0, le=600)
