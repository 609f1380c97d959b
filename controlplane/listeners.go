package controlplane

import (
	"errors"
	"net"
	"strconv"
	"strings"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	listener "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	route "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	router "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/router/v3"
	manager "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// listenerPrefix begins the names of listeners that accept connections; the address follows it.
const listenerPrefix = "listener/"

// addListener adds the listener on which a subscribing proxy accepts connections at an address.
func (s *resourceSet) addListener(addr string) error {
	address, err := parseAddress(addr)
	if err != nil {
		return err
	}
	httpManager, err := anypb.New(connectionManager(allRoutesName))
	if err != nil {
		return err
	}
	name := listenerPrefix + addr
	return s.add(typeListener, name, false, &listener.Listener{
		Name:    name,
		Address: address,
		FilterChains: []*listener.FilterChain{{
			Filters: []*listener.Filter{{
				Name:       "http",
				ConfigType: &listener.Filter_TypedConfig{TypedConfig: httpManager},
			}},
		}},
	})
}

// addHostListeners adds a listener for each host without a wildcard, for clients that are not proxies.
func (s *resourceSet) addHostListeners(hosts []*route.VirtualHost) error {
	var errs []error
	for _, host := range hosts {
		for _, domain := range host.Domains {
			if !strings.Contains(domain, "*") {
				errs = append(errs, s.add(typeListener, domain, true, apiListener(allRoutesName)))
			}
		}
	}
	return errors.Join(errs...)
}

// apiListener returns the listener of a client that is not a proxy: a gRPC client that dials xds:///NAME requests the
// listener NAME, and uses the route table that the listener refers to.
func apiListener(routeTable string) *listener.Listener {
	httpManager, _ := anypb.New(connectionManager(routeTable)) // a message made of constants can be encoded
	return &listener.Listener{Name: routeTable, ApiListener: &listener.ApiListener{ApiListener: httpManager}}
}

// connectionManager returns the HTTP settings of a listener.
func connectionManager(routeTable string) *manager.HttpConnectionManager {
	routerFilter, _ := anypb.New(&router.Router{}) // an empty message can be encoded
	return &manager.HttpConnectionManager{
		StatPrefix:    "lockloom",
		NormalizePath: wrapperspb.Bool(true),
		MergeSlashes:  true,
		StripPortMode: &manager.HttpConnectionManager_StripAnyHostPort{StripAnyHostPort: true},
		RouteSpecifier: &manager.HttpConnectionManager_Rds{Rds: &manager.Rds{
			ConfigSource:    adsSource(),
			RouteConfigName: routeTable,
		}},
		HttpFilters: []*manager.HttpFilter{{
			Name:       "router",
			ConfigType: &manager.HttpFilter_TypedConfig{TypedConfig: routerFilter},
		}},
	}
}

// parseAddress parses an address HOST:PORT.
func parseAddress(addr string) (*core.Address, error) {
	host, portText, splitErr := net.SplitHostPort(addr)
	port, portErr := strconv.ParseUint(portText, 10, 16)
	if err := errors.Join(splitErr, portErr); err != nil {
		return nil, err
	}
	return &core.Address{Address: &core.Address_SocketAddress{SocketAddress: &core.SocketAddress{
		Address:       host,
		PortSpecifier: &core.SocketAddress_PortValue{PortValue: uint32(port)},
	}}}, nil
}
