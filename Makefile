# `make demo` and `make check` also work on a new machine: they install the dependencies and build the project first.

.PHONY: all deps build format format-check lint test check demo bench fuzz soak proto

all: build

deps:
	./tools/scripts/install-deps

build: deps
	cmake --preset default > build-configure.log 2>&1 || (cat build-configure.log; exit 1)
	@rm -f build-configure.log
	cmake --build --preset default

format:
	./tools/scripts/format --write

format-check: deps
	./tools/scripts/format --check

lint: build
	./tools/scripts/lint

test: build
	./tools/scripts/run-tests

check: format-check build lint test

demo: build
	./tools/scripts/demo

bench: build
	./bench/run

fuzz: deps
	cmake --preset fuzz > /dev/null
	cmake --build --preset fuzz --target hornbeam_fuzzers
	./tools/scripts/fuzz

soak: build
	./build/bin/faultsoak --seed "$$(date +%s)" --runs 10
	./build/bin/faultsoak --seed "$$(date +%s)" --runs 10 --planned

proto:
	./tools/scripts/generate-proto
