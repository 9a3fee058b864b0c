"""The comparison of admission decision logs, which `sloeswitch admission compare` runs."""

from __future__ import annotations

import io
from typing import Any

import msgspec
import pytest

from sloeswitch.admission import compare
from sloeswitch.admission.gate import AdmissionGate
from sloeswitch.cli import main
from sloeswitch.core.tables import Tables
from tests.support.admission import RecordingLog
from tests.support.admission_cluster import Cluster


def log_of(cluster: Cluster, until: int) -> list[str]:
    """The log of a controller that applied the stored changes one by one, up to a revision of the state service."""
    tables = Tables()
    lines: list[str] = ["I machines: 3 machines up\n"]
    gate = AdmissionGate(tables, RecordingLog(lines), lambda: True)
    for key, (value, revision) in sorted(cluster.store.rows.items(), key=lambda item: item[1][1]):
        if revision <= until:
            tables.apply(key, value, revision)
            gate.apply()
    return lines


def test_compare_accepts_agreeing_logs_and_prints_the_first_contradiction(tmp_path: Any, capsys: Any) -> None:
    cluster = Cluster()
    cluster.overload(3)
    paths = []
    for number, lines in enumerate((log_of(cluster, 9), log_of(cluster, 99))):
        paths.append(tmp_path / f"c{number}.log")
        paths[-1].write_text("".join(lines))
    names = [str(path) for path in paths]
    assert main(["admission", "compare", *names]) == 0
    text = paths[1].read_text()
    assert '"ground":"deferred"' in text
    paths[1].write_text(text.replace('"ground":"deferred"', '"ground":"cut"', 1))
    assert main(["admission", "compare", *names]) == 1
    first_line, second_line = capsys.readouterr().out.splitlines()
    assert first_line.startswith(names[0]) and second_line.startswith(names[1])
    assert '"deferred"' in first_line and '"cut"' in second_line


def test_a_deferral_holds_at_each_number_applied_before_the_next_decision() -> None:
    def line(kind: str, **fields: Any) -> str:
        return " admission: " + msgspec.json.encode({"type": kind, **fields}).decode()

    def epoch(number: int) -> str:
        return line("epoch", row="r", number=number, digest=str(number))

    def decision(number: int, ground: str) -> str:
        return line("decision", job="wk-1", row="r", number=number, ground=ground, by="wk-1")

    log_without_number_3 = [epoch(1), decision(1, "deferred"), epoch(2), epoch(4), decision(4, "cut")]
    assert compare.compare([("a", log_without_number_3), ("b", [decision(3, "cut")])]) is None, (
        "between two that it applied"
    )
    difference = compare.compare([("a", log_without_number_3), ("b", [decision(2, "cut")])])
    assert difference is not None and (difference.one.number, difference.other.number) == (3, 1)
    assert compare.compare([("a", [epoch(1)]), ("b", [line("epoch", row="r", number=1, digest="x")])]) is not None


@pytest.mark.parametrize("line", ['{"type":"epoch"}', "{", '{"type":"other"}', '{"type":"decision","job":3}'])
def test_a_malformed_record_is_reported_with_its_file_and_line(line: str, tmp_path: Any) -> None:
    path = tmp_path / "c0.log"
    path.write_text(f"I controller: serves\nI admission: {line}\n")
    errors = io.StringIO()
    assert compare.main([str(path)], io.StringIO(), errors) == 2
    assert errors.getvalue().startswith(f"{path}:2: ")


def test_a_missing_log_or_missing_arguments_exit_with_2(tmp_path: Any, capsys: Any) -> None:
    assert main(["admission", "compare", str(tmp_path / "none.log")]) == 2
    assert "none.log" in capsys.readouterr().err
    for arguments in (["admission"], ["admission", "compare"], ["admission", "other"]):
        with pytest.raises(SystemExit) as stopped:
            main(arguments)
        assert stopped.value.code == 2
