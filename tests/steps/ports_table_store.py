"""Steps of ports/table_store.feature."""

from __future__ import annotations

import itertools

import anyio
from behave import given, then, when

from memory_platform import MemoryPlatform, Shared, interleave, random_faults
from redwingbank.ports import table_pruning, table_store
from redwingbank.ports.platform import Absent, Conflict, Stored, Unknown
from redwingbank.rules import pages
from redwingbank.rules.merge import CellName, flatten_cells
from table_samples import sample_sheets, with_cell

MEGABYTE = 1_000_000
OPERATORS = 3
table_store.RETRY_PAUSE_S = 0.0


def type_name(answer):
    return type(answer).__name__


def explicit_cells(cell_path, value):
    return () if value == "-" else (CellName(*cell_path.split("/")),)


async def change(platform, cell_path, value, nonce, base=None, select_explicit=explicit_cells):
    """Load the table, change one cell and publish, as the operator's command does."""
    base = base or await table_store.load_table(platform)
    if not isinstance(base, table_store.LoadedTable):
        return base
    edited = with_cell(base.sheets, cell_path, value)
    cells = select_explicit(cell_path, value)
    return await table_store.publish(platform, base, edited, "operator", nonce, cells)


async def create_first_table(organisations=3):
    platform = MemoryPlatform()
    absent = await table_store.load_table(platform)
    outcome = await table_store.publish(
        platform, absent, sample_sheets(organisations), "a", "first"
    )
    assert outcome == table_store.Accepted(1)
    return platform


def holds_value(platform, cell_path, value):
    sheet, row, _ = cell_path.split("/")
    if value == "-":
        loaded = anyio.run(table_store.load_table, MemoryPlatform(platform.shared))
        return row not in loaded.sheets[sheet]
    return stored_cell(platform, cell_path)[0] == value


def stored_cell(platform, cell_path):
    async def body():
        loaded = await table_store.load_table(MemoryPlatform(platform.shared))
        sheet, row, column = cell_path.split("/")
        return loaded.sheets[sheet].get(row, {}).get(column), loaded.head.revision

    return anyio.run(body)


@given("a table store")
@given("a table store of {organisations:d} organisations")
def a_table_store(context, organisations=3):
    context.store = anyio.run(create_first_table, organisations)
    context.set = []
    context.answers = []


@when('the table store\'s writes to {prefix} fail with "{fault}" {times:d} times')
def writes_fail(context, prefix, fault, times):
    left = itertools.repeat(fault, times)

    def plan(kind, key):
        return next(left, None) if kind == "write" and key.startswith(prefix) else None

    context.store.fault = plan


@when('the table store\'s operator sets {cell_path} to "{value}"')
def operator_sets(context, cell_path, value):
    context.store.shared.calls.clear()
    context.answers = [anyio.run(change, context.store, cell_path, value, "nonce-1")]
    context.set = [(cell_path, value)]


@when('the table store\'s operators set {mine} to "{one}" and {theirs} to "{two}"')
def operators_set(context, mine, one, theirs, two):
    async def body():
        base = await table_store.load_table(context.store)
        first = await change(context.store, mine, one, "nonce-1", base)
        return [first, await change(context.store, theirs, two, "nonce-2", base)]

    context.answers = anyio.run(body)
    context.set = [(mine, one), (theirs, two)]


@then("the table store's answer is {answer}")
@then("the table store's answers are {answer}")
def answers_are(context, answer):
    assert ", ".join(map(type_name, context.answers)) == answer, context.answers


@then("the table store answered truthfully")
def answers_are_true(context):
    """Check, after all late writes, that accepted changes are stored and rejected ones are not."""
    context.store.shared.apply_late()
    for (cell_path, value), answer in zip(context.set, context.answers, strict=True):
        held = holds_value(context.store, cell_path, value)
        if isinstance(answer, table_store.Accepted):
            assert held, (cell_path, answer)
        if isinstance(answer, table_store.Rejected):
            assert not held, (cell_path, answer)


@then('the table store holds "{value}" in {cell_path} at revision {revision:d}')
def holds(context, value, cell_path, revision):
    assert stored_cell(context.store, cell_path) == (value, revision)


@then("the table store's history is {revisions}")
def history_is(context, revisions):
    heads = anyio.run(table_store.load_history, context.store)
    assert ", ".join(str(head.revision) for head in heads) == revisions


@when("the table store's head of revision {revision:d} is corrupt")
def corrupt_head(context, revision):
    async def corrupt():
        key = pages.history_name(revision)
        stored = await context.store.read(key)
        await context.store.update(key, b"corrupt", stored.version)

    anyio.run(corrupt)


