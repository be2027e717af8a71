"""Orders to a stand-in engine, each with the fencing number of the lease it comes under."""

from __future__ import annotations

import json
from typing import Any

import anyio

ORDERS = ("load-model", "load-adapter", "change-role", "drain", "undrain")


class Orders:
    """Obeys orders; with `checked` fencing it refuses a number older than the newest seen."""

    def __init__(self, fencing: str, model: str, load_s: float) -> None:
        self.executed: list[dict[str, Any]] = []
        self.models = {model}
        self.role = "serve"
        self.draining = False
        self._checked = fencing == "checked"
        self._load_s = load_s
        self._newest = 0

    def serves(self, model: str) -> bool:
        """Tell whether a model or adapter is loaded."""
        return model in self.models

    async def obey(self, raw: bytes) -> tuple[int, dict[str, Any]]:
        """Obey one order or refuse it; gives an HTTP status and the answer."""
        try:
            order = json.loads(raw)
            fencing, kind = int(order["fencing"]), order["order"]
        except (ValueError, KeyError, TypeError):
            return 400, {"error": {"message": "expected fencing, order and argument"}}
        if kind not in ORDERS:
            return 400, {"error": {"message": f"no such order: {kind}"}}
        if self._checked and fencing < self._newest:
            return 409, {"error": {"message": "old fencing number"}, "newest": self._newest}
        self._newest = max(self._newest, fencing)
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


__all__ = ["ORDERS", "Orders"]
