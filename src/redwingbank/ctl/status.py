"""`redwingctl status`: attainment, revisions, servers and quarantine over all data centres."""

from __future__ import annotations

import json
from typing import Any

from redwingbank.ctl.hosts import Authority, Hosts, KeyFile, ask_and_tell, exit_code
from redwingbank.ctl.overview import Overview, overview
from redwingbank.ctl.tables import AsJson  # noqa: TC001 - cyclopts reads it


def status(
    *,
    host: Hosts = None,
    key_file: KeyFile = None,
    ca: Authority = None,
    as_json: AsJson = False,
) -> int:
    """Show attainment by class, revisions, backend servers and quarantine over all hosts asked.

    Example: redwingctl status --host 10.0.0.1:8080 --host 10.0.1.1:8080

    Exit codes: 0 shown, 1 a host refused, 2 wrong usage, 4 a host is out of reach (the rest is
    shown all the same).

    :param host: a daemon's IP:port; may be given again; else REDWINGCTL_HOSTS
    :param key_file: the operators' key; else REDWINGCTL_KEY
    :param ca: a PEM file of the authority to trust, for https:// hosts
    :param as_json: write JSON instead of text
    """
    answers = ask_and_tell(host, key_file, ca, ("GET", "/status"))
    found = overview(answer.document for answer in answers if answer.found)
    silent = [answer.address for answer in answers if not answer.found]
    print(json.dumps(as_data(found, silent)) if as_json else as_text(found, silent))
    return exit_code(answers)


def as_data(found: Overview, silent: list[str]) -> dict[str, Any]:
    """Write an overview as plain data."""
    return {
        "hosts": found.hosts,
        "not_ready": found.not_ready,
        "silent": silent,
        "waiting": found.waiting_by_class,
        "in_flight": found.in_flight,
        "converged": found.converged,
        "attainment": [{**row._asdict(), "share": row.share} for row in found.attainment],
        "revisions": [row._asdict() for row in found.revisions],
        "servers": [row._asdict() for row in found.servers],
        "quarantine": [row._asdict() for row in found.quarantine],
    }


def as_text(found: Overview, silent: list[str]) -> str:
    """Write an overview as a few small tables."""
    heads = [f"{len(found.hosts)} hosts answered, {len(silent)} did not"]
    heads += [f"not ready: {', '.join(found.not_ready)}"] if found.not_ready else []
    if not found.hosts:
        return "\n".join(heads)
    heads.append(f"in flight: {found.in_flight}")
    parts = [heads, _attainment(found), _revisions(found), _servers(found), _quarantine(found)]
    return "\n\n".join("\n".join(part) for part in parts)


def _attainment(found: Overview) -> list[str]:
    rows = [f"{'class':16}{'within target':>14}{'past it':>10}{'share':>10}{'waiting':>10}"]
    waiting = dict(found.waiting_by_class)
    for row in found.attainment:
        share = "-" if row.share is None else f"{row.share:.2f}%"
        queued = waiting.pop(row.service_class, 0)
        rows.append(
            f"{row.service_class:16}{row.attained:14}{row.missed:10}{share:>10}{queued:10}"
        )
    rows += [f"{name:16}{0:14}{0:10}{'-':>10}{queued:10}" for name, queued in waiting.items()]
    return rows


def _revisions(found: Overview) -> list[str]:
    told = "everywhere the same" if found.converged else "NOT the same everywhere"
    rows = [f"{'data centre':16}{'revision':>14}  hosts ({told})"]
    for row in found.revisions:
        one = row.lowest == row.highest
        revision = str(row.highest) if one else f"{row.lowest} to {row.highest}"
        rows.append(f"{row.data_centre:16}{revision:>14}  {', '.join(row.hosts)}")
    return rows


def _servers(found: Overview) -> list[str]:
    rows = [f"{'backend server':16}{'pool':16}{'load':>6}  state (hosts that see it so)"]
    for row in found.servers:
        states = ", ".join(f"{state} ({count})" for state, count in row.hosts_by_state.items())
        rows.append(f"{row.name:16}{row.pool:16}{row.load:6}  {states}")
    return rows


def _quarantine(found: Overview) -> list[str]:
    if not found.quarantine:
        return ["quarantine: empty"]
    rows = ["quarantine (redwingctl release FINGERPRINT lets one run again)"]
    for row in found.quarantine:
        servers = ", ".join(row.servers)
        rows.append(f"{row.fingerprint}  {row.state}  {row.seconds_left:.0f} s left  {servers}")
    return rows


__all__ = ["as_data", "as_text", "status"]
