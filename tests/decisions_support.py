"""Builders shared by the steps of the scheduling rules."""

from __future__ import annotations

from redwingbank.messages import ClassDemand
from redwingbank.model import Request
from redwingbank.rules.table import ClassRow, OrganisationRow, PoolRow, Table

POOL = "chat"
CLASSES = {
    "gold": ClassRow("gold", 1, 1000, 50, 1.0, 0.0, 0, 30.0),
    "silver": ClassRow("silver", 2, 1000, 50, 3.0, 0.0, 0, 30.0),
    "tin": ClassRow("tin", 2, 1000, 50, 1.0, 0.0, 0, 30.0),
    "iron": ClassRow("iron", 3, 1000, 50, 1.0, 0.1, 0, 600.0),
}
ORGANISATIONS = {
    name: OrganisationRow(name, "", "gold", weight, 0, 0)
    for name, weight in {"a": 1.0, "b": 1.0, "c": 1.0, "big": 1.0, "heavy": 4.0}.items()
}


def make_table(**classes):
    """Build a table; `iron={"minimum": 0.5}` replaces fields of a class."""
    rows = {name: row._replace(**classes.get(name, {})) for name, row in CLASSES.items()}
    return Table(1, rows, ORGANISATIONS, {POOL: PoolRow(POOL, "engine")}, {})


def make_request(request_id, class_name="gold", organisation="a", arrived_s=0.0, **fields):
    """Build a request; its deadline is a second after its arrival."""
    row = CLASSES[class_name]
    request = Request(
        request_id,
        organisation,
        class_name,
        row.tier,
        POOL,
        arrived_s,
        arrived_s + 1.0,
        arrived_s + row.give_up_s,
        100,
    )
    return request._replace(**fields)


def parse_request(text):
    """Parse `id:class:organisation:arrival`; omitted parts have their defaults."""
    request_id, *rest = text.strip().split(":")
    fields = dict(zip(["class_name", "organisation", "arrived_s"], rest, strict=False))
    if "arrived_s" in fields:
        fields["arrived_s"] = float(fields["arrived_s"])
    return make_request(request_id, **fields)


def waiting(class_name, count, oldest_s=1.0, running=0, organisations=1, slack_s=0.5):
    """Build the demand of a class."""
    tier = CLASSES[class_name].tier
    return ClassDemand(tier, class_name, count, oldest_s, slack_s, running, organisations)


def parse_counts(text):
    """Parse counts such as `e1=4 e2=3`."""
    pairs = (item.split("=") for item in text.split())
    return {name: int(count) for name, count in pairs}
