PYTHON ?= python3.11
BIN := .venv/bin
DEPLOYMENT ?= pecera
SEED ?= 1
STEPS ?= 5000
RUNS ?= 1
PYTEST_ARGS ?=
SOURCES := src tests standins demo benchmarks soak

.PHONY: test lint format demo bench soak soak-faults clean

.venv/.installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

test: .venv/.installed
	$(BIN)/pytest $(PYTEST_ARGS)

lint: .venv/.installed
	$(BIN)/black --check --quiet $(SOURCES)
	$(BIN)/isort --check-only --quiet $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

format: .venv/.installed
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/isort --quiet $(SOURCES)

demo: .venv/.installed
	$(BIN)/python -m demo --deployment $(DEPLOYMENT)

bench: .venv/.installed
	$(BIN)/python -m benchmarks

soak: .venv/.installed
	$(BIN)/python -m benchmarks.soak --seed $(SEED) --steps $(STEPS)

soak-faults: .venv/.installed
	$(BIN)/python -m soak --seed $(SEED) --runs $(RUNS)

clean:
	rm -rf .venv build
