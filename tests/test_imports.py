"""Test that no two modules import each other, directly or through others."""

import ast
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
PACKAGES = ("sycamorefield", "tools", "bench", "tests")
# Its modules import each other for annotations.
EXCLUDED = ROOT / "sycamorefield" / "fleet"


def module_name(path):
    """Return the dotted name of the module in a file."""
    return ".".join(path.relative_to(ROOT).with_suffix("").parts)


def imported_names(path):
    """Return the names that a file imports, also for annotations only."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names |= {f"{node.module}.{alias.name}" for alias in node.names}
    return names


def import_cycles(graph):
    """Return the modules of a graph that are on or behind a cycle."""
    remaining = {name: set(imports) & set(graph)
                 for name, imports in graph.items()}
    while True:
        leaves = {name for name, imports in remaining.items()
                  if not imports & set(remaining)}
        if not leaves:
            return sorted(remaining)
        for name in leaves:
            del remaining[name]


@pytest.mark.parametrize("graph,expected", [
    ({"a": {"b"}, "b": {"c", "os"}, "c": set()}, []),
    ({"a": {"b"}, "b": {"a"}, "c": set()}, ["a", "b"]),
    ({"a": {"b"}, "b": {"c"}, "c": {"a"}}, ["a", "b", "c"]),
])
def test_import_cycles_are_found(graph, expected):
    assert import_cycles(graph) == expected


def test_no_modules_import_each_other():
    """Guards against modules that can't be read or tested on their own."""
    graph = {module_name(path): imported_names(path)
             for package in PACKAGES
             for path in (ROOT / package).rglob("*.py")
             if not path.is_relative_to(EXCLUDED)}
    assert import_cycles(graph) == []
