"""Loads the table from the platform and publishes changes to it.

A table is accepted once the conditional write of its head is known to have taken effect. If the
outcome is unknown, the head is read back; its nonce, or the one in the history, identifies the
writer.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

import anyio

from redwingbank.errors import RedwingbankError, TableErrors
from redwingbank.ports.platform import Absent, Conflict, Stored, Unknown
from redwingbank.ports.table_pruning import (
    KEPT_REVISIONS,
    PRUNE_EVERY_REVISIONS,
    delete_unused,
    find_unused,
)
from redwingbank.rules import pages
from redwingbank.rules.merge import merge
from redwingbank.rules.table import parse_table, table_to_sheets

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from redwingbank.ports.platform import Platform
    from redwingbank.rules.merge import CellName
    from redwingbank.rules.table import Sheets, Table

MAX_MERGE_ATTEMPTS = 8
MAX_CALL_ATTEMPTS = 4
RETRY_PAUSE_S = 0.05
MAX_CONCURRENT_READS = 8


class LoadedTable(NamedTuple):
    """A table as stored; `version` and `value` belong to the head object."""

    head: pages.Head
    version: int
    value: bytes
    pages_by_name: dict[str, bytes]
    sheets: dict[str, dict[str, dict[str, str]]]

    def table(self) -> Table:
        """Build the table."""
        return parse_table(self.sheets, self.head.revision)


class Accepted(NamedTuple):
    """The change is stored on the platform as this revision."""

    revision: int


class Rejected(NamedTuple):
    """The change did not take effect; `faults` lists the invalid cells and the conflicts."""

    faults: tuple[RedwingbankError, ...]


NO_TABLE = LoadedTable(pages.Head(0, pages.EMPTY_ROOT, "", "", 0.0), 0, b"", {}, {})


async def load_table(
    platform: Platform, known_pages: Mapping[str, bytes] | None = None
) -> LoadedTable | Absent | Unknown:
    """Read the head and those of its pages that are not in `known_pages`."""
    for _ in range(MAX_CALL_ATTEMPTS):
        stored = await platform.read(pages.HEAD_KEY)
        if not isinstance(stored, Stored):
            return stored
        loaded = await load_pages(platform, stored, known_pages or {})
        if not isinstance(loaded, Absent):
            return loaded
    return Unknown(pages.HEAD_KEY, "a page is missing")


async def load_pages(
    platform: Platform, stored: Stored, known_pages: Mapping[str, bytes]
) -> LoadedTable | Absent | Unknown:
    """Read a head's pages; `Absent` if one was deleted because a later head replaced this one."""
    try:
        head = pages.decode_head(stored.value)
    except pages.PageError as error:
        return Unknown(stored.key, str(error))
    names = head.root.names()
    values = {name: known_pages[name] for name in names if name in known_pages}
    faults: list[Absent | Unknown] = []
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_READS)

    async def read(name: str) -> None:
        async with limiter:
            if faults:
                return
            answer = await platform.read(name)
        if isinstance(answer, Stored):
            values[name] = answer.value
        else:
            faults.append(answer)

    async with anyio.create_task_group() as tasks:
        for name in pages.missing_pages(head.root, values):
            tasks.start_soon(read, name)
    if faults:
        return faults[0]
    try:
        sheets = pages.unpack(head.root, values)
    except pages.PageError as error:
        return Unknown(stored.key, str(error))
    return LoadedTable(head, stored.version, stored.value, values, sheets)


async def publish(
    platform: Platform,
    base: LoadedTable | Absent,
    sheets: Sheets,
    author: str,
    nonce: str,
    explicit_cells: Iterable[CellName] = (),
) -> Accepted | Rejected | Unknown:
    """Write complete sheets, which were edited from `base`, as the next revision.

    Changes that others have made since `base` are merged cell by cell. The cells in
    `explicit_cells` were set by name and count as changed even if `base` has the same value.
    `nonce` must be unique for each call.
    """
    original = NO_TABLE if isinstance(base, Absent) else base
    try:
        normalized = table_to_sheets(parse_table(sheets, 0))
    except TableErrors as errors:
        return Rejected(_table_errors(errors))
    current = original
    for _ in range(MAX_MERGE_ATTEMPTS):
        merged = merge(original.sheets, normalized, current.sheets, explicit_cells)
        if merged.conflicts:
            return Rejected(merged.conflicts)
        try:
            parse_table(merged.sheets, 0)
        except TableErrors as errors:
            return Rejected(_table_errors(errors))
        outcome = await _write(platform, current, merged.sheets, author, nonce)
        if not isinstance(outcome, Conflict):
            return outcome
        newer = await _load_newer(platform, current)
        if isinstance(newer, Unknown):
            return newer
        current = newer
    return Unknown(pages.HEAD_KEY, "the table changed concurrently on every attempt")


async def _load_newer(platform: Platform, current: LoadedTable) -> LoadedTable | Unknown:
    """Load a table newer than `current`, retrying while reads are stale."""
    for number in range(MAX_CALL_ATTEMPTS):
        await anyio.sleep(RETRY_PAUSE_S * number)
        loaded = await load_table(platform, current.pages_by_name)
        if isinstance(loaded, LoadedTable) and loaded.version > current.version:
            return loaded
    return Unknown(pages.HEAD_KEY, "the newer table can't be read")


