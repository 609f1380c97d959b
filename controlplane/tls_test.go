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

// authority makes certificates in a folder.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.cert, a.key = a.make("authority", nil)
	return a
}

// make writes a certificate of a name and its key.
func (a *authority) make(name string, by *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	of := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: by == nil, BasicConstraintsValid: true}
	parent, signer := of, key
	if by != nil {
		parent, signer = by.cert, by.key
	}
	der, err := x509.CreateCertificate(rand.Reader, of, parent, &key.PublicKey, signer)
	require.NoError(a.t, err)
	own, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	for file, block := range map[string]*pem.Block{name + ".pem": {Type: "CERTIFICATE", Bytes: der}, name + ".key": {Type: "EC PRIVATE KEY", Bytes: own}} {
		require.NoError(a.t, os.WriteFile(filepath.Join(a.dir, file), pem.EncodeToMemory(block), 0o600))
	}
	cert, err := x509.ParseCertificate(der)
	require.NoError(a.t, err)
	return cert, key
}

// credentials are a subscriber's.
func (a *authority) keys(name string) credentials.TransportCredentials {
	a.make(name, a)
	pair, err := tls.LoadX509KeyPair(filepath.Join(a.dir, name+".pem"), filepath.Join(a.dir, name+".key"))
	require.NoError(a.t, err)
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return credentials.NewTLS(&tls.Config{RootCAs: pool, Certificates: []tls.Certificate{pair}})
}

// Who subscribes is known by its certificate, and sees what it may. Keys may change under streams that go on.
func TestCertificatesDecideVisiblePoolsAndReload(t *testing.T) {
	a := newAuthority(t)
	a.make("control", a)
	file := func(name string) string { return filepath.Join(a.dir, name) }
	k := startService(t, configText(fmt.Sprintf("certificate = %q\nkey = %q\nauthority = %q\n[[control.allow]]\nname = \"edge-*\"\npools = [\"q\"]\n[[control.allow]]\nname = \"all\"\n",
		file("control.pem"), file("control.key"), file("authority.pem"))+secondPool), 2)
	k.mu.Lock()
	k.observations["q"] = observationOf(2)
	k.mu.Unlock()
	k.observe()
	both := []string{"p", "q"}
	all := k.subscribe(subscriberOptions{delta: true, pools: both, credentials: a.keys("all")})
	all.waitUntil(3*time.Second, "sees both", func() bool { return len(all.resources[typeURLs[typeEndpoint]]) == 2 })
	edge := k.subscribe(subscriberOptions{delta: true, pools: both, credentials: a.keys("edge-7")})
	edge.waitUntil(3*time.Second, "sees what it may", edge.isComplete)
	time.Sleep(100 * time.Millisecond)
	edge.mu.Lock()
	assert.Len(t, edge.resources[typeURLs[typeEndpoint]], 1)
	assert.Contains(t, edge.resources[typeURLs[typeCluster]], "q")
	assert.NotContains(t, fmt.Sprint(edge.resources[typeURLs[typeRoute]]), `cluster:"p"`)
	edge.mu.Unlock()
	for what, keys := range map[string]credentials.TransportCredentials{"not allowed": a.keys("else"), "of another authority": newAuthority(t).keys("all"), "without": nil} {
		s := k.subscribe(subscriberOptions{credentials: keys})
		<-s.done
		assert.Error(t, s.err, what)
	}
	served := func() string {
		c, err := tls.Dial("tcp", k.addr, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}}) // to look at the certificate
		require.NoError(t, err)
		defer c.Close()
		return c.ConnectionState().PeerCertificates[0].SerialNumber.String()
	}
	before := served()
	a.make("control", a)
	require.NoError(t, k.Reload(k.config))
	assert.NotEqual(t, before, served())
	k.drain(0)
	all.waitUntil(maxDrainDelay, "goes on", all.hasHealth("s0", core.HealthStatus_DRAINING))
	require.NoError(t, os.WriteFile(file("control.key"), []byte("no key"), 0o600))
	assert.ErrorContains(t, k.Reload(k.config), "certificate and key")
	assert.NotEqual(t, before, served(), "what held before still holds")
}
