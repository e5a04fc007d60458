"""When requests leave their availability zone, replayed without a network."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

import pytest

from filbertyard.exceptions import SettingsError
from filbertyard.gateway.placement import Candidate
from filbertyard.gateway.placement import PlainCandidate
from filbertyard.gateway.placement import choose_replica
from filbertyard.gateway.placement import estimate_first_event_s
from filbertyard.gateway.placement import order_plain
from filbertyard.gateway.placement import weigh_price
from filbertyard.gateway.settings import read_zone_price
from filbertyard.zonecosts import Crossing
from filbertyard.zonecosts import ResponseSizes
from filbertyard.zonecosts import ZonePrice
from filbertyard.zonecosts import arriving_share
from filbertyard.zonecosts import limit_price_s
from filbertyard.zonecosts import saved_s
from fleetsim import Replay
from fleetsim import Workload
from fleetsim import share_in_time

ZONES = 4
PRICE_S = 0.05
WINDOW_S = 0.5


@dataclass
class ZonedHosts:
    """Hosts in four zones that choose replicas; callers use all zones alike.

    `zones` names the zone of each replica. Replicas of `lost` are gone after `lost_at`.
    `choose_from` decides, as `choose_replica` does.
    """

    zones: dict[str, int]
    price_s: float = PRICE_S
    lost: int = -1
    lost_at: float = math.inf
    choose_from: Callable = choose_replica
    clock: Callable[[], float] = lambda: 0.0
    choices: list[tuple[float, int, bool]] = field(default_factory=list)

    def choose(
        self, adapter: str, candidates: list[Candidate], request: str
    ) -> Candidate | None:
        zone = int(request) % ZONES
        now = self.clock()
        found = [
            item
            for item in candidates
            if now < self.lost_at or self.zones[item.replica] != self.lost
        ]
        others = {key for key, other in self.zones.items() if other != zone}
        crossing = Crossing(self.price_s, others, 1 / ZONES)
        chosen = self.choose_from(adapter, found, request, crossing)
        assert chosen is not None
        self.choices.append((now, zone, chosen.replica in others))
        return chosen

    def left(self, zone: int, start: float = 2.0, end: float = math.inf) -> float:
        """Return the share of a zone's requests that left it."""
        found = [out for at, z, out in self.choices if z == zone and start <= at < end]
        return sum(found) / len(found)

    def windows(self, zone: int, end: float) -> list[float]:
        """Return the share that left in each half second after the first two."""
        count = int((end - 2.0) / WINDOW_S)
        starts = [2.0 + WINDOW_S * number for number in range(count)]
        return [self.left(zone, start, start + WINDOW_S) for start in starts]


def replay(hosts: ZonedHosts, workload: Workload, publish_s: float = 0.2) -> float:
    """Play a workload on the replicas of the hosts; return the share in time."""
    fleet = Replay(hosts.choose, engines=len(hosts.zones), publish_s=publish_s)
    hosts.clock = lambda: fleet.now
    return share_in_time(fleet.play(workload))


def create_zones(*counts: int) -> dict[str, int]:
    """Return the zones of replicas, given their number in each zone."""
    zones = [zone for zone, count in enumerate(counts) for _ in range(count)]
    return {f"r{number}": zone for number, zone in enumerate(zones)}


def leave_above_the_price(
    adapter: str, candidates: list[Candidate], request: str, crossing: Crossing
) -> Candidate:
    """Return the cheapest replica with the price, the baseline without spreading."""
    return min(
        candidates,
        key=lambda item: (
            estimate_first_event_s(item)
            + crossing.price_s * (item.replica in crossing.others)
        ),
    )


# The price that some tests use is above the time of a load, so that adapters come to
# each zone and only waiting makes requests leave.
ABOVE_A_LOAD_S = 0.4

# A quarter of the requests have an eighth of the replicas, and 1.08 times as much
# prefill as these can do.
FEW_IN_ONE_ZONE = (3, 7, 7, 7)
BUSY = Workload(per_s=208.0, length_s=8.0, adapters=12)


@pytest.mark.parametrize("per_s", [80.0, 160.0, 208.0])
def test_nothing_leaves_a_zone_with_enough_replicas(per_s: float) -> None:
    """Guards against hosts that leave although waits are shorter than the price."""
    workload = Workload(per_s=per_s, length_s=8.0, adapters=12)
    alike = ZonedHosts(create_zones(6, 6, 6, 6), price_s=0.0)
    priced = ZonedHosts(create_zones(6, 6, 6, 6), ABOVE_A_LOAD_S)
    served_alike = replay(alike, workload)
    served = replay(priced, workload)
    assert max(priced.left(zone) for zone in range(ZONES)) <= 0.01
    assert min(alike.left(zone) for zone in range(ZONES)) > 0.3
    assert served >= served_alike - 0.01


