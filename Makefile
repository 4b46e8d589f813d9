MODULES := core platform verbenad verbena vload vscale
BIN := bin

.PHONY: build run test race lint format model generate capacity delivery soak platform-soak gopls

build:
	@mkdir -p $(BIN)
	go build -o $(BIN)/ ./platform ./verbenad ./verbena ./vload ./vscale

run: build
	@scripts/run

ALL := $(addsuffix /...,$(addprefix ./,$(MODULES)))
# The process tests start many processes and check time limits, so they run alone.
PROCESS := verbenabank/vload/proof
SOAK := verbenabank/platform/soak
# The crowd tests press on processes until these refuse, so they run last and one at a time.
CROWD := verbenabank/platform/crowd
PACKAGES = $(shell go list $(ALL) | grep -v -e '^$(PROCESS)$$' -e '^$(SOAK)$$' -e '^$(CROWD)$$')

test: build
	scripts/tested -count=1 -timeout 300s -p 4 $(PACKAGES)
	scripts/tested -count=1 -timeout 300s -parallel 4 $(PROCESS)
	scripts/tested -count=1 -timeout 600s -v $(CROWD)

# Soak test of the platform's daemons. It runs one seed unless SOAK_SEED and SOAK_RUNS are set.
platform-soak:
	scripts/tested -count=1 -timeout 1h -v -parallel 3 $(SOAK)

race:
	go test -race -count=1 -timeout 600s -p 4 $(PACKAGES)

# Randomized simulations for SOAK_S seconds, with seeds from SEED on.
SOAK_S ?= 600
SEED ?= 1
soak:
	SOAK_S=$(SOAK_S) SEED=$(SEED) go test -count=1 -timeout 0 -v -run 'TestSoak|TestOneOwnerUnderFaults' ./core/command/raft ./core/command/leader

lint:
	@for m in $(MODULES); do \
	  (cd $$m && ../.tools/golangci-lint fmt --config ../.golangci.yml --diff ./... && \
	  ../.tools/golangci-lint run --allow-parallel-runners --config ../.golangci.yml ./...) || exit 1; done

capacity: build
	$(BIN)/vscale

# How long after its acknowledgement each daemon uses a configuration, at 30, 100 and 300 daemons.
delivery: build
	$(BIN)/vscale --delivery --output run/delivery.json

format:
	@for m in $(MODULES); do (cd $$m && ../.tools/golangci-lint fmt --config ../.golangci.yml ./...); done

model:
	bash model/check

generate:
	protoc -I core/wire --plugin=protoc-gen-go=.tools/protoc-gen-go --plugin=protoc-gen-go-grpc=.tools/protoc-gen-go-grpc \
	  --go_out=core --go_opt=module=verbenabank/core --go-grpc_out=core --go-grpc_opt=module=verbenabank/core verbena.proto

# Installs gopls, which renames an identifier with all its uses:
# .tools/gopls rename -w FILE:LINE:COLUMN NEW
gopls:
	GOWORK=off GOBIN=$(CURDIR)/.tools go install golang.org/x/tools/gopls@v0.21.1
