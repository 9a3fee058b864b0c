"""Tests of the settings: invalid files, announced limits, and values derived from settings."""

from __future__ import annotations

import pytest

from sloeswitch.settings import Settings, SettingsError, load, parse
from tests.conftest import SETTINGS


@pytest.mark.parametrize(("content", "fault"), [(b"\xff", "not UTF-8 text"), (b"x =", "not TOML")])
def test_a_file_that_is_not_toml_is_rejected(tmp_path: object, content: bytes, fault: str) -> None:
    path = f"{tmp_path}/settings.toml"
    with open(path, "wb") as file:
        file.write(content)
    with pytest.raises(SettingsError, match=fault):
        load(path)


def test_an_announced_limit_applies_at_once_if_it_is_lower() -> None:
    settings = parse(SETTINGS + "[deployment.state.next]\nrps = 50.0\nvalue_kb = 90.0\ntxn_ops = 4\n")
    assert (settings.state_rps, settings.value_kb, settings.txn_ops, settings.state_write_rps) == (50.0, 16.0, 4, 20.0)


def test_values_derived_from_the_settings(settings: Settings) -> None:
    assert settings.members == ("c0", "c1")
    assert settings.value_bytes == 14745  # nine tenths of 16 KiB
    assert settings.controller_lease_s == 3.0
    assert settings.missed_report_s == 2.2
    assert settings.worker_expiry_s == pytest.approx(10.12)
    assert settings.takeover_expiry_s == pytest.approx(3.006 + 10.12)
