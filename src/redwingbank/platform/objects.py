"""The platform's object store: paths of its calls, and its answers decoded."""

from __future__ import annotations

import json
from typing import Any, NamedTuple
from urllib.parse import quote

KIND_TABLE = "config"
NAME_TABLE = "main"
KIND_SERVERS = "servers"
MILLISECONDS = 1000

STATUS_HISTORY_GONE = 410
STATUS_CONFLICT = 409


class MalformedError(Exception):
    """An answer of the store that is not in its format."""


class StoredObject(NamedTuple):
    """One object; `content` is what its owner wrote, in the owner's format."""

    name: str
    revision: int
    content: Any


class Page(NamedTuple):
    """A part of a listing; `more` tells whether another page follows the last name.

    `revision` is the store's own at the time of the call.
    """

    objects: tuple[StoredObject, ...]
    more: bool
    revision: int


class Change(NamedTuple):
    """An object that was written, or is `deleted`."""

    stored: StoredObject
    deleted: bool


class Changes(NamedTuple):
    """What a watch saw; the next one goes on from `revision`."""

    changes: tuple[Change, ...]
    revision: int


def list_path(kind: str, after: str = "", *, stale: bool = False) -> str:
    """The path that lists a kind, beginning behind a name.

    A `stale` listing may be seconds old; it costs a tenth.
    """
    # the platform calls a read that may be old "serializable"
    words = [f"after={quote(after, safe='')}"] * bool(after) + ["serializable=1"] * stale
    path = f"/api/objects/{quote(kind, safe='')}"
    return f"{path}?{'&'.join(words)}" if words else path


def object_path(kind: str, name: str) -> str:
    """The path of one object."""
    return f"{list_path(kind)}/{quote(name, safe='')}"


def encode_object(name: str, content: Any, revision: int | None = None) -> bytes:
    """Write an object to be created, or replaced where it still has this revision."""
    meta: dict[str, Any] = {"name": name}
    if revision is not None:
        meta |= {"revision": revision, "finalizers": []}
    return json.dumps({"meta": meta, "spec": content}, separators=(",", ":")).encode()


def decode_object(body: bytes) -> StoredObject:
    """Read one object.

    :raises MalformedError: where it is not one
    """
    try:
        return _stored(_document(body))
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedError(str(error)) from error


def watch_path(kind: str, revision: int, wait_s: float) -> str:
    """The path that waits for changes of a kind behind a revision."""
    return f"{list_path(kind)}?watch={revision}&waitMs={int(wait_s * MILLISECONDS)}"


def decode_page(body: bytes) -> Page:
    """Read a listing.

    :raises MalformedError: where it is not one
    """
    document = _document(body)
    try:
        objects = tuple(_stored(item) for item in document["items"])
        return Page(objects, bool(document["more"]), int(document["currentRev"]))
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedError(str(error)) from error


def decode_changes(body: bytes) -> Changes:
    """Read a watch's answer.

    :raises MalformedError: where it is not one
    """
    document = _document(body)
    try:
        changes = tuple(
            Change(_stored(event["object"]), bool(event["deleted"]))
            for event in document["events"]
        )
        return Changes(changes, int(document["currentRev"]))
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedError(str(error)) from error


def _document(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except ValueError as error:
        raise MalformedError(str(error)) from error
    if not isinstance(document, dict):
        raise MalformedError("not an object")
    return document


def _stored(item: Any) -> StoredObject:
    # what the owner wrote stands in `spec`; `status` belongs to whoever acts on it
    return StoredObject(str(item["meta"]["name"]), int(item["meta"]["revision"]), item.get("spec"))


__all__ = [
    "KIND_SERVERS",
    "KIND_TABLE",
    "NAME_TABLE",
    "STATUS_CONFLICT",
    "STATUS_HISTORY_GONE",
    "Change",
    "Changes",
    "MalformedError",
    "Page",
    "StoredObject",
    "decode_changes",
    "decode_object",
    "decode_page",
    "encode_object",
    "list_path",
    "object_path",
    "watch_path",
]
