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

// ReasonUnauthorized is the reason of a call without the operators' token.
const ReasonUnauthorized = "unauthorized"

// State is what a router tells about itself.
type State struct {
	Router    string          `json:"router"`
	Zone      string          `json:"zone"`
	Ready     bool            `json:"ready"`
	Revision  uint64          `json:"revision"`
	Endpoints []EndpointState `json:"endpoints"`
}

// EndpointState is an endpoint that the router owns the admission of.
type EndpointState struct {
	Endpoint string `json:"endpoint"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Inflight int    `json:"inflight"`
}

// Router is what the operators' listener shows.
type Router interface {
	Ready() bool
	State() State
}

// New returns the operators' listener without the groups of other files.
// Health and readiness need no token, because the platform's balancer asks for
// them; the returned group needs it.
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
	g := e.Group("", authenticate(token))
	g.GET("/state", func(c echo.Context) error { return c.JSON(http.StatusOK, router.State()) })
	g.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
		metrics.WriteJSONOnce(registry.Registry, c.Response())
		return nil
	})
	return e, g
}

// authenticate compares digests in constant time, so that neither the content
// nor the length of the token can be measured.
func authenticate(token string) echo.MiddlewareFunc {
	want := sha256.Sum256([]byte(token))
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			given, found := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
			got := sha256.Sum256([]byte(given))
			if !found || token == "" || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
				c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
				return writeProblem(c, NoteProblem{
					Status: http.StatusUnauthorized,
					Reason: ReasonUnauthorized,
					Detail: "the operators' token is required",
				})
			}
			return next(c)
		}
	}
}
