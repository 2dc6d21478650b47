# Test and build entry points. `make test` is what CI runs.
GO ?= go
BIN := bin
# Fixed so that property tests draw the same cases on every run.
export FLAMINGOREEL_TEST_SEED ?= 1

.PHONY: build test demo demo-check demo-golden prove soak fault-soak load golden

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test:
	./scripts/test.sh

# Shows the guarantees on both users' deployments, as processes on loopback.
demo: build
	./scripts/demo.sh

# Compares the demo's output, without the times, with the recorded session.
demo-check: build
	./scripts/demo_check.sh

# Records the demo's output as the session.
demo-golden: build
	./scripts/demo_check.sh -update

# Reruns every row of docs/proofs.md; exits with 1 if one fails.
prove: build
	./scripts/prove.sh

# Runs the property tests with FLAMINGOREEL_SOAK_SEEDS seeds, 20 by default.
soak:
	./scripts/soak.sh

# Runs the fault soak: daemons as processes under random faults, about 11 s a
# seed. SEEDS is FIRST:COUNT; without it the seeds are new each time.
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

# Runs the sessions of the whole system with the race detector; see
# scripts/test.sh for why CI does not.
.PHONY: race-sessions
race-sessions:
	$(GO) test -race -count=1 -timeout 20m ./internal/session
