package controlplanecmd

import (
	"context"
	"encoding/json"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/xds"

	"lockloom/internal/cli"
)

// callTimeout bounds a call to the health service.
const callTimeout = time.Second

// callCommand returns the sub-command that calls servers assigned by a control plane, through gRPC's own xDS client.
func callCommand(out cli.Output) *ffcli.Command {
	flags := cli.NewFlagSet("call")
	control := flags.String("control", os.Getenv("LOOMD_CONTROL"), "control plane `address`")
	duration := flags.Duration("for", 10*time.Second, "`duration` of the run")
	rate := flags.Float64("rate", 200, "`number` of calls to the health service per second")
	help := "call the gRPC health service of a target such as pool/try or a host, resolved over xDS"
	return cli.NewCommand("call", "call TARGET [FLAGS]", help, flags, func(ctx context.Context, args []string) error {
		if len(args) != 1 || *control == "" || !(*rate > 0) {
			return cli.UsageErrorf("expected one target, -control and a -rate above 0")
		}
		conn, err := dialXDS(*control, args[0], "lockloom-controlplane-call")
		if err != nil {
			return err
		}
		ctx, stop := context.WithTimeout(ctx, *duration)
		defer stop()
		printCalls(callAtRate(ctx, conn, *rate), out)
		return conn.Close()
	})
}

// dialXDS returns a connection to a target, whose servers gRPC's xDS client receives from the control plane at the
// address control. id is the client's xDS node ID.
func dialXDS(control, target, id string) (*grpc.ClientConn, error) {
	builder, err := newXDSResolver(control, id)
	if err != nil {
		return nil, err
	}
	credentials := grpc.WithTransportCredentials(insecure.NewCredentials())
	return grpc.NewClient("xds:///"+target, grpc.WithResolvers(builder), credentials)
}

// newXDSResolver returns the resolver of gRPC's own xDS client, configured with the address of a control plane and the
// client's node ID.
func newXDSResolver(control, id string) (resolver.Builder, error) {
	bootstrap, err := json.Marshal(map[string]any{
		"xds_servers": []any{map[string]any{
			"server_uri":      control,
			"channel_creds":   []any{map[string]string{"type": "insecure"}},
			"server_features": []string{"xds_v3"},
		}},
		"node": map[string]any{"id": id, "locality": map[string]string{"zone": ""}},
	})
	if err != nil {
		return nil, err
	}
	return xds.NewXDSResolverWithConfigForTesting(bootstrap)
}

// callCounts counts calls by server. The key "" stands for calls that no server answered.
type callCounts struct{ answered, failed map[string]int }

// printCalls prints a line for each server, and one for the calls that no server answered.
func printCalls(calls callCounts, out cli.Output) {
	for _, server := range slices.Sorted(maps.Keys(calls.answered)) {
		out.Printf("%-21s %6d answered %6d failed\n", server, calls.answered[server], calls.failed[server])
	}
	if n := calls.failed[""]; n > 0 {
		out.Printf("%-21s %6d\n", "no server", n)
	}
}

// callResult is the outcome of one call to the health service.
type callResult struct {
	server   string // "": no server answered
	answered bool
}

// callAtRate makes rate calls per second to the health service until the context ends. Then it waits for the calls in
// flight to end, and returns the counts of all calls.
func callAtRate(ctx context.Context, conn *grpc.ClientConn, rate float64) callCounts {
	counts := callCounts{answered: map[string]int{}, failed: map[string]int{}}
	results := make(chan callResult)
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	inFlight := 0
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case result := <-results:
			inFlight--
			counts.add(result)
		case <-tick.C:
			inFlight++
			go func() { results <- callHealth(conn) }()
		}
	}
	for ; inFlight > 0; inFlight-- {
		counts.add(<-results)
	}
	return counts
}

// add counts a call by its outcome.
func (c callCounts) add(result callResult) {
	if result.answered {
		c.answered[result.server]++
		return
	}
	c.failed[result.server]++
	c.answered[result.server] += 0 // adds the key, so that printCalls lists the server
}

// callHealth makes one call to the health service.
func callHealth(conn *grpc.ClientConn) callResult {
	ctx, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	var header metadata.MD
	_, err := grpc_health_v1.NewHealthClient(conn).Check(ctx, &healthRequest{}, grpc.Header(&header))
	return callResult{server: strings.Join(header.Get(serverField), ""), answered: err == nil}
}
