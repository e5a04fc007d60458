"""filbertyardctl against the operator interface of one host."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from filbertyard import commands as commands
from filbertyard import ctlcommands
from filbertyard import ctlqueries
from filbertyard import ctlsettingsqueries
from filbertyard import settingsqueries as settingsqueries
from filbertyard.exceptions import SettingsError
from filbertyard.operators import OperatorApplication
from filbertyard.settingscommits import ChangeRequest
from filbertyard.standins.store import AdapterStoreStandin
from filbertyard.standins.web import Server
from test_settings import FLEET
from test_settings import TEAM
from test_settings import VERSION
from test_settings import Fleet
from test_settings import accepted

ROOT = Path(__file__).resolve().parent.parent

PATH = VERSION.format(1)


class Ctl:
    """One host with its operator interface, and the subcommands."""

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.store = self.fleet.add("h1")
        accepted(self.store, {"fleet": FLEET})
        accepted(self.store, {"teams/t": TEAM})
        versions = {f"t/{name}": ["v1", "v2"] for name in TEAM["adapters"]}
        self.adapter_store = AdapterStoreStandin(1.0, versions)
        self.adapter_store.start()
        platform = SimpleNamespace(adapter_store=self.adapter_store.address)
        host: Any = SimpleNamespace(
            name="h1",
            settings=SimpleNamespace(platform=platform),
            settings_store=self.store,
            membership=self.fleet.members["h1"],
            snapshot=lambda: self.store.snapshot,
        )
        self.server = Server(OperatorApplication(host, "key"))
        self.server.start()
        self.functions = {
            function.__name__: function
            for function in [*ctlcommands.COMMANDS, *ctlqueries.QUERIES]
        }

    def run(self, name: str, *arguments: Any, **options: Any) -> int:
        """Run a subcommand and return its exit status."""
        if name in ("set", "delete", "apply", "revert"):
            options = {"reason": "test", "author": "ann", **options}
        connection = {"address": self.server.address, "key": "key"}
        return self.functions[name](*arguments, **options, **connection)


@pytest.fixture
def ctl() -> Iterator[Ctl]:
    """Return a host with settings at revision 2."""
    ctl = Ctl()
    yield ctl
    ctl.server.stop()
    ctl.adapter_store.stop()


def test_exit_statuses_show_the_outcome_of_a_change(
    ctl: Ctl, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    """Guard against a script that mistakes a failed change for an applied one."""
    assert ctl.run("set", PATH, "v2", wait=5.0) == 0
    assert "1 of 1 hosts" in capsys.readouterr().out
    assert ctl.run("set", PATH, "v9") == 1
    assert f"{PATH}: found 'v9', expected a version" in capsys.readouterr().err
    assert ctl.run("set", PATH, "v9", skip_store_check=True) == 0
    assert ctl.run("get", "teams/none") == 1
    ctl.fleet.add("h2")
    ctl.fleet.add("h3").refresh()
    ctl.fleet.paused.add("h2")
    assert ctl.run("set", PATH, "v1", wait=0.01) == 4
    assert "not in force yet on h2" in capsys.readouterr().err
    assert ctl.run("settings_status") == 4
    assert ctl.run("revert", 3) == 5
    assert "revision 4 by ann (test) changed" in capsys.readouterr().err
    ctl.fleet.standin.faults.lose_responses = 1
    assert ctl.run("set", PATH, "v2") == 6
    ctl.fleet.standin.faults.unavailable = True
    assert ctl.run("set", PATH, "v1") == 3
    ctl.adapter_store.stop()
    assert ctl.run("set", PATH, "v1") == 3
    with pytest.raises(SettingsError, match="reason"):
        ctl.run("set", PATH, "v1", reason=" ")


def test_apply_diff_revert_and_history(
    ctl: Ctl, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    """Guard against settings in force that differ from the file after `apply`."""
    file = tmp_path / "t.jsonc"
    adapters = {**TEAM["adapters"], "a1": {"version": "v2", "upstream": "writer"}}
    del adapters["a2"]
    file.write_text("// one team\n" + json.dumps({**TEAM, "adapters": adapters}))
    before = ctl.store.snapshot
    assert ctl.run("diff", file) == 1
    assert ctl.run("apply", file) == 0
    assert ctl.run("diff", file) == 0
    assert "a2" not in ctl.store.snapshot.teams["t"].adapters
    assert ctl.run("revert", 3, reason="no") == 0
    assert ctl.store.snapshot.teams["t"].adapters == before.teams["t"].adapters
    capsys.readouterr()
    assert ctl.run("history", json=True) == 0
    newest = json.loads(capsys.readouterr().out)[0]
    assert newest["reason"] == "reverts 3: no"
    assert (newest["reverts"], newest["author"]) == (3, "ann")
    assert ctl.run("watch", after=2, seconds=0.01, json=True) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [json.loads(line)["revision"] for line in lines] == [3, 4]
    assert ctl.run("get", PATH, effective=True, json=True) == 0
    assert json.loads(capsys.readouterr().out)[0]["source"] == "adapter"


def test_apply_is_all_or_nothing_and_does_not_win_a_race(
    ctl: Ctl, tmp_path: Path
) -> None:
    """Guard against a file that is applied in part or over a newer change."""
    file = tmp_path / "t.jsonc"
    file.write_text(json.dumps({**TEAM, "default_rank": "none", "adapters": {}}))
    assert ctl.run("apply", file) == 1
    file.write_text(json.dumps({**TEAM, "default_rank": "urgent"}))
    other = ChangeRequest({"teams/t/default_rank": "urgent"}, "bob", "first")
    answer = ctl.store.commit

    def commit(request: ChangeRequest) -> Any:
        ctl.store.commit = answer  # type: ignore[method-assign]
        answer(other)
        return answer(request)

    ctl.store.commit = commit  # type: ignore[method-assign]
    assert ctl.run("apply", file) == 5
    assert ctl.store.snapshot.revision == 3


@pytest.mark.parametrize("name", ["drakensig", "stolyarov"])
def test_the_examples_are_valid(name: str) -> None:
    """Guard against examples that an operator cannot apply."""
    assert ctlsettingsqueries.validate(ROOT / "examples" / name) == 0


def test_validate_names_file_line_and_path(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    """Guard against faults in files that are found only when they are applied."""
    fleet = tmp_path / "fleet.jsonc"
    fleet.write_text(json.dumps(FLEET))
    team = tmp_path / "t.jsonc"
    team.write_text(json.dumps({**TEAM, "default_rank": "none"}))
    assert ctlsettingsqueries.validate(team, fleet=fleet) == 1
    assert "teams/t/default_rank" in capsys.readouterr().out
    team.write_text('{\n  "default_rank": 7\n}')
    with pytest.raises(SettingsError, match=r"t.jsonc:2: default_rank: found 7"):
        ctlsettingsqueries.validate(team)
    assert ctlsettingsqueries.schema() == 0
    assert "FleetSettings" in json.loads(capsys.readouterr().out)["$defs"]
