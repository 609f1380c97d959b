.PHONY: build test lint run rehearse maintenance experiment fuzz sites compare upgrades

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

# Runs all tests as released and with the debug assertions (build tag debug). Tests that KNOWN-RED.txt lists as known
# failures run last, each by itself, and may fail.
test:
	go run ./internal/knownfailures

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go vet -tags debug ./...
	go tool -modfile=tools/golangci-lint/go.mod golangci-lint run

# Runs one proxy, configured by the environment variables ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY and
# ROUTER_CONFIG; see README.md.
run: build
	bin/lockloom serve

# Plays half a minute of normal operation: two proxies, twelve emulated servers and their clients, all on loopback.
rehearse: build
	bin/lockloomctl rehearse deploy/rehearsals/calm.toml -clock sockets

# Plays the same load while servers are disabled and replaced, a proxy is drained and both proxies are upgraded.
maintenance: build
	bin/lockloomctl rehearse deploy/rehearsals/maintenance-day.toml -clock sockets

# Plays every scenario in virtual time and compares lockloom with simple baseline policies, in experiment.html.
experiment: build
	bin/lockloomctl experiment deploy/rehearsals/*.toml -html experiment.html

fuzz:
	go test ./proxy -run '^$$' -fuzz FuzzArrival -fuzztime 1m
	go test ./internal/admin -run '^$$' -fuzz FuzzRead -fuzztime 1m
	go test ./internal/hotrestart -run '^$$' -fuzz FuzzFrame -fuzztime 1m
	go test ./internal/http1 -run '^$$' -fuzz FuzzMessages -fuzztime 1m
	go test ./internal/simulation -run '^$$' -fuzz FuzzRead -fuzztime 1m

# Tests hot restarts from an older build's process to one of this build, and back:
# make upgrades OLD=/path/of/the/older/lockloom
upgrades:
	@test -x "$(OLD)" || { echo "OLD: name an older build's lockloom" >&2; exit 1; }
	LOCKLOOM_OLD_BINARY="$(abspath $(OLD))" go test ./internal/cli/proxycmd -count=1 -v -run 'TestUpgradeUnderLoad|TestDrainAndResume|TestHandsOverState'

# Copies to deploy/sites the files of the operators' kit that their bench needs to play the site files there. Git
# ignores the copies.
sites:
	@if [ -d ../given/kit/sites ]; then cp -f ../given/kit/sites/real.json ../given/kit/sites/wire.json ../given/kit/sites/unlock.txt deploy/sites/ && \
		chmod u+w deploy/sites/* && echo "deploy/sites: ready to be played"; \
	else echo "deploy/sites: the operators' kit is not at ../given/kit: nothing to play these with" >&2; exit 1; fi

# Checks that the working tree makes the same decisions as the commit BASE, bit for bit, on simulated days. QUICK=1
# plays fewer days; BASE_DIR is a checkout of BASE that is built already; WHY is the journal's note on each play.
compare:
	go run ./internal/comparebuilds -base "$(BASE)" -base-dir "$(BASE_DIR)" $(if $(QUICK),-quick) $(if $(WHY),-why "$(WHY)")
