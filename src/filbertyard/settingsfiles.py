"""Files of the settings tree: `fleet.jsonc` and `teams/TEAM.jsonc`."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from .exceptions import SettingsError
from .hostsettings import load_settings
from .settingstree import FLEET
from .settingstree import TEAMS
from .settingstree import apply_changes
from .settingstree import check_snapshot
from .settingstree import find_subtree
from .teamsettings import FleetSettings
from .teamsettings import Snapshot
from .teamsettings import TeamSettings

FLEET_FILE = "fleet.jsonc"


def load_trees(source: Path, path: str = "") -> dict[str, Any]:
    """Return the subtrees of a file or folder by path; raise SettingsError."""
    if source.is_dir():
        if path:
            raise SettingsError("path", repr(path), "no path beside a folder")
        files = [source / FLEET_FILE] if (source / FLEET_FILE).exists() else []
        files += sorted((source / "teams").glob("*.jsonc"))
        if not files:
            raise SettingsError(
                "", "no settings", f"{FLEET_FILE} or teams/TEAM.jsonc", file=str(source)
            )
        return {
            subtree_path(file): load_tree(file, subtree_path(file)) for file in files
        }
    subtree = path.strip("/") or subtree_path(source)
    if find_subtree({subtree: None}) != subtree:
        raise SettingsError("path", repr(subtree), "fleet or teams/TEAM")
    return {subtree: load_tree(source, subtree)}


def subtree_path(file: Path) -> str:
    """Return the path of the subtree that a file holds."""
    return FLEET if file.name == FLEET_FILE else f"{TEAMS}/{file.stem}"


def load_tree(file: Path, path: str) -> Any:
    """Read and validate one file; raise SettingsError naming file and line."""
    model: type[FleetSettings | TeamSettings]
    model = FleetSettings if path == FLEET else TeamSettings
    settings = load_settings(file, model)
    return settings.model_dump(mode="json", exclude_unset=True, exclude_none=True)


def check_trees(trees: dict[str, Any]) -> None:
    """Check subtrees against each other; raise InvalidChangeError or SettingsError."""
    snapshot = Snapshot(0)
    for path, tree in sorted(trees.items(), key=lambda item: item[0] != FLEET):
        snapshot = apply_changes(snapshot, {path: tree}, snapshot.revision + 1, "")
    check_snapshot(snapshot)
