"""Events, metrics, traces and the operator's view of a fleet."""

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import asdict

import gevent
import pytest
from gevent.pywsgi import WSGIServer
from hypothesis import given
from hypothesis import strategies as st
from opentelemetry.sdk.trace import ReadableSpan

from filbertyard import ctlqueries
from filbertyard import events
from filbertyard.attempts import failure_scopes
from filbertyard.breakers import FAILURES_TO_OPEN
from filbertyard.breakers import Breakers
from filbertyard.breakers import replica_scope
from filbertyard.events import CircuitEvent
from filbertyard.events import EventLog
from filbertyard.events import LoadEvent
from filbertyard.events import TakeoverEvent
from filbertyard.exceptions import SettingsError
from filbertyard.host import EntryHost
from filbertyard.hostlist import create_host_list
from filbertyard.hostsettings import TracingSettings
from filbertyard.httpcalls import create_http_peer
from filbertyard.localfleet import LocalFleet
from filbertyard.metrics import Histogram
from filbertyard.metrics import Metrics
from filbertyard.operators import OperatorApplication
from filbertyard.queries import Query
from filbertyard.routepreviews import create_preview_call
from filbertyard.routing import ReplicaView
from filbertyard.settingsstore import SettingsStore
from filbertyard.standins.hostlist import HostListEntry
from filbertyard.standins.hostlist import HostListStandin
from filbertyard.standins.web import Environ
from filbertyard.standins.web import Server
from filbertyard.standins.web import StartResponse
from filbertyard.standins.web import send_json
from filbertyard.tracing import create_tracing
from filbertyard.workload import Caller
from filbertyard.workload import run_workload

KEY = "operator-key"

CTL_PROGRAM = "from filbertyard.programs.ctl import main; main()"


def test_event_memory_is_bounded_by_kind() -> None:
    """Guard against a flood of one kind that exceeds its limit or evicts others."""
    log = EventLog()
    log.record(TakeoverEvent(cause="no owner", resource="advisor-1", fence=7))
    for number in range(5000):
        log.record(LoadEvent(cause="x" * 999, adapter=f"t/a{number}@v1", outcome="ok"))
        log.record_step(f"r{number}", "resolved")
        log.record_step("same", f"step {number}")
        log.set_condition(f"c{number}", True, "cause")
    assert all(used <= limit for used, limit in log.usage().values())
    assert len(log.conditions) == events.MAX_CONDITIONS
    assert log.usage()["takeover"][0] == 1
    assert max(len(event.cause) for event in log.select()) <= 200
    steps = [step["step"] for step in log.timeline("same")]
    assert steps == [] or steps[-1] == "step 4999"
    assert [event.adapter for event in log.select(adapter="t/a4999")] == ["t/a4999@v1"]
    log.set_condition("c0", False)
    assert "c0" not in log.conditions


def test_timeline_keeps_first_and_last_steps() -> None:
    """Guard against a long timeline that loses how the request ended."""
    log = EventLog()
    for number in range(100):
        log.record_step("r", str(number))
    steps = [int(step["step"]) for step in log.timeline("r")]
    assert steps == [*range(events.MAX_TIMELINE_STEPS - 1), 99]


def test_circuit_breakers_report_opening_and_closing() -> None:
    """Guard against a breaker that blocks calls without an event or a condition."""
    breakers = Breakers()
    scope = replica_scope("advisor-1")
    for _ in range(5):
        breakers.record_failure(scope)
    (event,) = breakers.events.rings[CircuitEvent]
    assert (event.upstream, event.state, event.failures) == ("advisor-1", "open", 3)
    assert list(breakers.events.conditions) == ["circuit replica advisor-1"]
    breakers.record_success([scope])
    assert not breakers.events.conditions
    assert breakers.events.rings[CircuitEvent][-1].state == "closed"


