"""`redwingctl release`: release a fingerprint from quarantine."""

from __future__ import annotations

import json

from redwingbank.ctl.hosts import CaFile, Hosts, KeyFile, exit_code, query_hosts
from redwingbank.ctl.table_access import AsJson  # noqa: TC001 - cyclopts resolves it at run time
from redwingbank.errors import EXIT_UNREACHABLE


def release(
    fingerprint: str,
    /,
    *,
    host: Hosts = None,
    key_file: KeyFile = None,
    ca: CaFile = None,
    as_json: AsJson = False,
) -> int:
    """Release a fingerprint from quarantine on all hosts; sending it to one host is enough.

    Example: redwingctl release a1b2c3d4 --host 10.0.0.1:8080

    Exit codes: 0 released, 1 not quarantined or refused, 2 invalid usage, 4 a host is unreachable.

    :param fingerprint: the fingerprint shown by `redwingctl status`
    :param host: a daemon's IP:port, repeatable; defaults to REDWINGCTL_HOSTS
    :param key_file: a file with the operators' key; defaults to the key in REDWINGCTL_KEY
    :param ca: a PEM file with the CA certificate to trust, for https:// hosts
    :param as_json: print JSON instead of text
    """
    body = {"fingerprint": fingerprint}
    responses = query_hosts(host, key_file, ca, ("POST", "/operator/release"), body)
    released = [response.address for response in responses if response.succeeded]
    if as_json:
        print(json.dumps({"fingerprint": fingerprint, "released_by": released}))
    elif released:
        print(f"{fingerprint} released by {', '.join(released)}; the other hosts are notified")
    elif exit_code(responses) != EXIT_UNREACHABLE:
        print(f"{fingerprint} is not quarantined on any host that was asked")
    return 0 if released else exit_code(responses)


__all__ = ["release"]
