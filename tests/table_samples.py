"""Sample sheets of a complete table, for the steps of several features."""

from __future__ import annotations

import hashlib

CLASSES = {
    "question": ("1", "800", "54", "0.05"),
    "memo": ("3", "4000", "80", "0.1"),
}


def key_hash(name):
    return hashlib.sha256(name.encode()).hexdigest()


def sample_sheets(organisations=3):
    """Two classes, the given number of organisations, an engine pool and a service pool."""
    names = ("tier", "first_token_ms", "token_ms", "minimum")
    classes = {
        name: {**dict(zip(names, cells, strict=True)), "give_up_s": "30"}
        for name, cells in CLASSES.items()
    }
    rows = {
        f"organisation-{number}": {
            "key_hash": key_hash(str(number)),
            "default_class": "memo" if number % 2 else "question",
            "concurrency": str(number % 50),
        }
        for number in range(organisations)
    }
    servers = {
        f"runner-{number}": {
            "pool": "memo-models",
            "data_centre": "amman-a",
            "address": f"127.0.0.1:{9100 + number}",
            "slots": "8",
        }
        for number in range(3)
    }
    return {
        "classes": classes,
        "organisations": rows,
        "pools": {"memo-models": {"kind": "engine"}, "branch-app": {"kind": "service"}},
        "backend_servers": servers,
    }


def with_cell(sheets, where, value):
    """Copy sheets with one cell `sheet/row/column` set; the value "-" removes the row."""
    sheet, row, column = where.split("/")
    copy = {
        name: {key: dict(cells) for key, cells in rows.items()} for name, rows in sheets.items()
    }
    if value == "-":
        del copy[sheet][row]
        return copy
    copy.setdefault(sheet, {}).setdefault(row, {})[column] = value
    return copy
