"""Run one gateway host on the platform.

The modules of the host are imported when it runs: the command line's help needs none of
them, and a host that starts with the defaults needs no command line. Nothing is
monkey-patched: all modules of the gateway call gevent's own sockets, locks and timers.
"""

import functools
import os
import sys
from pathlib import Path

EXIT_SETTINGS = 2

PEER_KEY_VARIABLE = "FILBERTYARD_PEER_KEY"

DEFAULT_METRICS_PORT = 9464


def gateway(
    *, metrics_port: int = DEFAULT_METRICS_PORT, log_level: str = "info"
) -> int:
    """Run one gateway host until SIGTERM or SIGINT, then leave the fleet gracefully.

    The settings file of the platform is named by FILBERTYARD_NODE_FILE; hosts of one
    fleet share FILBERTYARD_PEER_KEY. FILBERTYARD_ZONE_PRICE_MS and
    FILBERTYARD_ZONE_PRICE_MS_PER_KB are what a request to another availability zone is
    worth in its caller's waiting, and each 1,000 bytes of it. Exit status 0 after a
    graceful shutdown, 2 for settings that cannot be used.

    :param metrics_port: port of the metrics endpoint on the host's address, 0 for none
    :param log_level: debug, info, warning or error
    """
    # All addresses are numeric, so that resolving them needs no thread pool.
    os.environ.setdefault("GEVENT_RESOLVER", "block")

    from ..exceptions import SettingsError
    from ..gateway.settings import read_zone_price
    from ..platform.settings import DEFAULT_SETTINGS_PATH
    from ..platform.settings import SETTINGS_VARIABLE
    from ..platform.settings import load_node_file

    try:
        read_settings = functools.partial(
            load_node_file,
            Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)),
            metrics_port,
            os.environ.get(PEER_KEY_VARIABLE, ""),
            read_zone_price(os.environ),
        )
        settings = read_settings()
    except SettingsError as error:
        print(f"filbertyard-gateway: {error.message}", file=sys.stderr)
        return EXIT_SETTINGS

    from ..gateway.process import run_host
    from ..platform.factory import create_platform_host

    run_host(settings, create_platform_host, read_settings, log_level)
    return 0


def main() -> None:
    """Run the command line, which is not parsed if it is empty."""
    if not sys.argv[1:]:
        sys.exit(gateway())
    import defopt

    sys.exit(defopt.run(gateway))


if __name__ == "__main__":
    main()
