"""Which orders an engine still needs, from what the table wants and what the engine has."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from redwingbank.rules.table import Table


class OrderKind(StrEnum):
    """Orders an engine takes; the first two read from the weight store."""

    LOAD_MODEL = "load-model"
    LOAD_ADAPTER = "load-adapter"
    CHANGE_ROLE = "change-role"


LOAD_KINDS = frozenset({OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER})


class Order(NamedTuple):
    """One order to one engine."""

    server: str
    address: str
    kind: OrderKind
    argument: str


class DesiredState(NamedTuple):
    """What the table wants an engine to have."""

    server: str
    address: str
    model: str
    adapters: tuple[str, ...]
    role: str


class ObservedState(NamedTuple):
    """What an engine says that it has; `role` is empty where it does not tell."""

    models: frozenset[str]
    role: str


def desired_states(table: Table) -> dict[str, tuple[DesiredState, ...]]:
    """List what each engine pool's servers shall have, by pool."""
    return {
        pool.name: tuple(
            DesiredState(row.name, row.address, pool.name, tuple(row.adapters.split()), row.role)
            for row in table.servers_in_pool(pool.name)
        )
        for pool in table.pools_by_name.values()
        if pool.kind == "engine"
    }


def plan_orders(wanted: DesiredState, held: ObservedState) -> tuple[Order, ...]:
    """Compare the two levels; an order that was lost or repeated shows up here by itself."""
    kinds = [(OrderKind.LOAD_MODEL, wanted.model)]
    kinds += [(OrderKind.LOAD_ADAPTER, name) for name in wanted.adapters]
    needed = [(kind, name) for kind, name in kinds if name not in held.models]
    if wanted.role and wanted.role != held.role:
        needed.append((OrderKind.CHANGE_ROLE, wanted.role))
    return tuple(Order(wanted.server, wanted.address, *each) for each in needed)


__all__ = [
    "LOAD_KINDS",
    "ObservedState",
    "Order",
    "OrderKind",
    "DesiredState",
    "plan_orders",
    "desired_states",
]
