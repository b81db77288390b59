PYTHON ?= python3
BIN := .venv/bin

.PHONY: install demo test lint types format

install: .venv/installed

.venv/installed: pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch .venv/installed

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
