"""Steps of tasks/engine_orders.feature."""

from __future__ import annotations

from behave import given, then

from embedded import MODEL, Embedded
from redwingbank.ports.platform_http import HttpPlatform
from redwingbank.ports.table_store import Accepted, load_table, publish
from redwingbank.rules.lease import decode_lease
from table_samples import with_cell

ADAPTER, ROLE = "clyde-notes", "decode"


async def publish_wanted_state(settings):
    """Set the adapter and the role in the table as an operator."""
    platform = HttpPlatform(settings)
    base = await load_table(platform)
    sheets = with_cell(base.sheets, "backend_servers/engine-1/adapters", ADAPTER)
    sheets = with_cell(sheets, "backend_servers/engine-1/role", ROLE)
    answer = await publish(platform, base, sheets, "operator", "wanted")
    await platform.close()
    return answer


@given("a deployment whose table sets an adapter and a role for its first engine")
def deployment_with_wants(context):
    context.deployment = Embedded(daemons=2)
    context.add_cleanup(context.deployment.close)
    answer = context.deployment.portal.call(
        publish_wanted_state, context.deployment.daemons[0].settings
    )
    assert isinstance(answer, Accepted), answer


@then("the deployment's first engine gets the adapter and the role with fencing number {number:d}")
def engine_gets(context, number):
    orders = context.deployment.engines["engine-1"].orders
    context.deployment.wait_until(lambda: len(orders.executed) == 2)
    assert {(item["order"], item["argument"], item["fencing"]) for item in orders.executed} == {
        ("load-adapter", ADAPTER, number),
        ("change-role", ROLE, number),
    }
    assert orders.models == {MODEL, ADAPTER}


@then("the deployment's second engine gets no order")
def engine_gets_none(context):
    assert context.deployment.engines["engine-2"].orders.executed == []


@then("the deployment's lease on orders is released")
def lease_released(context):
    objects = context.deployment.platform.objects
    key = f"leases/orders/{MODEL}"
    context.deployment.wait_until(lambda: decode_lease(objects.get(key).value).released)
    assert len(context.deployment.engines["engine-1"].orders.executed) == 2
