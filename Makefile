.PHONY: all build check demo packages format

all: build

packages:
	@tools/install-packages.sh

build: packages
	@cmake -S . -B build -G Ninja >/dev/null
	@ninja -C build

check: packages
	@tools/check.sh

demo: build
	@tools/demo.sh build

format:
	@git ls-files -co --exclude-standard '*.h' '*.cpp' | grep -v '/gen/' | xargs clang-format -i
