"""Connections that went silent without a reset are noticed."""

import socket
from typing import Any

import gevent
import pytest

from filbertyard.httpcalls import HttpPeer
from filbertyard.peers import PeerNetwork
from filbertyard.platform.standins import ReplicaStandin
from gatewayfleet import free_port

# The bounds hold again this long after connections went silent.
STABLE_S = 3.0


def detection_s(sock: Any) -> tuple[float, float]:
    """Return when silence is noticed while waiting for data and after sending."""
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    idle, interval, probes, user_timeout_ms = (
        sock.getsockopt(socket.IPPROTO_TCP, option)
        for option in (
            socket.TCP_KEEPIDLE,
            socket.TCP_KEEPINTVL,
            socket.TCP_KEEPCNT,
            socket.TCP_USER_TIMEOUT,
        )
    )
    assert user_timeout_ms
    return idle + interval * probes, user_timeout_ms / 1000


def test_a_silent_connection_to_a_replica_or_the_store_is_noticed() -> None:
    """Regression: hosts missed changes while a dead connection looked alive."""
    replica = ReplicaStandin("r1", "desk")
    replica.start()
    try:
        peer = HttpPeer(replica.address)
        sock = peer.client._connection_pool.get_socket()
        assert max(detection_s(sock)) <= STABLE_S
        sock.close()
    finally:
        replica.stop()


@pytest.mark.parametrize("side", ["dialled", "accepted"])
def test_a_silent_stream_between_hosts_is_noticed(side: str) -> None:
    """Regression: a host whose outgoing stream was dead never opened a new one."""
    networks = []
    for _ in range(2):
        address = f"127.0.0.1:{free_port()}"
        network = PeerNetwork(address, "i", address, "key", lambda host: host)
        network.start()
        networks.append(network)
    first, second = networks
    try:
        with gevent.Timeout(20.0):
            dialled = first.connect(second.host)
            while not second.accepted:
                gevent.sleep(0.01)
        connections = {"dialled": dialled, "accepted": next(iter(second.accepted))}
        assert max(detection_s(connections[side].sock)) <= STABLE_S
    finally:
        for network in networks:
            network.stop()
