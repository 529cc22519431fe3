# Every target does its own set-up: a virtual environment with pinned packages.
PYTHON ?= python3
VENV ?= .venv
RUN := $(VENV)/bin/python
STAMP := $(VENV)/.installed
SEED ?= 1

.PHONY: test demo bench chaos dist format clean

$(STAMP): requirements/dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(RUN) -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements/dev.txt
	$(RUN) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $(STAMP)

test: $(STAMP)
	$(RUN) tools/run_tests.py

demo: $(STAMP)
	$(RUN) -m yuccafold demo

bench: dist
	mkdir -p bench-results
	$(RUN) -m yuccafold bench --output=bench-results/figures.json $(BENCH)

chaos: $(STAMP)
	$(RUN) -m yuccafold chaos --seed=$(SEED)

dist: $(STAMP)
	$(RUN) tools/build_dist.py

format: $(STAMP)
	$(VENV)/bin/ruff format src testing tools
	$(VENV)/bin/ruff check --fix src testing tools

clean:
	rm -rf build dist src/*.egg-info
