# Two commands do all set-up on a fresh machine: `make run` and `make test`.
PYTHON ?= python3
VENV ?= .venv
PY := $(VENV)/bin/python
SETTINGS ?= embedded:coral-sea.yaml

.PHONY: run run-alpska test lint format dist bench clean

$(VENV)/.installed: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q --disable-pip-version-check -r requirements-dev.txt
	touch $@

run: $(VENV)/.installed
	$(PY) tools/launch.py --settings $(SETTINGS)

run-alpska: $(VENV)/.installed
	$(PY) tools/launch.py --settings embedded:alpska-miza.yaml

SOURCES := sycamorefield tools tests bench
AUTOPEP8 := $(VENV)/bin/autopep8 --max-line-length 79 --recursive \
	--exclude 'sycamorefield_pb2*' $(SOURCES)

format: $(VENV)/.installed
	$(AUTOPEP8) --in-place

lint: $(VENV)/.installed
	$(AUTOPEP8) --diff --exit-code
	$(VENV)/bin/flake8 $(SOURCES)
	$(VENV)/bin/mypy

test: lint
	$(PY) tools/known_red.py $(VENV)/bin/python -m pytest -q tests

# Each bench prints its figures and writes them to bench-results/.
bench: $(VENV)/.installed
	$(PY) bench/placement_speed.py
	$(PY) bench/round_cost.py
	$(PY) bench/urgent_room.py
	$(PY) bench/load_forecast.py
	$(PY) bench/starts.py
	$(PY) bench/capacity.py
	$(PY) bench/policy.py --runs 2
	$(PY) bench/teams.py
	$(PY) bench/policy.py --sample alpska-miza.yaml --workers 24
	$(PY) bench/chaos.py

dist: $(VENV)/.installed
	mkdir -p dist
	$(VENV)/bin/shiv -q -o dist/sycamorefield.pyz -e sycamorefield.cli:main . -r requirements.txt

clean:
	rm -rf $(VENV) dist run build bench-results *.egg-info
