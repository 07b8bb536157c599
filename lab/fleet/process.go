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

// Gateway is one gateway of a fleet. It stays the same over restarts of its process.
type Gateway struct {
	*Process
	Config *gatewayconfig.File // written to the configuration file at each start and by Reload
}

// Config is the content of a process's configuration file.
type Config interface {
	// SetListen sets the address at which the process accepts client connections.
	SetListen(addr string)
}

// Process runs a program, which may be restarted any number of times. The program reads the configuration file that an
// environment variable names, and writes log lines in the gateway's format. Process is an actor: its goroutine owns the
// log and the state of the running process, and its methods may be called by any goroutine except that one.
type Process struct {
	*actor.Actor
	ProcessOptions
	configPath  string
	addresses   addresses // of the latest incarnation; later ones are told to listen at the same client address
	command     *exec.Cmd
	running     bool
	exited      chan struct{} // closed when the running process has ended
	incarnation int           // number of starts so far
	log         processLog
	events      []ProcessEvent
	eventCounts map[string]int // log lines by event, over all incarnations
}

// ProcessOptions describe a process.
type ProcessOptions struct {
	Name           string
	Index          int    // among the processes of its kind; for a gateway its member index
	Binary         string // path of the program
	ConfigVariable string // environment variable that names the configuration file
	ReadyEvent     string // event of the log line by which the process says that it serves
	Dir            string // working directory; the configuration file is placed beside it
	// Config is the content of the configuration file. It may be changed while the process is down, or before Reload.
	Config    Config
	Env       []string          // added to the environment of the test process, as name=value
	OnServing func(line string) // called by the actor with the log line of ReadyEvent; may be nil
	OnExit    func()            // called by the actor when the process has ended; may be nil
}

// NewProcess returns a process that is not started yet. The caller must kill it and stop its actor in the end.
func NewProcess(options ProcessOptions) *Process {
	return &Process{
		Actor:          actor.New(),
		ProcessOptions: options,
		configPath:     filepath.Join(filepath.Dir(options.Dir), "config.json"),
		eventCounts:    map[string]int{},
	}
}

// EventKind says what happened to a process.
type EventKind string

// Kinds of events. Killed, Terminated, Frozen and Thawed are recorded just before the signal is sent.
const (
	Launched        EventKind = "launched"
	Serving         EventKind = "serving"
	HostStateLogged EventKind = "host state logged"
	Killed          EventKind = "killed"     // SIGKILL
	Terminated      EventKind = "terminated" // SIGTERM, after which the process shuts down by itself
	Frozen          EventKind = "frozen"     // SIGSTOP
	Thawed          EventKind = "thawed"     // SIGCONT
	Exited          EventKind = "exited"
)

// ProcessEvent is something that happened to a process at a time.
type ProcessEvent struct {
	At          int64 // ns of actor.Now
	Kind        EventKind
	Incarnation int
	Host        string // host id, for HostStateLogged only
	State       string // the state that the gateway logged for the host, for HostStateLogged only
}

// record adds an event of the current incarnation.
func (p *Process) record(kind EventKind) {
	p.events = append(p.events, ProcessEvent{At: actor.Now(), Kind: kind, Incarnation: p.incarnation})
}

// Running reports whether the process is started and has not ended. A frozen process is running.
func (p *Process) Running() (running bool) {
	p.Ask(func() { running = p.running })
	return running
}

// Addr returns the address at which the process accepts client connections. It is empty until the first incarnation
// serves and the same in all later ones.
func (p *Process) Addr() (addr string) {
	p.Ask(func() { addr = p.addresses.clients })
	return addr
}

// PeerListen returns the address at which the process receives gossip, or an invalid one if it receives none.
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

// Launch starts the process without waiting until it serves. It fails if the process is running, or if its files cannot
// be written.
func (p *Process) Launch() (err error) {
	p.Ask(func() { err = p.launch() })
	return err
}

