MODULES := ./coord/... ./serving/... ./edge/... ./platform/... ./daemon/... ./ctl/... ./standin/... ./proof/...

.PHONY: build test demo bench soak fmt

build:
	go build -o bin/ ./daemon/sycamored ./ctl/sycamorectl

# test is the whole verdict: formatter, vet, staticcheck, build, tests with the
# race detector, and the scenarios.
test:
	bash .ci/check $(MODULES)

demo: build
	bash docs/demo.sh

bench:
	go test -run '^$$' -bench . -benchtime 1x ./proof/bench

# soak plays SEEDS seeds of the soak from FIRST on, and as many seeds of the
# histories of concurrent callers.
SEEDS ?= 50
FIRST ?= 1
soak:
	SYCAMORE_SOAK_SEEDS=$(SEEDS) SYCAMORE_SOAK_FIRST=$(FIRST) go test -count=1 -timeout 2h ./proof/soak
	SYCAMORE_SEEDS=$(SEEDS) go test -count=1 ./proof/concurrent

fmt:
	gofmt -l -w coord serving edge platform daemon ctl standin proof
