PYTHON = .venv/bin/python
SOURCES = plantainwood plantainctl platform standins experiments soak tests
SEEDS ?= 1
SECONDS ?= 30
VMS ?= 4
SEED ?= 1
STEPS ?= 200

.PHONY: demo test lint fuzz soak mutants bench capacity experiment reference clean

.venv/ready: requirements.txt
	python3 -m venv .venv
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	touch $@

demo: .venv/ready
	$(PYTHON) -m standins.demo

test: .venv/ready
	$(PYTHON) -m tests.run

lint: .venv/ready
	$(PYTHON) -m black --quiet --check $(SOURCES)
	$(PYTHON) -m isort --quiet --check $(SOURCES)
	$(PYTHON) -m flake8 $(SOURCES)

fuzz: .venv/ready
	FUZZ_SEED=$(SEED) FUZZ_STEPS=$(STEPS) $(PYTHON) -m pytest tests/proofs

soak: .venv/ready
	PYTHONPATH=platform $(PYTHON) -m soak.main $(SEED) $(SEEDS) $(SECONDS) $(VMS)

mutants: .venv/ready
	$(PYTHON) -m experiments.mutants

bench: .venv/ready
	$(PYTHON) -m experiments.bench

capacity: .venv/ready
	$(PYTHON) -m experiments.bench
	$(PYTHON) -m experiments.slopes
	$(PYTHON) -m experiments.capacity

experiment: .venv/ready
	$(PYTHON) -m experiments.experiment
	$(PYTHON) -m experiments.fleetcost
	$(PYTHON) -m experiments.overadmission

clean:
	rm -rf .venv build

reference: .venv/ready
	$(PYTHON) -m experiments.reference
