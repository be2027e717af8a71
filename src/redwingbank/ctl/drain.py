"""`redwingctl drain`: take a host or a backend server out of service gracefully."""

from __future__ import annotations

import json

from redwingbank.ctl.hosts import CaFile, Hosts, KeyFile, exit_code, query_hosts
from redwingbank.ctl.table_access import AsJson  # noqa: TC001 - cyclopts resolves it at run time
from redwingbank.errors import SettingError


def drain(
    server: str = "",
    /,
    *,
    host: Hosts = None,
    key_file: KeyFile = None,
    ca: CaFile = None,
    as_json: AsJson = False,
) -> int:
    """Drain a backend server on all hosts or, if none is given, drain the hosts of --host.

    Requests in flight are completed. A backend server stays drained for an hour; to keep it out
    of service for longer, set the state of its row in the table to draining.

    Example: redwingctl drain engine-2 --host 10.0.0.1:8080

    Exit codes: 0 draining, 1 refused or unknown, 2 invalid usage, 4 a host is unreachable.

    :param server: the backend server's name; empty to drain the hosts themselves
    :param host: a daemon's IP:port, repeatable; defaults to REDWINGCTL_HOSTS
    :param key_file: a file with the operators' key; defaults to the key in REDWINGCTL_KEY
    :param ca: a PEM file with the CA certificate to trust, for https:// hosts
    :param as_json: print JSON instead of text
    """
    if not server and not host:
        raise SettingError("command line", "--host", "the hosts to drain, each by its IP:port")
    body = {"server": server} if server else {}
    responses = query_hosts(host, key_file, ca, ("POST", "/operator/drain"), body)
    rows = [{"host": response.address, "draining": response.succeeded} for response in responses]
    if as_json:
        print(json.dumps({"server": server, "hosts": rows}))
    for response in [] if as_json else responses:
        outcome = "draining" if response.succeeded else "not drained"
        print(f"{response.address}: {server or 'host'} {outcome}")
    return exit_code(responses)


__all__ = ["drain"]
