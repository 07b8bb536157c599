package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/procfs"

	"ravensill/lab/actor"
)

const keptLines = 4000 // of a process's log, over its lives

// program is a command of this module that is built once a test process.
type program struct {
	importPath string
	once       sync.Once
	path       string
	err        error
}

var (
	gatewayProgram = program{importPath: "ravensill/cmd/ravensill"}
	faultyProgram  = program{importPath: "ravensill/lab/faultygateway"}
)

// build builds the command, if that is not done yet, and returns its path.
func (p *program) build() (string, error) {
	p.once.Do(func() {
		dir, err := os.MkdirTemp("", "ravensill-fleet-")
		if err != nil {
			p.err = err
			return
		}
		p.path = filepath.Join(dir, filepath.Base(p.importPath))
		out, err := exec.Command("go", "build", "-o", p.path, p.importPath).CombinedOutput()
		if err != nil {
			p.err = fmt.Errorf("building %s: %w: %s", p.importPath, err, out)
		}
	})
	return p.path, p.err
}

// Binary builds the program once a test process and gives its path. RAVENSILL_BINARY names another one instead.
func Binary() (string, error) {
	if path := os.Getenv("RAVENSILL_BINARY"); path != "" {
		return path, nil
	}
	return gatewayProgram.build()
}

// FaultyBinary builds the gateway whose system calls fail by chance, once a test process, and gives its path.
func FaultyBinary() (string, error) { return faultyProgram.build() }

// Gateway is one process in its lives: a task that owns its log and its present life.
type Gateway struct {
	*actor.Actor
	Index    int
	Name     string
	Dir      string         // a folder of its own for what it keeps on disk; the configuration file is beside it
	Config   map[string]any // written to its file at each start; change it between lives only
	binary   string
	variable string // of the environment; names the configuration file
	ready    string // the event by which a life says that it serves
	file     string
	listen   string // of its first life, for all later ones
	peer     string // where it listens for datagrams in this life
	env      []string
	cmd      *exec.Cmd
	up       bool
	gone     chan struct{} // closed when the present life is over
	lines    []string
	cut      int // lines dropped in front
	life     int // lines before this life's
	lives    int
	counts   map[string]int // by event, over all lives
	past     []Moment
	watch    []*wait
	serves   func(g *Gateway, listen, peer string)
	dies     func(g *Gateway)
}

// Process is any program that reads a configuration file which a variable of its environment names, and that logs events
// as the gateway does.
type Process = Gateway

// ProcessPlan describes a process that is no gateway of a fleet.
type ProcessPlan struct {
	Name     string
	Index    int
	Binary   string         // path of the program
	Variable string         // of the environment; names the configuration file
	Ready    string         // the event by which the process says that it serves
	Dir      string         // working folder; the configuration file is beside it
	Config   map[string]any // content of the configuration file
}

// NewProcess makes a process that is not yet launched. The caller kills it and stops its task.
func NewProcess(p ProcessPlan) *Process {
	return &Process{
		Actor:    actor.New(),
		Index:    p.Index,
		Name:     p.Name,
		Dir:      p.Dir,
		Config:   p.Config,
		binary:   p.Binary,
		variable: p.Variable,
		ready:    p.Ready,
		file:     filepath.Join(filepath.Dir(p.Dir), "config.json"),
		counts:   map[string]int{},
		serves:   func(*Gateway, string, string) {},
		dies:     func(*Gateway) {},
	}
}

// Moment is something that befell a process.
type Moment struct {
	At    int64
	What  string // launched, serving, told, kill, term, stop, continue, exited
	Life  int    // number of the life, from 1 on
	Host  string // of told: the process logged that this host's state is now State
	State string
}

func (g *Gateway) moment(what string) {
	g.past = append(g.past, Moment{At: actor.Now(), What: what, Life: g.lives})
}

// Past gives all that befell the process, in order.
func (g *Gateway) Past() (past []Moment) {
	g.Ask(func() { past = slices.Clone(g.past) })
	return past
}

type wait struct {
	text string
	line chan string
}

// Running tells whether the process lives.
func (g *Gateway) Running() (up bool) {
	g.Ask(func() { up = g.up })
	return up
}

// Addr is where clients connect; the same in all lives.
func (g *Gateway) Addr() (addr string) {
	g.Ask(func() { addr = g.listen })
	return addr
}

// PID is the present life's; 0 while it is down.
func (g *Gateway) PID() (pid int) {
	g.Ask(func() {
		if g.up {
			pid = g.cmd.Process.Pid
		}
	})
	return pid
}

// Launch starts a life and does not wait until it serves.
func (g *Gateway) Launch() (err error) {
	g.Ask(func() { err = g.launch() })
	return err
}

