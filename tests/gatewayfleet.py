"""A gateway fleet in one process, on stand-ins of the platform."""

from __future__ import annotations

import itertools
import os
import socket
import time
from collections.abc import Callable
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import gevent
from geventhttpclient.response import HTTPParseError
from geventhttpclient.response import HTTPSocketResponse

from filbertyard.gateway.host import GatewayHost
from filbertyard.gateway.settings import GatewayBounds
from filbertyard.gateway.settings import GatewaySettings
from filbertyard.platform.factory import create_platform_host
from filbertyard.platform.settings import KEY_VALUE_FORM
from filbertyard.platform.standins import PlatformStoreStandin
from filbertyard.platform.standins import ReplicaStandin
from filbertyard.zonecosts import ZonePrice

MODEL = "m0"

BOUNDS = GatewayBounds(
    drain_s=2.0,
    grace_s=8.0,
    order_gap_s=3.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_slack=50.0,
    address_ttl_s=5.0,
)


# Ports below the ephemeral range: the system may give an ephemeral port twice, or to a
# connection, before its first user listens. Concurrent test runs start at other ports.
PORTS = range(20000, 32000)

FIRST_PORT_INDEX = os.getpid() * 97 % len(PORTS)

next_port = itertools.cycle(
    [*PORTS[FIRST_PORT_INDEX:], *PORTS[:FIRST_PORT_INDEX]]
).__next__


def free_port() -> int:
    """Return a port that nothing listens on."""
    while True:
        port = next_port()
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def wait_until(check: Callable[[], Any], limit_s: float = 20.0) -> Any:
    """Wait until `check` returns something true; fail after a generous limit."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        found = check()
        if found:
            return found
        gevent.sleep(0.01)
    raise AssertionError(f"not reached within {limit_s} s")


def route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": "fleet.example",
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 10000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        **more,
    }


def configuration(version: int = 1, **changes: Any) -> dict:
    """Return a configuration with an engine and a plain service."""
    routes = {
        "text": route("text", "/text/", "streaming", "engine"),
        "note": route(
            "note", "/note/", "streaming", "engine", resumable=True, maxAttempts=2
        ),
        "order": route("order", "/order/", "non_idempotent", "desk"),
        "stock": route("stock", "/stock/", "idempotent", "desk", maxAttempts=2),
    }
    routes.update(changes)
    return {
        "version": version,
        "routes": [value for value in routes.values() if value],
        "services": [
            {
                "name": "engine",
                "maxConnections": 100,
                "engine": {
                    "slots": 8,
                    "kvCapacityTokens": 100000,
                    "adapterSlots": 4,
                    "weightsMb": 1000,
                    "stride": 3,
                    "models": [{"name": MODEL, "weightsMb": 500, "loadS": 0.1}],
                },
            },
            {"name": "desk", "maxConnections": 100},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1 << 20,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


@dataclass
class Reply:
    """What a caller received; `is_complete` tells if the response ended properly."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool

    @property
    def is_framed(self) -> bool:
        """Tell if the response has a length or chunks."""
        return bool({"content-length", "transfer-encoding"} & set(self.headers))


