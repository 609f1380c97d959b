package controlplane

import (
	"time"

	load "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"
)

const (
	reportEvery = time.Second // of a subscriber's load reports
	reportsMost = 3           // of them missing, and its load counts no more
	countMost   = 1 << 30     // attempts in one report: more cannot be
)

// reports is the published service of load reports.
type reports struct {
	load.UnimplementedLoadReportingServiceServer
	s *Service
}

// reporter is one stream of them.
type reporter struct{ sends map[string]sent } // by pool, as of the last report

// sent is what a subscriber sends to a pool.
type sent struct{ holds, rate float64 } // requests in work; begun a second

// StreamLoadStats takes in what a subscriber tells of the attempts that it sent. A server is told as a locality of its own, so what is
// reported of a locality is a server's. Danger: a subscriber that reports what it may not see could have others' servers paused.
func (r reports) StreamLoadStats(st load.LoadReportingService_StreamLoadStatsServer) error {
	pools, err := r.s.allowed(st.Context())
	if err != nil {
		return status.Error(codes.PermissionDenied, err.Error())
	}
	if _, err := st.Recv(); err != nil {
		return err
	}
	if err := st.Send(&load.LoadStatsResponse{SendAllClusters: true, LoadReportingInterval: durationpb.New(reportEvery)}); err != nil {
		return err
	}
	own := &reporter{}
	defer r.s.sends(own, nil)
	silent := time.AfterFunc(reportsMost*reportEvery, func() { r.s.sends(own, nil) })
	defer silent.Stop()
	for {
		in, err := st.Recv()
		if err != nil {
			return nil // it has gone
		}
		silent.Reset(reportsMost * reportEvery)
		sends := map[string]sent{}
		for _, c := range in.ClusterStats {
			if !among(pools, c.ClusterName) {
				continue
			}
			attempts := map[string][2]int{}
			sum, begun := sends[c.ClusterName], uint64(0)
			for _, l := range c.UpstreamLocalityStats {
				sum.holds += float64(min(l.TotalRequestsInProgress, countMost))
				begun += min(l.TotalIssuedRequests, countMost)
				n := attempts[l.Locality.GetSubZone()]
				n[0] += int(min(l.TotalSuccessfulRequests, countMost))
				n[1] += int(min(l.TotalErrorRequests, countMost))
				attempts[l.Locality.GetSubZone()] = n
			}
			if passed := c.LoadReportInterval.AsDuration(); passed > 0 {
				sum.rate += float64(begun) / passed.Seconds()
			}
			sends[c.ClusterName] = sum
			r.s.OutcomesReported(c.ClusterName, attempts)
		}
		r.s.sends(own, sends)
	}
}

// sends notes what a subscriber sends; nil: nothing is known of it any more.
func (s *Service) sends(r *reporter, sends map[string]sent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.sends = sends; sends == nil {
		delete(s.loads, r)
	} else {
		s.loads[r] = true
	}
}
