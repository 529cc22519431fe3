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

# Each part in a process of its own, as some measure its memory.
PARTS ?= router edge silence dist placement delivery admission settings orders fleet
bench: dist
	mkdir -p bench-results
	set -e; for part in $(PARTS); do \
	  $(RUN) -m yuccafold bench --parts=$$part | tee bench-results/$$part.txt; done
	$(RUN) tools/fleet_processes.py | tee bench-results/processes.txt

chaos: $(STAMP)
	$(RUN) -m yuccafold chaos --seed=$(SEED)

dist: $(STAMP)
	$(RUN) tools/build_dist.py

format: $(STAMP)
	$(VENV)/bin/ruff format src testing tools
	$(VENV)/bin/ruff check --fix src testing tools

clean:
	rm -rf build dist src/*.egg-info
