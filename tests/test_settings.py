"""Settings: commits, watchers, peers, and values that no commit wrote."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from result import Err
from result import Ok
from result import Result

from filbertyard.exceptions import CommitRejectedError
from filbertyard.exceptions import CommitUnknownError
from filbertyard.exceptions import ConflictError
from filbertyard.exceptions import InvalidChangeError
from filbertyard.exceptions import PeerError
from filbertyard.exceptions import RequestError
from filbertyard.exceptions import UnknownNameError
from filbertyard.keyvalue import Put
from filbertyard.keyvalue import create_key_value
from filbertyard.membership import Member
from filbertyard.messages import Message
from filbertyard.messages import MsgpackCodec
from filbertyard.messages import Problem
from filbertyard.settingscommits import AcceptedChange
from filbertyard.settingscommits import ChangeRequest
from filbertyard.settingslayout import HEAD_KEY
from filbertyard.settingslayout import chunk_key
from filbertyard.settingslayout import log_key
from filbertyard.settingslayout import parse_head
from filbertyard.settingsstore import SettingsStore
from filbertyard.settingstree import apply_changes
from filbertyard.settingstree import diff_trees
from filbertyard.settingstree import effective_values
from filbertyard.settingstree import read_path
from filbertyard.standins.keyvalue import InProcessKeyValueClient
from filbertyard.standins.keyvalue import KeyValueStandin
from filbertyard.teamsettings import AdapterSettings
from filbertyard.teamsettings import Snapshot
from filbertyard.teamsettings import TeamSettings
from filbertyard.teamsettings import chunk_number

FLEET: dict[str, Any] = {
    "ranks": {
        "urgent": {"urgency": 1, "share": 0.5, "target_s": 0.5},
        "later": {"urgency": 2, "share": 0.4, "target_s": 4.0, "worth": 2},
    },
    "upstreams": {"writer": {"kind": "engine"}, "desk": {"kind": "service"}},
    "store": {"min_rate_per_s": 2, "max_rate_per_s": 3},
}
TEAM: dict[str, Any] = {
    "default_rank": "later",
    "adapters": {f"a{n}": {"version": "v1", "upstream": "writer"} for n in range(9)},
}
VERSION = "teams/t/adapters/a{}/version"


class LocalPeers:
    """Connections between hosts of one process; streams are encoded as on the wire."""

    def __init__(self, fleet: Fleet, host: str) -> None:
        self.fleet = fleet
        self.host = host
        self.handlers: dict[type[Message], Callable[[str, Any], Any]] = {}

    def handle(self, cls: type[Message], handler: Callable[[str, Any], Any]) -> None:
        self.handlers[cls] = handler

    def answer(self, host: str, body: Message) -> Any:
        if {host, self.host} & self.fleet.paused or host not in self.fleet.peers:
            raise PeerError("unreachable", step="call", peer=host, sent=False)
        return self.fleet.peers[host].handlers[type(body)](self.host, body)

    def call(
        self, host: str, body: Message, timeout_s: float
    ) -> Result[Message | None, PeerError]:
        try:
            return Ok(self.answer(host, body))
        except PeerError as error:
            return Err(error)

    def stream(self, host: str, body: Message, timeout_s: float) -> Iterator[Message]:
        codec = MsgpackCodec()
        for item in self.answer(host, body):
            decoded = codec.decode(codec.encode(0, 0, item))[2]
            if decoded is None or isinstance(decoded, Problem):
                raise PeerError(str(decoded), step="stream", peer=host, sent=False)
            yield decoded


class LocalMembers:
    """Membership in which each host of the process is live."""

    def __init__(self, fleet: Fleet, name: str, zone: str) -> None:
        self.fleet = fleet
        self.local_member = Member(name, name, "", "", "region", zone)

    def live_members(self) -> list[Member]:
        return [members.local_member for members in self.fleet.members.values()]


class Fleet:
    """Hosts on one key-value stand-in, run step by step without background tasks."""

    def __init__(self) -> None:
        self.standin = KeyValueStandin()
        self.stores: dict[str, SettingsStore] = {}
        self.peers: dict[str, LocalPeers] = {}
        self.members: dict[str, LocalMembers] = {}
        self.paused: set[str] = set()
        self.seen: dict[str, list[int]] = {}

    def add(self, name: str, zone: str = "a") -> SettingsStore:
        store = SettingsStore(
            InProcessKeyValueClient(self.standin), commit_timeout_s=0.0, seed=1
        )
        self.stores[name] = store
        self.peers[name] = LocalPeers(self, name)
        self.members[name] = LocalMembers(self, name, zone)
        self.seen[name] = []
        store.listeners.append(
            lambda snapshot: self.seen[name].append(snapshot.revision)
        )
        store.join(self.members[name], self.peers[name])
        return store

    def remove(self, name: str) -> None:
        for table in (self.stores, self.peers, self.members):
            del table[name]

    def settle(self) -> None:
        """Run the greenlets that announcements started."""
        for _ in range(20):
            gevent.sleep(0)

    def put(self, key: str, value: bytes) -> None:
        """Write a value without a commit, also during an outage."""
        unavailable, self.standin.faults.unavailable = (
            self.standin.faults.unavailable,
            False,
        )
        InProcessKeyValueClient(self.standin).txn([], [Put(key, value)])
        self.standin.faults.unavailable = unavailable


def change(store: SettingsStore, changes: dict[str, Any], **options: Any) -> Any:
    return store.commit(ChangeRequest(changes, "ann", "test", **options))


def accepted(
    store: SettingsStore, changes: dict[str, Any], **options: Any
) -> AcceptedChange:
    found = change(store, changes, **options)
    assert isinstance(found, Ok), found
    return found.ok_value


def rejected(store: SettingsStore, changes: dict[str, Any], **options: Any) -> Any:
    found = change(store, changes, **options)
    assert isinstance(found, Err), found
    return found.err_value


def version(store: SettingsStore, number: int = 1) -> str:
    return store.snapshot.teams["t"].adapters[f"a{number}"].version


@pytest.fixture
def fleet() -> Fleet:
    """Return a fleet of two hosts with settings at revision 2."""
    fleet = Fleet()
    first = fleet.add("h1")
    accepted(first, {"fleet": FLEET})
    accepted(first, {"teams/t": TEAM})
    fleet.add("h2").refresh()
    fleet.settle()
    return fleet


def test_a_change_touches_one_chunk(fleet: Fleet) -> None:
    """Guard against changes that rewrite a team, and starts that read key by key."""
    before = fleet.standin.revision
    accepted(fleet.stores["h1"], {VERSION.format(1): "v2"})
    keys = {c.item.key for c in fleet.standin.changes if c.revision > before}
    assert keys == {HEAD_KEY, log_key(3), chunk_key("t", chunk_number("a1"))}
    fleet.standin.calls.clear()
    late = fleet.add("h3")
    late.refresh()
    assert version(late) == "v2"
    # The head before and after, the fleet, one page of chunks, one of the log.
    assert fleet.standin.calls["/v3/kv/range"] == 5


def test_old_log_entries_are_removed(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against an unbounded log, and hosts whose next entry was deleted."""
    monkeypatch.setattr("filbertyard.settingslayout.MAX_LOG_ENTRIES", 3)
    for number in range(6):
        accepted(fleet.stores["h1"], {VERSION.format(1): f"v{number}"})
    assert log_key(4) not in fleet.standin.items
    assert log_key(8) in fleet.standin.items
    fleet.stores["h2"].refresh()
    assert version(fleet.stores["h2"]) == "v5"