@given(st.lists(st.lists(st.floats(0, 200), max_size=20), max_size=4))
def test_merged_histograms_equal_one_of_all_values(parts: list[list[float]]) -> None:
    """Guard against merged values that differ from those of a single histogram."""
    whole, merged = Histogram(), Histogram()
    for values in parts:
        part = Histogram()
        for value in values:
            part.record(value)
            whole.record(value)
        merged.merge(part.encode())
    assert list(merged.cumulative()) == list(whole.cumulative())
    assert merged.total == whole.total
    assert merged.sum_s == pytest.approx(whole.sum_s)
    for percent in (50, 95, 100):
        assert merged.percentile_s(percent) == whole.percentile_s(percent)


def test_metrics_text_is_valid_and_bounded() -> None:
    """Guard against unescaped labels, decreasing buckets and unbounded series."""
    metrics = Metrics()
    metrics.add("filbertyard_rejections_total", rank='a"b\n', cause="full")
    for number in range(2000):
        metrics.add("filbertyard_requests_total", rank=str(number), outcome="answered")
        metrics.observe("filbertyard_first_token_seconds", 0.2, rank=str(number))
    text = metrics.render()
    assert 'rank="a\\"b\\n",cause="full"} 1\n' in text
    assert text.count("filbertyard_first_token_seconds_count") <= 513
    assert metrics.counter("filbertyard_requests_total") == 2000
    names = [line.split("{")[0] for line in text.splitlines() if "{" in line]
    assert {name.rpartition("_")[2] for name in names} <= {
        *("total", "bucket", "sum", "count")
    }
    other = Metrics()
    other.merge(metrics.encode())
    assert other.counter("filbertyard_requests_total") == 2000


def test_tracing_rejects_unknown_exporters() -> None:
    """Guard against a misspelt exporter that silently records nothing."""
    with pytest.raises(SettingsError, match="console, memory, none, otlp"):
        create_tracing(TracingSettings(exporter="jager"), "h")
    with pytest.raises(SettingsError, match="endpoint"):
        create_tracing(TracingSettings(exporter="otlp"), "h")
    assert create_tracing(TracingSettings(), "h").start("x", "", True) is None


@pytest.fixture
def operated(drakensig: LocalFleet) -> Iterator[tuple[LocalFleet, str]]:
    """Return a running fleet and the operator address of its first host."""
    application = OperatorApplication(drakensig.hosts["entry-1"], KEY)
    server = WSGIServer(("127.0.0.1", 0), application, log=None)
    server.start()
    yield drakensig, f"127.0.0.1:{server.server_port}"
    server.stop(timeout=0)


def finished_spans(host: EntryHost) -> tuple[ReadableSpan, ...]:
    """Return the finished spans of a host with the memory exporter."""
    return host.observer.tracing.processor.span_exporter.get_finished_spans()


def test_one_trace_has_a_span_for_each_hop(drakensig: LocalFleet) -> None:
    """Guard against a broken chain of spans from the caller to the engine."""
    for host in drakensig.hosts.values():
        settings = TracingSettings(exporter="memory")
        host.observer.tracing = create_tracing(settings, host.name)
    received = []
    for engine in drakensig.standins.engines.values():
        server = engine.server.server

        def application(environ, start_response, inner=server.application):  # noqa: ANN001, ANN202
            received.append(environ.get("HTTP_TRACEPARENT"))
            return inner(environ, start_response)

        server.application = application
    entry = drakensig.hosts["entry-1"]
    peer = create_http_peer(entry.membership.local_member.callers)
    for number in range(1, 20):
        trace = f"{number:032x}"
        body = {"model": f"kouga/plant-{number}", "prompt": "p", "max_tokens": 2}
        header = {"traceparent": f"00-{trace}-00000000000000aa-01"}
        status, _ = peer.json("POST", "/v1/completions", body, header)
        assert status == 200
        spans = {
            span.name: span
            for host in drakensig.hosts.values()
            for span in finished_spans(host)
            if span.context.trace_id == number
        }
        if "host to host" in spans:
            break
    entry_span = spans["caller to entry host"]
    hop_span = spans["host to host"]
    engine_span = spans["host to upstream"]
    assert entry_span.parent.span_id == 0xAA
    assert hop_span.parent.span_id == entry_span.context.span_id
    assert engine_span.parent.span_id == hop_span.context.span_id
    assert f"00-{trace}-{engine_span.context.span_id:016x}-01" in received


