"""Checks the router's guarantees using only callers' records and backend servers' journals."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any, NamedTuple

from redwingbank.codes import Code, Ran
from redwingbank_bench.sheets import MODEL
from redwingbank_standins.answers import expected_answer

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from redwingbank_bench.load import Record

LOAD_REFUSAL_CODES = {int(Code.SHED), int(Code.TARGET_UNREACHABLE), int(Code.WAIT_EXPIRED)}
INVERSION_TOLERANCE = 2


class Violations(NamedTuple):
    """The number of violations of each guarantee; all are 0 in a correct run.

    `wrong_answer`: a complete answer that differs from the one expected for the request.
    `wrong_part`: an incomplete stream whose tokens are not a prefix of the expected answer.
    `ran_though_not_run`: answered with `ran=no`, although a backend server had started it.
    `ran_twice`: a call with an idempotency key that took effect more than once.
    `unanswered`: the connection ended with neither a complete answer nor an error.
    `shed_for_lower`: refused for load while lower tiers started beyond their minimum.
    """

    wrong_answer: int
    wrong_part: int
    ran_though_not_run: int
    ran_twice: int
    unanswered: int
    shed_for_lower: int

    @property
    def total(self) -> int:
        """The sum of all violations."""
        return sum(self)


class Waste(NamedTuple):
    """Tokens that engines processed, and those that no complete correct answer needed."""

    prompt: int
    prompt_wasted: int
    output: int
    output_wasted: int

    @property
    def share(self) -> float:
        """The share of wasted tokens in all prompt and output tokens."""
        return (self.prompt_wasted + self.output_wasted) / max(1, self.prompt + self.output)


def recompute_answer(record: Record) -> tuple[str, ...]:
    """Recompute the complete correct answer of a completion."""
    arrival = record.arrival
    return tuple(expected_answer(MODEL, arrival.messages, arrival.class_.max_tokens))


def is_correct(record: Record) -> bool:
    """Return whether a caller received the complete correct answer to its request."""
    return record.whole and (bool(record.arrival.key) or record.tokens == recompute_answer(record))


def count_violations(
    records: Sequence[Record], journals: Mapping[str, Sequence[Mapping[str, Any]]]
) -> Violations:
    """Count the violations of each guarantee."""
    chats = [record for record in records if not record.arrival.key]
    calls = [record for record in records if record.arrival.key]
    starts = [
        event for events in journals.values() for event in events if event["event"] == "start"
    ]
    ids_by_tag: dict[str, set[str]] = defaultdict(set)
    for event in starts:
        ids_by_tag[event["tag"]].add(event["id"])
    sent = Counter(record.arrival.tag for record in records)
    effects = Counter(
        event["key"]
        for events in journals.values()
        for event in events
        if event["event"] == "effect"
    )
    not_run = [record for record in records if record.ran == Ran.NO.value]
    started_anyway = sum(_was_started(record, ids_by_tag, effects, sent) for record in not_run)
    return Violations(
        wrong_answer=sum(record.whole and not is_correct(record) for record in chats),
        wrong_part=sum(not record.whole and not _is_prefix(record) for record in chats),
        ran_though_not_run=started_anyway,
        ran_twice=sum(effects[key] > 1 for key in {record.arrival.key for record in calls}),
        unanswered=sum(not record.whole and not record.code for record in records),
        shed_for_lower=sum(_shed_for_lower(chats, starts)),
    )


def _was_started(
    record: Record,
    ids_by_tag: Mapping[str, set[str]],
    effects: Mapping[str, int],
    sent: Mapping[str, int],
) -> bool:
    """Return whether a backend server ran a request that was answered with `ran=no`.

    If a tag was sent several times, only a start under this request's id counts.
    """
    arrival = record.arrival
    ids = ids_by_tag.get(arrival.tag, set())
    if arrival.key:
        return effects.get(arrival.key, 0) > 0
    return bool(ids) if sent[arrival.tag] == 1 else record.request_id in ids


def _is_prefix(record: Record) -> bool:
    return not record.tokens or record.tokens == recompute_answer(record)[: len(record.tokens)]


def _shed_for_lower(
    records: Sequence[Record], starts: Iterable[Mapping[str, Any]]
) -> Iterable[bool]:
    """Yield for each refusal for load whether lower tiers took slots it could have used.

    Between its arrival and its refusal, lower tiers may start no more than the sum of all
    classes' minimum shares, plus a tolerance for requests granted before it arrived.
    """
    class_by_tag = {record.arrival.tag: record.arrival.class_ for record in records}
    minimum = sum({row.name: row.minimum for row in class_by_tag.values()}.values())
    times = sorted(
        (event["at_s"], class_by_tag[event["tag"]].tier)
        for event in starts
        if event["tag"] in class_by_tag
    )
    for record in records:
        if record.code not in LOAD_REFUSAL_CODES:
            continue
        tiers = [tier for at_s, tier in times if record.sent_s <= at_s <= record.ended_s]
        lower = sum(tier > record.arrival.class_.tier for tier in tiers)
        yield lower > minimum * len(tiers) + INVERSION_TOLERANCE


def count_wrong_refusals(records: Sequence[Record]) -> int:
    """Count requests refused as unreachable although a later one of the class was served.

    A refusal is wrong if a later request of the same class had its first token before the
    give-up time of the refused request.
    """
    served: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for record in records:
        if record.whole and record.first_s:
            served[record.arrival.class_.name].append((record.sent_s, record.first_s))
    return sum(
        any(
            sent_s > record.sent_s and first_s < record.sent_s + record.arrival.class_.give_up_s
            for sent_s, first_s in served[record.arrival.class_.name]
        )
        for record in records
        if record.code == int(Code.TARGET_UNREACHABLE)
    )


def measure_waste(
    records: Sequence[Record], journals: Mapping[str, Sequence[Mapping[str, Any]]]
) -> Waste:
    """Compare the tokens that engines processed with those that correct answers needed."""
    reads: dict[str, list[int]] = defaultdict(list)
    output: Counter[str] = Counter()
    for events in journals.values():
        for event in events:
            if event["event"] == "read":
                reads[event["tag"]].append(event["read"])
            elif event["event"] == "output":
                output[event["tag"]] += event["tokens"]
    correct_by_tag = {record.arrival.tag: record for record in records if is_correct(record)}
    needed_prompt = sum(min(reads[tag]) for tag in correct_by_tag if reads[tag])
    needed_output = sum(
        min(len(record.tokens), output[tag]) for tag, record in correct_by_tag.items()
    )
    prompt = sum(sum(values) for values in reads.values())
    output_total = sum(output.values())
    return Waste(prompt, prompt - needed_prompt, output_total, output_total - needed_output)


__all__ = [
    "Violations",
    "Waste",
    "count_violations",
    "count_wrong_refusals",
    "is_correct",
    "measure_waste",
    "recompute_answer",
]
