package controlplane

import (
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	percent "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"lockloom/assignment"
)

const (
	// dropCategory is the category of requests that subscribers drop because all servers are in slow start.
	dropCategory = "cold"
	// overprovisioningFactor is Envoy's default, in percent: if less than 100/140 of the servers of a priority are
	// healthy, some of its requests go to the next priority.
	overprovisioningFactor = 140
)

var healthStatuses = [...]core.HealthStatus{
	assignment.Healthy:   core.HealthStatus_HEALTHY,
	assignment.Unhealthy: core.HealthStatus_UNHEALTHY,
	assignment.Draining:  core.HealthStatus_DRAINING,
}

// loadAssignment returns the endpoints of a pool from its assignment, followed by those of its backups.
func loadAssignment(pool string, assignments []assignment.Assignment) *endpoint.ClusterLoadAssignment {
	message := &endpoint.ClusterLoadAssignment{
		ClusterName: pool,
		Policy: &endpoint.ClusterLoadAssignment_Policy{
			OverprovisioningFactor: wrapperspb.UInt32(overprovisioningFactor),
		},
	}
	firstPriority := uint32(0)
	for i := range assignments {
		localities, priorities := localitiesOf(&assignments[i], firstPriority)
		message.Endpoints = append(message.Endpoints, localities...)
		firstPriority += priorities
	}
	if len(assignments) > 0 && assignments[0].Drop > 0 {
		message.Policy.DropOverloads = dropPolicy(assignments[0].Drop)
	}
	return message
}

// localitiesOf returns the servers of an assignment, each as a locality whose sub-zone is the server's name. Every
// subscriber supports weights of localities, and it reports load by locality, hence by server. It also returns the
// number of priorities, because those of the next assignment must follow without a gap.
func localitiesOf(a *assignment.Assignment, firstPriority uint32) ([]*endpoint.LocalityLbEndpoints, uint32) {
	var localities []*endpoint.LocalityLbEndpoints
	lastPriority := -1
	for i := range a.Servers {
		server := &a.Servers[i]
		address, err := parseAddress(server.Addr)
		if err != nil { // not expected: package discovery rejects such addresses
			continue
		}
		lastPriority = max(lastPriority, server.Priority)
		localities = append(localities, locality(server, address, firstPriority+uint32(server.Priority)))
	}
	return localities, uint32(lastPriority + 1)
}

func locality(server *assignment.Server, address *core.Address, priority uint32) *endpoint.LocalityLbEndpoints {
	message := &endpoint.LocalityLbEndpoints{
		Locality: &core.Locality{Zone: server.Zone, SubZone: server.Name},
		Priority: priority,
		LbEndpoints: []*endpoint.LbEndpoint{{
			HealthStatus: healthStatuses[server.Health],
			HostIdentifier: &endpoint.LbEndpoint_Endpoint{
				Endpoint: &endpoint.Endpoint{Address: address},
			},
		}},
	}
	if server.Health == assignment.Healthy { // without a weight a locality receives no requests
		message.LoadBalancingWeight = wrapperspb.UInt32(uint32(server.Weight))
	}
	return message
}

// dropPolicy has subscribers drop a fraction, from 0 to 1, of their requests.
func dropPolicy(fraction float64) []*endpoint.ClusterLoadAssignment_Policy_DropOverload {
	return []*endpoint.ClusterLoadAssignment_Policy_DropOverload{{
		Category: dropCategory,
		DropPercentage: &percent.FractionalPercent{
			Numerator:   uint32(fraction * partsPerMillion),
			Denominator: percent.FractionalPercent_MILLION,
		},
	}}
}
