package httpcheck

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// Guards against a malformed response that is returned, and against a sound one that is not.
func TestTransport(t *testing.T) {
	base := &http.Transport{}
	defer Transport{Base: base}.CloseIdleConnections()
	for head, sound := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                           true,
		"HTTP/1.1 200 OK\r\nx-a_b.c~1: a  b\tc\r\n\r\nok":                          true,
		"HTTP/1.1 299\r\n\r\nok":                                                   true,
		"HTTP/1.1 599 X\r\n\r\nok":                                                 true,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 X\r\n\r\n":                      true,
		"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok":                            false,
		"HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok":                            false,
		"HTTP/1.1 101 X\r\nUpgrade: a\r\nConnection: Upgrade\r\n\r\nok":            false,
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok":                          false,
		"HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok":                 false,
		"HTTP/1.1 500 OK\r\nX-Y : 1\r\nX-Y: 1\r\nContent-Length: 2\r\n\r\nok":      false,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n": false,
	} {
		server, err := standin.NewRawServer(standin.RespondRaw(head, "", false))
		assert.NilError(t, err)
		request, err := http.NewRequest(http.MethodGet, "http://"+server.Addr(), nil)
		assert.NilError(t, err)
		response, err := Transport{Base: base}.RoundTrip(request)
		if err == nil {
			_ = response.Body.Close()
		}
		server.Close()
		if sound {
			assert.NilError(t, err, "%q", head)
		} else {
			assert.ErrorIs(t, err, ErrMalformed, "%q", head)
		}
	}
}

// Guards against a switch of protocols that is rejected although the request asked for it.
func TestTransportAllowsUpgrade(t *testing.T) {
	server, err := standin.NewRawServer(standin.RespondRaw("HTTP/1.1 101 X\r\nUpgrade: a\r\nConnection: Upgrade\r\n\r\nok", "", false))
	assert.NilError(t, err)
	defer server.Close()
	request, err := http.NewRequest(http.MethodGet, "http://"+server.Addr(), nil)
	assert.NilError(t, err)
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", "a")
	response, err := Transport{Base: &http.Transport{}}.RoundTrip(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "ok")
}
