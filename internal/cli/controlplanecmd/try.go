package controlplanecmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/xds"

	"lockloom/internal/cli"
)

const (
	answerAfter = 5 * time.Millisecond // of the servers to try with
	callFor     = time.Second          // for one call of theirs
	serverField = "x-server"           // names the one that answers
)

func flags(name string) *flag.FlagSet { return flag.NewFlagSet(name, flag.ContinueOnError) }

// failing answers gRPC's own health service, and fails a share of the calls.
type failing struct {
	grpc_health_v1.UnimplementedHealthServer
	name  string
	share float64
}

func (f *failing) Check(ctx context.Context, _ *grpc_health_v1.HealthCheckRequest) (*grpc_health_v1.HealthCheckResponse, error) {
	grpc.SetHeader(ctx, metadata.Pairs(serverField, f.name))
	time.Sleep(answerAfter)
	if rand.Float64() < f.share {
		return nil, status.Error(codes.Internal, "it fails")
	}
	return &grpc_health_v1.HealthCheckResponse{Status: grpc_health_v1.HealthCheckResponse_SERVING}, nil
}

// trying runs gRPC servers on loopback to try the control service with, and writes what serve needs.
func trying(out io.Writer) *ffcli.Command {
	set := flags("servers")
	dir := set.String("dir", "stand", "write loomd.env, launch.json and operator.toml to this `folder`")
	n := set.Int("n", 4, "`number` of servers")
	share := set.Float64("fail", 0, "`share` of its calls that the last one fails")
	return cli.New("servers", "servers [FLAGS]", "run gRPC servers to try the control service with, and write what serve needs, until Ctrl-C", set,
		func(ctx context.Context, words []string) error {
			if len(words) > 0 || *n < 1 {
				return cli.Wrong("it takes no further words, and one server at least")
			}
			var addrs []string
			for i := range *n {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					return err
				}
				f := &failing{name: ln.Addr().String()}
				if i == *n-1 {
					f.share = *share
				}
				server := grpc.NewServer()
				grpc_health_v1.RegisterHealthServer(server, f)
				go server.Serve(ln)
				defer server.Stop()
				addrs = append(addrs, f.name)
			}
			if err := stand(*dir, addrs); err != nil {
				return err
			}
			fmt.Fprintf(out, "%s\nfiles for serve in %s\n", strings.Join(addrs, "\n"), *dir)
			<-ctx.Done()
			return nil
		})
}

// stand writes the files of an installation with one pool, "try", of these servers.
func stand(dir string, addrs []string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	free := make([]string, 5)
	for i := range free {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer ln.Close()
		free[i] = ln.Addr().String()
	}
	launch := `{"seed": "1", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": {"version": 0, "full": true, "servers": []},
 "settings": {"Ceilings": {"MaxLegs": 3, "Cancel": true}, "Rules": {"StopSendingWithinMs": 2500, "ColdFrom": 0.2, "ColdMs": 20000,
 "FallMultiple": 3, "OverloadForMs": 1000}, "Profiles": [{"Name": "call", "Effect": "retryable", "HardStopMs": 1000, "Value": 1}]}}
`
	quoted, _ := json.Marshal(addrs)
	operator := fmt.Sprintf(`[control]
address = "%s"
status = "%s"
memory = "%s"

[[tariff]]
name = "call"
hard_stop = 1.0

[[pool]]
name = "try"
servers = %s

[[route]]
name = "all"
under = "/"
pool = "try"
`, free[0], free[1], filepath.ToSlash(filepath.Join(dir, "memory.json")), quoted)
	env := fmt.Sprintf("ROUTER_NAME=n0\nROUTER_LISTEN=%s\nROUTER_DISCOVERY=%s\nROUTER_OPERATOR=%s\nROUTER_CONFIG=%s\nLOOMD_CONTROL=%s\nLOOMD_STATUS=%s\n",
		free[2], free[3], free[4], filepath.Join(dir, "launch.json"), free[0], free[1])
	for name, text := range map[string]string{"launch.json": launch, "operator.toml": operator, "loomd.env": env} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// calling is a gRPC client that a control service steers: gRPC's own, by its published protocol.
func calling(out io.Writer) *ffcli.Command {
	set := flags("call")
	at := set.String("control", os.Getenv("LOOMD_CONTROL"), "the control service's `address`")
	long := set.Duration("for", 10*time.Second, "`time` to go on for")
	rate := set.Float64("rate", 200, "calls a `second`")
	return cli.New("call", "call TARGET [FLAGS]", "call gRPC's health service at a target such as pool/try or a host, steered over xDS", set,
		func(ctx context.Context, words []string) error {
			if len(words) != 1 || *at == "" || !(*rate > 0) {
				return cli.Wrong("it takes a target, -control and a rate above 0")
			}
			builder, err := asksAt(*at, "lockloom-controlplane-call", "")
			if err != nil {
				return err
			}
			conn, err := grpc.NewClient("xds:///"+words[0], grpc.WithResolvers(builder), grpc.WithTransportCredentials(insecure.NewCredentials()))
			if err != nil {
				return err
			}
			defer conn.Close()
			ctx, stop := context.WithTimeout(ctx, *long)
			defer stop()
			answered, failed := callAll(ctx, conn, *rate)
			for _, name := range slices.Sorted(maps.Keys(answered)) {
				fmt.Fprintf(out, "%-21s %6d answered %6d failed\n", name, answered[name], failed[name])
			}
			if n := failed[""]; n > 0 {
				fmt.Fprintf(out, "%-21s %6d\n", "by none", n)
			}
			return nil
		})
}

// asksAt has gRPC's own xDS client ask the control service at an address.
func asksAt(addr, id, zone string) (resolver.Builder, error) {
	text, err := json.Marshal(map[string]any{
		"xds_servers": []any{map[string]any{"server_uri": addr, "channel_creds": []any{map[string]string{"type": "insecure"}}, "server_features": []string{"xds_v3"}}},
		"node":        map[string]any{"id": id, "locality": map[string]string{"zone": zone}},
	})
	if err != nil {
		return nil, err
	}
	return xds.NewXDSResolverWithConfigForTesting(text)
}

// callAll calls the health service at a rate until the context ends, and counts what was answered and failed by server; "" is none.
func callAll(ctx context.Context, conn *grpc.ClientConn, rate float64) (answered, failed map[string]int) {
	type end struct {
		name string
		ok   bool
	}
	ends, over := make(chan end, 1), make(chan struct{})
	answered, failed = map[string]int{}, map[string]int{}
	go func() {
		defer close(over)
		for e := range ends {
			if e.ok {
				answered[e.name]++
			} else {
				failed[e.name]++
				answered[e.name] += 0
			}
		}
	}()
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	out := 0
	done := make(chan struct{})
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-done:
			out--
		case <-tick.C:
			out++
			go func() {
				one, stop := context.WithTimeout(context.Background(), callFor)
				defer stop()
				var head metadata.MD
				_, err := grpc_health_v1.NewHealthClient(conn).Check(one, &grpc_health_v1.HealthCheckRequest{}, grpc.Header(&head))
				ends <- end{strings.Join(head.Get(serverField), ""), err == nil}
				done <- struct{}{}
			}()
		}
	}
	for ; out > 0; out-- {
		<-done
	}
	close(ends)
	<-over
	return answered, failed
}