@then("the table store has no revision {revision:d} and finds nothing to prune")
def no_revision(context, revision):
    async def read():
        assert isinstance(await table_store.load_revision(context.store, revision), Absent)
        loaded = await table_store.load_table(context.store)
        assert await table_pruning.find_unused(context.store, loaded.head) == ()

    anyio.run(read)


@then("the table store still loads revision {revision:d}")
def loads_revision(context, revision):
    loaded = anyio.run(table_store.load_revision, context.store, revision)
    assert loaded.head.revision == revision
    assert loaded.table().classes_by_name["memo"].tier == 3


@when("the table store gets {count:d} changes")
def gets_changes(context, count):
    async def body():
        for number in range(count):
            cell_path = f"organisations/organisation-{number % 3}/concurrency"
            answer = await change(context.store, cell_path, str(number), f"nonce-{number}")
            assert isinstance(answer, table_store.Accepted)

    anyio.run(body)


@then("the table store keeps {count:d} revisions, each complete")
def keeps(context, count):
    async def body():
        heads = await table_store.load_history(context.store)
        assert len(heads) == count, len(heads)
        for head in heads:
            loaded = await table_store.load_revision(context.store, head.revision)
            assert loaded.head == head
        return {name for head in heads for name in head.root.names()}

    context.needed = anyio.run(body)


@then("the table store holds few pages that none of them references")
def no_garbage(context):
    present = set(context.store.shared.objects.keys(pages.PAGE_PREFIX))
    assert len(present - context.needed) <= table_pruning.PRUNE_EVERY_REVISIONS
    assert context.needed <= present


@when('the table store returns a stale "{value}" for {cell_path} and the operator sets that value')
def set_on_stale(context, value, cell_path):
    async def body():
        await change(context.store, cell_path, value, "old")
        base = await table_store.load_table(context.store)
        await change(context.store, cell_path, "6", "new")
        return [
            await change(context.store, cell_path, value, "mine", base, context.select_explicit)
        ]

    context.select_explicit = getattr(context, "select_explicit", explicit_cells)
    context.answers = anyio.run(body)
    context.set = [(cell_path, value)]


@given("a table store that merges only cells that differ")
def merges_differences(context):
    a_table_store(context)
    context.select_explicit = lambda cell_path, value: ()


@then("the table store accepts but loses the change")
def accepted_falsely(context):
    assert type_name(context.answers[0]) == "Accepted"
    assert not holds_value(context.store, *context.set[0])


class UnconditionalWrites(MemoryPlatform):
    """Variant with unconditional writes: the last writer wins."""

    async def _write(self, kind, key, value, version):
        entry = self.shared.objects.get(key)
        seen = entry.version if entry.value is not None else None
        answer = await super()._write(kind, key, value, seen)
        return (
            await self._write(kind, key, value, None) if isinstance(answer, Conflict) else answer
        )


class AssumesSuccess(MemoryPlatform):
    """Variant that reports an unconfirmed write as successful."""

    async def _write(self, kind, key, value, version):
        answer = await super()._write(kind, key, value, version)
        return Stored(key, version or 0, value) if isinstance(answer, Unknown) else answer


class AssumesConflict(MemoryPlatform):
    """Variant that treats an unknown outcome of a head write as a conflict."""

    async def _write(self, kind, key, value, version):
        answer = await super()._write(kind, key, value, version)
        unknown = isinstance(answer, Unknown) and key == pages.HEAD_KEY
        return Conflict(key, 0) if unknown else answer


class SkipsRewrites(MemoryPlatform):
    """Variant that doesn't rewrite existing pages, so that their versions don't change."""

    async def update(self, key, value, version):
        if key.startswith(pages.PAGE_PREFIX):
            return Stored(key, version, value)
        return await super().update(key, value, version)


VARIANTS = {
    "conditional writes": UnconditionalWrites,
    "confirmation before acceptance": AssumesSuccess,
    "read-back of unknown outcomes": AssumesConflict,
    "rewriting of existing pages": SkipsRewrites,
}


async def run_once(seed, share, kind=MemoryPlatform):
    """Interleave operators that each change their own cell repeatedly, also back to old values."""
    shared = Shared()
    absent = await table_store.load_table(MemoryPlatform(shared))
    await table_store.publish(MemoryPlatform(shared), absent, sample_sheets(), "a", "first")
    answers = {}

    def operator(number):
        platform = kind(shared, random_faults(seed * 31 + number, share), turns=True)

        async def work():
            for turn, value in enumerate(("1", "2", "1", "2")):
                cell_path = f"organisations/organisation-{number}/weight"
                nonce = f"{number}-{turn}"
                answers[nonce] = (
                    cell_path,
                    value,
                    await change(platform, cell_path, value, nonce),
                )

        return work

    operators = {number: operator(number) for number in range(OPERATORS)}
    await interleave(shared, operators, seed)
    await check_guarantees(shared, answers)


