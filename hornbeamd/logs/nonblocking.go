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
	// maxQueuedLines is the number of log lines that are buffered while the reader of standard
	// output is slow.
	maxQueuedLines = 4096
	// Each second, the first sampleFirst entries with the same message are logged, then one in
	// sampleThereafter.
	sampleFirst      = 100
	sampleThereafter = 20
)

// servedMessage is the message of a successful request. Only entries with this message are sampled.
const servedMessage = "request served"

// NewNonBlocking returns a logger that writes JSON lines to standard output and never blocks. Lines
// that do not fit into its queue because the reader of standard output is slow are dropped and
// counted.
func NewNonBlocking(level string) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(err, "unknown log level %q: use debug, info, warn or error", level)
	}
	out := newAsyncWriter(os.Stdout)
	encoderConfig := zap.NewProductionEncoderConfig()
	encoderConfig.EncodeTime = zapcore.EpochMillisTimeEncoder
	encoderConfig.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig), out, minLevel)
	log := zap.New(samplingCore{core, zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter)})
	out.onDrop = func(n int64) {
		log.Warn("dropped log lines because the reader of standard output is too slow", zap.Int64("lines", n))
	}
	RedirectGoZero(log)
	return log, nil
}

// samplingCore samples only entries whose message is servedMessage and writes all others.
type samplingCore struct {
	zapcore.Core
	sampler zapcore.Core
}

// With implements zapcore.Core.
func (s samplingCore) With(fields []zapcore.Field) zapcore.Core {
	return samplingCore{s.Core.With(fields), s.sampler.With(fields)}
}

// Check implements zapcore.Core.
func (s samplingCore) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if e.Message == servedMessage {
		return s.sampler.Check(e, c)
	}
	return s.Core.Check(e, c)
}

// asyncWriter is a bounded queue of log lines that a separate goroutine writes, so that callers
// never wait for the output.
type asyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	// onDrop is called with the number of lines dropped since its last call.
	onDrop  func(int64)
	pending atomic.Int64
}

func newAsyncWriter(dst *os.File) *asyncWriter {
	w := &asyncWriter{lines: make(chan []byte, maxQueuedLines)}
	go func() {
		for line := range w.lines {
			// A write error is ignored: there is no other output to report it to.
			_, _ = dst.Write(line)
			w.pending.Add(-1)
			if n := w.dropped.Swap(0); n > 0 && w.onDrop != nil {
				w.onDrop(n)
			}
		}
	}()
	return w
}

// Write implements zapcore.WriteSyncer.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.pending.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.pending.Add(-1)
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits up to 200 ms until the queued lines are written, so that a blocked reader cannot stop
// the process from exiting.
func (w *asyncWriter) Sync() error {
	const flushTimeout = 200 * time.Millisecond
	for deadline := time.Now().Add(flushTimeout); w.pending.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	return nil
}
