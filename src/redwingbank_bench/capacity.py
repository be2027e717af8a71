"""Derives the capacity page's table: measured slopes times the size to design for."""

from __future__ import annotations

import sys
import tomllib
from pathlib import Path
from typing import NamedTuple

PAGE = Path("docs/CAPACITY.md")
SLOPES = Path("docs/measurements/slopes.toml")
BEGIN = "<!-- derived by python -m redwingbank_bench.capacity -->"
END = "<!-- end of what is derived -->"
SECONDS_A_DAY = 86_400
MILLISECONDS = 1000.0
KIBIBYTE = 1024


class Size(NamedTuple):
    """The size to design for; rates are a second unless a day is named."""

    nodes: int = 390
    runners: int = 4_200
    pools: int = 3
    data_centres: int = 10
    requests: float = 51_000.0
    tokens: float = 12_000_000.0
    changes_a_day: float = 16_000.0
    replacements_a_day: float = 1_200.0
    servers_a_cell: int = 64
    cells_a_host_and_pool: int = 2
    reads_an_interval: int = 4
    load_interval_s: float = 0.5
    ttl_s: float = 2.0
    renewals_a_ttl: float = 4.0
    head_reads: float = 40.0
    list_interval_s: float = 60.0
    relays: int = 2

    @property
    def cells(self) -> int:
        """Cells of all pools."""
        return self.pools * -(-self.runners // self.pools // self.servers_a_cell)

    @property
    def cells_a_host(self) -> int:
        """Cells that one host sends to."""
        return self.pools * self.cells_a_host_and_pool

    @property
    def hosts_a_cell(self) -> float:
        """Hosts that send to one cell, on average."""
        return self.nodes * self.cells_a_host / self.cells

    @property
    def changes(self) -> float:
        """Table changes a second."""
        return self.changes_a_day / SECONDS_A_DAY


class Slope(NamedTuple):
    """A measured figure with its spread and the command that gave it."""

    value: float
    least: float
    largest: float
    command: str


class Row(NamedTuple):
    """A derived figure: its spread, the limit it is held against and what carries it."""

    role: str
    figure: str
    value: float
    least: float
    largest: float
    unit: str
    limit: float
    mechanism: str

    def text(self) -> str:
        """Write one line of the page's table."""
        fits = "" if not self.limit else ("yes" if self.largest <= self.limit else "**no**")
        limit = f"{self.limit:,.4g}" if self.limit else ""
        spread = f"{self.least:,.4g} to {self.largest:,.4g}"
        cells = (self.role, self.figure, f"{self.value:,.4g} {self.unit}", spread, limit, fits)
        return "| " + " | ".join((*cells, self.mechanism)) + " |"


def read_slopes(path: Path) -> dict[str, Slope]:
    """Read the measured figures by name."""
    document = tomllib.loads(path.read_text())
    return {name: Slope(**row) for name, row in document.items()}


class Derivation:
    """Builds rows out of slopes; each factor is what the slope is multiplied by."""

    def __init__(self, slopes: dict[str, Slope]) -> None:
        self._slopes = slopes
        self.rows: list[Row] = []

    def add(
        self,
        role: str,
        figure: str,
        terms: dict[str, float],
        unit: str,
        limit: float,
        mechanism: str,
    ) -> None:
        """Add a row that is the sum of slopes by name, each times its factor."""
        value, least, largest = (
            sum(getattr(self._slopes[name], part) * factor for name, factor in terms.items())
            for part in ("value", "least", "largest")
        )
        self.rows.append(Row(role, figure, value, least, largest, unit, limit, mechanism))


def derive(size: Size, slopes: dict[str, Slope]) -> list[Row]:
    """Derive every row."""
    page = Derivation(slopes)
    _members(page, size)
    _allocation(page, size)
    _requests(page, size)
    _platform(page, size)
    return page.rows


def _members(page: Derivation, size: Size) -> None:
    page.add(
        "each node",
        "heartbeats, table news",
        {"heartbeat_bytes_per_s": 1.0},
        "B/s",
        2048.0,
        "one random member a period, news on the back, whatever the fleet's size",
    )
    page.add(
        "each node",
        "core for heartbeats",
        {"heartbeat_core_percent": 1.0},
        "%",
        1.0,
        "bounded fan-out",
    )
    page.add(
        "each node",
        "core for table changes",
        {"change_ms": size.changes * 100.0 / MILLISECONDS},
        "%",
        1.0,
        "only the page that changed is pulled and read",
    )
    page.add(
        "each node",
        "members and daemon in memory",
        {"member_kib": 1.0 / KIBIBYTE, "rss_mib": 1.0},
        "MiB",
        128.0,
        "views, sketches and caches have a bound each",
    )


def _allocation(page: Derivation, size: Size) -> None:
    renewals = size.cells_a_host * size.renewals_a_ttl / size.ttl_s
    answers = size.hosts_a_cell * size.renewals_a_ttl / size.ttl_s
    page.add(
        "each node",
        "demands when nothing changes",
        {"demand_bytes": renewals},
        "B/s",
        2048.0,
        f"{size.cells_a_host} cells a host, renewed 4 times a TTL",
    )
    page.add(
        "node that allocates a cell",
        "allocations when nothing changes",
        {"allocation_bytes": answers},
        "B/s",
        2048.0,
        f"a cell of 64 servers has {size.hosts_a_cell:.0f} hosts",
    )
    page.add(
        "mean over the nodes",
        "allocations when nothing changes",
        {"allocation_bytes": answers * size.cells / size.nodes},
        "B/s",
        2048.0,
        f"{size.cells} cells spread over {size.nodes} hosts by rendezvous",
    )
    page.add(
        "node that allocates a cell",
        "core for allocating, 4 a second",
        {"allocate_ms": 4.0 * 100.0 / MILLISECONDS},
        "%",
        1.0,
        "one pass over hosts and servers, after demands",
    )
    page.add(
        "each node",
        "core for reading loads",
        {"read_ms": size.reads_an_interval / size.load_interval_s * 100.0 / MILLISECONDS},
        "%",
        1.0,
        "4 servers an interval at most, in turn",
    )


def _requests(page: Derivation, size: Size) -> None:
    requests = size.requests / size.nodes
    tokens = size.tokens / size.nodes
    page.add(
        "each node",
        "cores for requests (not control)",
        {"request_ms": requests / MILLISECONDS, "token_us": tokens / 1e6},
        "cores",
        0.0,
        "several daemons a host; frames are cut and counted, not parsed",
    )
    page.add(
        "each node",
        "core for choosing servers (not control)",
        {"choose_us": requests * 100.0 / 1e6},
        "%",
        0.0,
        "two random choices and prefix affinity over one cell",
    )


def _platform(page: Derivation, size: Size) -> None:
    page.add(
        "platform",
        "reads, waiting watches counted",
        {
            "one": size.head_reads
            + size.nodes / size.list_interval_s
            + size.relays * size.data_centres
        },
        "/s",
        2000.0,
        "two watching relays a data centre; the rest learn from heartbeats",
    )
    page.add(
        "platform",
        "writes for table changes",
        {"writes_a_change": size.changes},
        "/s",
        300.0,
        "a page, the history and the head, each conditional",
    )


def table_text(rows: list[Row]) -> str:
    """Write the page's table."""
    head = "| role | what | at that size | spread | limit | fits | mechanism |"
    rule = "| --- | --- | --- | --- | --- | --- | --- |"
    return "\n".join([BEGIN, head, rule, *(row.text() for row in rows), END])


def main() -> int:
    """Write the table into the page, or with `--check` tell whether it is there already."""
    text = table_text(derive(Size(), read_slopes(SLOPES)))
    page = PAGE.read_text()
    before, _, rest = page.partition(BEGIN)
    after = rest.partition(END)[2]
    if "--check" in sys.argv:
        return 0 if text in page else 1
    PAGE.write_text(before + text + after)
    print(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())

__all__ = ["Derivation", "Row", "Size", "Slope", "derive", "read_slopes", "table_text"]
