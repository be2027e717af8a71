"""`redwingctl release`: let a quarantined request run again."""

from __future__ import annotations

import json

from redwingbank.ctl.hosts import Authority, Hosts, KeyFile, ask_and_tell, exit_code
from redwingbank.ctl.tables import AsJson  # noqa: TC001 - cyclopts reads it
from redwingbank.errors import EXIT_UNREACHABLE


def release(
    fingerprint: str,
    /,
    *,
    host: Hosts = None,
    key_file: KeyFile = None,
    ca: Authority = None,
    as_json: AsJson = False,
) -> int:
    """Release a fingerprint from quarantine on every host; one host named is enough.

    Example: redwingctl release a1b2c3d4 --host 10.0.0.1:8080

    Exit codes: 0 released, 1 no host holds it, 2 wrong usage, 4 no host answered.

    :param fingerprint: the fingerprint, as `redwingctl status` shows it
    :param host: a daemon's IP:port; may be given again; else REDWINGCTL_HOSTS
    :param key_file: the operators' key; else REDWINGCTL_KEY
    :param ca: a PEM file of the authority to trust, for https:// hosts
    :param as_json: write JSON instead of text
    """
    order = {"fingerprint": fingerprint}
    answers = ask_and_tell(host, key_file, ca, ("POST", "/operator/release"), order)
    released = [answer.address for answer in answers if answer.found]
    if as_json:
        print(json.dumps({"fingerprint": fingerprint, "released_by": released}))
    elif released:
        print(f"{fingerprint} released by {', '.join(released)}; the other hosts hear of it")
    elif exit_code(answers) != EXIT_UNREACHABLE:
        print(f"{fingerprint} is not in quarantine at any host asked")
    return 0 if released else exit_code(answers)


__all__ = ["release"]
