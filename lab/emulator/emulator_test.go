package emulator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"ravensill/internal/golden"
)

const waitLimit = 20 * time.Second

// testConn is a connection of a test.
type testConn struct {
	net.Conn
	reader *bufio.Reader
}

// dial opens a connection.
func dial(t *testing.T, addr string) *testConn {
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(waitLimit))
	return &testConn{c, bufio.NewReader(c)}
}

// send sends a command.
func (c *testConn) send(words ...string) {
	b := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	c.Write(b)
}

// readAnswer returns one answer's raw bytes, with line ends shown as bars.
func (c *testConn) readAnswer() string {
	var b []byte
	for {
		x, err := c.reader.ReadByte()
		if err != nil {
			return string(b) + "end"
		}
		b = append(b, x)
		if n, _ := redcon.ReadNextRESP(b); n > 0 {
			return strings.ReplaceAll(string(b), "\r\n", "|")
		}
	}
}

const arguments = "c=lookup,t=team,d=1000,units=1,spread=1,first=0"

// TestHost checks a host's replies and counts in its states.
func TestHost(t *testing.T) {
	h, err := NewHost(HostPlan{ID: "h", Listen: "127.0.0.1:0", Conns: 2, Report: []string{"outstanding"}, Model: Model{Errors: 0.5, Most: 2}})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	var text string
	c := dial(t, h.Addr())
	ask := func(words ...string) {
		c.send(words...)
		text += fmt.Sprintf("%.30s: %s\n", strings.Join(words, " "), c.readAnswer())
	}
	ask("PING")
	ask("SELECT", "0")
	ask("INFO", "load")
	ask("EVAL", "x")
	ask("CALL.GET", "0000000000000001", "id")
	for i := range 4 {
		ask("CALL.GET", "0000000000000001", fmt.Sprint("id", i), arguments)
	}
	dial(t, h.Addr()).send("PING")
	for h.Held() < 2 {
		time.Sleep(time.Millisecond)
	}
	if third, err := net.Dial("tcp4", h.Addr()); err == nil { // it may be reset before it is seen to be up
		_, err = third.Read(make([]byte, 1))
		text += fmt.Sprint("third connection refused: ", err != nil, "\n")
	} else {
		text += "third connection refused: true\n"
	}
	h.Hang(true)
	for i := range 3 { // the third is beyond Most, and answered behind the others
		c.send("CALL.GET", "0000000000000001", fmt.Sprint("held", i), arguments)
	}
	for len(h.Log().Commands) < 7 {
		time.Sleep(time.Millisecond)
	}
	h.Hang(false)
	for range 3 {
		text += "after it hung: " + c.readAnswer() + "\n"
	}
	h.Kill()
	text += "killed: " + c.readAnswer() + "\n"
	if _, err := net.Dial("tcp4", h.Addr()); err == nil {
		t.Error("a dead host takes connections")
	}
	if _, err := h.Start(); err != nil {
		t.Fatal(err)
	}
	c = dial(t, h.Addr())
	ask("PING")
	l := h.Log()
	text += fmt.Sprintf("refused %d, opened %d, peak %d, busy %d, bad %d\n", l.Refused, l.Opened, l.Peak, l.Busy, l.Bad)
	for _, k := range l.Commands {
		text += fmt.Sprintf("%s load %g: %s\n", k.ID, k.Load, k.Outcome)
	}
	golden.Check(t, text)
}

// TestModel checks that a response time is a function of id, load and slowness, also for requests that a host never received.
func TestModel(t *testing.T) {
	m := Usual()
	m.Cold, m.Warm, m.Classes = 3, 10*time.Second, map[string]float64{"order": 2}
	var text string
	for _, x := range []struct {
		id, class    string
		load, factor float64
	}{{"a", "lookup", 0, 1}, {"a", "lookup", 4, 1}, {"a", "lookup", 12, 1}, {"a", "lookup", 12, 2}, {"a", "order", 0, 1}, {"b", "lookup", 0, 1}} {
		text += fmt.Sprint(x, " ", m.Time(x.id, x.class, x.load, x.factor), "\n")
	}
	for _, age := range []time.Duration{0, 5 * time.Second, 20 * time.Second} {
		text += fmt.Sprint("slower at age ", age, ": ", m.warmUpFactor(age), "\n")
	}
	mean := 0.0
	for i := range 20000 {
		mean += float64(m.Time(fmt.Sprint(i), "lookup", 0, 1)) / 20000 / float64(m.Base)
	}
	text += fmt.Sprintf("mean of 20000: %.2f\n", mean)
	l := HostLog{Steps: []Step{{At: 10, Open: 12, Factor: 2}, {At: 20, Factor: 1}}}
	for _, at := range []int64{5, 15, 25} {
		d, load, ok := l.WouldAt(m, "a", "lookup", at)
		text += fmt.Sprint("at ", at, ": ", d, " ", load, " ", ok, "\n")
	}
	golden.Check(t, text)
}

