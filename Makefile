GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod
BIN = bin
# Tests and subtests of known faults, as a pattern for go test -skip.
KNOWN_RED = $(shell sed -n 's/^test: \(.*\)/^\1$$/p' KNOWN-RED.txt | sed 's,/,$$/^,g' | paste -sd '|' -)

.PHONY: build test check format demo measure docs

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test: build
	@cat KNOWN-RED.txt
	$(GO) test -race -count=1 -timeout 8m $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./...

check:
	test -z "$$($(TOOL) gofumpt -l cmd internal pkg platform | tee /dev/stderr)"
	$(GO) vet ./...
	$(TOOL) revive -config revive.toml -set_exit_status ./...

format:
	$(TOOL) gofumpt -w cmd internal pkg platform

demo: build
	./$(BIN)/demo

measure: build
	./$(BIN)/measure --losses 20
	./$(BIN)/measure

docs:
	$(GO) run ./cmd/docs
