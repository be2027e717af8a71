"""Orders to a stand-in engine, each with the fencing number of the sender's lease."""

from __future__ import annotations

import json
from typing import Any

import anyio

ORDER_KINDS = ("load-model", "load-adapter", "change-role", "drain", "undrain")


class Orders:
    """Executes orders; with `checked` fencing, numbers below the highest one seen are refused."""

    def __init__(self, fencing: str, model: str, load_s: float) -> None:
        self.executed: list[dict[str, Any]] = []
        self.models = {model}
        self.role = "serve"
        self.draining = False
        self._checks_fencing = fencing == "checked"
        self._load_s = load_s
        self._highest_fencing = 0

    def serves(self, model: str) -> bool:
        """Whether a model or adapter is loaded."""
        return model in self.models

    async def execute(self, raw: bytes) -> tuple[int, dict[str, Any]]:
        """Execute or refuse an order; return the HTTP status and the response body."""
        try:
            order = json.loads(raw)
            fencing, kind = int(order["fencing"]), order["order"]
        except (ValueError, KeyError, TypeError):
            return 400, {"error": {"message": "expected fencing, order and argument"}}
        if kind not in ORDER_KINDS:
            return 400, {"error": {"message": f"no such order: {kind}"}}
        if self._checks_fencing and fencing < self._highest_fencing:
            return 409, {
                "error": {"message": "old fencing number"},
                "newest": self._highest_fencing,
            }
        self._highest_fencing = max(self._highest_fencing, fencing)
        argument = str(order.get("argument", ""))
        self.executed.append({"fencing": fencing, "order": kind, "argument": argument})
        await self._apply(kind, argument)
        return 200, {"obeyed": len(self.executed)}

    async def _apply(self, kind: str, argument: str) -> None:
        if kind in ("load-model", "load-adapter"):
            await anyio.sleep(self._load_s)
            self.models.add(argument)
        elif kind == "change-role":
            self.role = argument
        else:
            self.draining = kind == "drain"


__all__ = ["ORDER_KINDS", "Orders"]
