"""Steps of rules/pages.feature."""

from __future__ import annotations

from behave import given, then, when

from redwingbank.rules import pages
from table_samples import sample_sheets, with_cell

MEGABYTE = 1_000_000


def with_changed_row(sheets):
    return with_cell(sheets, "organisations/organisation-5/weight", "2")


def fails(function, *arguments):
    try:
        function(*arguments)
    except pages.PageError:
        return True
    return False


@given("pages of a table with {rows:d} organisations")
def pages_of(context, rows):
    context.sheets = sample_sheets(rows)
    context.packed = pages.pack(context.sheets)


@then("there are {count:d} pages and the largest value is under a megabyte")
def page_count_and_size(context, count):
    assert len(context.packed.root.digests) == count, len(context.packed.root.digests)
    head = pages.encode_head(pages.Head(1, context.packed.root, "n", "a", 0.0))
    assert max(map(len, [head, *context.packed.values_by_name.values()])) < MEGABYTE


@then("the pages differ by one after one row changes, under {limit:d} bytes with the head")
def change_size(context, limit):
    repacked = pages.pack(with_changed_row(context.sheets), context.packed.root)
    names = pages.missing_pages(repacked.root, context.packed.values_by_name)
    head = pages.encode_head(pages.Head(1, repacked.root, "n", "a", 0.0))
    assert len(names) == 1
    size = len(head) + len(repacked.values_by_name[names[0]])
    assert size < limit, size


@then("the pages unpack to the same sheets")
def same_sheets(context):
    assert pages.unpack(*context.packed) == context.sheets


@then("the pages keep their count at {few:d} and at {many:d} organisations")
def keep_count(context, few, many):
    for rows in (few, many):
        packed = pages.pack(sample_sheets(rows), context.packed.root)
        assert len(packed.root.digests) == len(context.packed.root.digests)


@then("the pages are the same for the rows in reverse order")
def reverse(context):
    reordered = {
        name: {row: dict(reversed(cells.items())) for row, cells in reversed(rows.items())}
        for name, rows in reversed(context.sheets.items())
    }
    assert pages.pack(reordered) == context.packed


CORRUPTIONS = {
    "missing": lambda values, name: values.pop(name),
    "another": lambda values, name: values.update({name: list(values.values())[-1]}),
    "truncated": lambda values, name: values.update({name: values[name][:-9]}),
    "empty": lambda values, name: values.update({name: b""}),
}


@when("the pages' first value is {state}")
def corrupt(context, state):
    CORRUPTIONS[state](context.packed.values_by_name, context.packed.root.names()[0])


@then("the pages are refused")
def refused(context):
    assert fails(pages.unpack, *context.packed)


@then("one of the pages is missing after a change of one row")
def missing_one(context):
    repacked = pages.pack(with_changed_row(context.sheets), context.packed.root)
    assert len(pages.missing_pages(repacked.root, context.packed.values_by_name)) == 1
    assert pages.missing_pages(context.packed.root, context.packed.values_by_name) == ()


@then('the pages\' head is decoded as encoded, and "{value}" is refused')
def head_read_back(context, value):
    head = pages.Head(3, pages.pack(sample_sheets()).root, "nonce", "author", 1.5)
    assert pages.decode_head(pages.encode_head(head)) == head
    assert fails(pages.decode_head, value.encode())
