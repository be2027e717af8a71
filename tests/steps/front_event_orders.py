"""Steps of front/event_orders.feature."""

from __future__ import annotations

from behave import given, then, when

from exchange_orders import explore
from front_rig import Rig, run_scenario

CONTACT_MS = 3000


@given("a front with three servers and two hosts that help")
def front(context):
    context.rig = Rig(modes=("ok", "ok", "ok"), contactMs=CONTACT_MS)


@when("{seeds:d} {kind} requests from a {sender} meet their events in drawn orders")
def meet(context, seeds, kind, sender):
    async def scenario(rig):
        for entry in rig.front.router.servers.entries_by_name.values():
            rig.front.router.backends.get_or_create(entry)
        context.faults, context.events = await explore(
            rig.front.router, kind, range(seeds), forwarded=sender == "host"
        )

    run_scenario(context.rig, scenario)


@then(
    "none of them is written beside an attempt, sent again or refused where it may run once,"
    " or left"
)
def none(context):
    print(context.events)
    assert context.events["sends"], context.events
    assert not context.faults, f"{len(context.faults)}: {context.faults[:5]}"