func (g *Gateway) launch() error {
	if g.up {
		return fmt.Errorf("%s runs already", g.Name)
	}
	if g.listen != "" {
		g.Config["listen"] = g.listen
	}
	text, err := json.Marshal(g.Config)
	if err != nil {
		return err
	}
	if err := errors.Join(os.MkdirAll(g.Dir, 0o755), os.WriteFile(g.file, text, 0o644)); err != nil {
		return err
	}
	g.cmd = exec.Command(g.binary)
	g.cmd.Dir = g.Dir
	g.cmd.Env = append(append(os.Environ(), g.variable+"="+g.file), g.env...)
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // should the test itself be killed
	r, w, err := os.Pipe()
	if err != nil {
		return err
	}
	g.cmd.Stderr = w
	err = g.cmd.Start()
	w.Close()
	if err != nil {
		r.Close()
		return err
	}
	g.up, g.life, g.gone = true, g.cut+len(g.lines), make(chan struct{})
	g.lives++
	g.moment("launched")
	cmd, gone := g.cmd, g.gone
	go func() {
		s := bufio.NewScanner(r)
		s.Buffer(nil, 1<<20)
		for s.Scan() {
			line := s.Text()
			g.Do(func() { g.say(line) })
		}
		r.Close()
		err := cmd.Wait()
		g.Do(func() {
			g.up = false
			g.moment("exited")
			g.say(fmt.Sprintf("event=exited status=%q", fmt.Sprint(cmd.ProcessState, err)))
			for _, w := range g.watch { // nothing more comes in this life
				close(w.line)
			}
			g.watch = nil
			g.dies(g)
			close(gone)
		})
	}()
	return nil
}

func (g *Gateway) say(line string) {
	if g.lines = append(g.lines, line); len(g.lines) > keptLines {
		g.cut++
		g.lines = g.lines[1:]
	}
	if _, rest, ok := strings.Cut(line, "event="); ok {
		event, _, _ := strings.Cut(rest, " ")
		g.counts[event]++
		if event == "endpoint_state" {
			g.past = append(g.past, Moment{actor.Now(), "told", g.lives, field(line, "id"), field(line, "state")})
		}
		if event == g.ready {
			g.moment("serving")
			g.listen, g.peer = field(line, "listen"), field(line, "peer_listen")
			g.serves(g, g.listen, g.peer)
		}
	} else {
		g.counts["unnamed"]++ // such as a runtime's trace
	}
	kept := g.watch[:0]
	for _, w := range g.watch {
		if strings.Contains(line, w.text) {
			w.line <- line
		} else {
			kept = append(kept, w)
		}
	}
	g.watch = kept
}

