"""Counts on the capacity page, and the tables that follow from its results."""

from pathlib import Path

import pytest

from filbertyard.experiments import design
from filbertyard.experiments import slopes
from filbertyard.keyvalue import create_key_value
from filbertyard.messages import CODECS
from filbertyard.settingsstore import SettingsStore
from filbertyard.standins.keyvalue import KeyValueStandin

ROOT = Path(__file__).resolve().parent.parent


def test_line_fit_finds_slope_and_residual() -> None:
    """Guard against a wrong slope behind every predicted figure."""
    assert design.fit_line([1, 2, 4], [5, 7, 11]) == pytest.approx((2, 3, 0))
    slope, intercept, residual = design.fit_line([0, 1, 2], [0, 4, 2])
    assert (slope, intercept) == pytest.approx((1, 1))
    assert residual == pytest.approx(0.5)


def test_page_shows_the_recorded_results(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against tables that were edited by hand or not regenerated."""
    page = ROOT / slopes.PAGE_FILE
    copy = tmp_path / "page.md"
    copy.write_text(page.read_text())
    monkeypatch.setattr(slopes, "PAGE_FILE", copy)
    slopes.write_page(slopes.load_capacity(ROOT / slopes.RESULT_FILE))
    assert copy.read_text() == page.read_text()


def test_frame_sizes_are_those_of_the_page() -> None:
    """Guard against frames that grew since the page was made."""
    counts = slopes.load_capacity(ROOT / slopes.RESULT_FILE).counts
    assert len(slopes.state_response()) == counts["state_report_bytes"]
    assert slopes.unchanged_list_bytes() == counts["unchanged_list_bytes"]
    assert slopes.replica_entry_bytes() == counts["replica_entry_bytes"]
    codec = CODECS["msgpack"]()
    request = slopes.bench_permit_request()
    # Call ids above 127 take up to two more bytes.
    size = len(codec.encode(0, 1, request)) + 4
    assert size <= counts["permit_request_bytes"] <= size + 2


def test_key_value_calls_of_a_change_are_those_of_the_page() -> None:
    """Guard against a change that costs the service more calls than the page states."""
    standin = KeyValueStandin()
    standin.start()
    key_value = create_key_value("etcd-v3-json", standin.address)
    writer = SettingsStore(key_value)
    team = slopes.bench_team(10)
    writer.commit_tree(slopes.bench_fleet_settings(), {"team-0": team})
    reader = slopes.read_settings(key_value)
    slopes.change_adapter(writer, reader, 0)
    before = sum(standin.calls.values())
    slopes.change_adapter(writer, reader, 1)
    calls = sum(standin.calls.values()) - before
    standin.stop()
    counts = slopes.load_capacity(ROOT / slopes.RESULT_FILE).counts
    assert calls == counts["key_value_calls_per_change"]


def test_every_role_has_three_sizes() -> None:
    """Guard against a line through too few points."""
    capacity = slopes.load_capacity(ROOT / slopes.RESULT_FILE)
    assert {slope.role for slope in capacity.slopes} >= {*slopes.ROLES} - {
        "event buffers"
    }
    assert all(len(slope.sizes) >= 3 for slope in capacity.slopes)
