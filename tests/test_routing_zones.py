"""The price of leaving the availability zone on the product's own interface."""

import time

import pytest

from filbertyard.calls import AdapterVersion
from filbertyard.calls import Call
from filbertyard.calls import Rank
from filbertyard.hostsettings import HostSettings
from filbertyard.routing import ReplicaView
from filbertyard.routing import create_router
from filbertyard.zonecosts import ZonePrice

ADAPTER = AdapterVersion("kouga", "plant-1", "v1")
RANK = Rank("debris-summary", 1, 0.5, 0.8, 8.0, 1.0)


def call(adapter: AdapterVersion | None) -> Call:
    deadline = time.monotonic() + 10.0
    return Call(
        *("1", "completion", "kouga", "advisor", RANK, False, 1, deadline),
        *("POST", "/", b"{}"),
        adapter=adapter,
    )


def view(name: str, wait_s: float, zone: str) -> ReplicaView:
    return ReplicaView(
        name,
        "advisor",
        f"owner-{name}",
        adapters=frozenset({ADAPTER}),
        waits={RANK.name: wait_s},
        zone=zone,
        is_other_zone=zone != "a",
    )


@pytest.mark.parametrize("adapter", [ADAPTER, None])
@pytest.mark.parametrize(
    ("wait_s", "expected"),
    [
        pytest.param(0.1, "near", id="shorter than the price"),
        pytest.param(0.5, "far", id="longer than the price"),
    ],
)
def test_a_call_leaves_its_zone_for_more_than_the_price(
    wait_s: float, expected: str, adapter: AdapterVersion | None
) -> None:
    views = [view("near", wait_s, "a"), view("far", 0.0, "b")]
    router = create_router("shares", ZonePrice(0.25))
    chosen = router.choose(call(adapter), views, set())
    assert chosen is not None
    assert chosen.name == expected


@pytest.mark.parametrize("adapter", [ADAPTER, None])
def test_a_call_leaves_at_any_price_for_its_target(
    adapter: AdapterVersion | None,
) -> None:
    """Guards against a price for which calls miss the target of their rank."""
    views = [view("near", 1.0, "a"), view("far", 0.2, "b")]
    chosen = create_router("shares", ZonePrice(9.0)).choose(call(adapter), views, set())
    assert chosen is not None
    assert chosen.name == "far"


def test_the_price_is_part_of_the_host_settings() -> None:
    assert HostSettings.model_fields["zone_price_ms"].default == 0.0
    settings = HostSettings.model_construct(zone_price_ms=20, zone_price_ms_per_kb=2)
    assert settings.zone_price().crossing_s(1000) == pytest.approx(0.022)
