package controlplane

import (
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	route "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"lockloom/internal/config"
)

// resourceType is one of the xDS resource types that the service sends.
type resourceType int

// The resource types, in the order in which new resources are sent: clusters and endpoints before the listeners and
// routes that refer to them.
const (
	typeCluster resourceType = iota
	typeEndpoint
	typeListener
	typeRoute
	typeCount
)

// typeURLs are the names of the types in the protocol.
var typeURLs = [typeCount]string{
	"type.googleapis.com/envoy.config.cluster.v3.Cluster",
	"type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
	"type.googleapis.com/envoy.config.listener.v3.Listener",
	"type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
}

// typeNames are the names of the types on the status page.
var typeNames = [typeCount]string{"clusters", "endpoints", "listeners", "routes"}

func (t resourceType) url() string { return typeURLs[t] }

func (t resourceType) String() string { return typeNames[t] }

// parseTypeURL returns the type with that URL, or false if the service does not send such a type.
func parseTypeURL(url string) (resourceType, bool) {
	i := slices.Index(typeURLs[:], url)
	return resourceType(i), i >= 0
}

// hasFullState reports whether, in the state-of-the-world protocol, responses contain all resources of the type.
func (t resourceType) hasFullState() bool { return t == typeCluster || t == typeListener }

const (
	allRoutesName   = "routes" // name of the route table with all hosts
	poolPrefix      = "pool/"  // prefix of the names of the listener and the route table that are for one pool only
	partsPerMillion = 1_000_000
)

// adsSource has a subscriber fetch the resources that another one refers to over its existing ADS stream.
func adsSource() *core.ConfigSource {
	return &core.ConfigSource{
		ResourceApiVersion:    core.ApiVersion_V3,
		ConfigSourceSpecifier: &core.ConfigSource_Ads{Ads: &core.AggregatedConfigSource{}},
	}
}

// resource is one resource that subscribers receive. It is immutable. Its version depends on its content only, so every
// run of the service gives the same content the same version.
type resource struct {
	name, version string
	onDemand      bool // sent only to subscribers that name it; the wildcard does not include it
	body          *anypb.Any
}

// resourceSet holds resources of all types by name. It is immutable once it is published.
type resourceSet [typeCount]map[string]*resource

// add encodes a message and adds it to the set as a resource.
func (s *resourceSet) add(kind resourceType, name string, onDemand bool, message proto.Message) error {
	body, err := anypb.New(message)
	if err != nil {
		return fmt.Errorf("resource %q: %w", name, err)
	}
	// The version is a hash of the bytes, so the same message must always give the same bytes.
	body.Value, err = proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return fmt.Errorf("resource %q: %w", name, err)
	}
	hash := fnv.New64a()
	hash.Write(body.Value)
	if s[kind] == nil {
		s[kind] = map[string]*resource{}
	}
	s[kind][name] = &resource{
		name:     name,
		version:  strconv.FormatUint(hash.Sum64(), 16),
		onDemand: onDemand,
		body:     body,
	}
	return nil
}

// staticResources returns the resources that are derived from the configuration alone: clusters, listeners and routes.
// It also returns a warning for each setting that is not sent to subscribers, and an error for settings that cannot be
// expressed in xDS.
func staticResources(c *config.Config) (resources resourceSet, warnings []string, err error) {
	var errs []error
	for i := range c.Pools {
		pool := &c.Pools[i]
		errs = append(errs, resources.addPool(pool.Name))
		if pool.Capacity > 0 {
			warnings = append(warnings,
				fmt.Sprintf("pool %q: room is not sent to subscribers: each of them would use the whole of it", pool.Name))
		}
	}
	translator := &routeTranslator{config: c}
	hosts, err := translator.virtualHosts()
	table := &route.RouteConfiguration{Name: allRoutesName, VirtualHosts: hosts}
	errs = append(errs, err, resources.add(typeRoute, allRoutesName, false, table), resources.addHostListeners(hosts))
	for i := range c.Listeners {
		errs = append(errs, resources.addListener(c.Listeners[i].Address))
	}
	return resources, append(warnings, translator.warnings...), errors.Join(errs...)
}

// addPool adds the cluster of a pool, and a listener and a route table that are for this pool only.
func (s *resourceSet) addPool(pool string) error {
	name := poolPrefix + pool
	return errors.Join(
		s.add(typeCluster, pool, false, poolCluster(pool)),
		s.add(typeListener, name, true, apiListener(name)),
		s.add(typeRoute, name, false, poolRouteTable(name, pool)),
	)
}

// restrictToPools returns a copy of the static resources (see staticResources) without the clusters, listeners and
// routes of the pools that are not listed, for a subscriber that receives only the listed pools.
func restrictToPools(all resourceSet, pools []string) resourceSet {
	var restricted resourceSet
	for kind := range all {
		restricted[kind] = maps.Clone(all[kind])
	}
	for name := range all[typeCluster] {
		if !slices.Contains(pools, name) {
			delete(restricted[typeCluster], name)
			delete(restricted[typeListener], poolPrefix+name)
			delete(restricted[typeRoute], poolPrefix+name)
		}
	}
	routes := all[typeRoute][allRoutesName]
	if routes == nil {
		return restricted
	}
	if table := restrictRoutes(routes.body, pools); table != nil {
		// The error is ignored: the table was decoded from bytes that add encoded before, so it can be encoded again.
		_ = restricted.add(typeRoute, allRoutesName, routes.onDemand, table)
	}
	return restricted
}
