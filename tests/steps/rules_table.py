"""Steps of rules/table.feature."""

from __future__ import annotations

from behave import given, then, when

from redwingbank.errors import TableErrors
from redwingbank.rules.table import parse_table, table_to_sheets
from table_samples import key_hash, sample_sheets, with_cell


@given("the table's sample sheets")
def table_sheets(context):
    context.sheets = sample_sheets()


@when('the table\'s cell {where} is "{value}"')
def table_cell(context, where, value):
    context.sheets = with_cell(context.sheets, where, value)


@when("the table's organisations 0 and 1 have one key")
def one_key(context):
    where = "organisations/organisation-1/key_hash"
    context.sheets = with_cell(context.sheets, where, key_hash("0"))


def errors_in(sheets):
    try:
        parse_table(sheets, 1)
    except TableErrors as errors:
        return list(errors.exceptions)
    return []


def places(errors):
    return [f"{error.sheet}/{error.row}/{error.column}" for error in errors]


@then("the table's only error is {place}")
def only_error(context, place):
    assert places(errors_in(context.sheets)) == [place], errors_in(context.sheets)


@then("the table's errors are")
def all_errors_are(context):
    wanted = [row["error"] for row in context.table]
    assert sorted(places(errors_in(context.sheets))) == sorted(wanted)


@then("the table's errors show no key")
def errors_hide_key(context):
    assert key_hash("0") not in "".join(map(str, errors_in(context.sheets)))


@then('the table has tier {tier:d} for class "{name}"')
def has_tier(context, tier, name):
    context.parsed = parse_table(context.sheets, 7)
    assert context.parsed.revision == 7
    assert context.parsed.classes_by_name[name].tier == tier


@then("the table's defaults are filled in")
def defaults(context):
    row = context.parsed.backend_servers_by_name["runner-0"]
    assert (row.state, row.fencing) == ("serving", "ignored")
    assert table_to_sheets(context.parsed)["classes"]["memo"]["weight"] == "1"


@then("the table parsed from its own sheets is the same")
def read_back(context):
    assert parse_table(table_to_sheets(context.parsed), 7) == context.parsed


@then('the table\'s pool "{pool}" has {count:d} servers')
def servers_in_pool(context, pool, count):
    assert len(context.parsed.servers_in_pool(pool)) == count
