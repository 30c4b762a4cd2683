# Two commands serve a newcomer: `make demo` runs a local system with stand-in
# upstreams and sends a request through it; `make test` passes the tests.
GO ?= go

.PHONY: build test demo generate lint

build:
	$(GO) build -o bin/ ./cmd/... ./test/cmd/...

test:
	$(GO) test -count=1 $$(.ci/known-red) ./...

demo:
	$(GO) run ./test/cmd/demo

generate:
	$(GO) generate ./api/...

lint:
	gofmt -l $$(git ls-files '*.go')
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
