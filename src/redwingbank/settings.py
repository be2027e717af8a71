"""Settings of the daemon: read from TOML and fully checked before anything starts."""

from __future__ import annotations

import re
import reprlib
import tomllib
from ipaddress import IPv4Address
from typing import TYPE_CHECKING, Any, NamedTuple

from redwingbank.errors import SettingError, SettingErrors
from redwingbank.intake.settings import DEFAULT_MEMORY_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from pathlib import Path

KIBIBYTE = 1024
POLICIES = ("full", "local", "first-come", "random")
MAX_PORT = 65_535
PORT = re.compile(r"[0-9]{1,5}")
MIN_SECRET_BYTES = 16
MAX_KEY_NUMBER = 255


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class PeerKey(NamedTuple):
    """A secret shared by daemons; `number` tells a receiver which key sealed a message."""

    number: int
    secret: bytes

    def __repr__(self) -> str:
        return f"PeerKey(number={self.number}, secret=...)"


class Settings(NamedTuple):
    """All settings of a daemon.

    Names of times end in `_s` (seconds) or `_ms` (milliseconds), of sizes in `_bytes`.
    `peer_keys` are tried in order to open a message; the first seals outgoing messages.
    Values of `policy` other than `full` are baselines for experiments. `faults_allowed` lets
    operators cut the host's links in failure tests.
    """

    host: str
    data_centre: str
    caller: Address
    control: Address
    platform: Address
    peer_keys: tuple[PeerKey, ...]
    seeds: tuple[Address, ...] = ()
    certificate: str = ""
    private_key: str = ""
    events: str = ""
    body_limit_bytes: int = 4096 * KIBIBYTE
    header_limit_bytes: int = 32 * KIBIBYTE
    caller_memory_bytes: int = DEFAULT_MEMORY_BYTES
    queue_limit: int = 2000
    heartbeat_s: float = 0.5
    suspect_s: float = 2.0
    demand_interval_s: float = 0.1
    allocation_ttl_s: float = 2.0
    control_bytes_per_s: int = 2 * KIBIBYTE
    load_interval_s: float = 0.5
    first_byte_timeout_s: float = 60.0
    idle_timeout_s: float = 30.0
    platform_timeout_s: float = 2.0
    drain_s: float = 5.0
    retry_ratio: float = 0.1
    weight_loads_per_minute: int = 6
    operator_key: bytes = b""
    policy: str = "full"
    faults_allowed: bool = False

    def __repr__(self) -> str:
        return f"Settings(host={self.host}, data_centre={self.data_centre})"


class Field(NamedTuple):
    """How one key of the file is read.

    `parse` raises `ValueError` if the value is not as described by `expected`.
    """

    key: str
    name: str
    parse: Callable[[Any], Any]
    expected: str
    required: bool = False


def parse_address(value: Any) -> Address:
    """Parse `IP:port`, for example `127.0.0.1:8080`."""
    host, _, port = str(value).rpartition(":")
    number = int(port) if PORT.fullmatch(port) else -1
    if not host or not 0 <= number <= MAX_PORT:
        raise ValueError(reprlib.repr(value))
    return Address(host.strip("[]"), number)


def parse_remote_address(value: Any) -> Address:
    """Parse the IPv4 address and port of a server or host to connect to.

    Unlike a setting, it may come from anyone: there is no look-up of names, which takes long and
    fails in further ways.

    >>> parse_remote_address("10.0.0.1:80")
    Address(host='10.0.0.1', port=80)
    """
    address = parse_address(value)
    host = IPv4Address(address.host)
    if not address.port or host.is_unspecified or host.is_multicast:
        raise ValueError(reprlib.repr(value))
    return address


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(value)
    return value


