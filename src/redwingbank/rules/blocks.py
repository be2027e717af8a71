"""Hashes of a prompt's leading blocks, computed identically by routers and engines."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence

BLOCK_WORDS = 64
HASH_BYTES = 8


def prompt_text(messages: Sequence[Any]) -> str:
    """Join the text contents of an OpenAI message list; other parts are left out.

    >>> prompt_text([{"role": "user", "content": "Is the quay free?"}])
    'Is the quay free?'
    """
    return "\n".join(_content(message) for message in messages if isinstance(message, dict))


def _content(message: dict[str, Any]) -> str:
    content = message.get("content")
    if isinstance(content, str):
        return content
    parts = content if isinstance(content, list) else []
    texts = (part.get("text") for part in parts if isinstance(part, dict))
    return "\n".join(text for text in texts if isinstance(text, str))


def count_words(text: str) -> int:
    """Return the number of words of a text, an approximation of its tokens."""
    return len(text.split())


def block_hashes(text: str) -> tuple[int, ...]:
    """Hash each whole block of `BLOCK_WORDS` words, chained to the blocks before it.

    Two texts share their first n hashes exactly if they share their first n blocks. An
    incomplete last block has no hash.

    >>> len(block_hashes("word " * 130))
    2
    """
    words = text.split()
    hashes: list[int] = []
    previous = b""
    for end in range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS):
        block = " ".join(words[end - BLOCK_WORDS : end]).encode()
        previous = hashlib.blake2b(previous + block, digest_size=HASH_BYTES).digest()
        hashes.append(int.from_bytes(previous, "big"))
    return tuple(hashes)


__all__ = ["BLOCK_WORDS", "block_hashes", "count_words", "prompt_text"]
