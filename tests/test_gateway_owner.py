"""The owner of an engine: admission, leaving replicas, lost replies."""

import time
from dataclasses import replace

import gevent
import pytest

from filbertyard.gateway import owner as owner_module
from filbertyard.gateway.admission import EngineQueue
from filbertyard.gateway.messages import AdmissionGranted
from filbertyard.gateway.messages import AdmissionRejected
from filbertyard.gateway.messages import AdmissionRequest
from filbertyard.gateway.owner import ReplicaOwner
from filbertyard.gateway.owner import count_workspaces
from filbertyard.gateway.ratelimits import RateLimitTable
from filbertyard.gateway.speeds import START_PROBES
from filbertyard.gateway.types import AdapterName
from filbertyard.gateway.types import EngineLimits
from filbertyard.gateway.types import EngineReport
from filbertyard.gateway.types import ModelLimits
from filbertyard.gateway.types import Replica
from filbertyard.metrics import Metrics
from filbertyard.platform.wireformat import create_platform_wire_format

NAME = AdapterName("m0", "a1")


def replica(**changes: object) -> Replica:
    values = {
        "id": "r1",
        "service": "engine",
        "address": "127.0.0.1:1",
        "zone": "a",
        "slots": 2,
        "is_leaving": False,
        "started_ms": 1,
        "revision": 1,
    }
    return Replica(**{**values, **changes})


@pytest.fixture
def owner() -> ReplicaOwner:
    limits = EngineLimits(2, 10000, 4, 1000.0, {"m0": ModelLimits(500.0, 0.1, 1.0)})
    owner = ReplicaOwner(
        replica=replica(),
        limits=limits,
        max_prefill_backlog_s=1.0,
        wire=create_platform_wire_format(),
        host="h1",
        fence=1,
        releases={},
        may_order=lambda: True,
        publish=lambda load: None,
        publish_interval=lambda: 0.1,
        rate_limits=RateLimitTable(),
        metrics=Metrics(),
    )
    owner.plan.models.add("m0")
    owner.plan.resident[NAME] = 1
    return owner


def request(
    request_id: str, adapter: str = "a1", **changes: object
) -> AdmissionRequest:
    values = {
        "request_id": request_id,
        "replica": "r1",
        "model": "m0",
        "adapter": adapter,
        "rank": 1,
        "objective_s": 1.0,
        "start_timeout_s": 5.0,
        "deadline_s": 9.0,
        "prompt_tokens": 100,
        "output_tokens": 10,
    }
    return AdmissionRequest(**{**values, **changes})


def test_requests_wait_for_a_slot_and_get_it_when_one_ends(owner: ReplicaOwner) -> None:
    assert isinstance(owner.admit(request("1"), "h2"), AdmissionGranted)
    assert isinstance(owner.admit(request("2"), "h2"), AdmissionGranted)
    third = gevent.spawn(owner.admit, request("3"), "h2")
    gevent.sleep(0.01)
    assert not third.ready()
    owner.finish("1", "done")
    assert isinstance(third.get(timeout=5), AdmissionGranted)


def test_requests_that_wait_for_a_leaving_replica_are_rejected_at_once(
    owner: ReplicaOwner,
) -> None:
    """Guards against requests that are sent after the replica began to drain."""
    waiting = gevent.spawn(owner.admit, request("1", "a9"), "h2")
    gevent.sleep(0.01)
    owner.update(replica(is_leaving=True))
    answer = waiting.get(timeout=5)
    assert isinstance(answer, AdmissionRejected)
    assert answer.cause == "replica_leaving"
    later = owner.admit(request("2"), "h2")
    assert isinstance(later, AdmissionRejected)


def test_a_repeated_admission_request_takes_only_one_slot(owner: ReplicaOwner) -> None:
    """Guards against a leaked slot when the first reply is lost with its connection."""
    assert isinstance(owner.admit(request("1"), "h2"), AdmissionGranted)
    assert isinstance(owner.admit(request("1"), "h2"), AdmissionGranted)
    assert len(owner.queue.started) == 1
    assert owner.plan.in_use[NAME] == 1


def test_a_host_that_is_gone_frees_its_slots(owner: ReplicaOwner) -> None:
    owner.admit(request("1"), "h2")
    owner.admit(request("2"), "h3")
    owner.release_host("h2")
    assert list(owner.queue.started) == ["2"]


