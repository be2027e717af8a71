"""Steps of crowds/crowds.feature."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from crowd_host import CROWDS, CrowdHost, ask, ask_again, largest_request, ordinary_request


@given("a host of {memory:d} MB and {descriptors:d} descriptors, whose servers read {reading}")
def crowd_host(context, memory, descriptors, reading):
    context.runner = asyncio.Runner()
    context.host = CrowdHost(memory, descriptors, reading)
    context.add_cleanup(context.runner.close)
    context.add_cleanup(lambda: context.runner.run(context.host.stop()))
    context.runner.run(context.host.start())


@when("{count:d} clients send it {requests}, again if they are refused or closed, and stay")
def send_crowd(context, count, requests):
    context.runner.run(context.host.send_crowd(CROWDS[requests], count))


@when("the crowd leaves")
def crowd_leaves(context):
    context.runner.run(context.host.end_crowd())


@then("one ordinary request to the host is answered")
@then("one ordinary request to the host is answered beside the crowd")
def ordinary(context):
    answer = context.runner.run(ask_again(context.host.address, ordinary_request()))
    assert answer.status == 200, answer.raw
    assert answer.complete


@then("a single request to the host of the largest legal head and body is answered")
def single(context):
    answer = context.runner.run(ask(context.host.address, largest_request()))
    assert answer.status == 200, answer.raw
    assert answer.complete


@then("the host's process has lived, within its memory and descriptors")
def lived(context):
    host = context.host
    assert host.process.alive, host.process.log.read_text()[-2000:]
    peak_mb = host.peak_mb()
    print(f"peak {peak_mb:.0f} MB of {host.memory_mb}, {host.most_descriptors} descriptors")
    assert peak_mb <= host.memory_mb, f"{peak_mb:.0f} MB"
    assert host.most_descriptors <= host.descriptors, f"{host.most_descriptors} descriptors"