def _table_errors(errors: TableErrors) -> tuple[RedwingbankError, ...]:
    return tuple(fault for fault in errors.exceptions if isinstance(fault, RedwingbankError))


async def _write(
    platform: Platform, current: LoadedTable, sheets: Sheets, author: str, nonce: str
) -> Accepted | Conflict | Unknown:
    packed = pages.pack(sheets, current.head.root)
    head = pages.Head(current.head.revision + 1, packed.root, nonce, author, time.time())
    for name in pages.missing_pages(packed.root, current.pages_by_name):
        stored = await _put_page(platform, name, packed.values_by_name[name])
        if isinstance(stored, Unknown):
            return stored
    if current.head.revision:
        archived = await _archive_head(platform, current)
        if isinstance(archived, Unknown):
            return archived
    unused = (
        await find_unused(platform, head) if head.revision % PRUNE_EVERY_REVISIONS == 0 else ()
    )
    outcome = await _put_head(platform, current, head)
    if isinstance(outcome, Accepted):
        await delete_unused(platform, unused)
    return outcome


async def _put_page(platform: Platform, name: str, value: bytes) -> Stored | Unknown:
    """Write a page even if it exists: a new version protects it from concurrent pruning."""
    answer: Stored | Conflict | Unknown = Unknown(name, "not written")
    for _ in range(MAX_CALL_ATTEMPTS):
        answer = await platform.create(name, value)
        if isinstance(answer, Conflict):
            answer = await platform.update(name, value, answer.version)
        if isinstance(answer, Stored):
            return answer
    return Unknown(name, "not written")


async def _archive_head(platform: Platform, current: LoadedTable) -> Stored | Conflict | Unknown:
    """Copy the head to be replaced to the history, which may contain it already."""
    answer: Stored | Conflict | Unknown = Unknown(pages.HISTORY_PREFIX, "not written")
    for _ in range(MAX_CALL_ATTEMPTS):
        name = pages.history_name(current.head.revision)
        answer = await platform.create(name, current.value)
        if not isinstance(answer, Unknown):
            return answer
    return answer


async def _put_head(
    platform: Platform, current: LoadedTable, head: pages.Head
) -> Accepted | Conflict | Unknown:
    value = pages.encode_head(head)
    ambiguous = False
    answer: Stored | Conflict | Unknown = Unknown(pages.HEAD_KEY, "not written")
    for _ in range(MAX_CALL_ATTEMPTS):
        if current.version:
            answer = await platform.update(pages.HEAD_KEY, value, current.version)
        else:
            answer = await platform.create(pages.HEAD_KEY, value)
        if isinstance(answer, Stored):
            return Accepted(head.revision)
        if isinstance(answer, Conflict) and not ambiguous:
            return answer
        ambiguous = True
        resolved = await _read_back(platform, current, head)
        if resolved is not None:
            return resolved
    return Unknown(pages.HEAD_KEY, f"revision {head.revision} with nonce {head.nonce}")


async def _read_back(
    platform: Platform, current: LoadedTable, head: pages.Head
) -> Accepted | Conflict | None:
    """Find out which writer's head became this revision; None if that is not known yet.

    While the stored head is still `current`, the write may be in flight. It can be repeated
    then, since only one of the two writes can meet the condition.
    """
    stored = await platform.read(pages.HEAD_KEY)
    if not isinstance(stored, Stored) or stored.version <= current.version:
        return None
    stored_head = pages.readable_head(stored.value)
    if stored_head and stored_head.revision > head.revision:
        archived = await platform.read(pages.history_name(head.revision))
        stored_head = pages.readable_head(archived.value) if isinstance(archived, Stored) else None
    if stored_head is None:
        return None
    if stored_head.nonce == head.nonce:
        return Accepted(head.revision)
    return Conflict(pages.HEAD_KEY, stored.version)


async def load_history(platform: Platform) -> tuple[pages.Head, ...] | Unknown:
    """Read the head in force and the kept ones that are readable, newest first.

    :raises PageError: if the object in force is not a head
    """
    names = await platform.keys(pages.HISTORY_PREFIX)
    if isinstance(names, Unknown):
        return names
    heads: dict[int, pages.Head] = {}
    for name in (*names, pages.HEAD_KEY):
        stored = await platform.read(name)
        if isinstance(stored, Unknown):
            return stored
        if isinstance(stored, Stored):
            in_force = name == pages.HEAD_KEY
            decode = pages.decode_head if in_force else pages.readable_head
            head = decode(stored.value)
            if head is not None:
                heads[head.revision] = head
    newest = sorted(heads, reverse=True)[:KEPT_REVISIONS]
    return tuple(heads[revision] for revision in newest if revision > newest[0] - KEPT_REVISIONS)


async def load_revision(platform: Platform, revision: int) -> LoadedTable | Absent | Unknown:
    """Read a kept revision or the one in force."""
    for name in (pages.history_name(revision), pages.HEAD_KEY):
        stored = await platform.read(name)
        if isinstance(stored, Unknown):
            return stored
        head = pages.readable_head(stored.value) if isinstance(stored, Stored) else None
        if head is not None and isinstance(stored, Stored) and head.revision == revision:
            return await load_pages(platform, stored, {})
    return Absent(pages.history_name(revision))


__all__ = [
    "Accepted",
    "LoadedTable",
    "Rejected",
    "load_history",
    "load_pages",
    "load_revision",
    "load_table",
    "publish",
]
