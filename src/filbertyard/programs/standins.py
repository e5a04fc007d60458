"""Run the stand-ins of one deployment."""

from gevent import monkey

monkey.patch_all()

import signal
import sys
from pathlib import Path

import defopt
import gevent
from gevent.event import Event

from ..exceptions import SettingsError
from ..hostsettings import load_settings
from ..keyvalue import create_key_value
from ..settingsstore import SettingsStore
from ..standins.fleet import create_fleet
from ..teamsettings import FleetSettings
from ..teamsettings import TeamSettings

EXIT_SETTINGS = 2


def standins(deployment: Path) -> int:
    """Run the stand-ins of a deployment until SIGTERM or SIGINT.

    The folder holds `standins.jsonc`, `fleet.jsonc` and `teams/TEAM.jsonc`; the
    settings are written to the key-value service when it is empty.

    :param deployment: folder of the deployment, for example examples/drakensig
    """
    try:
        fleet = create_fleet(deployment / "standins.jsonc")
        fleet_settings = load_settings(deployment / "fleet.jsonc", FleetSettings)
        teams = {
            path.stem: load_settings(path, TeamSettings)
            for path in sorted((deployment / "teams").glob("*.jsonc"))
        }
    except SettingsError as error:
        print(f"filbertyard-standins: {error.message}", file=sys.stderr)
        return EXIT_SETTINGS
    fleet.start()
    key_value = create_key_value("etcd-v3-json", fleet.key_value.address)
    SettingsStore(key_value).commit_tree(fleet_settings, teams)
    print(f"key-value service {fleet.key_value.address}")
    print(f"host list         {fleet.host_list.address}")
    print(f"adapter store     {fleet.adapter_store.address}", flush=True)
    stop_event = Event()
    gevent.signal_handler(signal.SIGTERM, stop_event.set)
    gevent.signal_handler(signal.SIGINT, stop_event.set)
    stop_event.wait()
    fleet.stop()
    return 0


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(standins))
