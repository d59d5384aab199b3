# `make demo` and `make check` do all the set-up that they need, packages included.
BUILD ?= build

# `make slopes` measures what docs/CAPACITY.md is worked out from.
.PHONY: all setup demo slopes check check-sanitized lint format measures clean

all: $(BUILD)/build.ninja
	ninja -C $(BUILD)

setup:
	script/setup

$(BUILD)/build.ninja: | setup
	meson setup $(BUILD)

demo: all
	script/demo $(BUILD)

slopes: all
	script/setup-bench
	mkdir -p docs/capacity
	$(BUILD)/bench/slopes --out docs/capacity
	cd docs/capacity && gnuplot plots.gp

check: all
	tests=$$(script/known-red $(BUILD)) && meson test -C $(BUILD) --print-errorlogs --timeout-multiplier 5 $$tests

check-sanitized: | setup
	test -e build-asan/build.ninja || meson setup build-asan -Db_sanitize=address,undefined -Dbuildtype=debug
	ninja -C build-asan
	tests=$$(script/known-red build-asan) && meson test -C build-asan --print-errorlogs --timeout-multiplier 5 $$tests

lint: all
	script/lint $(BUILD)

format:
	git ls-files '*.c' '*.h' | grep -v '\.pb-c\.[ch]$$' | xargs clang-format -i

# Replays generated sessions through every policy; writes docs/measures.csv and the plots.
measures: all
	script/setup gnuplot-nox
	bench/measures $(BUILD)

clean:
	rm -rf build build-asan