def test_commit_race_is_reported_and_retried_only_without_overlap(fleet: Fleet) -> None:
    """Guard against a lost update, and a change that silently overwrites another."""
    one, two = fleet.stores["h1"], fleet.stores["h2"]

    def commit_first(path: str) -> None:
        fleet.standin.faults.before_write = lambda: (
            accepted(one, {path: "won"}) and None
        )

    commit_first(VERSION.format(2))
    two.commit_timeout_s = 5.0
    found = accepted(two, {VERSION.format(1): "v2"})
    assert (found.revision, found.intervening_revisions) == (4, [3])
    commit_first(VERSION.format(1))
    error = rejected(two, {VERSION.format(1): "v3"})
    assert isinstance(error, ConflictError)
    assert error.changed[0]["changes"] == {VERSION.format(1): "won"}
    assert "ann" in error.message
    assert (version(two), version(two, 2)) == ("won", "won")
    error = rejected(two, {"teams/t/adapters/a1": None}, base=2)
    assert [c["revision"] for c in error.changed] == [4, 5]


@pytest.mark.parametrize("fault", ["lose_responses", "drop_writes"])
def test_a_lost_response_is_resolved_by_its_id(fleet: Fleet, fault: str) -> None:
    """Guard against a change that is applied twice or reported as failed."""
    one = fleet.stores["h1"]
    one.commit_timeout_s = 5.0
    setattr(fleet.standin.faults, fault, 1)
    found = accepted(one, {VERSION.format(1): "v2"}, id="x")
    assert (found.revision, found.id) == (3, "x")
    again = accepted(one, {VERSION.format(1): "v2"}, id="x")
    assert again.revision == one.snapshot.revision == 3


