package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"hornbeamstep.example/platform/standin"
)

// child is a child process of the soak: a router, a backend server or the metadata store.
type child struct {
	cmd    *exec.Cmd
	exited chan struct{}
	mu     sync.Mutex
	// exitExpected is true once the soak has sent a signal that ends the process.
	exitExpected bool
	stdin        io.WriteCloser
}

// startChild starts a process with additional environment variables. handleLine is called with each
// line of its standard output; its standard error is written to stderr.
func startChild(stderr io.Writer, environment []string, handleLine func([]byte), arguments ...string) (*child, error) {
	c := &child{cmd: exec.Command(arguments[0], arguments[1:]...), exited: make(chan struct{})}
	c.cmd.Env = append(os.Environ(), environment...)
	c.cmd.Stderr = stderr
	// Ensures that the process does not outlive this program.
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var err error
	if c.stdin, err = c.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	stdout, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(c.exited)
		scanner := bufio.NewScanner(stdout)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			handleLine(scanner.Bytes())
		}
		// The exit code is ignored: exitExpected decides whether the exit is a fault.
		_ = c.cmd.Wait()
	}()
	return c, nil
}

// signal sends a signal. After SIGKILL or SIGTERM the exit of the process is expected.
func (c *child) signal(s syscall.Signal) {
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		c.mu.Lock()
		c.exitExpected = true
		c.mu.Unlock()
	}
	// The error is ignored because the process may already have exited.
	_ = c.cmd.Process.Signal(s)
}

func (c *child) isExitExpected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exitExpected
}

// kill sends SIGKILL and waits until the process has exited.
func (c *child) kill() {
	c.signal(syscall.SIGKILL)
	<-c.exited
}

// send writes a value as one line of JSON to the standard input of the process.
func (c *child) send(value any) error { return json.NewEncoder(c.stdin).Encode(value) }

// instruction is a line of JSON that a fake metadata store or backend server reads from its
// standard input.
type instruction struct {
	// Put or Delete names an object of the store as KIND/NAME. Spec is the JSON content for Put.
	Put, Delete, Spec string
	// Refuse holds the routers to which the store responds with status 503, and Unresponsive those
	// to which it does not respond. With AllUnresponsive it responds to none.
	Refuse          []string
	Unresponsive    []string `json:"Mute"`
	AllUnresponsive bool     `json:"Silent"`
	// Compact drops the change history of the store.
	Compact bool
	// Backup makes the store copy its objects, and Restore replace them by that copy.
	Backup, Restore bool
	// Fault is the fault that a backend server simulates from now on, RetryAfter the Retry-After
	// header of its rejections, and Leaving whether its responses state that it is leaving.
	Fault      standin.Fault
	RetryAfter string
	Leaving    bool
	// ChangesLimit is true if Limit replaces the rate limit that a backend server states. The fault
	// and the headers of rejections then stay as they are.
	ChangesLimit bool
	Limit        string
	// ChangesBrittle is true if a backend server becomes brittle, with BrittleSlots slots from a contact
	// time later on, or no longer is if that is 0. The rest stays as it is.
	ChangesBrittle bool
	BrittleSlots   int
	// Silence is the time for which a backend server sends no data. If it is set, the fault and the
	// headers of the server stay as they are.
	Silence time.Duration
}

// notification is a line of JSON that a fake metadata store or backend server writes to its
// standard output.
type notification struct {
	// StoreAddresses holds the store's address for each router. The store sends it at its start.
	StoreAddresses map[string]string `json:"Doors"`
	// Address is the address of a backend server, which sends it at its start.
	Address string
	// Done is true if the store has applied an instruction. It sends one such line for each.
	Done bool
	// Began is a request that a backend server has started to run, and Ended one that has ended.
	// Complete is true if the server sent the whole response of the ended request.
	Began, Ended *standin.Run
	// Rejected is a request that a backend server has rejected with a retry delay.
	Rejected *standin.Rejection
	// TurnedAway is the attempt ID of a request that a brittle backend server has rejected.
	TurnedAway string
	Complete   bool `json:"Whole"`
	// At is when the line was written.
	At time.Time
}

