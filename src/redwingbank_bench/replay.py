"""Replays load patterns against the routing decisions alone, on a simulated clock.

Every host decides with what it knows of the others' requests, which arrives late as in a fleet.
The same pattern, arm and seed give the same figures.
"""

from __future__ import annotations

import heapq
from functools import partial
from itertools import count
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.codes import Code
from redwingbank.front.backends import Backends
from redwingbank.front.values import CallFacts, Pool, PromptPart, ServerEntry
from redwingbank.routing.choice import Chooser, RequestNeeds, as_in_flight
from redwingbank.routing.dispatch import Dispatcher, Refuse
from redwingbank.settings import Address
from redwingbank_bench.replay_engine import Engine, EngineFacts, Job
from redwingbank_bench.replay_load import HOSTS, PATTERNS, POOL, draw_arrivals

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.routing.choice import Choice
    from redwingbank_bench.replay_load import Arrival, Pattern, Trouble

DATA_CENTRE = "amman-a"
WINDOW_S = 2.0
WORST_WINDOWS = 2
# How late hosts learn of each other's sends, and of first events and ends.
SENT_DELAY_S = (0.004, 0.02)
PROGRESS_DELAY_S = (0.004, 0.25)
# Callers come back no later than this share of the time that they have left.
RETURN_SHARE = 1 / 3
SETTLE_S = 15.0


class Host(NamedTuple):
    """One host's decisions and its state of the servers.

    Without `copies` its servers read each prompt themselves; without `refuses` it sends every
    request to a server.
    """

    backends: Backends
    dispatcher: Dispatcher
    copies: bool = True
    refuses: bool = True


class Figures(NamedTuple):
    """Results of a replay, as shares of the requests or of their worth.

    `worst_seconds` is the worth in the two worst spans of two seconds, `reread` the shared
    prompt tokens that were read beyond once, per prompt token asked for.
    """

    worth: float
    worst_seconds: float
    worst_class: float
    worst_organisation: float
    late: float
    refused: float
    refused_twice: float
    failed: float
    waited_s: float
    reread: float


class _Call:
    """A caller's request over all its attempts."""

    def __init__(self, arrival: Arrival) -> None:
        self.arrival = arrival
        self.attempt = 0
        self.attempt_s = arrival.at_s
        self.engine: int | None = None
        self.choice: Choice | None = None
        self.first_s: float | None = None
        self.last_s = 0.0
        self.longest_pause_s = 0.0
        self.refusals = 0
        self.ended = False
        self.worth = 0.0
        self.failed = False

    @property
    def name(self) -> str:
        return f"{self.arrival.number}-{self.attempt}"


