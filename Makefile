.PHONY: build test lint run rehearse maintenance experiment fuzz

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

# Half a minute of an ordinary day: two proxies, twelve emulated servers and their clients, all on loopback.
rehearse: build
	bin/loomctl rehearse deploy/rehearsals/calm.toml -clock sockets

# The same with servers banned, a proxy drained and both upgraded meanwhile.
maintenance: build
	bin/loomctl rehearse deploy/rehearsals/maintenance-day.toml -clock sockets

# Every scenario in virtual time, lockloom against plain baselines.
experiment: build
	bin/loomctl experiment deploy/rehearsals/*.toml -html experiment.html

fuzz:
	go test ./proxy -run '^$$' -fuzz FuzzArrival -fuzztime 1m
	go test ./internal/operations -run '^$$' -fuzz FuzzRead -fuzztime 1m
	go test ./internal/handover -run '^$$' -fuzz FuzzFrame -fuzztime 1m
	go test ./internal/heads -run '^$$' -fuzz FuzzMessages -fuzztime 1m
	go test ./internal/rehearse -run '^$$' -fuzz FuzzRead -fuzztime 1m
