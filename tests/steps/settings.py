"""Steps of settings.feature."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then

from redwingbank.errors import SettingErrors
from redwingbank.settings import read_settings


@given("the settings file")
def settings_file(context):
    context.errors = []
    context.file_text = context.text
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "redwingbank.toml"
        path.write_text(context.text)
        try:
            context.settings = read_settings(path)
        except SettingErrors as errors:
            context.errors = list(errors.exceptions)
            assert all(str(path) in str(error) for error in context.errors)


@then('the setting "{name}" is "{text}"')
def setting_reads(context, name, text):
    assert not context.errors, context.errors
    assert str(getattr(context.settings, name)) == text


@then("the settings' representation contains no secret")
def no_secret_shown(context):
    assert "0123456789abcdef" not in repr(context.settings)


@then('the only error names "{key}"')
def only_error(context, key):
    assert [error.key for error in context.errors] == [key], context.errors


@then("the errors name")
def all_errors(context):
    keys = [row["key"] for row in context.table]
    assert sorted(error.key for error in context.errors) == sorted(keys), context.errors


@then("the daemon started with the settings file ends with exit code {code:d} and {lines:d} lines")
def daemon_exit(context, code, lines):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "redwingbank.toml"
        path.write_text(context.file_text)
        command = [sys.executable, "-m", "redwingbank", "run", "--config", str(path)]
        result = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert result.returncode == code, result
    assert result.stderr.count("\n") == lines, result.stderr
    assert all(line.startswith("redwingbank: ") for line in result.stderr.splitlines())
