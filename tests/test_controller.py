"""A controller is built from its components, and each of their loops is started once."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from sloeswitch import controller
from sloeswitch.settings import Address, Settings, parse
from tests.conftest import SETTINGS


class RecordingGroup:
    """Records the started calls instead of running them."""

    def __init__(self) -> None:
        self.started: list[tuple[Any, ...]] = []

    def start_soon(self, call: Any, *arguments: Any) -> None:
        self.started.append((call, *arguments))


@pytest.fixture
def built() -> controller.Controller:
    return controller.build_controller(parse(SETTINGS))


def test_components_are_connected_to_each_other(built: controller.Controller) -> None:
    assert built.machines.termination.autoscaler is built.scale_in and built.scale_in.machines is built.machines
    assert built.machines.leadership.mesh is built.mesh
    assert built.machines.replica is built.replica and built.machines.jobs is built.jobs


def test_each_loop_is_started_once(built: controller.Controller) -> None:
    group: Any = RecordingGroup()
    built.start_loops(group)
    loops = [call for call, *_ in group.started]
    assert built.machines.group is group and len(loops) == len(set(loops))
    for component in (built.membership, built.jobs, built.machines, built.scale_in, built.scale_out, built.server):
        # Each component has at least one loop; that of an actor is `run`.
        assert any(getattr(loop, "__self__", None) is component for loop in loops), component
    assert {built.membership.run, built.jobs.run, built.machines.run} <= set(loops)


def test_each_sibling_is_polled(settings: Settings) -> None:
    siblings = (*settings.siblings, replace(settings.siblings[0], member="c2", address=Address("127.0.0.1", 8083)))
    built = controller.build_controller(replace(settings, siblings=siblings))
    group: Any = RecordingGroup()
    built.start_loops(group)
    assert [arguments for call, *arguments in group.started if call == built.mesh.poll_forever] == [
        [sibling] for sibling in siblings
    ]


def test_sockets_are_reserved_for_outgoing_connections(built: controller.Controller) -> None:
    """Connections of users and workers leave sockets for the state service, the cloud, siblings and direct commands."""
    assert built.server.max_connections == 350 < built.settings.fd_limit
