"""Test that docs/EVENTS.md lists exactly the events of the catalogue."""

import os

import pytest

from sycamorefield import events

DOC = os.path.join(os.path.dirname(__file__), "..", "docs", "EVENTS.md")


def _documented() -> dict[str, str]:
    rows = {}
    with open(DOC, encoding="utf-8") as handle:
        for line in handle:
            cells = [c.strip() for c in line.strip().strip("|").split("|")]
            if cells and cells[0].startswith("SF"):
                rows[cells[0]] = cells[2]
    return rows


@pytest.mark.parametrize("event", events.CATALOGUE,
                         ids=[e.code for e in events.CATALOGUE])
def test_event_is_documented_with_its_text(event):
    assert _documented().get(event.code) == event.text


def test_numbers_are_unique_and_no_removed_event_is_documented():
    codes = [e.code for e in events.CATALOGUE]
    assert len(codes) == len(set(codes))
    assert set(_documented()) == set(codes)
