package logs

import (
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueLines bounds the lines that wait for a slow reader of standard output.
	queueLines = 4096
	// usualPerSecond is the number of equal messages logged in each second; of the rest one in usualThereafter is.
	usualPerSecond  = 100
	usualThereafter = 20
)

// Messages about what succeeded are sampled under load; all others are written in full.
const servedMessage = "request served"

// NewBounded returns a log that writes JSON lines to standard output and never blocks: lines that a slow reader does not take
// are dropped and counted.
func NewBounded(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(err, "log level %q is unknown: use debug, info, warn or error", level)
	}
	out := newQueue(os.Stdout)
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.EpochMillisTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), out, parsed)
	log := zap.New(sampled{core, zapcore.NewSamplerWithOptions(core, time.Second, usualPerSecond, usualThereafter)})
	out.dropped = func(n int64) { log.Warn("log lines dropped, since nothing read them in time", zap.Int64("lines", n)) }
	Adopt(log)
	return log, nil
}

// sampled samples the lines of served requests only.
type sampled struct {
	zapcore.Core
	sampler zapcore.Core
}

// With implements zapcore.Core.
func (s sampled) With(fields []zapcore.Field) zapcore.Core {
	return sampled{s.Core.With(fields), s.sampler.With(fields)}
}

// Check implements zapcore.Core.
func (s sampled) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if e.Message == servedMessage {
		return s.sampler.Check(e, c)
	}
	return s.Core.Check(e, c)
}

// queue writes lines from a goroutine of its own.
type queue struct {
	lines chan []byte
	lost  atomic.Int64
	// dropped is called with the number of lines lost since the last call.
	dropped func(int64)
	pending atomic.Int64
}

func newQueue(to *os.File) *queue {
	q := &queue{lines: make(chan []byte, queueLines)}
	go func() {
		for line := range q.lines {
			// Nothing is left to report a failure to.
			_, _ = to.Write(line)
			q.pending.Add(-1)
			if n := q.lost.Swap(0); n > 0 && q.dropped != nil {
				q.dropped(n)
			}
		}
	}()
	return q
}

// Write implements zapcore.WriteSyncer.
func (q *queue) Write(line []byte) (int, error) {
	q.pending.Add(1)
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.pending.Add(-1)
		q.lost.Add(1)
	}
	return len(line), nil
}

// Sync waits for the lines that are queued, but not for a reader that takes none.
func (q *queue) Sync() error {
	const limit = 200 * time.Millisecond
	for end := time.Now().Add(limit); q.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return nil
}
