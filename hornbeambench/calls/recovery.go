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
	// outageDuration is how long the object API is unavailable in the cold start with an outage.
	// slowCallDelay is the delay of each object API call in the cold start with a slow object API.
	outageDuration = 15 * time.Second
	slowCallDelay  = "1s"
	// drainedServer is the backend server that an operator has drained before a cold start.
	drainedServer = "worker-1"
	// restartCount is the number of measured restarts of one daemon. designRestartsPerDay is the
	// number of restarts per day for which the cost is reported.
	restartCount         = 10
	designRestartsPerDay = 85
	secondsPerDay        = 86_400
)

// measureRecovery measures cold starts, the cache reuse after a restart of all daemons, and the
// cost of restarting one daemon.
func (c *Command) measureRecovery(ctx context.Context, out io.Writer) error {
	for _, n := range c.Routers {
		for _, fault := range []platformapi.Fault{{}, {CallDelay: slowCallDelay}, {Down: true}} {
			if err := c.measureColdStart(ctx, out, n, fault); err != nil {
				return err
			}
		}
	}
	if err := c.measureCacheReuse(ctx, out); err != nil {
		return err
	}
	for _, n := range c.Routers {
		if err := c.measureRestartCost(ctx, out, n); err != nil {
			return err
		}
	}
	return nil
}

// measureColdStart stores an operator's drain, injects a fault into the object API and starts all
// daemons at once. It prints how long it takes until all daemons accept client requests, until all
// know the drain, and until all are ready, which means that they have a configuration and know all
// other daemons.
func (c *Command) measureColdStart(ctx context.Context, out io.Writer, routers int, fault platformapi.Fault) error {
	tb, err := startWithoutDaemons(c.Engines[0])
	if err != nil {
		return err
	}
	defer tb.close()
	decisions := decision.NewSet()
	decisions.Decide(time.Now(), decision.Drain, drainedServer, true, "")
	records := decision.RecordStore{Store: tb.platform.Store}
	if _, err := records.Save(ctx, decision.Drain, func([]decision.Record) []decision.Record { return decisions.Records(decision.Drain) }); err != nil {
		return err
	}
	fault.Target = platformapi.Objects
	if err := tb.platform.SetFault(fault); err != nil {
		return err
	}
	begin := time.Now()
	if err := tb.startDaemons(routers); err != nil {
		return err
	}
	if fault.Down {
		time.AfterFunc(outageDuration, func() { _ = tb.platform.SetFault(platformapi.Fault{Target: platformapi.Objects}) })
	}
	servingAfter, err := tb.waitForAll(ctx, begin, servesCallers)
	if err != nil {
		return err
	}
	drainKnownAfter, err := tb.waitForAll(ctx, begin, func(d *daemon.Daemon) bool { return d.IsDrained(drainedServer) })
	if err != nil {
		return err
	}
	readyAfter, err := tb.waitForAll(ctx, begin, func(d *daemon.Daemon) bool { return d.Revision() > 0 && d.MemberCount() == routers })
	_, _ = fmt.Fprintf(out, "cold start, %d daemons, object api down=%t slow=%q: all take callers after %.2f s, know the drain after %.2f s, are ready after %.2f s\n",
		routers, fault.Down, fault.CallDelay, servingAfter, drainKnownAfter, readyAfter)
	return err
}

// servesCallers reports whether a daemon answers requests on its caller address.
func servesCallers(d *daemon.Daemon) bool {
	select {
	case <-d.Ready():
	default:
		return false
	}
	callers, _, _ := d.Addresses()
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + callers + "/healthz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return true
}

// waitForAll waits until each daemon in turn has met the condition, and returns the time since
// begin in seconds. It returns an error if a daemon exits before that.
func (tb *testbed) waitForAll(ctx context.Context, begin time.Time, condition func(*daemon.Daemon) bool) (float64, error) {
	for _, d := range tb.daemons {
		for !condition(d) {
			if err := tb.exitError(); err != nil {
				return 0, err
			}
			if err := sleep(ctx, readyPollInterval); err != nil {
				return 0, err
			}
		}
	}
	return time.Since(begin).Seconds(), nil
}

// measureRestartCost compares the cost of an idle period with that of a period in which one daemon
// restarts repeatedly.
func (c *Command) measureRestartCost(ctx context.Context, out io.Writer, routers int) error {
	tb, err := startTestbed(routers, c.Engines[0])
	if err != nil {
		return err
	}
	defer tb.close()
	if err := tb.waitReady(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, c.Settle); err != nil {
		return err
	}
	idleBytes, idleCPU, err := tb.measureCost(func() error { return sleep(ctx, c.Window) })
	if err != nil {
		return err
	}
	begin := time.Now()
	bytes, cpuSeconds, err := tb.measureCost(func() error { return tb.restartLastDaemon(ctx, c.Window/restartCount) })
	if err != nil {
		return err
	}
	// Subtract the idle cost, scaled to the duration of the restarts.
	idleRatio := time.Since(begin).Seconds() / c.Window.Seconds()
	bytes = (bytes - idleBytes*idleRatio) / restartCount
	cpuSeconds = (cpuSeconds - idleCPU*idleRatio) / restartCount
	bytesPerDaemon, cpuPerDaemon := bytes/float64(routers), cpuSeconds/float64(routers)
	_, err = fmt.Fprintf(out, "one restart, %d daemons: %.0f bytes sent and received and %.1f ms of processor time for all daemons, %.0f bytes and %.3f ms for each; %d a day: %.2f bytes/s and %.6f%% of a core for each\n",
		routers, bytes, 1000*cpuSeconds, bytesPerDaemon, 1000*cpuPerDaemon, designRestartsPerDay, bytesPerDaemon*designRestartsPerDay/secondsPerDay, 100*cpuPerDaemon*designRestartsPerDay/secondsPerDay)
	return err
}

// measureCost runs operation. It returns the bytes that all daemons except the last one sent and
// received meanwhile, and the processor time of this process in seconds.
func (tb *testbed) measureCost(operation func() error) (bytes, cpuSeconds float64, err error) {
	traffic := func() float64 {
		sum := int64(0)
		for _, d := range tb.daemons[:len(tb.daemons)-1] {
			sent, received := d.Traffic()
			sum += sent + received
		}
		return float64(sum)
	}
	trafficBefore, cpuBefore := traffic(), cpuTime()
	err = operation()
	return traffic() - trafficBefore, (cpuTime() - cpuBefore).Seconds(), err
}

// restartLastDaemon restarts the last daemon restartCount times and waits for the interval after
// each restart, so that the other daemons can detect it.
func (tb *testbed) restartLastDaemon(ctx context.Context, interval time.Duration) error {
	last := len(tb.daemons) - 1
	for range restartCount {
		tb.stopFuncs[last]()
		if err := <-tb.runResults; err != nil {
			return err
		}
		d, err := tb.openDaemon(last)
		if err != nil {
			return err
		}
		tb.daemons[last] = d
		tb.stopFuncs[last] = tb.runDaemon(d)
		if err := sleep(ctx, interval); err != nil {
			return err
		}
	}
	return nil
}
