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

# Generated code is committed; this needs Apache's thrift compiler.
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
