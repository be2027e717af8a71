"""Counters and latency histograms, written as Prometheus text."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

MIN_US = 1
MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
QUANTILES = (0.5, 0.95, 0.99)

Labels = tuple[tuple[str, str], ...]


class Series(NamedTuple):
    """A metric's name with its labels."""

    name: str
    labels: Labels = ()

    def text(self, *more: tuple[str, str]) -> str:
        """Format in the Prometheus text form: `name{label="value"}`."""
        labels = ",".join(f'{key}="{_escape(value)}"' for key, value in (*self.labels, *more))
        return f"{self.name}{{{labels}}}" if labels else self.name


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def series(name: str, **labels: str) -> Series:
    """Build a series, for example `series("answers_total", code="1000")`."""
    return Series(f"redwingbank_{name}", tuple(sorted(labels.items())))


class Metrics:
    """Counters, gauges and histograms of one host."""

    def __init__(self) -> None:
        self.counts: Counter[Series] = Counter()
        self.gauges: dict[Series, float] = {}
        self.histograms_by_series: dict[Series, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter."""
        self.counts[series(name, **labels)] += amount

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self.gauges[series(name, **labels)] = value

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration in seconds to a histogram."""
        key = series(name, **labels)
        histogram = self.histograms_by_series.get(key)
        if histogram is None:
            histogram = HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)
            self.histograms_by_series[key] = histogram
        value = min(max(int(seconds * US_PER_S), MIN_US), MAX_US)
        histogram.record_value(value)

    def quantile(self, name: str, quantile: float, **labels: str) -> float:
        """Return a histogram's quantile in seconds; 0.0 without observations."""
        histogram = self.histograms_by_series.get(series(name, **labels))
        if histogram is None:
            return 0.0
        return float(histogram.get_value_at_percentile(quantile * 100)) / US_PER_S

    def text(self) -> str:
        """Format all series as Prometheus text."""
        lines = [f"{key.text()} {value}" for key, value in sorted(self.counts.items())]
        lines += [f"{key.text()} {value:g}" for key, value in sorted(self.gauges.items())]
        for key, histogram in sorted(self.histograms_by_series.items()):
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile * 100) / US_PER_S
                lines.append(f"{key.text(('quantile', str(quantile)))} {value:g}")
            lines.append(
                f"{key._replace(name=key.name + '_count').text()} {histogram.total_count}"
            )
        return "\n".join(lines) + "\n"


__all__ = ["Metrics", "series"]
