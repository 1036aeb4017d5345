# Targets: build, test, lint, generate, bench, demo, soak, soak-declared, clean. See README.md.
GO ?= go
BIN := bin
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo dev)
LDFLAGS := -X github.com/kumquathollow/kumquathollow/internal/version.Version=$(VERSION)
GOFILES := $(shell find . -name '*.go' -not -name '*.pb.go' -not -path './$(BIN)/*')

.PHONY: build test lint format unit generate bench bench-score bench-hunt measure measure-capacity demo soak soak-declared clean

build:
	$(GO) build -ldflags "$(LDFLAGS)" -o $(BIN)/ ./cmd/...

test: lint unit

lint:
	@out=$$($(GO) tool gofumpt -l $(GOFILES)); if [ -n "$$out" ]; then echo "gofumpt: run 'make format' for:"; echo "$$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

format:
	$(GO) tool gofumpt -w $(GOFILES)

# unit passes over exactly the failures listed in .ci/pass-over, and prints them last.
unit:
	@.ci/verdict-test
	@mkdir -p $(BIN); status=0; $(GO) test -race -timeout 15m ./... >$(BIN)/unit.log 2>&1 || status=$$?; \
		cat $(BIN)/unit.log; .ci/verdict .ci/pass-over $(BIN)/unit.log $$status

# generate needs protoc (Debian package protobuf-compiler); its output is committed.
generate:
	mkdir -p $(BIN)/tools
	$(GO) build -o $(BIN)/tools/ google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
	PATH="$(CURDIR)/$(BIN)/tools:$$PATH" protoc -I api --go_out=. --go_opt=module=github.com/kumquathollow/kumquathollow \
		--go-drpc_out=. --go-drpc_opt=module=github.com/kumquathollow/kumquathollow $$(find api -name '*.proto')

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

# bench-score and bench-hunt play the sites of BENCH_SITES with the users' bench, whose
# program is BENCH and whose site files are below BENCH_ROOT. They take up to an hour.
BENCH_SITES ?= scripts/bench-sites.txt
WHY ?= regression run
bench-score bench-hunt:
	scripts/bench.sh $(@:bench-%=%) "$(BENCH)" "$(BENCH_ROOT)" "$(BENCH_SITES)" "$(WHY)"

# measure compares ways of placing requests, in virtual time.
measure:
	mkdir -p docs/measurements
	$(GO) run ./cmd/kqreplay measure -o docs/measurements/routing.md

# measure-capacity measures the slopes of docs/CAPACITY.md and renews its tables.
measure-capacity:
	$(GO) run ./cmd/kqreplay capacity -r .

# demo starts an example fleet on loopback; FLEET is maracas or brinco.
FLEET ?= maracas
demo: build
	@FLEET=$(FLEET) scripts/demo.sh

# soak disturbs a fleet of real kqplatform processes on loopback by seeds.
SOAK_SECONDS ?= 15
SOAK_SEED ?= 1
SOAK_SEEDS ?= 1
# SOAK_ARGS are further options of kqsoak, see docs/operators/soak.md.
SOAK_ARGS ?=
soak: build
	bin/kqsoak --seed $(SOAK_SEED) --seeds $(SOAK_SEEDS) --seconds $(SOAK_SECONDS) $(SOAK_ARGS)

# soak-declared disturbs a fleet of kqrouter and kqcontrol under load; not part of CI.
SOAK_DECLARED_SECONDS ?= 300
soak-declared: build
	@FLEET=$(FLEET) SOAK_SECONDS=$(SOAK_DECLARED_SECONDS) SOAK_SEED=$(SOAK_SEED) scripts/soak.sh

clean:
	rm -rf $(BIN)
