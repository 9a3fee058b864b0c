"""The demand that the autoscaler computes, and the machines that it rents and returns."""

from __future__ import annotations

from sloeswitch.core import keys, scaling
from sloeswitch.core.scaling import InstanceKind
from sloeswitch.settings import parse
from tests.conftest import MACHINE_TYPE, SETTINGS, Store, spec

TYPES = {MACHINE_TYPE.name: MACHINE_TYPE}
SPOT, ON_DEMAND = InstanceKind("small", "a", True), InstanceKind("small", "a", False)


def test_the_cheapest_kind_is_rented_first_and_refused_kinds_are_skipped() -> None:
    demand = [scaling.Demand(spec(), 10)]
    spot = scaling.plan_scale_out(demand, {}, TYPES, set(), 50)
    assert spot == scaling.ScaleOutPlan(SPOT, 2)
    refused = {SPOT, InstanceKind("small", "b", True)}
    assert scaling.plan_scale_out(demand, {}, TYPES, refused, 50) == scaling.ScaleOutPlan(ON_DEMAND, 2)


def test_nothing_is_rented_when_supply_meets_demand() -> None:
    assert scaling.plan_scale_out([scaling.Demand(spec(), 8)], {SPOT: 2}, TYPES, set(), 50) is None


def test_a_job_that_forbids_spot_machines_gets_an_on_demand_machine() -> None:
    plan = scaling.plan_scale_out([scaling.Demand(spec(loaners=False), 4)], {SPOT: 5}, TYPES, set(), 50)
    assert plan == scaling.ScaleOutPlan(ON_DEMAND, 1)


def test_the_most_expensive_machines_are_returned_and_one_is_kept_in_reserve() -> None:
    demand = [scaling.Demand(spec(), 8)]
    assert scaling.plan_scale_in(demand, {SPOT: 2, ON_DEMAND: 1}, TYPES) == {}
    assert scaling.plan_scale_in(demand, {SPOT: 2, ON_DEMAND: 3}, TYPES) == {ON_DEMAND: 2}
    assert scaling.plan_scale_in(demand, {SPOT: 4, ON_DEMAND: 3}, TYPES) == {SPOT: 1, ON_DEMAND: 3}
    assert scaling.plan_scale_in(demand, {SPOT: 1}, TYPES) == {}


def test_a_small_job_gets_a_machine_if_no_existing_one_suits_it() -> None:
    """Guards against small jobs that never start because each would fill too little of a new machine.

    For example, jobs that forbid spot machines would never start, nor would the jobs that depend on them.
    """
    small = [scaling.Demand(spec(loaners=False, visits=1), 1)]
    assert scaling.plan_scale_out(small, {SPOT: 5}, TYPES, set(), 50) == scaling.ScaleOutPlan(ON_DEMAND, 1)
    assert scaling.plan_scale_out([scaling.Demand(spec(), 4), *small], {ON_DEMAND: 1}, TYPES, set(), 50) is None


def test_machines_in_the_zone_to_which_a_job_is_bound_are_kept_and_rented(store: Store) -> None:
    """Its claimed tasks bind the job to zone b, so that free capacity in zone a is of no use to its other tasks."""
    settings = parse(SETTINGS)
    store.job(spec(together=True, visits=8, dueS=None))
    store.put(keys.progress_key("wk-000001"), {"d": [], "c": {"c0.1": [0, 4]}, "z": "b"})
    wanted = scaling.current_demand(store.tables, settings, 0, 1.0)
    assert [demand.bound_zone for demand in wanted] == ["b"]
    spot_in_b = InstanceKind("small", "b", True)
    assert scaling.plan_scale_in(wanted, {SPOT: 3, spot_in_b: 1}, TYPES) == {SPOT: 2}
    plan = scaling.plan_scale_out(wanted, {SPOT: 3}, TYPES, set(), 50)
    assert plan is not None and plan.kind == spot_in_b


