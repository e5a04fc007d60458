"""Run a gateway host as the only host of its process."""

from __future__ import annotations

import logging
import signal
from collections.abc import Callable

import gevent
from gevent.event import Event

from ..exceptions import SettingsError
from ..logs import configure_stdout_logs
from ..logs import log_event
from .host import GatewayHost
from .settings import GatewaySettings

logger = logging.getLogger(__name__)


def run_host(
    settings: GatewaySettings,
    create_host: Callable[[GatewaySettings], GatewayHost],
    read_settings: Callable[[], GatewaySettings],
    log_level: str,
) -> None:
    """Run a host until SIGTERM or SIGINT, then leave the fleet gracefully."""
    configure_stdout_logs(log_level, settings.name)
    host = create_host(settings)
    host.start()
    stop_event = Event()
    gevent.signal_handler(signal.SIGTERM, stop_event.set)
    gevent.signal_handler(signal.SIGINT, stop_event.set)
    gevent.signal_handler(signal.SIGHUP, reload, host, read_settings)
    stop_event.wait()
    host.shutdown()


def reload(host: GatewayHost, read_settings: Callable[[], GatewaySettings]) -> None:
    """Apply the settings file again; keep the current settings if it is invalid."""
    try:
        host.reload(read_settings())
    except SettingsError as error:
        log_event(logger, "reload_failed", level=logging.ERROR, error=error.message)
