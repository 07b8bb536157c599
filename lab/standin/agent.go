package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

	"ravensill/lab/task"
)

const sign = 2 * time.Second // between the empty lines of a watch

// Entry is one host in the words of the list.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"` // active, leaving, left
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// Mode is how the agent of one gateway behaves.
type Mode struct {
	Frozen bool          // it has received nothing since: it answers with what it had
	Silent bool          // it takes calls and says nothing more, on open watches too
	Down   bool          // calls are ended at once, and so are open watches
	Indent bool          // lists come indented, over several lines
	Delay  time.Duration // from a change until the agent has received it
	Part   float64       // above 0: only this part of a list's bytes come, then the connection ends
	Chunk  int           // above 0: bytes go out in chunks of this size
}

// Told is one change that was written to a gateway's agent's watch, whole.
type Told struct {
	Gateway int
	Version int
	At      int64
}

// Agent stands in for discovery: one server that is a different agent to each gateway, told apart by the address
// in 127.0.0.0/8 that the gateway calls.
type Agent struct {
	*task.Task
	server *http.Server
	port   uint16
	net    byte
	views  []*view
	log    []Change // all changes, in order; the version is the index
	told   []Told
	asked  map[int]int // calls by gateway
}

// Change is one change of the list.
type Change struct {
	At      int64
	Entries []Entry
	Only    []int // gateways whose agents ever receive it; nil all
}

// view is what one gateway's agent has received.
type view struct {
	gateway int
	upto    int // version received
	mode    Mode
	watches map[*watcher]bool
}

type watcher struct {
	from int // version told
	out  chan []byte
	part bool
	quit chan struct{}
}

// Loopback gives the address in 127.0.0.0/8 that stands for number i of a net, so that many can share one port.
func Loopback(net byte, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, net, byte((i + 1) >> 8), byte(i + 1)})
}

// Free gives an address of number i of a net, below the ports that systems deal out: its TCP and UDP stay free until who
// is told of it starts, and while that is down.
func Free(of byte, i int) (a netip.AddrPort, err error) {
	for try := range 200 {
		a = netip.AddrPortFrom(Loopback(of, i), uint16(20000+(os.Getpid()*31+try*97+i)%12000))
		var l net.Listener
		var p net.PacketConn
		if l, err = net.Listen("tcp4", a.String()); err != nil {
			continue
		}
		closeListener(l)
		if p, err = net.ListenPacket("udp4", a.String()); err == nil {
			p.Close()
			return a, nil
		}
	}
	return a, err
}

// Number gives i back, -1 where the address is none of the net's.
func Number(net byte, a netip.Addr) int {
	b := a.Unmap().As4()
	if b[0] != 127 || b[1] != net {
		return -1
	}
	return int(b[2])<<8 + int(b[3]) - 1
}

// NewAgent starts the agents of so many gateways; entries are what all have at first.
func NewAgent(net1 byte, gateways int, entries ...Entry) (*Agent, error) {
	ln, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a := &Agent{Task: task.New(), net: net1, port: netip.MustParseAddrPort(ln.Addr().String()).Port(),
		log: []Change{{}, {At: task.Now(), Entries: entries}}, asked: map[int]int{}}
	for i := range gateways {
		a.views = append(a.views, &view{gateway: i, upto: 1, watches: map[*watcher]bool{}})
	}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go a.server.Serve(ln)
	a.beat()
	return a, nil
}

// Addr is where a gateway finds its agent.
func (a *Agent) Addr(gateway int) string {
	return netip.AddrPortFrom(Loopback(a.net, gateway), a.port).String()
}

// Close ends it.
func (a *Agent) Close() {
	a.server.Close()
	a.Task.Stop()
}

func (a *Agent) beat() {
	a.After(sign, func() {
		for _, v := range a.views {
			if v.mode.Silent {
				continue
			}
			for w := range v.watches {
				w.say([]byte("\n"))
			}
		}
		a.beat()
	})
}

func (w *watcher) say(b []byte) {
	select {
	case w.out <- b:
	default: // it does not read
		w.end()
	}
}

func (w *watcher) end() {
	select {
	case <-w.quit:
	default:
		close(w.quit)
	}
}

// Push makes a change known. It returns the change's version.
func (a *Agent) Push(entries ...Entry) int { return a.PushTo(nil, entries...) }

// PushTo makes a change known to the agents of some gateways only; the others never receive it.
func (a *Agent) PushTo(gateways []int, entries ...Entry) (version int) {
	a.Ask(func() {
		version = len(a.log)
		a.log = append(a.log, Change{task.Now(), entries, gateways})
		for _, v := range a.views {
			if v.mode.Delay > 0 {
				a.After(v.mode.Delay, func() { a.receive(v, version) })
			} else {
				a.receive(v, version)
			}
		}
	})
	return version
}

// receive lets a gateway's agent have all up to a version, and tells its watches.
func (a *Agent) receive(v *view, version int) {
	if v.mode.Frozen || version <= v.upto {
		return
	}
	v.upto = version
	for w := range v.watches {
		a.tell(v, w)
	}
}

