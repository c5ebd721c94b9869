# Main targets; both set up the environment, which needs Python 3.11 and pip:
#   make demo   runs a small fleet and sends it HTTP calls
#   make test   runs the tests
VENV ?= .venv
PY ?= $(VENV)/bin/python
PYTHON3 ?= python3.11
SRC := $(wildcard packages/*/src)
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(abspath $(SRC)))

.PHONY: setup demo fleet test lint types format check

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt
	$(PYTHON3) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --require-hashes -r requirements.txt
	$(VENV)/bin/pip install --quiet --require-hashes -r requirements-dev.txt
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation $(foreach p,$(wildcard packages/*),-e $(p))
	touch $@

demo: setup
	$(PY) -m endivebeam_standins.demo

fleet: setup
	$(PY) -m endivebeam_standins.fleet build/fleet

test: setup
	$(PY) .ci/run_tests.py

lint: setup
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) .ci/check_imports.py

types: setup
	$(PY) -m mypy packages/*/src platform/thistlegate platform/thistlegate_standin platform/run.py benchmarks .ci

format: setup
	$(PY) -m ruff format .
	$(PY) -m ruff check --fix .

check: lint types test
