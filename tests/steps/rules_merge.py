"""Steps of rules/merge.feature."""

from __future__ import annotations

from behave import given, then, when

from redwingbank.rules.merge import diff, flatten_cells, merge
from table_samples import sample_sheets, with_cell


@given("the merge of sample sheets")
def merge_base(context):
    context.base = sample_sheets()
    context.mine = context.theirs = context.base


@when('the merge\'s first operator sets {where} to "{value}"')
def first_sets(context, where, value):
    context.mine = with_cell(context.mine, where, value)


@when('the merge\'s second operator sets {where} to "{value}"')
def second_sets(context, where, value):
    context.theirs = with_cell(context.theirs, where, value)


@then("the merge has {count:d} conflicts")
def conflict_count(context, count):
    context.merged = merge(context.base, context.mine, context.theirs)
    assert len(context.merged.conflicts) == count, context.merged.conflicts


@then("the merge without conflicts contains both changes")
def contains_both(context):
    if context.merged.conflicts:
        return
    merged = flatten_cells(context.merged.sheets)
    for side in (context.mine, context.theirs):
        for change in diff(context.base, side):
            assert merged.get(change.cell) == change.new


@then('the merge\'s conflict shows "{one}" and "{two}" and no full key')
def shows(context, one, two):
    (conflict,) = merge(context.base, context.mine, context.theirs).conflicts
    assert one in str(conflict)
    assert two in str(conflict)
    assert "a" * 9 not in str(conflict)


@then('the merge\'s first difference is "{text}"')
def first_difference(context, text):
    assert str(diff(context.base, context.mine)[0]) == text
