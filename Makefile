SHELL := /bin/bash
PYTHON := .venv/bin/python
SEED ?= 1
SEEDS ?= 1
TRACE ?= bench/traces/passolungo-rush.jsonl

.PHONY: setup format lint test demo faults soak bench bench-path bench-decisions bench-loads bench-observations bench-slopes replay

setup: .venv/.installed

.venv/.installed: constraints.txt packages/common/pyproject.toml packages/daemon/pyproject.toml packages/client/pyproject.toml standins/pyproject.toml
	python3 -m venv .venv
	.venv/bin/pip install -q -c constraints.txt hatchling editables ruff import-linter hypothesis hdrhistogram mypy rope
	.venv/bin/pip install -q -c constraints.txt --no-build-isolation -e packages/common -e packages/daemon -e packages/client -e standins
	touch $@

format: setup
	.venv/bin/ruff format .
	.venv/bin/ruff check --fix-only -q .

lint: setup
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/lint-imports

test: setup
	$(PYTHON) tools/run_tests.py

demo: setup
	$(PYTHON) tools/demo.py

faults: setup
	$(PYTHON) -m bench.faults --seed=$(SEED)

soak: setup
	$(PYTHON) -m bench.soak.run --seed=$(SEED) --seeds=$(SEEDS)

bench: setup
	$(PYTHON) bench/policy.py

bench-path: setup
	$(PYTHON) bench/path.py

bench-decisions: setup
	PYTHONPATH=bench $(PYTHON) bench/decisions.py

bench-loads: setup
	PYTHONPATH=bench $(PYTHON) bench/loads.py

bench-observations: setup
	$(PYTHON) bench/observations.py

bench-slopes: setup
	$(PYTHON) bench/slopes.py

replay: setup
	$(PYTHON) bench/replay.py --trace=$(TRACE)