func (a *Agent) tell(v *view, w *watcher) {
	if v.mode.Silent || w.from >= v.upto {
		return
	}
	b, some := a.list(v, w.from)
	if w.from = v.upto; !some {
		return
	}
	if v.mode.Part > 0 {
		w.part = true
		b = b[:int(float64(len(b))*min(v.mode.Part, 1))]
	} else {
		a.told = append(a.told, Told{v.gateway, v.upto, task.Now()})
	}
	w.say(b)
	if w.part {
		w.say(nil)
	}
}

// list gives what changed after a version, or the whole list; some tells whether it holds anything.
func (a *Agent) list(v *view, after int) (text []byte, some bool) {
	full := after <= 0 || after > v.upto
	if full {
		after = 0
	}
	last := map[string]Entry{}
	var order []string
	for _, c := range a.log[after+1 : v.upto+1] {
		if c.Only != nil && !slices.Contains(c.Only, v.gateway) {
			continue
		}
		for _, e := range c.Entries {
			if _, ok := last[e.ID]; !ok {
				order = append(order, e.ID)
			}
			last[e.ID] = e
		}
	}
	entries := []Entry{}
	for _, id := range order {
		if e := last[id]; !full || e.State != "left" {
			entries = append(entries, e)
		}
	}
	list := map[string]any{"version": v.upto, "full": full, "servers": entries}
	if v.mode.Indent {
		text, _ = json.MarshalIndent(list, "", "  ")
	} else {
		text, _ = json.Marshal(list)
	}
	return append(text, '\n'), full || len(entries) > 0
}

// Set changes how the agents of some gateways behave; nil stands for all. What an agent missed while it was frozen,
// silent or down it has at once when that is over.
func (a *Agent) Set(gateways []int, f func(*Mode)) {
	a.Ask(func() {
		for _, v := range a.views {
			if gateways != nil && !slices.Contains(gateways, v.gateway) {
				continue
			}
			f(&v.mode)
			if v.mode.Down {
				for w := range v.watches {
					w.end()
				}
				continue
			}
			a.receive(v, len(a.log)-1)
			for w := range v.watches {
				a.tell(v, w)
			}
		}
	})
}

// Told gives what was written to watches so far.
func (a *Agent) Told() (told []Told) {
	a.Ask(func() { told = slices.Clone(a.told) })
	return told
}

// Changes gives all changes so far; the first is what all had at the start.
func (a *Agent) Changes() (all []Change) {
	a.Ask(func() { all = slices.Clone(a.log[1:]) })
	return all
}

// Asked tells how often each gateway called.
func (a *Agent) Asked() (asked map[int]int) {
	a.Ask(func() { asked = maps.Clone(a.asked) })
	return asked
}

// Watching tells how many watches are open.
func (a *Agent) Watching() (n int) {
	a.Ask(func() {
		for _, v := range a.views {
			n += len(v.watches)
		}
	})
	return n
}

// Known is the whole list as a gateway's agent has it, for the configuration's key of that name.
func (a *Agent) Known(gateway int) (text json.RawMessage) {
	a.Ask(func() { text, _ = a.list(a.views[gateway], 0) })
	return text
}

func (a *Agent) serve(rw http.ResponseWriter, r *http.Request) {
	local, _ := netip.ParseAddrPort(r.Context().Value(http.LocalAddrContextKey).(net.Addr).String())
	i := Number(a.net, local.Addr())
	if i < 0 || i >= len(a.views) || r.URL.Path != "/v1/servers" {
		http.Error(rw, "nothing here", http.StatusNotFound)
		return
	}
	w := &watcher{out: make(chan []byte, 256), quit: make(chan struct{})}
	watch := r.URL.Query().Get("watch") == "1"
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	var mode Mode
	a.Ask(func() {
		v := a.views[i]
		a.asked[i]++
		mode = v.mode
		if mode.Silent || mode.Down { // a silent one is told nothing, but stays open
			w.from = after
		} else if watch {
			w.from = after
			a.tell(v, w)
		} else {
			b, _ := a.list(v, 0)
			if a.told = append(a.told, Told{i, v.upto, task.Now()}); mode.Part > 0 {
				b = b[:int(float64(len(b))*min(mode.Part, 1))]
			}
			w.say(b)
			w.say(nil)
		}
		if watch && !mode.Down {
			v.watches[w] = true
		}
	})
	defer a.Do(func() { delete(a.views[i].watches, w) })
	if mode.Down {
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Content-Type", "application/json")
	out := http.NewResponseController(rw)
	if !mode.Silent && watch {
		rw.WriteHeader(http.StatusOK)
		out.Flush()
	}
	for {
		select {
		case b := <-w.out:
			if b == nil {
				if mode.Part > 0 || w.part {
					panic(http.ErrAbortHandler)
				}
				return
			}
			for len(b) > 0 {
				n := len(b)
				if mode.Chunk > 0 {
					n = min(n, mode.Chunk)
				}
				rw.Write(b[:n])
				out.Flush()
				b = b[n:]
			}
		case <-w.quit:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}
