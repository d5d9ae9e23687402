# Targets: build, test, lint, bench, demo, scale. See README.md.
STATICCHECK = go tool -modfile=tools/go.mod staticcheck

# The tests listed in KNOWN-RED.txt are skipped; .ci/run prints the list.
KNOWN_RED = $(shell test -s KNOWN-RED.txt && sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd '|' -)

.PHONY: build test lint bench demo scale

build:
	go build -o bin/ ./cmd/...

test:
	go test -race -count=1 -timeout 8m $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./...

lint:
	@test -z "$$(gofmt -l cmd internal platform)" || { gofmt -l cmd internal platform; echo "gofmt: the files above need formatting"; exit 1; }
	go vet ./...
	$(STATICCHECK) ./...

bench:
	go test -run '^$$' -bench . -benchmem ./internal/...

demo: build
	scripts/demo

scale: build
	scripts/scale
