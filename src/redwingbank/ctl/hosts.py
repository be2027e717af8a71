"""HTTP client for the operators' endpoints of the daemons."""

from __future__ import annotations

import json
import os
import ssl
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path  # noqa: TC003 - cyclopts resolves it at run time
from typing import Annotated, Any, NamedTuple

import httpcore
from cyclopts import Parameter

from redwingbank.errors import EXIT_FAULT, EXIT_UNREACHABLE, SettingError

HOSTS_VARIABLE = "REDWINGCTL_HOSTS"
KEY_VARIABLE = "REDWINGCTL_KEY"
TIMEOUT_S = 3.0
MAX_CONCURRENT_REQUESTS = 32
HTTP_OK = 200

Hosts = Annotated[list[str] | None, Parameter(name="--host", negative=())]
KeyFile = Annotated[Path | None, Parameter(name="--key-file")]
CaFile = Annotated[Path | None, Parameter(name="--ca")]


class HostResponse(NamedTuple):
    """A daemon's response; `status` is 0 without one, `error` is the message to print, if any."""

    address: str
    status: int
    document: dict[str, Any]
    error: str

    @property
    def succeeded(self) -> bool:
        """Whether the daemon carried out the request."""
        return self.status == HTTP_OK and not self.error


class Access(NamedTuple):
    """The daemons' addresses, as `IP:port` or `https://IP:port`, and the operators' key."""

    addresses: tuple[str, ...]
    key: str
    ca_file: Path | None


def resolve_access(hosts: list[str] | None, key_file: Path | None, ca: Path | None) -> Access:
    """Read the addresses and the key from the arguments, or else from the environment.

    :raises SettingError: if no host is given or the key file can't be read
    """
    addresses = hosts or os.environ.get(HOSTS_VARIABLE, "").replace(",", " ").split()
    if not addresses:
        expected = f"a daemon's IP:port, or {HOSTS_VARIABLE} to be set"
        raise SettingError("command line", "--host", expected)
    return Access(tuple(addresses), _read_key(key_file), ca)


def _read_key(file: Path | None) -> str:
    if file is None:
        return os.environ.get(KEY_VARIABLE, "")
    try:
        return file.read_text().strip()
    except OSError as error:
        expected = f"a readable file ({error.strerror})"
        raise SettingError(str(file), "--key-file", expected) from error


def send_requests(
    access: Access, method: str, path: str, body: dict[str, Any] | None = None
) -> list[HostResponse]:
    """Send a request to all daemons in parallel; a failure is returned as a response's error."""
    with ThreadPoolExecutor(MAX_CONCURRENT_REQUESTS) as pool:
        return list(
            pool.map(
                lambda address: _send_request(access, address, method, path, body),
                access.addresses,
            )
        )


def query_hosts(
    hosts: list[str] | None,
    key_file: Path | None,
    ca: Path | None,
    endpoint: tuple[str, str],
    body: dict[str, Any] | None = None,
) -> list[HostResponse]:
    """Send a request to the hosts of the command line and print each error to stderr.

    :raises SettingError: if no host is given or the key file can't be read
    """
    responses = send_requests(resolve_access(hosts, key_file, ca), *endpoint, body)
    for response in responses:
        if response.error:
            print(f"redwingctl: {response.address}: {response.error}", file=sys.stderr)
    return responses


def exit_code(responses: list[HostResponse]) -> int:
    """Return 0 if all hosts succeeded, 4 if one was unreachable, else 1."""
    if all(response.succeeded for response in responses):
        return 0
    return EXIT_UNREACHABLE if any(response.status == 0 for response in responses) else EXIT_FAULT


def _send_request(
    access: Access, address: str, method: str, path: str, body: dict[str, Any] | None
) -> HostResponse:
    url = address if "://" in address else f"http://{address}"
    headers = [("host", address.rpartition("/")[2]), ("content-type", "application/json")]
    if access.key:
        headers.append(("authorization", f"Bearer {access.key}"))
    content = json.dumps(body).encode() if body is not None else None
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
    try:
        with httpcore.ConnectionPool(ssl_context=_ssl_context(url, access.ca_file)) as pool:
            response = pool.request(
                method,
                url + path,
                headers=headers,
                content=content,
                extensions={"timeout": timeouts},
            )
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
        return HostResponse(
            address, 0, {}, f"unreachable ({type(error).__name__}); check the address"
        )
    except (httpcore.UnsupportedProtocol, ValueError) as error:
        return HostResponse(address, 0, {}, f"invalid daemon address ({error}); expected IP:port")
    return _parse_response(address, response.status, response.content)


def _ssl_context(url: str, ca_file: Path | None) -> ssl.SSLContext | None:
    if not url.startswith("https:"):
        return None
    return ssl.create_default_context(cafile=str(ca_file) if ca_file else None)


def _parse_response(address: str, status: int, content: bytes) -> HostResponse:
    try:
        document = json.loads(content)
    except (ValueError, RecursionError):
        document = None
    if not isinstance(document, dict):
        return HostResponse(address, status, {}, f"status {status} without JSON; is it a daemon?")
    error = document.get("error")
    return HostResponse(address, status, document, str(error) if error else "")


__all__ = [
    "CaFile",
    "HostResponse",
    "Hosts",
    "KeyFile",
    "exit_code",
    "query_hosts",
    "send_requests",
]
