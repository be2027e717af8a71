"""The table: classes, organisations, pools and backend servers, checked whole."""

from __future__ import annotations

from typing import NamedTuple


class ClassRow(NamedTuple):
    """A class of traffic.

    `tier` 1 is served first. Targets are milliseconds, `give_up_s` seconds after arrival.
    `minimum` is the share of a pool's slots (0 to 1) kept for the class while it has demand.
    `limit` is the most requests of the class running or waiting on a host, 0 for none.
    """

    name: str
    tier: int
    first_token_ms: int
    token_ms: int
    weight: float
    minimum: float
    limit: int
    give_up_s: float


class OrganisationRow(NamedTuple):
    """An organisation; `key_hash` is the hexadecimal SHA-256 of its key.

    `concurrency` and `tokens_per_minute` hold over all hosts; 0 is no limit.
    """

    name: str
    key_hash: str
    default_class: str
    weight: float
    concurrency: int
    tokens_per_minute: int


class PoolRow(NamedTuple):
    """A group of like backend servers: `kind` is `engine` or `service`.

    An engine pool's name is the model's; a service pool is routed at `/services/NAME/`.
    """

    name: str
    kind: str


class BackendServerRow(NamedTuple):
    """A backend server; `state` is `serving` or `draining`, `slots` its capacity till it reports.

    `fencing` is `checked` where the server refuses an order with an old fencing number.
    """

    name: str
    pool: str
    data_centre: str
    address: str
    slots: int
    state: str
    fencing: str


class Table(NamedTuple):
    """An accepted table; revisions only rise."""

    revision: int
    classes_by_name: dict[str, ClassRow]
    organisations_by_name: dict[str, OrganisationRow]
    pools_by_name: dict[str, PoolRow]
    backend_servers_by_name: dict[str, BackendServerRow]

    def servers_of(self, pool: str) -> tuple[BackendServerRow, ...]:
        """Rows of a pool's backend servers, by name."""
        rows = self.backend_servers_by_name.values()
        return tuple(sorted(row for row in rows if row.pool == pool))


__all__ = ["BackendServerRow", "ClassRow", "OrganisationRow", "PoolRow", "Table"]
