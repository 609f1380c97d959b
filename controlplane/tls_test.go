package controlplane

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/credentials"
)

// authority issues certificates in a folder.
type authority struct {
	t           *testing.T
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	a.certificate, a.key = a.issue("authority", nil)
	return a
}

// file returns the path of a file in the folder.
func (a *authority) file(name string) string { return filepath.Join(a.dir, name) }

// issue writes a certificate for a name, and its key. If issuer is nil, the certificate is self-signed and that of an
// authority.
func (a *authority) issue(name string, issuer *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(time.Now().UnixNano()),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		DNSNames:              []string{name},
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  issuer == nil,
		BasicConstraintsValid: true,
	}
	parent, signer := template, key
	if issuer != nil {
		parent, signer = issuer.certificate, issuer.key
	}
	certificateDER, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	a.writePEM(name+".pem", "CERTIFICATE", certificateDER)
	a.writePEM(name+".key", "EC PRIVATE KEY", keyDER)
	certificate, err := x509.ParseCertificate(certificateDER)
	require.NoError(a.t, err)
	return certificate, key
}

func (a *authority) writePEM(name, kind string, der []byte) {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	require.NoError(a.t, os.WriteFile(a.file(name), text, 0o600))
}

// credentials returns the credentials of a subscriber whose certificate contains a name.
func (a *authority) credentials(name string) credentials.TransportCredentials {
	a.issue(name, a)
	pair, err := tls.LoadX509KeyPair(a.file(name+".pem"), a.file(name+".key"))
	require.NoError(a.t, err)
	authorities := x509.NewCertPool()
	authorities.AddCert(a.certificate)
	return credentials.NewTLS(&tls.Config{RootCAs: authorities, Certificates: []tls.Certificate{pair}})
}

const allowSettings = `certificate = %q
key = %q
authority = %q
[[control.allow]]
name = "edge-*"
pools = ["q"]
[[control.allow]]
name = "all"
`

// A subscriber is identified by its certificate, which decides which pools it receives. Reloading the service's
// certificates does not end streams.
func TestCertificatesDecideVisiblePoolsAndReload(t *testing.T) {
	a := newAuthority(t)
	a.issue("control", a)
	settings := fmt.Sprintf(allowSettings, a.file("control.pem"), a.file("control.key"), a.file("authority.pem"))
	service := startService(t, configText(settings)+secondPool, 2)
	service.setSecondPool(observationOf(2))
	service.observe()
	both := []string{"p", "q"}
	all := service.subscribe(subscriberOptions{delta: true, pools: both, credentials: a.credentials("all")})
	all.waitUntil(startTimeout, "has both pools", func() bool {
		return len(all.resources[typeURLs[typeEndpoint]]) == 2
	})
	edge := service.subscribe(subscriberOptions{delta: true, pools: both, credentials: a.credentials("edge-7")})
	edge.waitUntil(startTimeout, "has the pool that it is allowed to receive", edge.isComplete)
	time.Sleep(100 * time.Millisecond)
	edge.mu.Lock()
	assert.Len(t, edge.resources[typeURLs[typeEndpoint]], 1)
	assert.Contains(t, edge.resources[typeURLs[typeCluster]], "q")
	assert.NotContains(t, fmt.Sprint(edge.resources[typeURLs[typeRoute]]), `cluster:"p"`)
	edge.mu.Unlock()
	for kind, credentials := range map[string]credentials.TransportCredentials{
		"not allowed":          a.credentials("else"),
		"of another authority": newAuthority(t).credentials("all"),
		"without":              nil,
	} {
		subscriber := service.subscribe(subscriberOptions{credentials: credentials})
		<-subscriber.done
		assert.Error(t, subscriber.err, kind)
	}
	before := servedSerial(t, service.addr)
	a.issue("control", a)
	require.NoError(t, service.Reload(service.config))
	assert.NotEqual(t, before, servedSerial(t, service.addr))
	service.drain(0)
	all.waitUntil(maxDrainDelay, "still receives changes", all.hasHealth("s0", core.HealthStatus_DRAINING))
	require.NoError(t, os.WriteFile(a.file("control.key"), []byte("no key"), 0o600))
	assert.ErrorContains(t, service.Reload(service.config), "certificate and key")
	assert.NotEqual(t, before, servedSerial(t, service.addr), "the last valid certificate stays in effect")
}

// servedSerial returns the serial number of the certificate that a server presents.
func servedSerial(t *testing.T, addr string) string {
	t.Helper()
	// No verification: the certificate is only read.
	conn, err := tls.Dial("tcp", addr, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}})
	require.NoError(t, err)
	serial := conn.ConnectionState().PeerCertificates[0].SerialNumber.String()
	require.NoError(t, conn.Close())
	return serial
}