def test_an_outage_before_and_during_a_write(fleet: Fleet) -> None:
    """Guard against a write that is half applied or wrongly reported as not applied."""
    one, faults = fleet.stores["h1"], fleet.standin.faults
    faults.unavailable = True
    error = rejected(one, {VERSION.format(1): "v2"})
    assert isinstance(error, CommitRejectedError)
    assert "nothing was written" in error.message
    faults.unavailable = False
    faults.lose_responses = 1
    error = rejected(one, {VERSION.format(1): "v2"}, id="x")
    assert isinstance(error, CommitUnknownError)
    assert "x may have been applied" in error.message
    assert accepted(one, {VERSION.format(1): "v2"}, id="x").revision == 3
    assert version(one) == "v2"


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"fleet/ranks/later/share": 0.6}, "fleet/ranks"),
        ({"teams/t/ranks": {"later": {"share": 0.6}}}, "teams/t/ranks"),
        ({"fleet/ranks/new": {"urgency": 3, "share": 0}}, "fleet/ranks/new/target_s"),
        ({"fleet/ranks/later": None}, "teams/t/default_rank"),
        ({"teams/t/default_rank": "none"}, "teams/t/default_rank"),
        ({"teams/t/adapters/a1/upstream": "desk"}, "teams/t/adapters/a1/upstream"),
        ({"teams/t/adapters/a1/upstream": "none"}, "teams/t/adapters/a1/upstream"),
        ({"teams/t/adapters/a1/rank": "none"}, "teams/t/adapters/a1/rank"),
        ({"teams/t/adapters/a1/version": 7}, "teams/t/adapters/a1/version"),
        ({"teams/t/adapters/a1/other": 7}, "teams/t/adapters/a1/other"),
        ({"teams/t/adapters/none": None}, "teams/t/adapters/none"),
        ({VERSION.format(1): "v2", "teams/u/default_rank": "later"}, "teams/u"),
        ({"teams/t/adapters/a1": None, VERSION.format(1): "v2"}, VERSION.format(1)),
        ({"elsewhere/x": 1}, "elsewhere/x"),
        ({"fleet": None}, "fleet"),
        ({}, ""),
        ({"teams/t/services/s": {"upstream": "x" * (1 << 20)}}, ""),
    ],
)
def test_a_faulty_change_names_path_value_and_expectation(
    fleet: Fleet, changes: dict[str, Any], path: str
) -> None:
    """Guard against a change that is accepted although it cannot work."""
    error = rejected(fleet.stores["h1"], changes)
    assert isinstance(error, InvalidChangeError)
    assert error.faults[0].path.startswith(path)
    assert error.faults[0].found
    assert error.faults[0].expected
    assert fleet.stores["h1"].snapshot.revision == 2


