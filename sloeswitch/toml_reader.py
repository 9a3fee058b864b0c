"""Checked reading of the TOML files that a controller is given: the settings and the features."""

from __future__ import annotations

import math
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


class SettingsError(Exception):
    """A file of settings or features is refused; `faults` has one line for each fault found in it."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


@dataclass(frozen=True)
class Address:
    """Where a peer listens (IPv4)."""

    host: str
    port: int


class TableReader:
    """Takes checked fields out of one TOML table and adds a line to `faults` for each that is wrong.

    A field that is wrong is replaced by a value of the right type, so that reading goes on and all faults of a file are
    named at once. The readers of a file's tables share one list of faults.
    """

    def __init__(self, values: Mapping[str, Any], faults: list[str], path: str = "") -> None:
        self.values = values
        self.faults = faults
        # What stands before a field's name in faults: empty, or the table's name with a dot.
        self.path = path

    def __contains__(self, key: str) -> bool:
        return key in self.values

    def add_fault(self, key: str, fault: str) -> None:
        """Says what is wrong with a field of this table."""
        self.faults.append(f"{self.path}{key}: {fault}")

    def refuse_unknown(self, known: set[str]) -> None:
        """Adds a fault for each field that is not known."""
        for key in self.values:
            if key not in known:
                self.add_fault(key, "unknown field")

    def text(self, key: str) -> str:
        """A text that is not empty."""
        value = self.values.get(key)
        if isinstance(value, str) and value:
            return value
        self.add_fault(key, f"must be a non-empty string, is {value!r}")
        return ""

    def number(self, key: str, *, least: float = 0.0) -> float:
        """A finite number of at least `least`."""
        value = self.values.get(key)
        if isinstance(value, (int, float)) and not isinstance(value, bool) and least <= value < math.inf:
            return float(value)
        self.add_fault(key, f"must be a number of at least {least:g}, is {value!r}")
        return max(least, 1.0)

    def integer(self, key: str, *, least: int = 1) -> int:
        """A whole number of at least `least`."""
        value = self.values.get(key)
        if isinstance(value, int) and not isinstance(value, bool) and value >= least:
            return value
        self.add_fault(key, f"must be a whole number of at least {least}, is {value!r}")
        return least

    def switch(self, key: str) -> bool:
        """True or false; true if left out."""
        value = self.values.get(key, True)
        if not isinstance(value, bool):
            self.add_fault(key, f"must be true or false, is {value!r}")
        return value is True

    def texts(self, key: str) -> tuple[str, ...]:
        """A list of texts; empty if left out."""
        value = self.values.get(key, [])
        if isinstance(value, list) and all(isinstance(item, str) for item in value):
            return tuple(value)
        self.add_fault(key, "must be a list of strings")
        return ()

    def address(self, key: str) -> Address:
        """An address as HOST:PORT."""
        return self._address(key, self.values.get(key))

    def addresses(self, key: str) -> tuple[Address, ...]:
        """A list of addresses that is not empty."""
        value = self.values.get(key)
        if not isinstance(value, list) or not value:
            self.add_fault(key, "must be a list of HOST:PORT")
            return ()
        return tuple(self._address(key, item) for item in value)

    def _address(self, key: str, value: object) -> Address:
        if isinstance(value, str):
            host, colon, port = value.rpartition(":")
            if colon and host and port.isdigit() and 0 < int(port) < 65536:
                return Address(host, int(port))
        self.add_fault(key, f"must be HOST:PORT, is {value!r}")
        return Address("", 0)

    def table(self, key: str) -> TableReader:
        """A table within this one. Within a table that is missing itself, it is not named as missing again."""
        value = self.values.get(key)
        path = f"{self.path}{key}."
        if isinstance(value, dict):
            return TableReader(value, self.faults, path)
        if self.values or not self.path:
            self.add_fault(key, "table is missing")
        return TableReader({}, self.faults, path)

    def optional_table(self, key: str) -> TableReader:
        """The same for a table that may be left out."""
        return self.table(key) if key in self.values else TableReader({}, self.faults, f"{self.path}{key}.")

    def tables(self, key: str) -> list[TableReader]:
        """A list of tables; empty if left out."""
        value = self.values.get(key, [])
        if isinstance(value, list) and all(isinstance(item, dict) for item in value):
            return [TableReader(item, self.faults, f"{self.path}{key}[{index}].") for index, item in enumerate(value)]
        self.add_fault(key, "must be a list of tables")
        return []


def read_toml(text: str) -> TableReader:
    """The top table of a TOML text; raises SettingsError if it is not TOML."""
    try:
        return TableReader(tomllib.loads(text), [])
    except tomllib.TOMLDecodeError as error:
        raise SettingsError([f"not TOML: {error}"]) from None


def read_file(path: str) -> str:
    """The text of a file; raises SettingsError if it cannot be read."""
    try:
        with open(path, "rb") as file:
            return file.read().decode()
    except OSError as error:
        raise SettingsError([f"cannot be read: {error.strerror}"]) from None
    except UnicodeDecodeError:
        raise SettingsError(["not UTF-8 text"]) from None
