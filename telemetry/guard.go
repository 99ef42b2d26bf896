package telemetry

import (
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"
)

// Guard keeps an unexpected error in the handling of outside input from ending the process.
type Guard struct {
	Logger  *zap.Logger
	Metrics *Metrics
}

// Run calls handle. If it panics, Run logs the panic with its stack, counts it as
// "panics.recovered" and returns. what names the input.
func (g Guard) Run(what string, handle func()) {
	defer func() {
		if cause := recover(); cause != nil {
			g.Metrics.Counter("panics.recovered").Inc(1)
			g.Logger.Error("panic while handling input", zap.String("input", what),
				zap.String("cause", fmt.Sprint(cause)), zap.ByteString("stack", debug.Stack()))
		}
	}()
	handle()
}