def _positive(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
        raise ValueError(value)
    return float(value)


def _count(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value <= 0:
        raise ValueError(value)
    return value


def _addresses(value: Any) -> tuple[Address, ...]:
    if not isinstance(value, list):
        raise ValueError(value)  # noqa: TRY004
    return tuple(parse_address(item) for item in value)


def _keys(value: Any) -> tuple[PeerKey, ...]:
    if not isinstance(value, list) or not value:
        raise ValueError("keys")
    keys = tuple(PeerKey(_count(item["number"]), _text(item["secret"]).encode()) for item in value)
    if any(len(key.secret) < MIN_SECRET_BYTES for key in keys):
        raise ValueError("keys")
    if any(key.number > MAX_KEY_NUMBER for key in keys):
        raise ValueError("keys")
    return keys


def _secret(value: Any) -> bytes:
    secret = _text(value).encode()
    if len(secret) < MIN_SECRET_BYTES:
        raise ValueError("secret")
    return secret


def _policy(value: Any) -> str:
    if value not in POLICIES:
        raise ValueError(value)
    return str(value)


def _flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(value)  # noqa: TRY004
    return value


ADDRESS = "an IP address and a port, such as 10.0.0.1:8080"
SECONDS = "a positive number of seconds"
COUNT = "a positive integer"

FIELDS: tuple[Field, ...] = (
    Field("host.name", "host", _text, "a name", required=True),
    Field("host.data_centre", "data_centre", _text, "a name", required=True),
    Field("listen.caller", "caller", parse_address, ADDRESS, required=True),
    Field("listen.control", "control", parse_address, ADDRESS, required=True),
    Field("listen.certificate", "certificate", _text, "the path of a PEM file"),
    Field("listen.private_key", "private_key", _text, "the path of a PEM file"),
    Field("platform.address", "platform", parse_address, ADDRESS, required=True),
    Field("platform.timeout_s", "platform_timeout_s", _positive, SECONDS),
    Field(
        "peers.keys",
        "peer_keys",
        _keys,
        "a list of {number = 1 to 255, secret = ...}, each secret of at least 16 bytes",
        required=True,
    ),
    Field("peers.seeds", "seeds", _addresses, "a list of IP:port"),
    Field("peers.heartbeat_s", "heartbeat_s", _positive, SECONDS),
    Field("peers.suspect_s", "suspect_s", _positive, SECONDS),
    Field("peers.demand_interval_s", "demand_interval_s", _positive, SECONDS),
    Field("peers.allocation_ttl_s", "allocation_ttl_s", _positive, SECONDS),
    Field(
        "peers.control_bytes_per_s",
        "control_bytes_per_s",
        _count,
        "a positive number of bytes per second",
    ),
    Field("limits.body_bytes", "body_limit_bytes", _count, COUNT),
    Field("limits.header_bytes", "header_limit_bytes", _count, COUNT),
    Field("limits.caller_memory_bytes", "caller_memory_bytes", _count, COUNT),
    Field("limits.queue", "queue_limit", _count, COUNT),
    Field("limits.retry_ratio", "retry_ratio", _positive, "a positive number"),
    Field("backends.load_interval_s", "load_interval_s", _positive, SECONDS),
    Field("backends.weight_loads_per_minute", "weight_loads_per_minute", _count, COUNT),
    Field("backends.first_byte_timeout_s", "first_byte_timeout_s", _positive, SECONDS),
    Field("backends.idle_timeout_s", "idle_timeout_s", _positive, SECONDS),
    Field("shutdown.drain_s", "drain_s", _positive, SECONDS),
    Field("operator.key", "operator_key", _secret, "a secret of at least 16 bytes"),
    Field("experiment.policy", "policy", _policy, "one of " + ", ".join(POLICIES)),
    Field("experiment.faults", "faults_allowed", _flag, "true or false"),
    Field("log.events", "events", _text, "the path of the event log"),
)


def flatten(document: Mapping[str, Any]) -> dict[str, Any]:
    """Flatten a document to dotted keys: `{"host": {"name": "a"}}` to `{"host.name": "a"}`."""
    return {
        f"{section}.{key}" if isinstance(body, dict) else section: value
        for section, body in document.items()
        for key, value in (body.items() if isinstance(body, dict) else [("", body)])
    }


def parse_settings(document: Mapping[str, Any], file: str) -> Settings:
    """Check a whole document and build the settings.

    :raises SettingErrors: with every error of the document
    """
    given = flatten(document)
    errors = [
        SettingError(file, key, "a known key")
        for key in given
        if key not in {field.key for field in FIELDS}
    ]
    values: dict[str, Any] = {}
    for field in FIELDS:
        if field.key not in given:
            if field.required:
                errors.append(SettingError(file, field.key, field.expected))
            continue
        try:
            values[field.name] = field.parse(given[field.key])
        except (ValueError, KeyError, TypeError):
            errors.append(SettingError(file, field.key, field.expected))
    if errors:
        raise SettingErrors(f"{file}: {len(errors)} invalid settings", errors)
    return Settings(**values)


def read_settings(path: Path) -> Settings:
    """Read a settings file.

    :raises SettingErrors: if the file can't be read, is not TOML or has invalid settings
    """
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        setting_error = SettingError(str(path), "(whole file)", f"a readable TOML file ({error})")
        raise SettingErrors(f"{path}: unreadable", [setting_error]) from error
    return parse_settings(document, str(path))


__all__ = [
    "MAX_PORT",
    "Address",
    "PeerKey",
    "Settings",
    "parse_address",
    "parse_remote_address",
    "parse_settings",
    "read_settings",
]
