package engine

import (
	"context"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// newRawServer returns the base URL of an endpoint whose handler writes its responses byte by byte.
func newRawServer(t *testing.T, handler standin.RawHandler) string {
	t.Helper()
	server, err := standin.NewRawServer(handler)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return "http://" + server.Addr()
}

// respondRaw returns a handler that sends the bytes, in which ID stands for the id of the request, and
// closes the connection.
func respondRaw(response string) standin.RawHandler {
	return standin.RespondRaw(response, HeaderRequestID, false)
}

// everyCall are the calls of a client, each of which returns its error.
var everyCall = map[string]func(ctx context.Context, c *Client, url string) error{
	"Do": func(ctx context.Context, c *Client, url string) error {
		_, err := c.Do(ctx, holdCall(url, "r1"))
		return err
	},
	"Completion": func(ctx context.Context, c *Client, url string) error {
		_, err := c.Completion(ctx, chatRequest(url, "r1", 1))
		return err
	},
	"Stream": func(ctx context.Context, c *Client, url string) error {
		stream, err := c.Stream(ctx, chatRequest(url, "r1", 1))
		if err != nil {
			return err
		}
		defer stream.Close()
		for {
			if _, err := stream.Next(); err != nil {
				return ignoreEOF(err)
			}
		}
	},
	"Cancel":   func(ctx context.Context, c *Client, url string) error { return c.Cancel(ctx, url, "r1") },
	"ReadLoad": func(ctx context.Context, c *Client, url string) error { _, err := c.ReadLoad(ctx, url); return err },
	"Order": func(ctx context.Context, c *Client, url string) error {
		_, err := c.Order(ctx, url, api.Order{})
		return err
	},
	"ExportKV": func(ctx context.Context, c *Client, url string) error {
		kv, err := c.ExportKV(ctx, url, "ab")
		if err != nil {
			return err
		}
		defer kv.Close()
		_, err = io.Copy(io.Discard, kv.body)
		return err
	},
	"ImportKV": func(ctx context.Context, c *Client, url string) error {
		kv := &KVExport{Size: 4, body: io.NopCloser(strings.NewReader("data"))}
		return c.ImportKV(ctx, url, "ab", kv, nil)
	},
}

// ignoreEOF returns nil for the end of a whole stream.
func ignoreEOF(err error) error {
	if err == io.EOF { //nolint:errorlint // a cut stream wraps io.EOF
		return nil
	}
	return err
}
