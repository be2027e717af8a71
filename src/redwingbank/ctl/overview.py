"""Aggregation of the daemons' status documents."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

PER_CENT = 100.0


class Attainment(NamedTuple):
    """Answers of a class that met and missed its latency target, summed over all hosts."""

    service_class: str
    attained: int
    missed: int

    @property
    def share(self) -> float | None:
        """The percentage attained; None if there were no answers."""
        answers = self.attained + self.missed
        return PER_CENT * self.attained / answers if answers else None


class DataCentreRevisions(NamedTuple):
    """The lowest and highest table revision in force in a data centre, and its hosts."""

    data_centre: str
    lowest: int
    highest: int
    hosts: tuple[str, ...]


class ServerSummary(NamedTuple):
    """A backend server: the number of hosts by reported state, and the highest load."""

    name: str
    pool: str
    hosts_by_state: dict[str, int]
    load: int


class QuarantineCase(NamedTuple):
    """A suspect or quarantined fingerprint, with its worst state and longest time left."""

    fingerprint: str
    state: str
    servers: tuple[str, ...]
    seconds_left: float


class Overview(NamedTuple):
    """The aggregated status of all hosts."""

    hosts: tuple[str, ...]
    not_ready: tuple[str, ...]
    waiting_by_class: dict[str, int]
    in_flight: int
    attainment: tuple[Attainment, ...]
    revisions: tuple[DataCentreRevisions, ...]
    servers: tuple[ServerSummary, ...]
    quarantine: tuple[QuarantineCase, ...]

    @property
    def converged(self) -> bool:
        """Whether the same revision is in force on all hosts."""
        return (
            len({revision for row in self.revisions for revision in (row.lowest, row.highest)})
            <= 1
        )


def summarize(documents: Iterable[Mapping[str, Any]]) -> Overview:
    """Aggregate the documents of `GET /status`; missing keys count as zero or empty.

    A document has the keys `host`, `data_centre`, `ready`, `revision`,
    `attainment` (`{class: {attained, missed}}`), `waiting` (`{class: count}`), `in_flight`,
    `servers` (`{name: {pool, state, load}}`) and `quarantine` (a list of cases).
    """
    by_host = {str(document.get("host", "")): document for document in documents}
    document_by_host = dict(sorted(by_host.items()))
    waiting: Counter[str] = Counter()
    for document in document_by_host.values():
        waiting.update(document.get("waiting", {}))
    return Overview(
        hosts=tuple(document_by_host),
        not_ready=tuple(
            host for host, document in document_by_host.items() if not document.get("ready")
        ),
        waiting_by_class=dict(sorted(waiting.items())),
        in_flight=sum(int(document.get("in_flight", 0)) for document in document_by_host.values()),
        attainment=_attainment(document_by_host.values()),
        revisions=_revisions(document_by_host),
        servers=_servers(document_by_host.values()),
        quarantine=_quarantine(document_by_host.values()),
    )


def _attainment(documents: Iterable[Mapping[str, Any]]) -> tuple[Attainment, ...]:
    attained: Counter[str] = Counter()
    missed: Counter[str] = Counter()
    for document in documents:
        for name, row in document.get("attainment", {}).items():
            attained[name] += int(row.get("attained", 0))
            missed[name] += int(row.get("missed", 0))
    names = sorted(attained.keys() | missed.keys())
    return tuple(Attainment(name, attained[name], missed[name]) for name in names)


def _revisions(
    document_by_host: Mapping[str, Mapping[str, Any]],
) -> tuple[DataCentreRevisions, ...]:
    hosts_by_data_centre: dict[str, list[str]] = {}
    for host, document in document_by_host.items():
        hosts_by_data_centre.setdefault(str(document.get("data_centre", "")), []).append(host)
    rows = []
    for data_centre, hosts in sorted(hosts_by_data_centre.items()):
        revisions = [int(document_by_host[host].get("revision", 0)) for host in hosts]
        rows.append(DataCentreRevisions(data_centre, min(revisions), max(revisions), tuple(hosts)))
    return tuple(rows)


def _servers(documents: Iterable[Mapping[str, Any]]) -> tuple[ServerSummary, ...]:
    server_by_name: dict[str, ServerSummary] = {}
    for document in documents:
        for name, row in document.get("servers", {}).items():
            server = server_by_name.get(name) or ServerSummary(
                name, str(row.get("pool", "")), {}, 0
            )
            state = str(row.get("state", ""))
            states = Counter(server.hosts_by_state) + Counter([state])
            load = max(server.load, int(row.get("load", 0)))
            server_by_name[name] = server._replace(hosts_by_state=dict(states), load=load)
    return tuple(server_by_name[name] for name in sorted(server_by_name))


def _quarantine(documents: Iterable[Mapping[str, Any]]) -> tuple[QuarantineCase, ...]:
    case_by_fingerprint: dict[str, QuarantineCase] = {}
    for document in documents:
        for row in document.get("quarantine", []):
            servers = tuple(row.get("servers", ()))
            case = QuarantineCase(row["fingerprint"], row["state"], servers, row["seconds_left"])
            known = case_by_fingerprint.get(case.fingerprint, case)
            # "quarantined" sorts before "suspect", and a longer time left before a shorter one
            worst = min(known, case, key=lambda held: (held.state, -held.seconds_left))
            all_servers = tuple(sorted({*known.servers, *case.servers}))
            case_by_fingerprint[case.fingerprint] = worst._replace(servers=all_servers)
    return tuple(case_by_fingerprint[name] for name in sorted(case_by_fingerprint))


__all__ = [
    "Attainment",
    "DataCentreRevisions",
    "Overview",
    "QuarantineCase",
    "ServerSummary",
    "summarize",
]
