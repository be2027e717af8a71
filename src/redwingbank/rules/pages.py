"""Storage of a table: rows hashed into content-addressed pages, and a head that lists them.

A page is immutable and named by its digest, so a change of one row writes one small page and the
head. A host that follows the head requests only the pages it does not have.
"""

from __future__ import annotations

import base64
import hashlib
import json
import zlib
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.bounded_json import decode_json
from redwingbank.errors import RedwingbankError

if TYPE_CHECKING:
    from collections.abc import Container, Mapping

    from redwingbank.rules.table import Sheets

HEAD_KEY = "table/head"
PAGE_PREFIX = "table/page/"
HISTORY_PREFIX = "table/history/"
ROWS_PER_PAGE = 40
DIGEST_BYTES = 16
MAX_PAGE_BYTES = 16 * 1024 * 1024
RESIZE_FACTOR = 4


class PageError(RedwingbankError):
    """A stored value does not match its name or its format."""


class Root(NamedTuple):
    """The digests of a table's pages, in order of page number."""

    digests: tuple[bytes, ...]

    def names(self) -> tuple[str, ...]:
        """Keys of the pages in order, without duplicates."""
        return tuple(dict.fromkeys(page_name(digest) for digest in self.digests))


class Head(NamedTuple):
    """The value of `table/head`: the revision, its pages and its author.

    A writer recognises its own head by `nonce`; `at_s` is wall-clock time.
    """

    revision: int
    root: Root
    nonce: str
    author: str
    at_s: float


class Packed(NamedTuple):
    """A table's pages: the root, and each page's value by its key."""

    root: Root
    values_by_name: dict[str, bytes]


EMPTY_ROOT = Root(())


def page_name(digest: bytes) -> str:
    """Key of the page with this digest."""
    return PAGE_PREFIX + digest.hex()


def history_name(revision: int) -> str:
    """Key of a replaced head; keys sort by revision."""
    return f"{HISTORY_PREFIX}{revision:012d}"


def page_count(rows: int, current: int = 0) -> int:
    """Choose a power of two; the current count is kept while within a factor of four.

    >>> page_count(5_100)
    128
    """
    ideal = 1 << max(0, (rows - 1) // ROWS_PER_PAGE).bit_length()
    if current and current / RESIZE_FACTOR <= ideal <= current * RESIZE_FACTOR:
        return current
    return ideal


def pack(sheets: Sheets, current: Root = EMPTY_ROOT) -> Packed:
    """Pack rows into pages; `current` is the root in force, whose page count is kept."""
    rows = [
        (sheet, row, dict(cells))
        for sheet, by_row in sheets.items()
        for row, cells in by_row.items()
    ]
    pages: list[list[tuple[str, str, dict[str, str]]]] = [
        [] for _ in range(page_count(len(rows), len(current.digests)))
    ]
    for row in rows:
        pages[_page_number(row[0], row[1], len(pages))].append(row)
    contents = [_encode_rows(page) for page in pages]
    digests = tuple(_digest(content) for content in contents)
    values = {
        page_name(digest): zlib.compress(content)
        for digest, content in zip(digests, contents, strict=True)
    }
    return Packed(Root(digests), values)


def unpack(
    root: Root, values_by_name: Mapping[str, bytes]
) -> dict[str, dict[str, dict[str, str]]]:
    """Unpack the pages into sheets.

    :raises PageError: if a page is missing or its content does not match its name
    """
    sheets: dict[str, dict[str, dict[str, str]]] = {}
    for digest in dict.fromkeys(root.digests):
        try:
            for sheet, row, cells in decode_json(_read_page(digest, values_by_name)):
                sheets.setdefault(sheet, {})[row] = cells
        except (ValueError, TypeError) as error:
            raise PageError(f"{page_name(digest)} holds no rows") from error
    return sheets


def missing_pages(root: Root, available: Container[str]) -> tuple[str, ...]:
    """Keys of the root's pages that are not in `available`."""
    return tuple(name for name in root.names() if name not in available)


def encode_head(head: Head) -> bytes:
    """Encode a head in its stored form."""
    document = {
        "revision": head.revision,
        "pages": base64.b64encode(b"".join(head.root.digests)).decode(),
        "nonce": head.nonce,
        "author": head.author,
        "at_s": head.at_s,
    }
    return json.dumps(document, sort_keys=True).encode()


def decode_head(value: bytes) -> Head:
    """Decode a stored head.

    :raises PageError: if the value is not a head
    """
    try:
        document = decode_json(value)
        digests = base64.b64decode(document["pages"], validate=True)
        if len(digests) % DIGEST_BYTES:
            raise PageError("the head's digests are truncated")
        return Head(
            int(document["revision"]),
            Root(_split(digests)),
            str(document["nonce"]),
            str(document["author"]),
            float(document["at_s"]),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise PageError("not a head") from error


def readable_head(value: bytes) -> Head | None:
    """Decode a stored head; None if the value is not a head."""
    try:
        return decode_head(value)
    except PageError:
        return None


def _split(digests: bytes) -> tuple[bytes, ...]:
    starts = range(0, len(digests), DIGEST_BYTES)
    return tuple(digests[start : start + DIGEST_BYTES] for start in starts)


def _page_number(sheet: str, row: str, count: int) -> int:
    return int.from_bytes(_digest(f"{sheet}\0{row}".encode()), "big") % count


def _encode_rows(rows: list[tuple[str, str, dict[str, str]]]) -> bytes:
    return json.dumps(sorted(rows, key=_row_key), sort_keys=True, separators=(",", ":")).encode()


def _row_key(row: tuple[str, str, dict[str, str]]) -> tuple[str, str]:
    return row[:2]


def _digest(content: bytes) -> bytes:
    return hashlib.sha256(content).digest()[:DIGEST_BYTES]


def _read_page(digest: bytes, values_by_name: Mapping[str, bytes]) -> bytes:
    name = page_name(digest)
    if name not in values_by_name:
        raise PageError(f"{name} is missing")
    try:
        content = zlib.decompressobj().decompress(values_by_name[name], MAX_PAGE_BYTES)
    except zlib.error as error:
        raise PageError(f"{name} is unreadable") from error
    if _digest(content) != digest:
        raise PageError(f"the content of {name} does not match its digest")
    return content


__all__ = [
    "EMPTY_ROOT",
    "HEAD_KEY",
    "HISTORY_PREFIX",
    "PAGE_PREFIX",
    "Head",
    "Packed",
    "PageError",
    "Root",
    "decode_head",
    "encode_head",
    "history_name",
    "missing_pages",
    "pack",
    "page_count",
    "page_name",
    "readable_head",
    "unpack",
]
