package bootstrap

import (
	"fmt"
	"net/netip"

	"lockloom/internal/settings"
)

// checkSettings returns an error, which names the key, if settings contradict one another or require what this program
// does not support.
func checkSettings(deployment settings.Settings, values map[string]string, fleet Fleet) error {
	for _, err := range []error{
		checkSidecar(deployment, values),
		checkProxyNumber(deployment),
		checkStreams(deployment.StreamsPerConnection),
		checkGossip(deployment, fleet),
		checkPeers(deployment, fleet.Peers),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}

// checkSidecar rejects, for a sidecar (KindOfService mesh), settings that only proxies that clients share support, and
// a zone that is not among the settings' zones.
func checkSidecar(deployment settings.Settings, values map[string]string) error {
	switch {
	case !deployment.Sidecar:
		return nil
	case values["Feedback.Via"] == "inline":
		return keyError("Feedback.Via", "inline is not supported if KindOfService is mesh")
	case deployment.CacheAffinity:
		return keyError("FamilyInfo.WarmKeys", "true is not supported if KindOfService is mesh")
	case deployment.Zone < 0:
		return keyError("Zone", "not among Zones: %q", values["Zone"])
	}
	return nil
}

func checkProxyNumber(deployment settings.Settings) error {
	if deployment.Gossip && (deployment.ProxyIndex < 0 || deployment.ProxyIndex >= deployment.Proxies) {
		return keyError("SlotNo", "%d: out of range for a fleet of %d proxies", deployment.ProxyIndex, deployment.Proxies)
	}
	return nil
}

func checkStreams(perConnection int) error {
	switch {
	case perConnection < 1:
		return keyError("Ceilings.StreamsPerConn", "must be at least 1")
	case perConnection > 1:
		return keyError("Ceilings.StreamsPerConn", "%d: this program sends one request at a time on a connection",
			perConnection)
	}
	return nil
}

func checkGossip(deployment settings.Settings, fleet Fleet) error {
	if !deployment.Gossip {
		if fleet.Listen != "" || len(fleet.Peers) > 0 {
			return keyError("Ceilings.PeerMessages", "not true, but peers are listed")
		}
		return nil
	}
	// Not checkAddress, which accepts a host name: a host name would be rejected only when the socket is opened.
	if _, err := netip.ParseAddrPort(fleet.Listen); err != nil {
		return keyError("Ceilings.PeerMessages", "true, but peers.listen is not an IP address with a port: %q", fleet.Listen)
	}
	if len(fleet.Peers) == 0 && deployment.Proxies > 1 {
		return keyError("Ceilings.PeerMessages", "true, but peers.peers is empty")
	}
	return nil
}

func checkPeers(deployment settings.Settings, peers map[int]string) error {
	for number, addr := range peers {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return fmt.Errorf("peers.peers: proxy %d: %w", number, err)
		}
		if number == deployment.ProxyIndex || number < 0 || number >= deployment.Proxies {
			return fmt.Errorf("peers.peers: %d: not the number of another proxy in a fleet of %d", number, deployment.Proxies)
		}
	}
	return nil
}

// keyError returns an error about a setting, whose text starts with the setting's published key.
func keyError(key, format string, args ...any) error {
	return fmt.Errorf("%s: %s", key, fmt.Sprintf(format, args...))
}
