"""The platform's object API over HTTP, as docs/PLATFORM-PROTOCOL.md has it."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Protocol, TypeVar
from urllib.parse import quote

import httpcore

from redwingbank.ports.platform import Absent, Conflict, ListedHost, Stored, Unknown

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from redwingbank.settings import Address

CONNECTIONS = 32
WATCH_MARGIN_S = 2.0
T = TypeVar("T")
UNREADABLE = (ValueError, KeyError, TypeError)


class Access(Protocol):
    """Where the platform is and how long an answer may take; the daemon's settings are one."""

    @property
    def platform(self) -> Address:
        """The platform's address."""

    @property
    def platform_timeout_s(self) -> float:
        """The longest wait for an answer."""


class HttpPlatform:
    """Asks the platform; nothing is asked twice and no call raises.

    Whatever leaves a call's outcome open (a timeout, a closed connection, a status that the
    protocol doesn't name) is `Unknown`: the caller reads back what it wrote.

    >>> platform = HttpPlatform(settings)
    >>> await platform.create("table/head", b"{}")
    Stored(key='table/head', version=1, value=b'{}')
    """

    def __init__(self, settings: Access) -> None:
        self._base = f"http://{settings.platform}"
        self._timeout_s = settings.platform_timeout_s
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS, max_keepalive_connections=CONNECTIONS, retries=0
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def read(self, key: str) -> Stored | Absent | Unknown:
        """Read an object."""
        return _read_result(key, await self._ask("GET", _path(key), key))

    async def create(self, key: str, value: bytes) -> Stored | Conflict | Unknown:
        """Write an object that must not be there yet."""
        answer = await self._ask("PUT", _path(key), key, {"If-None-Match": "*"}, value)
        return _write_result(key, answer, value)

    async def update(self, key: str, value: bytes, version: int) -> Stored | Conflict | Unknown:
        """Write an object whose version must be `version`."""
        answer = await self._ask("PUT", _path(key), key, {"If-Match": f'"{version}"'}, value)
        return _write_result(key, answer, value)

    async def delete(self, key: str, version: int) -> Absent | Conflict | Unknown:
        """Delete an object whose version must be `version`."""
        answer = await self._ask("DELETE", _path(key), key, {"If-Match": f'"{version}"'})
        if isinstance(answer, Unknown):
            return answer
        if answer.status == 204:
            return Absent(key)
        return _conflict(key, answer)

    async def keys(self, prefix: str) -> tuple[str, ...] | Unknown:
        """Names of the objects below a prefix."""
        answer = await self._ask("GET", f"/objects?prefix={quote(prefix)}", prefix)
        return _parsed(answer, prefix, _names)

    async def watch(self, key: str, version: int, timeout_s: float) -> Stored | Absent | Unknown:
        """Wait until the object's version is over `version`, or the timeout has passed."""
        path = f"/watch/{quote(key)}?after={version}&timeout_s={timeout_s}"
        answer = await self._ask("GET", path, key, wait_s=timeout_s + WATCH_MARGIN_S)
        return _read_result(key, answer)

    async def hosts(self) -> tuple[ListedHost, ...] | Unknown:
        """Read the membership list."""
        answer = await self._ask("GET", "/members", "members")
        return _parsed(answer, "members", _listed)

    async def _ask(
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


def _path(key: str) -> str:
    return f"/objects/{quote(key)}"


def _version(response: httpcore.Response) -> int:
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
    version = _version(answer)
    if answer.status == 200 and version >= 0:
        return Stored(key, version, answer.content)
    return Unknown(key, f"status {answer.status}")


def _write_result(
    key: str, answer: httpcore.Response | Unknown, value: bytes
) -> Stored | Conflict | Unknown:
    if isinstance(answer, Unknown):
        return answer
    version = _version(answer)
    if answer.status == 200 and version >= 0:
        return Stored(key, version, value)
    return _conflict(key, answer)


def _conflict(key: str, answer: httpcore.Response) -> Conflict | Unknown:
    version = _version(answer)
    if answer.status == 412 and version >= 0:
        return Conflict(key, version)
    return Unknown(key, f"status {answer.status}")


def _parsed(
    answer: httpcore.Response | Unknown, key: str, parse: Callable[[Any], T]
) -> T | Unknown:
    if isinstance(answer, Unknown):
        return answer
    if answer.status != 200:
        return Unknown(key, f"status {answer.status}")
    try:
        return parse(json.loads(answer.content))
    except UNREADABLE:
        return Unknown(key, "unreadable answer")


def _names(body: dict[str, list[str]]) -> tuple[str, ...]:
    return tuple(body["keys"])


def _listed(body: list[dict[str, Any]]) -> tuple[ListedHost, ...]:
    return tuple(
        ListedHost(
            str(item["host"]),
            str(item.get("data_centre", "")),
            str(item["address"]),
            bool(item.get("leaving", False)),
        )
        for item in body
    )


__all__ = ["Access", "HttpPlatform"]