// launch does the work of Launch. It must be called within the actor.
func (p *Process) launch() error {
	if p.running {
		return fmt.Errorf("launching %s: it is already running", p.Name)
	}
	if p.addresses.clients != "" {
		p.Config.SetListen(p.addresses.clients)
	}
	if err := os.MkdirAll(p.Dir, 0o755); err != nil {
		return fmt.Errorf("launching %s: %w", p.Name, err)
	}
	if err := p.writeConfig(); err != nil {
		return fmt.Errorf("launching %s: writing its configuration file: %w", p.Name, err)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return fmt.Errorf("launching %s: creating the pipe for its log: %w", p.Name, err)
	}
	command := exec.Command(p.Binary)
	command.Dir = p.Dir
	command.Env = append(append(os.Environ(), p.ConfigVariable+"="+p.configPath), p.Env...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends the process if the test is killed
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
	go p.readLog(command, reader, p.exited)
	return nil
}

// writeConfig writes the configuration file as JSON.
func (p *Process) writeConfig() error {
	text, err := json.Marshal(p.Config)
	if err != nil {
		return err
	}
	return os.WriteFile(p.configPath, text, 0o644)
}

// onExit records the end of the process, adds a log line with its exit status and ends all waits for log lines.
func (p *Process) onExit(status string) {
	p.running = false
	p.record(Exited)
	p.receiveLine(fmt.Sprintf("event=exited status=%q", status))
	p.log.closeWaiters()
	if p.OnExit != nil {
		p.OnExit()
	}
}

// signalEvents holds the kind of the event to record for each signal. Other signals are not recorded.
var signalEvents = map[syscall.Signal]EventKind{
	syscall.SIGKILL: Killed,
	syscall.SIGTERM: Terminated,
	syscall.SIGSTOP: Frozen,
	syscall.SIGCONT: Thawed,
}

// signal sends a signal to the running process, or fails if the process is down. The returned channel is closed when
// the process has ended.
func (p *Process) signal(signal syscall.Signal) (exited <-chan struct{}, err error) {
	p.Ask(func() {
		if !p.running {
			err = fmt.Errorf("sending %v to %s: the process is down", signal, p.Name)
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

// Kill ends the process by SIGKILL and waits until it has ended. It fails if the process is down.
func (p *Process) Kill() error {
	exited, err := p.signal(syscall.SIGKILL)
	if err != nil {
		return err
	}
	<-exited
	return nil
}

// Terminate asks the process to shut down, by SIGTERM, and does not wait; WaitExit does.
func (p *Process) Terminate() error {
	_, err := p.signal(syscall.SIGTERM)
	return err
}

// Reload writes Config to the configuration file and tells the process by SIGHUP to read it.
func (p *Process) Reload() error {
	var err error
	p.Ask(func() { err = p.writeConfig() })
	if err != nil {
		return fmt.Errorf("reloading %s: writing its configuration file: %w", p.Name, err)
	}
	_, err = p.signal(syscall.SIGHUP)
	return err
}

// WaitExit waits until the process has ended. It returns at once if the process is down.
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
		return fmt.Errorf("waiting for the end of %s: %w; last lines of its log:\n%s", p.Name, ctx.Err(), p.Tail(tailLines))
	}
}

// stoppedState is the state in /proc/PID/stat of a process that SIGSTOP has stopped.
const stoppedState = "T"

// Freeze stops the process by SIGSTOP. The signal takes effect later, so Freeze waits until the process has stopped.
func (p *Process) Freeze() error {
	if _, err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for {
		stat, err := p.procStat()
		if err != nil || stat.State == stoppedState {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// Thaw resumes a frozen process by SIGCONT.
func (p *Process) Thaw() error {
	_, err := p.signal(syscall.SIGCONT)
	return err
}

// Restart starts a new incarnation with the same name, client address and configuration, and waits until it serves. A
// process that is still running is killed first. With emptyDisk, the working directory is removed before the start.
func (p *Process) Restart(ctx context.Context, emptyDisk bool) error {
	if p.Running() {
		if err := p.Kill(); err != nil {
			return err
		}
	}
	if emptyDisk {
		if err := os.RemoveAll(p.Dir); err != nil {
			return fmt.Errorf("restarting %s: removing its working directory: %w", p.Name, err)
		}
	}
	if err := p.Launch(); err != nil {
		return err
	}
	return p.WaitServing(ctx)
}

// UnexpectedExits returns the number of exits among a process's events that followed neither Killed nor Terminated
// since the launch.
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

// errStopped is the error of waiting for a log line of a process whose actor is stopped.
var errStopped = errors.New("its actor is stopped")
