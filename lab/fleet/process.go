package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"ravensill/lab/actor"
	"ravensill/lab/gatewayconfig"
)

// Gateway is one gateway of a fleet over its restarts.
type Gateway struct {
	*Process
	Config *gatewayconfig.File // written at each start and by Reload
}

// Config is the content of a process's configuration file.
type Config interface {
	// SetListen sets the address at which the process listens for clients.
	SetListen(addr string)
}

// Process is a program that reads a configuration file named by an environment variable and logs events as the gateway
// does, over all its restarts. It is an actor that owns the log and the running process.
type Process struct {
	*actor.Actor
	ProcessOptions
	file        string    // of the configuration
	addresses   addresses // of the latest incarnation; that for clients stays the same
	command     *exec.Cmd
	running     bool
	exited      chan struct{} // closed when the running process has ended
	incarnation int           // from 1 on
	log         processLog
	events      []ProcessEvent
	eventCounts map[string]int // of log lines, over all incarnations
}

// ProcessOptions describe a process.
type ProcessOptions struct {
	Name           string
	Index          int    // among the processes of its kind; of a gateway: its member index
	Binary         string // path of the program
	ConfigVariable string // of the environment, names the configuration file
	ReadyEvent     string // the log event by which the process says that it serves
	Dir            string // working folder; the configuration file is beside it
	// Config is the content of the configuration file. It may be changed while the process is down, or before Reload.
	Config    Config
	Env       []string          // beside this process's environment
	OnServing func(line string) // called by the actor with the line of ReadyEvent; may be nil
	OnExit    func()            // called by the actor when the process has ended; may be nil
}

// NewProcess returns a process that is not yet launched. The caller kills it and stops its actor.
func NewProcess(options ProcessOptions) *Process {
	return &Process{
		Actor:          actor.New(),
		ProcessOptions: options,
		file:           filepath.Join(filepath.Dir(options.Dir), "config.json"),
		eventCounts:    map[string]int{},
	}
}

// EventKind is what happened to a process.
type EventKind string

// Kinds of events.
const (
	Launched        EventKind = "launched"
	Serving         EventKind = "serving"
	HostStateLogged EventKind = "host state logged"
	Killed          EventKind = "killed"     // by SIGKILL
	Terminated      EventKind = "terminated" // by SIGTERM, ends itself
	Frozen          EventKind = "frozen"     // by SIGSTOP
	Thawed          EventKind = "thawed"     // by SIGCONT
	Exited          EventKind = "exited"
)

// ProcessEvent is something that happened to a process.
type ProcessEvent struct {
	At          int64 // ns of actor.Now
	Kind        EventKind
	Incarnation int
	Host        string // of HostStateLogged
	State       string // of HostStateLogged: the host's state
}

// record logs an event of the process.
func (p *Process) record(kind EventKind) {
	p.events = append(p.events, ProcessEvent{At: actor.Now(), Kind: kind, Incarnation: p.incarnation})
}

// Running reports whether the process runs.
func (p *Process) Running() (running bool) {
	p.Ask(func() { running = p.running })
	return running
}

// Addr returns the address at which clients connect, which is the same in all incarnations.
func (p *Process) Addr() (addr string) {
	p.Ask(func() { addr = p.addresses.clients })
	return addr
}

// PeerListen returns the address at which the process receives gossip; not valid if it does not.
func (p *Process) PeerListen() (addr netip.AddrPort) {
	p.Ask(func() { addr = p.addresses.peers })
	return addr
}

// PID returns the process id; 0 while the process is down.
func (p *Process) PID() (pid int) {
	p.Ask(func() {
		if p.running {
			pid = p.command.Process.Pid
		}
	})
	return pid
}

// Launch starts the process and does not wait until it serves.
func (p *Process) Launch() (err error) {
	p.Ask(func() { err = p.launch() })
	return err
}

