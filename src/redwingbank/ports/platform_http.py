"""HTTP client of the platform's object API; see docs/PLATFORM-PROTOCOL.md."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol, TypeVar
from urllib.parse import quote

import httpcore

from redwingbank.bounded_json import decode_json
from redwingbank.ports.platform import Absent, Conflict, ListedHost, Stored, Unknown

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from redwingbank.settings import Address

MAX_CONNECTIONS = 32
WATCH_MARGIN_S = 2.0
T = TypeVar("T")
PARSE_ERRORS = (ValueError, KeyError, TypeError)


class PlatformSettings(Protocol):
    """The platform's address and timeout; implemented by the daemon's settings."""

    @property
    def platform(self) -> Address:
        """The platform's address."""

    @property
    def platform_timeout_s(self) -> float:
        """The timeout of a call."""


class HttpPlatform:
    """Calls the platform without retries; no method raises.

    A call whose outcome is uncertain (a timeout, a closed connection, a status that the
    protocol doesn't define) returns `Unknown`; after a write, the caller has to read back.

    >>> platform = HttpPlatform(settings)
    >>> await platform.create("table/head", b"{}")
    Stored(key='table/head', version=1, value=b'{}')
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self._base = f"http://{settings.platform}"
        self._timeout_s = settings.platform_timeout_s
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, max_keepalive_connections=MAX_CONNECTIONS, retries=0
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def read(self, key: str) -> Stored | Absent | Unknown:
        """Read an object."""
        return _read_result(key, await self._request("GET", _object_path(key), key))

    async def create(self, key: str, value: bytes) -> Stored | Conflict | Unknown:
        """Create an object; a conflict if it exists."""
        answer = await self._request("PUT", _object_path(key), key, {"If-None-Match": "*"}, value)
        return _write_result(key, answer, value)

    async def update(self, key: str, value: bytes, version: int) -> Stored | Conflict | Unknown:
        """Update an object; a conflict if its version isn't `version`."""
        answer = await self._request(
            "PUT", _object_path(key), key, {"If-Match": f'"{version}"'}, value
        )
        return _write_result(key, answer, value)

    async def delete(self, key: str, version: int) -> Absent | Conflict | Unknown:
        """Delete an object; a conflict if its version isn't `version`."""
        answer = await self._request(
            "DELETE", _object_path(key), key, {"If-Match": f'"{version}"'}
        )
        if isinstance(answer, Unknown):
            return answer
        if answer.status == 204:
            return Absent(key)
        return _conflict(key, answer)

    async def keys(self, prefix: str) -> tuple[str, ...] | Unknown:
        """List the keys of all objects with a prefix."""
        answer = await self._request("GET", f"/objects?prefix={quote(prefix)}", prefix)
        return _parse_answer(answer, prefix, _parse_keys)

    async def watch(self, key: str, version: int, timeout_s: float) -> Stored | Absent | Unknown:
        """Wait until the object's version exceeds `version` or the timeout expires."""
        path = f"/watch/{quote(key)}?after={version}&timeout_s={timeout_s}"
        answer = await self._request("GET", path, key, wait_s=timeout_s + WATCH_MARGIN_S)
        return _read_result(key, answer)

    async def hosts(self) -> tuple[ListedHost, ...] | Unknown:
        """Read the membership list."""
        answer = await self._request("GET", "/members", "members")
        return _parse_answer(answer, "members", _parse_hosts)

    async def _request(
        self,
        method: str,
        path: str,
        key: str,
        headers: Mapping[bytes | str, bytes | str] | None = None,
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> httpcore.Response | Unknown:
        limit_s = self._timeout_s
        timeouts = {
            "connect": limit_s,
            "write": limit_s,
            "read": max(limit_s, wait_s),
            "pool": limit_s,
        }
        try:
            return await self._pool.request(
                method,
                self._base + path,
                headers=headers or {},
                content=body,
                extensions={"timeout": timeouts},
            )
        except (httpcore.TimeoutException, httpcore.NetworkError, httpcore.ProtocolError) as error:
            return Unknown(key, type(error).__name__)
        except (OSError, httpcore.UnsupportedProtocol) as error:
            return Unknown(key, type(error).__name__)


def _object_path(key: str) -> str:
    return f"/objects/{quote(key)}"


def _parse_version(response: httpcore.Response) -> int:
    headers = {name.lower(): value for name, value in response.headers}
    try:
        return int(headers[b"etag"].strip(b'"'))
    except (KeyError, ValueError):
        return -1


def _read_result(key: str, answer: httpcore.Response | Unknown) -> Stored | Absent | Unknown:
    if isinstance(answer, Unknown):
        return answer
    if answer.status == 404:
        return Absent(key)
    version = _parse_version(answer)
    if answer.status == 200 and version >= 0:
        return Stored(key, version, answer.content)
    return Unknown(key, f"status {answer.status}")


def _write_result(
    key: str, answer: httpcore.Response | Unknown, value: bytes
) -> Stored | Conflict | Unknown:
    if isinstance(answer, Unknown):
        return answer
    version = _parse_version(answer)
    if answer.status == 200 and version >= 0:
        return Stored(key, version, value)
    return _conflict(key, answer)


def _conflict(key: str, answer: httpcore.Response) -> Conflict | Unknown:
    version = _parse_version(answer)
    if answer.status == 412 and version >= 0:
        return Conflict(key, version)
    return Unknown(key, f"status {answer.status}")


def _parse_answer(
    answer: httpcore.Response | Unknown, key: str, parse: Callable[[Any], T]
) -> T | Unknown:
    if isinstance(answer, Unknown):
        return answer
    if answer.status != 200:
        return Unknown(key, f"status {answer.status}")
    try:
        return parse(decode_json(answer.content))
    except PARSE_ERRORS:
        return Unknown(key, "unreadable answer")


def _parse_keys(body: dict[str, list[str]]) -> tuple[str, ...]:
    return tuple(body["keys"])


def _parse_hosts(body: list[dict[str, Any]]) -> tuple[ListedHost, ...]:
    return tuple(
        ListedHost(
            str(item["host"]),
            str(item.get("data_centre", "")),
            str(item["address"]),
            bool(item.get("leaving", False)),
        )
        for item in body
    )


__all__ = ["HttpPlatform", "PlatformSettings"]
