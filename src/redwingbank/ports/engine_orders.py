"""Sends orders to engines and reads their state; see docs/ENGINE-PROTOCOL.md."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.rules.orders import ObservedState, OrderKind

if TYPE_CHECKING:
    from redwingbank.ports.engine import EngineClient
    from redwingbank.rules.orders import Order


class EngineOrders:
    """Sends orders to engines and reads back their effect."""

    def __init__(self, engines: EngineClient) -> None:
        self._engines = engines

    async def send_order(self, order: Order, fencing: int) -> bool | None:
        """Send an order; false if its fencing number is rejected, None if the call fails."""
        return await self._engines.send_order(order.address, fencing, order.kind, order.argument)

    async def read_state(self, address: str) -> ObservedState | None:
        """Read an engine's loaded models and adapters and its role; None if that fails."""
        models = await self._engines.read_json(address, "/v1/models")
        orders = await self._engines.read_json(address, "/orders")
        if models is None:
            return None
        try:
            names = frozenset(str(item["id"]) for item in models["data"])
            received = (orders or {}).get("orders", ())
            roles = [
                item["argument"] for item in received if item["order"] == OrderKind.CHANGE_ROLE
            ]
        except (KeyError, TypeError):
            return None
        return ObservedState(names, str(roles[-1]) if roles else "")


__all__ = ["EngineOrders"]