// launch is Launch within the actor.
func (p *Process) launch() error {
	if p.running {
		return fmt.Errorf("%s runs already", p.Name)
	}
	if p.addresses.clients != "" {
		p.Config.SetListen(p.addresses.clients)
	}
	if err := os.MkdirAll(p.Dir, 0o755); err != nil {
		return fmt.Errorf("launching %s: %w", p.Name, err)
	}
	if err := p.writeConfig(); err != nil {
		return fmt.Errorf("launching %s: %w", p.Name, err)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return fmt.Errorf("launching %s: %w", p.Name, err)
	}
	command := exec.Command(p.Binary)
	command.Dir = p.Dir
	command.Env = append(append(os.Environ(), p.ConfigVariable+"="+p.file), p.Env...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // if the test itself is killed
	command.Stderr = writer
	err = command.Start()
	writer.Close()
	if err != nil {
		reader.Close()
		return fmt.Errorf("launching %s: %w", p.Name, err)
	}
	p.command = command
	p.running = true
	p.exited = make(chan struct{})
	p.incarnation++
	p.log.startIncarnation()
	p.record(Launched)
	go p.follow(command, reader, p.exited)
	return nil
}

// writeConfig writes the configuration file.
func (p *Process) writeConfig() error {
	text, err := json.Marshal(p.Config)
	if err != nil {
		return err
	}
	return os.WriteFile(p.file, text, 0o644)
}

// onExit records the end of the process.
func (p *Process) onExit(status string) {
	p.running = false
	p.record(Exited)
	p.receiveLine(fmt.Sprintf("event=exited status=%q", status))
	p.log.closeWaiters()
	if p.OnExit != nil {
		p.OnExit()
	}
}

// signalEvents are the events that signals cause.
var signalEvents = map[syscall.Signal]EventKind{
	syscall.SIGKILL: Killed,
	syscall.SIGTERM: Terminated,
	syscall.SIGSTOP: Frozen,
	syscall.SIGCONT: Thawed,
}

// signal sends a signal. It returns a channel that is closed when the process has ended.
func (p *Process) signal(signal syscall.Signal) (exited <-chan struct{}, err error) {
	p.Ask(func() {
		if !p.running {
			err = fmt.Errorf("%v to %s: it is down", signal, p.Name)
			return
		}
		if kind, ok := signalEvents[signal]; ok {
			p.record(kind)
		}
		exited = p.exited
		err = p.command.Process.Signal(signal)
	})
	return exited, err
}

// Kill ends the process by SIGKILL and waits until it has ended.
func (p *Process) Kill() error {
	exited, err := p.signal(syscall.SIGKILL)
	if err != nil {
		return err
	}
	<-exited
	return nil
}

// Terminate asks the process to shut down, by SIGTERM. WaitExit waits for its end.
func (p *Process) Terminate() error {
	_, err := p.signal(syscall.SIGTERM)
	return err
}

// Reload writes Config to the configuration file and makes the process read it, by SIGHUP.
func (p *Process) Reload() error {
	var err error
	p.Ask(func() { err = p.writeConfig() })
	if err != nil {
		return fmt.Errorf("reloading %s: %w", p.Name, err)
	}
	_, err = p.signal(syscall.SIGHUP)
	return err
}

// WaitExit waits until the process has ended.
func (p *Process) WaitExit(ctx context.Context) error {
	var exited chan struct{}
	p.Ask(func() {
		if p.running {
			exited = p.exited
		}
	})
	if exited == nil {
		return nil
	}
	select {
	case <-exited:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%s did not end: %w; last lines:\n%s", p.Name, ctx.Err(), p.Tail(tailLines))
	}
}

// stopped is the state of a process, in its file stat, after SIGSTOP.
const stopped = "T"

// Freeze stops the process by SIGSTOP and waits until it is stopped.
func (p *Process) Freeze() error {
	if _, err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for {
		stat, err := p.stat()
		if err != nil || stat.State == stopped {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// Thaw lets a frozen process go on, by SIGCONT.
func (p *Process) Thaw() error {
	_, err := p.signal(syscall.SIGCONT)
	return err
}

// Restart starts the process anew with the same name, addresses and configuration, and kills it before if it runs. With
// emptyDisk its working folder is removed. It returns once the process serves.
func (p *Process) Restart(ctx context.Context, emptyDisk bool) error {
	if p.Running() {
		if err := p.Kill(); err != nil {
			return err
		}
	}
	if emptyDisk {
		if err := os.RemoveAll(p.Dir); err != nil {
			return fmt.Errorf("restarting %s: %w", p.Name, err)
		}
	}
	if err := p.Launch(); err != nil {
		return err
	}
	return p.WaitServing(ctx)
}

// UnexpectedExits returns how often the process ended without having been asked to.
func UnexpectedExits(events []ProcessEvent) (count int) {
	expected := false
	for _, event := range events {
		switch event.Kind {
		case Launched:
			expected = false
		case Killed, Terminated:
			expected = true
		case Exited:
			if !expected {
				count++
			}
		}
	}
	return count
}

// errActorStopped is the error of a wait at a process whose actor is stopped.
var errActorStopped = errors.New("its actor is stopped")
