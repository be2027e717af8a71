"""Model of an engine that reads prompts in chunks between the tokens of running streams."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from redwingbank.front.values import PromptPart


class EngineFacts(NamedTuple):
    """Figures of an engine's data sheet; times are in seconds.

    A step takes `step_s`, `step_per_slot_s` for each running request, and the time to read at
    most `chunk` prompt tokens: `pair_s` for each of them and each token before it, beside the
    speed of reading. An event holds `stride` answer tokens.
    """

    slots: int = 64
    queue: int = 134
    step_s: float = 0.00463
    step_per_slot_s: float = 0.000153
    read_tokens_per_s: float = 37_900.0
    pair_s: float = 0.248e-9
    first_s: float = 0.019
    stride: int = 3
    chunk: int = 1024
    memory_tokens: int = 529_229


class Job(NamedTuple):
    """A request as an engine sees it; a lower `rank` is admitted first.

    `parts` are those of its prompt that other requests share.
    """

    name: str
    rank: int
    prompt_tokens: int
    parts: tuple[PromptPart, ...]
    answer_tokens: int

    @property
    def own_tokens(self) -> int:
        """Prompt tokens outside the shared parts."""
        return self.prompt_tokens - sum(part.tokens for part in self.parts)


class EngineWatcher(Protocol):
    """Receives an engine's events."""

    def job_event(self, job: Job, now_s: float) -> None:
        """Handle an event of a job's answer."""

    def job_done(self, job: Job, now_s: float) -> None:
        """Handle the end of a complete answer."""


class _Run:
    """An admitted job and its progress."""

    def __init__(self, job: Job, unread: int) -> None:
        self.job = job
        self.unread = unread
        self.made = 0


class Engine:
    """An engine whose `step` is called at the times that it returns.

    Admitted prompts are read in order of admission, and the most urgent waiting job is admitted
    once a step has room for more prompt tokens. Memory holds the parts of cached prompts, least
    recently used first, and the answers of running jobs.
    """

    def __init__(self, facts: EngineFacts, watcher: EngineWatcher) -> None:
        self.facts = facts
        self.slowdown = 1.0
        self.read_tokens = 0
        self._watcher = watcher
        self._waiting: list[Job] = []
        self._runs: list[_Run] = []
        self._tokens_by_part_name: OrderedDict[str, int] = OrderedDict()
        self._reads: list[tuple[_Run, int]] = []
        self._stepping = False
        self._copy_from_by_name: dict[str, Engine] = {}

    @property
    def idle(self) -> bool:
        """Whether no step is under way."""
        return not self._stepping

    def accepts(self) -> bool:
        """Whether the queue has room for another job."""
        return len(self._waiting) < self.facts.queue

    def add(self, job: Job, copy_from: Engine | None = None) -> None:
        """Queue a job; when it is admitted, cached parts of its prompt are copied."""
        self._waiting.append(job)
        if copy_from is not None:
            self._copy_from_by_name[job.name] = copy_from

    def cancel(self, name: str) -> None:
        """Drop a job."""
        self._waiting = [job for job in self._waiting if job.name != name]
        self._runs = [run for run in self._runs if run.job.name != name]

    def crash(self) -> list[Job]:
        """Lose all jobs and the cache; return the lost jobs."""
        lost = [*self._waiting, *(run.job for run in self._runs)]
        self._waiting, self._runs, self._reads = [], [], []
        self._tokens_by_part_name.clear()
        return lost

    def begin_step(self) -> float | None:
        """Begin a step and return how long it takes; None if there is nothing to do."""
        budget = self.facts.chunk
        self._reads = []
        for run in self._runs:
            budget -= self._read(run, budget)
        while budget > 0 and self._waiting and len(self._runs) < self.facts.slots:
            admitted = self._admit()
            if admitted is None:
                break
            budget -= self._read(admitted, budget)
        self._stepping = bool(self._runs)
        if not self._runs:
            return None
        read_s = sum(self._read_s(run, tokens) for run, tokens in self._reads)
        step_s = self.facts.step_s + self.facts.step_per_slot_s * len(self._runs)
        return (step_s + read_s) * self.slowdown

    def end_step(self, now_s: float) -> None:
        """Produce a token of each job whose prompt is read."""
        reading = {run.job.name for run, _ in self._reads}
        for run, tokens in self._reads:
            run.unread -= tokens
            self.read_tokens += tokens
        for run in list(self._runs):
            if run.unread > 0 or run not in self._runs:
                continue
            run.made += 1
            first = run.job.name in reading
            if first:
                self._cache(run.job.parts)
            if run.made == 1 or run.made % self.facts.stride == 1:
                self._watcher.job_event(run.job, now_s + self.facts.first_s * (run.made == 1))
            if run.made >= run.job.answer_tokens:
                self._runs.remove(run)
                self._watcher.job_done(run.job, now_s + self.facts.first_s * (run.made == 1))

    def _read_s(self, run: _Run, tokens: int) -> float:
        before = run.job.prompt_tokens - run.unread
        return tokens * (1 / self.facts.read_tokens_per_s + self.facts.pair_s * before)

    def _read(self, run: _Run, budget: int) -> int:
        tokens = min(run.unread, budget)
        if tokens > 0:
            self._reads.append((run, tokens))
        return tokens

    def _admit(self) -> _Run | None:
        """Admit the most urgent job, the earliest among equals, if memory has room."""
        job = min(self._waiting, key=_rank)
        jobs = [*(run.job for run in self._runs), job]
        shared = {part.name: part.tokens for one in jobs for part in one.parts}
        own = sum(one.own_tokens + one.answer_tokens for one in jobs)
        if self._runs and own + sum(shared.values()) > self.facts.memory_tokens:
            return None
        self._waiting.remove(job)
        source = self._copy_from_by_name.pop(job.name, self)
        held = max(self._held_tokens(job), source._held_tokens(job))
        run = _Run(job, max(1, job.prompt_tokens - held))
        self._runs.append(run)
        return run

    def _held_tokens(self, job: Job) -> int:
        tokens = 0
        for part in job.parts:
            if part.name not in self._tokens_by_part_name:
                break
            self._tokens_by_part_name.move_to_end(part.name)
            tokens += part.tokens
        return tokens

    def _cache(self, parts: tuple[PromptPart, ...]) -> None:
        for part in parts:
            self._tokens_by_part_name[part.name] = part.tokens
            self._tokens_by_part_name.move_to_end(part.name)
        while sum(self._tokens_by_part_name.values()) > self.facts.memory_tokens:
            self._tokens_by_part_name.popitem(last=False)


def _rank(job: Job) -> int:
    return job.rank


__all__ = ["Engine", "EngineFacts", "EngineWatcher", "Job"]
