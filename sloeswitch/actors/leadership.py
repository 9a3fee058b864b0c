"""Leadership: which actions this controller process is allowed to take, and until when.

Permission comes from three sources. Each is valid for a limited time, measured on this process's monotonic clock from
the moment the request was *sent*:

- the lease at the state service, which the membership actor renews;
- the last linearizable read, which would have returned any newer view;
- the confirmations of siblings over the mesh, which allow this controller to keep answering workers while the state
  service is unreachable.

Leadership is per shard: every member of the view leads the machines that the view assigns to it. One member is also
the coordinator, which writes views and creates machines; it is elected by a separate key (`actors/membership.py`).
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from sloeswitch.core import keys
from sloeswitch.core.cancellation_log import Cancellation
from sloeswitch.core.incarnation import Incarnation
from sloeswitch.core.records import View
from sloeswitch.core.tables import Tables
from sloeswitch.mesh import ControllerStatus, Mesh
from sloeswitch.replica import Replica
from sloeswitch.settings import Settings

log = logging.getLogger("membership")


class Leadership:
    """What the current incarnation is allowed to do. Only the membership actor writes it; every actor reads it.

    An incarnation is a member under one lease. A member that restarts, or whose lease has expired, joins with a new
    lease and is then a new incarnation.

    The answers of an earlier owner of a machine may renew the worker's lease until the confirmations from siblings
    expire. A sibling that becomes the owner therefore waits one controller lease on top of the worker's lease before it
    counts the worker's tasks as ended (`Settings.takeover_expiry_s`).
    """

    def __init__(self, settings: Settings, tables: Tables, replica: Replica, now: Callable[[], float]) -> None:
        self.settings = settings
        self.tables = tables
        self.replica = replica
        # Returns the monotonic time in seconds.
        self.now = now
        # The lease id of this incarnation; 0 without a lease.
        self.incarnation = 0
        # When the last successful renewal was sent.
        self.lease_renewed_at = float("-inf")
        # Set after construction, because the mesh needs `peer_status`, which it sends to siblings.
        self.mesh: Mesh | None = None
        # How long a lease or a confirmation is valid here; shortened by the largest drift between two nodes' clocks.
        self.lease_validity_s = settings.controller_lease_s * (1 - settings.max_clock_drift)

    @property
    def own_incarnation(self) -> Incarnation:
        """This incarnation in the form used by views."""
        return Incarnation(self.settings.member, self.incarnation)

    @property
    def incarnation_id(self) -> str:
        """This incarnation in the form used by claims and quota allocations."""
        return keys.incarnation_id_of(self.settings.member, self.incarnation)

    @property
    def view(self) -> View:
        """The newest view that this controller has read: a numbered list of the members that own machines."""
        return self.tables.view

    @property
    def is_member(self) -> bool:
        """Whether the newest known view contains this incarnation, not only an earlier one of the same member."""
        return self.incarnation != 0 and self.view.lease_id_of(self.settings.member) == self.incarnation

    @property
    def is_leader(self) -> bool:
        """Whether this incarnation may start tasks, store claims and reconcile machines.

        It must be a member of the view, and both its lease and its last linearizable read must still be valid.
        """
        # The linearizable read limits how long a newer view can remain unread here.
        return (
            self.is_member
            and self.now() < min(self.lease_renewed_at, self.replica.linearizable_at) + self.lease_validity_s
        )

    @property
    def is_coordinator(self) -> bool:
        """Whether this incarnation is the elected coordinator, which writes views and creates machines."""
        return self.is_leader and self.tables.coordinator == (self.settings.member, self.incarnation)

    @property
    def may_answer_workers(self) -> bool:
        """Whether this incarnation may answer heartbeats, which renews the leases of workers and keeps tasks running.

        A leader may. A member that is not leader may do so too if every sibling has recently confirmed two facts: the
        sibling knows no newer view, and it has sent this controller every cancellation that users may know of. This
        keeps workers alive during an outage of the state service.
        """
        if self.is_leader:
            return True
        if not self.is_member or self.mesh is None or not self.mesh.peers:
            return False
        peers = self.mesh.peers.values()
        return all(
            peer.cancellations_complete
            and peer.view_number <= self.view.number
            and self.now() < peer.requested_at + self.lease_validity_s
            for peer in peers
        )

    @property
    def is_leaderless(self) -> bool:
        """Whether, to this controller's knowledge, no controller at all may answer machines.

        True if this controller may not answer, cannot reach the state service, and no sibling knows a newer view or has
        recently reported that it can reach the state service. False until this controller has read all tables, because
        it cannot know before.
        """
        if self.may_answer_workers or not self.replica.fully_read or self.replica.client.is_reachable:
            return False
        now = self.now()
        peers = self.mesh.peers.values() if self.mesh is not None else ()
        return not any(
            peer.view_number > self.view.number
            or (peer.state_reachable and now < peer.requested_at + self.lease_validity_s)
            for peer in peers
        )

    def peer_status(self) -> ControllerStatus:
        """The status that this controller sends to its siblings over the mesh."""
        replica = self.replica
        return ControllerStatus(
            self.view.number,
            replica.client.is_reachable,
            replica.applied_revision,
            replica.fully_read,
            self.tables.layout_complete,
        )

    def apply_peer_cancellations(self, cancellations: list[Cancellation]) -> None:
        """Applies cancellations from a sibling, which are stored but not yet read by this replica, to the tables."""
        for cancellation in cancellations:
            self.tables.apply_peer_cancellation(cancellation)
        log.info("cancellations received from a sibling: count=%d", len(cancellations))
        self.replica.notify_peer_update()

    def owner_of(self, machine: str) -> str | None:
        """The member that owns a machine under the newest known view; None without a view."""
        return self.view.owner(machine)

    def view_conditions(self) -> dict[str, int]:
        """The transaction condition for writes that depend on the view: the view must not have changed."""
        return {keys.VIEW_KEY: self.tables.mod_revision(keys.VIEW_KEY)}
