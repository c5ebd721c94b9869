"""Settings of the daemon."""

from pathlib import Path
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field


class SeedAddress(BaseModel):
    """Peer address of a node that may be asked for the fleet's members."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: str
    port: int = Field(ge=1, le=65535)


class Operator(BaseModel):
    """An operator and the digest of the token that authenticates them.

    An operator with the role ``read`` may look at everything and change
    nothing.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str
    token_sha256: str = Field(
        pattern="^[0-9a-f]{64}$",
        description="use the token's SHA-256 digest in 64 lower-case hex digits",
    )
    role: Literal["admin", "read"] = "admin"


class PortFiles(BaseModel):
    """PEM files of a port that speaks TLS: certificate chain and key."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    certificate: Path
    key: Path


class PeerFiles(PortFiles):
    """PEM files of the peer port, with the fleet's certificate authority."""

    authority: Path


class TlsSettings(BaseModel):
    """Ports that speak TLS; the others speak plain TCP."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    peer: PeerFiles | None = None
    caller: PortFiles | None = None
    admin: PortFiles | None = None


class Settings(BaseModel):
    """Settings of one node.

    A port of 0 lets the kernel choose; the chosen port is logged and, with
    ``ports_file``, written to a file as JSON.

    ``domains`` lists all failure domains of the fleet, by default only the own
    one. It and ``share_groups`` must be equal on all nodes: they determine how
    rates are split. ``share_ttl_s`` is the time to live of a share's lease.
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