def test_a_zone_with_too_few_replicas_sends_what_they_lack() -> None:
    """Guards against an overflow that is too small, too large or comes back.

    At least a tenth has to leave. If the price were 0, half would: then the zone's
    replicas would get as many requests as the others.
    """
    hosts = ZonedHosts(create_zones(*FEW_IN_ONE_ZONE), ABOVE_A_LOAD_S)
    served = replay(hosts, BUSY)
    assert 0.1 <= hosts.left(0) <= 0.5
    assert max(hosts.left(zone) for zone in (1, 2, 3)) <= 0.05
    baseline = ZonedHosts(
        create_zones(*FEW_IN_ONE_ZONE),
        ABOVE_A_LOAD_S,
        choose_from=leave_above_the_price,
    )
    assert served > replay(baseline, BUSY)


def test_a_higher_price_sends_less() -> None:
    left = []
    for price_s in (0.02, 0.1, ABOVE_A_LOAD_S):
        hosts = ZonedHosts(create_zones(6, 6, 6, 6), price_s)
        replay(hosts, BUSY)
        left.append(sum(hosts.left(zone) for zone in range(ZONES)) / ZONES)
    assert left == sorted(left, reverse=True)


@pytest.mark.parametrize("publish_s", [0.2, 1.0, 2.0])
def test_hosts_of_a_zone_do_not_leave_and_return_together(publish_s: float) -> None:
    """Guards against hosts that all see the same loads and change their mind at once.

    The baseline is to leave when the best replica elsewhere is better by the price.
    """
    zones = create_zones(*FEW_IN_ONE_ZONE)
    hosts = ZonedHosts(zones, ABOVE_A_LOAD_S)
    served = replay(hosts, BUSY, publish_s)
    baseline = ZonedHosts(zones, ABOVE_A_LOAD_S, choose_from=leave_above_the_price)
    assert served > replay(baseline, BUSY, publish_s)
    assert all(0.0 < share < 1.0 for share in hosts.windows(0, BUSY.length_s))


def test_the_requests_of_a_lost_zone_go_to_all_others() -> None:
    """Guards against requests that have no replica left in their zone and fail."""
    hosts = ZonedHosts(create_zones(6, 6, 6, 6), ABOVE_A_LOAD_S, lost=0, lost_at=4.0)
    replay(hosts, Workload(per_s=120.0, length_s=8.0, adapters=12))
    assert hosts.left(0, 2.0, 4.0) <= 0.05
    assert hosts.left(0, 4.0) == 1.0
    assert max(hosts.left(zone, 4.0) for zone in (1, 2, 3)) <= 0.1


def candidate(replica: str, wait_s: float, **changes: object) -> Candidate:
    values = {"is_resident": True, "load_left_s": -1.0, "load_wait_s": 0.3}
    values |= {"is_owner_known": True, "failure_rate": 0.0, **changes}
    return Candidate(replica, wait_s, **values)


def choices(candidates: list[Candidate], crossing: Crossing) -> set[str]:
    """Return all replicas that 200 requests for one adapter go to."""
    found = [
        choose_replica("a", candidates, str(number), crossing) for number in range(200)
    ]
    return {item.replica for item in found if item is not None}


@pytest.mark.parametrize(("price_s", "expected"), [(0.2, {"far"}), (0.4, {"near"})])
def test_a_resident_adapter_elsewhere_is_weighed_against_a_load(
    price_s: float, expected: set[str]
) -> None:
    candidates = [
        candidate("near", 0.0, is_resident=False),
        candidate("far", 0.0),
    ]
    assert choices(candidates, Crossing(price_s, {"far"}, 0.5)) == expected


def test_a_price_changes_nothing_where_all_replicas_are_in_the_own_zone() -> None:
    candidates = [
        candidate(f"r{number}", number * 0.02, age_s=0.2) for number in range(6)
    ]
    for number in range(200):
        request = str(number)
        assert choose_replica("a", candidates, request) == choose_replica(
            "a", candidates, request, Crossing(PRICE_S, set(), 1.0)
        )


