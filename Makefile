# Two commands do all set-up on a fresh machine: `make run` and `make test`.
PYTHON ?= python3
VENV ?= .venv
PY := $(VENV)/bin/python
SETTINGS ?= embedded:coral-sea.yaml

.PHONY: run run-alpska test lint dist bench clean

$(VENV)/.installed: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q --disable-pip-version-check -r requirements-dev.txt
	touch $@

run: $(VENV)/.installed
	$(PY) tools/launch.py --settings $(SETTINGS)

run-alpska: $(VENV)/.installed
	$(PY) tools/launch.py --settings embedded:alpska-miza.yaml

lint: $(VENV)/.installed
	$(VENV)/bin/flake8 sycamorefield tools tests bench
	$(VENV)/bin/mypy

test: lint
	$(PY) tools/known_red.py $(VENV)/bin/python -m pytest -q tests

dist: $(VENV)/.installed
	mkdir -p dist
	$(VENV)/bin/shiv -q -o dist/sycamorefield.pyz -e sycamorefield.cli:main . -r requirements.txt

clean:
	rm -rf $(VENV) dist run
