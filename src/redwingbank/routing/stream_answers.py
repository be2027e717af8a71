"""Knows which answers of a host bring each stream, so that a stream has one answer at a time.

Load pattern: callers whose connections hang take their streams up again, at any host, while the
answers before go on.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Generic, NamedTuple, TypeVar

from redwingbank.routing.stream_origin import stream_key

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

    def __len__(self) -> int:
        return len(self._answers_by_key)

    def begin(self, owner: OwnerT, take_up: TakeUp) -> None:
        """Record an answer that begins a stream, or goes on with it."""
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
