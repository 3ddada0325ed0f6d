# Entry points for people and for CI; the build itself is in CMakeLists.txt.
.PHONY: packages build run check bench format lint generate
JOBS ?= $(shell nproc)
packages:
	./scripts/install-packages.sh
build: packages
	cmake --preset release
	cmake --build --preset release -j $(JOBS)
run: build
	./scripts/run.sh
check: build
	./scripts/check.sh
bench: build
	./scripts/bench.sh
format:
	./scripts/check-format.sh --fix
lint: build
	./scripts/lint.sh
generate:
	thrift --gen cpp:no_skeleton -out src/peer/gen src/peer/peer.thrift
