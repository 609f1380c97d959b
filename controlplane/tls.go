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

// certificates holds the service's certificate and key, and the certificate authority of the subscribers. Certificates
// that are loaded again apply to new connections; existing streams continue.
type certificates struct {
	certificateFile, keyFile, authorityFile string // PEM

	current atomic.Pointer[tls.Config]
}

// load reads the files. After an error the previous certificates stay in effect.
func (c *certificates) load() error {
	pair, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("control: certificate and key: %w", err)
	}
	pem, err := os.ReadFile(c.authorityFile)
	if err != nil {
		return fmt.Errorf("control: authority: cannot read the certificates of the authority: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return errors.New("control: authority: " + c.authorityFile + ": no valid PEM certificate in this file")
	}
	c.current.Store(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2"},
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authorities,
	})
	return nil
}

// tlsConfig returns a configuration with which each new connection uses the certificates loaded last.
func (c *certificates) tlsConfig() *tls.Config {
	current := func(*tls.ClientHelloInfo) (*tls.Config, error) { return c.current.Load(), nil }
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: current}
}

// certificateNames returns the URIs and DNS names in the verified certificate of a stream's subscriber.
func certificateNames(ctx context.Context) (names []string) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return nil
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.VerifiedChains) == 0 {
		return nil
	}
	leaf := info.State.VerifiedChains[0][0]
	for _, uri := range leaf.URIs {
		names = append(names, uri.String())
	}
	return append(names, leaf.DNSNames...)
}
