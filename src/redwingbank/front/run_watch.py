"""Follows the runs of one request, for what they tell of crashes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.model import Outcome
from redwingbank.rules.answer_proof import AnswerKind, classify_failure

if TYPE_CHECKING:
    from redwingbank.front.backends import Backend
    from redwingbank.front.crash_probe import CrashProbes
    from redwingbank.front.failures import Failure
    from redwingbank.front.poison import PoisonTracker

# A request that crashes servers does so as it begins to be answered.
SURVIVAL_S = 1.0
# outcomes of attempts whose server may have crashed
POSSIBLE_CRASHES = frozenset({Outcome.CRASHED, Outcome.CLOSED_EARLY})


class RunWatch:
    """Reports the runs of a request to the poison tracker: lost, or proved harmless.

    `rules.answer_proof` tells what an answer proves harmless, as do events over more than
    `SURVIVAL_S`. The loss of a run that proved itself harmless is not counted.
    """

    def __init__(
        self, poison: PoisonTracker, probes: CrashProbes, traits: tuple[str, ...] = ()
    ) -> None:
        self._poison = poison
        self._probes = probes
        self._traits = traits
        self._sent_s = 0.0
        self._began_s: float | None = None
        self._harmless = False

    @property
    def parts(self) -> tuple[str, ...]:
        """The fingerprints of the shared parts of the prompt."""
        return self._traits[1:]

    def find_blocked(self, pool: str, now_s: float) -> str:
        """Return what the request must not be sent to a pool for, or an empty string."""
        blocked = self._poison.find_blocked(self._traits, now_s)
        return blocked or self._probes.find_held(pool, self._traits)

    def sent(self, now_s: float) -> None:
        """Record that the request was sent to a server."""
        self._sent_s, self._began_s, self._harmless = now_s, None, False

    def event_received(self, backend: Backend, now_s: float) -> None:
        """Record complete events of a streamed answer."""
        if self._began_s is None:
            self._began_s = now_s
        elif not self._harmless and now_s - self._began_s > SURVIVAL_S:
            self.answered(backend, AnswerKind.EVENTS, now_s)

    def answered(self, backend: Backend, kind: AnswerKind, now_s: float) -> None:
        """Record a whole answer, or events that go on."""
        proved = self._poison.answered(self._traits, kind, backend.entry.name, now_s)
        self._harmless = self._harmless or proved == self._traits

    def failed(self, backend: Backend, failure: Failure, now_s: float) -> None:
        """Record a failed attempt, which may show that the server has crashed."""
        server = backend.entry.name
        if not failure.sent and failure.outcome is Outcome.CRASHED:
            self._probes.refused(backend)
            return
        if failure.reached:
            self._poison.answered(self._traits, classify_failure(failure.outcome), server, now_s)
        if failure.sent and failure.outcome in POSSIBLE_CRASHES and not self._harmless:
            self._poison.answer_lost(server, self._traits, self._sent_s, now_s)
            self._probes.start(backend)


__all__ = ["RunWatch"]
