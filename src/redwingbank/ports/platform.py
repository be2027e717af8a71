"""The platform's object API behind one interface: versions, conditional updates, watches."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class Stored(NamedTuple):
    """The object as it is, or as it was just written; versions only rise."""

    key: str
    version: int
    value: bytes


class Absent(NamedTuple):
    """There is no such object."""

    key: str


class Conflict(NamedTuple):
    """The write did not take effect: the object's version is another."""

    key: str
    version: int


class Unknown(NamedTuple):
    """No answer came: a read failed, and a write may have taken effect or not."""

    key: str
    reason: str


class ListedHost(NamedTuple):
    """A host on the platform's membership list, which lags."""

    host: str
    data_centre: str
    address: str
    leaving: bool


class Platform(Protocol):
    """What the router needs of the platform; no call raises."""

    async def read(self, key: str) -> Stored | Absent | Unknown:
        """Read an object."""

    async def create(self, key: str, value: bytes) -> Stored | Conflict | Unknown:
        """Write an object that must not be there yet."""

    async def update(self, key: str, value: bytes, version: int) -> Stored | Conflict | Unknown:
        """Write an object whose version must be `version`."""

    async def delete(self, key: str, version: int) -> Absent | Conflict | Unknown:
        """Delete an object whose version must be `version`."""

    async def keys(self, prefix: str) -> tuple[str, ...] | Unknown:
        """Names of the objects below a prefix."""

    async def watch(self, key: str, version: int, timeout_s: float) -> Stored | Absent | Unknown:
        """Wait until the object's version is over `version`, or the timeout has passed."""

    async def hosts(self) -> tuple[ListedHost, ...] | Unknown:
        """Read the membership list."""


__all__ = ["Absent", "Conflict", "ListedHost", "Platform", "Stored", "Unknown"]
