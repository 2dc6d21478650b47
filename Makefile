# Test and build entry points. `make test` is what CI runs.
GO ?= go
BIN := bin
# Fixed so that property tests generate the same cases on every run.
export FLAMINGOREEL_TEST_SEED ?= 1

.PHONY: build test demo demo-check demo-golden prove soak fault-soak load golden

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test:
	./scripts/test.sh

# Runs the deployments zdbs and himal as processes on loopback and demonstrates
# the guarantees.
demo: build
	./scripts/demo.sh

# Compares the demo's output, without the durations, with the golden file.
demo-check: build
	./scripts/demo_check.sh

# Rewrites the golden file from the demo's output.
demo-golden: build
	./scripts/demo_check.sh -update

# Runs the commands of every row of docs/proofs.md; exits with 1 if a row fails.
prove: build
	./scripts/prove.sh

# Runs the property tests with FLAMINGOREEL_SOAK_SEEDS seeds, 20 by default.
soak:
	./scripts/soak.sh

# Runs the fault soak: daemons as processes under random faults, about 18 s per
# seed. SEEDS is FIRST:COUNT; by default 20 seeds start at a number from the clock.
SEEDS ?= $(shell date +%s | cut -c4-):20
fault-soak:
	FLAMINGOREEL_FAULT_SEEDS=$(SEEDS) $(GO) test -count=1 -timeout 60m -v -run TestFaultSoak ./cmd/flamingoreeld

# Runs one deployment as processes on loopback under a load and a fault, for
# example `make load DEPLOYMENT=himal FAULT=kill-leader`. RATE is in requests
# per second, DURATION in seconds.
DEPLOYMENT ?= zdbs
FAULT ?= none
RATE ?= 400
DURATION ?= 15
load: build
	./scripts/load/run.sh $(DEPLOYMENT) $(FAULT) $(RATE) $(DURATION)

# Runs the tests of the whole system with the race detector; scripts/test.sh says
# why CI runs them without it.
.PHONY: race-sessions
race-sessions:
	$(GO) test -race -count=1 -timeout 20m ./internal/session