def test_operator_sees_the_fleet_without_key_value_service(
    operated: tuple[LocalFleet, str],
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guard against answers that need the key-value service or hide missing hosts."""
    fleet, address = operated
    hosts = list(fleet.hosts.values())
    callers = [
        Caller(host.membership.local_member.callers, fleet.history) for host in hosts
    ]
    run_workload(fleet.deployment, callers, rate_per_s=30, duration_s=1.0, seed=3)
    fleet.standins.key_value.faults.unavailable = True
    call = next(c for c in fleet.history.calls if c.kind == "completion")
    options = {"address": address, "key": KEY}
    assert ctlqueries.explain(call.request_id, **options) == 0
    shown = capsys.readouterr().out
    steps = ("received", "resolved", "routed", "queued", "dispatched", "ended")
    places = [shown.find(step) for step in steps]
    assert -1 not in places
    assert places == sorted(places)
    assert ctlqueries.explain("unknown-id", **options) == 1
    assert ctlqueries.events(upstream="advisor", **options) == 0
    shown = capsys.readouterr().out
    assert "takeover" in shown
    assert "load" in shown
    for host in hosts:
        host.events.set_condition("probe", True, "marked by the test")
    assert ctlqueries.status(**options) == 0
    shown = capsys.readouterr().out
    assert all(host.name in shown for host in hosts)
    assert shown.count("marked by the test") == len(hosts)
    assert "advisor-9" in shown
    assert "store budget: 4 loads/s" in shown
    fleet.hosts["entry-3"].peers.handle(Query, lambda _, query: gevent.sleep(60))
    assert ctlqueries.status(**options) == 4
    assert "no answer from: entry-3" in capsys.readouterr().out


def test_metrics_of_a_host_follow_its_requests(drakensig: LocalFleet) -> None:
    """Guard against requests, loads or gauges that the exposition leaves out."""
    hosts = list(drakensig.hosts.values())
    callers = [
        Caller(host.membership.local_member.callers, drakensig.history)
        for host in hosts
    ]
    run_workload(drakensig.deployment, callers, rate_per_s=30, duration_s=1.0, seed=5)
    merged = Metrics()
    for host in hosts:
        merged.merge(host.observer.metrics.encode())
    asked = len(drakensig.history.calls)
    assert merged.counter("filbertyard_requests_total", outcome="answered") == asked
    recorded = sum(host.events.recorded.get(LoadEvent, 0) for host in hosts)
    assert merged.counter("filbertyard_loads_total") == recorded > 0
    peer = create_http_peer(hosts[0].membership.local_member.callers)
    response = peer.request("GET", "/metrics")
    text = response.read().decode()
    assert response.status == 200
    assert "filbertyard_owned_replicas " in text
    assert 'filbertyard_event_buffer_used_ratio{buffer="load"}' in text


def test_operator_marks_a_replica_as_leaving(drakensig: LocalFleet) -> None:
    """Guard against a replica set as leaving that hosts do not treat as leaving."""
    settings = drakensig.deployment.fleet
    upstream = settings.upstreams["advisor"].model_copy(
        update={"leaving": ["advisor-2"]}
    )
    upstreams = {**settings.upstreams, "advisor": upstream}
    changed = settings.model_copy(update={"upstreams": upstreams})
    host = drakensig.hosts["entry-1"]
    store = SettingsStore(host.key_value)
    store.refresh()
    revision = drakensig.record_accepted(store, {}, changed)
    while host.snapshot().revision < revision:
        gevent.sleep(0.05)
    leaving = [view.name for view in host.views("advisor") if view.is_leaving]
    assert leaving == ["advisor-2"]


def test_unchanged_host_list_is_not_sent_again() -> None:
    """Guard against hosts that read the whole list at every interval."""
    standin = HostListStandin()
    standin.start()
    standin.put(HostListEntry("entry-1", "127.0.0.1:1", "a", "entry"))
    client = create_host_list(standin.address)
    first = client.read().unwrap()
    assert all(client.read().unwrap() is first for _ in range(5))
    assert standin.bodies_sent == 1
    standin.put(HostListEntry("entry-1", "127.0.0.1:1", "a", "entry", "leaving"))
    changed = client.read().unwrap()
    assert [host.is_leaving for host in changed] == [True]
    assert client.read().unwrap() is changed
    assert standin.bodies_sent == 2
    standin.remove("entry-1")
    assert client.read().unwrap() == []
    standin.stop()


def test_host_list_without_tag_is_read_whole() -> None:
    """Guard against a missed change of a host list that is sent without `ETag`."""
    names = ["entry-1", "entry-2"]
    conditions = []

    def answer(environ: Environ, start_response: StartResponse) -> list[bytes]:
        conditions.append(environ.get("HTTP_IF_NONE_MATCH"))
        hosts = [
            asdict(HostListEntry(names[len(conditions) - 1], "127.0.0.1:1", "a", "e"))
        ]
        return send_json(start_response, {"hosts": hosts})

    server = Server(answer)
    server.start()
    client = create_host_list(server.address)
    found = [client.read().unwrap()[0].name for _ in names]
    server.stop()
    assert found == names
    assert conditions == [None, None]


# argparse ignores errors when it prints the help, and exits with 0.
@pytest.mark.parametrize(("argument", "status"), [("--help", 0), ("schema", 141)])
def test_ctl_is_quiet_when_its_reader_closes(argument: str, status: int) -> None:
    """Guard against a traceback in `filbertyardctl ... | head`."""
    reader, writer = os.pipe()
    os.close(reader)
    try:
        done = subprocess.run(
            [sys.executable, "-c", CTL_PROGRAM, argument],
            stdout=writer,
            stderr=subprocess.PIPE,
            timeout=60.0,
        )
    finally:
        os.close(writer)
    assert done.stderr == b""
    assert done.returncode == status


def test_operator_sees_where_a_call_would_go(
    operated: tuple[LocalFleet, str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against an explanation that differs from the choice, or sends the call."""
    fleet, address = operated
    host = fleet.hosts["entry-1"]
    options = {"address": address, "key": KEY}
    team, settings = next(
        item for item in host.snapshot().teams.items() if item[1].adapters
    )
    target = f"{team}/{next(iter(settings.adapters))}"
    attempt_numbers = next(host.attempts.numbers)
    assert ctlqueries.route(target, json=True, **options) == 0
    value = json.loads(capsys.readouterr().out)
    assert next(host.attempts.numbers) == attempt_numbers + 1
    resolved = host.snapshot().resolve_model(target)
    call = create_preview_call(resolved, value["revision"], "POST", "", "preview")
    chosen = host.attempts.choose(call, set())
    assert isinstance(chosen, ReplicaView)
    assert value["chosen"] == chosen.name
    listed = {item["replica"] for item in value["candidates"]}
    assert listed == {view.name for view in host.views(call.upstream)}
    for scope in failure_scopes(call, chosen):
        for _ in range(FAILURES_TO_OPEN):
            host.attempts.breakers.record_failure(scope)
    assert ctlqueries.route(target, **options) == 0
    shown = capsys.readouterr().out
    row = next(line for line in shown.splitlines() if line.startswith(chosen.name))
    assert row.endswith("circuit_open")
    assert " chosen" in shown
    assert KEY not in shown
    assert ctlqueries.route("nobody/nothing", **options) == 1
