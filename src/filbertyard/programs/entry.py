"""Run one entry host.

The modules of the host are imported when it runs: the command line's help needs none of
them.
"""

import signal
import sys
from pathlib import Path

import defopt

EXIT_INTERRUPTED = 1
EXIT_SETTINGS = 2


def entry(settings: Path) -> int:
    """Run one entry host until SIGTERM or SIGINT, then leave the fleet gracefully.

    A second signal stops it immediately. Exit status 0 after a graceful shutdown, 1 if
    it was interrupted, 2 for a settings file that cannot be used.

    :param settings: settings file (JSON with comments) of this host
    """
    from gevent import monkey

    # The exporters of traces use threads and blocking sockets.
    monkey.patch_all()

    import gevent
    from gevent.event import Event

    from ..exceptions import SettingsError
    from ..host import create_entry_host
    from ..hostsettings import HostSettings
    from ..hostsettings import load_settings
    from ..logs import configure_stderr_logs

    try:
        host_settings = load_settings(settings, HostSettings)
    except SettingsError as error:
        print(f"filbertyard-entry: {error.message}", file=sys.stderr)
        return EXIT_SETTINGS
    configure_stderr_logs(host_settings.log_level, host_settings.name)
    host = create_entry_host(host_settings)
    host.start()
    stop_event = Event()
    gevent.signal_handler(signal.SIGTERM, stop_event.set)
    gevent.signal_handler(signal.SIGINT, stop_event.set)
    stop_event.wait()
    stop_event.clear()
    # Wakes up at a second signal or at the end of the shutdown.
    shutdown_task = gevent.spawn(host.shutdown)
    shutdown_task.link(lambda _: stop_event.set())
    stop_event.wait()
    if shutdown_task.ready():
        return 0
    host.stop()
    return EXIT_INTERRUPTED


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(entry))
