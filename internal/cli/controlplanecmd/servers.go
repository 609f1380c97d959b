package controlplanecmd

import (
	"context"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"lockloom/internal/cli"
)

const (
	responseDelay = 5 * time.Millisecond
	serverField   = "x-server" // the response's metadata field that names the server
)

// Types of gRPC's health service.
type (
	healthRequest  = grpc_health_v1.HealthCheckRequest
	healthResponse = grpc_health_v1.HealthCheckResponse
)

// healthServer implements gRPC's health service, and fails a fraction of the calls.
type healthServer struct {
	grpc_health_v1.UnimplementedHealthServer
	name            string
	failureFraction float64
}

// Check responds after responseDelay.
func (s *healthServer) Check(ctx context.Context, _ *healthRequest) (*healthResponse, error) {
	if err := grpc.SetHeader(ctx, metadata.Pairs(serverField, s.name)); err != nil {
		return nil, err
	}
	time.Sleep(responseDelay)
	if rand.Float64() < s.failureFraction {
		return nil, status.Error(codes.Internal, "it fails")
	}
	return &healthResponse{Status: grpc_health_v1.HealthCheckResponse_SERVING}, nil
}

// serversCommand returns the sub-command that runs gRPC servers on loopback, and writes the files that serve needs to
// send clients to them.
func serversCommand(out cli.Output) *ffcli.Command {
	flags := cli.NewFlagSet("servers")
	dir := flags.String("dir", "stand", "write loomd.env, launch.json and operator.toml to this `folder`")
	count := flags.Int("n", 4, "`number` of servers")
	failureFraction := flags.Float64("fail", 0, "`share` (0 to 1) of calls that the last server answers with an error")
	help := "run gRPC servers to try the control plane with, until Ctrl-C, and write the files that serve needs"
	return cli.NewCommand("servers", "servers [FLAGS]", help, flags, func(ctx context.Context, args []string) error {
		if len(args) > 0 || *count < 1 {
			return cli.UsageErrorf("expected no arguments and an -n of at least 1")
		}
		var addrs []string
		for i := range *count {
			server := &healthServer{}
			if i == *count-1 {
				server.failureFraction = *failureFraction
			}
			stop, err := server.start()
			if err != nil {
				return err
			}
			defer stop()
			addrs = append(addrs, server.name)
		}
		if err := writeInstallation(*dir, addrs); err != nil {
			return err
		}
		out.Printf("%s\nfiles for serve in %s\n", strings.Join(addrs, "\n"), *dir)
		<-ctx.Done()
		return nil
	})
}

// start serves on a free loopback address, which becomes the server's name, until stop is called.
func (s *healthServer) start() (stop func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.name = ln.Addr().String()
	return serveHealth(ln, s), nil
}

// serveHealth serves gRPC's health service until stop is called.
func serveHealth(ln net.Listener, handler grpc_health_v1.HealthServer) (stop func()) {
	server := grpc.NewServer()
	grpc_health_v1.RegisterHealthServer(server, handler)
	go func() { _ = server.Serve(ln) }() // an error shows in the failed calls of its clients
	return server.Stop
}
