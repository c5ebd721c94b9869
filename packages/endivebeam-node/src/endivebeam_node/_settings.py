"""Settings of the daemon, read from YAML."""

from pathlib import Path
from typing import Literal

import yaml
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
    token_sha256: str = Field(pattern="^[0-9a-f]{64}$")
    role: Literal["admin", "read"] = "admin"


class Settings(BaseModel):
    """Settings of one node.

    A port of 0 lets the kernel choose; the chosen port is logged and, with
    ``ports_file``, written to a file as JSON.
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
    platform_url: str
    seeds: list[SeedAddress] = []
    operators: list[Operator] = []
    ports_file: Path | None = None
    log_level: str = "INFO"
    drain_timeout_s: float = Field(default=30.0, gt=0, le=600)


def load_settings(path: Path) -> Settings:
    """Read settings from a YAML file.

    Raises ``pydantic.ValidationError`` with every finding.
    """
    return Settings.model_validate(yaml.safe_load(path.read_text()))
