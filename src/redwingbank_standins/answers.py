"""The one right answer to a prompt, which engines give and a checker recomputes."""

from __future__ import annotations

import hashlib
import json
import math
import re
from typing import TYPE_CHECKING, Any

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


def expected_answer(
    model: str, messages: Sequence[Any], max_tokens: int = DEFAULT_MAX_TOKENS
) -> list[str]:
    """Give the tokens that any engine of the model answers with.

    >>> expected_answer("m", [{"role": "user", "content": "length=2"}], 9) == expected_answer(
    ...     "m", [{"role": "user", "content": "length=2"}], 2
    ... )
    True
    """
    seed = _seed(model, messages)
    return [_token(seed, at) for at in range(min(answer_length(model, messages), max_tokens))]


def find_tag(messages: Sequence[Any]) -> str:
    """Read the load generator's own name for a request, `tag=NAME` in its text, or nothing."""
    found = _TAG.search(prompt_text(messages))
    return found.group(1) if found else ""


def _seed(model: str, messages: Sequence[Any]) -> bytes:
    canonical = json.dumps([model, list(messages)], sort_keys=True, separators=(",", ":"))
    return hashlib.blake2b(canonical.encode(), digest_size=16).digest()


def _token(seed: bytes, at: int) -> str:
    digest = hashlib.blake2b(seed + at.to_bytes(4, "big"), digest_size=3)
    return digest.hexdigest() + " "


__all__ = ["DEFAULT_MAX_TOKENS", "answer_length", "expected_answer", "find_tag"]
