"""Probabilities that a request misses its targets for the first event and for pauses."""

from __future__ import annotations

# Prompt tokens that an engine reads between two tokens of running streams (the engines' usual
# chunk), and answer tokens per event (from the engines' data sheets).
CHUNK_TOKENS = 2048
TOKENS_PER_EVENT = 4
# Time per answer token while no prompt is read: 5.2 ms in the engines' data sheets, more in a
# larger batch.
DECODE_STEP_S = 0.008
# Pause between events while no prompt is read.
IDLE_PAUSE_S = TOKENS_PER_EVENT * DECODE_STEP_S
# Pauses while prompts are read: the first estimate, the quantile that is learned, the relative
# change for each longer pause, and the upper limit.
INITIAL_READING_PAUSE_S = 0.24
PAUSE_QUANTILE = 0.9
PAUSE_STEP = 0.05
MAX_READING_PAUSE_S = 2.0
# The probability of a miss rises linearly from 0 to 1 between these shares of a target.
SAFE_TARGET_SHARE = 0.8
MISSED_TARGET_SHARE = 1.1


class PauseEstimate:
    """Longest pause between events of streams while prompts are read, learned from streams.

    Answers long prompts beside short streams: an engine reads a chunk of a prompt between two
    answer tokens, so that beyond a few chunks a longer prompt makes no longer pauses.

    >>> pauses = PauseEstimate()
    >>> for _ in range(500):
    ...     pauses.record_reading(0.11)
    >>> round(pauses.longest_s(5.0), 1), round(pauses.longest_s(0.02), 2)
    (0.1, 0.05)
    """

    def __init__(self) -> None:
        self._reading_s = INITIAL_READING_PAUSE_S

    def record_reading(self, pause_s: float) -> None:
        """Record a pause of a stream whose server has prompts to read."""
        shorter = pause_s <= self._reading_s
        factor = 1 - PAUSE_STEP * (1 - PAUSE_QUANTILE) if shorter else 1 + PAUSE_STEP
        self._reading_s = min(max(self._reading_s * factor, IDLE_PAUSE_S), MAX_READING_PAUSE_S)

    def longest_s(self, read_s: float) -> float:
        """Return the longest pause of a stream that runs while prompts are read for `read_s`."""
        return min(IDLE_PAUSE_S + read_s, self._reading_s)


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
    "PauseEstimate",
    "miss_probability",
]
