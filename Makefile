# Entry points for developers and CI. Requires Go and a C compiler.
GO ?= go
BIN := bin

.PHONY: all build deploy test demo lint fmt spec bench clean
all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Runs the platform's build command from the deploy file.
deploy:
	sh -ec "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)"

test: build deploy spec
	$(GO) test -timeout 10m ./cmd/... ./pkg/... ./platform/...
	# -count=1: the binaries that these tests build are not part of go test's cache key.
	$(GO) test -count=1 -timeout 10m ./test/...

demo: build
	$(BIN)/fulmarbeam demo

fmt:
	@out=$$(gofmt -l cmd pkg platform test 2>/dev/null); if [ -n "$$out" ]; then echo "gofmt needed: $$out"; exit 1; fi

lint: fmt
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Model checking with Spin, which the script installs if it is missing.
spec:
	@if [ -x spec/check.sh ]; then spec/check.sh; fi

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

clean:
	rm -rf $(BIN) out target
