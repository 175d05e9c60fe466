PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python

.PHONY: demo test lint format soak measure path capacity model mutants binary clean

$(VENV)/.ready: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $(VENV)/.ready

demo: $(VENV)/.ready  ## starts a small federation of each sort and sends it requests
	$(RUN) -m fakes.demo
	$(RUN) -m fakes.prepared_demo

test: $(VENV)/.ready  ## runs all tests
	$(RUN) -m pytest -q

lint: $(VENV)/.ready  ## checks format and style
	$(VENV)/bin/black --check --quiet --line-length 100 .
	$(VENV)/bin/ruff check --quiet .

format: $(VENV)/.ready  ## puts the code into the agreed format
	$(VENV)/bin/ruff check --fix --quiet .
	$(VENV)/bin/black --quiet .

SEED ?= 0

soak: $(VENV)/.ready  ## brings about the faults of SEED (0: drawn now) and checks the promises
	$(RUN) -m soak --seed $(SEED)

model: $(VENV)/.ready  ## checks the specifications of the core protocols
	$(RUN) -m models

mutants: $(VENV)/.ready  ## checks that tests fail when a mechanism is taken out
	$(RUN) -m tests.mutants

measure: $(VENV)/.ready  ## measures the policy against baselines
	$(RUN) -m measure

path: $(VENV)/.ready  ## measures latency, throughput and memory of one entry VM
	$(RUN) -m measure.path

capacity: $(VENV)/.ready  ## measures the slopes behind docs/CAPACITY.md
	$(RUN) -m measure.capacity

binary: $(VENV)/.ready  ## builds the program as one file
	mkdir -p dist
	$(VENV)/bin/shiv --quiet --compressed -c bluebellpitch -o dist/bluebellpitch.pyz \
		-r requirements.txt .

clean:
	rm -rf $(VENV) build dist
