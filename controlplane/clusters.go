package controlplane

import (
	"time"

	cluster "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	percent "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/durationpb"
)

// connectTimeout is how long a subscriber waits for a connection to a server.
const connectTimeout = time.Second

// poolCluster returns the cluster of a pool. Its endpoints are a separate resource, and subscribers report the load of
// the cluster to this service.
func poolCluster(pool string) *cluster.Cluster {
	loadReports := &core.ConfigSource{
		ResourceApiVersion:    core.ApiVersion_V3,
		ConfigSourceSpecifier: &core.ConfigSource_Self{Self: &core.SelfConfigSource{}},
	}
	return &cluster.Cluster{
		Name:                 pool,
		ClusterDiscoveryType: &cluster.Cluster_Type{Type: cluster.Cluster_EDS},
		EdsClusterConfig:     &cluster.Cluster_EdsClusterConfig{EdsConfig: adsSource()},
		ConnectTimeout:       durationpb.New(connectTimeout),
		LbPolicy:             cluster.Cluster_ROUND_ROBIN,
		CommonLbConfig: &cluster.Cluster_CommonLbConfig{
			// Above zero, a subscriber would send to draining servers once half of the servers are unavailable.
			HealthyPanicThreshold: &percent.Percent{},
			LocalityConfigSpecifier: &cluster.Cluster_CommonLbConfig_LocalityWeightedLbConfig_{
				LocalityWeightedLbConfig: &cluster.Cluster_CommonLbConfig_LocalityWeightedLbConfig{},
			},
		},
		LrsServer: loadReports,
	}
}
