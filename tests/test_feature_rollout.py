"""Rollouts of a feature, which are complete once every configured controller has run with it."""

from __future__ import annotations

import anyio
import pytest

from sloeswitch.actors.feature_rollout import FeatureRollout
from sloeswitch.core import keys
from sloeswitch.core.records import FeatureStatus
from tests.conftest import Store
from tests.support.single_controller import World


@pytest.fixture
def world(store: Store) -> World:
    return World(store)


def test_a_rollout_is_complete_once_every_configured_controller_has_run_with_the_feature(world: World) -> None:
    rollout = FeatureRollout("cells", world.context)
    anyio.run(rollout.record_member)
    assert rollout.status == FeatureStatus()  # not recorded: a controller of an earlier layout could not read the row
    world.store.put_complete_layout()
    anyio.run(rollout.record_member)
    assert rollout.status == FeatureStatus(("c0",), complete=False) and not rollout.is_complete
    others = sorted({*world.settings.members} - {"c0"})
    world.store.put(keys.feature_key("cells"), {"seen": others, "complete": False})
    anyio.run(rollout.record_member)
    assert rollout.status == FeatureStatus(tuple(sorted(world.settings.members)), complete=True)
    revision = world.store.tables.mod_revision(keys.feature_key("cells"))
    anyio.run(rollout.record_member)
    assert world.store.tables.mod_revision(keys.feature_key("cells")) == revision  # not written again once complete


def test_a_controller_that_is_not_leader_records_nothing(world: World) -> None:
    world.store.put_complete_layout()
    world.clock.time += 2 * world.settings.controller_lease_s
    rollout = FeatureRollout("cells", world.context)
    anyio.run(rollout.record_member)
    assert rollout.status == FeatureStatus()
