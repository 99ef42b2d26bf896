package router

import (
	"sync"
	"sync/atomic"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// workspaceLimits counts, for each workspace that has a limit, its requests in flight at
// this router.
type workspaceLimits struct {
	counts sync.Map // workspace id -> *atomic.Int64
}

// acquire counts a request of the workspace. It returns a function to be called when
// the request has ended, or nil if the workspace has reached its limit.
func (l *workspaceLimits) acquire(workspace *api.Workspace) func() {
	if workspace.MaxInflight <= 0 {
		return func() {}
	}
	value, _ := l.counts.LoadOrStore(workspace.ID, &atomic.Int64{})
	count := value.(*atomic.Int64)
	if count.Add(1) > int64(workspace.MaxInflight) {
		count.Add(-1)
		return nil
	}
	return func() { count.Add(-1) }
}

func workspaceLimitRefusal() error {
	return &refusal{
		reason:     api.RefusalWorkspaceShare,
		notRun:     true,
		detail:     "the workspace has reached its limit of requests in progress at this router",
		retryAfter: refusalRetryAfter,
	}
}
