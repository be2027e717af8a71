"""`redwingctl drain`: take a host or a backend server out of service gracefully."""

from __future__ import annotations

import json

from redwingbank.ctl.hosts import Authority, Hosts, KeyFile, ask_and_tell, exit_code
from redwingbank.ctl.tables import AsJson  # noqa: TC001 - cyclopts reads it
from redwingbank.errors import SettingError


def drain(
    server: str = "",
    /,
    *,
    host: Hosts = None,
    key_file: KeyFile = None,
    ca: Authority = None,
    as_json: AsJson = False,
) -> int:
    """Drain a backend server over all hosts, or with no server named each host of --host.

    What is in flight runs to its end. A backend server stays drained for an hour; to keep it
    out for longer set its row in the table to draining.

    Example: redwingctl drain engine-2 --host 10.0.0.1:8080

    Exit codes: 0 draining, 1 refused or unknown, 2 wrong usage, 4 a host is out of reach.

    :param server: the backend server's name; none drains the hosts themselves
    :param host: a daemon's IP:port; may be given again; else REDWINGCTL_HOSTS
    :param key_file: the operators' key; else REDWINGCTL_KEY
    :param ca: a PEM file of the authority to trust, for https:// hosts
    :param as_json: write JSON instead of text
    """
    if not server and not host:
        raise SettingError("command line", "--host", "the hosts to drain, each by its IP:port")
    order = {"server": server} if server else {}
    answers = ask_and_tell(host, key_file, ca, ("POST", "/operator/drain"), order)
    rows = [{"host": answer.address, "draining": answer.found} for answer in answers]
    if as_json:
        print(json.dumps({"server": server, "hosts": rows}))
    for answer in [] if as_json else answers:
        told = "draining" if answer.found else "not drained"
        print(f"{answer.address}: {server or 'host'} {told}")
    return exit_code(answers)


__all__ = ["drain"]
