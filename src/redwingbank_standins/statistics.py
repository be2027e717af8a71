"""Counters, runs per request and the journal of a stand-in engine."""

from __future__ import annotations

import time
from collections import Counter, OrderedDict
from typing import Any, NamedTuple

from redwingbank_standins.journal import Journal

MAX_RUNS = 200_000
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
    """Number of starts of a request and the time of the last one in monotonic seconds."""

    times: int
    started_s: float


class Output(NamedTuple):
    """Tokens generated so far in one run of a request."""

    tag: str
    tokens: int


class EngineStatistics:
    """Counts work while it is done; a run's output is written to the journal when it ends."""

    def __init__(self, journal: str) -> None:
        self.counters: Counter[str] = Counter()
        self._journal = Journal(journal)
        self._runs: OrderedDict[str, Run] = OrderedDict()
        self._output_by_request: dict[str, Output] = {}

    def record_start(self, request_id: str, tag: str, *, draining: bool) -> None:
        """Count a request that has been given a slot."""
        self.counters["started"] += 1
        self.counters["started_draining"] += draining
        self._journal.append("start", id=request_id, tag=tag, draining=draining)
        for name in {request_id, f"tag:{tag}"} - {"tag:"}:
            times = self._runs[name].times if name in self._runs else 0
            self._runs[name] = Run(times + 1, time.monotonic())
        while len(self._runs) > MAX_RUNS:
            self._runs.popitem(last=False)

    def record_prefill(self, request_id: str, tag: str, tokens: int, cached: int) -> None:
        """Count the prompt tokens that a run computes and those found in the cache."""
        self.counters["prompt_tokens"] += tokens
        self.counters["prompt_tokens_cached"] += cached
        self._journal.append("read", id=request_id, tag=tag, read=tokens, cached=cached)

    def record_token(self, request_id: str, tag: str, tokens: int) -> None:
        """Count one output token; `tokens` is the run's total so far."""
        self.counters["output_tokens"] += 1
        self._output_by_request[request_id] = Output(tag, tokens)

    def journal_output(self, request_id: str) -> None:
        """Write a run's output to the journal."""
        output = self._output_by_request.pop(request_id, None)
        if output is not None:
            self._journal.append("output", id=request_id, tag=output.tag, tokens=output.tokens)

    def journal_all_outputs(self) -> None:
        """Write the output of every unfinished run to the journal, before a crash."""
        for request_id in list(self._output_by_request):
            self.journal_output(request_id)

    def snapshot(self, *, with_runs: bool) -> dict[str, Any]:
        """Return the counters as plain data, with the runs per request if `with_runs` is set."""
        runs = {name: run._asdict() for name, run in self._runs.items()} if with_runs else {}
        return {**dict.fromkeys(COUNTERS, 0), **self.counters, "runs": runs}


__all__ = ["EngineStatistics"]
