# `make demo` and `make test` also install the packages and build, and work in a fresh checkout.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all install build test soak stop-soak answer-end-soak demo bench lint format clean

all: build

install:
	@bash scripts/install_packages.sh

build: install
	@cmake -S . -B $(BUILD) -G Ninja > /dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@ctest --test-dir $(BUILD) --output-on-failure

SEEDS ?= 1-50
soak: build
	@python3 tests/soak.py $(BUILD) $(SEEDS) --jobs 4

SITE ?= cdsaa
stop-soak: build
	@python3 tests/stop_soak.py $(BUILD) $(SEEDS) --site $(SITE)

answer-end-soak: build
	@python3 tests/answer_end_soak.py $(BUILD) $(SEEDS)

demo: build
	@python3 scripts/demo.py $(BUILD)

bench: build
	@$(BUILD)/bench

lint: build
	@bash scripts/lint.sh $(BUILD)

format:
	@git ls-files '*.h' '*.cc' | xargs clang-format -i

clean:
	@rm -rf $(BUILD)
