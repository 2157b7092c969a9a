PY = .venv/bin/python
DEPS = .venv/.ready

PROTO = flintshift/proto/usage.proto flintshift/proto/peers.proto

.PHONY: build check lint test run demo proto proto-fresh clean kill-exporter kill-node chaos-copies drain-soak start-soak bench sites
build: $(DEPS)

$(DEPS): requirements.txt requirements-dev.txt pyproject.toml
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(PY) -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

check: lint proto-fresh test

lint: $(DEPS)
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m mypy flintshift

test: $(DEPS)
	$(PY) -m pytest -q -n auto --dist worksteal

run: $(DEPS)
	exec .venv/bin/flintshift run

demo: $(DEPS)
	exec .venv/bin/flintshift demo

proto: $(DEPS)
	$(PY) -m grpc_tools.protoc -I. --python_out=. --pyi_out=. $(PROTO)

proto-fresh: $(DEPS)
	mkdir -p build/proto
	$(PY) -m grpc_tools.protoc -I. --python_out=build/proto --pyi_out=build/proto $(PROTO)
	@for made in $(PROTO:.proto=_pb2.py) $(PROTO:.proto=_pb2.pyi); do \
	  cmp build/proto/$$made $$made || { echo "run make proto"; exit 1; }; done

# Long runs, not in CI; their last results are committed in benchmarks/results.
kill-exporter: $(DEPS)
	$(PY) benchmarks/kill_exporter.py --runs 1000 --out benchmarks/results/kill_exporter.json

kill-node: $(DEPS)
	$(PY) benchmarks/kill_node.py --runs 50 --out benchmarks/results/kill_node.json

drain-soak: $(DEPS)
	$(PY) benchmarks/drain_soak.py --runs 60 --seed 1001 --out benchmarks/results/drain_soak.json

start-soak: $(DEPS)
	$(PY) benchmarks/start_soak.py --runs 100 --seed 1001 --out benchmarks/results/start_soak.json

chaos-copies: $(DEPS)
	$(PY) benchmarks/chaos_copies.py --rounds 200 --out benchmarks/results/chaos_copies.json

bench: $(DEPS)
	mkdir -p build
	$(PY) benchmarks/ledger_store.py --out benchmarks/results/ledger_store.json
	$(PY) benchmarks/request_cost.py --out benchmarks/results/request_cost.json

# What the bench wants beside a site file; it comes from the operators' kit and is not kept here.
KIT ?= ../given/kit
sites:
	cp $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/

clean:
	rm -rf .venv .pytest_cache .ruff_cache .mypy_cache
