"""Decodes the objects that the operator and the backend servers write to the store."""

from __future__ import annotations

from typing import Any

from redwingbank.front.values import (
    Kind,
    Limits,
    Organisation,
    Pool,
    Route,
    RouteTable,
    ServerEntry,
    Share,
)
from redwingbank.platform.objects import MalformedError
from redwingbank.settings import parse_address

MS_PER_S = 1000.0
BYTES_PER_S_PER_MBPS = 125_000
# the platform calls a call that may run at most once "nonidempotent"
KIND_BY_NAME = {
    "idempotent": Kind.IDEMPOTENT,
    "nonidempotent": Kind.SINGLE,
    "stream": Kind.STREAM,
}
DRAINING_BY_STATE = {"ready": False, "draining": True}


def decode_table(content: Any) -> RouteTable:
    """Decode the operator's table.

    :raises MalformedError: if the table can't be served
    """
    try:
        routes = [_route(row) for row in content["routes"]]
        return RouteTable(
            revision=int(content["version"]),
            routes_by_host=_routes_by_host(routes),
            pools_by_name={pool.name: pool for pool in map(_pool, content["services"])},
            organisations_by_key=_organisations_by_key(content.get("tenants")),
            limits=_limits(content.get("limits") or {}),
            class_tiers=1 + max((route.tier for route in routes), default=0),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MalformedError(f"table: {type(error).__name__} {error}") from error


def decode_server(name: str, content: Any) -> ServerEntry:
    """Decode a backend server's entry.

    :raises MalformedError: if the entry describes no usable server
    """
    try:
        return ServerEntry(
            name=_non_empty_text(name),
            pool=_non_empty_text(content["service"]),
            address=parse_address(_non_empty_text(content["addr"])),
            data_centre=_text(str(content.get("zone", ""))),
            slots=_positive_integer(content["slots"]),
            draining=DRAINING_BY_STATE[content["state"]],
            started_ms=_integer(content.get("born", 0)),
            version=_optional_text(content.get("version")),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MalformedError(f"server: {type(error).__name__} {error}") from error


def _routes_by_host(rows: list[Route]) -> dict[str, tuple[Route, ...]]:
    by_host: dict[str, list[Route]] = {}
    for route in rows:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
        for host, routes in by_host.items()
    }


def _route(row: Any) -> Route:
    return Route(
        name=row["name"],
        host=row["host"].lower(),
        prefix=row["pathPrefix"],
        kind=KIND_BY_NAME[row["routeKind"]],
        resumable=bool(row.get("resumable", False)),
        shares=_shares(row),
        attempts=max(1, int(row.get("attempts", 1))),
        tier=int(row.get("priority", 0)),
        timeout_s=row["timeoutMs"] / MS_PER_S,
        # the platform's "slo" is only the latency target
        target_s=row.get("sloMs", row["timeoutMs"]) / MS_PER_S,
        pause_target_s=row.get("gapSloMs", 0) / MS_PER_S,
        public=bool(row.get("public", False)),
        # "sticky" marks the routes whose requests carry a prompt
        has_prompt=bool(row.get("sticky", False)),
    )


def _shares(row: Any) -> tuple[Share, ...]:
    split = row.get("split")
    if not split:
        return (Share(row["service"], 1.0),)
    return tuple(Share(share["service"], float(share["weight"])) for share in split)


def _pool(row: Any) -> Pool:
    engine = row.get("engine") or {}
    token_bytes = float(engine.get("kvTokenBytes", 0))
    link_bytes_per_s = float(engine.get("linkMbps", 0)) * BYTES_PER_S_PER_MBPS
    copy_tokens_per_s = link_bytes_per_s / token_bytes if token_bytes > 0 else 0.0
    scaled = bool(row.get("scaling"))
    return Pool(row["name"], int(engine.get("kvCapacity", 0)), copy_tokens_per_s, scaled)


def _organisations_by_key(rows: Any) -> dict[str, Organisation] | None:
    if rows is None:
        return None
    by_key: dict[str, Organisation] = {}
    for row in rows:
        tier = row.get("priority")
        organisation = Organisation(row["name"], None if tier is None else int(tier))
        by_key.update(dict.fromkeys(row["apiKeys"], organisation))
    return by_key


def _limits(row: Any) -> Limits:
    default = Limits()
    return Limits(
        header_bytes=int(row.get("maxHeaderBytes", default.header_bytes)),
        body_bytes=int(row.get("maxBodyBytes", default.body_bytes)),
        header_timeout_s=_seconds(row, "headerTimeoutMs", default.header_timeout_s),
        idle_timeout_s=_seconds(row, "idleTimeoutMs", default.idle_timeout_s),
    )


def _seconds(row: Any, key: str, default: float) -> float:
    return row[key] / MS_PER_S if key in row else default


def _non_empty_text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(value)
    return _text(value)


def _text(value: str) -> str:
    """Return a text that can be sent on, in a message and in a header."""
    value.encode()
    if any(character in value for character in "\r\n\0"):
        raise ValueError(value)
    return value


def _optional_text(value: Any) -> str:
    try:
        return _text(value) if isinstance(value, str) else ""
    except ValueError:
        return ""


def _integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(value)
    return value


def _positive_integer(value: Any) -> int:
    if _integer(value) <= 0:
        raise ValueError(value)
    return int(value)


__all__ = ["decode_server", "decode_table"]
