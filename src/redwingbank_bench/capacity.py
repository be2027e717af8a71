"""Derives the capacity page's table from measured slopes and the size to design for."""

from __future__ import annotations

import sys
import tomllib
from pathlib import Path
from typing import NamedTuple

PAGE = Path("docs/CAPACITY.md")
SLOPES = Path("docs/measurements/slopes.toml")
BEGIN = "<!-- derived by python -m redwingbank_bench.capacity -->"
END = "<!-- end of what is derived -->"
SECONDS_PER_DAY = 86_400
MILLISECONDS = 1000.0
KIBIBYTE = 1024


class Size(NamedTuple):
    """The size to design for; rates are per second unless the name says otherwise."""

    hosts: int = 390
    backend_servers: int = 4_200
    pools: int = 3
    data_centres: int = 10
    requests_per_s: float = 51_000.0
    tokens_per_s: float = 12_000_000.0
    table_changes_per_day: float = 16_000.0
    replacements_per_day: float = 1_200.0
    servers_per_cell: int = 64
    cells_per_host_and_pool: int = 2
    reads_per_interval: int = 4
    load_interval_s: float = 0.5
    allocation_ttl_s: float = 2.0
    renewals_per_ttl: float = 4.0
    head_reads_per_s: float = 40.0
    list_interval_s: float = 60.0
    relays_per_data_centre: int = 2

    @property
    def cells(self) -> int:
        """The number of cells of all pools."""
        return self.pools * -(-self.backend_servers // self.pools // self.servers_per_cell)

    @property
    def cells_per_host(self) -> int:
        """The number of cells that one host sends to."""
        return self.pools * self.cells_per_host_and_pool

    @property
    def hosts_per_cell(self) -> float:
        """The mean number of hosts that send to one cell."""
        return self.hosts * self.cells_per_host / self.cells

    @property
    def table_changes_per_s(self) -> float:
        """The number of table changes per second."""
        return self.table_changes_per_day / SECONDS_PER_DAY


class Slope(NamedTuple):
    """A measured figure with its spread and the command that measured it."""

    value: float
    least: float
    largest: float
    command: str


class Row(NamedTuple):
    """A derived figure with its spread, its limit (0 for none) and the mechanism behind it."""

    role: str
    figure: str
    value: float
    least: float
    largest: float
    unit: str
    limit: float
    mechanism: str

    def format_row(self) -> str:
        """Format the row as a line of the page's table."""
        fits = "" if not self.limit else ("yes" if self.largest <= self.limit else "**no**")
        limit = f"{self.limit:,.4g}" if self.limit else ""
        spread = f"{self.least:,.4g} to {self.largest:,.4g}"
        cells = (self.role, self.figure, f"{self.value:,.4g} {self.unit}", spread, limit, fits)
        return "| " + " | ".join((*cells, self.mechanism)) + " |"


def read_slopes(path: Path) -> dict[str, Slope]:
    """Read the measured slopes by name."""
    document = tomllib.loads(path.read_text())
    return {name: Slope(**row) for name, row in document.items()}


class Derivation:
    """Builds rows from slopes."""

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
        """Add a row: the sum of the named slopes, each multiplied by its factor."""
        value, least, largest = (
            sum(getattr(self._slopes[name], part) * factor for name, factor in terms.items())
            for part in ("value", "least", "largest")
        )
        self.rows.append(Row(role, figure, value, least, largest, unit, limit, mechanism))


def derive(size: Size, slopes: dict[str, Slope]) -> list[Row]:
    """Derive all rows."""
    derivation = Derivation(slopes)
    _members(derivation, size)
    _allocation(derivation, size)
    _requests(derivation, size)
    _platform(derivation, size)
    return derivation.rows


def _members(derivation: Derivation, size: Size) -> None:
    derivation.add(
        "each node",
        "heartbeats, table news",
        {"heartbeat_bytes_per_s": 1.0},
        "B/s",
        2048.0,
        "one random member a period, news on the back, whatever the fleet's size",
    )
    derivation.add(
        "each node",
        "core for heartbeats",
        {"heartbeat_core_percent": 1.0},
        "%",
        1.0,
        "bounded fan-out",
    )
    derivation.add(
        "each node",
        "core for table changes",
        {"change_ms": size.table_changes_per_s * 100.0 / MILLISECONDS},
        "%",
        1.0,
        "only the page that changed is pulled and read",
    )
    derivation.add(
        "each node",
        "members and daemon in memory",
        {"member_kib": 1.0 / KIBIBYTE, "rss_mib": 1.0},
        "MiB",
        128.0,
        "views, sketches and caches have a bound each",
    )


def _allocation(derivation: Derivation, size: Size) -> None:
    renewals = size.cells_per_host * size.renewals_per_ttl / size.allocation_ttl_s
    answers = size.hosts_per_cell * size.renewals_per_ttl / size.allocation_ttl_s
    derivation.add(
        "each node",
        "demands when nothing changes",
        {"demand_bytes": renewals},
        "B/s",
        2048.0,
        f"{size.cells_per_host} cells a host, renewed 4 times a TTL",
    )
    derivation.add(
        "node that allocates a cell",
        "allocations when nothing changes",
        {"allocation_bytes": answers},
        "B/s",
        2048.0,
        f"a cell of 64 servers has {size.hosts_per_cell:.0f} hosts",
    )
    derivation.add(
        "mean over the nodes",
        "allocations when nothing changes",
        {"allocation_bytes": answers * size.cells / size.hosts},
        "B/s",
        2048.0,
        f"{size.cells} cells spread over {size.hosts} hosts by rendezvous",
    )
    derivation.add(
        "node that allocates a cell",
        "core for allocating, 4 a second",
        {"allocate_ms": 4.0 * 100.0 / MILLISECONDS},
        "%",
        1.0,
        "one pass over hosts and servers, after demands",
    )
    derivation.add(
        "each node",
        "core for reading loads",
        {"read_ms": size.reads_per_interval / size.load_interval_s * 100.0 / MILLISECONDS},
        "%",
        1.0,
        "4 servers an interval at most, in turn",
    )


def _requests(derivation: Derivation, size: Size) -> None:
    requests_per_s = size.requests_per_s / size.hosts
    tokens_per_s = size.tokens_per_s / size.hosts
    derivation.add(
        "each node",
        "cores for requests (not control)",
        {"request_ms": requests_per_s / MILLISECONDS, "token_us": tokens_per_s / 1e6},
        "cores",
        0.0,
        "several daemons a host; frames are cut and counted, not parsed",
    )
    derivation.add(
        "each node",
        "core for choosing servers (not control)",
        {"choose_us": requests_per_s * 100.0 / 1e6},
        "%",
        0.0,
        "two random choices and prefix affinity over one cell",
    )


def _platform(derivation: Derivation, size: Size) -> None:
    derivation.add(
        "platform",
        "reads, waiting watches counted",
        {
            "one": size.head_reads_per_s
            + size.hosts / size.list_interval_s
            + size.relays_per_data_centre * size.data_centres
        },
        "/s",
        2000.0,
        "two watching relays a data centre; the rest learn from heartbeats",
    )
    derivation.add(
        "platform",
        "writes for table changes",
        {"writes_a_change": size.table_changes_per_s},
        "/s",
        300.0,
        "a page, the history and the head, each conditional",
    )


def format_table(rows: list[Row]) -> str:
    """Format the page's table."""
    head = "| role | what | at that size | spread | limit | fits | mechanism |"
    rule = "| --- | --- | --- | --- | --- | --- | --- |"
    return "\n".join([BEGIN, head, rule, *(row.format_row() for row in rows), END])


def main() -> int:
    """Write the table into the page; with `--check`, return 1 if the page differs."""
    table = format_table(derive(Size(), read_slopes(SLOPES)))
    page = PAGE.read_text()
    before, _, rest = page.partition(BEGIN)
    after = rest.partition(END)[2]
    if "--check" in sys.argv:
        return 0 if table in page else 1
    PAGE.write_text(before + table + after)
    print(table)
    return 0


if __name__ == "__main__":
    sys.exit(main())

__all__ = ["Derivation", "Row", "Size", "Slope", "derive", "read_slopes", "format_table"]
