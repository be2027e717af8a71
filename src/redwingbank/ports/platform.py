"""The interface of the platform's object API: versions, conditional updates and watches."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class Stored(NamedTuple):
    """An object as read or just written; an object's versions only increase."""

    key: str
    version: int
    value: bytes


class Absent(NamedTuple):
    """The object does not exist."""

    key: str


class Conflict(NamedTuple):
    """The write did not take effect, because the object has a different version."""

    key: str
    version: int


class Unknown(NamedTuple):
    """The outcome is unknown: a read failed, or a write may or may not have taken effect."""

    key: str
    reason: str


class ListedHost(NamedTuple):
    """An entry of the platform's membership list, which may be out of date."""

    host: str
    data_centre: str
    address: str
    leaving: bool


class Platform(Protocol):
    """The operations that the router uses; none of them raises."""

    async def read(self, key: str) -> Stored | Absent | Unknown:
        """Read an object."""

    async def create(self, key: str, value: bytes) -> Stored | Conflict | Unknown:
        """Create an object; a conflict if it exists."""

    async def update(self, key: str, value: bytes, version: int) -> Stored | Conflict | Unknown:
        """Update an object; a conflict if its version isn't `version`."""

    async def delete(self, key: str, version: int) -> Absent | Conflict | Unknown:
        """Delete an object; a conflict if its version isn't `version`."""

    async def keys(self, prefix: str) -> tuple[str, ...] | Unknown:
        """List the keys of all objects with a prefix."""

    async def watch(self, key: str, version: int, timeout_s: float) -> Stored | Absent | Unknown:
        """Wait until the object's version exceeds `version` or the timeout expires."""

    async def hosts(self) -> tuple[ListedHost, ...] | Unknown:
        """Read the membership list."""


__all__ = ["Absent", "Conflict", "ListedHost", "Platform", "Stored", "Unknown"]
