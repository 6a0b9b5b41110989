VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/requirements.stamp

.PHONY: demo test lint format idl soak bench slopes clean

demo: $(STAMP)
	$(PYTHON) -m bench.demo

test: $(STAMP)
	$(PYTHON) -m tests.run

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

# Long randomised runs: first the state machines, then real processes.
SEED ?= 1
MINUTES ?= 5
soak: $(STAMP)
	$(PYTHON) -m tests.soak --seed $(SEED) --minutes $(MINUTES)
	$(PYTHON) -m bench.soak --seed $(SEED) --minutes $(MINUTES)

# Policies compared with their baselines; takes about 15 minutes.
bench: $(STAMP)
	$(PYTHON) -m bench.roundtrip
	$(PYTHON) -m bench.requests routing flood outage hang bad-endpoint once-only
	$(PYTHON) -m bench.failing --seed $(SEED)
	$(PYTHON) -m bench.placement --seed $(SEED)
	$(PYTHON) -m bench.urgent --seed $(SEED)
	$(PYTHON) -m bench.domain --seed $(SEED)
	$(PYTHON) -m bench.quotas --seed $(SEED)
	$(PYTHON) -m bench.recovery starts cancel replace outage

# Measures the costs used in docs/CAPACITY.md.
slopes: $(STAMP)
	$(PYTHON) -m bench.slopes

# The generated code is committed; regenerating it needs the Apache Thrift compiler.
idl:
	mkdir -p build-idl
	thrift --gen py:slots -out build-idl idl/shard.thrift
	thrift --gen py:slots -out build-idl idl/peer.thrift
	cp build-idl/clementinebay/shard/wire/*.py clementinebay/shard/wire/
	cp build-idl/clementinebay/peer/wire/*.py clementinebay/peer/wire/
	rm -r build-idl

$(STAMP): requirements.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.txt
	touch $@

clean:
	rm -rf $(VENV) out
