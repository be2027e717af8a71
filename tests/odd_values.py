"""JSON values that an entry of another writer may hold, and documents that hold one of them."""

from __future__ import annotations

import json

RAW_BY_NAME = {
    "deep": b"[" * 100_000 + b"]" * 100_000,
    "deep object": b'{"a":' * 2000 + b"1" + b"}" * 2000,
    "rather deep": b"[" * 400 + b"]" * 400,
    "5000 digits": b"9" * 5000,
    "400 digits": b"9" * 400,
    "2**70": str(2**70).encode(),
    "2**40": str(2**40).encode(),
    "-2**70": str(-(2**70)).encode(),
    "1e999": b"1e999",
    "-1e999": b"-1e999",
    "1e308": b"1e308",
    "NaN": b"NaN",
    "Infinity": b"-Infinity",
    "-1": b"-1",
    "0": b"0",
    "1.5": b"1.5",
    "null": b"null",
    "true": b"true",
    "empty": b'""',
    "list": b"[1]",
    "object": b'{"a":1}',
    "half surrogate": b'"a\\ud800"',
    "bad bytes": b'"\xff\xfe\x80"',
    "line end": b'"a\\r\\nb"',
    "megabyte": b'"' + b"x" * 1_000_000 + b'"',
    "port 0": b'"127.0.0.1:0"',
    "port -1": b'"127.0.0.1:-1"',
    "port 65536": b'"127.0.0.1:65536"',
    "port 99999": b'"127.0.0.1:99999"',
    "port 1e6": b'"127.0.0.1:1e6"',
    "port 5000 digits": b'"127.0.0.1:' + b"9" * 5000 + b'"',
    "port _": b'"127.0.0.1:8_0"',
    "no port": b'"127.0.0.1"',
    "name": b'"server.example:80"',
    "long label": b'"' + b"x" * 70 + b'.example:80"',
    "wide label": b'"' + b"\\u00fc" * 70 + b'.example:80"',
    "any address": b'"0.0.0.0:80"',
    "IPv6": b'"::1:80"',
    "short IPv4": b'"127.1:80"',
}
ODD_TEXT = "(odd value)"


def paths(document, path=()):
    """Yield the path of each value in a document, but for the whole."""
    if isinstance(document, dict | list):
        for key, value in document.items() if isinstance(document, dict) else enumerate(document):
            yield (*path, key)
            yield from paths(value, (*path, key))


def with_value(document, path, value):
    """Return a copy of a document with another value at a path."""
    copy = json.loads(json.dumps(document))
    at = copy
    for key in path[:-1]:
        at = at[key]
    at[path[-1]] = value
    return copy


def spoiled(document):
    """Yield the encodings of a document with one odd value, and what was done."""
    for path in paths(document):
        encoded = json.dumps(with_value(document, path, ODD_TEXT)).encode()
        for name, raw in RAW_BY_NAME.items():
            yield encoded.replace(json.dumps(ODD_TEXT).encode(), raw), f"{path}: {name}"
