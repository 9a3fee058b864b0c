"""Tests of every key of the settings file and the features file, of the command line and of the deploy file.

The literals in frozen/settings.json never change. The Python names may; only the maps below use them.
"""

from __future__ import annotations

import json
import logging
import shlex
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from sloeswitch import cli, controller, features, settings
from sloeswitch.admission import compare

ROOT = Path(__file__).parent.parent
FROZEN: dict[str, Any] = json.loads((ROOT / "tests" / "frozen" / "settings.json").read_text())
FILES = ("settings", "features")


def address(value: settings.Address) -> str:
    """Formats an address as it is written in the file."""
    return f"{value.host}:{value.port}"


def classes(value: features.CellFeatures) -> dict[str, str]:
    """The policies of the job classes, as written in the file."""
    return {job_class: policy.value for job_class, policy in value.policies.items()}


# The parsed value of each key; for a key in a list, the value of the first item.
VALUES: dict[str, dict[str, Callable[[Any], Any]]] = {
    "settings": {
        "member": lambda s: s.member,
        "zone": lambda s: s.zone,
        "bind": lambda s: address(s.http_address),
        "mesh_addr": lambda s: address(s.mesh_address),
        "siblings.member": lambda s: s.siblings[0].member,
        "siblings.zone": lambda s: s.siblings[0].zone,
        "siblings.address": lambda s: address(s.siblings[0].address),
        "outside.cloud": lambda s: address(s.cloud_address),
        "outside.state": lambda s: address(s.state_address),
        "deployment.count": lambda s: s.controller_count,
        "deployment.zones": lambda s: list(s.zones),
        "deployment.clock_error_ms": lambda s: s.clock_error_s,
        "deployment.teams.name": lambda s: list(s.teams),
        "deployment.teams.cpus": lambda s: s.teams["red"].cpus,
        "deployment.teams.cpus_max": lambda s: s.teams["red"].cpus_max,
        "deployment.teams.gpus": lambda s: s.teams["red"].gpus,
        "deployment.teams.gpus_max": lambda s: s.teams["red"].gpus_max,
        "deployment.objectives.kind": lambda s: s.objectives[0].kind,
        "deployment.objectives.class": lambda s: s.objectives[0].job_class,
        "deployment.objectives.within_s": lambda s: s.objectives[0].within_s,
        "deployment.objectives.share": lambda s: s.objectives[0].share,
        "deployment.objectives.times": lambda s: s.objectives[0].deadline_factor,
        "deployment.workers.report_s": lambda s: s.report_s,
        "deployment.workers.lease_s": lambda s: s.lease_s,
        "deployment.workers.gang_wait_s": lambda s: s.gang_wait_s,
        "deployment.workers.gang_peer_s": lambda s: s.gang_peer_s,
        "deployment.workers.cancel_s": lambda s: s.cancel_s,
        "deployment.state.rps": lambda s: s.state_rps,
        "deployment.state.write_rps": lambda s: s.state_write_rps,
        "deployment.state.value_kb": lambda s: s.value_kb,
        "deployment.state.txn_ops": lambda s: s.txn_ops,
        "deployment.state.next.rps": lambda s: s.state_rps,
        "deployment.state.next.write_rps": lambda s: s.state_write_rps,
        "deployment.state.next.value_kb": lambda s: s.value_kb,
        "deployment.state.next.txn_ops": lambda s: s.txn_ops,
        "deployment.cloud.rps": lambda s: s.cloud_rps,
        "deployment.cloud.list_lag_s": lambda s: s.list_lag_s,
        "deployment.machine_limits.cores": lambda s: s.controller_cores,
        "deployment.machine_limits.memory_mb": lambda s: s.controller_memory_mb,
        "deployment.machine_limits.fd_limit": lambda s: s.fd_limit,
    },
    "features": {
        "cells.name": lambda f: f.cells.name,
        "cells.incarnation": lambda f: f.cells.incarnation,
        "cells.moving": lambda f: f.cells.moving,
        "cells.most_under_way": lambda f: f.cells.max_in_flight,
        "cells.classes.train": lambda f: classes(f.cells),
        "cells.peers.name": lambda f: f.cells.peers[0].name,
        "cells.peers.addresses": lambda f: [address(peer_address) for peer_address in f.cells.peers[0].addresses],
        "admission.deferring": lambda f: f.admission.deferring,
    },
}

