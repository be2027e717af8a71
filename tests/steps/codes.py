"""Steps of codes.feature."""

from __future__ import annotations

from pathlib import Path

from behave import then

from redwingbank.codes import MEANING_BY_CODE, Code, Ran

PAGE = Path(__file__).resolve().parents[2] / "docs" / "RESULT-CODES.md"


@then("every code has a meaning")
def every_code_has_a_row(context):
    assert set(MEANING_BY_CODE) == set(Code)
    assert all(200 <= row.status < 600 for row in MEANING_BY_CODE.values())


@then('codes of backend failures never claim ran "no"')
def backend_failures_may_have_run(context):
    backend = [code for code in Code if 1400 <= code < 1404]
    assert all(MEANING_BY_CODE[code].ran != Ran.NO for code in backend)


@then("the page docs/RESULT-CODES.md lists each code as the code does")
def page_lists(context):
    lines = PAGE.read_text().splitlines()
    rows = {line.split("|")[1].strip(): line for line in lines if line.startswith("| 1")}
    assert set(rows) == {str(int(code)) for code in Code}
    for code, row in MEANING_BY_CODE.items():
        cells = [cell.strip() for cell in rows[str(int(code))].split("|")[1:-1]]
        assert cells == [
            str(int(code)),
            code.name,
            str(row.status),
            row.ran.value,
            row.meaning,
            row.advice,
        ], cells
