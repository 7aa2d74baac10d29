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

soak:
	SYCAMORE_SEEDS=$(SEEDS) go test -count=1 ./proof/...

fmt:
	gofmt -l -w coord serving edge platform daemon ctl standin proof
