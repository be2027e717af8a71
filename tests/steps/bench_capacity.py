"""Steps of bench/capacity.feature."""

from __future__ import annotations

from pathlib import Path

from behave import then, when

from redwingbank_bench.capacity import Size, derive, format_table, read_slopes

DOCS = Path(__file__).resolve().parents[2] / "docs"


def load_slopes(context):
    if "slopes" not in context:
        context.slopes = read_slopes(DOCS / "measurements" / "slopes.toml")
    return context.slopes


def scale(context, name, factor):
    slope = load_slopes(context)[name]
    context.slopes[name] = slope._replace(
        value=slope.value * factor, least=slope.least * factor, largest=slope.largest * factor
    )


@when('the capacity slope "{name}" is doubled')
def double_slope(context, name):
    scale(context, name, 2)


@when('the capacity slope "{name}" is {factor:d} times as large')
def scale_slope(context, name, factor):
    scale(context, name, factor)


@then("the capacity page contains the derived table")
def page_contains_table(context):
    assert format_table(derive(Size(), load_slopes(context))) in (DOCS / "CAPACITY.md").read_text()


@then("the capacity page does not contain the derived table")
def page_differs(context):
    format_row = format_table(derive(Size(), load_slopes(context)))
    assert format_row not in (DOCS / "CAPACITY.md").read_text()


@then('the capacity row "{figure}" does not fit')
def row_does_not_fit(context, figure):
    rows = {row.figure: row for row in derive(Size(), load_slopes(context))}
    assert "**no**" in rows[figure].format_row(), rows[figure].format_row()