def test_a_withdrawn_admission_request_leaves_the_queue(owner: ReplicaOwner) -> None:
    """Guards against requests that run after their callers have left."""
    waiting = gevent.spawn(owner.admit, request("1", "a9"), "h2")
    gevent.sleep(0.01)
    owner.finish("1", "withdrawn")
    assert isinstance(waiting.get(timeout=5), AdmissionRejected)
    assert not owner.queue.waiting


def test_a_request_whose_adapter_cannot_load_in_time_is_rejected_at_once(
    owner: ReplicaOwner,
) -> None:
    answer = owner.admit(request("1", "a9", start_timeout_s=0.2), "h2")
    assert isinstance(answer, AdmissionRejected)
    assert answer.cause == "no_place_in_time"


def test_an_adapter_stays_in_use_while_the_engine_may_run_a_failed_request(
    owner: ReplicaOwner,
) -> None:
    """Guards against an unload that waits for the run and blocks the engine's orders.

    The engine accepts no other order for seconds, until the run ends.
    """
    owner.admit(request("1#1"), "h2")
    owner.finish("1#1", "failed")
    assert owner.plan.in_use[NAME] == 1
    running = EngineReport(0, False, {"m0": 1}, {NAME: 1}, {}, run_ids=frozenset("1"))
    owner.sequence = 0
    owner.orphans["1#1"].since -= 10.0
    owner.apply_report(running)
    assert owner.plan.in_use[NAME] == 1
    owner.apply_report(replace(running, run_ids=frozenset()))
    assert owner.plan.in_use[NAME] == 0


def test_the_end_of_an_earlier_admission_request_does_not_end_the_next(
    owner: ReplicaOwner,
) -> None:
    """Guards against a lost second admission request after an absent adapter.

    The message about the end of the first one may arrive after the second one.
    """
    owner.admit(request("1#1"), "h2")
    second = gevent.spawn(owner.admit, request("1#2", is_adapter_absent=True), "h2")
    gevent.sleep(0.01)
    owner.finish("1#1", "absent")
    gevent.sleep(0.01)
    assert not second.ready()
    owner.plan.resident[NAME] = 1
    owner.admit_later()
    assert isinstance(second.get(timeout=5), AdmissionGranted)


def test_a_stream_may_run_longer_than_its_caller_waits_for_the_start(
    owner: ReplicaOwner,
) -> None:
    """Guards against unloads of adapters of running streams, which block the engine.

    They happen if a stream counts as ended when only its start timeout has passed.
    """
    owner.admit(request("1#1", start_timeout_s=0.5, deadline_s=60.0), "h2")
    owner.record_first_event("1#1")
    assert not owner.queue.overdue(time.monotonic() + 5.0)
    assert owner.queue.overdue(time.monotonic() + 70.0) == ["1#1"]


def test_waits_and_rejections_are_counted_by_workspace(owner: ReplicaOwner) -> None:
    """Without a workspace there are no series and no fields of workspaces."""
    owner.admit(request("1"), "h2")
    assert "workspace=" not in owner.metrics.render()
    owner.admit(request("2", workspace="payroll"), "h2")
    answer = owner.admit(
        request("3", "a9", workspace="payroll", start_timeout_s=0.0), "h2"
    )
    assert isinstance(answer, AdmissionRejected)
    text = owner.metrics.render()
    assert (
        'filbertyard_workspace_queue_wait_seconds_count{workspace="payroll"} 1' in text
    )
    assert "filbertyard_workspace_rejections_total{" in text
    assert (
        count_workspaces(item.request for item in owner.queue.started.values())
        == "payroll:1"
    )
    assert count_workspaces([]) is None


def test_a_flood_of_absent_adapters_does_not_delay_the_load_of_another_workspace(
    owner: ReplicaOwner,
) -> None:
    """The wait for an adapter is behind one's own turn, not behind the whole flood."""
    for number in range(30):
        item = request(f"f{number}", f"cold{number}", workspace="flood")
        gevent.spawn(owner.admit, item, "h2")
    gevent.sleep(0.01)
    waiting = len(owner.queue.waiting)
    assert waiting > 10
    now = time.monotonic()
    own = owner.queue.waiting[-1]
    mine = replace(own, id="m", workspace="payroll", adapter=AdapterName("m0", "x"))
    more = replace(own, id="f", adapter=AdapterName("m0", "y"))
    owner.queue.shares.begin(mine, owner.queue.waiting)
    assert owner.load_wait_s(now, mine) < owner.load_wait_s(now, more) / 2


