"""Steps of tasks/engine_orders.feature."""

from __future__ import annotations

from behave import given, then

from embedded import MODEL, Embedded
from redwingbank.ports.platform_http import HttpPlatform
from redwingbank.ports.table_store import Accepted, load_table, publish
from redwingbank.rules.lease import decode_lease
from table_samples import with_cell

ADAPTER, ROLE = "clyde-notes", "decode"


async def want(settings):
    """Set the adapter and the role in the table, as an operator does."""
    platform = HttpPlatform(settings)
    base = await load_table(platform)
    mine = with_cell(base.sheets, "backend_servers/engine-1/adapters", ADAPTER)
    mine = with_cell(mine, "backend_servers/engine-1/role", ROLE)
    answer = await publish(platform, base, mine, "operator", "wanted")
    await platform.close()
    return answer


@given("a deployment whose table wants an adapter and a role of its first engine")
def wants(context):
    context.small = Embedded(daemons=2)
    context.add_cleanup(context.small.close)
    answer = context.small.portal.call(want, context.small.daemons[0].settings)
    assert isinstance(answer, Accepted), answer


@then("the deployment's first engine gets the adapter and the role with fencing number {number:d}")
def gets(context, number):
    orders = context.small.engines["engine-1"].orders
    context.small.wait_until(lambda: len(orders.obeyed) == 2)
    assert {(item["order"], item["argument"], item["fencing"]) for item in orders.obeyed} == {
        ("load-adapter", ADAPTER, number),
        ("change-role", ROLE, number),
    }
    assert orders.models == {MODEL, ADAPTER}


@then("the deployment's second engine gets no order")
def gets_none(context):
    assert context.small.engines["engine-2"].orders.obeyed == []


@then("the deployment's lease on orders goes back")
def lease_back(context):
    objects = context.small.platform.objects
    key = f"leases/orders/{MODEL}"
    context.small.wait_until(lambda: decode_lease(objects.get(key).value).released)
    assert len(context.small.engines["engine-1"].orders.obeyed) == 2