// StoreCommand runs the fake metadata store, which reads instructions from standard input.
type StoreCommand struct {
	Routers []string `name:"callers" help:"Names of the routers that use the store; each gets its own address." required:""`
}

// Run runs the command until its standard input is closed.
func (c *StoreCommand) Run(context.Context) error {
	store := standin.NewStore()
	backup := store.Backup()
	stdout := json.NewEncoder(os.Stdout)
	addresses := map[string]string{}
	for _, name := range c.Routers {
		addresses[name] = store.AddressFor(name)
	}
	if err := stdout.Encode(notification{StoreAddresses: addresses}); err != nil {
		return err
	}
	return handleInstructions(func(i instruction) error {
		switch {
		case i.Put != "":
			kind, name, _ := strings.Cut(i.Put, "/")
			store.Put(kind, name, i.Spec)
		case i.Delete != "":
			kind, name, _ := strings.Cut(i.Delete, "/")
			store.Delete(kind, name)
		case i.Compact:
			store.Compact()
		case i.Backup:
			backup = store.Backup()
		case i.Restore:
			store.Restore(backup)
		default:
			store.Refuse(i.Refuse...)
			store.SetUnresponsive(i.Unresponsive...)
			store.SetAllUnresponsive(i.AllUnresponsive)
		}
		return stdout.Encode(notification{Done: true, At: time.Now()})
	})
}

// ServerCommand runs a fake backend server. It reads the faults to simulate from standard input and
// writes the start and end of each run to standard output.
type ServerCommand struct {
	ID         string        `help:"Identifier of the server." required:""`
	Service    string        `help:"Service to which the server belongs." required:""`
	NoLength   bool          `help:"Send responses with neither a length nor chunks, which end with their connection."`
	EventDelay time.Duration `name:"pause" help:"Delay before each event of a stream." default:"40ms"`
}

// Run runs the command until its standard input is closed.
func (c *ServerCommand) Run(context.Context) error {
	s := standin.NewServer(c.ID, c.Service)
	s.Pause, s.EndsWithConnection, s.SurvivesRejections = c.EventDelay, c.NoLength, true
	var mu sync.Mutex
	stdout := json.NewEncoder(os.Stdout)
	notify := func(n notification) {
		mu.Lock()
		defer mu.Unlock()
		n.At = time.Now()
		// Encode fails only if the soak has exited. The exit of the soak also closes standard input,
		// which ends the command.
		_ = stdout.Encode(n)
	}
	s.OnStart = func(r standin.Run) { notify(notification{Began: &r}) }
	s.OnEnd = func(r standin.Run, complete bool) { notify(notification{Ended: &r, Complete: complete}) }
	s.OnReject = func(r standin.Rejection) {
		if r.RetryAfter != "" {
			notify(notification{Rejected: &r})
		} else {
			notify(notification{TurnedAway: r.Attempt})
		}
	}
	notify(notification{Address: s.Listener.Addr().String()})
	return handleInstructions(func(i instruction) error {
		if i.Silence > 0 {
			s.SetSilence(i.Silence)
			return nil
		}
		if i.ChangesBrittle {
			if s.StopBrittle(); i.BrittleSlots > 0 {
				s.SetBrittle(i.BrittleSlots, maxBrittleRejections, brittleContactTime)
			}
			return nil
		}
		if i.ChangesLimit {
			s.SetLimit(i.Limit)
			return nil
		}
		s.SetRetryAfter(i.RetryAfter)
		s.SetLeaving(i.Leaving)
		s.SetFault(i.Fault)
		return nil
	})
}

// handleInstructions reads instructions from standard input and handles them until it is closed.
func handleInstructions(handle func(instruction) error) error {
	stdin := json.NewDecoder(os.Stdin)
	for {
		var i instruction
		if err := stdin.Decode(&i); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("read an instruction from standard input: %w", err)
		}
		if err := handle(i); err != nil {
			return err
		}
	}
}
