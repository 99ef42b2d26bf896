package server

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/config"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and returns a
// pool that trusts it.
func writeCertificate(t *testing.T, dir string) *x509.CertPool {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:         true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "cert.pem"), certificate, 0o600))
	private := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "key.pem"), private, 0o600))
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(certificate)
	return pool
}

// Guards against these faults: a listener serves without the configured certificate; a
// listener accepts the secret of another listener.
func TestListenersUseTLSAndTheirOwnSecrets(t *testing.T) {
	site := standin.NewSite(standin.SiteConfig{Zones: []string{"z"}})
	defer site.Close()
	dir := t.TempDir()
	pool := writeCertificate(t, dir)
	addresses, err := standin.FreeAddresses(3)
	assert.NilError(t, err)
	text := fmt.Sprintf(`
[router]
id = "r"
zone = "z"
[listen]
callers = %q
peers = %q
admin = %q
tls_cert_file = %q
tls_key_file = %q
[platform]
url = %q
[peers]
secret_env = "X"
[admin]
token_env = "X"
[limits]
withdraw_within = "500ms"
`, addresses[0], addresses[1], addresses[2], filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), site.PlatformServer.URL)
	settings, err := config.Parse("test", []byte(text))
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	started, done := make(chan struct{}), make(chan error, 1)
	go func() {
		done <- Run(ctx, Options{
			Settings: settings,
			Secrets: config.Secrets{
				PlatformToken: standin.SitePlatformToken,
				PeerSecret:    standin.SitePeerSecret,
				AdminToken:    standin.SiteAdminToken,
			},
			Logger:  zap.NewNop(),
			Started: func() { close(started) },
		})
	}()
	<-started
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	defer client.CloseIdleConnections()
	get := func(url, token string) (int, string) {
		request, err := http.NewRequest(http.MethodGet, url, nil)
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer "+token)
		response, err := client.Do(request)
		assert.NilError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		return response.StatusCode, string(body)
	}
	admin, callers := "https://"+addresses[2], "https://"+addresses[0]
	code, _ := get(admin+"/readyz", "")
	assert.Equal(t, code, http.StatusNoContent)
	code, _ = get(admin+"/state", standin.SiteAdminToken)
	assert.Equal(t, code, http.StatusOK)
	for _, wrong := range []string{"", standin.SitePeerSecret, standin.SitePlatformToken} {
		code, _ = get(admin+"/state", wrong)
		assert.Equal(t, code, http.StatusUnauthorized, "token %q", wrong)
	}
	code, body := get(callers+"/services/orders/stock/x", standin.SiteAdminToken)
	assert.Equal(t, code, http.StatusUnauthorized)
	assert.Assert(t, strings.Contains(body, `"not_run":true`), body)
	// A plain HTTP request must not reach the handler.
	response, err := http.Get("http://" + addresses[2] + "/readyz")
	if err == nil {
		response.Body.Close()
		assert.Equal(t, response.StatusCode, http.StatusBadRequest)
	}
	stop()
	assert.NilError(t, <-done)
}
