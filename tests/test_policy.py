"""Test that policy options are validated and disable mechanisms."""

import dataclasses

import pytest
from returns import result

from sycamorefield.fleet import messages
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.platform import bootsettings
from sycamorefield.platform import daemon
from sycamorefield import policysettings
from tests import fleetfakes
from tests import test_fleet_state


@pytest.mark.parametrize("text", ["", "{}", "keep_gaps: true"])
def test_all_mechanisms_are_on_by_default(text):
    """Three are off: they were not shown to serve callers better."""
    default = policy_mod.Policy()
    assert policysettings.parse(text, "p.yaml") == result.Success(default)
    off = [field.name for field in dataclasses.fields(default)
           if not getattr(default, field.name)]
    assert off == ["forecast_recent_swing", "move_from_draining_workers",
                   "keep_recent_peak"]


@pytest.mark.parametrize("name", [
    field.name for field in dataclasses.fields(policy_mod.Policy)])
def test_each_mechanism_can_be_switched_off(name):
    text = f"{name}: false\n"
    for option, required in policysettings.REQUIRED_OPTIONS:
        if required == name:
            text += f"{option}: false\n"
    policy = policysettings.parse(text, "p.yaml").unwrap()
    assert not getattr(policy, name)


@pytest.mark.parametrize(("text", "place"), [
    ("keep_gap: false", "p.yaml:keep_gap"),
    ("keep_gaps: 0", "p.yaml:keep_gaps"),
    ("keep_gaps: 'no'", "p.yaml:keep_gaps"),
    ("keep_gaps: [", "p.yaml"),
    ("- keep_gaps", "p.yaml:"),
    ("keep_room_for_short_work: false", "p.yaml:spread_lasting_jobs"),
    ("learn_weights: false", "p.yaml:limit_tails"),
], ids=["unknown", "number", "text", "not-yaml", "list",
        "requires-room-option", "requires-weights-option"])
def test_invalid_options_are_reported_with_location(text, place):
    (finding,) = policysettings.parse(text, "p.yaml").failure()
    assert finding.place == place


def test_all_findings_are_reported_together():
    findings = policysettings.parse("a: 1\nb: 2\n", "p.yaml").failure()
    assert [f.place for f in findings] == ["p.yaml:a", "p.yaml:b"]


def test_missing_file_is_reported(tmp_path):
    (finding,) = policysettings.load(str(tmp_path / "none.yaml")).failure()
    assert finding.place.endswith("none.yaml")


@pytest.mark.parametrize(("disabled", "all_placed"), [
    ((), False), (("keep_room_for_short_work", "spread_lasting_jobs"), True),
], ids=["on", "off"])
def test_long_running_tasks_fill_workers_if_no_capacity_is_reserved(
        disabled, all_placed):
    policy = dataclasses.replace(
        policy_mod.Policy(), **{name: False for name in disabled})
    bench = test_fleet_state.Bench(*(
        fleetfakes.entry(n, cpu=8000) for n in range(50)), policy=policy)
    bench.add(fleetfakes.job("long-running", messages.Step(
        100, messages.Resources(4000, 10), perpetual=True)))
    placed = []
    for _ in range(50):
        placed += bench.place()
    assert (len(placed) == 100) is all_placed


def test_entry_process_does_not_start_with_invalid_policy(
        tmp_path, monkeypatch, capsys):
    boot_path = tmp_path / "boot.json"
    boot_path.write_text('{"node": "n", "platform": {"addr": "127.0.0.1:9"}}')
    policy_path = tmp_path / "policy.yaml"
    policy_path.write_text("keep_gap: false")
    monkeypatch.setenv(bootsettings.PATH_VARIABLE, str(boot_path))
    monkeypatch.setenv(daemon.POLICY_VARIABLE, str(policy_path))
    monkeypatch.setattr(daemon.events, "configure_stdout", lambda *_: None)
    with pytest.raises(SystemExit) as caught:
        daemon.main()
    assert caught.value.code == daemon.EXIT_INVALID_POLICY
    assert "policy.yaml:keep_gap" in capsys.readouterr().err


def test_deployed_policy_is_valid():
    policy = policysettings.load("deploy/policy.yaml").unwrap()
    assert policy == policy_mod.Policy()
