package permit

import (
	"maps"
	"time"
)

// Denials remembers for how long no permits for a server are available to a router, so that the
// router does not ask for each request. It is not safe for concurrent use.
type Denials struct {
	// until holds the end of that time by server and priority.
	until map[string]*[lowestPriority + 1]time.Time
}

// NewDenials returns a Denials without denials.
func NewDenials() *Denials { return &Denials{until: map[string]*[lowestPriority + 1]time.Time{}} }

// Record records that a permit was denied to a request of a priority. It holds for less urgent
// requests too.
func (d *Denials) Record(now time.Time, server string, priority int, wait time.Duration) {
	until := d.until[server]
	if until == nil {
		until = &[lowestPriority + 1]time.Time{}
		d.until[server] = until
	}
	for p := clampPriority(priority); p <= lowestPriority; p++ {
		until[p] = now.Add(wait)
	}
}

// Wait returns the time after which a request of a priority may get a permit for a server.
func (d *Denials) Wait(now time.Time, server string, priority int) time.Duration {
	until := d.until[server]
	if until == nil {
		return 0
	}
	return max(0, until[clampPriority(priority)].Sub(now))
}

// Retain forgets all servers but the given ones.
func (d *Denials) Retain(servers map[string]int64) {
	maps.DeleteFunc(d.until, func(server string, _ *[lowestPriority + 1]time.Time) bool {
		_, known := servers[server]
		return !known
	})
}
