# `make demo` runs a deployment on loopback; `make check` runs the linters and all tests.
VENV := .venv
PY := $(VENV)/bin/python
ARGS ?=

.PHONY: demo check format lint test

$(VENV)/.installed: requirements.txt pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(PY) -m pip install --quiet --disable-pip-version-check setuptools==83.0.0 wheel==0.45.1
	$(PY) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: $(VENV)/.installed
	$(PY) -m cicadapond.demo.main $(ARGS)

format: $(VENV)/.installed
	$(PY) -m black cicadapond
	$(PY) -m ruff check --fix cicadapond

lint: $(VENV)/.installed
	$(PY) -m black --check --quiet cicadapond
	$(PY) -m ruff check --quiet cicadapond

test: $(VENV)/.installed
	$(PY) -m pytest -n 4 -m "not alone"
	$(PY) -m pytest -m alone

check: lint test
