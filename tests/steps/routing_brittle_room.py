"""Steps of routing/brittle_room.feature."""

from __future__ import annotations

from behave import given, then, when

from redwingbank.front.values import ServerEntry
from redwingbank.routing.brittle_room import (
    BORROWED_S,
    FALLEN_S,
    SETTLE_S,
    BrittleRoom,
    RoomUse,
    Share,
)
from redwingbank.routing.room_book import RoomBook
from redwingbank.settings import Address
from room_fleet import RoomFleet

SEED = 44
SLOTS = 12
NONE = RoomUse(0, 0)


@given("{hosts:d} hosts and {servers:d} servers of 12 slots that let {queue:d} requests wait")
def fleet_asked(context, hosts, servers, queue):
    context.asked = {"hosts": hosts, "servers": servers, "queue": queue}


@when(
    "they run for {seconds:d} s at {load:g} of the room, with {most:d} rejections a second allowed"
)
def run_fleet(context, seconds, load, most):
    asked = context.asked
    context.fleet = RoomFleet(
        asked["hosts"],
        asked["servers"],
        load=load,
        most_rejected=most,
        seed=SEED,
        slots=SLOTS,
        queue=asked["queue"],
    )
    context.fleet.run(seconds)
    context.seconds = seconds


@then("no server falls over")
def no_falls(context):
    rejections = [server.rejections for server in context.fleet.servers]
    assert context.fleet.falls == 0, (context.fleet.falls, rejections)


@then("at least {share:g} of the lesser of the room and the demand is served")
def room_used(context, share):
    fleet = context.fleet
    could = min(fleet.asked, fleet.room_per_s * context.seconds)
    assert fleet.served >= share * could, fleet.served / could


def brittle_room(share, now_s=10.0):
    room = BrittleRoom("i-1", 0)
    room.answer_received(0, now_s - 1, now_s)
    room.update(SLOTS, share, now_s)
    return room


@given("a host with the whole of a server of 12 slots")
def whole_server(context):
    context.room = brittle_room(Share())
    assert context.room.quota(10.0) == SLOTS


@when("another host is heard and the shares change")
def shares_change(context):
    context.room.update(SLOTS, Share(1, 2), 10.1)
    context.other = brittle_room(Share(0, 3), 10.1)
    context.other.update(SLOTS, Share(0, 2), 10.1)


@then("neither uses more than its smaller share before the hosts have settled")
def smaller_shares(context):
    assert (context.room.quota(10.2), context.other.quota(10.2)) == (6, 4)


@then("both use their shares after that")
def settled_shares(context):
    now_s = 10.2 + SETTLE_S
    assert (context.room.quota(now_s), context.other.quota(now_s)) == (6, 6)


@when("it lends 3 requests to another host that has 2 of them in flight when the loan ends")
def lend_room(context):
    context.borrower = brittle_room(Share(12, 13))
    assert context.room.lend("b", 3, NONE, 10.0) == 3
    context.borrower.borrow("a", 3, 10.0)
    assert context.borrower.quota(10.0) == 3


@then("it gets 1 request back at once and the rest when they have ended")
def loans_returned(context):
    now_s = 10.0 + BORROWED_S
    first = context.borrower.give_back(2, now_s)
    assert [loan.requests for loan in first] == [1]
    assert context.borrower.quota(now_s) == 0
    assert context.borrower.give_back(2, now_s) == []
    context.room.take_back("b", 1)
    assert context.room.quota(now_s) == 10
    context.room.take_back("b", sum(loan.requests for loan in context.borrower.give_back(0, 11)))
    assert context.room.quota(now_s) == SLOTS


@when("the server breaks a connection")
def connection_breaks(context):
    assert context.room.connection_lost(10.1)


@then("it gets no request for 1 s, one after that, and all again after an answer")
def tried_again(context):
    room, back_s = context.room, 10.2 + FALLEN_S
    room.update(SLOTS, Share(), 10.4)
    assert not room.admits(NONE, 10.5)
    for tenth in range(1, 12):
        room.update(SLOTS, Share(), 10.4 + tenth / 10 - 0.1)
    assert room.admits(NONE, back_s + 0.2)
    assert not room.admits(RoomUse(1, 1), back_s + 0.2)
    room.answer_received(0, back_s, back_s + 0.3)
    assert room.admits(RoomUse(SLOTS - 1, SLOTS - 1), back_s + 0.3)


@given("a brittle server and a new one of its pool")
def new_server(context):
    context.entries = [
        ServerEntry(name, "pool", Address("10.0.0.9", 1), "a", SLOTS, False, 1)
        for name in ("i-1", "i-2")
    ]
    context.book = RoomBook()
    context.book.get_or_create("i-1", 1).answer_received(4, 9.0, 10.0)
    context.book.update(context.entries, "host-1", (), 10.0)


@then("the new one has room for its slots only, and for all after an answer without the statement")
def new_server_brittle(context):
    room = context.book.find(context.entries[1])
    assert room.brittle
    assert (room.capacity, room.most_rejected) == (SLOTS, 4)
    assert room.answer_received(None, 10.1, 10.2)
    assert not room.brittle
