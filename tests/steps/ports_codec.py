"""Steps of ports/codec.feature."""

from __future__ import annotations

from behave import given, then

from redwingbank.messages import (
    Allocation,
    ClassDemand,
    Demand,
    Heartbeat,
    Member,
    MemberState,
    Notice,
    OrganisationUse,
    Pull,
    Pulled,
)
from redwingbank.ports.codec import Envelope, decode, encode

MEMBER = Member("entry-1", "clyde", "127.0.0.1:7000", 12, MemberState.LEAVING, 9)
NOTICE = Notice("suspect", "a1@e1", "entry-2", 7, 1.0, 2.5)
USE = OrganisationUse("haddad", 3, 2, 900)
CLASS = ClassDemand(2, "memo", 5, 1.5, -0.25, 4, 3)
MESSAGES = {
    "heartbeat": Heartbeat(True, 9, (MEMBER,), (NOTICE,)),
    "demand": Demand("m/0", 3, (CLASS,), {"e1": 2}, {"e2": 1}, (USE,), 8),
    "allocation": Allocation("m/0", 4, 3, 2.0, 1, {"e1": 2}, (USE,), {"memo": 1}, -0.5),
    "pull": Pull(("table/head",)),
    "pulled": Pulled(9, {"table/head": b"x"}),
}


@given('the codec\'s message "{kind}" with no field at its default')
def codec_message(context, kind):
    context.message = MESSAGES[kind]
    defaults = context.message._field_defaults
    left = [name for name in defaults if getattr(context.message, name) == defaults[name]]
    assert not left, left


@then("the codec decodes an equal message")
def codec_equal(context):
    envelope = Envelope("entry-1", 5, 6, context.message)
    assert decode(encode(envelope)) == envelope, decode(encode(envelope))
