// Package logs builds the log of a daemon and leads the log of go-zero into it.
package logs

import (
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a log that writes JSON lines to standard error.
func New(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(err, "log level %q is unknown: use debug, info, warn or error", level)
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(parsed)
	config.Sampling = nil
	config.DisableStacktrace = true
	log, err := config.Build()
	if err != nil {
		return nil, eris.Wrap(err, "build the log")
	}
	Adopt(log)
	return log, nil
}

// Adopt leads the log of go-zero into a zap log. Its lines for each call are dropped: metrics count calls.
func Adopt(log *zap.Logger) {
	logx.DisableStat()
	logx.SetLevel(logx.ErrorLevel)
	logx.SetWriter(writer{log: log.Named("library")})
}

// writer implements logx.Writer.
type writer struct{ log *zap.Logger }

func (w writer) Alert(v any)                     { w.log.Error(fmt.Sprint(v)) }
func (w writer) Close() error                    { return w.log.Sync() }
func (w writer) Debug(v any, _ ...logx.LogField) { w.log.Debug(fmt.Sprint(v)) }
func (w writer) Error(v any, _ ...logx.LogField) { w.log.Debug(fmt.Sprint(v)) }
func (w writer) Info(v any, _ ...logx.LogField)  { w.log.Debug(fmt.Sprint(v)) }
func (w writer) Severe(v any)                    { w.log.Error(fmt.Sprint(v)) }
func (w writer) Slow(v any, _ ...logx.LogField)  { w.log.Debug(fmt.Sprint(v)) }
func (w writer) Stack(v any)                     { w.log.Error(fmt.Sprint(v)) }
func (w writer) Stat(_ any, _ ...logx.LogField)  {}
