"""The assignment of tasks to workers, and the demand announced to agents."""

import pytest

import builders
from burdockgate import clock, messages, settings
from burdockgate.process import directory, dispatch, metrics, placement


@pytest.fixture
def workers():
    return directory.Directory(clock.ManualClock(), 2.5)


@pytest.fixture
def dispatcher(workers):
    policy = placement.LeastLoaded()
    return dispatch.Dispatcher(
        workers, policy, metrics.Metrics(settings.StatsdSettings())
    )


def join(workers, name, free, **fields):
    workers.join(builders.hello(name, **fields))
    workers.record_report(name, free, 0)


def run(dispatcher, outside=lambda job: None):
    return list(dispatcher.dispatch(outside))


def start_indexes(effects):
    """Return the indexes of the started tasks, by receiver."""
    return {
        each.to: [task.index for task in each.message.tasks]
        for each in effects
        if isinstance(each.message, messages.Start)
    }


def test_tasks_fill_the_free_slots_in_one_message_each(workers, dispatcher):
    """Agents would return tasks beyond their slots; a message per task is wasteful."""
    join(workers, "a1", 2)
    join(workers, "a2", 1)
    dispatcher.add(builders.make_owned_job(builders.request(tasks=5)), 1.0)
    wanted = run(dispatcher)
    assert start_indexes(wanted) == {"a1": [0, 1], "a2": [2]}
    assert len(builders.sent_messages(wanted, messages.Start)) == 2
    assert dispatcher.waiting_count() == 2
    assert start_indexes(run(dispatcher)) == {}


def test_only_workers_that_may_get_the_task_are_used(workers, dispatcher):
    """A worker that is too small, draining or of another service gets no task."""
    join(workers, "small", 2, cores=1.0)
    join(workers, "leaving", 2, draining=True)
    join(workers, "other", 2, service="other")
    scope = ("small", "leaving", "other", "a1")
    made = builders.request(tasks=3, cores=2.0)
    dispatcher.add(builders.make_owned_job(scope=scope, job_request=made), 1.0)
    assert start_indexes(run(dispatcher)) == {}
    join(workers, "a1", 1)
    assert start_indexes(run(dispatcher)) == {"a1": [0]}


def test_worker_outside_the_scope_is_reported(workers, dispatcher):
    """A free worker could not be used if the scope of the job were not extended."""
    join(workers, "a9", 1)
    job = builders.make_owned_job()
    dispatcher.add(job, 1.0)
    outside = []
    assert start_indexes(run(dispatcher, outside.append)) == {}
    assert outside == [job]
    job.extend_scope(builders.claim_terms(["a9"]))
    assert start_indexes(run(dispatcher)) == {"a9": [0]}


def test_demand_is_announced_once_and_withdrawn(workers, dispatcher):
    """Unchanged demand is not sent again, and none is left once the tasks are sent."""
    join(workers, "a1", 0)
    job = builders.make_owned_job()
    dispatcher.add(job, 3.0)
    assert builders.sent_messages(run(dispatcher), messages.Demand) == [
        messages.Demand(2, 3.0)
    ]
    assert run(dispatcher) == []
    workers.record_offer("a1", 2, 0)
    assert start_indexes(run(dispatcher)) == {"a1": [0, 1]}
    assert workers.worker_by_name["a1"].open_demand == 0
    assert run(dispatcher) == []


def test_demand_of_cancelled_jobs_is_withdrawn_once(workers, dispatcher):
    """Agents must not keep offering slots for jobs that were cancelled."""
    join(workers, "a1", 0)
    job = builders.make_owned_job()
    dispatcher.add(job, 1.0)
    run(dispatcher)
    list(job.cancel())
    assert builders.sent_messages(run(dispatcher), messages.Demand) == [
        messages.Demand(0, 0.0)
    ]
    assert run(dispatcher) == []
    join(workers, "a2", 0)
    assert run(dispatcher) == []


def test_services_do_not_share_a_queue(workers, dispatcher):
    """Tasks of a service without workers must not block another service."""
    join(workers, "a1", 1)
    stuck = builders.attrs.evolve(builders.request("k2"), service="missing")
    dispatcher.add(builders.make_owned_job(job_request=stuck), 1.0)
    dispatcher.add(builders.make_owned_job(), 1.0)
    assert start_indexes(run(dispatcher)) == {"a1": [0]}


def test_declared_work_is_charged(workers, dispatcher):
    """A class with long tasks gets fewer starts than one with short tasks."""
    join(workers, "a1", 10)
    for name, work in (("long", 400.0), ("short", 0.0)):
        made = builders.request(name, 20, caller_class=name, expected_ms=work)
        dispatcher.add(builders.make_owned_job(job_request=made), 1.0)
    counts = [
        len(each.tasks)
        for each in builders.sent_messages(run(dispatcher), messages.Start)
    ]
    assert sorted(counts) == [2, 8]


def test_returned_task_is_not_charged(workers, dispatcher):
    """A class whose tasks are returned without a start must keep its share."""
    join(workers, "a1", 1)
    batch = builders.make_owned_job(builders.request("k1", 4, "batch"))
    web = builders.make_owned_job(builders.request("k2", 4, "web"))
    dispatcher.add(batch, 1.0)
    run(dispatcher)
    state = messages.TaskState.RETURNED
    list(batch.handle_results("a1", builders.results(builders.report(0, state=state))))
    dispatcher.add(batch, 1.0)
    dispatcher.add(web, 1.0)
    workers.record_report("a1", 1, 1)
    run(dispatcher)
    assert (batch.waiting_count, web.waiting_count) == (3, 4)


def test_worker_is_used_again_after_a_lapsed_lease_or_a_drain(workers, dispatcher):
    """A worker that is not put back into the index of free workers loses its slots."""
    join(workers, "a1", 2)
    dispatcher.add(builders.make_owned_job(builders.request(tasks=2)), 1.0)
    workers._time.advance(2.6)
    assert start_indexes(run(dispatcher)) == {}
    workers.set_draining("a1", active=True)
    workers.renew_lease("a1")
    assert start_indexes(run(dispatcher)) == {}
    workers.set_draining("a1", active=False)
    assert start_indexes(run(dispatcher)) == {"a1": [0, 1]}


def test_small_job_behind_many_that_fit_no_worker(workers, dispatcher):
    """A round visits a bounded number of jobs, and the next one must visit others."""
    join(workers, "a1", 1)
    for number in range(200):
        large = builders.request(f"k{number}", 1, cores=100.0)
        dispatcher.add(builders.make_owned_job(job_request=large), 1.0)
    dispatcher.add(builders.make_owned_job(builders.request("small", 50)), 1.0)
    found = [start_indexes(run(dispatcher)) for _ in range(4)]
    assert found == [{}, {}, {}, {"a1": [0]}]


def test_demand_goes_to_the_scope_of_the_next_job(workers, dispatcher):
    """Announcing demand to each of 10,000 workers would cost 10,000 messages."""
    for number in range(1000):
        join(workers, f"a{number}", 0)
    scope = [f"a{number}" for number in range(500, 564)]
    dispatcher.add(builders.make_owned_job(scope=scope), 1.0)
    assert {each.to for each in run(dispatcher)} == set(scope)
    assert run(dispatcher) == []
    workers.record_offer("a500", 1, 0)
    workers.record_report("a500", 0, 0)
    workers.record_offer("a500", 0, 0)
    assert [each.to for each in run(dispatcher)] == ["a500"]
