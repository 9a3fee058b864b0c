"""Tests of invalid input: submissions, frames and settings."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from sloeswitch import cli, mesh_frames, wire
from sloeswitch.settings import SettingsError, parse
from tests.conftest import SETTINGS, submission


@pytest.mark.parametrize(
    "changes",
    [
        {"visits": 0},
        {"visits": 100_001},
        {"visits": "4"},
        {"visits": True},
        {"cores": -1.0},
        {"memoryGb": "much"},
        {"id": "job-1"},
        {"id": "wk-1/2"},
        {"shape": "ring"},
        {"urgency": "soon"},
        {"dueS": -1.0},
        {"together": None},
        {"crew": ...},
        {"builds": "small"},
    ],
)
def test_malformed_submissions_are_rejected(changes: dict[str, Any]) -> None:
    with pytest.raises(wire.MalformedError):
        wire.check_spec(wire.decode(wire.encode(submission(**changes)), wire.JobSpec))


def test_optional_fields_may_be_missing_and_unknown_fields_are_ignored() -> None:
    body = submission(builds=..., district=..., novel=1)
    assert wire.check_spec(wire.decode(wire.encode(body), wire.JobSpec)).types is None


@pytest.mark.parametrize("data", [b"", b"[]", b"{", b'"x"', b"\xff", b'{"id":NaN}'])
def test_a_submission_that_is_not_a_json_object_is_malformed(data: bytes) -> None:
    with pytest.raises(wire.MalformedError):
        wire.submitted_id(data)


def test_a_spec_is_unchanged_after_storing() -> None:
    spec = wire.decode(wire.encode(submission()), wire.JobSpec)
    assert msgspec.convert(msgspec.to_builtins(spec), wire.JobSpec) == spec


@pytest.mark.parametrize(
    "header",
    [b"sloX\x01\x01\x00\x08", b"sloe\x02\x01\x00\x08", b"sloe\x01\x02\x00\x08", b"sloe\x01\x01\xff\xff"],
)
def test_unexpected_headers_are_rejected(header: bytes) -> None:
    with pytest.raises(mesh_frames.FrameError):
        mesh_frames.check_header(header, mesh_frames.FrameType.VIEW_REQUEST, mesh_frames.VIEW_REQUEST.size)


def test_a_packed_view_has_its_header_and_values() -> None:
    frame = mesh_frames.pack_view(7, True)
    mesh_frames.check_header(frame[: mesh_frames.HEADER.size], mesh_frames.FrameType.VIEW, mesh_frames.VIEW.size)
    assert mesh_frames.VIEW.unpack(frame[mesh_frames.HEADER.size :]) == (7, 1)


def test_every_fault_of_a_settings_file_is_reported() -> None:
    text = SETTINGS.replace('member = "c0"', "").replace("lease_s = 10.0", 'lease_s = "x"')
    with pytest.raises(SettingsError) as raised:
        parse(text)
    assert len(raised.value.faults) == 2


def test_unknown_settings_are_ignored() -> None:
    assert parse("novel = 1\n" + SETTINGS).member == "c0"


def test_check_prints_faults_and_exits_with_2(tmp_path: Any, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "bad.toml"
    path.write_text("member = 3")
    assert cli.main(["--check", str(path)]) == 2
    printed = capsys.readouterr().err
    assert "member: must be a non-empty string" in printed and "Traceback" not in printed
    assert cli.main(["--check", str(tmp_path / "none.toml")]) == 2
