# Targets: build, test, test-overload, lint, bench, demo, scale. See README.md.
STATICCHECK = go tool -modfile=tools/go.mod staticcheck

# The tests listed in KNOWN-RED.txt are skipped; .ci/run prints the list.
KNOWN_RED = $(shell test -s KNOWN-RED.txt && sed -n 's/^test: \([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd '|' -)

.PHONY: build test test-overload lint bench demo scale

build:
	go build -o bin/ ./cmd/...

SKIP_KNOWN_RED = $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

test:
	go test -race -count=1 -timeout 8m $(SKIP_KNOWN_RED) ./...
	$(MAKE) test-overload

# Clients that do not behave, against the program as a process. One test at a time, after all others.
test-overload:
	go test -tags overload -count=1 -timeout 8m -parallel 1 $(SKIP_KNOWN_RED) ./platform/overload

lint:
	@test -z "$$(gofmt -l cmd internal platform)" || { gofmt -l cmd internal platform; echo "gofmt: the files above need formatting"; exit 1; }
	go vet ./...
	go vet -tags overload ./platform/overload
	$(STATICCHECK) ./...
	$(STATICCHECK) -tags overload ./platform/overload

bench:
	go test -run '^$$' -bench . -benchmem ./internal/...

demo: build
	scripts/demo

scale: build
	scripts/scale
