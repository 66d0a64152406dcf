.PHONY: build test lint run

# The deploy file holds the build; this runs the same line.
build:
	sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml | sh

test:
	bash .ci/run

lint:
	.venv-ci/bin/ruff check .
	.venv-ci/bin/mypy

run:
	.venv/bin/python -m arrowkeel
