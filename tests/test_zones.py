"""Zones that look cut off, and where replacements are rented."""

from __future__ import annotations

from sloeswitch.core import fleet
from sloeswitch.core.registry import Machine, MachineRegistry
from sloeswitch.core.zones import ZoneWatch
from tests.conftest import MACHINE_TYPE, spec

TYPES = {MACHINE_TYPE.name: MACHINE_TYPE}
LATE_S, MEMORY_S = 2.0, 60.0


def machines(heard_at: dict[str, list[float]]) -> list[Machine]:
    """Machines that were heard at these times, by zone."""
    registry = MachineRegistry()
    for zone, times in heard_at.items():
        for number, time in enumerate(times):
            machine = registry.take(f"vm-{zone}-{number}", "127.0.0.1:9000", "small", zone, True, 1, 0.0)
            machine.heard, machine.heard_at = True, time
    return list(registry.machines.values())


def test_a_zone_whose_machines_fall_silent_together_looks_cut_off_for_a_while() -> None:
    watch = ZoneWatch(LATE_S, MEMORY_S)
    watch.observe(machines({"a": [1.0, 1.0, 1.0, 1.0], "b": [4.9, 4.8, 4.7, 4.9]}), 5.0)
    assert watch.cut(5.0) == {"a"}
    # Silent machines are deleted within seconds; that they are gone says nothing of the zone.
    watch.observe(machines({"b": [9.9, 9.8, 9.7]}), 10.0)
    assert watch.cut(5.0 + MEMORY_S - 1.0) == {"a"}
    assert watch.cut(5.0 + MEMORY_S) == set()


def test_single_silent_machines_are_no_cut() -> None:
    watch = ZoneWatch(LATE_S, MEMORY_S)
    watch.observe(machines({"a": [1.0, 4.9, 4.9, 4.9], "b": [1.0], "c": [4.9, 4.9, 4.9, 4.9]}), 5.0)
    assert watch.cut(5.0) == set()


def test_a_controller_that_hears_hardly_anybody_blames_no_zone() -> None:
    watch = ZoneWatch(LATE_S, MEMORY_S)
    watch.observe(machines({"a": [1.0, 1.0, 1.0, 1.0], "b": [1.0, 1.0, 4.9]}), 5.0)
    assert watch.cut(5.0) == set()


def test_replacements_are_rented_elsewhere_first() -> None:
    """Failure found on the bench: the zone that was cut off had the fewest machines left, and all replacements
    were rented there, where nothing reached them either."""
    need = [fleet.Need(spec(), 10)]
    supply = {("small", "b", True): 1}
    assert fleet.rent(need, supply, TYPES, set(), 50) == fleet.Plan(("small", "a", True), 1)
    assert fleet.rent(need, supply, TYPES, set(), 50, {"a"}) == fleet.Plan(("small", "b", True), 1)
    # Also at a higher price; and there after all when nothing else is to be had.
    refused = {("small", "b", True)}
    assert fleet.rent(need, supply, TYPES, refused, 50, {"a"}) == fleet.Plan(("small", "b", False), 1)
    refused.add(("small", "b", False))
    assert fleet.rent(need, supply, TYPES, refused, 50, {"a"}) == fleet.Plan(("small", "a", True), 1)