// field gives the value of name=value in a line.
func field(line, name string) string {
	_, rest, _ := strings.Cut(line, " "+name+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// Wait waits for a line of the present life that holds a text, one that has come already too.
func (g *Gateway) Wait(ctx context.Context, text string) (string, error) {
	return g.WaitAfter(ctx, -1, text)
}

// WaitAfter is Wait for lines after a mark, as Mark gives one; -1 stands for all of the present life.
func (g *Gateway) WaitAfter(ctx context.Context, mark int, text string) (string, error) {
	w := &wait{text, make(chan string, 1)}
	if !g.Ask(func() {
		if mark < 0 {
			mark = g.life
		}
		for i := max(mark-g.cut, 0); i < len(g.lines); i++ {
			if strings.Contains(g.lines[i], text) {
				w.line <- g.lines[i]
				return
			}
		}
		if !g.up {
			close(w.line)
			return
		}
		g.watch = append(g.watch, w)
	}) {
		return "", fmt.Errorf("%s: the rig is closed", g.Name)
	}
	select {
	case line, ok := <-w.line:
		if !ok {
			return "", fmt.Errorf("%s ended before it said %q; last lines:\n%s", g.Name, text, g.Tail(8))
		}
		return line, nil
	case <-ctx.Done():
		return "", fmt.Errorf("%s never said %q: %w; last lines:\n%s", g.Name, text, ctx.Err(), g.Tail(8))
	}
}

// Mark is the place in the log where it ends now.
func (g *Gateway) Mark() (n int) {
	g.Ask(func() { n = g.cut + len(g.lines) })
	return n
}

// Tail gives the last lines.
func (g *Gateway) Tail(n int) (text string) {
	g.Ask(func() { text = strings.Join(g.lines[max(0, len(g.lines)-n):], "\n") })
	return text
}

// LinesAfter gives the lines after a mark, as Mark gives one or 0, and the mark after the last of them.
func (g *Gateway) LinesAfter(mark int) (lines []string, next int) {
	g.Ask(func() {
		lines = slices.Clone(g.lines[min(max(mark-g.cut, 0), len(g.lines)):])
		next = g.cut + len(g.lines)
	})
	return lines, next
}

// Lines gives the kept lines that hold a text.
func (g *Gateway) Lines(text string) (lines []string) {
	g.Ask(func() {
		for _, l := range g.lines {
			if strings.Contains(l, text) {
				lines = append(lines, l)
			}
		}
	})
	return lines
}

// Counts gives how many lines came of each event, over all lives.
func (g *Gateway) Counts() (counts map[string]int) {
	g.Ask(func() { counts = maps.Clone(g.counts) })
	return counts
}

var signals = map[syscall.Signal]string{syscall.SIGKILL: "kill", syscall.SIGTERM: "term", syscall.SIGSTOP: "stop",
	syscall.SIGCONT: "continue"}

// signal sends a signal to the present life.
func (g *Gateway) signal(s syscall.Signal) (gone chan struct{}, err error) {
	g.Ask(func() {
		if !g.up {
			err = fmt.Errorf("%s is down", g.Name)
			return
		}
		if what := signals[s]; what != "" {
			g.moment(what)
		}
		gone, err = g.gone, g.cmd.Process.Signal(s)
	})
	return gone, err
}

// Kill ends the process by SIGKILL and waits until it is gone.
func (g *Gateway) Kill() error {
	gone, err := g.signal(syscall.SIGKILL)
	if err == nil {
		<-gone
	}
	return err
}

// Term asks the process to stop by SIGTERM; WaitExit waits for its end.
func (g *Gateway) Term() error {
	_, err := g.signal(syscall.SIGTERM)
	return err
}

// Hup makes the process read its configuration file anew, as Config is now.
func (g *Gateway) Hup() error {
	var err error
	g.Ask(func() {
		var text []byte
		if text, err = json.Marshal(g.Config); err == nil {
			err = os.WriteFile(g.file, text, 0o644)
		}
	})
	if err == nil {
		_, err = g.signal(syscall.SIGHUP)
	}
	return err
}

// WaitExit waits until the present life is over.
func (g *Gateway) WaitExit(ctx context.Context) error {
	var gone chan struct{}
	g.Ask(func() {
		if g.up {
			gone = g.gone
		}
	})
	if gone == nil {
		return nil
	}
	select {
	case <-gone:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%s did not end: %w; last lines:\n%s", g.Name, ctx.Err(), g.Tail(8))
	}
}

// Stop freezes the process by SIGSTOP and waits until it stands.
func (g *Gateway) Stop() error {
	if _, err := g.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for {
		s, err := g.stat()
		if err != nil || s.State == "T" {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// Continue lets a frozen process go on.
func (g *Gateway) Continue() error {
	_, err := g.signal(syscall.SIGCONT)
	return err
}

// Restart starts a new life with the same name, addresses and configuration after the present one was killed. empty
// removes what it kept on disk. It returns once the process serves.
func (g *Gateway) Restart(ctx context.Context, empty bool) error {
	if g.Running() {
		if err := g.Kill(); err != nil {
			return err
		}
	}
	if empty {
		if err := os.RemoveAll(g.Dir); err != nil {
			return err
		}
	}
	if err := g.Launch(); err != nil {
		return err
	}
	return g.Serving(ctx)
}

// Serving waits until the present life serves.
func (g *Gateway) Serving(ctx context.Context) error {
	_, err := g.Wait(ctx, "event="+g.ready)
	return err
}

// Usage is what a process has used since its start.
type Usage struct {
	RSS   int           // bytes in memory now
	Peak  int           // most bytes in memory
	CPU   time.Duration // user and system
	Files int           // open descriptors
}

func (g *Gateway) stat() (s procfs.ProcStat, err error) {
	p, err := procfs.NewProc(g.PID())
	if err == nil {
		s, err = p.Stat()
	}
	return s, err
}

// Usage reads what the present life has used.
func (g *Gateway) Usage() (u Usage, err error) {
	p, err := procfs.NewProc(g.PID())
	if err != nil {
		return u, err
	}
	s, err := p.Stat()
	if err != nil {
		return u, err
	}
	st, err := p.NewStatus()
	if err != nil {
		return u, err
	}
	u = Usage{RSS: s.ResidentMemory(), Peak: int(st.VmHWM), CPU: time.Duration(s.CPUTime() * float64(time.Second))}
	u.Files, err = p.FileDescriptorsLen()
	return u, err
}

// PeerListen is where the process listens for datagrams in this life; not valid where it does not.
func (g *Gateway) PeerListen() (a netip.AddrPort) {
	g.Ask(func() { a, _ = netip.ParseAddrPort(g.peer) })
	return a
}
