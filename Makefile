.PHONY: build test lint run rehearse maintenance experiment fuzz sites compare upgrades

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

# All tests but those that KNOWN-RED.txt lists, as released and with the debug assertions; then these, and how each ended.
test:
	go run ./internal/knownfailures

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go vet -tags debug ./...
	go tool -modfile=tools/golangci-lint/go.mod golangci-lint run

# Told by ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY and ROUTER_CONFIG; see README.md.
run: build
	bin/lockloom serve

# Half a minute of an ordinary day: two proxies, twelve emulated servers and their clients, all on loopback.
rehearse: build
	bin/lockloomctl rehearse deploy/rehearsals/calm.toml -clock sockets

# The same with servers banned, a proxy drained and both upgraded meanwhile.
maintenance: build
	bin/lockloomctl rehearse deploy/rehearsals/maintenance-day.toml -clock sockets

# Every scenario in virtual time, lockloom against plain baselines.
experiment: build
	bin/lockloomctl experiment deploy/rehearsals/*.toml -html experiment.html

fuzz:
	go test ./proxy -run '^$$' -fuzz FuzzArrival -fuzztime 1m
	go test ./internal/admin -run '^$$' -fuzz FuzzRead -fuzztime 1m
	go test ./internal/hotrestart -run '^$$' -fuzz FuzzFrame -fuzztime 1m
	go test ./internal/http1 -run '^$$' -fuzz FuzzMessages -fuzztime 1m
	go test ./internal/simulation -run '^$$' -fuzz FuzzRead -fuzztime 1m

# Hot restarts from an older build to this one and back, as processes: make upgrades OLD=/path/of/the/older/lockloom
upgrades:
	@test -x "$(OLD)" || { echo "OLD: name an older build's lockloom" >&2; exit 1; }
	LOCKLOOM_OLD_BINARY="$(abspath $(OLD))" go test ./internal/cli/proxycmd -count=1 -v -run 'TestUpgradeUnderLoad|TestDrainAndResume|TestHandsOverState'

# What the operators' bench wants beside the deployments of our own in deploy/sites; it stays out of the repository.
sites:
	@if [ -d ../given/kit/sites ]; then cp -f ../given/kit/sites/real.json ../given/kit/sites/wire.json ../given/kit/sites/unlock.txt deploy/sites/ && \
		chmod u+w deploy/sites/* && echo "deploy/sites: ready to be played"; \
	else echo "deploy/sites: the operators' kit is not at ../given/kit: nothing to play these with" >&2; exit 1; fi

# Whether the present tree decides as the commit BASE does, bit for bit, on the simulator's days. QUICK=1 plays fewer; BASE_DIR is a
# checkout of BASE that is built already; WHY is the journal's note.
compare:
	go run ./internal/comparebuilds -base "$(BASE)" -base-dir "$(BASE_DIR)" $(if $(QUICK),-quick) $(if $(WHY),-why "$(WHY)")
