GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod
BIN = bin
# Tests and subtests of known faults, as a pattern for go test -skip.
KNOWN_RED = $(shell sed -n 's/^test: \(.*\)/^\1$$/p' KNOWN-RED.txt | sed 's,/,$$/^,g' | paste -sd '|' -)

TEST = $(GO) test -race -count=1 $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')
# Tests that measure the memory of processes run one at a time and after the others.
ALONE = ./internal/standin/flooder
OTHERS = $(shell $(GO) list ./... | grep -v /internal/standin/flooder)

.PHONY: build test check format demo measure docs

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test: build
	@cat KNOWN-RED.txt
	failed=; $(TEST) -timeout 8m $(OTHERS) || failed=1; $(TEST) -timeout 10m -p 1 $(ALONE) || failed=1; test -z "$$failed"

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
