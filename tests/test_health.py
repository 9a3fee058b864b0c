"""Failures of tasks: faulty machines are distinguished from faulty jobs."""

from __future__ import annotations

from sloeswitch.core.health import Health


def test_a_machine_on_which_different_jobs_fail_is_quarantined() -> None:
    health = Health(1.0, 100.0)
    health.record_failure("wk-1", "vm-1", 0.0)
    assert not health.is_machine_quarantined("vm-1") and health.has_failed_on("wk-1", "vm-1")
    health.record_failure("wk-2", "vm-1", 0.0)
    assert health.is_machine_quarantined("vm-1")
    assert not health.is_job_faulty("wk-1") and not health.is_job_faulty("wk-2")


def test_a_job_that_fails_on_all_machines_quarantines_none_and_backs_off() -> None:
    health = Health(1.0, 100.0)
    for name in ("vm-1", "vm-2", "vm-3"):
        health.record_failure("wk-1", name, 0.0)
    assert health.is_job_faulty("wk-1")
    assert not any(health.is_machine_quarantined(name) for name in ("vm-1", "vm-2", "vm-3"))
    assert health.is_job_paused("wk-1", 0.5) and not health.is_job_paused("wk-1", 1.0)
    health.record_failure("wk-1", "vm-1", 1.0)
    assert health.is_job_paused("wk-1", 2.9)


def test_one_success_ends_the_backoff_of_a_faulty_job() -> None:
    health = Health(1.0, 100.0)
    for name in ("vm-1", "vm-2", "vm-3"):
        health.record_failure("wk-1", name, 0.0)
    health.record_success("wk-1", "vm-4")
    assert not health.is_job_faulty("wk-1") and not health.is_job_paused("wk-1", 0.0)


def test_backoff_doubles_up_to_its_maximum_and_only_when_a_retry_was_due() -> None:
    health = Health(1.0, 3.0)
    for name in ("vm-1", "vm-2", "vm-3", "vm-4"):
        health.record_failure("wk-1", name, 0.0)
    assert health.jobs["wk-1"].backoff_s == 1.0
    health.record_failure("wk-1", "vm-1", 1.0)
    health.record_failure("wk-1", "vm-1", 10.0)
    assert health.jobs["wk-1"].backoff_s == 3.0 and health.is_job_paused("wk-1", 12.9)


def test_a_success_resets_the_consecutive_failures_of_a_machine() -> None:
    health = Health(1.0, 100.0)
    health.record_failure("wk-1", "vm-1", 0.0)
    health.record_success("wk-2", "vm-1")
    health.record_failure("wk-3", "vm-1", 0.0)
    assert not health.is_machine_quarantined("vm-1") and health.has_failed_on("wk-1", "vm-1")
