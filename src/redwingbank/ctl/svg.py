"""Rendering of a timeline as a self-contained SVG image."""

from __future__ import annotations

from typing import TYPE_CHECKING
from xml.sax.saxutils import escape

if TYPE_CHECKING:
    from redwingbank.ctl.timeline_merge import Timeline, TimelineEntry

# Sizes in pixels.
WIDTH = 1200
LEFT_MARGIN = 140
TOP_MARGIN = 60
LANE_HEIGHT = 48
DOT_RADIUS = 4

TICK_COUNT = 10
STYLE = (
    "text{font:12px sans-serif;fill:#222}"
    "line.lane{stroke:#ccc}line.link{stroke:#777;stroke-dasharray:3 2}line.tick{stroke:#eee}"
)
COLOUR_BY_EVENT = {
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


def draw(shown: list[TimelineEntry], timeline: Timeline) -> str:
    """Draw a lane per host, a dot per entry and a dashed line from each cause to its effect."""
    hosts = sorted({entry.record.host for entry in shown})
    y_by_host = {host: TOP_MARGIN + LANE_HEIGHT * index for index, host in enumerate(hosts)}
    start_s = min((entry.at_s for entry in shown), default=0.0)
    end_s = max((entry.at_s for entry in shown), default=1.0)
    scale = (WIDTH - LEFT_MARGIN - 20) / max(end_s - start_s, 1e-6)

    def x(at_s: float) -> float:
        return LEFT_MARGIN + (at_s - start_s) * scale

    height = TOP_MARGIN + LANE_HEIGHT * len(hosts) + 20 * (1 + len(COLOUR_BY_EVENT) // 4) + 20
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}"'
        f' viewBox="0 0 {WIDTH} {height}"><style>{STYLE}</style>',
        '<rect width="100%" height="100%" fill="#fff"/>',
        *(_tick(x(at_s), at_s, height) for at_s in _ticks(start_s, end_s)),
        *(_lane(host, y, timeline) for host, y in y_by_host.items()),
        *_link_lines(
            shown, {id(entry.record): (x(entry.at_s), entry) for entry in shown}, y_by_host
        ),
        *(_dot(x(entry.at_s), y_by_host[entry.record.host], entry) for entry in shown),
        *_legend(height),
        "</svg>",
    ]
    return "\n".join(parts) + "\n"


def _ticks(start_s: float, end_s: float) -> list[float]:
    step_s = (end_s - start_s) / TICK_COUNT
    return [start_s + step_s * number for number in range(TICK_COUNT + 1)]


def _tick(x: float, at_s: float, height: int) -> str:
    return (
        f'<line class="tick" x1="{x:.1f}" x2="{x:.1f}" y1="36" y2="{height - 70}"/>'
        f'<text x="{x:.1f}" y="24" text-anchor="middle">{at_s:.3f} s</text>'
    )


def _lane(host: str, y: float, timeline: Timeline) -> str:
    title = escape(timeline.skews.by_host[host].describe())
    return (
        f'<line class="lane" x1="{LEFT_MARGIN}" x2="{WIDTH - 20}" y1="{y}" y2="{y}"/>'
        f'<text x="8" y="{y + 4}">{escape(host)}<title>{title}</title></text>'
    )


def _link_lines(
    shown: list[TimelineEntry],
    position_by_record_id: dict[int, tuple[float, TimelineEntry]],
    y_by_host: dict[str, int],
) -> list[str]:
    """Draw a line from each shown cause to its effect."""
    lines = []
    for entry in shown:
        if entry.cause is None or id(entry.cause) not in position_by_record_id:
            continue
        from_x, to_x = (
            position_by_record_id[id(entry.cause)][0],
            position_by_record_id[id(entry.record)][0],
        )
        from_y, to_y = y_by_host[entry.cause.host], y_by_host[entry.record.host]
        lines.append(
            f'<line class="link" x1="{from_x:.1f}" y1="{from_y}" x2="{to_x:.1f}" y2="{to_y}"/>'
        )
    return lines


def _dot(x: float, y: float, entry: TimelineEntry) -> str:
    record = entry.record
    colour = COLOUR_BY_EVENT.get(record.event, OTHER_COLOUR)
    title = escape(f"{entry.at_s:.4f} s {record.host}: {record.event} {record.format_fields()}")
    return (
        f'<circle cx="{x:.1f}" cy="{y}" r="{DOT_RADIUS}" fill="{colour}">'
        f"<title>{title}</title></circle>"
    )


def _legend(height: int) -> list[str]:
    parts = []
    for index, (event, colour) in enumerate([*COLOUR_BY_EVENT.items(), ("other", OTHER_COLOUR)]):
        x, y = LEFT_MARGIN + 200 * (index % 5), height - 36 + 18 * (index // 5)
        parts.append(f'<circle cx="{x}" cy="{y}" r="{DOT_RADIUS}" fill="{colour}"/>')
        parts.append(f'<text x="{x + 8}" y="{y + 4}">{event}</text>')
    return parts


__all__ = ["draw"]
