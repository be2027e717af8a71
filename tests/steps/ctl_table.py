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

WHOLE_HASH = re.compile(r"[0-9a-f]{64}")


@given("redwingctl, a platform stand-in and a folder of sheets")
def tool_and_folder(context):
    context.bench = PlatformStandIn(context)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    (context.folder / "FOLDER").mkdir()
    for sheet, rows in sample_sheets().items():
        (context.folder / "FOLDER" / f"{sheet}.csv").write_text(write_sheet(sheet, rows))
    os.environ[PLATFORM_VARIABLE] = str(context.bench.address)
    context.add_cleanup(os.environ.pop, PLATFORM_VARIABLE)
    context.shown = []


@when('redwingctl runs "{line}"')
def tool_runs(context, line):
    words = [
        str(context.folder / word) if word.isupper() or word.startswith("NOWHERE") else word
        for word in line.split()
    ]
    out, error = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(error):
        context.code = run(words)
    context.out, context.error = out.getvalue(), error.getvalue()
    context.shown += [context.out, context.error]


@when('redwingctl\'s file {name} says "{new}" in place of "{old}"')
def edit_file(context, name, new, old):
    path = context.folder / name
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new, 1))


@when("redwingctl's platform has the fault {fault}")
def platform_fault(context, fault):
    context.bench.app.set_faults(json.loads(fault))


@then('redwingctl\'s exit code is {code:d} and it prints "{text}"')
def code_and_output(context, code, text):
    assert (context.code, context.error) == (code, ""), (context.code, context.error)
    assert text in context.out, context.out


@then('redwingctl\'s exit code is {code:d} and it tells "{text}"')
@then('redwingctl\'s exit code is {code:d} and it tells ""')
def code_and_error(context, code, text=""):
    assert context.code == code, (context.code, context.error)
    assert text in context.error, context.error


@then("redwingctl tells one line")
def one_line(context):
    assert context.error.startswith("redwingctl: ")
    faults = context.error.splitlines()
    assert all(line.startswith("redwingctl: ") for line in faults)
    assert "Traceback" not in context.error


@then('redwingctl nowhere showed "{secret}", nor has the platform it')
def secret_hidden(context, secret):
    values = [
        context.bench.app.objects.get(key).value for key in context.bench.app.objects.keys("")
    ]
    assert secret not in "".join(context.shown)
    assert not any(secret.encode() in value for value in values)
    exported = (context.folder / "OTHER" / "organisations.csv").read_text()
    assert key_hash(secret) in exported


@then("redwingctl nowhere showed a whole key's hash")
def hash_hidden(context):
    assert not WHOLE_HASH.search("".join(context.shown))


@when('redwingctl\'s platform holds "{text}" as {key}')
def platform_holds(context, text, key):
    context.bench.app.objects.write(key, text.encode(), None)
