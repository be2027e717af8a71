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
    context.faults = []
    context.file_text = context.text
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "redwingbank.toml"
        path.write_text(context.text)
        try:
            context.settings = read_settings(path)
        except SettingErrors as errors:
            context.faults = list(errors.exceptions)
            assert all(str(path) in str(fault) for fault in context.faults)


@then('the setting "{name}" reads "{text}"')
def setting_reads(context, name, text):
    assert not context.faults, context.faults
    assert str(getattr(context.settings, name)) == text


@then("the settings show no secret")
def no_secret(context):
    assert "0123456789abcdef" not in repr(context.settings)


@then('a fault names "{key}"')
def one_fault(context, key):
    assert [fault.key for fault in context.faults] == [key], context.faults


@then("the faults name")
def all_faults(context):
    named = [row["key"] for row in context.table]
    assert sorted(fault.key for fault in context.faults) == sorted(named), context.faults


@then("the daemon started with the settings file ends with exit code {code:d} and {lines:d} lines")
def daemon_exit(context, code, lines):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "redwingbank.toml"
        path.write_text(context.file_text)
        command = [sys.executable, "-m", "redwingbank", "run", "--config", str(path)]
        ended = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert ended.returncode == code, ended
    assert ended.stderr.count("\n") == lines, ended.stderr
    assert all(line.startswith("redwingbank: ") for line in ended.stderr.splitlines())
