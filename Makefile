.PHONY: build test lint run fuzz

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -race ./...
	go test -race -tags debug ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go vet -tags debug ./...

# Told by ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY and ROUTER_CONFIG; see README.md.
run: build
	bin/lockloom serve

fuzz:
	go test ./proxy -run '^$$' -fuzz FuzzArrival -fuzztime 1m
	go test ./internal/heads -run '^$$' -fuzz FuzzMessages -fuzztime 1m
