VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := -e packages/decisions -e packages/runtime -e packages/proxy -e packages/node -e packages/standins -e packages/ctl -e ./platform

.PHONY: install demo test check format bench-path

$(VENV)/.installed: constraints.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt \
	  pytest hypothesis ruff mypy $(PACKAGES)
	touch $@

install: $(VENV)/.installed

demo: install
	$(BIN)/rosemaryferryctl demo

test: install
	$(BIN)/python -m pytest

check: install
	$(BIN)/ruff format --check packages platform tools conftest.py
	$(BIN)/ruff check packages platform tools conftest.py
	$(BIN)/mypy
	$(BIN)/python tools/check_style.py

format: install
	$(BIN)/ruff format packages platform tools conftest.py
	$(BIN)/ruff check --fix packages platform tools conftest.py

bench-path: install
	tools/bench_path.sh --json
