"""What the daemons' status documents say together."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

PER_CENT = 100.0


class Attainment(NamedTuple):
    """Answers of a class within and past its latency target, over all hosts."""

    service_class: str
    attained: int
    missed: int

    @property
    def share(self) -> float | None:
        """Attained in per cent; none where nothing was answered."""
        answers = self.attained + self.missed
        return PER_CENT * self.attained / answers if answers else None


class Revisions(NamedTuple):
    """The table revisions in force in a data centre, and its hosts."""

    data_centre: str
    lowest: int
    highest: int
    hosts: tuple[str, ...]


class Server(NamedTuple):
    """A backend server as the hosts see it: how many see it in each state, the highest load."""

    name: str
    pool: str
    hosts_by_state: dict[str, int]
    load: int


class Held(NamedTuple):
    """A fingerprint under suspicion or in quarantine; the longest time left of all hosts."""

    fingerprint: str
    state: str
    servers: tuple[str, ...]
    seconds_left: float


class Overview(NamedTuple):
    """All hosts' status as one."""

    hosts: tuple[str, ...]
    not_ready: tuple[str, ...]
    waiting_by_class: dict[str, int]
    in_flight: int
    attainment: tuple[Attainment, ...]
    revisions: tuple[Revisions, ...]
    servers: tuple[Server, ...]
    quarantine: tuple[Held, ...]

    @property
    def converged(self) -> bool:
        """Whether one revision is in force everywhere."""
        return len({end for row in self.revisions for end in (row.lowest, row.highest)}) <= 1


def overview(documents: Iterable[Mapping[str, Any]]) -> Overview:
    """Sum what the daemons say; a key that a document lacks counts as nothing.

    Documents are those of `GET /status`: `host`, `data_centre`, `ready`, `revision`,
    `attainment` (`{class: {attained, missed}}`), `waiting` (`{class: count}`), `in_flight`,
    `servers` (`{name: {pool, state, load}}`) and `quarantine` (a list of cases).
    """
    known = {str(one.get("host", "")): one for one in documents}
    by_name = dict(sorted(known.items()))
    waiting: Counter[str] = Counter()
    for document in by_name.values():
        waiting.update(document.get("waiting", {}))
    return Overview(
        hosts=tuple(by_name),
        not_ready=tuple(name for name, one in by_name.items() if not one.get("ready")),
        waiting_by_class=dict(sorted(waiting.items())),
        in_flight=sum(int(one.get("in_flight", 0)) for one in by_name.values()),
        attainment=_attainment(by_name.values()),
        revisions=_revisions(by_name),
        servers=_servers(by_name.values()),
        quarantine=_quarantine(by_name.values()),
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


def _revisions(document_by_host: Mapping[str, Mapping[str, Any]]) -> tuple[Revisions, ...]:
    hosts_by_centre: dict[str, list[str]] = {}
    for host, document in document_by_host.items():
        hosts_by_centre.setdefault(str(document.get("data_centre", "")), []).append(host)
    rows = []
    for centre, hosts in sorted(hosts_by_centre.items()):
        revisions = [int(document_by_host[host].get("revision", 0)) for host in hosts]
        rows.append(Revisions(centre, min(revisions), max(revisions), tuple(hosts)))
    return tuple(rows)


def _servers(documents: Iterable[Mapping[str, Any]]) -> tuple[Server, ...]:
    by_name: dict[str, Server] = {}
    for document in documents:
        for name, row in document.get("servers", {}).items():
            seen = by_name.get(name) or Server(name, str(row.get("pool", "")), {}, 0)
            state = str(row.get("state", ""))
            states = Counter(seen.hosts_by_state) + Counter([state])
            load = max(seen.load, int(row.get("load", 0)))
            by_name[name] = seen._replace(hosts_by_state=dict(states), load=load)
    return tuple(by_name[name] for name in sorted(by_name))


def _quarantine(documents: Iterable[Mapping[str, Any]]) -> tuple[Held, ...]:
    by_fingerprint: dict[str, Held] = {}
    for document in documents:
        for case in document.get("quarantine", []):
            servers = tuple(case.get("servers", ()))
            held = Held(case["fingerprint"], case["state"], servers, case["seconds_left"])
            known = by_fingerprint.get(held.fingerprint, held)
            # "quarantined" sorts before "suspect", the longer time before the shorter
            first = min(known, held, key=lambda one: (one.state, -one.seconds_left))
            both = tuple(sorted({*known.servers, *held.servers}))
            by_fingerprint[held.fingerprint] = first._replace(servers=both)
    return tuple(by_fingerprint[name] for name in sorted(by_fingerprint))


__all__ = ["Attainment", "Held", "Overview", "Revisions", "Server", "overview"]
