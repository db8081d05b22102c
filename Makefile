# Front end to meson; see README.md.
BUILD ?= build
MESON_FLAGS ?=

.PHONY: all deps build check demo bench lint format clean

all: build

deps:
	./tools/install-packages

$(BUILD)/build.ninja: | deps
	meson setup $(BUILD) $(MESON_FLAGS)

build: $(BUILD)/build.ninja
	ninja -C $(BUILD)

check: build
	./tools/run-tests $(BUILD)

demo: build
	./tools/demo $(BUILD)

bench: build
	./tools/bench $(BUILD)

lint: $(BUILD)/build.ninja
	./tools/lint $(BUILD)

format:
	git ls-files '*.c' '*.h' | xargs clang-format -i

clean:
	rm -rf $(BUILD)
