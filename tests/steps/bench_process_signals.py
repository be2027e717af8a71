"""Steps of bench/process_signals.feature."""

from __future__ import annotations

import json
import signal
import tempfile
import time
from pathlib import Path

from behave import given, then, when

from front_rig import LOOPBACK, boot, free_ports
from redwingbank.settings import Address
from redwingbank_bench.processes import ChildProcess, reload_signal_ignored
from redwingbank_bench.rig import write_toml

TIMEOUT_S = 15.0
# The arguments of a program, and what its log contains once it has started.
PROGRAMS = {
    "front": (["redwingbank.front"], '"started"'),
    "daemon": (["redwingbank", "run", "--config", "{path}"], "listening"),
}


def daemon_settings(ports):
    return {
        "host": {"name": "entry-1", "data_centre": "clyde"},
        "listen": {
            "caller": f"{LOOPBACK}:{ports[0]}",
            "control": f"{LOOPBACK}:{ports[1]}",
        },
        "platform": {"address": f"{LOOPBACK}:1"},
        "peers": {"keys": [{"number": 1, "secret": "a secret of 16 bytes"}]},
        "shutdown": {"drain_s": 0.5},
    }


def wait_for_log(program, text):
    deadline_s = time.monotonic() + TIMEOUT_S
    while text not in program.log.read_text():
        assert program.alive, f"exit status {program.exit_status}: {program.log.read_text()}"
        assert time.monotonic() < deadline_s, program.log.read_text()
        time.sleep(0.02)


@given("a {program} started as a child process")
def start_program(context, program):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    folder = Path(directory.name)
    path = folder / "settings"
    ports = free_ports(3)
    if program == "front":
        path.write_text(json.dumps(boot(Address(LOOPBACK, 1), ports)))
    else:
        write_toml(path, daemon_settings(ports))
    arguments, context.started = PROGRAMS[program]
    environment = {"REDWINGBANK_NODE_FILE": str(path)}
    arguments = [argument.format(path=path) for argument in arguments]
    context.program = ChildProcess(program, arguments, folder, environment)
    with reload_signal_ignored():
        context.program.start()
    context.add_cleanup(context.program.stop)


@when("it gets SIGHUP")
@when("it gets SIGHUP at once")
def send_reload(context):
    context.program.send_signal(signal.SIGHUP)


@when("it gets SIGTERM and then {name} without a pause")
def send_until_exit(context, name):
    context.program.send_signal(signal.SIGTERM)
    deadline_s = time.monotonic() + TIMEOUT_S
    while context.program.alive and time.monotonic() < deadline_s:
        context.program.send_signal(signal.Signals[name])
        time.sleep(0.0003)


@then("it exits with 0")
def exits_cleanly(context):
    assert context.program.exit_status == 0, context.program.exit_status


@then("its log ends with its stop")
def log_ends(context):
    assert '"stopped"' in context.program.log.read_text().splitlines()[-1]


@then("it starts")
def starts(context):
    wait_for_log(context.program, context.started)


@then("it reloads its settings")
def reloads(context):
    wait_for_log(context.program, '"reloaded"')
