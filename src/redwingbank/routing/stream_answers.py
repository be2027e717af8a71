"""Knows which answers of a host bring each stream, so that a stream has one answer at a time.

Load pattern: callers whose connections hang take their streams up again, at any host, while the
answers before go on.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Generic, NamedTuple, TypeVar

from redwingbank.routing.stream_origin import stream_key

# A longer gap between updates means that the process was suspended and has news to read, which may
# be as old as the gap; it has read them within this time.
SUSPENDED_S = 0.4
CATCH_UP_S = 0.25

OwnerT = TypeVar("OwnerT")


class TakeUp(NamedTuple):
    """A stream that its caller takes up, by its key and that of the request that does so.

    `at_s` is the time at which it was taken up, in seconds on this host's clock.
    """

    key: str
    request: str
    at_s: float


class _Answer(NamedTuple, Generic[OwnerT]):
    """An answer to a request, from when it may bring events of the stream."""

    owner: OwnerT
    request: str
    began_s: float


class StreamAnswers(Generic[OwnerT]):
    """The answers of one host to streams that callers may take up, by the streams' keys.

    A request that is forwarded has an answer at two hosts. Neither ends the other: both are of
    the request that takes the stream up.

    >>> answers = StreamAnswers[str]()
    >>> answers.begin("first answer", TakeUp("a1", "r1", 10.0))
    >>> answers.superseded(TakeUp("a1", "r2", 12.0))
    ['first answer']
    >>> answers.superseded(TakeUp("a1", "r1", 12.0))
    []
    """

    def __init__(self) -> None:
        self._answers_by_key: defaultdict[str, list[_Answer[OwnerT]]] = defaultdict(list)
        self._updated_s = float("inf")
        self._resumed_s = float("-inf")

    def __len__(self) -> int:
        return len(self._answers_by_key)

    def update(self, now_s: float) -> None:
        """Record that the process runs; to be called several times in `SUSPENDED_S`."""
        if now_s - self._updated_s > SUSPENDED_S:
            self._resumed_s = now_s
        self._updated_s = now_s

    def taken_up_s(self, now_s: float, age_s: float) -> float:
        """Return when a stream was taken up, by news that told its age when they were sent.

        News that waited while this host was suspended are older by an unknown time. They are of
        the time before, so that the answers since then go on.

        >>> answers = StreamAnswers[str]()
        >>> answers.update(10.0)
        >>> answers.taken_up_s(10.25, age_s=0.25)
        10.0
        >>> answers.taken_up_s(13.0, age_s=0.0), answers.taken_up_s(13.125, age_s=0.0)
        (13.0, 13.0)
        """
        self.update(now_s)
        at_s = now_s - age_s
        return min(at_s, self._resumed_s) if now_s < self._resumed_s + CATCH_UP_S else at_s

    def begin(self, owner: OwnerT, take_up: TakeUp) -> None:
        """Record an answer that begins a stream, or goes on with it."""
        self.update(take_up.at_s)
        answer = _Answer(owner, take_up.request, take_up.at_s)
        self._answers_by_key[take_up.key].append(answer)

    def end(self, owner: OwnerT, key: str) -> None:
        """Forget an answer that has ended."""
        left = [one for one in self._answers_by_key.pop(key, ()) if one.owner is not owner]
        if left:
            self._answers_by_key[key] = left

    def superseded(self, take_up: TakeUp) -> list[OwnerT]:
        """List the answers that end because another request takes their stream up.

        News of it may arrive late, and once more: an answer that began after it goes on.
        """
        answers = self._answers_by_key.get(take_up.key, ())
        return [
            one.owner
            for one in answers
            if one.request != take_up.request and one.began_s < take_up.at_s
        ]


def answer_key(organisation: str, stream: str) -> str:
    """Return the key of a stream's answers; an organisation can only end its own streams."""
    return stream_key(f"{organisation}\n{stream}")


__all__ = ["StreamAnswers", "TakeUp", "answer_key"]
