# The environment is made again only when pyproject.toml changes.
VENV := .venv
PYTHON ?= python3
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test check fuzz slopes crest format clean

SEEDS ?= 200
# Crowds of clients that take memory and descriptors; they run alone.
CROWD_TESTS := $(wildcard tests/test_clients*.py)

demo: $(STAMP)
	$(BIN)/burdockgate local
	$(BIN)/python -m burdockgate.standin.crest --seconds 2

test: check
	$(BIN)/pytest --numprocesses 4 --dist loadfile $(addprefix --ignore ,$(CROWD_TESTS))
	$(BIN)/pytest $(CROWD_TESTS)

check: $(STAMP)
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/mypy

fuzz: $(STAMP)
	PYTHONPATH=tests $(BIN)/python tests/fuzz.py $(SEEDS)

slopes: $(STAMP)
	$(BIN)/python -m burdockgate.standin.slopes

crest: $(STAMP)
	$(BIN)/python -m burdockgate.standin.crest

format: $(STAMP)
	$(BIN)/ruff format src tests
	$(BIN)/ruff check --fix src tests

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $(STAMP)

clean:
	rm -rf $(VENV) .mypy_cache .pytest_cache .ruff_cache
