"""Test stored suspicions that are malformed."""

import json

import pytest

from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from tests import fleetfakes
from tests import test_fleet_state


@pytest.mark.parametrize("changes", [
    {"ages_s": 3}, {"ages_s": [1.0, "x"]}, {"in_trials": "a"},
    {"workers": 5}, {"workers": [1]}, {"likely": 7}])
def test_malformed_suspicion_makes_a_record_unreadable(changes):
    """Guards against a record that ends the term of each owner."""
    state = progress.JobState(
        fleetfakes.job("j", messages.Step(
            1, test_fleet_state.TASK_RESOURCES)), 5)
    row = {"workers": ["a"], "ages_s": [0.1], "in_trials": 0,
           "likely": True, **changes}
    with pytest.raises(ValueError, match="progress"):
        progress.apply_progress(state, json.dumps(
            {"state": "running", "suspected": {"0.0.0": row}}).encode())
    assert state.find(messages.TaskId(
        "j", 0, 0, 0)).suspicion is None