@dataclass
class GatewayFleet:
    """Hosts, a store and replicas."""

    store: PlatformStoreStandin = field(default_factory=PlatformStoreStandin)
    replicas: list[ReplicaStandin] = field(default_factory=list)
    hosts: list[GatewayHost] = field(default_factory=list)
    bounds: GatewayBounds = BOUNDS
    zone_price: ZonePrice = field(default_factory=ZonePrice)
    count: int = 0

    def add_replica(self, replica: ReplicaStandin) -> ReplicaStandin:
        """Start a replica and write its entry to the store."""
        replica.start()
        replica.on_restart = self.write_entry
        self.replicas.append(replica)
        self.write_entry(replica)
        return replica

    def write_entry(self, replica: ReplicaStandin) -> None:
        """Write a replica's entry to the store."""
        self.store.write(f"servers/{replica.id}", replica.entry())

    def answer_raw(self, *answers: Iterable[bytes]) -> None:
        """Have the next requests answered with these bytes, wherever they run."""
        left = list(answers)
        for replica in self.replicas:
            replica.faults.raw = left

    def start_host(self) -> GatewayHost:
        """Start a gateway host."""
        callers, directory, peers = (f"127.0.0.1:{free_port()}" for _ in range(3))
        settings = GatewaySettings(
            name=f"host-{len(self.hosts)}",
            availability_zone="a",
            region="r",
            callers=callers,
            readiness=directory,
            directory=directory,
            peers=peers,
            seeds=tuple(host.id for host in self.hosts[:1]),
            key_value=self.store.address,
            key_value_form=KEY_VALUE_FORM,
            bounds=self.bounds,
            peer_key="a-key-for-tests",
            zone_price=self.zone_price,
        )
        host = create_platform_host(settings)
        host.start()
        self.hosts.append(host)
        return host

    def start(self, hosts: int = 1) -> None:
        """Start the store with a configuration, then the hosts."""
        self.store.start()
        self.store.write("op/config", configuration())
        for _ in range(hosts):
            self.start_host()

    def await_owners(self) -> None:
        """Wait until every engine has an owner that may give orders."""
        engines = {replica.id for replica in self.replicas if replica.model}
        wait_until(
            lambda: all(
                any(
                    engine in host.owned and host.owned[engine].plan.models
                    for host in self.hosts
                )
                for engine in engines
            )
        )
        wait_until(
            lambda: (
                all(set(host.loads.views) >= engines for host in self.hosts)
                and all(
                    view.load.load_wait_s >= 0
                    for host in self.hosts
                    for view in host.loads.views.values()
                )
            )
        )

    def stop(self) -> None:
        """Stop everything."""
        for host in self.hosts:
            host.stop()
        for replica in self.replicas:
            replica.stop()
        self.store.stop()

    def send(
        self,
        path: str,
        *,
        host: GatewayHost | None = None,
        method: str = "POST",
        body: bytes = b"{}",
        limit_s: float = 20.0,
        protocol: str = "HTTP/1.1",
        **headers: str,
    ) -> Reply:
        """Send one request as a caller and return the response."""
        self.count += 1
        host = host or self.hosts[0]
        ip, _, port = host.settings.callers.rpartition(":")
        fields = {
            "Host": "fleet.example",
            "Request-Id": f"r{self.count}",
            "Deadline-Ms": "10000",
            "Content-Length": str(len(body)),
            **{key.replace("_", "-"): value for key, value in headers.items()},
        }
        lines = [f"{method} {path} {protocol}"]
        lines += [f"{key}: {value}" for key, value in fields.items()]
        sock = gevent.socket.create_connection((ip, int(port)), 5.0)
        try:
            sock.settimeout(limit_s)
            sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)
            return read_reply(sock)
        finally:
            sock.close()

    def text(self, adapter: str, path: str = "/text/a", **options: Any) -> Reply:
        """Send one request for an adapter."""
        headers = {"Model": f"{MODEL}/{adapter}", "Token_Usage": "100,20"}
        return self.send(path, **{**headers, **options})


def read_reply(sock: Any) -> Reply:
    """Read one response until its end or until the connection breaks."""
    response = HTTPSocketResponse(sock)
    # A reset, or the end of the connection within a framed response, is no end of it.
    with suppress(ConnectionResetError, HTTPParseError):
        data = b"-"
        while data and not response.message_complete:
            data = sock.recv(65536)
            response.feed(data)
    headers = {str(key).lower(): str(value) for key, value in response.headers}
    return Reply(
        response.status_code,
        headers,
        bytes(response._body_buffer),
        response.message_complete,
    )


def start_small_fleet() -> GatewayFleet:
    """Return one host with two engines and two replicas of a plain service."""
    fleet = GatewayFleet()
    fleet.start()
    for number in range(2):
        fleet.add_replica(ReplicaStandin(f"e{number}", "engine", model=MODEL))
        fleet.add_replica(ReplicaStandin(f"d{number}", "desk"))
    fleet.await_owners()
    wait_until(lambda: len(fleet.hosts[0].state.usable("desk")) == 2)
    return fleet
