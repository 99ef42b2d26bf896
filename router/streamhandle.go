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

// streamHandleTagBytes is the length of the truncated HMAC that binds a stream handle to
// its workspace, before hex encoding.
const streamHandleTagBytes = 16

// streamHandle returns the handle of a running stream with which the caller can
// reconnect: <endpoint>~<request id>~<tag>.
func (r *Router) streamHandle(ch *chat, assigned *assignment) string {
	return assigned.endpoint.ID + "~" + ch.id + "~" + r.streamHandleTag(ch.workspace.ID, assigned.endpoint.ID, ch.id)
}

func (r *Router) streamHandleTag(workspace, endpoint, id string) string {
	mac := hmac.New(sha256.New, r.streamHandleKey)
	_, _ = fmt.Fprintf(mac, "stream\x00%s\x00%s\x00%s", workspace, endpoint, id)
	return hex.EncodeToString(mac.Sum(nil)[:streamHandleTagBytes])
}

// parseStreamHandle splits a stream handle; ok is false if it is malformed or belongs to
// another workspace.
func (r *Router) parseStreamHandle(workspace, handle string) (endpoint, id string, ok bool) {
	parts := strings.Split(handle, "~")
	if len(parts) != 3 {
		return "", "", false
	}
	want := r.streamHandleTag(workspace, parts[0], parts[1])
	return parts[0], parts[1], hmac.Equal([]byte(want), []byte(parts[2]))
}

// serveStream handles GET /v1/streams/{handle}: a caller that reconnects, to any
// router, gets the events after the one in Last-Event-ID for as long as the
// endpoint keeps the stream.
func (r *Router) serveStream(c echo.Context) error {
	request, writer := c.Request(), c.Response().Writer
	workspace, err := r.authenticate(request)
	if err != nil {
		return r.refuse(writer, err)
	}
	notFound := &refusal{reason: api.RefusalStreamNotFound, notRun: true, detail: "no such stream is kept"}
	endpointID, id, ok := r.parseStreamHandle(workspace.ID, c.Param("handle"))
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
	ch := &chat{id: id, routedRequest: routedRequest{workspace: workspace}}
	return r.resumeStream(ctx, writer, ch, &assignment{endpoint: endpoint}, after)
}

// resumeStream copies the rest of a stream. It acquires no permit, because the
// stream was started under one and its endpoint counts it as running.
func (r *Router) resumeStream(ctx context.Context, writer http.ResponseWriter, ch *chat, assigned *assignment, after int) error {
	stream, err := r.engine.Resume(ctx, ch.streamRequest(r, assigned.endpoint.URL), after)
	if err != nil {
		return r.refuse(writer, &refusal{reason: api.RefusalStreamNotFound, notRun: !wasSent(err), detail: "no such stream is kept", cause: err})
	}
	out := &streamResponse{
		writer:      writer,
		flusher:     http.NewResponseController(writer),
		text:        engine.NewDeliveredText(0),
		lastEventID: after,
	}
	out.writeHeader(ch.id, r.streamHandle(ch, assigned))
	err = r.copyEvents(ch, out, assigned, stream)
	if err == nil || errors.Is(err, errCallerGone) {
		return nil
	}
	out.abort(&refusal{reason: api.RefusalUpstreamIncomplete, cause: err})
	return nil
}

// lastEventID returns the event id of the Last-Event-ID header, or 0 if there is
// none.
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
