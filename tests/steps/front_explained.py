"""Steps of front/explained.feature."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from behave import given, then, when

from front_rig import KEY, Rig, run_scenario
from redwingbank.clock import now_s
from redwingbank.ctl.explain import as_text, find_decisions
from redwingbank.ctl.records import parse_records
from redwingbank.ctl.timeline_merge import merge
from redwingbank.decisions import BACKLOG_BYTES, DecisionLog
from redwingbank.front.allowance import RetryAllowance
from redwingbank.metrics import series

PAGE = Path(__file__).resolve().parents[2] / "docs" / "OPERATIONS.md"


@when("the lines of request {request} on the operations page are explained")
def explained(context, request):
    lines = [line for line in PAGE.read_text().splitlines() if line.startswith('{"host"')]
    line = merge(parse_records(lines).records)
    context.explanation = as_text(request, find_decisions(request, line))


@then('the explanation contains "{words}"')
def says(context, words):
    assert words in context.explanation, context.explanation


@when("a server drops the connection of a single request")
def lost(context):
    context.rig = Rig(modes=["lost"])

    async def scenario(rig):
        answer = await rig.ask("single", request_id="r-lost")
        reader, writer = await asyncio.open_connection(*rig.front.router.settings.metrics)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        context.metrics = (await reader.read()).decode()
        writer.close()
        return answer

    context.answer = run_scenario(context.rig, scenario)


@when("a server fails a read request at a front that has run for {time}")
def fails_read(context, time):
    context.rig = Rig(modes=["error", "error"])

    async def scenario(rig):
        router = rig.front.router
        if time == "no time":
            hosts = router.peers.known_hosts
            router.allowance = RetryAllowance(router.settings.bounds, hosts, now_s())
        await rig.ask("read", request_id="r-retry")
        context.counts = router.metrics.counts
        router.log.flush()

    run_scenario(context.rig, scenario)


@then("its log and metrics tell that one retry is {outcome}, and what is left")
def tells_of_retry(context, outcome):
    (line,) = [line for line in context.rig.lines if line["event"].startswith("retry-")]
    assert (line["event"], line["request"]) == (f"retry-{outcome}", "r-retry"), line
    assert (line["left"] >= 1) == (outcome == "allowed"), line
    assert context.counts[series("retries_total", pool="pool", outcome=outcome)] == 1
    records = merge(parse_records(map(json.dumps, context.rig.lines)).records)
    text = as_text("r-retry", find_decisions("r-retry", records))
    assert f"was {outcome}" in text, text


@then("its last line has the code, ran, the servers tried and the age of the table")
def last_line(context):
    (line,) = [line for line in context.rig.lines if line["event"] == "request-refused"]
    assert line["request"] == "r-lost"
    assert (line["code"], line["ran"], line["tried"]) == (1400, "maybe", ["i-1"])
    assert line["revision"] == 1
    assert 0 <= line["table_age_ms"] < 2000


@then("no line contains the key or the body")
def no_secrets(context):
    text = json.dumps(context.rig.lines)
    assert KEY not in text
    assert '"body"' not in text


@then("the metrics count it by class and code")
def counted(context):
    wanted = 'redwingbank_refused_total{code="1400",service_class="book"} 1'
    assert wanted in context.metrics, context.metrics
    assert "redwingbank_table_revision 1" in context.metrics


@given("a decision log whose reader reads {what}")
def decision_log(context, what):
    context.written = []

    def write(data):
        if what == "nothing":
            return 0
        context.written += data.splitlines()
        return len(data)

    context.log = DecisionLog("edge-1", "a", write)


@when("{details:d} detail lines and {lasts:d} essential lines are written at once")
def lines_written(context, details, lasts):
    for number in range(details):
        context.log.detail("request-done", request=f"d-{number}")
        if number < lasts:
            context.log.essential("request-refused", request=f"l-{number}", code=1400)
        context.log.flush()
    for number in range(details, lasts):
        context.log.essential("request-refused", request=f"l-{number}", code=1400)
    context.log.flush()


@then("all {lasts:d} essential lines are written and the dropped lines are counted")
def essential_lines_kept(context, lasts):
    records = [json.loads(line) for line in context.written]
    kept = [one for one in records if one["event"] == "request-refused"]
    done = [one for one in records if one["event"] == "request-done"]
    left_out = sum(
        one["left_out"]["request-done"] for one in records if one["event"] == "log-shed"
    )
    assert len(kept) == lasts
    assert len(done) + left_out == 2000, (len(done), left_out)
    assert left_out > 1000


@then("the backlog is bounded and the rest is counted")
def bounded(context):
    assert len(context.log._backlog) < BACKLOG_BYTES + 1000
    assert context.log.shed_by_event["request-refused"] > 3000
