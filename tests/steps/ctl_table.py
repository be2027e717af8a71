"""Steps of ctl/table.feature."""

from __future__ import annotations

import contextlib
import io
import json
import os
import re
import tempfile
from pathlib import Path

from behave import given, then, when

from platform_bench import PlatformStandIn
from redwingbank.ctl.app import run
from redwingbank.ctl.table_access import PLATFORM_VARIABLE
from redwingbank.rules.spreadsheet import write_sheet
from table_samples import key_hash, sample_sheets

COMPLETE_HASH = re.compile(r"[0-9a-f]{64}")


@given("a simulated platform and a folder of sheets")
def platform_and_folder(context):
    context.bench = PlatformStandIn(context)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    (context.folder / "FOLDER").mkdir()
    for sheet, rows in sample_sheets().items():
        (context.folder / "FOLDER" / f"{sheet}.csv").write_text(write_sheet(sheet, rows))
    os.environ[PLATFORM_VARIABLE] = str(context.bench.address)
    context.add_cleanup(os.environ.pop, PLATFORM_VARIABLE)
    context.printed = []


@when('redwingctl runs "{line}"')
def run_tool(context, line):
    words = [
        str(context.folder / word) if word.isupper() or word.startswith("NOWHERE") else word
        for word in line.split()
    ]
    out, error = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(error):
        context.code = run(words)
    context.out, context.error = out.getvalue(), error.getvalue()
    context.printed += [context.out, context.error]


@when('the file {name} has "{new}" in place of "{old}"')
def edit_file(context, name, new, old):
    path = context.folder / name
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new, 1))


@when("the platform has the fault {fault}")
def set_fault(context, fault):
    context.bench.app.set_faults(json.loads(fault))


@then('the exit code is {code:d} and stdout contains "{text}"')
def code_and_stdout(context, code, text):
    assert (context.code, context.error) == (code, ""), (context.code, context.error)
    assert text in context.out, context.out


@then('the exit code is {code:d} and stderr contains "{text}"')
@then('the exit code is {code:d} and stderr contains ""')
def code_and_stderr(context, code, text=""):
    assert context.code == code, (context.code, context.error)
    assert text in context.error, context.error


@then("each error is printed on one line")
def one_line_per_error(context):
    assert context.error.startswith("redwingctl: ")
    lines = context.error.splitlines()
    assert all(line.startswith("redwingctl: ") for line in lines)
    assert "Traceback" not in context.error


@then('"{secret}" is neither printed nor stored on the platform')
def secret_hidden(context, secret):
    values = [
        context.bench.app.objects.get(key).value for key in context.bench.app.objects.keys("")
    ]
    assert secret not in "".join(context.printed)
    assert not any(secret.encode() in value for value in values)
    exported = (context.folder / "OTHER" / "organisations.csv").read_text()
    assert key_hash(secret) in exported


@then("no complete key hash is printed")
def hash_hidden(context):
    assert not COMPLETE_HASH.search("".join(context.printed))


@when('the platform stores "{text}" as {key}')
def store_object(context, text, key):
    context.bench.app.objects.write(key, text.encode(), None)