def test_a_failing_replica_in_the_own_zone_is_left() -> None:
    candidates = [candidate("near", 0.0, failure_rate=0.5), candidate("far", 0.0)]
    assert choices(candidates, Crossing(ABOVE_A_LOAD_S, {"far"}, 0.5)) == {"far"}


def test_stale_reports_of_other_zones_attract_nothing() -> None:
    """Guards against leaving for replicas that looked idle before a link was cut."""
    candidates = [
        candidate("near", 0.3, age_s=0.1),
        candidate("far", 0.0, age_s=2.5),
    ]
    assert choices(candidates, Crossing(PRICE_S, {"far"}, 0.5)) == {"near"}


@pytest.mark.parametrize(("wait_s", "expected"), [(0.7, {"near"}), (0.9, {"far"})])
def test_a_request_leaves_at_any_price_if_only_that_is_in_time(
    wait_s: float, expected: set[str]
) -> None:
    """Guards against a price for which requests become late."""
    price_s = limit_price_s(5.0, objective_left_s=0.8, other_s=0.1)
    candidates = [candidate("near", wait_s), candidate("far", 0.1)]
    assert choices(candidates, Crossing(price_s, {"far"}, 0.5)) == expected


def test_a_request_that_is_late_in_all_zones_goes_where_it_waits_least() -> None:
    price_s = limit_price_s(5.0, objective_left_s=0.8, other_s=1.5)
    candidates = [candidate("near", 1.6), candidate("far", 1.5)]
    assert choices(candidates, Crossing(price_s, {"far"}, 0.5)) == {"far"}


def plain(replica: str, running: int, is_same_zone: bool) -> PlainCandidate:
    return PlainCandidate(replica, running, 6, 0.0, is_same_zone)


@pytest.mark.parametrize(("running", "first"), [(3, "near"), (5, "far")])
def test_a_plain_service_leaves_when_more_of_its_slots_are_taken(
    running: int, first: str
) -> None:
    """A price of half a run stands for half of the slots."""
    candidates = [plain("near", running, True), plain("far", 1, False)]
    assert order_plain(candidates, 0.5, weigh_price(0.01, 0.02))[0] == first


def test_a_failing_plain_replica_is_left_whatever_the_load() -> None:
    """Guards against a price of more than a run that outweighs failures.

    On a day with crashes more once-only requests failed with the price than without.
    """
    near = PlainCandidate("near", 0, 6, 0.2, True)
    far = PlainCandidate("far", 5, 6, 0.0, False)
    assert order_plain([near, far], 0.5, weigh_price(0.05, 0.0225))[0] == "far"


def test_the_price_counts_requests_and_bytes() -> None:
    price = read_zone_price(
        {"FILBERTYARD_ZONE_PRICE_MS": "20", "FILBERTYARD_ZONE_PRICE_MS_PER_KB": "2.5"}
    )
    assert price.is_set
    assert price.crossing_s(4000) == pytest.approx(0.03)


def test_availability_zones_are_not_told_apart_by_default() -> None:
    """Guards against a change of deployments that set no price."""
    assert read_zone_price({}) == ZonePrice()
    assert not ZonePrice().is_set


@pytest.mark.parametrize("value", ["-1", "nan", "much", ""])
def test_an_invalid_price_is_reported_with_its_variable(value: str) -> None:
    with pytest.raises(SettingsError, match="FILBERTYARD_ZONE_PRICE_MS"):
        read_zone_price({"FILBERTYARD_ZONE_PRICE_MS": value})


def test_the_size_of_responses_is_learned() -> None:
    sizes = ResponseSizes()
    assert sizes.expected_bytes("text") == 0.0
    for _ in range(200):
        sizes.record("text", 3000)
    sizes.record("desk", 800)
    assert sizes.expected_bytes("text") == pytest.approx(3000)
    assert sizes.expected_bytes("desk") == 800


def test_a_zone_gets_the_share_of_its_hosts() -> None:
    assert arriving_share("a", {"h1": "a", "h2": "b", "h3": "b", "h4": "b"}) == 0.25
    assert arriving_share("a", {"h1": "a"}) == 1.0
    assert arriving_share("a", {}) == 1.0


def test_the_saving_is_stated_for_requests_that_leave() -> None:
    estimates = {"near": 0.4, "far": 0.1}
    assert saved_s("near", estimates, {"far"}) is None
    assert saved_s("far", estimates, {"far"}) == pytest.approx(0.3)
    assert saved_s("far", {"far": 0.1}, {"far"}) == math.inf
