package edge

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hornbeamproxy/hornbeamproxy/gateway"
	"github.com/hornbeamproxy/hornbeamproxy/platform"
)

// explainInterval is the time from one explanation to the next. An explanation holds the gateway's lock
// for about 3 ms at a service of 3,000 endpoints, and callers' requests wait meanwhile. All of the
// listener's 64 connections get their turn within its time-out of 5 s.
const explainInterval = 50 * time.Millisecond

// explain answers where a request would go now, as JSON. Status 400 means that the query is
// malformed.
func (p *process) explain(c echo.Context) error {
	request, err := platform.ParseExplainRequest(c.Request())
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	return c.JSON(http.StatusOK, p.explainNext(request))
}

// explainNext explains the request when explainInterval has passed since the explanation before it.
func (p *process) explainNext(request *gateway.Request) gateway.Explanation {
	p.explaining.Lock()
	defer func() { time.AfterFunc(explainInterval, p.explaining.Unlock) }()
	return p.gateway.Explain(time.Now(), request)
}