async def check_guarantees(shared, answers):
    """Raise if an answer was false or a kept revision is incomplete."""
    platform = MemoryPlatform(shared)
    heads = await table_store.load_history(platform)
    oldest = heads[-1].revision
    assert [head.revision for head in heads] == list(range(heads[0].revision, oldest - 1, -1))
    assert table_store.PRUNE_EVERY_REVISIONS == 1 or oldest == 1
    nonces = {head.nonce: head for head in heads}
    assert len(nonces) == len(heads), "a change was written twice"
    for nonce, (cell_path, value, answer) in answers.items():
        if isinstance(answer, table_store.Accepted) and answer.revision >= oldest:
            assert nonces[nonce].revision == answer.revision, (nonce, answer)
            loaded = await table_store.load_revision(platform, answer.revision)
            sheet, row, column = cell_path.split("/")
            assert loaded.sheets[sheet][row][column] == value
        if isinstance(answer, table_store.Rejected):
            assert nonce not in nonces, (nonce, answer)
    for number in range(OPERATORS):
        await check_last(platform, answers, nonces, number)


async def check_last(platform, answers, nonces, number):
    """Check that the cell in force has the value of the operator's last change in the history."""
    own_changes = [
        answers[f"{number}-{turn}"] for turn in range(4) if f"{number}-{turn}" in nonces
    ]
    if own_changes:
        loaded = await table_store.load_table(platform)
        cell_path, value, _ = own_changes[-1]
        assert flatten_cells(loaded.sheets)[tuple(cell_path.split("/"))] == value


def first_violation(seed, runs, share, kind=MemoryPlatform):
    """Return the first seed whose run violates a guarantee."""
    for number in range(seed, seed + runs):
        try:
            anyio.run(run_once, number, share, kind)
        except (AssertionError, KeyError, AttributeError):
            return number
    return None


@given("a table store that prunes at every change")
def prunes_always(context):
    context.add_cleanup(
        set_pruning, table_store.PRUNE_EVERY_REVISIONS, table_pruning.KEPT_REVISIONS
    )
    set_pruning(1, 2)


def set_pruning(every, kept):
    table_store.PRUNE_EVERY_REVISIONS = every
    table_pruning.KEPT_REVISIONS = table_store.KEPT_REVISIONS = kept


@then(
    "the table store keeps every guarantee in {runs:d} interleaved runs from seed {seed:d} "
    "with faults in {share:f} of the calls"
)
def keeps_guarantees(context, runs, seed, share):
    assert first_violation(seed, runs, share) is None, first_violation(seed, runs, share)


@then(
    "the table store without {mechanism} violates a guarantee within {runs:d} interleaved runs "
    "from seed {seed:d}"
)
def violates_guarantee(context, mechanism, runs, seed):
    assert first_violation(seed, runs, 0.15, VARIANTS[mechanism]) is not None


@then("the table store's values are under a megabyte and the change took {most:d} writes at most")
def sizes(context, most):
    assert context.store.shared.largest < MEGABYTE
    assert context.store.shared.calls["write"] <= most, context.store.shared.calls


async def prune_during_rewrite(kind):
    """One operator prunes; another rewrites an old page between its listing and its deletion."""
    shared = Shared()
    platform = kind(shared)
    await table_store.publish(
        platform, await table_store.load_table(platform), sample_sheets(), "a", "first"
    )
    sheets = with_cell(sample_sheets(), "organisations/organisation-0/weight", "5")
    base = await table_store.load_table(platform)
    packed = pages.pack(
        table_store.table_to_sheets(table_store.parse_table(sheets, 0)), base.head.root
    )
    (name,) = pages.missing_pages(packed.root, base.pages_by_name)
    await platform.create(pages.history_name(1), base.value)
    await platform.create(name, packed.values_by_name[name])
    old = await table_pruning.find_unused(platform, base.head._replace(revision=2))
    assert [item.key for item in old] == [name]
    answer = await table_store.publish(platform, base, sheets, "b", "second")
    assert isinstance(answer, table_store.Accepted)
    await table_pruning.delete_unused(platform, old)
    return await table_store.load_table(platform)


@then("the table store keeps a page that another operator rewrites during pruning")
def keeps_page(context):
    assert type_name(anyio.run(prune_during_rewrite, MemoryPlatform)) == "LoadedTable"


@then("the table store without rewriting of existing pages loses it")
def loses_page(context):
    assert type_name(anyio.run(prune_during_rewrite, SkipsRewrites)) == "Unknown"
