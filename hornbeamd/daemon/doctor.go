package daemon

import (
	"context"
	"fmt"
	"time"

	"hornbeamstep.example/coord/member"
	"hornbeamstep.example/hornbeamd/operator"
	"hornbeamstep.example/policy"
)

// platformCallTimeout limits a call to the platform: those of the health checks, and the release of
// a lease.
const platformCallTimeout = 2 * time.Second

// checks runs all health checks from this daemon's point of view. A check that does not pass names
// a remedy, in Remedy or, if the daemon is not ready, in Text.
func (d *Daemon) checks(ctx context.Context) []operator.Check {
	return []operator.Check{
		d.checkReady(), d.checkObjects(ctx), d.checkInstances(ctx), d.checkMembers(), d.checkEngines(),
	}
}

func (d *Daemon) checkReady() operator.Check {
	c := operator.Check{Name: "ready", Level: operator.OK, Text: "the daemon takes callers"}
	if err := d.loop.Ready(); err != nil {
		c.Level, c.Text = operator.Failure, err.Error()
	}
	return c
}

func (d *Daemon) checkObjects(ctx context.Context) operator.Check {
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	c := operator.Check{Name: "object api", Level: operator.OK}
	head, err := d.history.Head(ctx)
	if err != nil {
		c.Level, c.Text = operator.Failure, err.Error()
		c.Remedy = "routing goes on; new revisions and requests that may run at most once wait until the object api is back"
		return c
	}
	c.Text = fmt.Sprintf("head is revision %d", head.Number)
	if inForce := d.loop.Policy().Revision; inForce < head.Number {
		c.Level, c.Text = operator.Warning, fmt.Sprintf("revision %d is in force here, the head is %d", inForce, head.Number)
		c.Remedy = "wait 7 s; if it lasts, check the links between daemons"
	}
	return c
}

func (d *Daemon) checkInstances(ctx context.Context) operator.Check {
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	list, err := d.instanceList.List(ctx)
	if err != nil {
		return operator.Check{
			Name: "instance list", Level: operator.Warning, Text: err.Error(),
			Remedy: "daemons that know each other go on; new ones need peer.seeds until the list is back",
		}
	}
	return operator.Check{Name: "instance list", Level: operator.OK, Text: fmt.Sprintf("%d instances", len(list))}
}

func (d *Daemon) checkMembers() operator.Check {
	view := d.node.Members()
	c := operator.Check{Name: "peers", Level: operator.OK, Text: fmt.Sprintf("%d daemons", len(view.Members))}
	switch {
	case !view.Trusted:
		c.Level, c.Text = operator.Failure, "no other daemon has been heard lately"
		c.Remedy = "check the network of this instance and the keys of peer.tls"
	case countSuspects(view.Members) > 0:
		c.Level = operator.Warning
		c.Text = fmt.Sprintf("%d of %d daemons do not answer", countSuspects(view.Members), len(view.Members))
		c.Remedy = "they are removed after 5 s; see the time line for which"
	}
	return c
}

func (d *Daemon) checkEngines() operator.Check {
	c := operator.Check{Name: "engines", Level: operator.OK}
	unresponsive, owned := 0, 0
	for _, b := range d.loop.Backends() {
		if b.Owner != d.Settings.ID {
			continue
		}
		owned++
		if b.State == "suspect" {
			unresponsive++
		}
	}
	c.Text = fmt.Sprintf("%d engines are owned here, %d of them do not answer", owned, unresponsive)
	if unresponsive > 0 {
		c.Level = operator.Failure
		c.Remedy = "restart them, or set their state to " + string(policy.Leaving) + " in the configuration"
	}
	return c
}

func countSuspects(members []member.Member) int {
	n := 0
	for _, m := range members {
		if m.Status == member.Suspect {
			n++
		}
	}
	return n
}
