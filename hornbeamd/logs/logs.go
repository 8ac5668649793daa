// Package logs creates the daemon's logger and redirects the logs of go-zero to it.
package logs

import (
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes JSON lines to standard error.
func New(level string) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(err, "unknown log level %q: use debug, info, warn or error", level)
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(minLevel)
	config.Sampling = nil
	config.DisableStacktrace = true
	log, err := config.Build()
	if err != nil {
		return nil, eris.Wrap(err, "build the logger")
	}
	RedirectGoZero(log)
	return log, nil
}

// RedirectGoZero sends the log entries of go-zero to a zap logger. Its entries for individual calls
// are dropped because metrics already count calls.
func RedirectGoZero(log *zap.Logger) {
	logx.DisableStat()
	logx.SetLevel(logx.ErrorLevel)
	logx.SetWriter(goZeroWriter{log: log.Named("library")})
}

// goZeroWriter implements logx.Writer on top of a zap logger.
type goZeroWriter struct{ log *zap.Logger }

func (w goZeroWriter) Alert(v any)                     { w.log.Error(fmt.Sprint(v)) }
func (w goZeroWriter) Close() error                    { return w.log.Sync() }
func (w goZeroWriter) Debug(v any, _ ...logx.LogField) { w.log.Debug(fmt.Sprint(v)) }
func (w goZeroWriter) Error(v any, _ ...logx.LogField) { w.log.Debug(fmt.Sprint(v)) }
func (w goZeroWriter) Info(v any, _ ...logx.LogField)  { w.log.Debug(fmt.Sprint(v)) }
func (w goZeroWriter) Severe(v any)                    { w.log.Error(fmt.Sprint(v)) }
func (w goZeroWriter) Slow(v any, _ ...logx.LogField)  { w.log.Debug(fmt.Sprint(v)) }
func (w goZeroWriter) Stack(v any)                     { w.log.Error(fmt.Sprint(v)) }
func (w goZeroWriter) Stat(_ any, _ ...logx.LogField)  {}
