"""The features file: which faults are reported, and the defaults of fields that are missing."""

from __future__ import annotations

from pathlib import Path

import pytest

from sloeswitch import cli
from sloeswitch.cells.policy import MovePolicy
from sloeswitch.features import Features, parse
from sloeswitch.settings import Address, Settings, SettingsError
from sloeswitch.settings import parse as parse_settings
from tests.conftest import SETTINGS

OBJECTIVE = """
[[deployment.objectives]]
kind = "deadline"
class = "train"
share = 0.9
"""
FEATURES = """
[cells]
name = "north"
incarnation = 1
most_under_way = 20
[cells.classes]
train = "once"
[[cells.peers]]
name = "south"
addresses = ["127.0.0.1:9081", "127.0.0.1:9082"]
"""


@pytest.fixture
def with_classes() -> Settings:
    return parse_settings(SETTINGS + OBJECTIVE)


def test_a_whole_file_is_read(with_classes: Settings) -> None:
    cells = parse(FEATURES, with_classes).cells
    assert cells is not None and cells.name == "north" and cells.moving
    assert cells.policy("train") is MovePolicy.ONCE and cells.policy("other") is MovePolicy.NEVER
    assert cells.peers[0].addresses == (Address("127.0.0.1", 9081), Address("127.0.0.1", 9082))
    stopped = parse(FEATURES.replace("most_under", "moving = false\nmost_under"), with_classes).cells
    assert stopped is not None and not stopped.moving


def test_an_empty_file_turns_nothing_on(with_classes: Settings) -> None:
    assert parse("", with_classes) == Features(None)


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ('name = "south"', 'name = "north"', "is this cell itself"),
        ('train = "once"', 'train = "twice"', "must be one of never, once, repeatable"),
        ('train = "once"', 'trian = "once"', "no such class"),
        ("127.0.0.1:9082", "127.0.0.1", "must be HOST:PORT"),
        ("addresses = [", "addresses = 3 #", "must be a list"),
        ("incarnation = 1", "incarnation = 0", "incarnation"),
        ("incarnation = 1", "incarnaton = 1", "incarnaton: unknown field"),
        ("most_under_way = 20", "moving = 1\nmost_under_way = 20", "moving: must be true or false"),
        ("[cells]", "[sells]", "sells: unknown field"),
        ('name = "south"', 'name = "south"\nzone = "a"', "zone: unknown field"),
    ],
)
def test_a_fault_is_named(with_classes: Settings, old: str, new: str, fault: str) -> None:
    with pytest.raises(SettingsError) as error:
        parse(FEATURES.replace(old, new, 1), with_classes)
    assert any(fault in line for line in error.value.faults), error.value.faults


@pytest.mark.parametrize(
    ("text", "deferring"), [("[admission]", True), ("[admission]\ndeferring = false", False), (FEATURES, None)]
)
def test_the_admission_section_turns_deferring_on(with_classes: Settings, text: str, deferring: bool | None) -> None:
    admission = parse(text, with_classes).admission
    assert (admission.deferring if admission is not None else None) is deferring


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("[admission]\ndeferring = 1", "admission.deferring: must be true or false"),
        ("[admission]\ndefering = true", "admission.defering: unknown field"),
        ("admission = 3", "admission"),
    ],
)
def test_faults_of_the_admission_section_are_named(with_classes: Settings, text: str, fault: str) -> None:
    with pytest.raises(SettingsError) as error:
        parse(text, with_classes)
    assert any(fault in line for line in error.value.faults), error.value.faults


def test_a_peer_named_twice_is_refused(with_classes: Settings) -> None:
    again = '[[cells.peers]]\nname = "south"\naddresses = ["127.0.0.1:9"]\n'
    with pytest.raises(SettingsError) as error:
        parse(FEATURES + again, with_classes)
    assert "appears twice" in error.value.faults[0]


def test_check_covers_the_features_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Each fault is printed on its own line, with exit code 2."""
    settings, features = tmp_path / "settings.toml", tmp_path / "features.toml"
    settings.write_text(SETTINGS + OBJECTIVE)
    features.write_text(FEATURES)
    assert cli.main(["--check", str(settings), "--features", str(features)]) == 0
    features.write_text(FEATURES.replace("once", "twice").replace("incarnation = 1", "incarnation = 0"))
    assert cli.main(["--check", str(settings), "--features", str(features)]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 2
    assert cli.main(["--check", str(settings), "--features", str(tmp_path / "none.toml")]) == 2
    assert "cannot be read" in capsys.readouterr().err
