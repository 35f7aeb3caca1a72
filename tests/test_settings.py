"""Tests of settings: samples load, invalid ones report all findings."""

import pytest
import yaml

from sycamorefield import settings


@pytest.mark.parametrize("sample", settings.SAMPLES)
def test_sample_settings_load_without_port_conflicts(sample):
    opts = settings.load("embedded:" + sample).unwrap()
    assert len(opts.zones) == 3
    assert {m.zone for m in opts.machines} == set(opts.zones)
    ports = [opts.kv_port, opts.vm_list_port]
    ports += [e.http_port for e in opts.entries]
    ports += [m.grpc_port for m in opts.machines]
    ports += [m.http_port for m in opts.machines]
    assert len(ports) == len(set(ports))


def _change_sample(change):
    raw = yaml.safe_load(settings.sample_text(settings.DEFAULT_SAMPLE))
    change(raw)
    return yaml.safe_dump(raw)


BAD_SETTINGS = [
    ("unknown key", lambda r: r.update(colour="red"), ["f.yaml:colour"]),
    ("port too low", lambda r: r.update(base_port=80), ["f.yaml:base_port"]),
    ("two errors at once",
     lambda r: r.update(entries=0, worker={"cpus": -1, "memory_mb": 1}),
     ["f.yaml:entries", "f.yaml:worker.cpus"]),
    ("rule names unknown work",
     lambda r: r["rules"].append({"name": "x", "when": {"work": "nope"}}),
     ["f.yaml:rules.4.when.work"]),
    ("rule names unknown zone",
     lambda r: r["rules"].append({"name": "z", "then": {"zone": "perth"}}),
     ["f.yaml:rules.4.then.zone"]),
    ("duplicate work", lambda r: r["work"].append(dict(r["work"][0])),
     ["f.yaml:work"]),
    ("task lease that one lost report would end",
     lambda r: r["timings"].update(report_seconds=1.5),
     ["f.yaml:timings.task_lease_seconds"]),
    ("timing that nothing reads",
     lambda r: r["timings"].update(leaving_grace_seconds=1.0),
     ["f.yaml:timings.leaving_grace_seconds"]),
    ("bad kind", lambda r: r["work"][0].update(kind="sometimes"),
     ["f.yaml:work.0.kind"]),
]


@pytest.mark.parametrize("label,change,places", BAD_SETTINGS,
                         ids=[row[0] for row in BAD_SETTINGS])
def test_bad_settings_report_every_location(label, change, places):
    findings = settings.parse(_change_sample(change), "f.yaml").failure()
    assert sorted(f.place for f in findings) == sorted(places)


def test_yaml_syntax_error_names_the_line():
    findings = settings.parse("a: [1,\nb: 2\n", "f.yaml").failure()
    assert findings[0].place.startswith("f.yaml:line")
