PY = .venv/bin/python
DEPS = .venv/.ready

.PHONY: build check lint test run clean
build: $(DEPS)

$(DEPS): requirements.txt requirements-dev.txt
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

check: lint test

lint: $(DEPS)
	$(PY) -m ruff check .
	$(PY) -m mypy flintshift

test: $(DEPS)
	$(PY) -m pytest -q

run: $(DEPS)
	exec $(PY) -m flintshift

clean:
	rm -rf .venv .pytest_cache .ruff_cache .mypy_cache
