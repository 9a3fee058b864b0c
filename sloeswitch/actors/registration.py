"""Registration: which machines are stored as ours.

A machine is stored before anything starts on it, so that a later owner knows of it, and taken out once the cloud has
confirmed its deletion. The machines actor owns this and alone calls it, save for the loop `unregister_forever`.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from sloeswitch import wire
from sloeswitch.actors.context import ControllerContext
from sloeswitch.core import keys
from sloeswitch.core.machine import Machine
from sloeswitch.core.row_codec import encode_machine, split_machine_groups
from sloeswitch.core.transaction import Transaction
from sloeswitch.rate_budget import RequestPriority

# The part of a transaction's bytes that its values may take together; the rest is for keys and conditions.
VALUES_SHARE = 0.8

# A machine as a group holds it, and the machines of one group by name.
StoredMachine = list[str | bool]
MachineGroup = dict[str, StoredMachine]
# The stored form of a machine or of a group: the value of one key.
StoredValue = dict[str, str | bool] | dict[str, MachineGroup]


def _encode_machine(machine: Machine) -> dict[str, str | bool]:
    """A machine under a key of its own, as layout 1 reads it."""
    return {"a": machine.address, "t": machine.type, "z": machine.zone, "s": machine.spot}


@dataclass
class NewMachines:
    """As many new machines as one transaction takes: their names, and the values that hold them by key."""

    names: set[str] = field(default_factory=set)
    writes: dict[str, StoredValue] = field(default_factory=dict)


class Registration:
    """Stores new machines and takes deleted ones out, many at a time: the state service takes few changes.

    `pace_s`: seconds that new machines are gathered for. `on_change`: called when a write has ended, one way or other.
    """

    def __init__(self, context: ControllerContext, pace_s: float, on_change: Callable[[], None]) -> None:
        self.settings = context.settings
        self.client = context.client
        self.replica = context.replica
        self.tables = context.tables
        self.leadership = context.leadership
        self.pace_s = pace_s
        self.on_change = on_change
        self.sleep: Callable[[float], Awaitable[None]] = anyio.sleep
        # Machines whose registration is under way, and deleted ones that are still stored.
        self.pending_registrations: set[str] = set()
        self.pending_removals: set[str] = set()
        self.groups_created = 0

    def _new_group_key(self, split_from: str = "") -> str:
        """A key never used before. What is split off another group sorts after it by key (`core/tables.py`)."""
        self.groups_created += 1
        prefix = f"{split_from}." if split_from else keys.machine_group_key("")
        return f"{prefix}{self.leadership.incarnation_id}.{self.groups_created}"

    def _max_values_bytes(self) -> int:
        """What the values of one transaction may take together, in bytes."""
        return max(self.client.max_value_bytes, int(VALUES_SHARE * wire.MAX_BODY_BYTES))

    # -- new machines

    def machines_to_store(self, machines: list[Machine]) -> NewMachines:
        """As many as one transaction takes of the reconciled machines that are neither stored nor about to be."""
        unstored = [
            machine
            for machine in machines
            if machine.reconciled
            and machine.name not in self.tables.machines
            and machine.name not in self.pending_registrations
        ]
        if all(row.layout >= keys.MACHINE_GROUPS_LAYOUT for row in self.tables.members.values()):
            return self._grouped(unstored)
        # A member of an earlier layout knows no groups.
        return self._one_by_one(unstored[: self.client.max_transaction_changes])

    @staticmethod
    def _one_by_one(machines: list[Machine]) -> NewMachines:
        return NewMachines(
            {machine.name for machine in machines},
            {keys.machine_key(machine.name): _encode_machine(machine) for machine in machines},
        )

    def _grouped(self, machines: list[Machine]) -> NewMachines:
        rows = {machine.name: [machine.address, machine.type, machine.zone, machine.spot] for machine in machines}
        max_groups = min(
            self.client.max_transaction_changes, max(1, self._max_values_bytes() // self.client.max_value_bytes)
        )
        groups = split_machine_groups(rows, self.client.max_value_bytes)[:max_groups]
        return NewMachines(
            {name for group in groups for name in group}, {self._new_group_key(): {"m": group} for group in groups}
        )

    async def store(self, new: NewMachines, view_number: int) -> None:
        """Stores new machines on condition of the view under which they were reconciled.

        They count as pending until the write has ended, whatever came of it; the next tick tries again what is not
        stored then.
        """
        change = Transaction(self.leadership.view_conditions(), dict(new.writes))
        try:
            if self.leadership.view.number == view_number:
                await self.client.compare_and_swap(change, RequestPriority.CLAIM)
                self.replica.request_read()
                await anyio.sleep(self.pace_s)
        finally:
            self.pending_registrations -= new.names
            self.on_change()

    # -- deleted machines

    async def unregister_forever(self) -> None:
        """Takes deleted machines out of what is stored, many at a time, until cancelled."""
        while True:
            await self.sleep(2 * self.settings.report_s)
            change = self._removals()
            if change:
                await self.client.compare_and_swap(change, RequestPriority.PROGRESS)
                self.replica.request_read()

    def _removals(self) -> Transaction:
        """As many groups without their deleted machines as fit a transaction.

        Guards against a wave of deletions in many full groups: all of them in one transaction would be over the
        limit, refused again and again, and the machines counted as present for ever.
        """
        self.pending_removals &= self.tables.machines.keys()
        remaining_bytes = self._max_values_bytes()
        removals = Transaction()
        for key in sorted({self.tables.machines[name].key for name in self.pending_removals}):
            groups = self._remaining_groups(key)
            if len(groups) > 1 and not self.tables.layout_complete:
                # An earlier layout would take machines that leave one group for another as deleted. Until no
                # controller has that layout, a machine too many in the tables costs little.
                continue
            # A group that is dropped is one change; one that is split may take several.
            changes = max(1, len(groups))
            value_bytes = changes * self.client.max_value_bytes
            if not removals and changes > self.client.max_transaction_changes:
                return self._split_group(key, groups)
            if removals and (
                len(removals) + changes > self.client.max_transaction_changes or remaining_bytes < value_bytes
            ):
                break
            remaining_bytes -= value_bytes
            self._replace_group(removals, key, groups)
        return removals

    def _remaining_groups(self, key: str) -> list[MachineGroup]:
        """The machines under a key that were not deleted, in groups that each fit a value."""
        names = sorted(
            name
            for name in self.tables.machine_groups.get(keys.machine_group_name(key), ())
            if name not in self.pending_removals and self.tables.machines[name].key == key
        )
        rows = {name: encode_machine(self.tables.machines[name]) for name in names}
        return split_machine_groups(rows, self.client.max_value_bytes)

    def _replace_group(self, removals: Transaction, key: str, groups: list[MachineGroup]) -> None:
        """Adds to the removals that a key holds the first group and new keys the others; none: it is dropped."""
        removals.conditions[key] = self.tables.mod_revision(key)
        if groups:
            removals.writes[key] = {"m": groups[0]}
            removals.writes.update((self._new_group_key(key), {"m": group}) for group in groups[1:])
        else:
            removals.deletes.append(key)

    def _split_group(self, key: str, groups: list[MachineGroup]) -> Transaction:
        """Splits a group that is too large for one transaction.

        At first all but its first part get groups of their own, which loses no machine; the group itself is rewritten
        once that is stored.
        """
        split_off = groups[1 : self.client.max_transaction_changes]
        writes = {self._new_group_key(key): {"m": group} for group in split_off}
        return Transaction({key: self.tables.mod_revision(key)}, writes)
