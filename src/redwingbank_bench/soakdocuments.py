"""The documents that the soak writes to its object store, in the platform's format."""

from __future__ import annotations

from typing import Any

from redwingbank.settings import Address
from redwingbank_bench.processes import free_port

HOST_NAME = "desk.example"
LOOPBACK = "127.0.0.1"
ANY_PORT = Address(LOOPBACK, 0)
DATA_CENTRES = ("a", "b")
# fast enough for a relay between hosts
LINK_MBPS = 1000
REVOKE_S = 5.0
GRACE_S = 4.0
# short, so that a front that starts again has its part of the extra retries before the soak ends
BUDGET_WINDOW_S = 2.0
CONTACT_MS = 3000
ORGANISATION = "bakery"
DEADLINE_MS = 2500
MAX_FAULT_S = 2.5
BODY_BYTES = 4_194_304
# of the machines of hosts, if clients that don't behave take part
MEMORY_MB = 80
ROUTES = (
    ("book", "nonidempotent", False, 1),
    ("read", "idempotent", False, 2),
    ("fixed", "stream", False, 1),
    ("memo", "stream", True, 2),
    ("draft", "stream", True, 2),
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


def entry_document(
    address: Address, version: str, started_ms: int, state: str = "ready"
) -> dict[str, Any]:
    """Build a backend server's entry."""
    return {
        "service": "pool",
        "addr": str(address),
        "slots": 16,
        "state": state,
        "version": version,
        "born": started_ms,
    }


def boot_document(
    number: int, caller: Address, store: Address, memory_mb: int = 0
) -> dict[str, Any]:
    """Build the settings of a front; its machine has so much memory, 0 if that is not told."""
    return {
        "nodeName": f"edge-{number}",
        "ip": LOOPBACK,
        "zone": DATA_CENTRES[number % len(DATA_CENTRES)],
        "listen": {"front": str(caller), "ready": f"{LOOPBACK}:{free_port()}"},
        "portRange": [free_port(), free_port()],
        "beatMs": 1200,
        "limits": {"linkMbps": LINK_MBPS, "memoryMb": memory_mb},
        "bounds": {
            "revokeMs": int(REVOKE_S * 1000),
            "graceS": GRACE_S,
            "contactMs": CONTACT_MS,
            "budgetWindowS": BUDGET_WINDOW_S,
        },
        "platform": {"addr": str(store)},
    }


__all__ = [
    "ANY_PORT",
    "BODY_BYTES",
    "DEADLINE_MS",
    "HOST_NAME",
    "MAX_FAULT_S",
    "MEMORY_MB",
    "ORGANISATION",
    "REVOKE_S",
    "boot_document",
    "entry_document",
    "table_document",
]
