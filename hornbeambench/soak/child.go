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

// child is a process that this program has started.
type child struct {
	process *exec.Cmd
	ended   chan struct{}
	// wanted is true if the end was asked for.
	mu     sync.Mutex
	wanted bool
	in     io.WriteCloser
}

// start starts a process. Its lines of standard output go to lines; what it writes to standard error goes to the log.
func start(log io.Writer, environment []string, lines func([]byte), arguments ...string) (*child, error) {
	c := &child{process: exec.Command(arguments[0], arguments[1:]...), ended: make(chan struct{})}
	c.process.Env = append(os.Environ(), environment...)
	c.process.Stderr = log
	// The process must not outlive this program.
	c.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var err error
	if c.in, err = c.process.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := c.process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.process.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(c.ended)
		scanner := bufio.NewScanner(out)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			lines(scanner.Bytes())
		}
		// How it ended is judged by whether the end was asked for.
		_ = c.process.Wait()
	}()
	return c, nil
}

// signal sends a signal; one that ends the process counts as asked for.
func (c *child) signal(s syscall.Signal) {
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		c.mu.Lock()
		c.wanted = true
		c.mu.Unlock()
	}
	// The process may have ended already.
	_ = c.process.Process.Signal(s)
}

func (c *child) endWanted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wanted
}

func (c *child) kill() {
	c.signal(syscall.SIGKILL)
	<-c.ended
}

// send writes one JSON line to the process.
func (c *child) send(value any) error { return json.NewEncoder(c.in).Encode(value) }

// order is a line that a stand-in reads.
type order struct {
	// Put and Delete name an object, with its kind before a slash. Spec is the object's content as JSON.
	Put, Delete, Spec string
	// Refuse and Mute hold the callers that are turned away or get no answer.
	Refuse, Mute []string
	Silent       bool
	Compact      bool
	Fault        standin.Fault
}

// note is a line that a stand-in writes.
type note struct {
	// Doors holds the store's address by caller, at its start.
	Doors map[string]string
	// Address is that of a backend server, at its start.
	Address string
	// Done is true if the latest order was carried out.
	Done bool
	// Began and Ended are runs; Whole is true if the answer of an ended one was complete.
	Began, Ended *standin.Run
	Whole        bool
	At           time.Time
}

// StoreCommand runs the metadata store's stand-in, which takes orders from standard input.
type StoreCommand struct {
	Callers []string `help:"Names of the callers, each of which gets an address." required:""`
}

// Run runs the command until its input ends.
func (c *StoreCommand) Run(context.Context) error {
	store := standin.NewStore()
	out := json.NewEncoder(os.Stdout)
	doors := map[string]string{}
	for _, name := range c.Callers {
		doors[name] = store.AddressFor(name)
	}
	if err := out.Encode(note{Doors: doors}); err != nil {
		return err
	}
	return follow(func(o order) error {
		switch {
		case o.Put != "":
			kind, name, _ := strings.Cut(o.Put, "/")
			store.Put(kind, name, o.Spec)
		case o.Delete != "":
			kind, name, _ := strings.Cut(o.Delete, "/")
			store.Delete(kind, name)
		case o.Compact:
			store.Compact()
		default:
			store.Refuse(o.Refuse...)
			store.SetUnresponsive(o.Mute...)
			store.SetAllUnresponsive(o.Silent)
		}
		return out.Encode(note{Done: true, At: time.Now()})
	})
}

// ServerCommand runs the stand-in of a backend server, which takes its faults from standard input and writes its runs.
type ServerCommand struct {
	ID      string        `help:"Identifier." required:""`
	Service string        `help:"Service." required:""`
	Pause   time.Duration `help:"Time before each event of a stream." default:"40ms"`
}

// Run runs the command until its input ends.
func (c *ServerCommand) Run(context.Context) error {
	s := standin.NewServer(c.ID, c.Service)
	s.Pause = c.Pause
	var mu sync.Mutex
	out := json.NewEncoder(os.Stdout)
	write := func(n note) {
		mu.Lock()
		defer mu.Unlock()
		n.At = time.Now()
		// The reader has ended if this fails, and with it the input.
		_ = out.Encode(n)
	}
	s.OnStart = func(r standin.Run) { write(note{Began: &r}) }
	s.OnEnd = func(r standin.Run, whole bool) { write(note{Ended: &r, Whole: whole}) }
	write(note{Address: s.Listener.Addr().String()})
	return follow(func(o order) error {
		s.SetFault(o.Fault)
		return nil
	})
}

// follow carries out the orders from standard input until it ends.
func follow(carryOut func(order) error) error {
	in := json.NewDecoder(os.Stdin)
	for {
		var o order
		if err := in.Decode(&o); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("read an order: %w", err)
		}
		if err := carryOut(o); err != nil {
			return err
		}
	}
}
