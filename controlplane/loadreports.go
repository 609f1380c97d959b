package controlplane

import (
	"time"

	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	loadstats "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"
)

const (
	loadReportInterval = time.Second
	loadReportTimeout  = 3 * loadReportInterval // after which the load of a subscriber without reports is dropped
	maxReportedCount   = 1 << 30                // attempts per report; higher counts are implausible and reduced to this
)

// loadReportServer implements the load reporting service (LRS) of xDS.
type loadReportServer struct {
	loadstats.UnimplementedLoadReportingServiceServer
	service *Service
}

// loadReporter is one stream of load reports. Service.mu guards it.
type loadReporter struct {
	loads map[string]poolLoad // by pool, as of the last report
}

// poolLoad is the load that one subscriber reports for a pool, or the sum of several reports.
type poolLoad struct {
	inFlight float64 // number of requests in progress
	rate     float64 // requests started per second
}

func (l *poolLoad) add(other poolLoad) {
	l.inFlight += other.inFlight
	l.rate += other.rate
}

// StreamLoadStats receives the load reports of a subscriber. Each server is sent as a locality of its own, so the load
// of a locality is that of a server. Reports on pools that the subscriber is not allowed to receive are ignored:
// otherwise the failures that it reports could pause servers that other subscribers use.
func (l loadReportServer) StreamLoadStats(stream loadstats.LoadReportingService_StreamLoadStatsServer) error {
	allowed, err := l.service.allowedPools(stream.Context())
	if err != nil {
		return status.Error(codes.PermissionDenied, err.Error())
	}
	if _, err := stream.Recv(); err != nil {
		return err
	}
	err = stream.Send(&loadstats.LoadStatsResponse{
		SendAllClusters:       true,
		LoadReportingInterval: durationpb.New(loadReportInterval),
	})
	if err != nil {
		return err
	}
	reporter := &loadReporter{}
	clearLoads := func() { l.service.setReportedLoads(reporter, nil) }
	defer clearLoads()
	expiry := time.AfterFunc(loadReportTimeout, clearLoads)
	defer expiry.Stop()
	for {
		report, err := stream.Recv()
		if err != nil {
			return nil // the subscriber has ended the stream
		}
		expiry.Reset(loadReportTimeout)
		l.service.setReportedLoads(reporter, l.service.handleReport(report, allowed))
	}
}

// handleReport passes the outcomes of a report to OutcomesReported and returns the loads by pool.
func (s *Service) handleReport(report *loadstats.LoadStatsRequest, allowed poolFilter) map[string]poolLoad {
	loads := map[string]poolLoad{}
	for _, stats := range report.ClusterStats {
		if !allowed.includes(stats.ClusterName) {
			continue
		}
		load := loads[stats.ClusterName]
		load.add(clusterLoad(stats))
		loads[stats.ClusterName] = load
		s.OutcomesReported(stats.ClusterName, clusterOutcomes(stats))
	}
	return loads
}

func clusterLoad(stats *endpoint.ClusterStats) (load poolLoad) {
	started := uint64(0)
	for _, locality := range stats.UpstreamLocalityStats {
		load.inFlight += float64(min(locality.TotalRequestsInProgress, maxReportedCount))
		started += min(locality.TotalIssuedRequests, maxReportedCount)
	}
	if elapsed := stats.LoadReportInterval.AsDuration(); elapsed > 0 {
		load.rate = float64(started) / elapsed.Seconds()
	}
	return load
}

// clusterOutcomes returns, by server name, the numbers of attempts that succeeded and that failed.
func clusterOutcomes(stats *endpoint.ClusterStats) map[string][2]int {
	outcomes := map[string][2]int{}
	for _, locality := range stats.UpstreamLocalityStats {
		server := locality.Locality.GetSubZone()
		counts := outcomes[server]
		counts[0] += int(min(locality.TotalSuccessfulRequests, maxReportedCount))
		counts[1] += int(min(locality.TotalErrorRequests, maxReportedCount))
		outcomes[server] = counts
	}
	return outcomes
}

// setReportedLoads records the loads of a subscriber by pool; nil: they are unknown.
func (s *Service) setReportedLoads(reporter *loadReporter, loads map[string]poolLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reporter.loads = loads
	if loads == nil {
		delete(s.reporters, reporter)
	} else {
		s.reporters[reporter] = true
	}
}

// reportedLoad returns the sum of the loads that all subscribers report for a pool. The caller must hold s.mu.
func (s *Service) reportedLoad(pool string) (load poolLoad) {
	for reporter := range s.reporters {
		load.add(reporter.loads[pool])
	}
	return load
}
