"""Incremental updates from one table to the next.

A full head names every page and a full table is parsed row by row, so both costs grow with the
table. The cost of an update grows with the change only.
"""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any

from redwingbank.bounded_json import decode_json
from redwingbank.rules.pages import (
    DIGEST_BYTES,
    Head,
    PageError,
    Root,
    page_name,
    unpack,
)
from redwingbank.rules.table import SHEETS, Table, parse_rows, parse_table

if TYPE_CHECKING:
    from collections.abc import Mapping

CHANGE_PREFIX = "table/change/"
MAX_CHANGED_SHARE = 0.25


def change_name(revision: int) -> str:
    """Name, between daemons, of the change from a revision to the one in force."""
    return f"{CHANGE_PREFIX}{revision}"


def encode_change(old: Head, new: Head) -> bytes | None:
    """Encode the difference between two heads; None if their page counts differ."""
    if len(old.root.digests) != len(new.root.digests):
        return None
    digest_by_number = {
        str(number): base64.b64encode(digest).decode()
        for number, digest in enumerate(new.root.digests)
        if digest != old.root.digests[number]
    }
    document = {
        "from": old.revision,
        "revision": new.revision,
        "pages": digest_by_number,
        "nonce": new.nonce,
        "author": new.author,
        "at_s": new.at_s,
    }
    return json.dumps(document, sort_keys=True, separators=(",", ":")).encode()


def apply_change(old: Head, value: bytes) -> Head:
    """Apply an encoded change to a head.

    :raises PageError: if the value is not a change of this head
    """
    try:
        document = decode_json(value)
        if document["from"] != old.revision:
            raise PageError(f"not a change of revision {old.revision}")
        digests = list(old.root.digests)
        for number, text in document["pages"].items():
            digests[int(number)] = _decode_digest(text)
        return Head(
            int(document["revision"]),
            Root(tuple(digests)),
            str(document["nonce"]),
            str(document["author"]),
            float(document["at_s"]),
        )
    except (ValueError, KeyError, TypeError, IndexError, AttributeError) as error:
        raise PageError("not a change of a head") from error


def _decode_digest(text: str) -> bytes:
    digest = base64.b64decode(text, validate=True)
    if len(digest) != DIGEST_BYTES:
        raise PageError("a digest is truncated")
    return digest


def parse_pages(head: Head, pages_by_name: Mapping[str, bytes]) -> Table:
    """Parse a full table.

    :raises PageError: if a page is missing or corrupt
    :raises TableErrors: if this version does not accept the table
    """
    return parse_table(unpack(head.root, pages_by_name), head.revision)


def update_table(
    table: Table,
    old_pages_by_name: Mapping[str, bytes],
    head: Head,
    pages_by_name: Mapping[str, bytes],
) -> Table:
    """Parse a table from its changed pages and the previous table.

    If more than `MAX_CHANGED_SHARE` of the pages are new, the full table is parsed. Checks
    between rows were made when the table was accepted and are not repeated here.

    :raises PageError: if a page is missing or corrupt
    :raises TableErrors: if this version does not accept a row
    """
    names = head.root.names()
    removed_names = [name for name in old_pages_by_name if name not in set(names)]
    added_names = [name for name in names if name not in old_pages_by_name]
    if len(added_names) > len(names) * MAX_CHANGED_SHARE:
        return parse_pages(head, pages_by_name)
    removed = unpack(_root_of_pages(removed_names), old_pages_by_name)
    added = parse_rows(unpack(_root_of_pages(added_names), pages_by_name))
    sheets: tuple[Any, ...] = table[1:]
    rows = [
        _apply_rows(rows_by_name, removed.get(sheet, {}), added[sheet])
        for sheet, rows_by_name in zip(SHEETS, sheets, strict=True)
    ]
    return Table(head.revision, *rows)


def _root_of_pages(names: list[str]) -> Root:
    digests = tuple(bytes.fromhex(name.rpartition("/")[2]) for name in names)
    assert [page_name(digest) for digest in digests] == names
    return Root(digests)


def _apply_rows(
    rows_by_name: Mapping[str, Any], removed: Mapping[str, Any], added: Mapping[str, Any]
) -> dict[str, Any]:
    kept = {name: row for name, row in rows_by_name.items() if name not in removed}
    return {**kept, **added}


__all__ = [
    "CHANGE_PREFIX",
    "apply_change",
    "change_name",
    "encode_change",
    "update_table",
    "parse_pages",
]
