package demo

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/arbutusmill/arbutusmill/standin"
	"github.com/stretchr/testify/require"
)

// writeCertificates creates a certificate authority and one certificate for all processes.
func writeCertificates(t *testing.T) settings.MutualTLS {
	dir := t.TempDir()
	caKey, ca := certificate(t, nil, nil, true)
	key, leaf := certificate(t, ca, caKey, false)
	der, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	m := settings.MutualTLS{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	writePEM(t, m.CA, "CERTIFICATE", ca.Raw)
	writePEM(t, m.Cert, "CERTIFICATE", leaf.Raw)
	writePEM(t, m.Key, "EC PRIVATE KEY", der)
	return m
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func certificate(t *testing.T, parent *x509.Certificate, parentKey *ecdsa.PrivateKey, isCA bool) (*ecdsa.PrivateKey, *x509.Certificate) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: isCA, BasicConstraintsValid: isCA,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	require.NoError(t, err)
	c, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return key, c
}

// With mutual TLS, processes must exchange requests, charges and control messages, and a
// client without a certificate must reach neither an agent's upstream nor a link.
func TestMutualTLS(t *testing.T) {
	m := writeCertificates(t)
	f := startFleet(t, Options{Routers: 1, Engines: 1, Engine: standin.DefaultEngineOptions(), Tune: func(s *settings.Settings) {
		s.Security = settings.Security{Processes: m}
	}})
	a := f.chat("bergen-router-1", "tls", http.DefaultClient)
	require.True(t, a.complete(), "%d %s", a.status, a.body)
	total, err := f.waitForCharges(t.Context(), map[string]int64{pilotsBudget: 1})
	require.NoError(t, err)
	require.Positive(t, total[pilotsBudget])
	for _, m := range f.fleet.VMs {
		for _, addr := range []string{m.Link, m.Work} {
			if addr == "" {
				continue
			}
			conn, err := tls.Dial("tcp", addr, &tls.Config{InsecureSkipVerify: true})
			if err == nil { // in TLS 1.3 a client gets the error only when it reads
				_, err = conn.Read(make([]byte, 1))
				_ = conn.Close()
			}
			require.ErrorContains(t, err, "certificate required", addr)
		}
	}
}

// With a certificate for callers, a router must reject plain HTTP, so that API keys and
// responses are only sent over TLS.
func TestCallersTLS(t *testing.T) {
	m := writeCertificates(t)
	f := startFleet(t, Options{Datacentres: []string{"bergen"}, Routers: 1, Engines: 1, Engine: standin.DefaultEngineOptions(),
		Tune: func(s *settings.Settings) {
			if s.Role == settings.RoleRouter {
				s.Security.Callers = settings.KeyPair{Cert: m.Cert, Key: m.Key}
			}
		}})
	ca, err := os.ReadFile(m.CA)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	require.True(t, pool.AppendCertsFromPEM(ca))
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	for scheme, want := range map[string]int{"https": http.StatusOK, "http": http.StatusBadRequest} {
		req, err := http.NewRequest(http.MethodGet, scheme+"://"+f.fleet.CallerAddresses["bergen-router-1"]+"/v1/models", nil)
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+f.keys[pilots])
		resp, err := client.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, want, resp.StatusCode, scheme)
	}
}
