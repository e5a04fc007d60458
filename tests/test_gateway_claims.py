"""Writes of owner records that another host may have changed meanwhile."""

from collections.abc import Iterator

import pytest

from filbertyard.gateway.claims import GONE_REPLICA_RETENTION_S
from filbertyard.gateway.claims import MAX_TXN_WRITES
from filbertyard.gateway.claims import Registrar
from filbertyard.gateway.claims import boot_clock
from filbertyard.gateway.claimtable import ClaimTable
from filbertyard.gateway.state import OWNER_PREFIX
from filbertyard.gateway.state import create_gateway_state
from filbertyard.gateway.types import HostRecord
from filbertyard.platform.standins import PlatformStoreStandin
from filbertyard.platform.store import PlatformStore
from filbertyard.platform.wireformat import create_platform_wire_format

HOST = HostRecord("127.0.0.1:7000", "i1", "127.0.0.1:7001", "a", False)
OTHER = HostRecord("127.0.0.1:8000", "i2", "127.0.0.1:8001", "a", False)


@pytest.fixture
def standin() -> Iterator[PlatformStoreStandin]:
    standin = PlatformStoreStandin()
    standin.start()
    yield standin
    standin.stop()


def create_registrar(standin: PlatformStoreStandin, host: HostRecord) -> Registrar:
    state = create_gateway_state(create_platform_wire_format())
    store = PlatformStore(standin.address)
    return Registrar(lambda: host, state, store, ClaimTable(3.0), set)


def own(registrar: Registrar, *replicas: str) -> None:
    """Let a host own replicas, whatever the store holds of them."""
    for replica in replicas:
        items = registrar.store.range(OWNER_PREFIX + replica).items
        revision = items[0].mod_revision if items else 0
        fence = registrar.write_owner(replica, revision, 0.0)
        assert fence
        registrar.claim_table.add(replica, fence, boot_clock(), 0.0)


def owner(standin: PlatformStoreStandin, replica: str) -> str:
    item = standin.items.get(OWNER_PREFIX + replica)
    return "" if item is None else item.value.decode()


def expire(registrar: Registrar) -> None:
    """Let the replicas of all claims be gone for long."""
    registrar.delete_gone_records()
    for replica in registrar.gone_since:
        registrar.gone_since[replica] -= GONE_REPLICA_RETENTION_S


def test_all_records_of_gone_replicas_are_deleted(
    standin: PlatformStoreStandin,
) -> None:
    """Guards against records beyond one transaction that nobody deletes."""
    registrar = create_registrar(standin, HOST)
    names = [f"r{number}" for number in range(MAX_TXN_WRITES + 5)]
    own(registrar, *names)
    expire(registrar)
    for _ in range(2):
        registrar.delete_gone_records()
    assert not any(owner(standin, name) for name in names)
    assert not registrar.claim_table.claims


def test_a_record_that_another_host_took_over_is_not_deleted(
    standin: PlatformStoreStandin,
) -> None:
    """Guards against a lost record of a successor, and others that are kept for it."""
    registrar = create_registrar(standin, HOST)
    own(registrar, "r1", "r2")
    own(create_registrar(standin, OTHER), "r1")
    expire(registrar)
    for _ in range(2):
        registrar.delete_gone_records()
    assert OTHER.id in owner(standin, "r1")
    assert not owner(standin, "r2")
    assert not registrar.claim_table.claims


def test_a_claim_does_not_replace_one_written_meanwhile(
    standin: PlatformStoreStandin,
) -> None:
    """Guards against two owners of one replica."""
    first, second = create_registrar(standin, HOST), create_registrar(standin, OTHER)
    assert second.write_owner("r1", 0, 0.0)
    assert not first.write_owner("r1", 0, 0.0)
    assert OTHER.id in owner(standin, "r1")


def test_a_release_does_not_replace_a_successors_claim(
    standin: PlatformStoreStandin,
) -> None:
    """Guards against a third host that takes over without a wait."""
    registrar = create_registrar(standin, HOST)
    own(registrar, "r1")
    own(create_registrar(standin, OTHER), "r1")
    registrar.release_all()
    assert OTHER.id in owner(standin, "r1")
    assert '"released":false' in owner(standin, "r1")
