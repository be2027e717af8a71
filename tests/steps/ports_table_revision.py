"""Steps of ports/table_revision.feature."""

from __future__ import annotations

import asyncio

import anyio
from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from machines import finds_fault, run_machine
from memory_platform import MemoryPlatform, Shared
from redwingbank.ports import table_store
from redwingbank.ports.platform import Stored, Unknown
from redwingbank.rules import pages
from redwingbank.rules.merge import CellName, diff, flatten_cells, merge
from table_samples import sample_sheets, with_cell

table_store.RETRY_PAUSE_S = 0.0
SETTLE_TICKS = 6
OPERATORS = st.integers(0, 1)
FAULTS = st.sampled_from((None, None, None, "stale", "lost answer", "lost before", "late", "down"))
CELLS = ("organisations/organisation-0/weight", "organisations/organisation-1/weight")
EXAMPLES, STEPS = 120, 50
PROPERTY = settings(derandomize=True, max_examples=300, deadline=None, database=None)


class Stepped(MemoryPlatform):
    """A client whose calls wait until the machine lets them proceed, optionally with a fault."""

    def __init__(self, shared):
        super().__init__(shared)
        self.turn = None
        self.next_fault = None

    async def _start(self, kind, key):
        self.turn = anyio.Event()
        await self.turn.wait()
        self.turn = None
        fault = self.next_fault
        reads = kind in ("read", "list")
        return fault if reads == (fault in ("stale", "down")) else None


class Revisions(RuleBasedStateMachine):
    """Two operators change cells of one table, interleaved call by call."""

    platform_type = Stepped

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.shared = Shared()
        self.runner.run(self.publish_first())
        self.platforms = {}
        self.tasks = {}
        self.answers = {}
        self.highest = (1, self.shared.objects.get(pages.HEAD_KEY).version)
        self.count = 0

    async def publish_first(self):
        platform = MemoryPlatform(self.shared)
        absent = await table_store.load_table(platform)
        await table_store.publish(platform, absent, sample_sheets(), "a", "first")

    async def settle(self):
        for _ in range(SETTLE_TICKS):
            await asyncio.sleep(0)

    @rule(operator=OPERATORS, cell=st.sampled_from(CELLS), value=st.sampled_from("123"))
    def start(self, operator, cell, value):
        if operator in self.tasks:
            return
        self.count += 1
        platform = self.platform_type(self.shared)
        self.platforms[operator] = platform
        work = self.change(platform, cell, value, f"nonce-{self.count}")
        self.tasks[operator] = self.runner.get_loop().create_task(work)
        self.runner.run(self.settle())

    async def change(self, platform, cell_path, value, nonce):
        base = await table_store.load_table(platform)
        if isinstance(base, table_store.LoadedTable):
            edited = with_cell(base.sheets, cell_path, value)
            explicit_cells = (CellName(*cell_path.split("/")),)
            answer = await table_store.publish(platform, base, edited, "o", nonce, explicit_cells)
            self.answers[nonce] = (cell_path, value, answer)

    @precondition(lambda self: self.tasks)
    @rule(operator=OPERATORS, faults=st.lists(FAULTS, min_size=1, max_size=6))
    def proceed(self, operator, faults):
        """Let the operator's next few calls proceed."""
        if operator not in self.tasks:
            return
        for fault in faults:
            platform = self.platforms[operator]
            if platform.turn is not None:
                platform.next_fault = fault
                platform.turn.set()
                self.runner.run(self.settle())
        if self.tasks[operator].done():
            self.tasks.pop(operator).result()

    @precondition(lambda self: self.tasks)
    @rule(operator=OPERATORS)
    def kill(self, operator):
        if operator in self.tasks:
            self.tasks.pop(operator).cancel()
            self.runner.run(self.settle())

    @precondition(lambda self: self.shared.late)
    @rule()
    def late_write(self):
        self.shared.objects.write(*self.shared.late.pop(0))

    @invariant()
    def only_increases(self):
        entry = self.shared.objects.get(pages.HEAD_KEY)
        found = (pages.decode_head(entry.value).revision, entry.version)
        assert found == self.highest or (
            found[0] == self.highest[0] + 1 and found[1] > self.highest[1]
        )
        self.highest = found

    def teardown(self):
        for task in self.tasks.values():
            task.cancel()
        self.runner.run(self.settle())
        try:
            self.runner.run(self.check_answers())
        finally:
            self.runner.close()

    async def check_answers(self):
        platform = MemoryPlatform(self.shared)
        heads = {head.nonce: head for head in await table_store.load_history(platform)}
        for nonce, (cell_path, value, answer) in self.answers.items():
            if isinstance(answer, table_store.Accepted):
                assert heads[nonce].revision == answer.revision
                loaded = await table_store.load_revision(platform, answer.revision)
                assert flatten_cells(loaded.sheets)[CellName(*cell_path.split("/"))] == value
            elif isinstance(answer, table_store.Rejected):
                assert nonce not in heads


class SteppedUnconditional(Stepped):
    """Variant whose writes are unconditional."""

    async def _write(self, kind, key, value, version):
        entry = self.shared.objects.get(key)
        seen = entry.version if entry.value is not None else None
        return await super()._write(kind, key, value, seen)


class SteppedAssumingSuccess(Stepped):
    """Variant that treats a lost answer as a successful write."""

    async def _write(self, kind, key, value, version):
        answer = await super()._write(kind, key, value, version)
        return Stored(key, 0, value) if isinstance(answer, Unknown) else answer


class RevisionsUnconditional(Revisions):
    platform_type = SteppedUnconditional


class RevisionsAssumingSuccess(Revisions):
    platform_type = SteppedAssumingSuccess


@then("the revision state machine finds no violation")
def no_violation(context):
    run_machine(Revisions, EXAMPLES, STEPS)


@then("the revision state machine finds a violation if writes are unconditional")
def violation_unconditional(context):
    assert finds_fault(RevisionsUnconditional, EXAMPLES, STEPS)


@then("the revision state machine finds a violation if a lost answer counts as success")
def violation_assumed_success(context):
    assert finds_fault(RevisionsAssumingSuccess, EXAMPLES, STEPS)


ROWS = st.dictionaries(
    st.sampled_from("rs"), st.fixed_dictionaries({"x": st.sampled_from("12")}), max_size=2
)
SHEETS = st.fixed_dictionaries({"pools": ROWS})


@then("the revision merge keeps the changes of each side and reports conflicting ones")
def merge_property(context):
    @PROPERTY
    @given(SHEETS, SHEETS, SHEETS)
    def check(base, mine, theirs):
        ours = {change.cell: change.new for change in diff(base, mine)}
        others = {change.cell: change.new for change in diff(base, theirs)}
        both = {cell for cell in ours.keys() & others.keys() if ours[cell] != others[cell]}
        merged = merge(base, mine, theirs)
        assert len(merged.conflicts) == len(both)
        if not both:
            cells = {**flatten_cells(base), **others, **ours}
            wanted = {cell: value for cell, value in cells.items() if value is not None}
            assert flatten_cells(merged.sheets) == wanted

    check()
