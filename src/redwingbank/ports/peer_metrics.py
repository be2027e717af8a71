"""Exports the control socket's counters as metrics of the host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.metrics import series

if TYPE_CHECKING:
    from collections import Counter

    from redwingbank.metrics import Metrics
    from redwingbank.ports.peers import PeerCounters


def export_peer_counters(counters: PeerCounters, metrics: Metrics) -> None:
    """Copy the counters of each kind and drop reason to the `peer_..._total` metrics."""
    by_name: dict[str, Counter[str]] = counters._asdict()
    for name, counts in by_name.items():
        label = "reason" if name == "dropped" else "kind"
        for key, value in counts.items():
            metrics.counts[series(f"peer_{name}_total", **{label: key})] = value


__all__ = ["export_peer_counters"]
