package calls

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"hornbeamstep.example/coord/decision"
	"hornbeamstep.example/hornbeambench/standin/platformapi"
	"hornbeamstep.example/hornbeamd/daemon"
)

const (
	// outage is how long the object API is down in a cold start without it, and slow the time of each call in a cold start with a
	// slow one.
	outage = 15 * time.Second
	slow   = "1s"
	// drainedServer is drained before the cold starts.
	drainedServer = "worker-1"
	// restarts is the number of restarts of one daemon that are measured, and designRestarts that of a day.
	restarts       = 10
	designRestarts = 85
	// day is in seconds.
	day = 86_400
)

// recover measures how a fleet comes back.
func (c *Command) recover(ctx context.Context, out io.Writer) error {
	for _, n := range c.Routers {
		for _, f := range []platformapi.Fault{{}, {CallDelay: slow}, {Down: true}} {
			if err := c.coldStart(ctx, out, n, f); err != nil {
				return err
			}
		}
	}
	if err := c.reuse(ctx, out); err != nil {
		return err
	}
	for _, n := range c.Routers {
		if err := c.restartCost(ctx, out, n); err != nil {
			return err
		}
	}
	return nil
}

// coldStart starts all daemons at once with an operator's drain in the object API.
func (c *Command) coldStart(ctx context.Context, out io.Writer, n int, f platformapi.Fault) error {
	w, err := prepare(c.Engines[0])
	if err != nil {
		return err
	}
	defer w.close()
	set := decision.NewSet()
	set.Decide(time.Now(), decision.Drain, drainedServer, true, "")
	log := decision.RecordStore{Store: w.platform.Store}
	if _, err := log.Save(ctx, decision.Drain, func([]decision.Record) []decision.Record { return set.Records(decision.Drain) }); err != nil {
		return err
	}
	f.Target = platformapi.Objects
	if err := w.platform.SetFault(f); err != nil {
		return err
	}
	begin := time.Now()
	if err := w.startDaemons(n); err != nil {
		return err
	}
	if f.Down {
		time.AfterFunc(outage, func() { _ = w.platform.SetFault(platformapi.Fault{Target: platformapi.Objects}) })
	}
	open, err := w.until(ctx, begin, taking)
	if err != nil {
		return err
	}
	known, err := w.until(ctx, begin, func(d *daemon.Daemon) bool { return d.IsDrained(drainedServer) })
	if err != nil {
		return err
	}
	ready, err := w.until(ctx, begin, func(d *daemon.Daemon) bool { return d.Revision() > 0 && d.MemberCount() == n })
	_, _ = fmt.Fprintf(out, "cold start, %d daemons, object api down=%t slow=%q: all take callers after %.2f s, know the drain after %.2f s, are ready after %.2f s\n",
		n, f.Down, f.CallDelay, open, known, ready)
	return err
}

// taking reports whether a daemon answers callers.
func taking(d *daemon.Daemon) bool {
	<-d.Ready()
	callers, _, _ := d.Addresses()
	r, err := (&http.Client{Timeout: time.Second}).Get("http://" + callers + "/healthz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return true
}

// until waits until every daemon meets a condition and returns the time since begin in seconds.
func (w *world) until(ctx context.Context, begin time.Time, met func(*daemon.Daemon) bool) (float64, error) {
	for _, d := range w.daemons {
		for !met(d) {
			if err := sleep(ctx, poll); err != nil {
				return 0, err
			}
		}
	}
	return time.Since(begin).Seconds(), nil
}

// restartCost compares a quiet time with one in which one daemon restarts again and again.
func (c *Command) restartCost(ctx context.Context, out io.Writer, n int) error {
	w, err := start(n, c.Engines[0])
	if err != nil {
		return err
	}
	defer w.close()
	if err := w.ready(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, c.Settle); err != nil {
		return err
	}
	quietBytes, quietCore, err := w.spent(func() error { return sleep(ctx, c.Window) })
	if err != nil {
		return err
	}
	begin := time.Now()
	bytes, core, err := w.spent(func() error { return w.restartOne(ctx, c.Window/restarts) })
	if err != nil {
		return err
	}
	// What the same time costs without restarts.
	quiet := time.Since(begin).Seconds() / c.Window.Seconds()
	bytes = (bytes - quietBytes*quiet) / restarts
	core = (core - quietCore*quiet) / restarts
	each, eachCore := bytes/float64(n), core/float64(n)
	_, err = fmt.Fprintf(out, "one restart, %d daemons: %.0f bytes sent and received and %.1f ms of processor time for all daemons, %.0f bytes and %.3f ms for each; %d a day: %.2f bytes/s and %.6f%% of a core for each\n",
		n, bytes, 1000*core, each, 1000*eachCore, designRestarts, each*designRestarts/day, 100*eachCore*designRestarts/day)
	return err
}

// spent returns the bytes that all but the last daemon sent and received, and the processor time of the process in seconds.
func (w *world) spent(during func() error) (bytes, core float64, err error) {
	traffic := func() float64 {
		sum := int64(0)
		for _, d := range w.daemons[:len(w.daemons)-1] {
			sent, received := d.Traffic()
			sum += sent + received
		}
		return float64(sum)
	}
	before, time := traffic(), processor()
	err = during()
	return traffic() - before, (processor() - time).Seconds(), err
}

// restartOne restarts the last daemon several times and leaves time for the others to learn of each.
func (w *world) restartOne(ctx context.Context, each time.Duration) error {
	last := len(w.daemons) - 1
	for range restarts {
		w.stops[last]()
		if err := <-w.ended; err != nil {
			return err
		}
		d, err := w.open(last)
		if err != nil {
			return err
		}
		w.daemons[last] = d
		w.stops[last] = w.run(d)
		if err := sleep(ctx, each); err != nil {
			return err
		}
	}
	return nil
}
