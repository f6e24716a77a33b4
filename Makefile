GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod
BIN = bin

.PHONY: build test check format demo measure docs

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test: build
	$(GO) test -race -count=1 -timeout 8m ./...

check:
	test -z "$$($(TOOL) gofumpt -l cmd internal pkg | tee /dev/stderr)"
	$(GO) vet ./...
	$(TOOL) revive -config revive.toml -set_exit_status ./...

format:
	$(TOOL) gofumpt -w cmd internal pkg

demo: build
	./$(BIN)/demo

measure: build
	./$(BIN)/measure --losses 20
	./$(BIN)/measure

docs:
	$(GO) run ./cmd/docs
