"""Steps of front/server_addresses.feature."""

from __future__ import annotations

import asyncio
import json
from functools import partial
from typing import NamedTuple

from behave import then, when

from front_rig import Rig, entry, run_scenario
from redwingbank.ctl.explain import as_text, find_decisions
from redwingbank.ctl.records import parse_records
from redwingbank.ctl.timeline_merge import merge

LIVE_MS, DEAD_MS, LATER_MS = 500, 200, 900
REQUESTS = 12
# so many hosts that some read the list from relays
LARGE_FLEET = 16
DENIALS_LOGGED = {"address-holder", "server-unreadable"}


class AddressRig(Rig):
    """A rig with three live servers, whose addresses other entries name, too."""

    def __init__(self, modes=("ok", "ok", "ok")):
        super().__init__(modes=modes)
        for server in self.backend_servers:
            server.started_ms = LIVE_MS

    async def put_rivals(self, started_ms, **more):
        for name, address in self.addresses.items():
            rival = {**entry(address, started_ms=started_ms), **more}
            if not started_ms:
                del rival["born"], rival["version"]
            await self.store.put("servers", f"z-{name}", rival)
        await asyncio.sleep(0.3)

    async def lapse(self):
        for name in self.addresses:
            await self.store.delete("servers", f"z-{name}")
        await asyncio.sleep(0.3)


class Trouble(NamedTuple):
    """What rival entries tell, and whether they lapse."""

    started_ms: int
    lapses: bool = False
    more: dict = {}


TROUBLE = {
    "the store lists dead starts that then lapse": Trouble(DEAD_MS, lapses=True),
    "late writes of dead starts land and then lapse": Trouble(DEAD_MS, lapses=True),
    "entries of another writer tell no start": Trouble(0),
    "entries of another writer tell a later start": Trouble(LATER_MS),
    "entries of another writer tell that they drain": Trouble(
        LATER_MS, more={"state": "draining"}
    ),
    "entries of another writer tell a service of no route": Trouble(
        LATER_MS, more={"service": "unnamed"}
    ),
}


async def starting_host(rig, spoil):
    await spoil()
    front, _ = await rig.add_host("edge-2")
    return front


async def running_host(rig, spoil):
    await spoil()
    return rig.front


async def relayed_host(rig, spoil):
    fronts = await rig.start_hosts(LARGE_FLEET)
    await rig.until(
        lambda: any(front.router.freshness.server_wait_s() is None for front in fronts)
    )
    await spoil()
    return next(front for front in fronts if front.router.freshness.server_wait_s() is None)


HOST = {
    "a host that starts": starting_host,
    "a host that runs": running_host,
    "a host that reads from relays": relayed_host,
}


@when("{host} serves 12 requests while {trouble}")
def serve(context, host, trouble):
    rivals = TROUBLE[trouble]
    context.rig = rig = AddressRig()

    async def scenario(rig):
        spoil = partial(rig.put_rivals, rivals.started_ms, **rivals.more)
        front = await HOST[host](rig, spoil)
        if rivals.lapses:
            await rig.lapse()
        return [
            (await rig.ask("single", request_id=f"r-{number}", front=front)).status
            for number in range(REQUESTS)
        ]

    context.statuses = run_scenario(rig, scenario)


@then("each of them is answered with 200, and the log tells which entry stands")
def all_served(context):
    assert context.statuses == [200] * REQUESTS, context.statuses
    assert DENIALS_LOGGED & {line["event"] for line in context.rig.lines}


@when("an operator asks why a request reached a server whose address another entry names")
def explain_request(context):
    context.rig = rig = AddressRig(modes=["ok"])

    async def scenario(rig):
        await rig.put_rivals(LATER_MS)
        await rig.ask("single", request_id="r-explained")
        rig.front.router.log.flush()

    run_scenario(rig, scenario)
    lines = [json.dumps(line) for line in rig.lines]
    timeline = merge(parse_records(lines).records)
    context.explanation = as_text("r-explained", find_decisions("r-explained", timeline))


@then('the explanation tells "{first}" and later "{second}"')
def explanation_tells(context, first, second):
    text = context.explanation
    assert -1 < text.find(first) < text.find(second), text
