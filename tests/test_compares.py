"""Writes of the product's records that another host may have changed meanwhile."""

import json

import pytest

from filbertyard.keyvalue import Put
from filbertyard.membership import HOSTS_PREFIX
from filbertyard.ownership import OWNERS_PREFIX
from filbertyard.ownership import OwnerRecord
from filbertyard.settingslayout import HEAD_KEY
from filbertyard.settingslayout import Head
from test_ownership import Node
from test_ownership import World
from test_settings import Fleet
from test_settings import change

OTHER = json.dumps({"host": "h4", "lease": "other"}).encode()


@pytest.fixture
def world() -> World:
    world = World()
    world.start("h1", "10.0.0.1:1")
    return world


@pytest.fixture
def node(world: World) -> Node:
    return world.nodes["h1"]


def write(world: World, key: str, value: bytes) -> int:
    """Write a key as another host does; return its revision."""
    world.service.apply([], [Put(key, value)])
    return world.service.revision


def test_a_successor_is_not_written_over_another_owner(
    world: World, node: Node
) -> None:
    """Guard against a resource that two hosts own after a hand-over."""
    key = OWNERS_PREFIX + "r1"
    known = write(world, key, b'{"host": "h1", "lease": "own"}')
    write(world, key, OTHER)
    record = OwnerRecord("r1", "h1", "own", known)
    assert node.owners.write_successor(record, "h2", "lease") is None
    assert world.service.items[key].value == OTHER


def test_a_host_record_that_changed_is_not_removed(
    world: World, node: Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a new process whose record its predecessor's successor removes."""
    key = HOSTS_PREFIX + "h2"
    write(world, key, b'{"lease": "ended"}')
    read = node.client.range

    def read_before_a_write(*args: str, **options: bool) -> object:
        found = read(*args, **options)
        write(world, key, b'{"lease": "new"}')
        return found

    monkeypatch.setattr(node.client, "range", read_before_a_write)
    node.owners.remove_host_record("ended", "h2")
    assert world.service.items[key].value == b'{"lease": "new"}'


def test_a_host_record_does_not_replace_that_of_another_process(
    world: World, node: Node
) -> None:
    """Guard against witnesses of a new process that an old one overwrites."""
    key = HOSTS_PREFIX + "h1"
    value = {**vars_of(node), "instance": "newer", "lease": "newer/1"}
    write(world, key, json.dumps(value).encode())
    node.registration.write_record(node.registration.lease.info)
    assert json.loads(world.service.items[key].value)["lease"] == "newer/1"


def test_a_leaving_host_does_not_remove_the_record_of_another_process(
    world: World, node: Node
) -> None:
    """Guard against a new process without a record."""
    key = HOSTS_PREFIX + "h1"
    node.registration.revision = write(world, key, b'{"lease": "own"}')
    write(world, key, b'{"lease": "newer"}')
    node.registration.remove_record()
    assert world.service.items[key].value == b'{"lease": "newer"}'


def test_settings_are_not_written_back_over_a_newer_change() -> None:
    """Guard against a change that an older host takes back."""
    fleet = Fleet()
    store = fleet.add("a")
    change(store, {"fleet": {"ranks": {"only": {"urgency": 1, "share": 1.0}}}})
    snapshot = store.snapshot
    fleet.put(HEAD_KEY, b'{"revision": 9, "id": "other"}')
    stale = Head(1, "old", 1)
    assert not store.write_batches([Put("/filbertyard/x", b"1")], snapshot, stale)
    items = store.key_value.range(HEAD_KEY).items
    assert items[0].value == b'{"revision": 9, "id": "other"}'
    assert not store.key_value.range("/filbertyard/x").items


def vars_of(node: Node) -> dict[str, object]:
    """Return the fields of a host's member."""
    member = node.member
    return {name: getattr(member, name) for name in member.__dataclass_fields__}
