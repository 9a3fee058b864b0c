"""Tests of the TOML reader: fields are checked, and all faults of a file are reported at once."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from sloeswitch.settings import Address
from sloeswitch.toml_reader import TableReader, read_toml


@pytest.mark.parametrize(
    ("line", "read", "value", "faults"),
    [
        ("x = 'a'", lambda table: table.text("x"), "a", []),
        ("x = ''", lambda table: table.text("x"), "", ["x: must be a non-empty string, is ''"]),
        ("x = 2", lambda table: table.number("x"), 2.0, []),
        ("x = true", lambda table: table.number("x"), 1.0, ["x: must be a number of at least 0, is True"]),
        ("x = inf", lambda table: table.number("x"), 1.0, ["x: must be a number of at least 0, is inf"]),
        (
            "x = 0.05",
            lambda table: table.number("x", minimum=0.1),
            1.0,
            ["x: must be a number of at least 0.1, is 0.05"],
        ),
        ("", lambda table: table.number("x", minimum=4), 4.0, ["x: must be a number of at least 4, is None"]),
        ("x = 3", lambda table: table.integer("x"), 3, []),
        (
            "x = 3.0",
            lambda table: table.integer("x", minimum=2),
            2,
            ["x: must be a whole number of at least 2, is 3.0"],
        ),
        ("x = true", lambda table: table.integer("x"), 1, ["x: must be a whole number of at least 1, is True"]),
        ("", lambda table: table.boolean("x"), True, []),
        ("x = false", lambda table: table.boolean("x"), False, []),
        ("x = 1", lambda table: table.boolean("x"), False, ["x: must be true or false, is 1"]),
        ("x = ['a']", lambda table: table.texts("x"), ("a",), []),
        ("x = [1]", lambda table: table.texts("x"), (), ["x: must be a list of strings"]),
        ("x = 'h:9'", lambda table: table.address("x"), Address("h", 9), []),
        ("x = 'h:0'", lambda table: table.address("x"), Address("", 0), ["x: must be HOST:PORT, is 'h:0'"]),
        ("x = 'h:65536'", lambda table: table.address("x"), Address("", 0), ["x: must be HOST:PORT, is 'h:65536'"]),
        ("x = ['h:9']", lambda table: table.addresses("x"), (Address("h", 9),), []),
        ("x = []", lambda table: table.addresses("x"), (), ["x: must be a list of HOST:PORT"]),
    ],
)
def test_a_field_is_checked(line: str, read: Callable[[TableReader], object], value: object, faults: list[str]) -> None:
    table = read_toml(line)
    assert read(table) == value and table.faults == faults


def test_tables_share_one_list_of_faults_with_full_paths() -> None:
    top = read_toml("[a]\ny = 1\n[[b]]\n[[b]]\nz = 1\n")
    top.table("a").table("c").text("x")
    top.tables("b")[1].text("z")
    assert top.faults == [
        "a.c: table is missing",
        "a.c.x: must be a non-empty string, is None",
        "b[1].z: must be a non-empty string, is 1",
    ]


def test_a_table_within_a_missing_one_is_not_reported_again() -> None:
    top = read_toml("")
    top.table("a").table("b")
    top.optional_table("c")
    assert top.faults == ["a: table is missing"]


def test_unknown_fields_are_reported() -> None:
    top = read_toml("[a]\nx = 1\ny = 2\n")
    top.table("a").report_unknown({"y"})
    assert top.faults == ["a.x: unknown field"]
