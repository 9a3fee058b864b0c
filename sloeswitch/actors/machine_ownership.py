"""Determines the machines that this controller owns: applies each view, and takes machines over after a failover.

Owns the incarnation and the view that the registry reflects. Called by the machines actor and its modules only.
"""

from __future__ import annotations

import logging

from sloeswitch.actors.shard_state import ShardState
from sloeswitch.core.machine import Machine
from sloeswitch.core.records import MachineRow

log = logging.getLogger("machines")


class MachineOwnership:
    """Updates the registry to the view: adds machines, releases them, or requires a new report from them."""

    def __init__(self, shard: ShardState) -> None:
        context = shard.context
        self.settings = context.settings
        self.tables = context.tables
        self.replica = context.replica
        self.leadership = context.leadership
        self.now = context.clock.now
        self.registry = shard.registry
        self.quota = shard.quota
        self.task_updates = shard.task_updates
        # The incarnation and the view number that the registry reflects; 0 means none yet.
        self.incarnation = 0
        self.followed_view = 0

    def follow_view(self) -> None:
        """Applies the current view if this controller is a member of it and has not applied it yet.

        A new incarnation of this controller starts with an empty registry, even before it is a member.
        """
        if self.leadership.incarnation != self.incarnation:
            self._begin_incarnation()
        if self.leadership.is_member and self.leadership.view.number != self.followed_view:
            self._apply_view()

    def _begin_incarnation(self) -> None:
        self.incarnation = self.leadership.incarnation
        self.followed_view = 0
        self.registry.reset()
        self.quota.reset()
        self.task_updates.reset_claims()

    def _apply_view(self) -> None:
        view = self.leadership.view
        consecutive = view.number == self.followed_view + 1
        member = self.settings.member
        lease_expires_at = self.now() + self.settings.takeover_expiry_s
        for name in list(self.registry.machines):
            machine = self.registry.machines[name]
            if self.leadership.owner_of(name) != member:
                self.registry.release_machine(name)
            elif not consecutive:
                # Another controller may have owned the machine under a view that this one did not see.
                self.registry.mark_unreconciled(machine, view.number, lease_expires_at)
        for name, row in self.tables.machines.items():
            if self.leadership.owner_of(name) == member and name not in self.registry.machines:
                self._add_machine(name, row, view.number, lease_expires_at)
        self.followed_view = view.number
        self.quota.update_handed_off_usage()
        self.task_updates.begin_view(view.number)
        log.info(
            "view applied: view=%d machines=%d unrecovered=%d revision=%d",
            view.number,
            len(self.registry.machines),
            sum(not machine.is_recovered for machine in self.registry.machines.values()),
            self.replica.applied_revision,
        )

    def add_missing_machines(self, pending_removals: set[str]) -> None:
        """Adds this controller's machines that are in the tables but not in the registry, except pending removals.

        A delayed registration can be stored after its machine was deleted and removed from the registry. Without this,
        no controller would monitor the machine, and it would count as supply.
        """
        lease_expires_at = self.now() + self.settings.takeover_expiry_s
        for name, row in self.tables.machines.items():
            if name not in self.registry.machines and name not in pending_removals:
                if self.leadership.owner_of(name) != self.settings.member:
                    continue
                log.info("missing machine added: machine=%s", name)
                self._add_machine(name, row, self.followed_view, lease_expires_at)

    def _add_machine(self, name: str, row: MachineRow, view_number: int, lease_expires_at: float) -> None:
        """Adds a stored machine whose tasks are unknown until it is reconciled or its lease has certainly expired."""
        self.registry.add_machine(
            Machine(
                name,
                row.address,
                row.type,
                row.zone,
                row.spot,
                owned_since_token=view_number,
                owned_since=self.now(),
                lease_expires_at=lease_expires_at,
            )
        )
