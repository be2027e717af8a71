"""The one right answer to a prompt, which engines give and a checker recomputes."""

from __future__ import annotations

import hashlib
import json
import math
import re
from typing import TYPE_CHECKING, Any, NamedTuple

from redwingbank.rules.blocks import prompt_text

if TYPE_CHECKING:
    from collections.abc import Sequence

DEFAULT_MAX_TOKENS = 1024
MEAN_TOKENS = 40
_FIXED = re.compile(r"\blength=(\d+)")
_TAG = re.compile(r"\btag=([\w.-]+)")
_HASH_RANGE = 1 << 64


def answer_length(model: str, messages: Sequence[Any]) -> int:
    """Give the answer's natural length in tokens: geometric by hash, or as `length=N` says."""
    fixed = _FIXED.search(prompt_text(messages))
    if fixed:
        return max(1, int(fixed.group(1)))
    fraction = (int.from_bytes(_seed(model, messages)[:8], "big") + 1) / _HASH_RANGE
    return 1 + int(-MEAN_TOKENS * math.log(fraction))


class Answer(NamedTuple):
    """The answer to one prompt, each token made when it is asked for."""

    seed: bytes
    length: int

    def token(self, at: int) -> str:
        """Give the token at a place counted from 0."""
        digest = hashlib.blake2b(self.seed + at.to_bytes(4, "big"), digest_size=3)
        return digest.hexdigest() + " "


def answer_of(model: str, messages: Sequence[Any], max_tokens: int) -> Answer:
    """Give the answer that any engine of the model gives."""
    length = min(answer_length(model, messages), max_tokens)
    return Answer(_seed(model, messages), length)


def expected_answer(
    model: str, messages: Sequence[Any], max_tokens: int = DEFAULT_MAX_TOKENS
) -> list[str]:
    """Give all tokens of an answer.

    >>> expected_answer("m", [{"role": "user", "content": "length=2"}], 9) == expected_answer(
    ...     "m", [{"role": "user", "content": "length=2"}], 2
    ... )
    True
    """
    answer = answer_of(model, messages, max_tokens)
    return [answer.token(at) for at in range(answer.length)]


def find_tag(messages: Sequence[Any]) -> str:
    """Read the load generator's own name for a request, `tag=NAME` in its text, or nothing."""
    found = _TAG.search(prompt_text(messages))
    return found.group(1) if found else ""


def _seed(model: str, messages: Sequence[Any]) -> bytes:
    canonical = json.dumps([model, list(messages)], sort_keys=True, separators=(",", ":"))
    return hashlib.blake2b(canonical.encode(), digest_size=16).digest()


__all__ = [
    "DEFAULT_MAX_TOKENS",
    "Answer",
    "answer_length",
    "answer_of",
    "expected_answer",
    "find_tag",
]
