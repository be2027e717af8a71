"""What a stand-in engine has done: counters, runs by request, and its journal."""

from __future__ import annotations

import time
from collections import Counter, OrderedDict
from typing import Any, NamedTuple

from redwingbank_standins.journal import Journal

RUNS_KEPT = 200_000
COUNTERS = (
    "started",
    "finished",
    "cancelled",
    "prompt_tokens",
    "prompt_tokens_cached",
    "output_tokens",
    "started_draining",
)


class Run(NamedTuple):
    """How often a request was started here, and when last (monotonic seconds)."""

    times: int
    started_s: float


class Output(NamedTuple):
    """Tokens given so far in one run of a request."""

    tag: str
    tokens: int


class EngineStatistics:
    """Counts work as it happens; the journal gets a run's output when it ends."""

    def __init__(self, journal: str) -> None:
        self.counters: Counter[str] = Counter()
        self._journal = Journal(journal)
        self._runs: OrderedDict[str, Run] = OrderedDict()
        self._output_by_request: dict[str, Output] = {}

    def started(self, request_id: str, tag: str, *, draining: bool) -> None:
        """Count a request that has got its slot."""
        self.counters["started"] += 1
        self.counters["started_draining"] += draining
        self._journal.note("start", id=request_id, tag=tag, draining=draining)
        for name in {request_id, f"tag:{tag}"} - {"tag:"}:
            times = self._runs[name].times if name in self._runs else 0
            self._runs[name] = Run(times + 1, time.monotonic())
        while len(self._runs) > RUNS_KEPT:
            self._runs.popitem(last=False)

    def read(self, request_id: str, tag: str, tokens: int, cached: int) -> None:
        """Count the prompt tokens a run reads and those it finds cached."""
        self.counters["prompt_tokens"] += tokens
        self.counters["prompt_tokens_cached"] += cached
        self._journal.note("read", id=request_id, tag=tag, read=tokens, cached=cached)

    def given(self, request_id: str, tag: str, tokens: int) -> None:
        """Count one more token; `tokens` is all of this run so far."""
        self.counters["output_tokens"] += 1
        self._output_by_request[request_id] = Output(tag, tokens)

    def ended(self, request_id: str) -> None:
        """Journal a run's output."""
        output = self._output_by_request.pop(request_id, None)
        if output is not None:
            self._journal.note("output", id=request_id, tag=output.tag, tokens=output.tokens)

    def crashed(self) -> None:
        """Journal the output of all that runs."""
        for request_id in list(self._output_by_request):
            self.ended(request_id)

    def document(self, *, with_runs: bool) -> dict[str, Any]:
        """Give the counters, and the runs by request where wanted, as plain data."""
        runs = {name: run._asdict() for name, run in self._runs.items()} if with_runs else {}
        return {**dict.fromkeys(COUNTERS, 0), **self.counters, "runs": runs}


__all__ = ["EngineStatistics"]
