"""Reconciles an engine's desired state in the table with its observed state."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from redwingbank.rules.table import Table


class OrderKind(StrEnum):
    """Orders that an engine accepts; the first two read from the weight store."""

    LOAD_MODEL = "load-model"
    LOAD_ADAPTER = "load-adapter"
    CHANGE_ROLE = "change-role"


LOAD_KINDS = frozenset({OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER})


class Order(NamedTuple):
    """An order to an engine."""

    server: str
    address: str
    kind: OrderKind
    argument: str


class DesiredState(NamedTuple):
    """The model, adapters and role that an engine should have according to the table."""

    server: str
    address: str
    model: str
    adapters: tuple[str, ...]
    role: str


class ObservedState(NamedTuple):
    """The models and role that an engine reports; `role` is empty if it reports none."""

    models: frozenset[str]
    role: str


def desired_states(table: Table) -> dict[str, tuple[DesiredState, ...]]:
    """List the desired states of the servers of each engine pool, by pool."""
    return {
        pool.name: tuple(
            DesiredState(row.name, row.address, pool.name, tuple(row.adapters.split()), row.role)
            for row in table.servers_in_pool(pool.name)
        )
        for pool in table.pools_by_name.values()
        if pool.kind == "engine"
    }


def plan_orders(desired: DesiredState, observed: ObservedState) -> tuple[Order, ...]:
    """List the orders still needed; a lost or repeated order needs no other handling."""
    kinds = [(OrderKind.LOAD_MODEL, desired.model)]
    kinds += [(OrderKind.LOAD_ADAPTER, name) for name in desired.adapters]
    needed = [(kind, name) for kind, name in kinds if name not in observed.models]
    if desired.role and desired.role != observed.role:
        needed.append((OrderKind.CHANGE_ROLE, desired.role))
    return tuple(Order(desired.server, desired.address, *item) for item in needed)


__all__ = [
    "LOAD_KINDS",
    "ObservedState",
    "Order",
    "OrderKind",
    "DesiredState",
    "plan_orders",
    "desired_states",
]
