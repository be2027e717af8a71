"""The platform's object store: paths of its calls and decoding of its answers."""

from __future__ import annotations

import json
import reprlib
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import quote

from redwingbank.bounded_json import decode_parts
from redwingbank.platform.fields import (
    MalformedError,
    decoding,
    read_integer,
    read_list,
    read_name,
    read_object,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.platform.headers import Header

KIND_TABLE = "config"
NAME_TABLE = "main"
KIND_SERVERS = "servers"
MS_PER_S = 1000
# lower-case, as received names are compared
HEADER_ERA = b"store-era"
MAX_ERA_DIGITS = 6

STATUS_HISTORY_GONE = 410
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409


class StoredObject(NamedTuple):
    """One object; `content` is the value written by its owner, in the owner's format.

    Parts of it may be `UNREADABLE`.
    """

    name: str
    revision: int
    content: Any


class Page(NamedTuple):
    """A part of a listing; `more` is true if another page follows the last name.

    Objects without a usable name or revision are left out. `revision` is the store's revision at
    the time of the call.
    """

    objects: tuple[StoredObject, ...]
    more: bool
    revision: int


class Change(NamedTuple):
    """An object that was written or, if `deleted`, removed."""

    stored: StoredObject
    deleted: bool


class Changes(NamedTuple):
    """The changes returned by a watch; the next watch continues from `revision`."""

    changes: tuple[Change, ...]
    revision: int


def list_path(kind: str, after: str = "", *, stale: bool = False) -> str:
    """Return the path that lists a kind, starting after a name.

    A `stale` listing may be seconds old and costs a tenth of a current one.
    """
    # the platform calls a possibly stale read "serializable"
    parameters = [f"after={quote(after, safe='')}"] * bool(after) + ["serializable=1"] * stale
    path = f"/api/objects/{quote(kind, safe='')}"
    return f"{path}?{'&'.join(parameters)}" if parameters else path


def object_path(kind: str, name: str) -> str:
    """Return the path of one object."""
    return f"{list_path(kind)}/{quote(name, safe='')}"


def encode_object(name: str, content: Any, revision: int | None = None) -> bytes:
    """Encode an object to create, or to replace if it still has this revision."""
    meta: dict[str, Any] = {"name": name}
    if revision is not None:
        meta |= {"revision": revision, "finalizers": []}
    return json.dumps({"meta": meta, "spec": content}, separators=(",", ":")).encode()


def decode_object(body: bytes) -> StoredObject:
    """Decode one object.

    :raises MalformedError: if the body is not an object of the store
    """
    with decoding("object"):
        return _stored(decode_parts(body))


def watch_path(kind: str, revision: int, wait_s: float) -> str:
    """Return the path that waits for changes of a kind after a revision."""
    return f"{list_path(kind)}?watch={revision}&waitMs={int(wait_s * MS_PER_S)}"


def decode_page(body: bytes) -> Page:
    """Decode a listing.

    :raises MalformedError: if the body is not a listing
    """
    with decoding("listing"):
        document = read_object(decode_parts(body))
        objects = tuple(filter(None, map(_find_stored, read_list(document["items"]))))
        return Page(objects, bool(document["more"]), read_integer(document["currentRev"]))


def decode_changes(body: bytes) -> Changes:
    """Decode a watch's answer.

    :raises MalformedError: if the body is not a list of changes
    """
    with decoding("changes"):
        document = read_object(decode_parts(body))
        changes = tuple(
            Change(stored, bool(event.get("deleted")))
            for event in read_list(document["events"])
            if isinstance(event, dict) and (stored := _find_stored(event.get("object")))
        )
        return Changes(changes, read_integer(document["currentRev"]))


def decode_server_start(body: bytes) -> int:
    """Decode when a server started, from its report; 0 if the report does not tell.

    :raises MalformedError: if the body is not a report
    """
    with decoding("report"):
        return read_integer(read_object(decode_parts(body)).get("born", 0))


def decode_era(headers: Iterable[Header]) -> int | None:
    """Decode the store's era from an answer's headers, None if none is stated.

    :raises MalformedError: if it is no number from 1, or a huge one
    """
    values = [value.strip() for name, value in headers if name.lower() == HEADER_ERA]
    if not values:
        return None
    with decoding("era"):
        text = values[0].decode("ascii")
        if len(set(values)) > 1 or len(text) > MAX_ERA_DIGITS or not text.isdecimal():
            raise ValueError(reprlib.repr(text))
        return read_integer(int(text), least=1)


def _find_stored(item: Any) -> StoredObject | None:
    try:
        return _stored(item)
    except (LookupError, TypeError, ValueError):
        return None


def _stored(item: Any) -> StoredObject:
    meta = read_object(read_object(item)["meta"])
    # `spec` holds the value written by the owner; `status` is for those that act on it
    return StoredObject(read_name(meta["name"]), read_integer(meta["revision"]), item.get("spec"))


__all__ = [
    "KIND_SERVERS",
    "KIND_TABLE",
    "NAME_TABLE",
    "STATUS_CONFLICT",
    "STATUS_HISTORY_GONE",
    "STATUS_NOT_FOUND",
    "Change",
    "Changes",
    "MalformedError",
    "Page",
    "StoredObject",
    "decode_changes",
    "decode_era",
    "decode_object",
    "decode_page",
    "decode_server_start",
    "encode_object",
    "list_path",
    "object_path",
    "watch_path",
]