def test_older_service_state_rolls_nothing_back(fleet: Fleet) -> None:
    """Guard against a restored backup or a stale read that undoes a change."""
    saved = fleet.standin.save()
    one, two = fleet.stores["h1"], fleet.stores["h2"]
    accepted(one, {VERSION.format(1): "v2"})
    fleet.settle()
    fleet.standin.faults.stale_content = saved
    error = rejected(two, {VERSION.format(1): "v3"})
    assert isinstance(error, CommitRejectedError)
    assert "older" in two.problems
    one.write_back()
    fleet.standin.faults.stale_content = None
    accepted(two, {VERSION.format(2): "v2"})
    fleet.settle()
    for restored in (saved, KeyValueStandin().save()):
        fleet.standin.restore(restored)
        newcomer = fleet.add("h3")
        newcomer.refresh()
        newcomer.sync_with("h1")
        assert "written the newer" in rejected(newcomer, {"teams/t": None}).message
        two.refresh()
        assert (version(one), version(two)) == ("v2", "v2")
        assert one.write_back()
        assert not two.write_back()
        assert version(newcomer) == "v2"
        accepted(newcomer, {VERSION.format(3): f"v{newcomer.snapshot.revision}"})
        fleet.settle()
        late = fleet.add("h4")
        late.refresh()
        assert read_path(late.snapshot, "") == read_path(newcomer.snapshot, "")


def test_diverged_history_is_reported_and_not_followed(fleet: Fleet) -> None:
    """Guard against a host that applies changes of another history to its own."""
    saved = fleet.standin.save()
    one, two = fleet.stores["h1"], fleet.stores["h2"]
    accepted(one, {VERSION.format(1): "v2"})
    fleet.settle()
    fleet.standin.restore(saved)
    # Without peers this store cannot notice that the service was restored.
    other = SettingsStore(InProcessKeyValueClient(fleet.standin), commit_timeout_s=0.0)
    for revision in (3, 4):
        accepted(other, {VERSION.format(1): f"other{revision}"})
        one.refresh()
        assert "diverged" in one.problems
        assert isinstance(rejected(one, {"teams/t": None}), CommitRejectedError)
    fleet.add("h3").refresh()
    two.sync_with("h3")
    fleet.settle()
    assert (version(one), version(two)) == ("v2", "v2")


def test_host_polls_peers_before_it_commits(fleet: Fleet) -> None:
    """Guard against a second history after a restore, also if no peer answers."""
    saved = fleet.standin.save()
    accepted(fleet.stores["h1"], {VERSION.format(1): "v2"})
    fleet.settle()
    fleet.standin.restore(saved)
    late = fleet.add("h3")
    late.refresh()
    assert "older" not in late.problems
    assert "written the newer" in rejected(late, {VERSION.format(1): "v3"}).message
    assert version(late) == "v2"
    fleet.paused.add("h3")
    assert "no other live host" in rejected(late, {VERSION.format(1): "v3"}).message


def test_an_older_snapshot_never_replaces_a_newer_one(fleet: Fleet) -> None:
    """Guard against two tasks of a host that finish in reverse order."""
    one = fleet.stores["h1"]
    older = one.snapshot
    accepted(one, {VERSION.format(1): "v2"})
    one.activate(older, [])
    one.activate(older, [], complete=True)
    assert version(one) == "v2"


