"""The documents that the soak writes to its object store, in the platform's format."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from redwingbank.settings import Address

HOST_NAME = "desk.example"
ORGANISATION = "bakery"
DEADLINE_MS = 2500
ROUTES = (
    ("book", "nonidempotent", False, 1),
    ("read", "idempotent", False, 2),
    ("fixed", "stream", False, 1),
    ("memo", "stream", True, 2),
)


def table_document(version: int, keys: list[str]) -> dict[str, Any]:
    """Build the operator's table with one organisation that has the given API keys."""
    routes = [
        {
            "name": name,
            "host": HOST_NAME,
            "pathPrefix": f"/{name}/",
            "routeKind": kind,
            "timeoutMs": DEADLINE_MS,
            "sloMs": 400,
            "priority": 1,
            "service": "pool",
            "attempts": attempts,
            "sticky": kind == "stream",
            "resumable": resumable,
            "gapSloMs": 200,
        }
        for name, kind, resumable, attempts in ROUTES
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "pool", "maxConns": 100}],
        "limits": {},
        "tenants": [{"name": ORGANISATION, "apiKeys": keys}],
    }


def entry_document(address: Address, state: str = "ready") -> dict[str, Any]:
    """Build a backend server's entry."""
    return {"service": "pool", "addr": str(address), "slots": 16, "state": state, "born": 1}


__all__ = ["DEADLINE_MS", "HOST_NAME", "ORGANISATION", "entry_document", "table_document"]
