"""Drive gateway processes, stand-ins and callers for the scripts of this review.

Each case starts gateways as the deploy file does, as separate processes on loopback
addresses, against the project's stand-ins of the store and of replicas, which run in
this process. Times are in seconds, on the real clock.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

import gevent
import gevent.socket
from geventhttpclient.response import HTTPParseError
from geventhttpclient.response import HTTPSocketResponse

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = "fleet.example"

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

# A case that takes longer is given up; it may take 120 s.
MAX_CASE_S = 110.0

# Bounds of the site files in `sites/`.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 52,
    "recoverS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "requireFencing": False,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "ceilingWindowS": 5,
    "ceilingOvershoot": 1.1,
    "version_ms": 5000,
    "ttl_max_s": 5,
}


class CannotRunError(Exception):
    """The case could not reach the state from which it begins."""


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a port on which nothing listens now."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


def wait_until(check: Callable[[], Any], limit_s: float, what: str) -> Any:
    """Return the first true result of `check`; raise CannotRunError after the limit."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        found = check()
        if found:
            return found
        gevent.sleep(0.05)
    raise CannotRunError(f"{what}: not within {limit_s} s")


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started = time.monotonic()

    def write(self, what: str, **values: Any) -> None:
        """Write one line with the time since the start of the case in seconds."""
        shown = " ".join(f"{key}={value}" for key, value in values.items())
        at = time.monotonic() - self.started
        self.file.write(f"{at:8.3f} {what} {shown}".rstrip() + "\n")
        self.file.flush()


@dataclass
class Reply:
    """What a caller got; status 0 means that the connection ended without a head."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


def send_request(
    address: str,
    path: str,
    request_id: str,
    *,
    method: str = "POST",
    body: bytes = b"{}",
    deadline_ms: int = 10000,
    limit_s: float = 15.0,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Send one request on a new connection, as a caller does, and read its answer."""
    ip, _, port = address.rpartition(":")
    fields = {
        "Host": HOST_NAME,
        "Request-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    try:
        sock = gevent.socket.create_connection((ip, int(port)), 1.0)
    except OSError:
        return Reply(0)
    try:
        sock.settimeout(limit_s)
        sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)
        response = HTTPSocketResponse(sock)
        with suppress(OSError, HTTPParseError):
            data = b"-"
            while data and not response.message_complete:
                data = sock.recv(65536)
                response.feed(data)
        return Reply(
            int(response.status_code),
            {str(key).lower(): str(value) for key, value in response.headers},
            bytes(response._body_buffer),
            response.message_complete,
        )
    except (OSError, HTTPParseError):
        return Reply(0)
    finally:
        sock.close()


@dataclass
class Machine:
    """One machine of the deployment: its addresses, settings file and process."""

    name: str
    ip: str
    front: str
    ready: str
    control: str
    directory: str
    settings: Path
    log: Path
    process: subprocess.Popen[bytes] | None = None

    def settings_text(self, seeds: list[str], store: str, *, bootstrap: bool) -> str:
        """Return the settings file as the platform writes it."""
        lines = [
            f'nodeName = "{self.name}"',
            'role = "gateway"',
            'machineClass = "edge"',
            'serves = ["edge","registry","control_plane"]',
            f'ip = "{self.ip}"',
            'zone = "a"',
            'region = "r"',
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {json.dumps(bootstrap)}",
            'discovery = "platform"',
            'entry = "registry"',
            "heartbeatMs = 1200",
            "[zones]",
            'a = "r"',
            "[listen]",
            f'front = "{self.front}"',
            f'ready = "{self.ready}"',
            f'control = "{self.control}"',
            f'directory = "{self.directory}"',
            "[limits]",
            "cpuShare = 0.537",
            "cores = 2",
            "memoryMb = 300",
            "maxFds = 4100",
            "[bounds]",
            *(f"{key} = {json.dumps(value)}" for key, value in BOUNDS.items()),
            "[provider]",
            f'address = "{store}"',
            'form = "kv"',
            "writesPerS = 400",
            "readsPerS = 2000",
            "historyS = 20",
            "valueBytes = 1048576",
            "minTtlMs = 1000",
        ]
        return "\n".join(lines) + "\n"

    def start(self) -> None:
        """Start the program of the deploy file as it says."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        gateway = role["gateway"]
        command = gateway["run"].split()
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment.update(gateway["env"])
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["FILBERTYARD_NODE_FILE"] = str(self.settings)
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process that this case started."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Tell if the machine says that callers may connect."""
        reply = send_request(
            self.ready, "/api/ready", "ready", method="GET", body=b"", limit_s=1.0
        )
        return reply.status == 200


class Deployment:
    """Machines, the store and replicas of one case."""

    def __init__(self, folder: Path, machines: int = 1) -> None:
        self.record = Record(folder / "record.txt")
        self.temporary = tempfile.TemporaryDirectory()
        self.machines: list[Machine] = []
        self.stops: list[Callable[[], object]] = []
        # The metrics endpoint has a fixed port, so that each machine has its own
        # address.
        for number in range(machines):
            ip = f"127.0.{os.getpid() % 200 + 20}.{number + 2}"
            ports = [free_port(ip) for _ in range(4)]
            name = f"edge-a-{number + 1}"
            addresses = [f"{ip}:{port}" for port in ports]
            base = Path(self.temporary.name) / name
            self.machines.append(
                Machine(
                    name,
                    ip,
                    *addresses,
                    base.with_suffix(".toml"),
                    base.with_suffix(".log"),
                )
            )

    def write_settings(
        self, store: str | Callable[[Machine], str], *, bootstrap: bool = True
    ) -> None:
        """Write the settings files; `store` may differ from machine to machine."""
        seeds = [machine.control for machine in self.machines[:3]]
        for machine in self.machines:
            address = store if isinstance(store, str) else store(machine)
            machine.settings.write_text(
                machine.settings_text(seeds, address, bootstrap=bootstrap)
            )

    def stop(self) -> None:
        """End all that this case started."""
        for machine in self.machines:
            process = machine.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for stop in reversed(self.stops):
            stop()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            for machine in self.machines:
                if machine.log.exists():
                    target = Path(kept) / f"{machine.name}.log"
                    target.write_bytes(machine.log.read_bytes())
        self.temporary.cleanup()


def run_case(
    folder: str, machines: int, play: Callable[[Deployment, bool], bool]
) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it failed.

    `play` gets the deployment and whether the disruption happens, and tells whether the
    rule held.
    """
    deployment = Deployment(Path(folder), machines)
    status = COULD_NOT_RUN

    def give_up() -> None:
        deployment.record.write("could not run", cause=f"over {MAX_CASE_S} s")
        deployment.stop()
        os._exit(COULD_NOT_RUN)

    watchdog = gevent.spawn_later(MAX_CASE_S, give_up)
    try:
        has_held = play(deployment, os.environ.get("TROUBLE", "1") != "0")
        status = HELD if has_held else BROKEN
    except CannotRunError as error:
        deployment.record.write("could not run", cause=str(error))
    finally:
        watchdog.kill()
        deployment.record.write("exit", status=status)
        deployment.stop()
    sys.exit(status)
