"""Requests to the operators' endpoints of daemons."""

from __future__ import annotations

import json
import os
import ssl
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path  # noqa: TC003 - cyclopts reads it when the program runs
from typing import Annotated, Any, NamedTuple

import httpcore
from cyclopts import Parameter

from redwingbank.errors import EXIT_FAULT, EXIT_UNREACHABLE, SettingError

HOSTS_VARIABLE = "REDWINGCTL_HOSTS"
KEY_VARIABLE = "REDWINGCTL_KEY"
TIMEOUT_S = 3.0
MOST_AT_ONCE = 32
OK_STATUS = 200

Hosts = Annotated[list[str] | None, Parameter(name="--host", negative=())]
KeyFile = Annotated[Path | None, Parameter(name="--key-file")]
Authority = Annotated[Path | None, Parameter(name="--ca")]


class Answer(NamedTuple):
    """A daemon's answer; `fault` is empty where it is of use."""

    address: str
    status: int
    document: dict[str, Any]
    fault: str

    @property
    def found(self) -> bool:
        """Whether the daemon did what was asked."""
        return self.status == OK_STATUS and not self.fault


class Access(NamedTuple):
    """The daemons to ask, by `IP:port` or `https://IP:port`, and the operators' key."""

    addresses: tuple[str, ...]
    key: str
    authority: Path | None


def access_of(hosts: list[str] | None, key_file: Path | None, ca: Path | None) -> Access:
    """Take addresses and key from the arguments, else from the environment.

    :raises SettingError: where no host is named or the key file can't be read
    """
    given = hosts or os.environ.get(HOSTS_VARIABLE, "").replace(",", " ").split()
    if not given:
        expected = f"a daemon's IP:port; else set {HOSTS_VARIABLE}"
        raise SettingError("command line", "--host", expected)
    return Access(tuple(given), _key(key_file), ca)


def _key(file: Path | None) -> str:
    if file is None:
        return os.environ.get(KEY_VARIABLE, "")
    try:
        return file.read_text().strip()
    except OSError as error:
        expected = f"a readable file ({error.strerror})"
        raise SettingError(str(file), "--key-file", expected) from error


def ask(
    access: Access, method: str, path: str, body: dict[str, Any] | None = None
) -> list[Answer]:
    """Ask every daemon at once; each answer tells its own fault."""
    with ThreadPoolExecutor(MOST_AT_ONCE) as pool:
        return list(
            pool.map(lambda one: _ask_one(access, one, method, path, body), access.addresses)
        )


def ask_and_tell(
    hosts: list[str] | None,
    key_file: Path | None,
    ca: Path | None,
    order: tuple[str, str],
    body: dict[str, Any] | None = None,
) -> list[Answer]:
    """Ask with what the command line gave, and tell each fault in a line.

    :raises SettingError: where no host is named or the key file can't be read
    """
    answers = ask(access_of(hosts, key_file, ca), *order, body)
    for answer in answers:
        if answer.fault:
            print(f"redwingctl: {answer.address}: {answer.fault}", file=sys.stderr)
    return answers


def exit_code(answers: list[Answer]) -> int:
    """0 where all did what was asked, 4 where one was out of reach, else 1."""
    if all(answer.found for answer in answers):
        return 0
    return EXIT_UNREACHABLE if any(answer.status == 0 for answer in answers) else EXIT_FAULT


def _ask_one(
    access: Access, address: str, method: str, path: str, body: dict[str, Any] | None
) -> Answer:
    url = address if "://" in address else f"http://{address}"
    headers = [("host", address.rpartition("/")[2]), ("content-type", "application/json")]
    if access.key:
        headers.append(("authorization", f"Bearer {access.key}"))
    content = json.dumps(body).encode() if body is not None else None
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
    try:
        with httpcore.ConnectionPool(ssl_context=_trust(url, access.authority)) as pool:
            response = pool.request(
                method,
                url + path,
                headers=headers,
                content=content,
                extensions={"timeout": timeouts},
            )
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
        return Answer(address, 0, {}, f"out of reach ({type(error).__name__}); check the address")
    except (httpcore.UnsupportedProtocol, ValueError) as error:
        return Answer(address, 0, {}, f"no address of a daemon ({error}); give IP:port")
    return _read(address, response.status, response.content)


def _trust(url: str, authority: Path | None) -> ssl.SSLContext | None:
    if not url.startswith("https:"):
        return None
    return ssl.create_default_context(cafile=str(authority) if authority else None)


def _read(address: str, status: int, content: bytes) -> Answer:
    try:
        document = json.loads(content)
    except ValueError:
        document = None
    if not isinstance(document, dict):
        return Answer(address, status, {}, f"answered {status} and no JSON; is it a daemon?")
    error = document.get("error")
    return Answer(address, status, document, str(error) if error else "")


__all__ = [
    "Answer",
    "Authority",
    "Hosts",
    "KeyFile",
    "ask",
    "ask_and_tell",
    "exit_code",
]
