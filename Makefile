PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PART ?= all
SITE ?= gagnon
SEED ?= 1
OUTPUT ?= table

.PHONY: demo test lint unit bench clean

$(VENV)/.installed: pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m guavapin_demo --part $(PART) --site $(SITE) --seed $(SEED) --output $(OUTPUT)

test: lint unit

lint: $(VENV)/.installed
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/mypy

unit: $(VENV)/.installed
	$(BIN)/python -m pytest

bench: $(VENV)/.installed
	$(BIN)/python -m guavapin_bench

clean:
	rm -rf $(VENV) build src/*.egg-info