OTHER_NAMES: dict[str, Callable[[], Any]] = {
    "log levels": lambda: {word: logging.getLevelName(level) for word, level in cli.LOG_LEVELS.items()},
    "keys of cells": lambda: sorted(features.CELL_FIELDS),
    "keys of peers": lambda: sorted(features.PEER_FIELDS),
    "keys of admission": lambda: sorted(features.ADMISSION_FIELDS),
    "keys of deploy/service.toml": lambda: sorted(tomllib.loads((ROOT / "deploy" / "service.toml").read_text())),
    "program": lambda: shlex.split(tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"])[-2:],
}


def read(file: str, text: str) -> Any:
    """Parses a text as the settings file or the features file."""
    if file == "settings":
        return settings.parse(text)
    return features.parse(text, settings.parse(FROZEN["settings"]["text"]))


def outcome(file: str, text: str, key: str) -> Any:
    """Returns the faults of a text, or, without any, the parsed value of a key."""
    try:
        return {"value": VALUES[file][key](read(file, text))}
    except settings.SettingsError as error:
        return {"faults": error.faults}


def replaced(text: str, key: str, line: str | None) -> str:
    """Returns the text with another value for a key, or without the key."""
    table, found, lines = "", 0, []
    for old in text.splitlines():
        if old.startswith("["):
            table = old.strip("[]") + "."
        if table + old.partition(" = ")[0] == key:
            found += 1
            if line is not None:
                lines.append(f"{old.partition(' = ')[0]} = {line}")
        else:
            lines.append(old)
    assert found == 1, key
    return "\n".join(lines)


def without_table(text: str, name: str) -> str:
    """Returns the text without a table and the tables nested in it."""
    parts = ("\n" + text).split("\n[")
    kept = [part for part in parts if not (part.strip("[").partition("]")[0] + ".").startswith(name + ".")]
    assert len(kept) < len(parts), name
    return "\n[".join(kept)


def cases(part: str) -> list[tuple[str, str]]:
    """The frozen cases of one part for both files, as pairs of file and name."""
    return [(file, name) for file in FILES for name in FROZEN[file][part]]


def keys_of(table: dict[str, Any], where: str = "") -> set[str]:
    """All keys of parsed TOML, as dotted paths."""
    keys: set[str] = set()
    for key, value in table.items():
        items = value if isinstance(value, list) else [value]
        for item in items:
            keys |= keys_of(item, f"{where}{key}.") if isinstance(item, dict) else {where + key}
    return keys


@pytest.mark.parametrize("file", FILES)
def test_the_frozen_text_has_every_key(file: str) -> None:
    frozen = FROZEN[file]
    assert keys_of(tomllib.loads(frozen["text"])) == set(VALUES[file]) == set(frozen["values"])
    assert set(frozen["missing"]) == set(frozen["wrong"]) == set(VALUES[file])


@pytest.mark.parametrize(("file", "key"), cases("values"))
def test_the_value_of_a_key_is_unchanged(file: str, key: str) -> None:
    assert VALUES[file][key](read(file, FROZEN[file]["text"])) == FROZEN[file]["values"][key]


@pytest.mark.parametrize(("file", "key"), cases("missing"))
def test_a_missing_key_is_reported_or_has_the_same_default(file: str, key: str) -> None:
    text = replaced(FROZEN[file]["text"], key, None)
    assert outcome(file, text, key) == FROZEN[file]["missing"][key]


@pytest.mark.parametrize(("file", "key"), cases("wrong"))
def test_a_key_of_a_wrong_type_is_reported(file: str, key: str) -> None:
    text = replaced(FROZEN[file]["text"], key, "{}")
    assert outcome(file, text, key) == FROZEN[file]["wrong"][key]


@pytest.mark.parametrize(("file", "table"), cases("missing tables"))
def test_a_missing_table_is_reported_or_optional(file: str, table: str) -> None:
    try:
        read(file, without_table(FROZEN[file]["text"], table))
        faults = []
    except settings.SettingsError as error:
        faults = error.faults
    assert faults == FROZEN[file]["missing tables"][table]


@pytest.mark.parametrize(("file", "line"), cases("unknown"))
def test_an_unknown_key_is_ignored_in_settings_and_reported_in_features(file: str, line: str) -> None:
    """The table before the colon is the one to which the line is added."""
    table, _, item = line.rpartition(":")
    text = FROZEN[file]["text"]
    text = text.replace(table, f"{table}\n{item}", 1) if table else f"{item}\n{text}"
    try:
        assert read(file, text) == read(file, FROZEN[file]["text"])
        faults = []
    except settings.SettingsError as error:
        faults = error.faults
    assert faults == FROZEN[file]["unknown"][line]


@pytest.mark.parametrize("name", FROZEN["others"])
def test_a_name_outside_the_files_is_unchanged(name: str) -> None:
    assert set(FROZEN["others"]) == set(OTHER_NAMES)
    assert OTHER_NAMES[name]() == FROZEN["others"][name]


@pytest.fixture
def files(tmp_path: Path) -> dict[str, str]:
    """Writes the frozen texts to files; returns the paths by their placeholders in the frozen command lines."""
    paths = {"SETTINGS": tmp_path / "settings.toml", "FEATURES": tmp_path / "features.toml", "BAD": tmp_path / "bad"}
    paths["SETTINGS"].write_text(FROZEN["settings"]["text"])
    paths["FEATURES"].write_text(FROZEN["features"]["text"])
    paths["BAD"].write_text("novel = 1")
    return {word: str(path) for word, path in paths.items()}


class Program:
    """Runs the command line, and records what it would start instead of starting it."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.monkeypatch = monkeypatch
        self.started: list[str] = []
        monkeypatch.setattr(controller, "run", self.serve)
        monkeypatch.setattr(compare, "main", self.compare)
        monkeypatch.setattr(logging, "basicConfig", self.log)

    def serve(self, parsed: Any, enabled: Any) -> None:
        whole = read("features", FROZEN["features"]["text"])
        assert parsed == read("settings", FROZEN["settings"]["text"]) and enabled in (features.Features(), whole)
        self.started.append("serve with features" if enabled == whole else "serve")

    def compare(self, paths: list[str], _out: Any, _errors: Any) -> int:
        self.started.append(f"compare {' '.join(paths)}")
        return 0

    def log(self, **given: Any) -> None:
        assert given["stream"] is sys.stderr
        self.started.append(f"log {logging.getLevelName(given['level'])} {given['format']}")

    def run(self, arguments: list[str], environment: dict[str, str]) -> Any:
        """Runs the command line and returns its exit status."""
        for name in ("LOG_LEVEL", *environment):
            self.monkeypatch.delenv(name, raising=False)
        for name, value in environment.items():
            self.monkeypatch.setenv(name, value)
        try:
            return cli.main(arguments)
        except SystemExit as exit_error:
            return exit_error.code


@pytest.mark.parametrize("line", FROZEN["command lines"])
def test_the_behaviour_of_a_command_line_is_unchanged(
    line: str, files: dict[str, str], monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Compares the exit status, what is started, and the last line on standard error."""
    program = Program(monkeypatch)
    words = line.split()
    environment = dict(word.split("=") for word in words if "=" in word)
    status = program.run([files.get(word, word) for word in words if "=" not in word], environment)
    printed = capsys.readouterr().err.splitlines()
    for word, path in files.items():
        printed = [printed_line.replace(path, word) for printed_line in printed]
    assert [status, program.started, printed[-1:]] == FROZEN["command lines"][line]
