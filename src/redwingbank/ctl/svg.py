"""A time line as one self-contained SVG picture."""

from __future__ import annotations

from typing import TYPE_CHECKING
from xml.sax.saxutils import escape

if TYPE_CHECKING:
    from redwingbank.ctl.timeline_merge import Moment, TimeLine

WIDTH = 1200
MARGIN = 140
TOP = 60
LANE = 48
DOT = 4
TICKS = 10
STYLE = (
    "text{font:12px sans-serif;fill:#222}"
    "line.lane{stroke:#ccc}line.link{stroke:#777;stroke-dasharray:3 2}line.tick{stroke:#eee}"
)
COLOUR_BY_WORD = {
    "request-granted": "#1f77b4",
    "request-done": "#2ca02c",
    "request-refused": "#d62728",
    "attempt-failed": "#ff7f0e",
    "server-state": "#9467bd",
    "notice": "#8c564b",
    "notice-learned": "#c49c94",
    "table-in-force": "#17becf",
}
OTHER_COLOUR = "#555"


def draw(shown: list[Moment], line: TimeLine) -> str:
    """Draw a lane a host, a dot a moment, and dashes from cause to effect."""
    hosts = sorted({moment.record.host for moment in shown})
    y_by_host = {host: TOP + LANE * index for index, host in enumerate(hosts)}
    begins_s = min((moment.at_s for moment in shown), default=0.0)
    ends_s = max((moment.at_s for moment in shown), default=1.0)
    scale = (WIDTH - MARGIN - 20) / max(ends_s - begins_s, 1e-6)

    def x(at_s: float) -> float:
        return MARGIN + (at_s - begins_s) * scale

    height = TOP + LANE * len(hosts) + 20 * (1 + len(COLOUR_BY_WORD) // 4) + 20
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}"'
        f' viewBox="0 0 {WIDTH} {height}"><style>{STYLE}</style>',
        '<rect width="100%" height="100%" fill="#fff"/>',
        *(_tick(x(at_s), at_s, height) for at_s in _ticks(begins_s, ends_s)),
        *(_lane(host, y, line) for host, y in y_by_host.items()),
        *_links(shown, {id(one.record): (x(one.at_s), one) for one in shown}, y_by_host),
        *(_dot(x(one.at_s), y_by_host[one.record.host], one) for one in shown),
        *_legend(height),
        "</svg>",
    ]
    return "\n".join(parts) + "\n"


def _ticks(begins_s: float, ends_s: float) -> list[float]:
    step_s = (ends_s - begins_s) / TICKS
    return [begins_s + step_s * number for number in range(TICKS + 1)]


def _tick(x: float, at_s: float, height: int) -> str:
    return (
        f'<line class="tick" x1="{x:.1f}" x2="{x:.1f}" y1="36" y2="{height - 70}"/>'
        f'<text x="{x:.1f}" y="24" text-anchor="middle">{at_s:.3f} s</text>'
    )


def _lane(host: str, y: float, line: TimeLine) -> str:
    skew = escape(line.skews.by_host[host].text())
    return (
        f'<line class="lane" x1="{MARGIN}" x2="{WIDTH - 20}" y1="{y}" y2="{y}"/>'
        f'<text x="8" y="{y + 4}">{escape(host)}<title>{skew}</title></text>'
    )


def _links(
    shown: list[Moment], place_by_id: dict[int, tuple[float, Moment]], y_by_host: dict[str, int]
) -> list[str]:
    """Dashes to each shown effect from its cause, where that is shown as well."""
    lines = []
    for moment in shown:
        if moment.cause is None or id(moment.cause) not in place_by_id:
            continue
        from_x, to_x = place_by_id[id(moment.cause)][0], place_by_id[id(moment.record)][0]
        from_y, to_y = y_by_host[moment.cause.host], y_by_host[moment.record.host]
        lines.append(
            f'<line class="link" x1="{from_x:.1f}" y1="{from_y}" x2="{to_x:.1f}" y2="{to_y}"/>'
        )
    return lines


def _dot(x: float, y: float, moment: Moment) -> str:
    record = moment.record
    colour = COLOUR_BY_WORD.get(record.event, OTHER_COLOUR)
    title = escape(f"{moment.at_s:.4f} s {record.host}: {record.event} {record.format_fields()}")
    return (
        f'<circle cx="{x:.1f}" cy="{y}" r="{DOT}" fill="{colour}"><title>{title}</title></circle>'
    )


def _legend(height: int) -> list[str]:
    parts = []
    for index, (word, colour) in enumerate([*COLOUR_BY_WORD.items(), ("other", OTHER_COLOUR)]):
        x, y = MARGIN + 200 * (index % 5), height - 36 + 18 * (index // 5)
        parts.append(f'<circle cx="{x}" cy="{y}" r="{DOT}" fill="{colour}"/>')
        parts.append(f'<text x="{x + 8}" y="{y + 4}">{word}</text>')
    return parts


__all__ = ["draw"]
