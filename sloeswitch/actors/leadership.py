"""Leadership: what this run of the controller may do, and until when.

Three things bound it, each counted from the moment at which the question was *sent*, on this process's own clock:

- its lease at the state service, which the membership actor renews;
- the last linearizable read, which would have shown a newer view;
- the confirmations of its siblings over the mesh, on which it may go on answering workers while the state service
  is unreachable.

"Leader" is meant per shard: every member of the view leads the machines that the view gives it. The one coordinator
among the members, which writes views and rents machines, is elected by a key of its own (`actors/membership.py`).
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from sloeswitch.core import keys
from sloeswitch.core.cancellation_log import Cancellation
from sloeswitch.core.incarnation import Incarnation
from sloeswitch.core.records import View
from sloeswitch.core.tables import Tables
from sloeswitch.mesh import Mesh, PeerStatus
from sloeswitch.replica import Replica
from sloeswitch.settings import Settings

log = logging.getLogger("membership")


class Leadership:
    """The rights of this run. Only the membership actor writes it; every actor reads it before it acts.

    A sibling that becomes the owner of a machine waits one controller lease longer than a confirmation of ours could
    still keep workers alive (`core/machine_registry.py`).
    """

    def __init__(self, settings: Settings, tables: Tables, replica: Replica, now: Callable[[], float]) -> None:
        self.settings = settings
        self.tables = tables
        self.replica = replica
        # Seconds of the monotonic clock.
        self.now = now
        # The id of this run's lease; 0 while it has none.
        self.incarnation = 0
        # When the last renewal that was granted had been sent.
        self.lease_renewed_at = float("-inf")
        # Set once the mesh is there; the mesh sends `peer_status` to siblings.
        self.mesh: Mesh | None = None
        # How long a lease or a confirmation may be relied on here, however our clock drifts from its giver's.
        self.lease_span_s = settings.controller_lease_s * (1 - settings.max_clock_drift)

    @property
    def own_incarnation(self) -> Incarnation:
        """This run, as views name it."""
        return Incarnation(self.settings.member, self.incarnation)

    @property
    def incarnation_id(self) -> str:
        """This run, as claims and quota allocations name it."""
        return keys.incarnation_id_of(self.settings.member, self.incarnation)

    @property
    def view(self) -> View:
        """The newest view that this controller has read: the numbered list of members that own machines."""
        return self.tables.view

    @property
    def is_member(self) -> bool:
        """Whether this run, and not a former one of the same member, stands in the newest view known."""
        return self.incarnation != 0 and self.view.incarnation_of(self.settings.member) == self.incarnation

    @property
    def is_leader(self) -> bool:
        """Whether this run may start tasks, store claims and settle machines: it is a member, within its lease."""
        # The linearizable read bounds how long a newer view can have gone unseen; the renewal bounds the lease.
        return (
            self.is_member and self.now() < min(self.lease_renewed_at, self.replica.linearizable_at) + self.lease_span_s
        )

    @property
    def is_coordinator(self) -> bool:
        """Whether this run is the elected coordinator, which writes views and rents machines."""
        return self.is_leader and self.tables.coordinator == (self.settings.member, self.incarnation)

    @property
    def may_answer_workers(self) -> bool:
        """Whether this run may answer reports, which keeps workers and their tasks alive.

        A leader may. So may a member whose siblings all confirm, within the span of a lease, that they know of no newer
        view and have passed on every cancellation that their users may know of. That keeps workers alive
        through an outage of the state service.
        """
        if self.is_leader:
            return True
        if not self.is_member or self.mesh is None or not self.mesh.peers:
            return False
        peers = self.mesh.peers.values()
        return all(
            peer.cancellations_complete
            and peer.view_number <= self.view.number
            and self.now() < peer.requested_at + self.lease_span_s
            for peer in peers
        )

    @property
    def is_leaderless(self) -> bool:
        """Whether, as far as can be known here, no controller may answer machines.

        That is so while the state service does not answer, some sibling confirms nothing, and none reports that it
        reaches the state service or knows of a newer view. A controller that has not read all tables cannot tell.
        """
        if self.may_answer_workers or not self.replica.fully_read or self.replica.client.is_reachable:
            return False
        now = self.now()
        peers = self.mesh.peers.values() if self.mesh is not None else ()
        return not any(
            peer.view_number > self.view.number
            or (peer.state_reachable and now < peer.requested_at + self.lease_span_s)
            for peer in peers
        )

    def peer_status(self) -> PeerStatus:
        """What this controller confirms to its siblings over the mesh."""
        replica = self.replica
        return PeerStatus(
            self.view.number,
            replica.client.is_reachable,
            replica.applied_revision,
            replica.fully_read,
            self.tables.layout_complete,
        )

    def apply_peer_cancellations(self, cancellations: list[Cancellation]) -> None:
        """Takes cancellations from a sibling into the tables; they are stored, but this replica lacks them."""
        for cancellation in cancellations:
            self.tables.apply_peer_cancellation(cancellation)
        log.info("cancellations received from a sibling: count=%d", len(cancellations))
        self.replica.notify_peer_update()

    def owner_of(self, machine: str) -> str | None:
        """The member that owns a machine under the newest view known; None while there is no view."""
        return self.view.owner(machine)

    def view_conditions(self) -> dict[str, int]:
        """The condition of every write that relies on the view: that nobody has stored a newer one."""
        return {keys.VIEW_KEY: self.tables.mod_revision(keys.VIEW_KEY)}
