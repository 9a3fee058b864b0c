"""Reads and checks the TOML files of a controller: the settings and the features."""

from __future__ import annotations

import math
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


class SettingsError(Exception):
    """A file of settings or features is invalid; `faults` has one line for each fault."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


@dataclass(frozen=True)
class Address:
    """An IPv4 address and a port."""

    host: str
    port: int


class TableReader:
    """Reads checked fields from one TOML table, and adds a line to `faults` for each invalid or missing field.

    An invalid field is replaced by a value of the right type, so that reading continues and all faults of a file are
    reported at once. The readers of all tables of a file share one list of faults.
    """

    def __init__(self, values: Mapping[str, Any], faults: list[str], prefix: str = "") -> None:
        self.values = values
        self.faults = faults
        # The prefix of a field's name in faults: empty for the top table, or the table's path with a dot at its end.
        self.prefix = prefix

    def __contains__(self, key: str) -> bool:
        return key in self.values

    def add_fault(self, key: str, fault: str) -> None:
        """Adds a fault of a field of this table."""
        self.faults.append(f"{self.prefix}{key}: {fault}")

    def report_unknown(self, known: set[str]) -> None:
        """Adds a fault for each field of this table that is not in `known`."""
        for key in self.values:
            if key not in known:
                self.add_fault(key, "unknown field")

    def text(self, key: str) -> str:
        """Returns a string that must not be empty."""
        value = self.values.get(key)
        if isinstance(value, str) and value:
            return value
        self.add_fault(key, f"must be a non-empty string, is {value!r}")
        return ""

    def number(self, key: str, *, minimum: float = 0.0) -> float:
        """Returns a finite number that must be at least `minimum`."""
        value = self.values.get(key)
        if isinstance(value, (int, float)) and not isinstance(value, bool) and minimum <= value < math.inf:
            return float(value)
        self.add_fault(key, f"must be a number of at least {minimum:g}, is {value!r}")
        return max(minimum, 1.0)

    def integer(self, key: str, *, minimum: int = 1) -> int:
        """Returns an integer that must be at least `minimum`."""
        value = self.values.get(key)
        if isinstance(value, int) and not isinstance(value, bool) and value >= minimum:
            return value
        self.add_fault(key, f"must be a whole number of at least {minimum}, is {value!r}")
        return minimum

    def boolean(self, key: str) -> bool:
        """Returns a boolean; true if the field is missing."""
        value = self.values.get(key, True)
        if not isinstance(value, bool):
            self.add_fault(key, f"must be true or false, is {value!r}")
        return value is True

    def texts(self, key: str) -> tuple[str, ...]:
        """Returns a list of strings; empty if the field is missing."""
        value = self.values.get(key, [])
        if isinstance(value, list) and all(isinstance(item, str) for item in value):
            return tuple(value)
        self.add_fault(key, "must be a list of strings")
        return ()

    def address(self, key: str) -> Address:
        """Returns an address, written as HOST:PORT."""
        return self._address(key, self.values.get(key))

    def addresses(self, key: str) -> tuple[Address, ...]:
        """Returns a list of addresses that must not be empty."""
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
        """Returns a reader of a nested table, and adds a fault if that table is missing.

        A nested table without any fields adds no faults for tables missing in it, so that only the outermost one of
        several missing tables is reported.
        """
        value = self.values.get(key)
        prefix = f"{self.prefix}{key}."
        if isinstance(value, dict):
            return TableReader(value, self.faults, prefix)
        if self.values or not self.prefix:
            self.add_fault(key, "table is missing")
        return TableReader({}, self.faults, prefix)

    def optional_table(self, key: str) -> TableReader:
        """Returns a reader of a nested table that may be missing."""
        return self.table(key) if key in self.values else TableReader({}, self.faults, f"{self.prefix}{key}.")

    def tables(self, key: str) -> list[TableReader]:
        """Returns readers of a list of tables; empty if the field is missing."""
        value = self.values.get(key, [])
        if isinstance(value, list) and all(isinstance(item, dict) for item in value):
            return [TableReader(item, self.faults, f"{self.prefix}{key}[{index}].") for index, item in enumerate(value)]
        self.add_fault(key, "must be a list of tables")
        return []


def read_toml(text: str) -> TableReader:
    """Returns a reader of the top table of a TOML text; raises SettingsError if the text is not TOML."""
    try:
        return TableReader(tomllib.loads(text), [])
    except tomllib.TOMLDecodeError as error:
        raise SettingsError([f"not TOML: {error}"]) from None


def read_file(path: str) -> str:
    """Returns the text of a file; raises SettingsError if the file cannot be read as UTF-8."""
    try:
        with open(path, "rb") as file:
            return file.read().decode()
    except OSError as error:
        raise SettingsError([f"cannot be read: {error.strerror}"]) from None
    except UnicodeDecodeError:
        raise SettingsError(["not UTF-8 text"]) from None
