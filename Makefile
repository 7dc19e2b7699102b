# Every target works from a fresh clone; the virtual environment is set up on
# first use and again when the pinned requirements change.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
CODE := amaranthcrank standins proofs soak abuse tools

.PHONY: setup format lint unit test demo measure

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e . 
	touch $@

format: setup
	$(BIN)/ruff format $(CODE)

lint: setup
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/flake8 $(CODE)

unit: setup
	$(BIN)/python -m tools.run_tests -v

test: lint unit

demo: setup
	$(BIN)/python -m tools.demo_site
	$(BIN)/python -m tools.demo

measure: setup
	$(BIN)/python -m tools.measure
