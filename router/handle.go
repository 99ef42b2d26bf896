package router

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/engine"
)

// handleTagBytes is the length of the tag that binds a stream handle to its
// workspace.
const handleTagBytes = 16

// streamHandle names a running stream for a caller that reconnects:
// <endpoint>~<request id>~<tag>.
func (r *Router) streamHandle(ch *chat, at *placed) string {
	return at.endpoint.ID + "~" + ch.id + "~" + r.handleTag(ch.workspace.ID, at.endpoint.ID, ch.id)
}

func (r *Router) handleTag(workspace, endpoint, id string) string {
	mac := hmac.New(sha256.New, r.handleKey)
	_, _ = fmt.Fprintf(mac, "stream\x00%s\x00%s\x00%s", workspace, endpoint, id)
	return hex.EncodeToString(mac.Sum(nil)[:handleTagBytes])
}

func (r *Router) parseHandle(workspace, handle string) (endpoint, id string, ok bool) {
	parts := strings.Split(handle, "~")
	if len(parts) != 3 {
		return "", "", false
	}
	want := r.handleTag(workspace, parts[0], parts[1])
	return parts[0], parts[1], hmac.Equal([]byte(want), []byte(parts[2]))
}

// serveStream handles GET /v1/streams/{handle}: a caller that comes back, to
// any router, gets the events after the one in Last-Event-ID for as long as the
// endpoint keeps the stream.
func (r *Router) serveStream(c echo.Context) error {
	request, writer := c.Request(), c.Response().Writer
	workspace, err := r.authenticate(request)
	if err != nil {
		return r.refuse(writer, err)
	}
	notFound := &refusal{reason: api.RefusalStreamNotFound, notRun: true, detail: "no such stream is kept"}
	endpointID, id, ok := r.parseHandle(workspace.ID, c.Param("handle"))
	if !ok {
		return r.refuse(writer, notFound)
	}
	endpoint, ok := r.view().Endpoint(endpointID)
	if !ok {
		return r.refuse(writer, notFound)
	}
	after, err := lastEventID(request.Header)
	if err != nil {
		return r.refuse(writer, err)
	}
	deadline, err := requestDeadline(r.now(), request.Header, r.settings.Limits.RequestTimeout.Duration)
	if err != nil {
		return r.refuse(writer, err)
	}
	ctx, cancel := context.WithDeadline(request.Context(), deadline)
	defer cancel()
	ch := &chat{id: id, work: work{workspace: workspace}}
	return r.rejoin(ctx, writer, ch, &placed{endpoint: endpoint}, after)
}

// rejoin copies the rest of a stream. It takes no permit, because the work was
// started under one and its endpoint counts it.
func (r *Router) rejoin(ctx context.Context, writer http.ResponseWriter, ch *chat, at *placed, after int) error {
	stream, err := r.engine.Resume(ctx, ch.streamRequest(r, at.endpoint.URL), after)
	if err != nil {
		return r.refuse(writer, &refusal{reason: api.RefusalStreamNotFound, notRun: !wasSent(err), detail: "no such stream is kept", cause: err})
	}
	out := &delivery{
		writer:  writer,
		flusher: http.NewResponseController(writer),
		text:    engine.NewDelivered(0),
		last:    after,
	}
	out.begin(ch.id, r.streamHandle(ch, at))
	err = r.pump(ch, out, at, stream)
	if err == nil || errors.Is(err, errCallerGone) {
		return nil
	}
	out.fail(&refusal{reason: api.RefusalUpstreamIncomplete, cause: err})
	return nil
}

func lastEventID(header http.Header) (int, error) {
	text := header.Get(headerLastEvent)
	if text == "" {
		return 0, nil
	}
	id, err := strconv.Atoi(text)
	if err != nil || id < 0 {
		return 0, &refusal{reason: api.RefusalBadRequest, notRun: true, detail: headerLastEvent + " must be an event id"}
	}
	return id, nil
}
