"""Deterministic answers to prompts: engines generate them, checkers recompute them."""

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
MEAN_ANSWER_TOKENS = 40
_LENGTH = re.compile(r"\blength=(\d+)")
_TAG = re.compile(r"\btag=([\w.-]+)")
_HASH_RANGE = 1 << 64


def answer_length(model: str, messages: Sequence[Any]) -> int:
    """Return the answer's length in tokens before `max_tokens` applies.

    It is N if the prompt contains `length=N`, otherwise geometrically distributed, with a hash
    of the prompt as the source of randomness.
    """
    match = _LENGTH.search(prompt_text(messages))
    if match:
        return max(1, int(match.group(1)))
    fraction = (int.from_bytes(_seed(model, messages)[:8], "big") + 1) / _HASH_RANGE
    return 1 + int(-MEAN_ANSWER_TOKENS * math.log(fraction))


class Answer(NamedTuple):
    """The answer to one prompt, whose tokens are computed on demand."""

    seed: bytes
    length: int

    def token(self, index: int) -> str:
        """Return the token at an index, counted from 0."""
        digest = hashlib.blake2b(self.seed + index.to_bytes(4, "big"), digest_size=3)
        return digest.hexdigest() + " "


def build_answer(model: str, messages: Sequence[Any], max_tokens: int) -> Answer:
    """Build the answer, the same on every engine of the model."""
    length = min(answer_length(model, messages), max_tokens)
    return Answer(_seed(model, messages), length)


def expected_answer(
    model: str, messages: Sequence[Any], max_tokens: int = DEFAULT_MAX_TOKENS
) -> list[str]:
    """Return all tokens of the answer.

    >>> expected_answer("m", [{"role": "user", "content": "length=2"}], 9) == expected_answer(
    ...     "m", [{"role": "user", "content": "length=2"}], 2
    ... )
    True
    """
    answer = build_answer(model, messages, max_tokens)
    return [answer.token(index) for index in range(answer.length)]


def find_tag(messages: Sequence[Any]) -> str:
    """Return the name that the load generator gave a request as `tag=NAME`, or an empty string."""
    match = _TAG.search(prompt_text(messages))
    return match.group(1) if match else ""


def _seed(model: str, messages: Sequence[Any]) -> bytes:
    canonical = json.dumps([model, list(messages)], sort_keys=True, separators=(",", ":"))
    return hashlib.blake2b(canonical.encode(), digest_size=16).digest()


__all__ = [
    "DEFAULT_MAX_TOKENS",
    "Answer",
    "answer_length",
    "build_answer",
    "expected_answer",
    "find_tag",
]
