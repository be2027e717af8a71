"""Reads and checks the settings file that the platform gives a process."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING, Any

from redwingbank.bounded_json import decode_parts
from redwingbank.duties.values import DutySettings
from redwingbank.errors import SettingError, SettingErrors
from redwingbank.front.values import Bounds, HostSettings
from redwingbank.front.wire import AnswerLimits
from redwingbank.intake.settings import IntakeLimits, limits_of_machine
from redwingbank.platform.fields import read_integer, read_list, read_name, read_number
from redwingbank.settings import MAX_PORT, Address, parse_address

if TYPE_CHECKING:
    from collections.abc import Callable

PATH_VARIABLE = "REDWINGBANK_NODE_FILE"
# set in the deploy file: the port where the platform reads metrics
METRICS_PORT_VARIABLE = "REDWINGBANK_METRICS_PORT"
MS_PER_S = 1000.0
# without the variable, metrics are served at the last port of the process's port range
METRICS_PORT_INDEX = -1
# the first port of the range is for messages between hosts
PEER_PORT_INDEX = 0

# calls a second to the interface of the duties if the settings state no rate
DEFAULT_CALLS_PER_S = 50.0

ADDRESS = "an IP address and a port"
NUMBER = "a non-negative number"


def settings_path() -> Path:
    """Return the path of this process's settings file.

    :raises SettingErrors: if the environment does not name one
    """
    name = os.environ.get(PATH_VARIABLE, "")
    if not name:
        setting_error = SettingError(
            PATH_VARIABLE, "(environment)", "the path of the settings file"
        )
        raise SettingErrors("no settings file", [setting_error])
    return Path(name)


def read_host_settings(path: Path) -> HostSettings:
    """Read and check the file; unknown keys are ignored.

    :raises SettingErrors: with every error of the file
    """
    try:
        document = decode_parts(path.read_bytes())
    except (OSError, ValueError) as error:
        setting_error = SettingError(str(path), "(whole file)", f"a readable JSON file ({error})")
        raise SettingErrors(f"{path}: unreadable", [setting_error]) from error
    return decode_host_settings(document, str(path))


def decode_host_settings(document: Any, file: str) -> HostSettings:
    """Check a whole document and build the settings.

    :raises SettingErrors: with every error of the document
    """
    reader = _Reader(document, file)
    ports = reader.read("portRange", _ports, "two port numbers")
    host = reader.read("ip", read_name, "an IP address")
    metrics_port = os.environ.get(METRICS_PORT_VARIABLE) or (
        ports[METRICS_PORT_INDEX] if ports else 0
    )
    settings = HostSettings(
        name=reader.read("nodeName", read_name, "a name"),
        data_centre=reader.read("zone", read_name, "a name"),
        caller=reader.read("listen.front", parse_address, ADDRESS),
        readiness=reader.read("listen.ready", parse_address, ADDRESS),
        metrics=Address(host or "", int(metrics_port)),
        store=reader.read("platform.addr", parse_address, ADDRESS),
        bounds=_bounds(reader),
        peer=Address(host or "", ports[PEER_PORT_INDEX] if ports else 0),
        link_mbps=reader.read("limits.linkMbps", read_number, NUMBER, 0.0),
        answer_limits=_answer_limits(reader),
        duties=_duties(reader),
        intake=_intake_limits(reader),
    )
    if reader.errors:
        raise SettingErrors(f"{file}: {len(reader.errors)} invalid settings", reader.errors)
    return settings


def _bounds(reader: _Reader) -> Bounds:
    default = Bounds()
    fields: tuple[tuple[str, str, Callable[[Any], Any]], ...] = (
        ("revokeMs", "revoke_s", _milliseconds),
        ("strictRevoke", "strict_revoke", bool),
        ("graceS", "grace_s", read_number),
        ("configMs", "table_s", _milliseconds),
        ("budgetRatio", "repeat_ratio", read_number),
        ("budgetWindowS", "repeat_window_s", read_number),
        ("budgetExtra", "repeat_extra", read_number),
        ("contactMs", "contact_s", _milliseconds),
    )
    values = {
        name: reader.read(f"bounds.{key}", parse, NUMBER, getattr(default, name))
        for key, name, parse in fields
    }
    return Bounds(**values)


def _duties(reader: _Reader) -> DutySettings | None:
    names = reader.read("cloud.duties", _names, "a list of names", ())
    if not names:
        return None
    rates = [
        reader.read(f"cloud.{key}", _positive, "a positive number", DEFAULT_CALLS_PER_S)
        for key in ("ratePerS", "dutyPerS")
    ]
    default = DutySettings(Address("", 0), 0.0, ())
    fields: tuple[tuple[str, str, Callable[[Any], Any]], ...] = (
        ("leaseMs", "lease_s", _positive_milliseconds),
        ("thawMs", "thaw_s", _positive_milliseconds),
        ("reportWindowS", "window_s", _positive),
        ("usageOff", "usage_off", read_number),
        ("usageLateS", "late_s", _positive),
        ("fencing", "fencing", bool),
    )
    values = {
        name: reader.read(f"bounds.{key}", parse, "a positive number", getattr(default, name))
        for key, name, parse in fields
    }
    address = reader.read("cloud.addr", parse_address, ADDRESS)
    return DutySettings(address, min(rates), names, **values)


def _answer_limits(reader: _Reader) -> AnswerLimits:
    default = AnswerLimits()
    fields = (
        ("headerBytes", "header_bytes"),
        ("headers", "headers"),
        ("interimAnswers", "interim_answers"),
        ("bufferedBytes", "buffered_bytes"),
    )
    values = {
        name: int(reader.read(f"answerLimits.{key}", read_number, NUMBER, getattr(default, name)))
        for key, name in fields
    }
    return AnswerLimits(**values)


def _intake_limits(reader: _Reader) -> IntakeLimits:
    memory_mb = reader.read("limits.memoryMb", read_number, NUMBER, 0.0)
    descriptors = reader.read("limits.maxFds", read_number, NUMBER, 0.0)
    default = limits_of_machine(memory_mb, int(descriptors))
    fields = (("memoryBytes", "memory_bytes"), ("connections", "connections"))
    values = {
        name: int(reader.read(f"callerLimits.{key}", _positive, NUMBER, getattr(default, name)))
        for key, name in fields
    }
    return IntakeLimits(**values)


class _Reader:
    """Reads values of a document by key path and collects the errors."""

    def __init__(self, document: Any, file: str) -> None:
        self.errors: list[SettingError] = []
        self._document = document
        self._file = file

    def read(
        self, key: str, parse: Callable[[Any], Any], expected: str, default: Any = None
    ) -> Any:
        """Read one key; a missing key without a default is an error."""
        value = _value_at(self._document, key)
        if value is None and default is not None:
            return default
        try:
            return parse(value)
        except (ValueError, TypeError):
            self.errors.append(SettingError(self._file, key, expected))
            return default


def _value_at(document: Any, key: str) -> Any:
    for part in key.split("."):
        document = document.get(part) if isinstance(document, dict) else None
    return document


def _positive(value: Any) -> float:
    if not read_number(value):
        raise ValueError(value)
    return float(value)


def _positive_milliseconds(value: Any) -> float:
    return _positive(value) / MS_PER_S


def _names(value: Any) -> tuple[str, ...]:
    return tuple(map(read_name, read_list(value)))


def _milliseconds(value: Any) -> float:
    return read_number(value) / MS_PER_S


def _ports(value: Any) -> tuple[int, int]:
    first, last = (read_integer(port, most=MAX_PORT) for port in read_list(value))
    return first, last


__all__ = ["decode_host_settings", "read_host_settings", "settings_path"]
