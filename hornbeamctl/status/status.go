// Package status implements the command that shows the state of the fleet as reported by one
// router.
package status

import (
	"context"
	"errors"
	"strconv"

	"hornbeamstep.example/hornbeamctl/output"
	"hornbeamstep.example/hornbeamd/operator"
)

// Command shows cluster members, backend servers and the active configuration revision of each
// router.
type Command struct {
	Owners bool `help:"Also show which router owns each backend server, relay and shard."`
}

// report holds the data of both output formats. JSON output encodes it as it is.
type report struct {
	Status   operator.Status    `json:"status"`
	Backends []operator.Backend `json:"backends"`
	InForce  operator.InForce   `json:"inforce"`
	// HeadError is the reason why the head revision (the latest one in the history) could not be
	// read. If it is set, InForce compares the routers with the active revision of the router that
	// was called.
	HeadError string `json:"headerror,omitempty"`
}

// Run prints the state of the fleet.
func (c *Command) Run(ctx context.Context, fleet operator.Fleet, out *output.Printer) error {
	var r report
	var err error
	if r.Status, err = fleet.Status(ctx); err != nil {
		return err
	}
	if r.Backends, err = fleet.Backends(ctx); err != nil {
		return err
	}
	if r.InForce, err = fleet.InForce(ctx, 0); err != nil {
		if r.HeadError = outageMessage(err); r.HeadError == "" {
			return err
		}
		// The router reads the head revision from the object API, which may be unavailable. A call
		// that names a revision does not need the object API.
		if r.InForce, err = fleet.InForce(ctx, r.Status.Revision); err != nil {
			return err
		}
	}
	if !c.Owners {
		r.Status.Owners = nil
	}
	return out.Print(r, r.table)
}

// outageMessage returns the message of an error with code operator.Unavailable, and "" for any
// other error.
func outageMessage(err error) string {
	var failed *operator.Error
	if errors.As(err, &failed) && failed.Code == operator.Unavailable {
		return failed.Message
	}
	return ""
}

func (r report) table(rows output.Rows) {
	s := r.Status
	rows.Row("DAEMON", "ZONE", "REGION", "REVISION", "HEAD", "READY", "DRAINING", "REASON")
	head := strconv.FormatInt(r.InForce.Revision, 10)
	if r.HeadError != "" {
		head = "unknown"
	}
	rows.Row(s.Daemon, s.Zone, s.Region, s.Revision, head, s.Ready, s.Draining, s.Reason)
	rows.BlankLine()
	routers := map[string]operator.RouterRevision{}
	for _, router := range r.InForce.Routers {
		routers[router.Router] = router
	}
	rows.Row("MEMBER", "ADDRESS", "ZONE", "STATE", "INCARNATION", "REVISION", "ANSWERED")
	for _, m := range s.Members {
		router, known := routers[m.ID]
		if known {
			// The router's own report is more recent than the membership data of the called router.
			m.Revision = router.Revision
		}
		rows.Row(m.ID, m.Address, m.Zone, m.State, m.Incarnation, m.Revision, router.Answered)
	}
	rows.BlankLine()
	rows.Row("BACKEND", "POOL", "SERVICE", "ZONE", "STATE", "OWNER", "LOAD", "MEAN", "BOUND", "RUNNING", "QUEUED")
	for _, b := range r.Backends {
		rows.Row(b.Name, b.Pool, b.Service, b.Zone, b.State, b.Owner, b.Load, b.Mean, b.Bound, b.Running, b.Queued)
	}
	if len(s.Owners) == 0 {
		return
	}
	rows.BlankLine()
	rows.Row("KIND", "NAME", "ROUTER")
	for _, o := range s.Owners {
		rows.Row(o.Kind, o.Name, o.Router)
	}
}
