"""Run one gateway host on the platform."""

import os

# All addresses are numeric, so that resolving them needs no thread pool.
os.environ.setdefault("GEVENT_RESOLVER", "block")

from gevent import monkey

monkey.patch_all()

import logging
import signal
import sys
from pathlib import Path

import defopt
import gevent
from gevent.event import Event

from ..exceptions import SettingsError
from ..gateway.host import GatewayHost
from ..gateway.settings import GatewaySettings
from ..logs import configure_stdout_logs
from ..logs import log_event
from ..platform.factory import create_platform_host
from ..platform.settings import DEFAULT_SETTINGS_PATH
from ..platform.settings import SETTINGS_VARIABLE
from ..platform.settings import load_node_file

logger = logging.getLogger(__name__)

EXIT_SETTINGS = 2

PEER_KEY_VARIABLE = "FILBERTYARD_PEER_KEY"

DEFAULT_METRICS_PORT = 9464


def gateway(
    *, metrics_port: int = DEFAULT_METRICS_PORT, log_level: str = "info"
) -> int:
    """Run one gateway host until SIGTERM or SIGINT, then leave the fleet gracefully.

    The settings file of the platform is named by FILBERTYARD_NODE_FILE; hosts of one
    fleet share FILBERTYARD_PEER_KEY. Exit status 0 after a graceful shutdown, 2 for a
    settings file that cannot be used.

    :param metrics_port: port of the metrics endpoint on the host's address, 0 for none
    :param log_level: debug, info, warning or error
    """
    try:
        settings = read_settings(metrics_port)
    except SettingsError as error:
        print(f"filbertyard-gateway: {error.message}", file=sys.stderr)
        return EXIT_SETTINGS
    configure_stdout_logs(log_level, settings.name)
    host = create_platform_host(settings)
    host.start()
    stop_event = Event()
    gevent.signal_handler(signal.SIGTERM, stop_event.set)
    gevent.signal_handler(signal.SIGINT, stop_event.set)
    gevent.signal_handler(signal.SIGHUP, reload, host, metrics_port)
    stop_event.wait()
    host.shutdown()
    return 0


def read_settings(metrics_port: int) -> GatewaySettings:
    """Read the settings file that the environment names; raise SettingsError."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH))
    return load_node_file(path, metrics_port, os.environ.get(PEER_KEY_VARIABLE, ""))


def reload(host: GatewayHost, metrics_port: int) -> None:
    """Apply the settings file again; keep the current settings if it is invalid."""
    try:
        host.reload(read_settings(metrics_port))
    except SettingsError as error:
        log_event(logger, "reload_failed", level=logging.ERROR, error=error.message)


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(gateway))


if __name__ == "__main__":
    main()
