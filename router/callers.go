package router

import (
	"errors"
	"io"
	"net/http"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// authenticate returns the workspace of the request's API key. It refuses all
// requests until the router has started.
func (r *Router) authenticate(request *http.Request) (*api.Workspace, error) {
	if !r.ready.Load() {
		return nil, &refusal{reason: api.RefusalNotReady, notRun: true, detail: "the router is starting", retryAfter: refusalRetryAfter}
	}
	token := bearerToken(request.Header)
	if token == "" {
		return nil, &refusal{reason: api.RefusalUnauthorized, notRun: true, detail: "an API key is required"}
	}
	workspace, ok := r.view().WorkspaceByKey(token)
	if !ok {
		return nil, &refusal{reason: api.RefusalUnknownWorkspace, notRun: true, detail: "no workspace has this API key"}
	}
	return workspace, nil
}

// readBody reads the whole request body. It refuses a body that is larger than
// limits.max_body_bytes.
func (r *Router) readBody(writer http.ResponseWriter, request *http.Request) ([]byte, error) {
	limited := http.MaxBytesReader(writer, request.Body, int64(r.settings.Limits.MaxBodyBytes))
	body, err := io.ReadAll(limited)
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &refusal{reason: api.RefusalBodyTooLarge, notRun: true, detail: "the body is too large"}
	}
	return nil, &refusal{reason: api.RefusalBadRequest, notRun: true, detail: "the body could not be read", cause: err}
}

// refuse counts a refusal, logs it if it has a cause, and sends it. It always
// returns nil, so that handlers can return its result.
func (r *Router) refuse(writer http.ResponseWriter, err error) error {
	refused := asRefusal(err)
	r.countRefusal(err)
	if refused.cause != nil {
		r.logger.Info("request refused", zap.String("reason", string(refused.reason)), zap.Error(refused.cause))
	}
	writeProblem(writer, refused)
	return nil
}

// countRefusal counts the refusal under its reason.
func (r *Router) countRefusal(err error) {
	refused := asRefusal(err)
	r.metrics.CountRefusal(refused.reason)
}

func requestFields(ch *chat, err error) []zap.Field {
	return []zap.Field{
		zap.String("request", ch.id),
		zap.String("workspace", ch.workspace.ID),
		zap.String("model_pool", ch.pool.Name),
		zap.Int("attempts", ch.attempts),
		zap.Error(err),
	}
}
