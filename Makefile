PYTHON ?= python3
BIN := .venv/bin

.PHONY: install lock demo binary test lint types format

install: .venv/installed

.venv/installed: requirements.txt
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --no-deps --requirement requirements.txt
	touch .venv/installed

# Chooses the newest versions that pyproject.toml allows; commit the result once the tests pass.
lock:
	$(PYTHON) -m venv --clear .venv
	$(BIN)/pip install --quiet '.[dev]'
	$(BIN)/pip uninstall --quiet --yes bronzetiller
	$(BIN)/pip freeze > requirements.txt
	touch .venv/installed

binary: install
	$(BIN)/python -m binary.build dist/bronzetiller

demo: install
	$(BIN)/python -m standins.demo

lint: install
	$(BIN)/black --check .
	$(BIN)/ruff check .

types: install
	$(BIN)/mypy

format: install
	$(BIN)/black .
	$(BIN)/ruff check --fix .

test: lint types
	$(BIN)/pytest
