.PHONY: build test lint run

# Runs the build command of the deploy file, so that there is only one definition of the build.
build:
	sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml | sh

test:
	bash .ci/run

lint: .venv-ci/bin/ruff
	.venv-ci/bin/ruff check .
	.venv-ci/bin/mypy

.venv-ci/bin/ruff: pyproject.toml
	python3 -m venv .venv-ci
	.venv-ci/bin/pip -q install -e '.[dev]'
	touch $@

run: build
	.venv/bin/python -m arrowkeel
