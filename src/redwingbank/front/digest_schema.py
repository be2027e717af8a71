"""The schema of the messages between hosts, and functions that read the fields used most."""

from __future__ import annotations

from pathlib import Path

import capnp

from redwingbank.front.framing import field_reader, list_reader

capnp.remove_import_hook()
SCHEMA = capnp.load(str(Path(__file__).with_name("digest.capnp")))
# The fields of the messages that come for each request and with each heartbeat.
READ_HOST, READ_INCARNATION, READ_DATA_CENTRE, READ_LINK, READ_DIGEST, READ_BUNDLE = (
    field_reader(SCHEMA.Message, name)
    for name in ("host", "incarnation", "dataCentre", "linkMbps", "digest", "bundle")
)
READ_SENT, READ_SERVERS, READ_PARTS, READ_PART_TOKENS, READ_BEGUN, READ_ENDED = (
    list_reader(SCHEMA.Digest, name)
    for name in ("sent", "servers", "parts", "partTokens", "begun", "ended")
)
READ_REACHED = list_reader(SCHEMA.Digest, "reachedMs")
READ_TAKES_FORWARDS, READ_ASKS_REACH, READ_REACH_ASKED, READ_REACH_PROVED, READ_PROVES_REACH = (
    field_reader(SCHEMA.Digest, name)
    for name in ("takesForwards", "asksReach", "reachAskedS", "reachProved", "provesReach")
)
READ_COUNTS_SERVERS = field_reader(SCHEMA.Digest, "countsServers")
READ_HOSTS, READ_INCARNATIONS, READ_COUNTS = (
    list_reader(SCHEMA.Bundle, name) for name in ("hosts", "incarnations", "counts")
)
READ_MERGED, READ_AUDIENCE = (field_reader(SCHEMA.Bundle, name) for name in ("digest", "audience"))

__all__ = [
    "READ_ASKS_REACH",
    "READ_AUDIENCE",
    "READ_BEGUN",
    "READ_BUNDLE",
    "READ_COUNTS",
    "READ_COUNTS_SERVERS",
    "READ_DATA_CENTRE",
    "READ_DIGEST",
    "READ_ENDED",
    "READ_HOST",
    "READ_HOSTS",
    "READ_INCARNATION",
    "READ_INCARNATIONS",
    "READ_LINK",
    "READ_MERGED",
    "READ_PARTS",
    "READ_PART_TOKENS",
    "READ_PROVES_REACH",
    "READ_REACHED",
    "READ_REACH_ASKED",
    "READ_REACH_PROVED",
    "READ_SENT",
    "READ_SERVERS",
    "READ_TAKES_FORWARDS",
    "SCHEMA",
]
