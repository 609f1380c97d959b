package bootstrap

import (
	"fmt"
	"net/netip"

	"lockloom/internal/settings"
)

// checkSettings rejects settings that contradict one another, or ask for what this program does not do, by their key.
func checkSettings(deployment settings.Settings, values map[string]string, fleet Fleet) error {
	for _, err := range []error{
		checkSidecar(deployment, values),
		checkNumber(deployment),
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

// checkSidecar checks what only proxies that clients share support (KindOfService other than mesh).
func checkSidecar(deployment settings.Settings, values map[string]string) error {
	switch {
	case !deployment.Sidecar:
		return nil
	case values["Feedback.Via"] == "inline":
		return keyError("Feedback.Via", "inline, but KindOfService is mesh")
	case deployment.CacheAffinity:
		return keyError("FamilyInfo.WarmKeys", "true, but KindOfService is mesh")
	case deployment.Zone < 0:
		return keyError("Zone", "not among Zones: %q", values["Zone"])
	}
	return nil
}

func checkNumber(deployment settings.Settings) error {
	if deployment.Gossip && (deployment.Self < 0 || deployment.Self >= deployment.Proxies) {
		return keyError("SlotNo", "%d: no number of a proxy of %d", deployment.Self, deployment.Proxies)
	}
	return nil
}

func checkStreams(perConnection int) error {
	switch {
	case perConnection < 1:
		return keyError("Ceilings.StreamsPerConn", "under 1")
	case perConnection > 1:
		return keyError("Ceilings.StreamsPerConn", "%d: this program sends one request at a time on a connection",
			perConnection)
	}
	return nil
}

func checkGossip(deployment settings.Settings, fleet Fleet) error {
	if !deployment.Gossip {
		if fleet.Listen != "" || len(fleet.Peers) > 0 {
			return keyError("Ceilings.PeerMessages", "not true, but there are peers")
		}
		return nil
	}
	// A host name would pass other checks of addresses, and be rejected only when the socket is opened.
	if _, err := netip.ParseAddrPort(fleet.Listen); err != nil {
		return keyError("Ceilings.PeerMessages", "true, but peers.listen is no address: %q", fleet.Listen)
	}
	if len(fleet.Peers) == 0 && deployment.Proxies > 1 {
		return keyError("Ceilings.PeerMessages", "true, but peers.peers has none")
	}
	return nil
}

func checkPeers(deployment settings.Settings, peers map[int]string) error {
	for number, addr := range peers {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return fmt.Errorf("peers.peers: %d: %w", number, err)
		}
		if number == deployment.Self || number < 0 || number >= deployment.Proxies {
			return fmt.Errorf("peers.peers: %d: no other proxy's number of %d", number, deployment.Proxies)
		}
	}
	return nil
}

// keyError says what is wrong with a setting, after its published key.
func keyError(key, format string, args ...any) error {
	return fmt.Errorf("%s: %s", key, fmt.Sprintf(format, args...))
}
