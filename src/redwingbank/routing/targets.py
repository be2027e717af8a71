"""Probabilities that a request misses its targets for the first event and for pauses."""

from __future__ import annotations

# Prompt tokens that an engine reads between two tokens of running streams (the engines' usual
# chunk), and answer tokens per event (from the engines' data sheets).
CHUNK_TOKENS = 2048
TOKENS_PER_EVENT = 4
# Time per answer token while no prompt is read: 5.2 ms in the engines' data sheets, more in a
# larger batch.
DECODE_STEP_S = 0.008
# The probability of a miss rises linearly from 0 to 1 between these shares of a target.
SAFE_TARGET_SHARE = 0.7
MISSED_TARGET_SHARE = 1.1


def longest_pause_s(tokens: float, read_tokens_per_s: float) -> float:
    """Longest pause between events of a running stream while `tokens` prompt tokens are read."""
    return (
        min(tokens, TOKENS_PER_EVENT * CHUNK_TOKENS) / read_tokens_per_s
        + TOKENS_PER_EVENT * DECODE_STEP_S
    )


def miss_probability(time_s: float, target_s: float) -> float:
    """Probability that the actual time exceeds a target, given the estimated time.

    >>> miss_probability(0.1, 0.2), miss_probability(0.3, 0.2)
    (0.0, 1.0)
    """
    if time_s <= SAFE_TARGET_SHARE * target_s:
        return 0.0
    if time_s >= MISSED_TARGET_SHARE * target_s:
        return 1.0
    return (time_s / target_s - SAFE_TARGET_SHARE) / (MISSED_TARGET_SHARE - SAFE_TARGET_SHARE)


__all__ = [
    "CHUNK_TOKENS",
    "DECODE_STEP_S",
    "SAFE_TARGET_SHARE",
    "TOKENS_PER_EVENT",
    "longest_pause_s",
    "miss_probability",
]