def test_machines_of_one_zone_do_not_supply_all_tasks_of_a_spread_job(store: Store) -> None:
    """Guards against spread jobs whose other half never runs: no machine was rented in another zone."""
    settings = parse(SETTINGS)
    store.job(spec(spread=True, visits=8, dueS=45.0))
    spot_in_b = InstanceKind("small", "b", True)
    for row in (None, {"d": [], "c": {"c0.1": [0, 4]}, "z": "a"}):
        if row is not None:
            store.put(keys.progress_key("wk-000001"), row)
        wanted = scaling.current_demand(store.tables, settings, 0, 1.0)
        plan = scaling.plan_scale_out(wanted, {SPOT: 3}, TYPES, set(), 50)
        assert plan == scaling.ScaleOutPlan(spot_in_b, 1)
        assert scaling.plan_scale_out(wanted, {SPOT: 1, spot_in_b: 1}, TYPES, set(), 50) is None
        assert scaling.plan_scale_in(wanted, {SPOT: 3}, TYPES) == {}


def test_once_half_of_a_spread_job_is_done_machines_of_one_zone_supply_the_rest(store: Store) -> None:
    store.job(spec(spread=True, visits=8, dueS=45.0))
    store.put(keys.progress_key("wk-000001"), {"d": [0, 4], "c": {"c0.1": [4, 1]}, "z": "a"})
    wanted = scaling.current_demand(store.tables, parse(SETTINGS), 0, 1.0)
    assert scaling.plan_scale_out(wanted, {SPOT: 2}, TYPES, set(), 50) is None


def test_the_demand_of_a_gang_is_all_its_tasks(store: Store) -> None:
    """Guards against gangs that never start: as they have no deadline, machines for half of their tasks were enough."""
    settings = parse(SETTINGS)
    store.job(spec(shape="group", visits=8, dueS=None))
    (wanted,) = scaling.current_demand(store.tables, settings, 0, scaling.SCALE_OUT_SPREAD)
    assert wanted.tasks == 8
    assert scaling.plan_scale_out([wanted], {SPOT: 1}, TYPES, set(), 50) == scaling.ScaleOutPlan(
        InstanceKind("small", "b", True), 1
    )


def test_demand_is_limited_by_the_remaining_quota_of_the_teams(store: Store) -> None:
    """The oldest job goes first; jobs of unknown teams have no demand."""
    settings = parse(SETTINGS)
    limit = settings.teams["red"].cpus_max
    for number in (1, 2):
        store.job(spec(f"wk-00000{number}", visits=100, cores=1.0))
    store.job(spec("wk-000003", crew="nobody"))
    quota = scaling.RemainingQuota.from_settings(settings)
    jobs = list(store.tables.jobs.values())
    quota.take(jobs[0].spec, int(limit) - 5)
    demand = scaling.demand_within_quota(jobs, quota, lambda job: 3)
    assert [(wanted.spec.id, wanted.tasks) for wanted in demand] == [("wk-000001", 3), ("wk-000002", 2)]
    assert quota.tasks_within(jobs[0].spec) == 0 == quota.tasks_within(jobs[2].spec)
    quota.take(jobs[2].spec, 1)
    assert not quota.has_team("nobody")


def test_demand_is_packed_onto_the_cheapest_machines_and_the_rest_is_unmet() -> None:
    offers = scaling.instance_offers(TYPES)
    packed = scaling.pack_demand([scaling.Demand(spec(), 10)], {SPOT: 1, ON_DEMAND: 1}, offers)
    filled = scaling.machines_needed(spec(), 10, MACHINE_TYPE)
    assert filled > 2 and packed.unused[SPOT] == packed.unused[ON_DEMAND] == 0
    (unmet,) = packed.unmet
    assert unmet.tasks == 10 - 2 * 10 / filled
    fully_packed = scaling.pack_demand([scaling.Demand(spec(), 10)], {SPOT: 3, ON_DEMAND: 1}, offers)
    assert (
        fully_packed.unused == {**dict.fromkeys(packed.unused, 0.0), SPOT: 3 - filled, ON_DEMAND: 1.0}
        and not fully_packed.unmet
    )
