"""Steps of ctl/hosts.feature, with minimal daemons that serve the operators' endpoints."""

from __future__ import annotations

import contextlib
import io
import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from behave import given, then, when

from redwingbank.ctl.app import run


class Daemon(BaseHTTPRequestHandler):
    """Serves the operators' endpoints from a fixed status document."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        kind = self.server.kind
        if kind == "garbled":
            self.respond(200, b"<html>")
        elif kind == "locked" and self.headers["authorization"] is None:
            self.respond(403, b'{"error":"the operators\' key is needed"}')
        else:
            self.respond(200, json.dumps(self.server.document).encode())

    def do_POST(self):
        command = json.loads(self.rfile.read(int(self.headers["content-length"])))
        quarantined = [case["fingerprint"] for case in self.server.document["quarantine"]]
        found = {
            "/operator/drain": command.get("server") in {None, "engine-1"},
            "/operator/release": command.get("fingerprint") in quarantined,
        }[self.path]
        self.respond(200 if found else 404, json.dumps({"found": found}).encode())

    def respond(self, code, body):
        self.send_response(code)
        self.send_header("content-length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        pass


def serve(context, kind, document):
    """Serve a daemon's endpoints on a free port until the scenario ends."""
    server = ThreadingHTTPServer(("127.0.0.1", 0), Daemon)
    server.kind, server.document = kind, document
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()

    def stop():
        server.shutdown()
        thread.join()
        server.server_close()

    context.add_cleanup(stop)
    return f"--host 127.0.0.1:{server.server_port}"


def status_document(row):
    case = row["case"].split()
    cases = [{"fingerprint": case[0], "state": case[1], "servers": ["engine-1"]}] if case else []
    return {
        "host": row["host"],
        "data_centre": row["data_centre"],
        "ready": row["ready"] == "yes",
        "revision": int(row["revision"]),
        "attainment": {"crew": {"attained": int(row["attained"]), "missed": int(row["missed"])}},
        "waiting": {"crew": 1},
        "in_flight": 2,
        "servers": {"engine-1": {"pool": "desk-model", "state": row["engine-1"], "load": 2}},
        "quarantine": [entry | {"seconds_left": float(case[2])} for entry in cases],
    }


@given("these daemons")
def daemons(context):
    documents = [status_document(row) for row in context.table]
    context.hosts = {
        "hosts": " ".join(serve(context, "open", document) for document in documents),
        "locked": serve(context, "locked", documents[0]),
        "garbled": serve(context, "garbled", {}),
    }


@when('the operator runs "{text}"')
def operator_runs(context, text):
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        context.code = run(text.format(**context.hosts).split())
    context.out, context.printed = out.getvalue(), out.getvalue() + err.getvalue()


@then("the exit code is {code:d} and the output contains")
def output_contains(context, code):
    assert context.code == code, (context.code, context.printed)
    for row in context.table:
        assert row["text"] in context.printed, context.printed


@then('the JSON output has "converged" false, "in_flight" 6 and 3 hosts')
def json_has(context):
    document = json.loads(context.out)
    assert document["converged"] is False
    assert document["in_flight"] == 6
    assert document["hosts"] == ["entry-1", "entry-2", "entry-3"]
