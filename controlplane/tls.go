package controlplane

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
)

// credentials are the service's own certificate and the authority that its subscribers' are of. Loaded again they hold for new connections;
// streams that there are go on.
type keys struct {
	certificate, key, authority string
	now                         atomic.Pointer[tls.Config]
}

func (k *keys) load() error {
	pair, err := tls.LoadX509KeyPair(k.certificate, k.key)
	if err != nil {
		return fmt.Errorf("control: certificate and key: %w", err)
	}
	text, err := os.ReadFile(k.authority)
	if err != nil {
		return fmt.Errorf("control: authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return errors.New("control: authority: " + k.authority + ": no certificate in it")
	}
	k.now.Store(&tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"}, Certificates: []tls.Certificate{pair},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool})
	return nil
}

func (k *keys) config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return k.now.Load(), nil }}
}

// namesOf are the names in a subscriber's certificate, which was verified.
func namesOf(ctx context.Context) (names []string) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return nil
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.VerifiedChains) == 0 {
		return nil
	}
	own := info.State.VerifiedChains[0][0]
	for _, u := range own.URIs {
		names = append(names, u.String())
	}
	return append(names, own.DNSNames...)
}
