"""Orders to engines, and what an engine has; see docs/ENGINE-PROTOCOL.md."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.rules.orders import Held, OrderKind

if TYPE_CHECKING:
    from redwingbank.ports.engine import EngineClient
    from redwingbank.rules.orders import Order


class EngineOrders:
    """Gives orders and reads back what became of them."""

    def __init__(self, engines: EngineClient) -> None:
        self._engines = engines

    async def send_order(self, order: Order, fencing: int) -> bool | None:
        """Give an order; false where its fencing number was refused, none where unheard."""
        return await self._engines.order(order.address, fencing, order.kind, order.argument)

    async def read_state(self, address: str) -> Held | None:
        """Read the models and adapters an engine has loaded, and its role."""
        models = await self._engines.document(address, "/v1/models")
        orders = await self._engines.document(address, "/orders")
        if models is None:
            return None
        try:
            names = frozenset(str(item["id"]) for item in models["data"])
            given = (orders or {}).get("orders", ())
            roles = [item["argument"] for item in given if item["order"] == OrderKind.CHANGE_ROLE]
        except (KeyError, TypeError):
            return None
        return Held(names, str(roles[-1]) if roles else "")


__all__ = ["EngineOrders"]