def test_a_published_load_shows_the_requests_that_wait_for_an_adapter(
    owner: ReplicaOwner,
) -> None:
    """Guards against a popular adapter whose requests pile up behind its first load."""
    busy = AdapterName("m0", "a2")
    owner.queue.speed.record_slowdown(1.0, time.monotonic())
    owner.plan.begin_load(busy, time.monotonic())
    waiting = [
        gevent.spawn(owner.admit, request(str(number), "a2", prompt_tokens=2000), "h2")
        for number in range(5)
    ]
    waiting.append(gevent.spawn(owner.admit, request("9", "a3"), "h2"))
    gevent.sleep(0.01)
    now = time.monotonic()
    rows = {row[1]: row[2] for row in owner.current_load(now).loading}
    prefill_s = 5 * 2000 * owner.queue.token_cost_s
    assert rows["a2"] >= owner.plan.load_left_s(busy, now) + prefill_s
    # A load that waits for its turn is published too.
    assert rows["a3"] > 0
    gevent.killall(waiting)


def test_waiting_requests_start_when_the_engine_has_caught_up(
    owner: ReplicaOwner,
) -> None:
    """Guards against an engine that idles until its owner's next event."""
    owner.queue = EngineQueue(8, 100_000, 0.06, 0.3)
    owner.queue.speed.record_slowdown(1.0, time.monotonic())
    assert isinstance(
        owner.admit(request("1", prompt_tokens=2000), "h2"), AdmissionGranted
    )
    second = gevent.spawn(owner.admit, request("2", prompt_tokens=2000), "h2")
    gevent.sleep(0.05)
    owner.record_first_event("1", slowdown=1.0)
    assert not second.ready()
    assert isinstance(second.get(timeout=5), AdmissionGranted)


def test_a_held_prompt_is_considered_again_until_it_starts(owner: ReplicaOwner) -> None:
    """Guards against a single retry, after which the engine idles."""
    owner.queue = EngineQueue(8, 100_000, 0.06, 0.3)
    for slowdown in [1.0] * 20 + [4.0]:
        owner.queue.speed.record_slowdown(slowdown, time.monotonic())
    first = owner.admit(request("1", prompt_tokens=10), "h2")
    assert isinstance(first, AdmissionGranted)
    owner.record_first_event("1", slowdown=4.0)
    held = gevent.spawn(owner.admit, request("2", prompt_tokens=3000), "h2")
    gevent.sleep(0.15)
    assert not held.ready()
    assert isinstance(held.get(timeout=5), AdmissionGranted)


def test_probes_before_traffic_show_the_speed_of_an_engine(
    owner: ReplicaOwner, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against first seconds in which all engines count as equally fast."""
    paths = []

    class Response:
        status = 200
        headers = [("Server-Load", "0,0,8,160")]

    def exchange(method: str, path: str, *args: object, **kwargs: object) -> tuple:
        paths.append(path)
        return Response(), b""

    monkeypatch.setattr(owner_module, "START_PROBE_INTERVAL_S", 0.001)
    monkeypatch.setattr(owner.http, "exchange", exchange)
    owner.run_speed_probes()
    assert paths == []
    owner.health_path = "/health"
    owner.run_speed_probes()
    assert paths == ["/health"] * START_PROBES
    assert owner.queue.speed.usual == pytest.approx(1.6)


def test_engines_that_report_no_slowdown_are_probed_once(
    owner: ReplicaOwner, monkeypatch: pytest.MonkeyPatch
) -> None:
    class Response:
        status = 200
        headers = [("Server-Load", "0,0,8")]

    calls = []

    def exchange(*args: object, **kwargs: object) -> tuple:
        calls.append(args)
        return Response(), b""

    monkeypatch.setattr(owner_module, "START_PROBE_INTERVAL_S", 0.001)
    monkeypatch.setattr(owner.http, "exchange", exchange)
    owner.health_path = "/health"
    owner.run_speed_probes()
    assert len(calls) == 1
    assert not owner.queue.speed.is_reported


def test_requests_over_a_rate_limit_start_one_after_the_other(
    owner: ReplicaOwner, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Regression: only the first one was awaited; the others waited for an event."""
    monkeypatch.setattr(owner.rate_limits, "rate", lambda replica, started_ms: 10.0)
    owner.queue.slots = 20
    waiting = [
        gevent.spawn(owner.admit, request(str(number)), "h2") for number in range(4)
    ]
    gevent.joinall(waiting, timeout=4.0)
    assert all(isinstance(item.value, AdmissionGranted) for item in waiting)
