package localfleet_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/httpcheck"
	"github.com/hornbeamproxy/hornbeamproxy/localfleet"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// Guards against a demo or measure that counts a malformed response as a router's answer.
func TestClientRejectsMalformedResponses(t *testing.T) {
	fleet, err := localfleet.Start(localfleet.Options{Site: standin.NewSite(standin.SiteConfig{})})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, fleet.Close()) }()
	for _, head := range []string{"HTTP/1.1 000 X", "HTTP/1.1 101 X", "HTTP/1.1 200 OK\r\nX Bad: 1", "HTTP/1.1 200 OK\r\nContent-Length : 9"} {
		server, err := standin.NewRawServer(standin.RespondRaw(head+"\r\n\r\nhello", "", false))
		assert.NilError(t, err)
		response, err := fleet.Client.Get("http://" + server.Addr())
		if err == nil {
			_ = response.Body.Close()
		}
		assert.ErrorIs(t, err, httpcheck.ErrMalformed, "%q", head)
		server.Close()
	}
}