// TestAgent checks what a watch and a single call of two gateways get in the agent's modes.
func TestAgent(t *testing.T) {
	e := func(id, state string) Entry { return Entry{ID: id, Addr: "127.0.0.1:1", State: state} }
	a, err := NewAgent(110, 2, e("x", "active"))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	get := func(i int, query string) io.Reader {
		r, _ := http.NewRequestWithContext(ctx, "GET", "http://"+a.Addr(i)+"/v1/servers"+query, nil)
		answer, err := http.DefaultClient.Do(r)
		if err != nil {
			return strings.NewReader("broken")
		}
		return answer.Body
	}
	var text string
	brief := strings.NewReplacer(`,"addr":"127.0.0.1:1","zone":"","kind":"","cell":0`, "", `,"weight":0,"started_ms":0`, "")
	whole := func(who string, r io.Reader) {
		b, err := io.ReadAll(r)
		text += fmt.Sprintf("%s: %s", who, brief.Replace(string(b)))
		if err != nil {
			text += fmt.Sprint(" ", err, "\n")
		}
	}
	watch := bufio.NewReader(get(0, "?watch=1&after=1"))
	next := func() {
		for {
			line, err := watch.ReadString('\n')
			if err != nil {
				text += fmt.Sprint("watch: ", err, "\n")
				return
			}
			if line != "\n" {
				text += "watch: " + brief.Replace(line)
				return
			}
		}
	}
	whole("plain", get(0, ""))
	a.Push(e("y", "active"))
	next()
	a.PushTo([]int{1}, e("z", "active"))
	whole("0 after one for 1", get(0, ""))
	whole("1", get(1, ""))
	a.Set([]int{0}, func(m *Mode) { m.Frozen = true })
	a.Push(e("x", "leaving"))
	a.Push(e("x", "left"), e("y", "leaving"))
	whole("0 frozen", get(0, ""))
	a.Set([]int{0}, func(m *Mode) { m.Frozen = false })
	next()
	a.Set(nil, func(m *Mode) { m.Indent = true })
	whole("indented", get(1, ""))
	a.Set(nil, func(m *Mode) { *m = Mode{Part: 0.5} })
	whole("a part", get(1, ""))
	a.Set(nil, func(m *Mode) { *m = Mode{Chunk: 7} })
	whole("in chunks", get(1, ""))
	a.Set(nil, func(m *Mode) { *m = Mode{Down: true} })
	next()
	whole("down", get(1, ""))
	golden.Check(t, text)
}

// TestCounter checks the counter's numbers and their expiry.
func TestCounter(t *testing.T) {
	k, err := NewCounter()
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	c := dial(t, k.Addr())
	var text string
	ask := func(words ...string) string {
		c.send(words...)
		a := c.readAnswer()
		text += strings.Join(words, " ") + ": " + a + "\n"
		return a
	}
	ask("INCRBYFLOAT", "a", "1.5")
	ask("PEXPIRE", "a", "600000", "NX")
	ask("PEXPIRE", "a", "1", "NX")
	ask("INCRBYFLOAT", "a", "-1")
	ask("INCRBYFLOAT", "a", "x")
	ask("GET", "a")
	ask("INCRBYFLOAT", "b", "2")
	ask("PEXPIRE", "b", "1", "NX")
	time.Sleep(2 * time.Millisecond)
	ask("INCRBYFLOAT", "b", "3")
	golden.Check(t, text)
}

// TestHostStartsBesideForks restarts a host while child processes start. A child holds a copy of each descriptor until it runs; the
// host's port must be free all the same.
func TestHostStartsBesideForks(t *testing.T) {
	h, err := NewHost(HostPlan{ID: "s-0001", Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	stop := make(chan struct{})
	var forks sync.WaitGroup
	for range 4 {
		forks.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					exec.Command("/bin/true").Run()
				}
			}
		})
	}
	for i := range 2000 {
		if _, err := h.Start(); err != nil {
			t.Errorf("start %d: %v", i, err)
			break
		}
	}
	close(stop)
	forks.Wait()
}

// TestLame checks that clients that know of a restart open no more connections after a while, and that none that the rig opened
// late counts against the gateway, whereas one refused before that does.
func TestLame(t *testing.T) {
	down, err := NewHost(HostPlan{ID: "s-0001", Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	defer down.Close()
	down.Kill()
	up, err := NewHost(HostPlan{ID: "s-0002", Listen: "127.0.0.1:0", Model: Model{Slots: 1}})
	if err != nil {
		t.Fatal(err)
	}
	defer up.Close()
	c := NewClients([]string{down.Addr(), up.Addr()})
	defer c.Close()
	var text string
	for _, ago := range []time.Duration{-time.Hour, time.Hour} { // called to stop just now, and long ago
		c.Lame(true, 0)
		c.Ask(func() { c.restartingSince[0] -= int64(ago) })
		var out bool
		c.Ask(func() { out = c.unavailable(0) })
		q := c.Send(Req{ID: "a", Customer: "0000000000000001", Gateway: 0}, arguments, "", false, waitLimit)
		text += fmt.Sprintf("out %t, %s at %d\n", out, q.Result, q.Gateway)
	}
	golden.Check(t, text)
}
