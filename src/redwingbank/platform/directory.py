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
    Scaling,
    ServerEntry,
    Share,
)
from redwingbank.platform.fields import (
    MAX_NUMBER,
    decoding,
    read_integer,
    read_list,
    read_name,
    read_number,
    read_object,
    read_text,
    read_whole,
)
from redwingbank.settings import parse_remote_address

MS_PER_S = 1000.0
BYTES_PER_S_PER_MBPS = 125_000
# for a pool that does not tell how long its servers take to start
DEFAULT_BOOT_S = 4.0
# the platform calls a call that may run at most once "nonidempotent"
KIND_BY_NAME = {
    "idempotent": Kind.IDEMPOTENT,
    "nonidempotent": Kind.SINGLE,
    "stream": Kind.STREAM,
}
DRAINING_BY_STATE = {"ready": False, "draining": True}
# as many as a server's answer can state
MAX_SLOTS = 999_999
# more servers, attempts or tiers than any table has
MAX_COUNT = 1_000_000
# as many as a message between hosts holds
MAX_MILLISECONDS = 2**32 - 1
# written for other readers; a value that is no number shows that the entry is not a server's
UNUSED_NUMBERS = ("seq", "coldLeftMs")


def decode_table(content: Any) -> RouteTable:
    """Decode the operator's table.

    :raises MalformedError: if the table can't be served
    """
    with decoding("table"):
        content = read_object(content)
        routes = [_route(row) for row in read_list(content["routes"])]
        pools = map(_pool, read_list(content["services"]))
        return RouteTable(
            revision=read_integer(content["version"]),
            routes_by_host=_routes_by_host(routes),
            pools_by_name={pool.name: pool for pool in pools},
            organisations_by_key=_organisations_by_key(content.get("tenants")),
            limits=_limits(content.get("limits") or {}),
            class_tiers=1 + max((route.tier for route in routes), default=0),
        )


def decode_server(name: str, content: Any) -> ServerEntry:
    """Decode a backend server's entry.

    :raises MalformedError: if the entry describes no usable server
    """
    with decoding("server"):
        content = read_object(read_whole(content))
        for key in UNUSED_NUMBERS:
            read_number(content.get(key, 0), least=-MAX_NUMBER)
        return ServerEntry(
            name=read_name(name),
            pool=read_name(content["service"]),
            address=parse_remote_address(read_name(content["addr"])),
            data_centre=read_text(content.get("zone", "")),
            slots=read_integer(content["slots"], 1, MAX_SLOTS),
            draining=DRAINING_BY_STATE[read_name(content["state"])],
            # tells which start stands at the address; servers never leave it out
            started_ms=read_integer(content["born"], 1),
            version=_optional_text(content.get("version")),
            spot=content.get("spot") is True,
            leaves_s=_optional_seconds(content.get("leaves_ms")),
        )


def _routes_by_host(rows: list[Route]) -> dict[str, tuple[Route, ...]]:
    by_host: dict[str, list[Route]] = {}
    for route in rows:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
        for host, routes in by_host.items()
    }


def _route(row: Any) -> Route:
    timeout_s = _seconds(row["timeoutMs"])
    return Route(
        name=read_name(row["name"]),
        host=read_name(row["host"]).lower(),
        prefix=read_name(row["pathPrefix"]),
        kind=KIND_BY_NAME[read_name(row["routeKind"])],
        resumable=bool(row.get("resumable", False)),
        shares=_shares(row),
        attempts=max(1, _count(row.get("attempts", 1))),
        tier=_count(row.get("priority", 0)),
        timeout_s=timeout_s,
        # the platform's "slo" is only the latency target
        target_s=_seconds(row["sloMs"]) if "sloMs" in row else timeout_s,
        pause_target_s=_seconds(row.get("gapSloMs", 0)),
        public=bool(row.get("public", False)),
        # "sticky" marks the routes whose requests carry a prompt
        has_prompt=bool(row.get("sticky", False)),
    )


def _shares(row: Any) -> tuple[Share, ...]:
    split = row.get("split")
    if not split:
        return (Share(read_name(row["service"]), 1.0),)
    return tuple(
        Share(read_name(share["service"]), read_number(share["weight"]))
        for share in read_list(split)
    )


def _pool(row: Any) -> Pool:
    engine = read_object(row.get("engine") or {})
    token_bytes = read_number(engine.get("kvTokenBytes", 0))
    link_bytes_per_s = read_number(engine.get("linkMbps", 0)) * BYTES_PER_S_PER_MBPS
    copy_tokens_per_s = link_bytes_per_s / token_bytes if token_bytes > 0 else 0.0
    cache_tokens = int(read_number(engine.get("kvCapacity", 0)))
    return Pool(read_name(row["name"]), cache_tokens, copy_tokens_per_s, _scaling(row))


def _scaling(row: Any) -> Scaling | None:
    """Decode the bounds of a pool's orders; bounds that can't be used leave the pool alone.

    A table with such bounds stays in force, since its routes and keys serve callers.
    """
    try:
        settings = read_object(row["scaling"])
        scaling = Scaling(
            least=read_integer(settings.get("min", 0), most=MAX_COUNT),
            most=read_integer(settings["max"], most=MAX_COUNT),
            boot_s=_positive_number(settings.get("bootS", DEFAULT_BOOT_S)),
            spot_price=_positive_number(settings.get("spotPrice", 1.0)),
            prices_by_data_centre={
                read_text(name): _positive_number(price)
                for name, price in read_object(settings.get("zonePrices") or {}).items()
            },
        )
    except (LookupError, TypeError, ValueError):
        return None
    return scaling if scaling.least <= scaling.most else None


def _organisations_by_key(rows: Any) -> dict[str, Organisation] | None:
    if rows is None:
        return None
    by_key: dict[str, Organisation] = {}
    for row in read_list(rows):
        tier = row.get("priority")
        organisation = Organisation(read_name(row["name"]), None if tier is None else _count(tier))
        by_key.update(dict.fromkeys(map(read_name, read_list(row["apiKeys"])), organisation))
    return by_key


def _limits(row: Any) -> Limits:
    default, row = Limits(), read_object(row)
    return Limits(
        header_bytes=int(read_number(row.get("maxHeaderBytes", default.header_bytes))),
        body_bytes=int(read_number(row.get("maxBodyBytes", default.body_bytes))),
        header_timeout_s=_seconds(row.get("headerTimeoutMs", MS_PER_S * default.header_timeout_s)),
        idle_timeout_s=_seconds(row.get("idleTimeoutMs", MS_PER_S * default.idle_timeout_s)),
    )


def _optional_text(value: Any) -> str:
    try:
        return read_text(value)
    except ValueError:
        return ""


def _seconds(milliseconds: Any) -> float:
    return read_number(milliseconds, most=MAX_MILLISECONDS) / MS_PER_S


def _optional_seconds(milliseconds: Any) -> float | None:
    try:
        return _seconds(milliseconds)
    except ValueError:
        return None


def _positive_number(value: Any) -> float:
    if not read_number(value):
        raise ValueError(value)
    return float(value)


def _count(value: Any) -> int:
    return int(read_number(value, most=MAX_COUNT))


__all__ = ["decode_server", "decode_table"]
