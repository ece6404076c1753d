PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup demo test lint format pages bench measure slopes soak fuzz cover

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m examples.demo

test: $(STAMP)
	@test ! -f KNOWN-RED.txt || cat KNOWN-RED.txt
	$(BIN)/python -W error::ResourceWarning -m unittest discover -s tests -t . -b

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/numpydoc lint --ignore PR01 --ignore RT01 $$(find src platform -name "*.py")

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

fuzz: $(STAMP)
	GYPSUMWALK_FUZZ=open $(BIN)/python -m unittest discover -s tests -t . -p "test_fuzz_*.py"

measure: $(STAMP)
	$(BIN)/python -m bench.measure
	$(BIN)/python -m bench.placement_cost

pages: $(STAMP)
	$(BIN)/python -m tests._reference

slopes: $(STAMP)
	$(BIN)/python -m bench.slopes
	$(BIN)/python -m bench.capacity

soak: $(STAMP)
	GYPSUMWALK_SCHEDULES=4000 $(BIN)/python -m unittest tests.test_faults
	GYPSUMWALK_SCHEDULES=1000 $(BIN)/python -m unittest tests.test_random_lives
	GYPSUMWALK_SOAK_SEEDS=50 $(BIN)/python -m unittest tests.test_real_disk_soak
	GYPSUMWALK_SOAK_SEEDS=50 $(BIN)/python -m unittest tests.test_real_life_soak
	GYPSUMWALK_SOAK_SEEDS=50 $(BIN)/python -m unittest tests.test_real_return_soak

bench: $(STAMP)
	$(BIN)/python -m bench.idle 3 9
	$(BIN)/python -m bench.overhead
