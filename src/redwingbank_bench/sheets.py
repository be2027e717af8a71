"""Builds the table of an experiment as sheets."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

Sheet = dict[str, dict[str, str]]

MODEL = "desk-model"
SERVICE = "order-book"
DATA_CENTRES = ("clyde", "forth", "grange")


class TrafficClass(NamedTuple):
    """A class of requests; `max_tokens` and `prompt_words` set their size."""

    name: str
    tier: int
    first_token_ms: int
    token_ms: int
    give_up_s: float
    minimum: float = 0.0
    max_tokens: int = 200
    prompt_words: int = 60


class Organisation(NamedTuple):
    """An organisation with its weight and limits; a limit of 0 means none."""

    name: str
    weight: float = 1.0
    concurrency: int = 0
    tokens_per_minute: int = 0

    @property
    def key(self) -> str:
        """The API key of its callers."""
        return f"key-of-{self.name}"


class ServerRow(NamedTuple):
    """A backend server's row of the table."""

    name: str
    pool: str
    address: str
    slots: int


def _class_row(row: TrafficClass) -> dict[str, str]:
    return {
        "tier": str(row.tier),
        "first_token_ms": str(row.first_token_ms),
        "token_ms": str(row.token_ms),
        "give_up_s": f"{row.give_up_s:g}",
        "minimum": f"{row.minimum:g}",
    }


def _organisation_row(row: Organisation, default_class: str) -> dict[str, str]:
    return {
        "key_hash": hashlib.sha256(row.key.encode()).hexdigest(),
        "default_class": default_class,
        "weight": f"{row.weight:g}",
        "concurrency": str(row.concurrency),
        "tokens_per_minute": str(row.tokens_per_minute),
    }


def _server_row(row: ServerRow, number: int) -> dict[str, str]:
    return {
        "pool": row.pool,
        "data_centre": DATA_CENTRES[number % len(DATA_CENTRES)],
        "address": row.address,
        "slots": str(row.slots),
    }


def build_sheets(
    classes: Sequence[TrafficClass],
    organisations: Sequence[Organisation],
    servers: Sequence[ServerRow],
) -> Mapping[str, Sheet]:
    """Build the sheets of a complete table."""
    default = classes[0].name
    kinds = {MODEL: "engine", SERVICE: "service"}
    pools = {row.pool for row in servers}
    return {
        "classes": {row.name: _class_row(row) for row in classes},
        "organisations": {row.name: _organisation_row(row, default) for row in organisations},
        "pools": {name: {"kind": kind} for name, kind in kinds.items() if name in pools},
        "backend_servers": {row.name: _server_row(row, at) for at, row in enumerate(servers)},
    }


__all__ = [
    "DATA_CENTRES",
    "MODEL",
    "SERVICE",
    "Organisation",
    "ServerRow",
    "TrafficClass",
    "build_sheets",
]
