"""`redwingctl status`: attainment, revisions, backend servers and quarantine of all hosts."""

from __future__ import annotations

import json
from typing import Any

from redwingbank.ctl.hosts import CaFile, Hosts, KeyFile, exit_code, query_hosts
from redwingbank.ctl.overview import Overview, summarize
from redwingbank.ctl.table_access import AsJson  # noqa: TC001 - cyclopts resolves it at run time


def status(
    *,
    host: Hosts = None,
    key_file: KeyFile = None,
    ca: CaFile = None,
    as_json: AsJson = False,
) -> int:
    """Show attainment by class, table revisions, backend servers and quarantine of the hosts.

    Example: redwingctl status --host 10.0.0.1:8080 --host 10.0.1.1:8080

    Exit codes: 0 success, 1 a host refused, 2 invalid usage, 4 a host is unreachable (the
    others are still shown).

    :param host: a daemon's IP:port, repeatable; defaults to REDWINGCTL_HOSTS
    :param key_file: a file with the operators' key; defaults to the key in REDWINGCTL_KEY
    :param ca: a PEM file with the CA certificate to trust, for https:// hosts
    :param as_json: print JSON instead of text
    """
    responses = query_hosts(host, key_file, ca, ("GET", "/status"))
    summary = summarize(response.document for response in responses if response.succeeded)
    unanswered = [response.address for response in responses if not response.succeeded]
    print(json.dumps(as_data(summary, unanswered)) if as_json else as_text(summary, unanswered))
    return exit_code(responses)


def as_data(summary: Overview, unanswered: list[str]) -> dict[str, Any]:
    """Convert an overview to JSON-compatible data."""
    return {
        "hosts": summary.hosts,
        "not_ready": summary.not_ready,
        "silent": unanswered,
        "waiting": summary.waiting_by_class,
        "in_flight": summary.in_flight,
        "converged": summary.converged,
        "attainment": [{**row._asdict(), "share": row.share} for row in summary.attainment],
        "revisions": [row._asdict() for row in summary.revisions],
        "servers": [row._asdict() for row in summary.servers],
        "quarantine": [row._asdict() for row in summary.quarantine],
    }


def as_text(summary: Overview, unanswered: list[str]) -> str:
    """Format an overview as text tables."""
    header = [f"{len(summary.hosts)} hosts answered, {len(unanswered)} did not"]
    header += [f"not ready: {', '.join(summary.not_ready)}"] if summary.not_ready else []
    if not summary.hosts:
        return "\n".join(header)
    header.append(f"in flight: {summary.in_flight}")
    parts = [
        header,
        _attainment_rows(summary),
        _revision_rows(summary),
        _server_rows(summary),
        _quarantine_rows(summary),
    ]
    return "\n\n".join("\n".join(part) for part in parts)


def _attainment_rows(summary: Overview) -> list[str]:
    rows = [f"{'class':16}{'within target':>14}{'missed':>10}{'share':>10}{'waiting':>10}"]
    waiting = dict(summary.waiting_by_class)
    for row in summary.attainment:
        share = "-" if row.share is None else f"{row.share:.2f}%"
        queued = waiting.pop(row.service_class, 0)
        rows.append(
            f"{row.service_class:16}{row.attained:14}{row.missed:10}{share:>10}{queued:10}"
        )
    rows += [f"{name:16}{0:14}{0:10}{'-':>10}{queued:10}" for name, queued in waiting.items()]
    return rows


def _revision_rows(summary: Overview) -> list[str]:
    agreement = "the same everywhere" if summary.converged else "NOT the same everywhere"
    rows = [f"{'data centre':16}{'revision':>14}  hosts ({agreement})"]
    for row in summary.revisions:
        uniform = row.lowest == row.highest
        revision = str(row.highest) if uniform else f"{row.lowest} to {row.highest}"
        rows.append(f"{row.data_centre:16}{revision:>14}  {', '.join(row.hosts)}")
    return rows


def _server_rows(summary: Overview) -> list[str]:
    rows = [f"{'backend server':16}{'pool':16}{'load':>6}  state (number of hosts)"]
    for row in summary.servers:
        states = ", ".join(f"{state} ({count})" for state, count in row.hosts_by_state.items())
        rows.append(f"{row.name:16}{row.pool:16}{row.load:6}  {states}")
    return rows


def _quarantine_rows(summary: Overview) -> list[str]:
    if not summary.quarantine:
        return ["quarantine: empty"]
    rows = ["quarantine (to release: redwingctl release FINGERPRINT)"]
    for row in summary.quarantine:
        servers = ", ".join(row.servers)
        rows.append(f"{row.fingerprint}  {row.state}  {row.seconds_left:.0f} s left  {servers}")
    return rows


__all__ = ["as_data", "as_text", "status"]
