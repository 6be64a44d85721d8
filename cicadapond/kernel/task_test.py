"""Tasks that a process cannot do without are run again after an unexpected error."""

from cicadapond.kernel import Task, TaskGroup, VirtualClock, run_virtual, seconds


class Failing(Task):
    """Raises an error on its first runs."""

    name = "failing"

    def __init__(self, failures, clock):
        self._failures = failures
        self._clock = clock
        self.runs = 0
        self.closes = 0

    async def run(self):
        self.runs += 1
        if self.runs <= self._failures:
            raise KeyError("unexpected")
        await self._clock.sleep(seconds(60))

    async def close(self):
        self.closes += 1


def play(restarts):
    async def main():
        clock = VirtualClock()
        told = []
        tasks, task = TaskGroup(lambda name, exc: told.append(name)), Failing(2, clock)
        tasks.start(task, restarts)
        await clock.sleep(seconds(10))
        running = len(tasks)
        await tasks.stop()
        assert told == [task.name] * len(tasks.failed)
        return task, tasks, running

    return run_virtual(main())


def test_a_task_that_restarts_outlives_unexpected_errors():
    # A task that followed a table ended for good by one unreadable row.
    task, tasks, running = play(restarts=True)
    assert (task.runs, task.closes, running) == (3, 1, 1)
    assert len(tasks.failed) == 2


def test_the_result_of_a_spawned_coroutine_is_that_of_its_task():
    async def answer():
        return 42

    async def main():
        return await TaskGroup().spawn(answer(), "answer")

    assert run_virtual(main()) == 42


def test_other_tasks_end_with_their_first_error():
    task, tasks, running = play(restarts=False)
    assert (task.runs, task.closes, running) == (1, 1, 0)
    assert len(tasks.failed) == 1