class Replay:
    """The simulation of a pattern with hosts that `build_host` makes from a seeded `Random`."""

    def __init__(self, pattern: Pattern, seed: int, build_host: Callable[[Random], Host]) -> None:
        self.now_s = 0.0
        self._pattern = pattern
        self._random = Random(f"links-{seed}")
        self._facts = EngineFacts()
        self._engines = [Engine(self._facts, self) for _ in range(pattern.engines)]
        self._entries: dict[int, ServerEntry] = {}
        self._hosts = [build_host(Random(f"host-{seed}-{host}")) for host in range(HOSTS)]
        self._calls = [_Call(arrival) for arrival in draw_arrivals(pattern, seed)]
        self._call_by_name: dict[str, _Call] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        for engine in range(pattern.engines):
            self._start_engine(engine)

    def run(self) -> Figures:
        """Run until all calls have ended."""
        for call in self._calls:
            self._schedule(call.arrival.at_s, partial(self._arrive, call))
        for trouble in self._pattern.troubles:
            self._schedule(trouble.from_s, partial(self._begin_trouble, trouble))
            self._schedule(trouble.to_s, partial(self._end_trouble, trouble))
        while self._events and self.now_s < self._pattern.seconds + SETTLE_S:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self._figures()

    def job_event(self, job: Job, now_s: float) -> None:
        """Record an event of an answer."""
        call = self._call_by_name.get(job.name)
        if call is None or call.ended:
            return
        if call.first_s is None:
            call.first_s = now_s
            self._report_first_event(call, now_s)
        else:
            pause_s = now_s - call.last_s
            call.longest_pause_s = max(call.longest_pause_s, pause_s)
            self._report_pause(call, pause_s, now_s)
        call.last_s = now_s

    def job_done(self, job: Job, now_s: float) -> None:
        """Record a complete answer."""
        call = self._call_by_name.get(job.name)
        if call is None or call.ended or call.first_s is None:
            return
        arrival, service_class = call.arrival, call.arrival.service_class
        if now_s <= arrival.at_s + service_class.deadline_s:
            in_time = (
                call.first_s - arrival.at_s <= service_class.target_s
                and call.longest_pause_s <= service_class.pause_s
            )
            call.worth = service_class.worth if in_time else service_class.late
        self._release(call)
        call.ended = True

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def _start_engine(self, engine: int) -> None:
        started_ms = int(self.now_s * 1000)
        self._entries[engine] = ServerEntry(
            name=f"engine-{engine}-{started_ms}",
            pool=POOL,
            address=Address("10.0.0.1", 1000 + engine),
            data_centre=DATA_CENTRE,
            slots=self._facts.slots,
            draining=False,
            started_ms=started_ms,
        )

    def _begin_trouble(self, trouble: Trouble) -> None:
        engine = self._engines[trouble.engine]
        if trouble.slowdown is not None:
            engine.slowdown = trouble.slowdown
            return
        del self._entries[trouble.engine]
        for job in engine.crash():
            call = self._call_by_name[job.name]
            if not call.ended:
                call.failed = call.ended = True
                self._release(call)

    def _end_trouble(self, trouble: Trouble) -> None:
        if trouble.slowdown is not None:
            self._engines[trouble.engine].slowdown = 1.0
        else:
            self._start_engine(trouble.engine)

    def _arrive(self, call: _Call) -> None:
        """Let a host decide on a call's next attempt."""
        arrival = call.arrival
        call.attempt += 1
        call.attempt_s = self.now_s
        host = self._hosts[(arrival.host + call.attempt - 1) % HOSTS]
        needs = self._needs(call)._replace(answer_begun=not host.refuses)
        copy_tokens_per_s = self._pattern.copy_tokens_per_s if host.copies else 0.0
        pool = Pool(POOL, self._facts.memory_tokens, copy_tokens_per_s)
        entries = list(self._entries.values())
        decision = host.dispatcher.decide(entries, pool, needs, (), self.now_s)
        if isinstance(decision, Refuse):
            self._refuse(call, decision)
            return
        choice = decision.choice
        engine = self._engine_number(choice.backend.entry)
        assert engine is not None
        if not self._engines[engine].accepts():
            self._refuse(call, Refuse(Code.BACKEND_REFUSED, 0.0))
            return
        call.engine, call.choice = engine, choice
        self._report_sent(call, needs)
        self._call_by_name[call.name] = call
        source = self._engine_number(choice.copy.source) if choice.copy else None
        copy_from = None if source is None else self._engines[source]
        self._engines[engine].add(_job(call, choice.rank), copy_from)
        self._step(engine)
        self._schedule(
            self.now_s + needs.route.patience_s, partial(self._check_patience, call, call.attempt)
        )

    def _engine_number(self, entry: ServerEntry) -> int | None:
        numbers = [number for number, known in self._entries.items() if known == entry]
        return numbers[0] if numbers else None

    def _needs(self, call: _Call) -> RequestNeeds:
        arrival = call.arrival
        route = arrival.service_class.route()
        left_s = arrival.at_s + route.timeout_s - self.now_s
        own = PromptPart(f"own-{arrival.number}", arrival.own_tokens)
        facts = CallFacts(
            request_id=call.name,
            host=route.host,
            key="",
            deadline_s=left_s,
            prompt_tokens=arrival.shared.tokens + arrival.own_tokens,
            answer_tokens=arrival.answer_tokens,
            parts=(arrival.shared, own),
            resume_after="",
            forwarded_headers=b"",
        )
        patience_s = min(left_s, route.patience_s)
        return RequestNeeds(
            facts,
            route,
            arrival.tier,
            route.target_s,
            patience_s,
            DATA_CENTRE,
            left_s=left_s,
        )

    def _refuse(self, call: _Call, refusal: Refuse) -> None:
        call.refusals += 1
        left_s = call.arrival.at_s + call.arrival.service_class.deadline_s - self.now_s
        if call.refusals > self._pattern.retries or left_s <= 0:
            call.ended = True
            return
        wait_s = min(max(refusal.retry_after_s, 0.05), left_s * RETURN_SHARE)
        self._schedule(self.now_s + wait_s, partial(self._arrive, call))

    def _check_patience(self, call: _Call, attempt: int) -> None:
        """Let the caller leave if no event has come for as long as it waits."""
        if call.ended or call.attempt != attempt or call.engine is None:
            return
        patience_s = call.arrival.service_class.route().patience_s
        last_s = call.last_s if call.first_s is not None else call.attempt_s
        deadline_s = call.arrival.at_s + call.arrival.service_class.deadline_s
        if self.now_s - last_s >= patience_s or self.now_s >= deadline_s:
            self._engines[call.engine].cancel(call.name)
            call.failed = call.ended = True
            self._release(call)
            return
        at_s = min(last_s + patience_s, deadline_s)
        self._schedule(max(at_s, self.now_s + 0.01), partial(self._check_patience, call, attempt))

    def _step(self, engine: int) -> None:
        if not self._engines[engine].idle:
            return
        step_s = self._engines[engine].begin_step()
        if step_s is not None:
            self._schedule(self.now_s + step_s, partial(self._end_step, engine))

    def _end_step(self, engine: int) -> None:
        self._engines[engine].end_step(self.now_s)
        step_s = self._engines[engine].begin_step()
        if step_s is not None:
            self._schedule(self.now_s + step_s, partial(self._end_step, engine))

    def _report_sent(self, call: _Call, needs: RequestNeeds) -> None:
        choice = call.choice
        assert choice is not None
        entry = choice.backend.entry
        in_flight = as_in_flight(choice, needs, self.now_s)
        parts = (call.arrival.shared,)
        key = ("replay", call.arrival.number)

        def record(host: Host) -> None:
            backend = host.backends.get_or_create(entry)
            backend.load.request_sent(key, in_flight, parts)

        self._tell(call, record, SENT_DELAY_S)

    def _report_first_event(self, call: _Call, now_s: float) -> None:
        assert call.choice is not None
        name = call.choice.backend.entry.name
        key, took_s = ("replay", call.arrival.number), now_s - call.attempt_s

        def record(host: Host) -> None:
            backend = host.backends.backends_by_name.get(name)
            if backend is not None:
                backend.load.first_event_received(key, took_s)
                backend.breaker.record_success("", call.attempt_s, now_s)

        self._tell(call, record, PROGRESS_DELAY_S)

    def _report_pause(self, call: _Call, pause_s: float, now_s: float) -> None:
        assert call.choice is not None
        host = self._hosts[(call.arrival.host + call.attempt - 1) % HOSTS]
        backend = host.backends.backends_by_name.get(call.choice.backend.entry.name)
        if backend is not None:
            backend.load.event_received(pause_s, now_s)

    def _release(self, call: _Call) -> None:
        if call.choice is None:
            return
        name, key = call.choice.backend.entry.name, ("replay", call.arrival.number)

        def record(host: Host) -> None:
            backend = host.backends.backends_by_name.get(name)
            if backend is not None:
                backend.load.request_ended(key)

        self._tell(call, record, PROGRESS_DELAY_S)

    def _tell(
        self, call: _Call, record: Callable[[Host], None], delay_s: tuple[float, float]
    ) -> None:
        """Record something at the call's host now, and at the others a little later."""
        own = (call.arrival.host + call.attempt - 1) % HOSTS
        record(self._hosts[own])
        for number, host in enumerate(self._hosts):
            if number != own:
                at_s = self.now_s + self._random.uniform(*delay_s)
                self._schedule(at_s, partial(record, host))

    def _figures(self) -> Figures:
        calls = self._calls
        owed = sum(call.arrival.service_class.worth for call in calls)
        waits = [call.first_s - call.arrival.at_s for call in calls if call.first_s is not None]
        windows = _shares([(int(call.arrival.at_s / WINDOW_S), call) for call in calls])
        classes = _shares([(call.arrival.service_class.name, call) for call in calls])
        organisations = _shares([(call.arrival.organisation, call) for call in calls])
        asked = sum(call.arrival.shared.tokens + call.arrival.own_tokens for call in calls)
        own = sum(call.arrival.own_tokens for call in calls)
        shared = {call.arrival.shared for call in calls}
        needed = own + sum(part.tokens for part in shared)
        read = sum(engine.read_tokens for engine in self._engines)
        late = [call for call in calls if 0 < call.worth < call.arrival.service_class.worth]
        return Figures(
            worth=sum(call.worth for call in calls) / owed,
            worst_seconds=sum(sorted(windows)[:WORST_WINDOWS]) / WORST_WINDOWS,
            worst_class=min(classes),
            worst_organisation=min(organisations),
            late=len(late) / len(calls),
            refused=sum(call.refusals > 0 for call in calls) / len(calls),
            refused_twice=sum(call.refusals > 1 for call in calls) / len(calls),
            failed=sum(call.failed for call in calls) / len(calls),
            waited_s=sum(waits) / max(1, len(waits)),
            reread=max(0.0, (read - needed) / asked),
        )


def _shares(keyed: list[tuple[object, _Call]]) -> list[float]:
    """Return the share of the owed worth that the calls of each key got."""
    owed: dict[object, float] = {}
    got: dict[object, float] = {}
    for key, call in keyed:
        owed[key] = owed.get(key, 0.0) + call.arrival.service_class.worth
        got[key] = got.get(key, 0.0) + call.worth
    return [got[key] / owed[key] for key in owed]


def _job(call: _Call, rank: int) -> Job:
    arrival = call.arrival
    prompt_tokens = arrival.shared.tokens + arrival.own_tokens
    return Job(call.name, rank, prompt_tokens, (arrival.shared,), arrival.answer_tokens)


def build_host(random: Random) -> Host:
    """Build a host that decides as the router does."""
    backends = Backends(random)
    return Host(backends, Dispatcher(Chooser(backends, random)))


def replay(name: str, seed: int, build: Callable[[Random], Host] = build_host) -> Figures:
    """Replay a pattern by its name."""
    return Replay(PATTERNS[name], seed, build).run()


__all__ = ["Figures", "Host", "Replay", "build_host", "replay"]
