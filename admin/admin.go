package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// ReasonUnauthorized is the reason in the problem body of a call without a valid
// operators' token.
const ReasonUnauthorized = "unauthorized"

// State is the body of GET /state.
type State struct {
	Router string `json:"router"`
	Zone   string `json:"zone"`
	// Ready is the result of the readiness check GET /readyz.
	Ready bool `json:"ready"`
	// Revision is the revision of the fleet state that the router has applied.
	Revision uint64 `json:"revision"`
	// Endpoints lists the endpoints for which the router decides admission.
	Endpoints []EndpointState `json:"endpoints"`
}

// EndpointState is the state of an endpoint for which the router decides
// admission.
type EndpointState struct {
	Endpoint string `json:"endpoint"`
	Zone     string `json:"zone"`
	// State is the name of a state of package endpointstate.
	State string `json:"state"`
	// Inflight is the number of requests in flight at the endpoint: those that the
	// router has admitted, or more if the endpoint's load report shows more.
	Inflight int `json:"inflight"`
}

// Router provides the readiness and state that the admin API returns. Implementations
// are safe for concurrent use.
type Router interface {
	Ready() bool
	State() State
}

// New returns the admin server and a group of calls that require the operators'
// token. RegisterNotes and RegisterReport add calls to the group. Health and
// readiness need no token, because the platform's load balancer checks them.
func New(router Router, registry *telemetry.Metrics, token string) (*echo.Echo, *echo.Group) {
	e := echo.New()
	e.HideBanner = true
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
	e.GET("/readyz", func(c echo.Context) error {
		if !router.Ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusNoContent)
	})
	g := e.Group("", requireToken(token))
	g.GET("/state", func(c echo.Context) error { return c.JSON(http.StatusOK, router.State()) })
	g.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
		metrics.WriteJSONOnce(registry.Registry, c.Response())
		return nil
	})
	return e, g
}

// requireToken compares digests in constant time, so that response times reveal
// neither the content nor the length of the token. With an empty token all calls
// are rejected.
func requireToken(token string) echo.MiddlewareFunc {
	want := sha256.Sum256([]byte(token))
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			given, found := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
			got := sha256.Sum256([]byte(given))
			if !found || token == "" || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
				c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
				return writeProblem(c, Problem{
					Status: http.StatusUnauthorized,
					Reason: ReasonUnauthorized,
					Detail: "the operators' token is required",
				})
			}
			return next(c)
		}
	}
}
