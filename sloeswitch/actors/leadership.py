"""Leadership: what this run of the controller may do, by its lease, the view and the confirmations of its siblings."""

from __future__ import annotations

import logging
from collections.abc import Callable

from sloeswitch.core import keys
from sloeswitch.core.cancellation_log import Cancellation
from sloeswitch.core.records import View
from sloeswitch.core.tables import Tables
from sloeswitch.mesh import Mesh, PeerStatus
from sloeswitch.replica import Replica
from sloeswitch.settings import Settings

log = logging.getLogger("membership")


class Leadership:
    """What this controller is entitled to. Written by the membership actor; others read it.

    `may_act`: inside the own lease and knowing of no newer view, both counted from when the question
    was *sent*. `may_answer`: besides, while every sibling confirms over the mesh that it knows of no
    newer view and has told us all cancellations that its users may know; that keeps workers alive through
    an outage of the state service. A sibling that becomes a new owner waits one controller lease longer
    than its confirmation could matter (see registry).
    """

    def __init__(self, settings: Settings, tables: Tables, replica: Replica, now: Callable[[], float]) -> None:
        self.settings = settings
        self.tables = tables
        self.replica = replica
        self.now = now
        self.incarnation = 0
        self.lease_renewed_at = float("-inf")
        self.mesh: Mesh | None = None
        self.lease_span_s = settings.controller_lease_s * (1 - settings.clock_drift)

    @property
    def incarnation_id(self) -> str:
        return keys.incarnation_id_of(self.settings.member, self.incarnation)

    @property
    def view(self) -> View:
        return self.tables.view

    @property
    def is_member(self) -> bool:
        return self.incarnation != 0 and self.view.incarnation_of(self.settings.member) == self.incarnation

    @property
    def is_leader(self) -> bool:
        # The fresh read bounds how long a newer view can have gone unseen; the renewal bounds the lease.
        return (
            self.is_member and self.now() < min(self.lease_renewed_at, self.replica.linearizable_at) + self.lease_span_s
        )

    @property
    def may_answer_workers(self) -> bool:
        if self.is_leader:
            return True
        if not self.is_member or self.mesh is None or not self.mesh.peers:
            return False
        peers = self.mesh.peers.values()
        return all(
            peer.cancellations_complete
            and peer.view_number <= self.view.number
            and self.now() < peer.asked_at + self.lease_span_s
            for peer in peers
        )

    @property
    def is_leaderless(self) -> bool:
        """Whether, as far as can be known here, no controller may answer machines: the state service does not answer,
        some sibling confirms nothing, and none tells that it reaches the state service or knows of a newer view."""
        if self.may_answer_workers or not self.replica.fully_read or self.replica.client.is_reachable:
            return False
        now = self.now()
        peers = self.mesh.peers.values() if self.mesh is not None else ()
        return not any(
            peer.view_number > self.view.number or (peer.state_reachable and now < peer.asked_at + self.lease_span_s)
            for peer in peers
        )

    def peer_status(self) -> PeerStatus:
        """What siblings are told."""
        replica = self.replica
        return PeerStatus(
            self.view.number,
            replica.client.is_reachable,
            replica.applied_revision,
            replica.fully_read,
            self.tables.layout_complete,
        )

    def apply_peer_cancellations(self, cancellations: list[Cancellation]) -> None:
        """What a sibling told."""
        for cancellation in cancellations:
            self.tables.apply_peer_cancellation(cancellation)
        log.info("told of %d cancellations by a sibling", len(cancellations))
        self.replica.notify_peer_update()

    @property
    def is_coordinator(self) -> bool:
        return self.is_leader and self.tables.coordinator == (self.settings.member, self.incarnation)

    def owner_of(self, machine: str) -> str | None:
        return self.view.owner(machine)

    def view_conditions(self) -> dict[str, int]:
        """What a write that relies on the view is conditional on."""
        return {keys.VIEW_KEY: self.tables.mod_revision(keys.VIEW_KEY)}