def test_write_back_in_several_transactions(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a reader that accepts a partly written state as complete."""
    monkeypatch.setattr("filbertyard.settingsstore.MAX_TXN_WRITES", 2)
    one = fleet.stores["h1"]
    fleet.standin.restore(KeyValueStandin().save())
    one.refresh()
    late = fleet.add("h9")
    fleet.members.pop("h9")
    states = []
    answer = fleet.standin.txn

    def txn(request: dict[str, Any]) -> dict[str, Any]:
        late.refresh()
        states.append(late.snapshot.revision)
        return answer(request)

    monkeypatch.setattr(fleet.standin, "txn", txn)
    assert one.write_back()
    assert len(states) > 2
    assert set(states) == {0}
    late.refresh()
    assert read_path(late.snapshot, "") == read_path(one.snapshot, "")


def test_paused_host_catches_up_on_several_changes(fleet: Fleet) -> None:
    """Guard against a host that skips or reorders what it missed."""
    fleet.paused.add("h2")
    fleet.add("h3")
    for number in range(2, 7):
        accepted(fleet.stores["h1"], {VERSION.format(number): "v2"})
    fleet.settle()
    assert fleet.seen["h2"] == [2]
    fleet.paused.clear()
    fleet.stores["h2"].sync_with("h1")
    assert fleet.seen["h2"] == [2, 7]
    assert read_path(fleet.stores["h2"].snapshot, "") == read_path(
        fleet.stores["h1"].snapshot, ""
    )


def test_hosts_started_during_an_outage_learn_from_peers(fleet: Fleet) -> None:
    """Guard against a host that cannot start without the service."""
    accepted(fleet.stores["h1"], {VERSION.format(1): "v2"})
    fleet.standin.faults.unavailable = True
    late = fleet.add("h3")
    late.sync_with_random_peer()
    late.sync_with("h1")
    assert version(late) == "v2"
    last = fleet.add("h4")
    last.sync_with("h3")
    assert (version(last), last.create_announcement().complete) == ("v2", True)


@pytest.mark.parametrize(
    "value",
    [
        b"no json",
        b'{"revision": "x"}',
        b'{"revision": 99, "adapters": {}}',
        b"x" * (2 << 20),
    ],
)
def test_values_without_a_commit_stay_out_of_force(fleet: Fleet, value: bytes) -> None:
    """Guard against malformed or oversized values that replace good ones."""
    one, two = fleet.stores["h1"], fleet.stores["h2"]
    good = read_path(two.snapshot, "")
    chunk = chunk_key("t", chunk_number("a1"))
    fleet.put(chunk, value)
    late = fleet.add("h3")
    late.refresh()
    assert read_path(late.snapshot, "") == good
    assert one.audit() == [chunk]
    assert chunk in one.problems
    fleet.put(HEAD_KEY, b'{"revision": 3, "id": "past"}')
    fleet.put(log_key(3), value)
    two.refresh()
    assert "damaged" in two.problems
    assert isinstance(rejected(two, {VERSION.format(1): "v2"}), CommitRejectedError)
    assert read_path(two.snapshot, "") == good
    assert accepted(two, {VERSION.format(1): "v2"}, replace_damaged=True).revision == 4
    fleet.put(HEAD_KEY, value)
    one.refresh()
    assert version(one) == "v2"
    assert accepted(one, {VERSION.format(1): "v3"}, replace_damaged=True).revision == 5
    two.refresh()
    assert (version(two), two.problems) == ("v3", {})


def test_a_damaged_chunk_without_a_peer_is_left_out_and_blocks_writes() -> None:
    """Guard against an incomplete state that a host later writes to the service."""
    fleet = Fleet()
    one = fleet.add("h1")
    accepted(one, {"fleet": FLEET})
    accepted(one, {"teams/t": TEAM})
    fleet.put(chunk_key("t", chunk_number("a1")), b"?")
    late = fleet.add("h2")
    fleet.paused.add("h1")
    late.refresh()
    assert "a1" not in late.snapshot.teams["t"].adapters
    assert not late.create_announcement().complete
    rejected(late, {VERSION.format(2): "v2"}, replace_damaged=True)
    fleet.paused.clear()
    late.sync_with("h1")
    assert version(late) == "v1"
    assert late.create_announcement().complete


def test_a_running_host_follows_the_service_and_writes_back() -> None:
    """Guard against a watch that misses changes or ends when a backup is restored."""
    standin = KeyValueStandin()
    standin.start()
    writer, host = (
        SettingsStore(create_key_value("etcd-v3-json", standin.address), seed=n)
        for n in range(2)
    )
    accepted(writer, {"fleet": FLEET})
    saved = standin.save()
    task = gevent.spawn(host.run)

    def wait_for(done: Callable[[], bool]) -> None:
        with gevent.Timeout(60):
            while not done():
                gevent.sleep(0.01)

    wait_for(lambda: host.snapshot.revision == 1)
    wait_for(lambda: standin.calls.get("/v3/watch", 0) == 1)
    accepted(writer, {"teams/t": TEAM})
    wait_for(lambda: host.snapshot.revision == 2)
    standin.restore(saved)
    wait_for(lambda: host.counters["write_backs"] == 1)
    assert parse_head(standin.items[HEAD_KEY]).revision == 2
    standin.faults.unavailable = True
    standin.notify()
    wait_for(lambda: "service" in host.problems)
    standin.faults.unavailable = False
    accepted(writer, {VERSION.format(1): "v2"})
    wait_for(lambda: host.snapshot.revision == 3)
    assert (version(host), host.problems) == ("v2", {})
    task.kill()
    standin.stop()


def test_only_two_watchers_in_each_zone() -> None:
    """Guard against a number of watches that grows with the fleet."""
    fleet = Fleet()
    for number in range(12):
        fleet.add(f"h{number}", zone="ab"[number % 2])
    watchers = [s for s in fleet.stores.values() if s.is_watcher()]
    assert len(watchers) == 4
    assert sum(store.is_coordinator() for store in fleet.stores.values()) == 1


def test_effective_values_name_their_source(fleet: Fleet) -> None:
    """Guard against values in force that do not name the level that sets them."""
    one = fleet.stores["h1"]
    accepted(one, {"teams/t/ranks/later": {"target_s": 5}})
    values = effective_values(one.snapshot, "teams/t/adapters/a1")
    found = {v.path.removeprefix("teams/t/adapters/a1/"): v for v in values}
    shown = {key: (v.value, v.source) for key, v in found.items()}
    assert shown == {
        "version": ("v1", "adapter"),
        "upstream": ("writer", "adapter"),
        "rank": ("later", "team"),
        "keep": ([], "default"),
        "rank/later/urgency": (2, "fleet"),
        "rank/later/share": (0.4, "fleet"),
        "rank/later/target_s": (5.0, "team"),
        "rank/later/patience_s": (20.0, "default"),
        "rank/later/worth": (2.0, "fleet"),
    }


names = st.sampled_from(["a", "b", "c"])
adapters = st.builds(
    AdapterSettings,
    version=st.sampled_from(["v1", "v2"]),
    upstream=st.just("writer"),
    rank=st.sampled_from([None, "urgent"]),
    keep=st.lists(st.sampled_from(["v3"]), max_size=1),
)
teams = st.builds(
    TeamSettings,
    default_rank=st.sampled_from(["urgent", "later"]),
    adapters=st.dictionaries(names, adapters, max_size=3),
)


@given(teams, teams, names)
def test_compact_teams_behave_like_the_models(
    old: TeamSettings, new: TeamSettings, name: str
) -> None:
    """Guard against differences between the compact form and the full models."""
    trees = [t.model_dump(mode="json", exclude_unset=True) for t in (old, new)]
    base = apply_changes(Snapshot(0), {"fleet": FLEET}, 1, "1")
    compact = apply_changes(base, {"teams/t": trees[0]}, 2, "2")
    changes = diff_trees(
        "teams/t",
        read_path(compact, "teams/t"),
        {**trees[1], "adapters": trees[1]["adapters"]},
    )
    if changes:
        compact = apply_changes(compact, changes, 3, "3")
    naive = Snapshot(3, base.fleet, {"t": new})  # type: ignore[dict-item]
    for model in (f"t/{name}", f"t/{name}@v3"):
        assert outcome(compact, model) == outcome(naive, model)


def outcome(snapshot: Snapshot, model: str) -> object:
    try:
        return snapshot.resolve_model(model)
    except (UnknownNameError, RequestError) as error:
        return error.message


class SettingsMachine(RuleBasedStateMachine):
    """Writers and hosts on a faulty service: no committed change is ever lost."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()
        self.started = 3
        first = self.fleet.add("h1")
        accepted(first, {"fleet": FLEET})
        accepted(first, {"teams/t": TEAM})
        for name in ("h2", "h3"):
            self.fleet.add(name, "b").refresh()
        self.backup = self.fleet.standin.save()
        self.values = {VERSION.format(n): {"v1"} for n in range(3)}

    hosts = st.integers(0, 5)
    paths = st.integers(0, 2).map(VERSION.format)

    def host(self, number: int) -> SettingsStore:
        names = sorted(self.fleet.stores)
        return self.fleet.stores[names[number % len(names)]]

    @rule(
        host=hosts,
        path=paths,
        value=st.integers(2, 9),
        drop=st.sampled_from(["", "drop_writes", "lose_responses"]),
    )
    def write(self, host: int, path: str, value: int, drop: str) -> None:
        store = self.host(host)
        if drop:
            setattr(self.fleet.standin.faults, drop, 1)
        found = change(store, {path: f"v{value}"})
        self.fleet.standin.faults.drop_writes = 0
        self.fleet.standin.faults.lose_responses = 0
        if isinstance(found, Ok):
            self.values[path] = {f"v{value}"}
        elif isinstance(found.err_value, CommitUnknownError):
            self.values[path] = self.values[path] | {f"v{value}"}

    def snapshots(self) -> list[Snapshot]:
        return [store.snapshot for store in self.fleet.stores.values()]

    @rule(host=hosts)
    def read_service(self, host: int) -> None:
        store = self.host(host)
        if self.fleet.standin.faults.unavailable:
            return
        store.refresh()
        if store.fault is not None:
            store.write_back_if_coordinator()

    @rule(host=hosts, other=hosts)
    def exchange(self, host: int, other: int) -> None:
        peer = sorted(self.fleet.stores)[other % len(self.fleet.stores)]
        if self.host(host) is not self.fleet.stores[peer]:
            self.host(host).sync_with(peer)

    @rule()
    def settle(self) -> None:
        self.fleet.settle()

    @rule(unavailable=st.booleans())
    def outage(self, unavailable: bool) -> None:
        self.fleet.standin.faults.unavailable = unavailable

    @rule(host=hosts)
    def pause(self, host: int) -> None:
        name = sorted(self.fleet.stores)[host % len(self.fleet.stores)]
        self.fleet.paused ^= {name}

    @rule()
    def start_host(self) -> None:
        self.started += 1
        self.fleet.add(f"h{self.started}", "ab"[self.started % 2])

    @rule()
    def damage(self) -> None:
        self.fleet.put(chunk_key("t", chunk_number("a1")), b"?")

    @rule()
    def save(self) -> None:
        self.backup = self.fleet.standin.save()

    @rule()
    def restore(self) -> None:
        """Restore a backup while the hosts reach each other."""
        if not self.fleet.paused:
            self.sync_all()
            self.fleet.standin.restore(self.backup)

    def sync_all(self) -> None:
        for store in list(self.fleet.stores.values()):
            for peer in store.other_hosts():
                store.sync_with(peer)

    @invariant()
    def revisions_never_go_back(self) -> None:
        for seen in self.fleet.seen.values():
            assert seen == sorted(seen)

    def teardown(self) -> None:
        self.fleet.standin.faults.unavailable = False
        self.fleet.paused.clear()
        newest = max(s.revision for s in self.snapshots())
        for _ in range(3):
            for store in list(self.fleet.stores.values()):
                store.refresh()
                store.write_back_if_coordinator()
            self.sync_all()
        trees = [read_path(snapshot, "") for snapshot in self.snapshots()]
        assert all(tree == trees[0] for tree in trees)
        assert min(snapshot.revision for snapshot in self.snapshots()) >= newest
        for path, allowed in self.values.items():
            assert read_path(self.snapshots()[0], path) in allowed
        for store in self.fleet.stores.values():
            assert store.head.revision == store.snapshot.revision


TestSettingsMachine = SettingsMachine.TestCase
TestSettingsMachine.settings = settings(max_examples=60, stateful_step_count=25)
