"""Steps of rules/table_change.feature."""

from __future__ import annotations

import copy
import json

from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import settings as effort
from hypothesis import strategies as st

from redwingbank.rules.pages import Head, PageError, encode_head, pack
from redwingbank.rules.table_change import apply_change, encode_change, parse_pages, update_table
from table_samples import key_hash, sample_sheets

ORGANISATIONS = 400
EXAMPLES = 40

edits = st.lists(
    st.tuples(st.sampled_from(("set", "remove", "add")), st.integers(0, ORGANISATIONS - 1)),
    min_size=1,
    max_size=6,
)


def apply_edits(sheets, steps):
    """Apply edits that change, remove or add organisations."""
    sheets = copy.deepcopy(sheets)
    rows = sheets["organisations"]
    for kind, number in steps:
        name = f"organisation-{number}"
        if kind == "set" and name in rows:
            rows[name]["concurrency"] = str(int(rows[name]["concurrency"]) + 1)
        elif kind == "remove":
            rows.pop(name, None)
        elif kind == "add":
            new = f"added-{number}"
            rows[new] = {"key_hash": key_hash(new), "default_class": "memo"}
    return sheets


def pack_head(sheets, revision, root=None):
    packed = pack(sheets, root) if root else pack(sheets)
    return Head(revision, packed.root, f"nonce-{revision}", "operator", 1.5), packed.values_by_name


def check_each_step(check):
    """Run `check(table, old, new)` over successive edits."""

    @effort(max_examples=EXAMPLES, derandomize=True, database=None, deadline=None)
    @any_of(st.lists(edits, min_size=1, max_size=3))
    def run(all_edits):
        sheets = sample_sheets(ORGANISATIONS)
        old = pack_head(sheets, 1)
        table = parse_pages(*old)
        for revision, steps in enumerate(all_edits, 2):
            sheets = apply_edits(sheets, steps)
            new = pack_head(sheets, revision, old[0].root)
            table = check(table, old, new)
            old = new

    run()


@given("the table change from a sample table")
def sample(context):
    old, _ = pack_head(sample_sheets(ORGANISATIONS), 1)
    new, _ = pack_head(apply_edits(sample_sheets(ORGANISATIONS), [("set", 7)]), 2, old.root)
    context.old = old
    context.document = json.loads(encode_change(old, new))


@then("the table change applied in steps equals the full table, whatever is edited")
def equals(context):
    def check(table, old, new):
        updated = update_table(table, old[1], *new)
        assert updated == parse_pages(*new)
        return updated

    check_each_step(check)


@then("the table change rebuilds each head, whatever is edited")
def rebuilds(context):
    def check(table, old, new):
        change = encode_change(old[0], new[0])
        assert change is not None
        rebuilt = apply_change(old[0], change)
        assert rebuilt == new[0]
        assert encode_head(rebuilt) == encode_head(new[0])
        return table

    check_each_step(check)


CORRUPT = {
    "truncated": lambda document: json.dumps(document).encode()[:-3],
    "of another head": lambda document: json.dumps({**document, "from": 9}).encode(),
    "of an unknown page": lambda document: json.dumps(
        {**document, "pages": {"9999": "AA=="}}
    ).encode(),
    "with a truncated digest": lambda document: json.dumps(
        {**document, "pages": {"0": "AA=="}}
    ).encode(),
    "not JSON": lambda document: b"\xff\xfe",
    "a list": lambda document: b"[]",
}


@when("the table change is {corruption}")
def corrupt(context, corruption):
    context.value = CORRUPT[corruption](context.document)


@then("the table change is refused")
def refused(context):
    try:
        apply_change(context.old, context.value)
    except PageError:
        return
    raise AssertionError(context.value)
