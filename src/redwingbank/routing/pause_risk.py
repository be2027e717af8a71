"""What reading prompts does to the pauses of streams at the same server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.routing.targets import TOKENS_PER_EVENT, miss_probability

if TYPE_CHECKING:
    from redwingbank.routing.choice import RequestNeeds
    from redwingbank.routing.load import ServerLoad


def expected_long_pauses(
    load: ServerLoad, backlog_tokens: float, unread_tokens: int, pause_s: float
) -> float:
    """Expected number of streams that exceed their pause target only because of this prompt.

    `pause_s` is their longest pause without it.
    """
    after_s = load.longest_pause_s(backlog_tokens + unread_tokens)
    if after_s <= pause_s:
        return 0.0
    return sum(
        count * (miss_probability(after_s, target_s) - miss_probability(pause_s, target_s))
        for target_s, count in load.streams_by_pause_target.items()
    )


def pause_risk(load: ServerLoad, needs: RequestNeeds, pause_s: float, now_s: float) -> float:
    """Probability that prompt reads at the server make this stream exceed its pause target.

    Answers that fit into one event have no pauses.
    """
    if not needs.pause_sensitive or needs.facts.answer_tokens <= TOKENS_PER_EVENT:
        return 0.0
    target_s = needs.route.pause_target_s
    return min(1.0, miss_probability(pause_s, target_s) + load.recent_long_pauses(target_s, now_s))


__all__ = ["expected_long_pauses", "pause_risk"]
