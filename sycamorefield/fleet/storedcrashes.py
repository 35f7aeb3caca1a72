"""Determine which crashes recorded with suspected tasks are in the store.

A task is not started again before they are: a later owner would count its
crashes anew.
"""

import typing

from sycamorefield.fleet import messages

if typing.TYPE_CHECKING:
    from sycamorefield.fleet import progress

# The workers that crashed, by task.
CrashedWorkers = dict[messages.TaskId, tuple[str, ...]]


def recorded(state: "progress.JobState") -> CrashedWorkers:
    """Return the recorded crashes of all suspected tasks of a job."""
    return {task.task: tuple(task.suspicion.workers)
            for task in state.all_tasks() if task.suspicion is not None}


def are_stored(state: "progress.JobState", task: "progress.TaskState") -> bool:
    """Return whether a later owner would know of a task's crashes."""
    return (task.suspicion is None
            or state.stored_crashes.get(task.task)
            == tuple(task.suspicion.workers))
