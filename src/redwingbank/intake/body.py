"""The body of a request, kept in blocks until the request has ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

# Blocks of one size leave no gaps in the heap that the next body can't use.
BLOCK_BYTES = 64 * 1024


class RequestBody:
    """A body that grows by parts and is sent block by block, without a copy of the whole.

    Blocks that a connection is sending stay valid after `clear`.

    >>> body = RequestBody.of(b"a" * 70_000)
    >>> [len(block) for block in body.blocks()], len(body)
    ([65536, 4464], 70000)
    >>> body.clear()
    >>> len(body)
    0
    """

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        # the block that is not full yet
        self._tail = bytearray()

    def __len__(self) -> int:
        return len(self._blocks) * BLOCK_BYTES + len(self._tail)

    @classmethod
    def of(cls, data: bytes) -> RequestBody:
        """Build a body from all of its bytes."""
        body = cls()
        body.append(data)
        return body

    def append(self, data: bytes) -> None:
        """Add a part."""
        if len(self._tail) + len(data) < BLOCK_BYTES:
            self._tail += data
            return
        rest = memoryview(data)
        while rest:
            space = BLOCK_BYTES - len(self._tail)
            self._tail += rest[:space]
            rest = rest[space:]
            if len(self._tail) == BLOCK_BYTES:
                # a copy, since an array that grows has room to grow on
                self._blocks.append(bytes(self._tail))
                self._tail = bytearray()

    def blocks(self) -> Iterator[bytes]:
        """List the blocks in order."""
        yield from tuple(self._blocks)
        if self._tail:
            yield bytes(self._tail)

    def clear(self) -> None:
        """Drop all bytes."""
        self._blocks = []
        self._tail = bytearray()


__all__ = ["BLOCK_BYTES", "RequestBody"]
