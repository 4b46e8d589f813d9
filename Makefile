MODULES := core verbenad verbena vload vscale
BIN := bin

.PHONY: build run test race lint format model generate capacity

build:
	@mkdir -p $(BIN)
	go build -o $(BIN)/ ./verbenad ./verbena ./vload ./vscale

run: build
	@scripts/run

test: build
	go test -count=1 $(addsuffix /...,$(addprefix ./,$(MODULES)))

race:
	go test -race -count=1 $(addsuffix /...,$(addprefix ./,$(MODULES)))

lint:
	@for m in $(MODULES); do \
	  (cd $$m && ../.tools/golangci-lint fmt --config ../.golangci.yml --diff ./... && \
	  ../.tools/golangci-lint run --config ../.golangci.yml ./...) || exit 1; done

capacity: build
	$(BIN)/vscale

format:
	@for m in $(MODULES); do (cd $$m && ../.tools/golangci-lint fmt --config ../.golangci.yml ./...); done

model:
	bash model/check

generate:
	protoc -I core/wire --plugin=protoc-gen-go=.tools/protoc-gen-go --plugin=protoc-gen-go-grpc=.tools/protoc-gen-go-grpc \
	  --go_out=core --go_opt=module=verbenabank/core --go-grpc_out=core --go-grpc_opt=module=verbenabank/core verbena.proto
