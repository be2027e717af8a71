"""Which backend server a request goes to."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.front.backends import shared_key
from redwingbank.rules.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

    from redwingbank.front.backends import Backend, Backends
    from redwingbank.front.values import Part, ServerEntry

# the bound of consistent hashing with bounded loads: so much over the mean, and one
LOAD_BOUND = 1.3


class Choice(NamedTuple):
    """A backend server and what decided for it."""

    backend: Backend
    reason: str
    load: int


class Chooser:
    """Chooses among the servers of a pool that take work."""

    def __init__(self, backends: Backends, random: Random) -> None:
        self._backends = backends
        self._random = random

    def choose(
        self,
        entries: Sequence[ServerEntry],
        parts: tuple[Part, ...],
        avoid: Collection[str],
        now_s: float,
    ) -> Choice | None:
        """Choose a server out of those not to be avoided, if there is one."""
        known = [self._backends.of(entry) for entry in entries if entry.name not in avoid]
        sound = [backend for backend in known if backend.breaker.admits(now_s)]
        if not sound:
            return None
        key = shared_key(parts)
        if key:
            return self._by_key(key, sound, now_s)
        best = min(sound, key=lambda one: (one.load(now_s), self._random.random()))
        return Choice(best, "least load", best.load(now_s))

    def _by_key(self, key: str, sound: list[Backend], now_s: float) -> Choice:
        by_name = {backend.entry.name: backend for backend in sound}
        loads = {name: backend.load(now_s) for name, backend in by_name.items()}
        bound = LOAD_BOUND * sum(loads.values()) / len(loads) + 1
        for name in ranked(key, by_name):
            if loads[name] <= bound:
                return Choice(by_name[name], "shared part", loads[name])
        name = min(loads, key=loads.__getitem__)
        return Choice(by_name[name], "least load", loads[name])


__all__ = ["Choice", "Chooser"]
